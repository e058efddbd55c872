#include "policy/quota_pool.h"

#include <algorithm>
#include <cmath>

namespace sassafras {

namespace {

double secondsOf(Clock::duration Span) {
  return std::chrono::duration<double>(Span).count();
}

} // namespace

PoolGrant drawFromPool(QuotaPool &Pool, const QuotaLimit &Limit,
                       const PoolWish &Wish, bool IsBeyond, TimePoint LedSince,
                       TimePoint Now) {
  if (Pool.FilledAt == TimePoint())
    Pool.Level = burstOf(Limit) * PoolStartPart;
  double rate = Limit.RatePerSecond * (1 - DividedPart);
  double most = burstOf(Limit) * PoolSavedPart;
  TimePoint since = std::max(Pool.FilledAt, LedSince);
  Pool.Level = std::min(most, Pool.Level + secondsOf(Now - since) * rate);
  Pool.FilledAt = Now;
  double kept = IsBeyond && !Wish.IsFavoured ? ReservedPart * most : 0;
  double free = Pool.Level - kept;
  // What is larger than the pool ever holds runs on credit.
  double needed = std::min(Wish.Least, most / 2);
  if (free < needed) {
    double missing = needed - free;
    return {0, Millis(static_cast<int64_t>(
                   std::ceil(missing / std::max(rate, 1.0) * 1000.0)))};
  }
  PoolGrant out;
  out.Granted = std::max(Wish.Least, std::min(Wish.Wanted, free));
  Pool.Level -= out.Granted;
  return out;
}

} // namespace sassafras
