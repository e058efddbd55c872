/// \file
/// An organisation's rate divided over the fronts.
///
/// Load patterns: callers are spread unevenly over fronts, and the spread
/// changes; one organisation asks for several times its rate (small requests
/// and those that are worth most for what they cost go first, so that a few
/// large ones do not use all of it up). The leader
/// divides the rate by what each front was asked for; a front out of contact
/// keeps a small part, so that the sum stays within the limit's tolerance.
#ifndef SASSAFRAS_POLICY_RATE_SHARE_H
#define SASSAFRAS_POLICY_RATE_SHARE_H

#include "core/time.h"

#include <map>
#include <string>
#include <vector>

namespace sassafras {

/// A front uses its share this long after the leader gave it; the leader
/// counts on it for longer.
inline constexpr Millis ShareLifetime{4'000};
/// Part of an equal share that a front keeps when its share has run out. One
/// that was never given a share has an equal one: it has just started, and
/// mostly so have all.
inline constexpr double FallbackShare = 0.5;
/// Part of the rate that is divided by demand; the rest is divided equally,
/// so that a front whose callers have just come is not without any.
inline constexpr double DemandPart = 0.85;
/// Part of what the limit's tolerance allows at once that fronts may save up
/// together; the rest covers requests that run on credit.
inline constexpr double SavedPart = 0.5;
/// The same where the leader hands out more on request.
inline constexpr double PooledSavedPart = 0.1;
/// Part of the rate that is divided beforehand where the leader hands out the
/// rest on request: most requests of busy organisations then need not ask.
inline constexpr double DividedPart = 0.1;

/// Tokens that fronts were asked for, by front, in one second.
using FrontDemand = std::map<std::string, double>;

/// Parts of one, by front: what each is asked for, and of what is left over an
/// equal part, so that a front with few callers can take several at once.
/// \p Fronts are all that may be serving. Pure and thread safe.
std::map<std::string, double>
divideRate(double Rate, const FrontDemand &Demand,
           const std::vector<std::string> &Fronts);

/// One organisation's quota at one front.
struct LocalQuota {
  double Level = 0; ///< Tokens; may be below zero after a large request.
  TimePoint FilledAt;
  double FilledRate = 0; ///< Limit in force then.
  double Share = 0;      ///< Of the whole rate.
  TimePoint ShareEnd;
  double DemandRate = 0; ///< Tokens asked for in a second, smoothed.
  double DemandSum = 0;  ///< Since DemandSince.
  TimePoint DemandSince;
  std::map<uint64_t, double> WaitingCosts; ///< Costs of requests that wait.
  TimePoint PoolRequestedAt;       ///< The leader has not answered yet, if set.
  TimePoint PoolEmptyUntil;        ///< The leader has nothing before this.
  TimePoint PoolFavouredOnlyUntil; ///< And nothing but for favoured requests.
  double MeanCost = 0;             ///< Of requests, smoothed.
  double MeanDensity = 0;          ///< Worth for each token, smoothed.
};

/// What one request takes and what it is worth against others.
struct QuotaCharge {
  double Cost = 0;
  double Worth = 0;
};

/// How far beyond rate and burst the fleet may go in any window, as the
/// operators' rules say.
struct QuotaTolerance {
  Millis Window{8'000};
  double Overshoot = 0.1;
  double Slack = 0; ///< In the unit of the rate.
};

/// Part of what may be saved up that is kept for small or worthy requests.
inline constexpr double ReservedPart = 0.3;

/// Rate and burst in force for the organisation, over all fronts.
struct QuotaLimit {
  double RatePerSecond = 0; ///< 0 for none.
  double Burst = 0;
  QuotaTolerance Tolerance;
  /// The leader is there to ask for more.
  bool HasPool = false;
};

/// What all fronts together may spend at once beyond the rate.
double burstOf(const QuotaLimit &Limit);
/// True when \p Claim goes first while its organisation is beyond its rate.
bool isFavoured(const LocalQuota &Quota, const QuotaCharge &Claim);

void setShare(LocalQuota &Quota, double Share, TimePoint Now);
/// Takes the tokens of \p Claim. False when the organisation is beyond its
/// limit, or what it has left is kept for requests that are small or worth
/// more. \p FrontCount: fronts in view, this one included.
bool takeQuota(LocalQuota &Quota, const QuotaLimit &Limit,
               const QuotaCharge &Claim, size_t FrontCount, TimePoint Now);
/// Gives back what was taken for a request that surely did not run.
void returnQuota(LocalQuota &Quota, double Cost);
/// Time until \p Claim can be granted, as far as it can be told.
Millis waitForQuota(const LocalQuota &Quota, const QuotaLimit &Limit,
                    const QuotaCharge &Claim, size_t FrontCount, TimePoint Now);
/// Notes what was asked for, granted or not.
void recordDemand(LocalQuota &Quota, const QuotaCharge &Claim, TimePoint Now);

} // namespace sassafras

#endif
