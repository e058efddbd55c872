/// \file
/// Part of each organisation's quota that the leader grants on request.
///
/// Load pattern: a small organisation within its rate whose callers are spread
/// over many fronts. If the rate were divided in advance, each front's share
/// would be less than one request, and requests would be refused while most of
/// the rate stayed unused on other fronts. Therefore only a fraction is divided
/// in advance (rate_share.h). A front that has too little asks for more when a
/// request needs it.
#ifndef SASSAFRAS_POLICY_QUOTA_POOL_H
#define SASSAFRAS_POLICY_QUOTA_POOL_H

#include "policy/rate_share.h"

#include <map>
#include <string>

namespace sassafras {

/// Maximum level of the pool as a fraction of storedBurstOf. docs/design/08
/// adds it to those of the fronts.
inline constexpr double PoolBurstFraction = 0.6;

/// A front whose part of the rates fills the pools of this leader.
struct PoolMember {
  TimePoint CountedUntil;
  TimePoint Until;
};

/// The fronts on whose parts a leader counts. It does so only while it knows
/// that a front neither uses its part itself nor leaves it to another leader.
struct PoolMembers {
  std::map<std::string, PoolMember> Fronts; ///< By node name.
  /// Time for which all fronts together have filled the pools, in seconds: one
  /// second of half of the fronts is half a second.
  double FillSeconds = 0;
};

/// Records that the part of \p Front fills the pools from \p From, or from when
/// it did already without a break, until \p Until. Not thread safe.
void recordPoolMember(PoolMembers &Members, const std::string &Front,
                      TimePoint From, TimePoint Until);
/// Adds the time up to \p Now that is not counted yet, as a fraction of
/// \p FrontCount fronts, which is at least one. Not thread safe.
void countPoolMembers(PoolMembers &Members, size_t FrontCount, TimePoint Now);

/// Pool of one organisation at the leader.
struct QuotaPool {
  double Level = 0;       ///< Tokens. Negative after a grant on credit.
  double FillSeconds = 0; ///< PoolMembers::FillSeconds at the last refill.
  double Granted = 0;     ///< Tokens since the last report.
};

/// Request of one front for tokens.
struct PoolRequest {
  double Wanted = 0;       ///< Tokens for all requests that wait there.
  double Minimum = 0;      ///< Tokens for the first of them.
  bool IsFavoured = false; ///< The first request has priority: isFavoured.
};

/// Tokens granted to the front, or the time after which to ask again.
struct PoolGrant {
  double Granted = 0;
  Millis Wait{0};
};

/// Takes tokens from the pool. A new leader's pool is empty: what the leader
/// before has granted is not known. \p FillSeconds: PoolMembers::FillSeconds of
/// this leader. \p IsOverRate: the organisation asks for more than its rate,
/// and a part of the pool is reserved for favoured requests. Not thread safe.
PoolGrant drawFromPool(QuotaPool &Pool, const QuotaLimit &Limit,
                       const PoolRequest &Request, bool IsOverRate,
                       double FillSeconds);

} // namespace sassafras

#endif
