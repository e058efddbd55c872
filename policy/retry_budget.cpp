#include "policy/retry_budget.h"

#include <algorithm>

namespace sassafras {

namespace {

double mostTokens(const RetryLimits &Limits, size_t FrontCount) {
  return BudgetMargin * Limits.Slack /
         static_cast<double>(std::max<size_t>(FrontCount, 1));
}

void open(RetryBudget &Budget, const RetryLimits &Limits, size_t FrontCount) {
  if (Budget.IsOpened)
    return;
  Budget.IsOpened = true;
  Budget.Tokens = mostTokens(Limits, FrontCount);
}

} // namespace

void recordRequest(RetryBudget &Budget, const RetryLimits &Limits,
                   size_t FrontCount) {
  open(Budget, Limits, FrontCount);
  Budget.Tokens = std::min(Budget.Tokens + BudgetMargin * Limits.Ratio,
                           mostTokens(Limits, FrontCount));
}

bool takeRetry(RetryBudget &Budget, const RetryLimits &Limits,
               size_t FrontCount) {
  open(Budget, Limits, FrontCount);
  if (Budget.Tokens < 1)
    return false;
  Budget.Tokens -= 1;
  return true;
}

} // namespace sassafras
