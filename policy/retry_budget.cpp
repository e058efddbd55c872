#include "policy/retry_budget.h"

#include <algorithm>

namespace sassafras {

namespace {

double maxTokens(const RetryLimits &Limits, size_t FrontCount) {
  return BudgetFraction * Limits.Slack /
         static_cast<double>(std::max<size_t>(FrontCount, 1));
}

void initialise(RetryBudget &Budget, const RetryLimits &Limits,
                size_t FrontCount) {
  if (Budget.IsInitialised)
    return;
  Budget.IsInitialised = true;
  Budget.Tokens = maxTokens(Limits, FrontCount);
}

} // namespace

void recordRequest(RetryBudget &Budget, const RetryLimits &Limits,
                   size_t FrontCount) {
  initialise(Budget, Limits, FrontCount);
  Budget.Tokens = std::min(Budget.Tokens + BudgetFraction * Limits.Ratio,
                           maxTokens(Limits, FrontCount));
}

bool takeRetry(RetryBudget &Budget, const RetryLimits &Limits,
               size_t FrontCount) {
  initialise(Budget, Limits, FrontCount);
  if (Budget.Tokens < 1)
    return false;
  Budget.Tokens -= 1;
  return true;
}

} // namespace sassafras
