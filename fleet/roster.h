/// \file
/// The nodes of a fleet as one node knows them. Nothing lists them: each is
/// found from the seeds and from what other nodes pass on.
#ifndef SASSAFRAS_FLEET_ROSTER_H
#define SASSAFRAS_FLEET_ROSTER_H

#include "core/time.h"
#include "wire/inner.pb.h"

#include <map>
#include <string>
#include <vector>

namespace sassafras {

/// A node without a sign of life for this long counts as out of view. Three
/// heartbeats at their slowest pace.
inline constexpr Millis NodeTimeout{2'400};
/// A node out of view for this long is forgotten.
inline constexpr Millis NodeMemory{30'000};

struct KnownNode {
  wire::NodeEntry Entry;
  TimePoint HeardAt;
  bool IsLeaving = false;
  uint64_t TableVersion = 0; ///< By its last heartbeat.
};

struct Roster {
  std::map<std::string, KnownNode> Nodes; ///< Others, by name.
};

/// A node spoke for itself. True when it is new or a new process.
bool recordNodeHeartbeat(Roster &Roster, const wire::NodeEntry &Entry,
                         TimePoint Now);
/// Another node passed on \p Entry. True when it was new.
bool mergeNode(Roster &Roster, const wire::NodeEntry &Entry,
               const std::string &SelfName, TimePoint Now);
/// Forgets nodes that are silent for long.
void expireNodes(Roster &Roster, TimePoint Now);
bool isInView(const KnownNode &Node, TimePoint Now);
/// Nodes of \p Kind in view, this one not counted.
size_t countInView(const Roster &Roster, wire::NodeKind Kind, TimePoint Now);
/// Digest over the names and processes of nodes in view, \p Self included;
/// equal at nodes that know the same.
uint64_t digestRoster(const Roster &Roster, const wire::NodeEntry &Self,
                      TimePoint Now);
/// All nodes in view and this one, to pass on.
wire::RosterUpdate makeRosterUpdate(const Roster &Roster,
                                    const wire::NodeEntry &Self, TimePoint Now);

} // namespace sassafras

#endif
