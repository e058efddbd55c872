#include "policy/quota_pool.h"

#include <algorithm>
#include <cmath>

namespace sassafras {

namespace {

double secondsOf(Clock::duration Span) {
  return std::chrono::duration<double>(Span).count();
}

} // namespace

void recordPoolMember(PoolMembers &Members, const std::string &Front,
                      TimePoint From, TimePoint Until) {
  PoolMember &member = Members.Fronts[Front];
  if (From > member.Until)
    member.CountedUntil = std::max(member.CountedUntil, From);
  member.Until = std::max(member.Until, Until);
}

void countPoolMembers(PoolMembers &Members, size_t FrontCount, TimePoint Now) {
  double sum = 0;
  for (auto &[name, it] : Members.Fronts) {
    TimePoint until = std::min(it.Until, Now);
    if (until <= it.CountedUntil)
      continue;
    sum += secondsOf(until - it.CountedUntil);
    it.CountedUntil = until;
  }
  Members.FillSeconds += sum / static_cast<double>(FrontCount);
}

PoolGrant drawFromPool(QuotaPool &Pool, const QuotaLimit &Limit,
                       const PoolRequest &Request, bool IsOverRate,
                       double FillSeconds) {
  double rate = Limit.RatePerSecond * (1 - PredistributedFraction);
  double maxLevel = storedBurstOf(Limit) * PoolBurstFraction;
  Pool.Level =
      std::min(maxLevel, Pool.Level + (FillSeconds - Pool.FillSeconds) * rate);
  Pool.FillSeconds = FillSeconds;
  // Requests larger than the pool can ever hold are granted on credit.
  double needed = std::min(Request.Minimum, maxLevel / 2);
  // As at fronts: the same level for all sizes, so that the small ones do not
  // keep it below what a large one needs; and so much that most leave the
  // reserved part.
  double reserved =
      IsOverRate && !Request.IsFavoured ? ReservedFraction * maxLevel : 0;
  needed = std::max(needed, 2 * reserved);
  if (Pool.Level < needed) {
    double missing = needed - Pool.Level;
    return {0, Millis(static_cast<int64_t>(
                   std::ceil(missing / std::max(rate, 1.0) * 1000.0)))};
  }
  double available = Pool.Level - reserved;
  PoolGrant out;
  out.Granted = std::max(Request.Minimum, std::min(Request.Wanted, available));
  Pool.Level -= out.Granted;
  Pool.Granted += out.Granted;
  return out;
}

} // namespace sassafras
