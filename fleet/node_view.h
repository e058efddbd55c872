/// \file
/// A node's copy of the fleet's items, kept by heartbeats to the control
/// leader, and how long that copy may be relied on.
#ifndef SASSAFRAS_FLEET_NODE_VIEW_H
#define SASSAFRAS_FLEET_NODE_VIEW_H

#include "core/time.h"
#include "fleet/item_store.h"

#include <map>
#include <string>
#include <vector>

namespace sassafras {

/// Times of sent heartbeats kept to match replies.
inline constexpr size_t MaxSentHeartbeats = 32;

struct NodeView {
  std::vector<std::string> ControlAddresses;
  std::string LeaderAddress; ///< Empty while unknown.
  ItemStore Items;
  uint64_t Version = 0;
  uint64_t Term = 0;
  TimePoint TermSince;
  /// Starts at the process's incarnation, so that no reply to an earlier
  /// process is taken for one to this.
  uint64_t NextNumber = 1;
  std::map<uint64_t, TimePoint> SentAt;
  TimePoint LeaseEnd;       ///< The view is confirmed until then.
  TimePoint LastReply;      ///< From a leader.
  uint64_t FleetTimeMs = 0; ///< At FleetTimeAt, by the leader of Term.
  TimePoint FleetTimeAt;
  TimePoint NextHeartbeat;
  uint64_t ViewsSeen = 0;
};

/// Numbers \p Beat and notes its sending; returns the addresses it goes to.
std::vector<std::string> prepareHeartbeat(NodeView &View, wire::Heartbeat &Beat,
                                          TimePoint Now);
/// Takes a reply. True when items changed. Replies that do not answer a
/// heartbeat of this process, or are of an older leader, change nothing.
bool applyHeartbeatReply(NodeView &View, const wire::HeartbeatReply &Reply,
                         TimePoint Now);
/// True while the copy is confirmed by a leader.
bool isConfirmed(const NodeView &View, TimePoint Now);
/// Least time of the fleet that it can be now.
uint64_t fleetTimeMs(const NodeView &View, TimePoint Now);
/// Where proposals go: the leader, or every control process while unknown.
std::vector<std::string> proposalTargets(const NodeView &View);

} // namespace sassafras

#endif
