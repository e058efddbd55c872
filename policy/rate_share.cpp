#include "policy/rate_share.h"

#include <algorithm>
#include <cmath>

namespace sassafras {

namespace {

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

double shareAt(const LocalAllowance &Allowance, size_t FrontCount,
               TimePoint Now) {
  double equal = 1.0 / static_cast<double>(std::max<size_t>(FrontCount, 1));
  if (isPast(Allowance.ShareEnd, Now))
    return Allowance.ShareEnd == TimePoint()
               ? equal
               : std::min(Allowance.Share, equal * FallbackShare);
  return Allowance.Share;
}

/// What all fronts together may spend at once beyond the rate.
double burstOf(const AllowanceLimit &Limit) {
  const AllowanceTolerance &tolerance = Limit.Tolerance;
  double window = Limit.RatePerSecond * secondsOf(tolerance.Window);
  return Limit.Burst + tolerance.Overshoot * (window + Limit.Burst) +
         tolerance.Slack;
}

/// A front with a small share may still be asked for several at once.
double mostSaved(const AllowanceLimit &Limit, double Share, size_t FrontCount) {
  double equal = 1.0 / static_cast<double>(std::max<size_t>(FrontCount, 1));
  return burstOf(Limit) * SavedPart * std::max(Share, equal);
}

/// Level above which \p Claim is granted.
double levelNeeded(const LocalAllowance &Allowance, const AllowanceLimit &Limit,
                   const AllowanceClaim &Claim, size_t FrontCount,
                   TimePoint Now) {
  bool isSmall = Claim.Cost <= Allowance.MeanCost * SmallPart;
  bool isWorthy =
      Claim.Worth >= Claim.Cost * Allowance.MeanDensity * WorthyFactor;
  double share = shareAt(Allowance, FrontCount, Now);
  bool isBeyond =
      Allowance.DemandRate > Limit.RatePerSecond * share * BeyondFactor;
  if (isSmall || isWorthy || !isBeyond)
    return 0;
  return ReservedPart * mostSaved(Limit, share, FrontCount);
}

void refill(LocalAllowance &Allowance, const AllowanceLimit &Limit,
            size_t FrontCount, TimePoint Now) {
  double share = shareAt(Allowance, FrontCount, Now);
  double most = mostSaved(Limit, share, FrontCount);
  if (Allowance.FilledAt == TimePoint())
    Allowance.Level = most;
  else
    Allowance.Level =
        std::min(most, Allowance.Level + secondsOf(Now - Allowance.FilledAt) *
                                             Limit.RatePerSecond * share);
  Allowance.FilledAt = Now;
}

} // namespace

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

void setShare(LocalAllowance &Allowance, double Share, TimePoint Now) {
  Allowance.Share = Share;
  Allowance.ShareEnd = Now + ShareLife;
}

bool takeAllowance(LocalAllowance &Allowance, const AllowanceLimit &Limit,
                   const AllowanceClaim &Claim, size_t FrontCount,
                   TimePoint Now) {
  if (Limit.RatePerSecond <= 0)
    return true;
  refill(Allowance, Limit, FrontCount, Now);
  // A request larger than what is saved up runs on credit: the level goes
  // below zero and later ones wait for it.
  if (Allowance.Level <= levelNeeded(Allowance, Limit, Claim, FrontCount, Now))
    return false;
  Allowance.Level -= Claim.Cost;
  return true;
}

void returnAllowance(LocalAllowance &Allowance, double Cost) {
  Allowance.Level += Cost;
}

Millis waitForAllowance(const LocalAllowance &Allowance,
                        const AllowanceLimit &Limit,
                        const AllowanceClaim &Claim, size_t FrontCount,
                        TimePoint Now) {
  double rate = Limit.RatePerSecond * shareAt(Allowance, FrontCount, Now);
  double missing =
      levelNeeded(Allowance, Limit, Claim, FrontCount, Now) - Allowance.Level;
  if (missing < 0 || rate <= 0)
    return Millis(0);
  return Millis(static_cast<int64_t>(std::ceil(missing / rate * 1000.0)) + 1);
}

void noteDemand(LocalAllowance &Allowance, const AllowanceClaim &Claim,
                TimePoint Now) {
  if (Claim.Cost > 0) {
    Allowance.MeanCost += (Claim.Cost - Allowance.MeanCost) * MeanWeight;
    Allowance.MeanDensity +=
        (Claim.Worth / Claim.Cost - Allowance.MeanDensity) * MeanWeight;
  }
  if (Allowance.DemandSince == TimePoint())
    Allowance.DemandSince = Now;
  Allowance.DemandSum += Claim.Cost;
  if (Now - Allowance.DemandSince < DemandSpan)
    return;
  double rate = Allowance.DemandSum / secondsOf(Now - Allowance.DemandSince);
  Allowance.DemandRate += (rate - Allowance.DemandRate) * DemandWeight;
  Allowance.DemandSum = 0;
  Allowance.DemandSince = Now;
}

} // namespace sassafras
