/// \file
/// Limits how many requests a front may retry on another endpoint.
///
/// Load pattern: many endpoints fail at once and every request would be
/// retried, while fronts restart. All fronts together stay within a ratio of
/// the requests plus a fixed slack in any window. Each front enforces its own
/// part without coordination, and starts with nothing: the process before it
/// may have used its part in the same window.
#ifndef SASSAFRAS_POLICY_RETRY_BUDGET_H
#define SASSAFRAS_POLICY_RETRY_BUDGET_H

#include "core/time.h"

#include <cstddef>

namespace sassafras {

/// Fraction of the ratio that is used.
inline constexpr double RetryRatioFraction = 0.7;
/// Fractions of the slack that all fronts together may store, and that they
/// gain in one window.
inline constexpr double StoredSlackFraction = 0.45;
inline constexpr double GainedSlackFraction = 0.25;

struct RetryLimits {
  double Ratio = 0.2; ///< Retries per request.
  double Slack = 60;  ///< Additional retries in one window over all fronts.
  Millis Window{10'000};
};

struct RetryBudget {
  double Tokens = 0;
  TimePoint FilledAt;
};

/// What a front knows of its part of the slack.
struct RetryShare {
  /// All fronts that may be serving, this one included; 0 if it is not known.
  size_t FrontCount = 0;
  TimePoint Since; ///< Start of the process.
};

/// Records the arrival of a request for the service. Not thread safe.
void recordRequest(RetryBudget &Budget, const RetryLimits &Limits,
                   const RetryShare &Share, TimePoint Now);
/// Takes one retry from the budget. Returns false when none is left. Not thread
/// safe.
bool takeRetry(RetryBudget &Budget, const RetryLimits &Limits,
               const RetryShare &Share, TimePoint Now);

} // namespace sassafras

#endif
