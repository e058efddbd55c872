/// \file
/// Limits how many requests a front may retry on another endpoint.
///
/// Load pattern: many endpoints fail at once and every request would be
/// retried. All fronts together stay within a ratio of the requests plus a
/// fixed slack in any window. Each front enforces its own part without
/// coordination.
#ifndef SASSAFRAS_POLICY_RETRY_BUDGET_H
#define SASSAFRAS_POLICY_RETRY_BUDGET_H

#include <cstddef>

namespace sassafras {

/// Fraction of the allowed ratio and slack that is used. The rest covers fronts
/// that are not in view.
inline constexpr double BudgetFraction = 0.7;

struct RetryLimits {
  double Ratio = 0.2; ///< Retries per request.
  double Slack = 60;  ///< Additional retries in one window over all fronts.
};

struct RetryBudget {
  double Tokens = 0;
  bool IsInitialised = false;
};

/// Records the arrival of a request for the service.
void recordRequest(RetryBudget &Budget, const RetryLimits &Limits,
                   size_t FrontCount);
/// Takes one retry from the budget. Returns false when none is left.
bool takeRetry(RetryBudget &Budget, const RetryLimits &Limits,
               size_t FrontCount);

} // namespace sassafras

#endif
