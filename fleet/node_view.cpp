#include "fleet/node_view.h"

#include "core/timing.h"

namespace sassafras {

std::vector<std::string> proposalTargets(const NodeView &View) {
  if (View.LeaderAddress.empty())
    return View.ControlAddresses;
  return {View.LeaderAddress};
}

std::vector<std::string>
prepareHeartbeat(NodeView &View, wire::Heartbeat &Message, TimePoint Now) {
  Message.set_number(View.NextNumber++);
  Message.set_applied_version(View.Version);
  Message.set_views_seen(View.ViewsSeen);
  View.SentAt[Message.number()] = Now;
  if (View.SentAt.size() > MaxSentHeartbeats)
    View.SentAt.erase(View.SentAt.begin());
  View.NextHeartbeat = Now + timing::HeartbeatPeriod;
  // A leader that has not replied for two periods may have failed, so the
  // heartbeat goes to every control process.
  if (Now - View.LastReply > 2 * timing::HeartbeatPeriod)
    View.LeaderAddress.clear();
  return proposalTargets(View);
}

static void applyItems(NodeView &View, const wire::HeartbeatReply &Reply) {
  if (Reply.reset())
    View.Items.clear();
  for (const wire::Item &it : Reply.items())
    View.Items.put(it, it.version());
  // Nodes do not serve deltas, so deletions need not be kept.
  View.Items.pruneDeletions(0);
  View.Version = Reply.version();
  ++View.ViewsSeen;
}

bool applyHeartbeatReply(NodeView &View, const wire::HeartbeatReply &Reply,
                         TimePoint Now) {
  auto sent = View.SentAt.find(Reply.number());
  if (sent == View.SentAt.end() || Reply.term() < View.Term)
    return false;
  if (!Reply.is_leader()) {
    bool isLeaderSilent = Now - View.LastReply > 2 * timing::HeartbeatPeriod;
    if (isLeaderSilent && !Reply.leader_address().empty())
      View.LeaderAddress = Reply.leader_address();
    return false;
  }
  if (Reply.term() > View.Term) {
    View.EarlierClock = {View.Term, View.FleetTimeMs, View.FleetTimeAt};
    View.Term = Reply.term();
    View.TermSince = Now;
    View.FleetTimeMs = 0;
  }
  View.LeaderAddress = Reply.leader_address();
  View.LastReply = Now;
  if (Reply.fleet_time_ms() > fleetTimeMs(View, Now)) {
    View.FleetTimeMs = Reply.fleet_time_ms();
    View.FleetTimeAt = Now;
  }
  bool isApplicable = Reply.reset() || Reply.base_version() <= View.Version;
  if (!isApplicable)
    return false;
  bool isNewer = Reply.version() > View.Version;
  if (isNewer)
    applyItems(View, Reply);
  // A reply with an older version extends the lease too: the leader had nothing
  // newer when it replied, and the version held here includes that one.
  View.LeaseEnd = std::max(View.LeaseEnd, sent->second + timing::ViewLease);
  return isNewer && Reply.items_size() > 0;
}

bool isConfirmed(const NodeView &View, TimePoint Now) {
  return Now < View.LeaseEnd;
}

uint64_t fleetTimeMs(const NodeView &View, TimePoint Now) {
  if (View.FleetTimeMs == 0)
    return 0;
  return View.FleetTimeMs + toMillis(Now - View.FleetTimeAt);
}

std::optional<uint64_t> earlierFleetTimeMs(const NodeView &View, uint64_t Term,
                                           TimePoint Now) {
  const FleetClock &clock = View.EarlierClock;
  if (clock.Term != Term || clock.TimeMs == 0)
    return std::nullopt;
  return clock.TimeMs + toMillis(Now - clock.At);
}

} // namespace sassafras
