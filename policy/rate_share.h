/// \file
/// Division of an organisation's rate among the fronts.
///
/// Load patterns: callers are spread unevenly over the fronts, and the
/// distribution changes. One organisation asks for several times its rate;
/// small requests and those with the highest worth per token then have
/// priority, so that a few large ones do not use up the rate. Fronts restart,
/// also several times within one window, or lose contact to the leader while
/// others keep it.
///
/// Each front has an equal part of the rate. While a leader may count on a
/// front, that part fills the leader's pool, but for a fraction that is divided
/// by demand. A front without a leader uses its part itself. What a front does
/// not know to be unspent counts as spent: it starts with nothing.
#ifndef SASSAFRAS_POLICY_RATE_SHARE_H
#define SASSAFRAS_POLICY_RATE_SHARE_H

#include "core/time.h"

#include <array>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace sassafras {

/// Time for which a front uses its share after the leader assigned it.
inline constexpr Millis ShareLifetime{4'000};
/// Fraction of the rate that is divided by demand. The rest is divided equally,
/// so that a front whose callers have just arrived has some.
inline constexpr double DemandFraction = 0.85;
/// Maximum level of all fronts together, while they use their parts
/// themselves, as a fraction of storedBurstOf. docs/design/08 adds it to the
/// other fractions.
inline constexpr double AloneBurstFraction = 0.35;
/// The same while the leader's pool is filled from their parts.
inline constexpr double PooledBurstFraction = 0.1;
/// Tokens granted by the leader can be spent for this long after the request
/// for them was sent.
inline constexpr Millis GrantLifetime{400};
/// Fraction of the rate that is divided in advance when the leader grants the
/// rest on request. It is enough that most requests of busy organisations need
/// not ask.
inline constexpr double PredistributedFraction = 0.1;

/// Tokens per second requested at each front.
using FrontDemand = std::map<std::string, double>;

/// Returns the share of each front; the shares sum to 1. Each gets a share by
/// demand and an equal part of what remains, so that a front with few callers
/// can take several requests at once. \p Fronts lists all that may be serving.
/// Pure and thread safe.
std::map<std::string, double>
divideRate(double Rate, const FrontDemand &Demand,
           const std::vector<std::string> &Fronts);

/// Where the tokens that a front spends come from, since the last report.
struct QuotaTally {
  double Charged = 0;
  double Granted = 0;   ///< By the leader.
  double Borrowed = 0;  ///< From other fronts.
  double Lent = 0;      ///< To other fronts.
  double Late = 0;      ///< Granted, but too late to be used.
  uint64_t Refused = 0; ///< Requests.
};

/// Cost of one request in tokens, its worth relative to others and its urgency.
struct QuotaCharge {
  double Cost = 0;
  double Worth = 0;
  uint32_t Rank = 0; ///< 0 is the most urgent.
};

/// Ranks of requests; a larger one counts as the last.
inline constexpr size_t QuotaRankCount = 10;

/// Place of a waiting request: by rank, then by request number.
struct QuotaPlace {
  uint32_t Rank = 0;
  uint64_t Number = 0;
  bool operator<(const QuotaPlace &Other) const {
    return std::tie(Rank, Number) < std::tie(Other.Rank, Other.Number);
  }
};

/// Quota of one organisation at one front.
struct LocalQuota {
  double Level = 0; ///< Tokens. May be negative after a large request.
  TimePoint FilledAt;
  double FilledRate = 0; ///< Rate limit in force at FilledAt.
  double Share = 0;      ///< Share of the whole rate.
  TimePoint ShareEnd;
  double DemandRate = 0; ///< Requested tokens per second, smoothed.
  double DemandSum = 0;  ///< Tokens requested since DemandSince.
  TimePoint DemandSince;
  std::map<QuotaPlace, QuotaCharge> Waiting; ///< Requests that lack tokens.
  TimePoint PoolRequestedAt;  ///< Set while an answer of the leader is pending.
  uint64_t RequestNumber = 0; ///< Of the last request to the leader.
  /// Of the last requests to other fronts, those without an answer.
  std::set<uint64_t> LoanNumbers;
  bool HasLoans = false; ///< Loans were received since the last request.
  /// Until then tokens granted for that request are accepted and kept.
  TimePoint GrantEnd;
  TimePoint PoolEmptyUntil; ///< The leader grants nothing before this time.
  /// Before this time, only for favoured requests.
  TimePoint PoolFavouredOnlyUntil;
  double MeanCost = 0;          ///< Mean cost of requests, smoothed.
  double MeanWorthPerToken = 0; ///< Mean worth per token, smoothed.
  /// Tokens per request that each rank contributes to MeanCost.
  std::array<double, QuotaRankCount> MeanCostByRank{};
  QuotaTally Tally;
};

/// How far the fleet may exceed rate and burst in any window according to the
/// operators' rules.
struct QuotaTolerance {
  Millis Window{8'000};
  double Overshoot = 0.1;
  double Slack = 0; ///< Tokens.
};

/// Fraction of the maximum level that is reserved for small requests and those
/// of high worth.
inline constexpr double ReservedFraction = 0.3;

/// Longest wait that is estimated for tokens. A front that does not get them by
/// itself asks a leader by then.
inline constexpr Millis MaxQuotaWait{1'000};

/// Rate and burst of the organisation over all fronts.
struct QuotaLimit {
  double RatePerSecond = 0; ///< 0 for no limit.
  double Burst = 0;
  QuotaTolerance Tolerance;
  /// A leader is available that grants more on request.
  bool HasPool = false;
};

/// What a front knows of its part of the rates.
struct QuotaPosition {
  size_t FrontCount = 1; ///< All that may be serving, this one included.
  TimePoint Since;       ///< Start of the process.
  /// Until then this front's part fills the pool of a leader.
  TimePoint PooledUntil;
  /// From then until this time the front uses its part itself. Unset while it
  /// does not know how many fronts there are.
  TimePoint AloneUntil;
};

/// Returns the tokens that all fronts together may spend at once beyond the
/// rate.
double burstOf(const QuotaLimit &Limit);
/// Returns the part of burstOf that pools and fronts together may store. The
/// rest covers tokens that are granted and not spent yet.
double storedBurstOf(const QuotaLimit &Limit);
/// Returns true when \p Charge has priority while its organisation exceeds its
/// rate: its rank is one that the rate covers, by the demand of the more urgent
/// ones at this front. Within the first rank that is not covered, small
/// requests and those of high worth have priority. Pure.
bool isFavoured(const LocalQuota &Quota, const QuotaLimit &Limit,
                const QuotaCharge &Charge, const QuotaPosition &Position);

void setShare(LocalQuota &Quota, double Share, TimePoint Now);
/// Takes the tokens of \p Charge. Returns false when the organisation has
/// reached its limit, or when its remaining tokens are reserved for more urgent
/// requests that wait, or for favoured ones. Not thread safe.
bool takeQuota(LocalQuota &Quota, const QuotaLimit &Limit,
               const QuotaCharge &Charge, const QuotaPosition &Position,
               TimePoint Now);
/// Fraction of its level that a front lends at most in one answer.
inline constexpr double LendableFraction = 0.75;
/// Takes at most \p Wanted tokens, to be lent to another front. Returns 0 while
/// requests wait here, or while tokens granted to this front may be unspent:
/// they are not to be used for longer than GrantLifetime. Not thread safe.
double takeLoan(LocalQuota &Quota, const QuotaLimit &Limit, double Wanted,
                const QuotaPosition &Position, TimePoint Now);
/// Ends the loans to this front before GrantEnd is set anew: those without an
/// answer are not accepted any more, and received ones are kept only up to the
/// maximum level. Not thread safe.
void endLoans(LocalQuota &Quota, const QuotaLimit &Limit,
              const QuotaPosition &Position, TimePoint Now);
/// Returns the tokens of a request that is known not to have run.
void returnQuota(LocalQuota &Quota, double Cost);
/// Estimates the time until this front can grant \p Charge by itself.
Millis estimateQuotaWait(const LocalQuota &Quota, const QuotaLimit &Limit,
                         const QuotaCharge &Charge,
                         const QuotaPosition &Position, TimePoint Now);
/// Records the demand of a request, whether granted or not.
void recordDemand(LocalQuota &Quota, const QuotaCharge &Charge, TimePoint Now);

} // namespace sassafras

#endif
