#include "control/control_parts.h"

#include "core/timing.h"
#include "replication/group_status.h"

#include <algorithm>

namespace sassafras {

namespace {

/// Name prefixes of the items that are sent to entries.
constexpr std::string_view EntryItemPrefixes[] = {
    "row/", "key/", "endpoint/", "replica/", "quarantine/", "death/"};
/// Entries receive all items with one of those prefixes, agents only their own
/// endpoint and its replicas.
bool isForNode(const wire::Item &Item, const std::string &Node,
               const NodeInfo &Info) {
  const std::string &name = Item.name();
  if (Info.LastHeartbeat.is_agent())
    return name == endpointItemName(Node) ||
           name.starts_with(replicaItemName(Node, ""));
  return std::any_of(std::begin(EntryItemPrefixes), std::end(EntryItemPrefixes),
                     [&](std::string_view it) { return name.starts_with(it); });
}

/// Returns the reply to the node's latest heartbeat with all items changed
/// since the version that the node has applied. If it has applied none, or the
/// deletions since then are no longer all kept, the reply holds the whole view
/// without deletions and its reset flag is set: the node may hold a view by the
/// time that the reply arrives.
wire::HeartbeatReply makeHeartbeatReply(const ControlState &State,
                                        const std::string &Node,
                                        const NodeInfo &Info, TimePoint Now) {
  const ItemStore &items = State.Fleet.Items;
  wire::HeartbeatReply reply;
  reply.set_number(Info.LastHeartbeat.number());
  reply.set_term(State.Raft.Term);
  reply.set_is_leader(true);
  reply.set_leader_address(State.Raft.Self.Address);
  reply.set_fleet_time_ms(currentFleetTimeMs(State, Now));
  reply.set_version(State.Fleet.Version);
  uint64_t base = Info.LastHeartbeat.applied_version();
  bool isWhole = base == 0 || base < items.oldestDelta();
  if (isWhole)
    base = 0;
  reply.set_reset(isWhole);
  reply.set_base_version(base);
  for (const wire::Item *it : items.since(base))
    if (isForNode(*it, Node, Info) && !(isWhole && it->deleted()))
      *reply.add_items() = *it;
  return reply;
}

} // namespace

void sendHeartbeatReply(ControlState &State, const std::string &Node,
                        NodeInfo &Info, TimePoint Now, ControlEffects &Out) {
  wire::Envelope message;
  *message.mutable_heartbeat_reply() =
      makeHeartbeatReply(State, Node, Info, Now);
  for (const wire::DeathReport &it : Info.LastHeartbeat.deaths())
    if (State.Fleet.Operations.contains("death/" + it.death()))
      message.mutable_heartbeat_reply()->add_deaths_recorded(it.death());
  Info.PushedVersion = State.Fleet.Version;
  sendMessage(Out, Info.Address, std::move(message));
}

void pushChanges(ControlState &State, TimePoint Now, ControlEffects &Out) {
  for (auto &[name, info] : State.Nodes) {
    if (info.PushedVersion >= State.Fleet.Version ||
        Now - info.LastHeard > timing::ViewLease)
      continue;
    bool hasRelevantItem = false;
    uint64_t seen =
        std::max(info.PushedVersion, info.LastHeartbeat.applied_version());
    for (const wire::Item *it : State.Fleet.Items.since(seen))
      hasRelevantItem |= isForNode(*it, name, info);
    if (hasRelevantItem)
      sendHeartbeatReply(State, name, info, Now, Out);
    else
      info.PushedVersion = State.Fleet.Version;
  }
}

void sendStatusReply(const ControlState &State, const wire::Envelope &Message,
                     TimePoint Now, ControlEffects &Out) {
  const wire::StatusRequest &request = Message.status_request();
  wire::Envelope envelope;
  wire::StatusReply &reply = *envelope.mutable_status_reply();
  reply.set_request_id(request.request_id());
  reply.set_node(State.Raft.Self.Name);
  fillGroupStatus(State.Raft, Now, reply);
  reply.set_version(State.Fleet.Version);
  reply.set_table_version(State.Fleet.TableVersion);
  reply.set_in_force_version(inForceVersion(State, Now));
  for (const auto &[name, info] : State.Nodes) {
    wire::NodeStatus &node = *reply.add_nodes();
    node.set_name(name);
    node.set_applied_version(info.LastHeartbeat.applied_version());
    node.set_silent_ms(toMillis(Now - info.LastHeard));
    node.set_is_agent(info.LastHeartbeat.is_agent());
  }
  if (request.with_items())
    for (const wire::Item *it : State.Fleet.Items.list(request.prefix()))
      *reply.add_items() = *it;
  sendMessage(Out, Message.reply_address(), std::move(envelope));
}

void sendLeaderAddress(const ControlState &State, const wire::Envelope &Message,
                       ControlEffects &Out) {
  wire::Envelope envelope;
  wire::HeartbeatReply &reply = *envelope.mutable_heartbeat_reply();
  reply.set_number(Message.heartbeat().number());
  reply.set_term(State.Raft.Term);
  if (State.Raft.Role == RaftRole::Follower)
    reply.set_leader_address(leaderAddress(State.Raft));
  sendMessage(Out, Message.reply_address(), std::move(envelope));
}

} // namespace sassafras
