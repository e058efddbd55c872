/// \file
/// A caller's request as the entry's state machine sees it: parsed from HTTP,
/// with the API key removed.
#ifndef SASSAFRAS_ENTRY_CALLER_H
#define SASSAFRAS_ENTRY_CALLER_H

#include "core/reason.h"
#include "core/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace sassafras {

struct HttpHeader {
  std::string Name;
  std::string Value;
};

struct CallerRequest {
  std::string Id;
  std::string Method;
  std::string Target; ///< Path and query, without the key.
  std::string Path;
  std::vector<HttpHeader> Headers; ///< Without those that carry the key.
  std::string Body;
  std::string KeyHash; ///< Empty when the caller sent no key.
  std::string IdempotencyKey;
  std::string Row; ///< Model or adapter; empty for services.
  bool IsStream = false;
  uint64_t Cost = 0;   ///< Prompt plus maximum output, in tokens.
  uint64_t Prompt = 0; ///< Estimated prompt length in tokens.
};

/// Whether a refused request was executed by an endpoint.
enum class RanState { NotRun, MayHaveRun, Ran };

/// Stable name of \p State, as in response bodies and logs.
inline const char *nameOf(RanState State) {
  switch (State) {
  case RanState::NotRun:
    return "not_run";
  case RanState::MayHaveRun:
    return "may_have_run";
  case RanState::Ran:
    return "ran";
  }
  return "may_have_run";
}

/// Why a request was refused or failed, and when the caller may retry.
struct Refusal {
  RefusalReason Reason;
  RanState Ran = RanState::NotRun;
  std::chrono::seconds RetryAfter{0}; ///< Zero: no retry-after header.
  std::string Detail = {};
};

} // namespace sassafras

#endif
