/// \file
/// A node's copy of the fleet's items, updated by the replies to its heartbeats
/// to the control leader, and the lease until which the copy may be relied on.
#ifndef SASSAFRAS_FLEET_NODE_VIEW_H
#define SASSAFRAS_FLEET_NODE_VIEW_H

#include "core/time.h"
#include "fleet/item_store.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sassafras {

/// Number of sent heartbeats whose send times are kept to match replies.
inline constexpr size_t MaxSentHeartbeats = 32;

/// Time stamps of the leader of one term.
struct FleetClock {
  uint64_t Term = 0;
  uint64_t TimeMs = 0; ///< At At; 0 while unknown.
  TimePoint At;
};

struct NodeView {
  std::vector<std::string> ControlAddresses;
  std::string LeaderAddress; ///< Empty while unknown.
  ItemStore Items;
  uint64_t Version = 0;
  uint64_t Term = 0;
  TimePoint TermSince;
  /// Starts at the process's incarnation, so that a reply to an earlier process
  /// does not match a heartbeat of this one.
  uint64_t NextNumber = 1;
  std::map<uint64_t, TimePoint> SentAt;
  TimePoint LeaseEnd;       ///< A leader has confirmed the view until then.
  TimePoint LastReply;      ///< From a leader.
  uint64_t FleetTimeMs = 0; ///< At FleetTimeAt, from the leader of Term.
  TimePoint FleetTimeAt;
  FleetClock EarlierClock; ///< Of the term that was known before Term.
  TimePoint NextHeartbeat;
  uint64_t ViewsSeen = 0;
};

/// Numbers \p Message, records its send time and returns the addresses to
/// send it to.
std::vector<std::string>
prepareHeartbeat(NodeView &View, wire::Heartbeat &Message, TimePoint Now);
/// Applies a reply. True when items changed. A reply that matches no recent
/// heartbeat of this process, or is of an earlier term, changes nothing.
bool applyHeartbeatReply(NodeView &View, const wire::HeartbeatReply &Reply,
                         TimePoint Now);
/// True while the lease on the copy, confirmed by a leader, has not expired.
bool isConfirmed(const NodeView &View, TimePoint Now);
/// Lower bound of the current fleet time; 0 while unknown.
uint64_t fleetTimeMs(const NodeView &View, TimePoint Now);
/// The same by the clock of the leader of \p Term, which is earlier than
/// View.Term; nothing unless it is the term that was known before.
std::optional<uint64_t> earlierFleetTimeMs(const NodeView &View, uint64_t Term,
                                           TimePoint Now);
/// Addresses for proposals: the leader, or every control process while the
/// leader is unknown.
std::vector<std::string> proposalTargets(const NodeView &View);

} // namespace sassafras

#endif
