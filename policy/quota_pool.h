/// \file
/// The part of each organisation's quota that the leader hands out on request.
///
/// Load pattern: a small organisation inside its rate whose callers are spread
/// over many fronts. Divided beforehand, each front's part is less than one
/// request and is refused for want of luck, while most of the rate is unused
/// elsewhere. So only a part is divided beforehand (rate_share.h); a front
/// that is short asks for the rest when a request needs it.
#ifndef SASSAFRAS_POLICY_QUOTA_POOL_H
#define SASSAFRAS_POLICY_QUOTA_POOL_H

#include "policy/rate_share.h"

namespace sassafras {

/// Part of what the limit's tolerance allows at once that the pool may save
/// up. With what fronts save up and one request on credit it stays within the
/// tolerance.
inline constexpr double PoolSavedPart = 0.55;

/// Part that a new leader's pool begins with. An earlier leader may just have
/// handed out all that it had saved up; this stays within the tolerance too.
inline constexpr double PoolStartPart = 0.2;

/// One organisation's pool at the leader.
struct QuotaPool {
  double Level = 0;   ///< Tokens; below zero after a grant on credit.
  TimePoint FilledAt; ///< Unset before the first wish.
};

/// What one front asks for.
struct PoolWish {
  double Wanted = 0;       ///< Tokens for all requests that wait there.
  double Least = 0;        ///< Tokens for the first of them.
  bool IsFavoured = false; ///< That one is small or worth much.
};

/// Tokens for the front, or the time after which to ask again.
struct PoolGrant {
  double Granted = 0;
  Millis Wait{0};
};

/// A leader's pools start at \p LedSince. \p IsBeyond: the organisation asks
/// for more than its rate, and a part is kept for favoured requests. Not thread
/// safe.
PoolGrant drawFromPool(QuotaPool &Pool, const QuotaLimit &Limit,
                       const PoolWish &Wish, bool IsBeyond, TimePoint LedSince,
                       TimePoint Now);

} // namespace sassafras

#endif
