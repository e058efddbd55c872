/// \file
/// What a front does when the evacuation of an availability zone starts or
/// ends, and how the fronts come to know it.
///
/// Load pattern: an operator evacuates a zone with a fifth to a quarter of the
/// endpoints in the middle of traffic, and takes it back with engines that may
/// have started again meanwhile. No front sends a request there from a short
/// time after the acknowledgement on, also one that has just started. Running
/// requests end where they are.
#ifndef SASSAFRAS_FRONT_EVACUATION_EFFECTS_H
#define SASSAFRAS_FRONT_EVACUATION_EFFECTS_H

#include "front/fleet_view.h"
#include "front/front_state.h"

#include <string>
#include <vector>

namespace sassafras {

/// A front that has started uses no endpoint for this long, unless it hears
/// earlier from another front, or as the leader, that it knows the evacuations.
inline constexpr Millis EvacuationLearnTime{400};
/// The leader repeats a change for this long to the fronts that have not
/// reported it.
inline constexpr Millis EvacuationRepeatTime{10'000};

/// The fleet as an operator who evacuates a zone needs to see it.
struct ZoneSummary {
  size_t Endpoints = 0;  ///< Running in the zone.
  size_t Remaining = 0;  ///< Running in zones that are not evacuated.
  bool IsKnown = false;  ///< Something was heard from the zone, or of it.
  uint32_t OpenHere = 0; ///< Requests of this front in the zone.
};

/// Applies the evacuations if they are newer; returns the zones that have
/// changed, each of which is logged with \p Source. A zone that is taken back
/// is handed to suspectCold. Not thread safe.
std::vector<ZoneChange> applyEvacuations(FrontState &State,
                                         const wire::EvacuationState &Newer,
                                         const char *Source, TimePoint Now);
/// The endpoints of \p Zone may have started again: they get few requests at
/// first. Not thread safe.
void suspectCold(FrontState &State, const std::string &Zone, TimePoint Now);
/// True once this front knows the evacuations, or can wait no longer for them.
/// Thread safe while \p State does not change.
bool knowsEvacuations(const FrontState &State, TimePoint Now);
/// Summary of \p Zone as this front knows it. Thread safe while \p State does
/// not change.
ZoneSummary summarizeZone(const FrontState &State, const std::string &Zone,
                          TimePoint Now);

} // namespace sassafras

#endif
