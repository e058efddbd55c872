#include "policy/retry_budget.h"

#include <algorithm>

namespace sassafras {

namespace {

void addTokens(RetryBudget &Budget, const RetryLimits &Limits,
               const RetryShare &Share, double Tokens) {
  double most = 1;
  if (Share.FrontCount > 0)
    most = StoredSlackFraction * Limits.Slack /
           static_cast<double>(Share.FrontCount);
  Budget.Tokens = std::min(Budget.Tokens + Tokens, most);
}

void refill(RetryBudget &Budget, const RetryLimits &Limits,
            const RetryShare &Share, TimePoint Now) {
  if (Budget.FilledAt == TimePoint())
    Budget.FilledAt = Share.Since;
  std::chrono::duration<double> passed = Now - Budget.FilledAt;
  std::chrono::duration<double> window = Limits.Window;
  Budget.FilledAt = Now;
  if (Share.FrontCount > 0)
    addTokens(Budget, Limits, Share,
              GainedSlackFraction * Limits.Slack * (passed / window) /
                  static_cast<double>(Share.FrontCount));
}

} // namespace

void recordRequest(RetryBudget &Budget, const RetryLimits &Limits,
                   const RetryShare &Share, TimePoint Now) {
  refill(Budget, Limits, Share, Now);
  addTokens(Budget, Limits, Share, RetryRatioFraction * Limits.Ratio);
}

bool takeRetry(RetryBudget &Budget, const RetryLimits &Limits,
               const RetryShare &Share, TimePoint Now) {
  refill(Budget, Limits, Share, Now);
  if (Budget.Tokens < 1)
    return false;
  Budget.Tokens -= 1;
  return true;
}

} // namespace sassafras
