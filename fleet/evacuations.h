/// \file
/// Availability zones that operators have taken out of service.
///
/// Load pattern: an operator moves all requests out of a zone before work on
/// it, while fronts start, die and are cut off. All fronts come to the same
/// state, and none goes back to an earlier one.
#ifndef SASSAFRAS_FLEET_EVACUATIONS_H
#define SASSAFRAS_FLEET_EVACUATIONS_H

#include "core/time.h"
#include "wire/inner.pb.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sassafras {

/// Longest name of a zone, in bytes.
inline constexpr size_t MaxZoneNameBytes = 255;
/// Zones whose ended evacuation is remembered, the latest ones.
inline constexpr int MaxEndedEvacuations = 32;

struct ZoneEvacuation {
  bool IsActive = false; ///< False: it has ended.
  uint64_t Version = 0;  ///< Of the change that made it so.
  TimePoint ChangedAt;   ///< As far as this process knows.
};

struct Evacuations {
  uint64_t Version = 0; ///< Number of changes that were applied.
  std::map<std::string, ZoneEvacuation> Zones;
};

/// A difference between two states.
struct ZoneChange {
  std::string Zone;
  bool IsActive = false;
  uint64_t Version = 0;
};

/// Why \p Zone cannot be the name of a zone; nothing if it can. Pure.
std::optional<std::string> findZoneNameProblem(const std::string &Zone);
/// True while nothing may be sent to endpoints in \p Zone. Thread safe while
/// \p State does not change.
bool isEvacuated(const Evacuations &State, const std::string &Zone);
/// The same for the replicated form.
bool isEvacuated(const wire::EvacuationState &State, const std::string &Zone);
/// Applies a committed change. A change to what already holds has no effect and
/// returns false. Not thread safe.
bool applyEvacuationChange(wire::EvacuationState &State,
                           const wire::EvacuationChange &Change);
/// Takes over \p Newer if its version is higher, and returns the zones that
/// differ. Not thread safe.
std::vector<ZoneChange> mergeEvacuations(Evacuations &State,
                                         const wire::EvacuationState &Newer,
                                         TimePoint Now);
/// The state in the form in which it is sent. Thread safe while \p State does
/// not change.
wire::EvacuationState makeEvacuationState(const Evacuations &State,
                                          TimePoint Now);
/// When the state changed last; the epoch if it never did. Pure.
TimePoint lastChangeOf(const Evacuations &State);

} // namespace sassafras

#endif
