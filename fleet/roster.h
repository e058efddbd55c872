/// \file
/// The nodes of a fleet as one node knows them. There is no fixed list: nodes
/// are found through the seeds and through entries passed on by other nodes.
#ifndef SASSAFRAS_FLEET_ROSTER_H
#define SASSAFRAS_FLEET_ROSTER_H

#include "core/time.h"
#include "wire/inner.pb.h"

#include <map>
#include <string>
#include <vector>

namespace sassafras {

/// A node that has not been heard from for this long is out of view. Three
/// heartbeats at their longest period.
inline constexpr Millis NodeTimeout{2'400};
/// A node that has not been heard from for this long is forgotten. Until then a
/// front that has not left may still be serving behind a cut.
inline constexpr Millis NodeRetention{120'000};

struct KnownNode {
  wire::NodeEntry Entry;
  TimePoint HeardAt;
  bool IsLeaving = false;
  uint64_t TableVersion = 0;      ///< From its last heartbeat.
  uint64_t EvacuationVersion = 0; ///< The same.
};

struct Roster {
  std::map<std::string, KnownNode> Nodes; ///< Other nodes, by name.
};

/// Records a heartbeat of the node itself. True when the node or its process is
/// new.
bool recordNodeHeartbeat(Roster &Roster, const wire::NodeEntry &Entry,
                         TimePoint Now);
/// Merges \p Entry, passed on by another node. True when the node or its
/// process is new.
bool mergeNode(Roster &Roster, const wire::NodeEntry &Entry,
               const std::string &SelfName, TimePoint Now);
/// Removes nodes that have not been heard from for NodeRetention.
void expireNodes(Roster &Roster, TimePoint Now);
bool isInView(const KnownNode &Node, TimePoint Now);
/// Number of nodes of \p Kind in view, this one excluded.
size_t countInView(const Roster &Roster, wire::NodeKind Kind, TimePoint Now);
/// Digest over the names and processes of nodes in view, \p Self included;
/// equal at nodes with the same nodes in view.
uint64_t digestRoster(const Roster &Roster, const wire::NodeEntry &Self,
                      TimePoint Now);
/// All nodes in view and this one, to pass on to another node.
wire::RosterUpdate makeRosterUpdate(const Roster &Roster,
                                    const wire::NodeEntry &Self, TimePoint Now);
/// The same for a node whose digest is equal: only the times at which the nodes
/// were heard from.
wire::RosterUpdate makeRosterRefresh(const Roster &Roster,
                                     const wire::NodeEntry &Self,
                                     TimePoint Now);
/// Digest of the nodes in view at a node that is not one of them.
uint64_t digestRoster(const Roster &Roster, TimePoint Now);
/// Applies the times of a refresh to the nodes in view. Does nothing when it is
/// not about as many nodes.
void refreshNodes(Roster &Roster, const wire::RosterUpdate &Refresh,
                  TimePoint Now);

} // namespace sassafras

#endif
