/// \file
/// How many requests a front may send to a second endpoint.
///
/// Load pattern: many endpoints fail at once and every request would be sent
/// again. All fronts together stay within a share of the requests plus a
/// fixed slack in any window; each keeps to its part without asking.
#ifndef SASSAFRAS_POLICY_RETRY_BUDGET_H
#define SASSAFRAS_POLICY_RETRY_BUDGET_H

#include <cstddef>

namespace sassafras {

/// Part of the allowed ratio and slack that is used; the rest covers nodes
/// that are out of view.
inline constexpr double BudgetMargin = 0.7;

struct RetryLimits {
  double Ratio = 0.2; ///< Retries for each request.
  double Slack = 60;  ///< Retries beyond that in one window, all fronts.
};

struct RetryBudget {
  double Tokens = 0;
  bool IsOpened = false;
};

/// A request for the service has arrived.
void recordRequest(RetryBudget &Budget, const RetryLimits &Limits,
                   size_t FrontCount);
/// Takes one retry; false when none is left.
bool takeRetry(RetryBudget &Budget, const RetryLimits &Limits,
               size_t FrontCount);

} // namespace sassafras

#endif
