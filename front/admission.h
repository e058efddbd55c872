/// \file
/// Whether a caller's request is taken at all: route, key and organisation.
#ifndef SASSAFRAS_FRONT_ADMISSION_H
#define SASSAFRAS_FRONT_ADMISSION_H

#include "core/reason.h"
#include "front/front_state.h"

#include <optional>
#include <set>
#include <string>
#include <variant>

namespace sassafras {

/// What a request says of itself, in the fleet's terms.
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
  std::string PromptHead;
  std::optional<uint64_t> LastEvent;
};

/// A request that was taken. Exactly one outcome ends it.
struct FrontRequest {
  uint64_t Number = 0;
  RequestAttributes Attributes;
  ServingTablePtr Table; ///< In force when it came; holds Route.
  const ServingRoute *Route = nullptr;
  std::string Service;
  std::string Organisation; ///< Empty on open routes without a key.
  uint32_t Urgency = 5;     ///< 0 first, 9 last.
  double Cost = 0;          ///< Against the organisation's rate.
  double Worth = 1;         ///< Against other requests for scarce things.
  bool IsRepeatable = false;
  bool IsCharged = false;
  TimePoint ArrivedAt;
  TimePoint ObjectiveEnd;
  TimePoint PatienceEnd; ///< The caller gives up waiting for a first byte.
  TimePoint Deadline;    ///< Of caller and route together.
  std::set<std::string> Tried; ///< Endpoints that failed it.
  bool AwaitsRetry = false;    ///< Its next send draws on the retry budget.
  uint32_t Sends = 0;
  uint32_t Runs = 0;                 ///< Sends that ran or may have run.
  std::optional<uint64_t> LastEvent; ///< Passed on to the caller.
};

/// A request that is ended without an answer of an endpoint.
struct FrontRefusal {
  RefusalReason Reason = RefusalReason::NoCapacity;
  std::optional<Millis> RetryAfter;
};

/// Takes or refuses a request by the table in force. Pure but for the random
/// place in a split.
std::variant<FrontRequest, FrontRefusal>
admitRequest(FrontState &State, RequestAttributes Attributes, TimePoint Now);

} // namespace sassafras

#endif
