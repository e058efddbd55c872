/// \file
/// Selection of the fronts that pass messages on to the fronts of their
/// availability zone.
///
/// Load pattern: a fleet of hundreds of hosts in several zones. If every host
/// sent its state to every front, the bytes between zones would grow with the
/// square of the fleet, and small hosts would spend their processor time on
/// receiving it. A message crosses into a zone RelaysPerZone times, however
/// many fronts the zone has. The relays are independent of each other: the loss
/// of one, in whichever way, delays nothing.
#ifndef SASSAFRAS_FLEET_ZONE_RELAYS_H
#define SASSAFRAS_FLEET_ZONE_RELAYS_H

#include "core/time.h"
#include "fleet/roster.h"

#include <map>
#include <string>
#include <vector>

namespace sassafras {

/// With up to this many fronts, every host sends to every front directly.
inline constexpr size_t MaxFrontsWithoutRelays = 10;
inline constexpr size_t RelaysPerZone = 2;

struct ZoneFront {
  std::string Name;
  std::string Address;
};

/// Fronts by availability zone, in order of their names.
using FrontsByZone = std::map<std::string, std::vector<ZoneFront>>;

/// True when a fleet of \p Fronts fronts uses relays. Pure and thread safe.
bool usesZoneRelays(size_t Fronts);
/// Lists the fronts of \p Roster that are in view and not leaving. The node
/// itself is not listed. Pure.
FrontsByZone listFrontsByZone(const Roster &Roster, TimePoint Now);
/// The fronts out of \p Fronts that relay messages on \p Key, at most
/// RelaysPerZone: nodes that know the same fronts choose the same ones, and
/// different keys are spread over all. Pure and thread safe.
std::vector<ZoneFront> chooseRelays(const std::vector<ZoneFront> &Fronts,
                                    const std::string &Key);

} // namespace sassafras

#endif
