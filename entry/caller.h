/// \file
/// A caller's request as the entry's decisions see it: read from HTTP,
/// without its key.
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
  std::string Target; ///< Path and query, without a key.
  std::string Path;
  std::vector<HttpHeader> Headers; ///< None carries the key.
  std::string Body;
  std::string KeyHash; ///< Empty when the caller showed none.
  std::string IdempotencyKey;
  std::string Row; ///< Model or adapter; empty for services.
  bool IsStream = false;
  uint64_t Cost = 0;   ///< Prompt and longest output, in tokens.
  uint64_t Prompt = 0; ///< Tokens of the prompt alone.
};

/// Whether a refused request ran.
enum class RanState { NotRun, MayHaveRun, Ran };

/// Stable name of \p State.
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

/// A refusal or a failure, with what the caller can do.
struct Refusal {
  RefusalReason Reason;
  RanState Ran = RanState::NotRun;
  std::chrono::seconds RetryAfter{0}; ///< Zero for none.
  std::string Detail = {};
};

} // namespace sassafras

#endif
