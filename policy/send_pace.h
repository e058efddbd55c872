/// \file
/// Schedule of the requests to an endpoint that states a request limit.
///
/// Load pattern: an endpoint in need takes one or a few requests a second over
/// all fronts, and each front has a request for it every few seconds. Divided
/// in advance, most of the limit would stay unused at fronts without a request
/// while others refuse. Therefore the leader assigns slots, evenly spaced at
/// the limit, to the requests that ask for them. A front that reaches no leader
/// uses slots of its own: a part of the limit, spread over the fronts in time,
/// so that all fronts together stay within it at any moment.
///
/// Load pattern: endpoints that have just started bear a stated rate for some
/// seconds, while a zone returns and callers wait. Their limit is handed out in
/// the same way, but it holds in every single second.
#ifndef SASSAFRAS_POLICY_SEND_PACE_H
#define SASSAFRAS_POLICY_SEND_PACE_H

#include "core/time.h"

#include <optional>

namespace sassafras {

/// Lower bound of the pace, in requests per second. An endpoint that states a
/// limit of 0 still gets a request from time to time, whose answer shows
/// whether the limit has changed.
inline constexpr double MinSendPace = 0.2;
/// Part of the limit that the fronts use together without a leader.
inline constexpr double LeaderlessPaceFraction = 0.5;
/// A slot of a front without a leader may be used for this long. A slot that
/// never ended would let idle fronts send together later on.
inline constexpr Millis LeaderlessSlotLifetime{2'000};

/// The same for an endpoint that is cold, whose limit holds in each second.
inline constexpr Millis ColdSlotLifetime{500};

/// What a deployment allows over the rate that cold endpoints state, in any
/// second.
struct ColdBound {
  double Overshoot = 1; ///< Multiple of the rate.
  double Slack = 0;     ///< Requests beyond that.
};

/// Limit to be handed out for a cold endpoint that bears \p RatePerSecond: the
/// rate, or less if permits that are up to \p PermitLifetime old and slots of
/// fronts without a leader could together exceed \p Bound in a second. Pure and
/// thread safe.
double coldPace(double RatePerSecond, const std::optional<ColdBound> &Bound,
                Millis PermitLifetime);

/// Time between two slots at a stated limit of \p RequestsPerSecond.
Clock::duration slotInterval(double RequestsPerSecond);

/// The leader's schedule of one endpoint.
struct SendSchedule {
  TimePoint NextSlot; ///< Zero before the first one.
};

/// Time of the next slot that takeSlot would assign.
TimePoint nextSlot(const SendSchedule &Schedule, TimePoint Now);
/// Assigns the next slot if it begins by \p Latest.
std::optional<TimePoint> takeSlot(SendSchedule &Schedule,
                                  double RequestsPerSecond, TimePoint Latest,
                                  TimePoint Now);

/// This front among all that share a limit without a leader.
struct FrontPlace {
  double Phase = 0; ///< In [0, 1); differs between the fronts.
  size_t FrontCount = 1;
};

/// Slots of one endpoint that a front without a leader uses.
struct LeaderlessSchedule {
  TimePoint NextSlot; ///< Zero while there is a leader.
};

/// The first slot of this front that has not been used or ended by \p Now, at
/// which it is over after \p Lifetime. It may be in the future.
TimePoint nextLeaderlessSlot(LeaderlessSchedule &Schedule,
                             double RequestsPerSecond, FrontPlace Place,
                             Millis Lifetime, TimePoint Now);
/// Marks that slot as used.
void takeLeaderlessSlot(LeaderlessSchedule &Schedule, double RequestsPerSecond,
                        FrontPlace Place);

} // namespace sassafras

#endif
