#include "policy/rate_share.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace sassafras {

namespace {

/// Tolerance in tokens for rounding when the level is compared with the cost of
/// a request.
constexpr double RoundingTolerance = 0.5;
/// Interval over which the demand rate is computed, and smoothing factor of the
/// rate: weight of the newest interval.
constexpr Millis DemandInterval{500};
constexpr double DemandWeight = 0.25;
/// Smoothing factor of the means of cost and worth.
constexpr double MeanWeight = 0.02;
/// The same of the parts of the ranks, in which a few large requests must not
/// show.
constexpr double RankWeight = 0.005;
/// Thresholds relative to the organisation's own means for small requests and
/// for those of high worth.
constexpr double SmallCostFactor = 0.4;
constexpr double HighWorthFactor = 1.5;
/// Tokens are reserved only while the demand exceeds the share by this factor,
/// which is above the fluctuation of the averages.
constexpr double OverRateFactor = 1.3;

double secondsOf(Clock::duration Span) {
  return std::chrono::duration<double>(Span).count();
}

double equalShare(const QuotaPosition &Position) {
  return 1.0 / static_cast<double>(std::max<size_t>(Position.FrontCount, 1));
}

double shareAt(const LocalQuota &Quota, const QuotaPosition &Position,
               TimePoint Now) {
  return isPast(Quota.ShareEnd, Now) ? equalShare(Position) : Quota.Share;
}

/// True while the front uses its part of the rates itself.
bool isAlone(const QuotaPosition &Position, TimePoint Now) {
  return isPast(Position.PooledUntil, Now) && !isPast(Position.AloneUntil, Now);
}

/// Returns the tokens per second that refill the quota at this front.
double rateAt(const LocalQuota &Quota, const QuotaLimit &Limit,
              const QuotaPosition &Position, TimePoint Now) {
  if (isAlone(Position, Now))
    return Limit.RatePerSecond * (1 - PredistributedFraction) *
           equalShare(Position);
  if (Position.AloneUntil == TimePoint())
    return 0;
  return Limit.RatePerSecond * PredistributedFraction *
         shareAt(Quota, Position, Now);
}

/// Returns the tokens that have refilled the quota from \p Since to \p Now. The
/// rate changes in between when the front loses contact to its leader.
double refilledTokens(const LocalQuota &Quota, const QuotaLimit &Limit,
                      const QuotaPosition &Position, TimePoint Since,
                      TimePoint Now) {
  double sum = 0;
  TimePoint from = Since;
  for (TimePoint until : {Position.PooledUntil, Position.AloneUntil, Now}) {
    until = std::min(until, Now);
    if (until <= from)
      continue;
    sum += secondsOf(until - from) * rateAt(Quota, Limit, Position, from);
    from = until;
  }
  return sum;
}

/// Returns the maximum level. With a pool it is at least that of an equal
/// share: a front with a small share may still receive several requests at
/// once.
double maxLevel(const LocalQuota &Quota, const QuotaLimit &Limit,
                const QuotaPosition &Position, TimePoint Now) {
  double equal = equalShare(Position);
  if (isAlone(Position, Now))
    return storedBurstOf(Limit) * AloneBurstFraction * equal;
  return storedBurstOf(Limit) * PooledBurstFraction *
         std::max(shareAt(Quota, Position, Now), equal);
}

size_t rankOf(const QuotaCharge &Charge) {
  return std::min<size_t>(Charge.Rank, QuotaRankCount - 1);
}

/// Returns the tokens for which requests wait that are more urgent.
double moreUrgentTokens(const LocalQuota &Quota, const QuotaCharge &Charge) {
  double sum = 0;
  for (const auto &[place, charge] : Quota.Waiting) {
    if (place.Rank >= Charge.Rank)
      break;
    sum += charge.Cost;
  }
  return sum;
}

/// Place of a request's rank in the demand at this front.
struct RankPlace {
  bool HasMoreUrgent = false; ///< There is demand of more urgent ranks.
  bool IsBeyondRate = false;  ///< These alone reach the rate.
  bool IsCovered = false;     ///< The rate covers this rank with these.
};

RankPlace placeOfRank(const LocalQuota &Quota, const QuotaLimit &Limit,
                      const QuotaCharge &Charge,
                      const QuotaPosition &Position) {
  double total = std::accumulate(Quota.MeanCostByRank.begin(),
                                 Quota.MeanCostByRank.end(), 0.0);
  double rate = Limit.RatePerSecond * equalShare(Position);
  double covered = total * rate / std::max(Quota.DemandRate, rate);
  double moreUrgent = 0;
  for (size_t i = 0; i < rankOf(Charge); ++i)
    moreUrgent += Quota.MeanCostByRank[i];
  return {moreUrgent > 0, moreUrgent > 0 && moreUrgent >= covered,
          moreUrgent + Quota.MeanCostByRank[rankOf(Charge)] < covered};
}

bool isSmallOrOfHighWorth(const LocalQuota &Quota, const QuotaCharge &Charge) {
  return Charge.Cost <= Quota.MeanCost * SmallCostFactor ||
         Charge.Worth >=
             Charge.Cost * Quota.MeanWorthPerToken * HighWorthFactor;
}

/// Returns the level that \p Charge needs.
double neededLevel(const LocalQuota &Quota, const QuotaLimit &Limit,
                   const QuotaCharge &Charge, const QuotaPosition &Position,
                   TimePoint Now) {
  double maximum = maxLevel(Quota, Limit, Position, Now);
  // Without a bound, an urgent request that is larger than what this front can
  // store would stop all others.
  double needed = Charge.Cost + std::min(moreUrgentTokens(Quota, Charge),
                                         std::max(0.0, maximum - Charge.Cost));
  // With a pool, the leader reserves the part for favoured requests.
  bool isOverRate = Quota.DemandRate >
                    Limit.RatePerSecond * equalShare(Position) * OverRateFactor;
  if (!isAlone(Position, Now) || !isOverRate)
    return needed;
  double reserved = ReservedFraction * maximum;
  RankPlace place = placeOfRank(Quota, Limit, Charge, Position);
  // The same level for all sizes, so that the small ones do not keep it below
  // what a large one needs; and so much that most leave the reserved part.
  if (!isFavoured(Quota, Limit, Charge, Position))
    return std::max(needed, 2 * reserved);
  return place.HasMoreUrgent && !place.IsCovered ? std::max(needed, reserved)
                                                 : needed;
}

void refill(LocalQuota &Quota, const QuotaLimit &Limit,
            const QuotaPosition &Position, TimePoint Now) {
  double maximum = maxLevel(Quota, Limit, Position, Now);
  if (Quota.FilledAt == TimePoint())
    Quota.FilledAt = Position.Since;
  // Tokens granted by the leader beyond the maximum level are kept for the
  // requests that asked for them, unless the rate limit was lowered.
  bool isGrantKept =
      !isPast(Quota.GrantEnd, Now) && Limit.RatePerSecond >= Quota.FilledRate;
  if (Quota.Level < maximum)
    Quota.Level += refilledTokens(Quota, Limit, Position, Quota.FilledAt, Now);
  else if (isGrantKept)
    maximum = std::max(maximum, Quota.Level);
  Quota.Level = std::min(Quota.Level, maximum);
  Quota.FilledRate = Limit.RatePerSecond;
  Quota.FilledAt = Now;
}

} // namespace

double burstOf(const QuotaLimit &Limit) {
  const QuotaTolerance &tolerance = Limit.Tolerance;
  double window = Limit.RatePerSecond * secondsOf(tolerance.Window);
  return Limit.Burst + tolerance.Overshoot * (window + Limit.Burst) +
         tolerance.Slack;
}

double storedBurstOf(const QuotaLimit &Limit) {
  double granted = Limit.RatePerSecond * (1 - PredistributedFraction) *
                   secondsOf(GrantLifetime);
  return std::max(0.0, burstOf(Limit) - granted);
}

bool isFavoured(const LocalQuota &Quota, const QuotaLimit &Limit,
                const QuotaCharge &Charge, const QuotaPosition &Position) {
  RankPlace place = placeOfRank(Quota, Limit, Charge, Position);
  if (place.IsBeyondRate)
    return false;
  return place.IsCovered || isSmallOrOfHighWorth(Quota, Charge);
}

std::map<std::string, double>
divideRate(double Rate, const FrontDemand &Demand,
           const std::vector<std::string> &Fronts) {
  std::map<std::string, double> out;
  auto demandOf = [&](const std::string &Front) {
    auto found = Demand.find(Front);
    return found == Demand.end() ? 0 : found->second;
  };
  double sum = 0;
  for (const std::string &it : Fronts)
    sum += demandOf(it);
  double equal = 1.0 / static_cast<double>(std::max<size_t>(Fronts.size(), 1));
  double demanded = std::min(DemandFraction, Rate > 0 ? sum / Rate : 0);
  for (const std::string &it : Fronts) {
    double part = sum > 0 ? demandOf(it) / sum : 0;
    out[it] = demanded * part + (1 - demanded) * equal;
  }
  return out;
}

void setShare(LocalQuota &Quota, double Share, TimePoint Now) {
  Quota.Share = Share;
  Quota.ShareEnd = Now + ShareLifetime;
}

bool takeQuota(LocalQuota &Quota, const QuotaLimit &Limit,
               const QuotaCharge &Charge, const QuotaPosition &Position,
               TimePoint Now) {
  if (Limit.RatePerSecond <= 0)
    return true;
  refill(Quota, Limit, Position, Now);
  if (Quota.Level + RoundingTolerance <
      neededLevel(Quota, Limit, Charge, Position, Now))
    return false;
  Quota.Tally.Charged += Charge.Cost;
  Quota.Level -= Charge.Cost;
  return true;
}

double takeLoan(LocalQuota &Quota, const QuotaLimit &Limit, double Wanted,
                const QuotaPosition &Position, TimePoint Now) {
  refill(Quota, Limit, Position, Now);
  if (!Quota.Waiting.empty() || !isPast(Quota.GrantEnd, Now))
    return 0;
  double out =
      std::clamp(Wanted, 0.0, std::max(0.0, Quota.Level * LendableFraction));
  Quota.Level -= out;
  Quota.Tally.Lent += out;
  return out;
}

void endLoans(LocalQuota &Quota, const QuotaLimit &Limit,
              const QuotaPosition &Position, TimePoint Now) {
  Quota.LoanNumbers.clear();
  if (Quota.HasLoans)
    Quota.Level = std::min(Quota.Level, maxLevel(Quota, Limit, Position, Now));
  Quota.HasLoans = false;
}

void returnQuota(LocalQuota &Quota, double Cost) { Quota.Level += Cost; }

Millis estimateQuotaWait(const LocalQuota &Quota, const QuotaLimit &Limit,
                         const QuotaCharge &Charge,
                         const QuotaPosition &Position, TimePoint Now) {
  double needed = neededLevel(Quota, Limit, Charge, Position, Now);
  double missing = needed - Quota.Level;
  if (missing <= 0)
    return Millis(0);
  double rate = rateAt(Quota, Limit, Position, Now);
  bool isReachable =
      rate > 0 && needed <= maxLevel(Quota, Limit, Position, Now);
  if (!isReachable)
    return MaxQuotaWait;
  double ms = std::ceil(missing / rate * 1000.0) + 1;
  return Millis(static_cast<int64_t>(
      std::min(ms, static_cast<double>(MaxQuotaWait.count()))));
}

void recordDemand(LocalQuota &Quota, const QuotaCharge &Charge, TimePoint Now) {
  if (Charge.Cost > 0) {
    Quota.MeanCost += (Charge.Cost - Quota.MeanCost) * MeanWeight;
    for (double &it : Quota.MeanCostByRank)
      it -= it * RankWeight;
    Quota.MeanCostByRank[rankOf(Charge)] += Charge.Cost * RankWeight;
    Quota.MeanWorthPerToken +=
        (Charge.Worth / Charge.Cost - Quota.MeanWorthPerToken) * MeanWeight;
  }
  if (Quota.DemandSince == TimePoint())
    Quota.DemandSince = Now;
  Quota.DemandSum += Charge.Cost;
  if (Now - Quota.DemandSince < DemandInterval)
    return;
  double rate = Quota.DemandSum / secondsOf(Now - Quota.DemandSince);
  Quota.DemandRate += (rate - Quota.DemandRate) * DemandWeight;
  Quota.DemandSum = 0;
  Quota.DemandSince = Now;
}

} // namespace sassafras
