/// \file
/// Reasons for refusing or retrying a request. Each has a stable name that is
/// used in responses and metrics.
#ifndef SASSAFRAS_CORE_REASON_H
#define SASSAFRAS_CORE_REASON_H

#include <string_view>

namespace sassafras {

/// Why a caller did not get an endpoint's response.
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
  CrashesEndpoints,
  StreamVersionUnknown,
  StreamVersionGone,
  LargerThanEngine,
};

/// All reasons, in declaration order.
inline constexpr RefusalReason AllRefusalReasons[] = {
    RefusalReason::KeyMissing,        RefusalReason::KeyUnknown,
    RefusalReason::KeyUnconfirmed,    RefusalReason::OrganisationNotAllowed,
    RefusalReason::RouteUnknown,      RefusalReason::BadRequest,
    RefusalReason::QueueFull,         RefusalReason::DeadlineUnreachable,
    RefusalReason::RateExceeded,      RefusalReason::CostAboveBurst,
    RefusalReason::NoCapacity,        RefusalReason::Quarantined,
    RefusalReason::Duplicate,         RefusalReason::ClaimUnavailable,
    RefusalReason::Stopping,          RefusalReason::EndpointFailed,
    RefusalReason::AnswerIncomplete,  RefusalReason::SlowReader,
    RefusalReason::TableUnknown,      RefusalReason::TimeoutWaiting,
    RefusalReason::TimeoutRunning,    RefusalReason::RetriesExhausted,
    RefusalReason::CrashesEndpoints,  RefusalReason::StreamVersionUnknown,
    RefusalReason::StreamVersionGone, RefusalReason::LargerThanEngine,
};

/// Stable name of \p Reason, as used in response bodies, metrics and docs.
std::string_view nameOf(RefusalReason Reason);

/// HTTP status for \p Reason.
unsigned statusOf(RefusalReason Reason);

/// True when the same request may succeed if it is sent again later.
bool isTransient(RefusalReason Reason);

/// Why an attempt was abandoned and another one started.
enum class RetryReason {
  AgentRefused,
  EndpointLost,
  EndpointDied,
  AnswerBroken,
  EndpointRejected,
  EndpointUnreachable,
  EndpointError,
};

/// Stable name of \p Reason, as used in metrics.
std::string_view nameOf(RetryReason Reason);

} // namespace sassafras

#endif
