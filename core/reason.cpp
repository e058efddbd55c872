#include "core/reason.h"

namespace sassafras {

namespace {

struct RefusalTraits {
  RefusalReason Reason;
  std::string_view Name;
  unsigned Status;
  bool Transient;
};

constexpr RefusalTraits Traits[] = {
    {RefusalReason::KeyMissing, "key_missing", 401, false},
    {RefusalReason::KeyUnknown, "key_unknown", 401, false},
    {RefusalReason::KeyUnconfirmed, "key_unconfirmed", 503, true},
    {RefusalReason::OrganisationNotAllowed, "tenant_not_allowed", 403, false},
    {RefusalReason::RouteUnknown, "route_unknown", 404, false},
    {RefusalReason::BadRequest, "bad_request", 400, false},
    {RefusalReason::QueueFull, "queue_full", 429, true},
    {RefusalReason::DeadlineUnreachable, "deadline_unreachable", 503, true},
    {RefusalReason::RateExceeded, "rate_exceeded", 429, true},
    {RefusalReason::CostAboveBurst, "cost_above_burst", 400, false},
    {RefusalReason::NoCapacity, "no_capacity", 503, true},
    {RefusalReason::Quarantined, "quarantined", 422, false},
    {RefusalReason::Duplicate, "duplicate", 409, false},
    {RefusalReason::ClaimUnavailable, "claim_unavailable", 503, true},
    {RefusalReason::Stopping, "stopping", 503, true},
    {RefusalReason::EndpointFailed, "endpoint_failed", 502, true},
    {RefusalReason::AnswerIncomplete, "answer_incomplete", 502, true},
    {RefusalReason::SlowReader, "slow_reader", 408, false},
    {RefusalReason::TableUnknown, "table_unknown", 503, true},
    {RefusalReason::TimeoutWaiting, "timeout_waiting", 503, true},
    {RefusalReason::TimeoutRunning, "timeout_running", 504, true},
    {RefusalReason::RetriesExhausted, "retries_exhausted", 503, true},
    {RefusalReason::CrashesEndpoints, "crashes_endpoints", 503, true},
    {RefusalReason::StreamVersionUnknown, "stream_version_unknown", 503, false},
    {RefusalReason::StreamVersionGone, "stream_version_gone", 503, true},
    {RefusalReason::LargerThanEngine, "larger_than_engine", 400, false},
};

const RefusalTraits &traitsOf(RefusalReason Reason) {
  return Traits[static_cast<size_t>(Reason)];
}

} // namespace

std::string_view nameOf(RefusalReason Reason) { return traitsOf(Reason).Name; }

unsigned statusOf(RefusalReason Reason) { return traitsOf(Reason).Status; }

bool isTransient(RefusalReason Reason) { return traitsOf(Reason).Transient; }

std::string_view nameOf(RetryReason Reason) {
  switch (Reason) {
  case RetryReason::AgentRefused:
    return "agent_refused";
  case RetryReason::EndpointLost:
    return "endpoint_lost";
  case RetryReason::EndpointDied:
    return "endpoint_died";
  case RetryReason::AnswerBroken:
    return "answer_broken";
  case RetryReason::EndpointRejected:
    return "endpoint_rejected";
  case RetryReason::EndpointUnreachable:
    return "endpoint_unreachable";
  case RetryReason::EndpointError:
    return "endpoint_error";
  }
  return "unknown";
}

} // namespace sassafras
