/// \file
/// Reasons for which a request is refused or retried. Each has a stable name
/// that callers see and that counters carry.
#ifndef SASSAFRAS_CORE_REASON_H
#define SASSAFRAS_CORE_REASON_H

#include <string_view>

namespace sassafras {

/// Why a caller did not get the answer of an endpoint.
enum class RefusalReason {
  KeyMissing,
  KeyUnknown,
  KeyUnconfirmed,
  OrganisationNotAllowed,
  RouteUnknown,
  BadRequest,
  QueueFull,
  DeadlineUnreachable,
  RateExceeded,
  CostAboveBurst,
  NoCapacity,
  Quarantined,
  Duplicate,
  ClaimUnavailable,
  Stopping,
  EndpointFailed,
  AnswerIncomplete,
  SlowReader,
  TableUnknown,
  TimeoutWaiting,
  TimeoutRunning,
  RetriesExhausted,
};

/// All reasons, in the order of their declaration.
inline constexpr RefusalReason AllRefusalReasons[] = {
    RefusalReason::KeyMissing,       RefusalReason::KeyUnknown,
    RefusalReason::KeyUnconfirmed,   RefusalReason::OrganisationNotAllowed,
    RefusalReason::RouteUnknown,     RefusalReason::BadRequest,
    RefusalReason::QueueFull,        RefusalReason::DeadlineUnreachable,
    RefusalReason::RateExceeded,     RefusalReason::CostAboveBurst,
    RefusalReason::NoCapacity,       RefusalReason::Quarantined,
    RefusalReason::Duplicate,        RefusalReason::ClaimUnavailable,
    RefusalReason::Stopping,         RefusalReason::EndpointFailed,
    RefusalReason::AnswerIncomplete, RefusalReason::SlowReader,
    RefusalReason::TableUnknown,     RefusalReason::TimeoutWaiting,
    RefusalReason::TimeoutRunning,   RefusalReason::RetriesExhausted,
};

/// Stable name of \p Reason, as in bodies, counters and docs.
std::string_view nameOf(RefusalReason Reason);

/// HTTP status that goes with \p Reason.
unsigned statusOf(RefusalReason Reason);

/// True when a later try of the same request may succeed.
bool isTransient(RefusalReason Reason);

/// Why an attempt was given up and another one made.
enum class RetryReason {
  AgentRefused,
  EndpointLost,
  EndpointDied,
  AnswerBroken,
  EndpointRejected,
  EndpointUnreachable,
  EndpointError,
};

/// Stable name of \p Reason.
std::string_view nameOf(RetryReason Reason);

} // namespace sassafras

#endif
