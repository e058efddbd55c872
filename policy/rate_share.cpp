#include "policy/rate_share.h"

#include <algorithm>
#include <cmath>

namespace sassafras {

namespace {

/// What was granted for a request is enough for it, but for rounding. Tokens.
constexpr double Rounding = 0.5;
constexpr Millis DemandSpan{500};
constexpr double DemandWeight = 0.25;
/// Weight of the newest request in the means of cost and worth.
constexpr double MeanWeight = 0.02;
/// A request is small or worthy against the organisation's own mean.
constexpr double SmallPart = 0.4;
constexpr double WorthyFactor = 1.5;
/// Tokens are kept back only while more is asked for than the share allows,
/// by more than the averages' own swing.
constexpr double BeyondFactor = 1.3;

double secondsOf(Clock::duration Span) {
  return std::chrono::duration<double>(Span).count();
}

double shareAt(const LocalQuota &Quota, size_t FrontCount, TimePoint Now) {
  double equal = 1.0 / static_cast<double>(std::max<size_t>(FrontCount, 1));
  if (isPast(Quota.ShareEnd, Now))
    return Quota.ShareEnd == TimePoint()
               ? equal
               : std::min(Quota.Share, equal * FallbackShare);
  return Quota.Share;
}

/// Tokens a second that come in here by themselves.
double rateAt(const QuotaLimit &Limit, double Share) {
  return Limit.RatePerSecond * Share * (Limit.HasPool ? DividedPart : 1);
}

/// A front with a small share may still be asked for several at once.
double mostSaved(const QuotaLimit &Limit, double Share, size_t FrontCount) {
  double equal = 1.0 / static_cast<double>(std::max<size_t>(FrontCount, 1));
  double part = Limit.HasPool ? PooledSavedPart : SavedPart;
  return burstOf(Limit) * part * std::max(Share, equal);
}

/// Level above which \p Claim is granted.
double levelNeeded(const LocalQuota &Quota, const QuotaLimit &Limit,
                   const QuotaCharge &Claim, size_t FrontCount, TimePoint Now) {
  double share = shareAt(Quota, FrontCount, Now);
  bool isBeyond = Quota.DemandRate > Limit.RatePerSecond * share * BeyondFactor;
  // The pool keeps a part for favoured requests itself.
  if (isFavoured(Quota, Claim) || !isBeyond || Limit.HasPool)
    return 0;
  return ReservedPart * mostSaved(Limit, share, FrontCount);
}

void refill(LocalQuota &Quota, const QuotaLimit &Limit, size_t FrontCount,
            TimePoint Now) {
  double share = shareAt(Quota, FrontCount, Now);
  double most = mostSaved(Limit, share, FrontCount);
  double inflow = secondsOf(Now - Quota.FilledAt) * rateAt(Limit, share);
  // What the leader granted beyond that stays, but for a lower limit.
  if (Quota.FilledAt == TimePoint())
    Quota.Level += most;
  else if (Quota.Level < most)
    Quota.Level = std::min(most, Quota.Level + inflow);
  else if (Limit.RatePerSecond < Quota.FilledRate)
    Quota.Level = most;
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

bool isFavoured(const LocalQuota &Quota, const QuotaCharge &Claim) {
  return Claim.Cost <= Quota.MeanCost * SmallPart ||
         Claim.Worth >= Claim.Cost * Quota.MeanDensity * WorthyFactor;
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
  double asked = std::min(DemandPart, Rate > 0 ? sum / Rate : 0);
  for (const std::string &it : Fronts) {
    double part = sum > 0 ? demandOf(it) / sum : 0;
    out[it] = asked * part + (1 - asked) * equal;
  }
  return out;
}

void setShare(LocalQuota &Quota, double Share, TimePoint Now) {
  Quota.Share = Share;
  Quota.ShareEnd = Now + ShareLifetime;
}

bool takeQuota(LocalQuota &Quota, const QuotaLimit &Limit,
               const QuotaCharge &Claim, size_t FrontCount, TimePoint Now) {
  if (Limit.RatePerSecond <= 0)
    return true;
  refill(Quota, Limit, FrontCount, Now);
  double needed = levelNeeded(Quota, Limit, Claim, FrontCount, Now);
  // With nobody to ask, a request larger than what is saved up runs on credit:
  // the level goes below zero and later ones wait for it.
  bool isEnough = Limit.HasPool ? Quota.Level + Rounding >= needed + Claim.Cost
                                : Quota.Level > needed;
  if (!isEnough)
    return false;
  Quota.Level -= Claim.Cost;
  return true;
}

void returnQuota(LocalQuota &Quota, double Cost) { Quota.Level += Cost; }

Millis waitForQuota(const LocalQuota &Quota, const QuotaLimit &Limit,
                    const QuotaCharge &Claim, size_t FrontCount,
                    TimePoint Now) {
  double rate = rateAt(Limit, shareAt(Quota, FrontCount, Now));
  double missing =
      levelNeeded(Quota, Limit, Claim, FrontCount, Now) - Quota.Level;
  if (missing < 0 || rate <= 0)
    return Millis(0);
  return Millis(static_cast<int64_t>(std::ceil(missing / rate * 1000.0)) + 1);
}

void recordDemand(LocalQuota &Quota, const QuotaCharge &Claim, TimePoint Now) {
  if (Claim.Cost > 0) {
    Quota.MeanCost += (Claim.Cost - Quota.MeanCost) * MeanWeight;
    Quota.MeanDensity +=
        (Claim.Worth / Claim.Cost - Quota.MeanDensity) * MeanWeight;
  }
  if (Quota.DemandSince == TimePoint())
    Quota.DemandSince = Now;
  Quota.DemandSum += Claim.Cost;
  if (Now - Quota.DemandSince < DemandSpan)
    return;
  double rate = Quota.DemandSum / secondsOf(Now - Quota.DemandSince);
  Quota.DemandRate += (rate - Quota.DemandRate) * DemandWeight;
  Quota.DemandSum = 0;
  Quota.DemandSince = Now;
}

} // namespace sassafras
