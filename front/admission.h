/// \file
/// Admission of callers' requests: checks of route, key and organisation.
#ifndef SASSAFRAS_FRONT_ADMISSION_H
#define SASSAFRAS_FRONT_ADMISSION_H

#include "core/reason.h"
#include "front/front_state.h"

#include <optional>
#include <set>
#include <string>
#include <variant>

namespace sassafras {

/// Attributes of a request, as parsed from its message.
struct RequestAttributes {
  std::string Id;
  std::string Method;
  std::string Host;
  std::string Path;
  std::string Key;
  std::optional<Millis> TimeLeft;
  std::string Model;
  std::string Adapter;
  bool HasTokenCounts = false;
  uint64_t PromptTokens = 0;
  uint64_t OutputTokens = 0;
  /// The caller's guess of the number of output tokens.
  std::optional<uint64_t> LengthHint;
  std::string PromptHead;
  std::vector<std::string> SharedParts; ///< Of the prompt.
  std::string BodyDigest;
  std::optional<uint64_t> LastEvent;
  std::string ResumedRequest; ///< It brought the stream's first event.
};

/// An admitted request. It ends with exactly one outcome.
struct FrontRequest {
  uint64_t Number = 0;
  RequestAttributes Attributes;
  ServingTablePtr Table; ///< In force on arrival; owns Route.
  const ServingRoute *Route = nullptr;
  std::string Service;
  std::string Organisation; ///< Empty on open routes without a key.
  RequestFeatures Features;
  uint32_t Urgency = 5; ///< 0 is the most urgent, 9 the least.
  double Cost = 0;      ///< Charged to the organisation's quota.
  double Worth = 1; ///< Weight against other requests for limited resources.
  bool IsRepeatable = false;
  bool IsCharged = false;
  TimePoint ArrivedAt;
  TimePoint ObjectiveDeadline; ///< End of the latency objective (SLO).
  TimePoint FirstByteDeadline; ///< The caller stops waiting for a first byte.
  TimePoint Deadline; ///< The earlier of the deadlines of caller and route.
  std::set<std::string> FailedEndpoints; ///< Endpoints whose exchange failed.
  bool NeedsRetryToken = false;          ///< The next send needs retry budget.
  uint32_t Sends = 0;
  uint32_t Runs = 0;                 ///< Sends that ran or may have run.
  std::optional<uint64_t> LastEvent; ///< Id of the last event forwarded.
  /// Software version that the stream may go on at, once it has an event.
  std::optional<std::string> StreamVersion;
};

/// Ends a request without a response from an endpoint.
struct FrontRefusal {
  RefusalReason Reason = RefusalReason::NoCapacity;
  std::optional<Millis> RetryAfter;
};

/// Admits or refuses a request by the serving table in force. Changes nothing
/// in \p State but its random generator, which picks the service of a traffic
/// split.
std::variant<FrontRequest, FrontRefusal>
admitRequest(FrontState &State, RequestAttributes Attributes, TimePoint Now);

} // namespace sassafras

#endif
