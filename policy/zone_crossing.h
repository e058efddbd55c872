/// \file
/// Decides whether a request leaves its availability zone, and which share of a
/// model's requests does.
///
/// Handles these load patterns:
/// - A zone is busier than its endpoints can bear for longer than a burst,
/// while
///   others have room. A share of its requests leaves. The share follows the
///   need slowly and rests within a band, so that many fronts that read the
///   same late reports do not send everything away and back again.
/// - A burst, or lost endpoints, in one zone. Requests that would be late at
///   home and in time elsewhere leave at once; the others stay.
/// - All zones are busy. Nothing is sent back and forth between them.
/// - Long streams and large requests. The more bytes a request moves, the
/// longer
///   the wait at home that it is kept for.
#ifndef SASSAFRAS_POLICY_ZONE_CROSSING_H
#define SASSAFRAS_POLICY_ZONE_CROSSING_H

#include "core/time.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace sassafras {

/// Load of a zone's endpoints for a model, as a part of their slots, above
/// which a growing share of requests leaves it, and below which the share
/// shrinks.
inline constexpr double CrossingHighLoad = 0.9;
inline constexpr double CrossingLowLoad = 0.7;
/// Change of the share per second for each unit of load outside of that band.
/// Slower than load reports arrive and requests end.
inline constexpr double CrossingShareGain = 0.12;
/// An estimate counts as in time if it leaves this part of the time that is
/// left.
inline constexpr double CrossingMargin = 0.2;

/// What operators state about traffic between zones.
struct CrossingTerms {
  /// Time that a caller may wait longer to keep a megabyte within its zone.
  Millis WaitPerMegabyte{0};
};

/// Share of the requests for one model that leave the zone, kept by each front.
struct CrossingShare {
  double Share = 0; ///< From 0 to 1.
  TimePoint UpdatedAt;
};

/// Load of the endpoints of one or several zones for one model. Requests that
/// wait for them at fronts count as held.
struct ZoneLoad {
  double Slots = 0;
  double Held = 0;
};

/// The best endpoint at home or elsewhere, for one request.
struct ZoneOffer {
  bool HasRoom = false;
  Millis FirstPiece{0}; ///< From now, by the estimate.
};

/// What one request needs.
struct CrossingNeed {
  uint64_t Bytes = 0;       ///< That it would move between zones.
  Millis ObjectiveLeft{0};  ///< Until its first piece would be late.
  Millis CallerTimeLeft{0}; ///< Until its caller gives up.
};

enum class CrossingReason {
  HomeInTime,  ///< Stays: the first piece is in time at home.
  NoOtherZone, ///< Stays: no endpoint elsewhere has room.
  NotWorthIt,  ///< Stays: leaving saves less time than its bytes are worth.
  NoHome,      ///< Leaves: no endpoint at home can serve it.
  HomeLate,    ///< Leaves: late at home, in time elsewhere.
  ShorterWait, ///< Leaves: late in both, but sooner elsewhere.
  Share,       ///< Leaves: it is part of the share that does.
};

/// Name of \p Reason in logs and metrics.
std::string_view nameOf(CrossingReason Reason);

struct CrossingDecision {
  bool Leaves = false;
  CrossingReason Reason = CrossingReason::HomeInTime;
};

/// Adapts the share to the load at home and elsewhere. Not thread safe.
void updateCrossingShare(CrossingShare &Share, const ZoneLoad &Home,
                         const ZoneLoad &Elsewhere, TimePoint Now);

/// Decides on one request. \p Home and \p Elsewhere are absent without
/// endpoints that could serve it. \p Draw is a uniform random number in [0, 1).
/// Pure and thread safe.
CrossingDecision decideCrossing(const CrossingTerms &Terms,
                                const CrossingShare &Share,
                                const std::optional<ZoneOffer> &Home,
                                const std::optional<ZoneOffer> &Elsewhere,
                                const CrossingNeed &Need, double Draw);

} // namespace sassafras

#endif
