#include "control/control_parts.h"

#include "core/timing.h"
#include "replication/group_status.h"

#include <algorithm>

namespace sassafras {

namespace {

/// Prefixes of the items that entries hold.
constexpr std::string_view EntryItems[] = {
    "row/", "key/", "endpoint/", "replica/", "quarantine/", "death/"};
bool isForNode(const wire::Item &Item, const std::string &Node,
               const NodeInfo &Info) {
  const std::string &name = Item.name();
  if (Info.Beat.is_agent())
    return name == endpointItemName(Node) ||
           name.starts_with(replicaItemName(Node, ""));
  return std::any_of(std::begin(EntryItems), std::end(EntryItems),
                     [&](std::string_view it) { return name.starts_with(it); });
}

/// Answer to the node's newest heartbeat with all that it lacks.
wire::HeartbeatReply makeReply(const ControlState &State,
                               const std::string &Node, const NodeInfo &Info,
                               TimePoint Now) {
  const ItemStore &items = State.Fleet.Items;
  wire::HeartbeatReply reply;
  reply.set_number(Info.Beat.number());
  reply.set_term(State.Raft.Term);
  reply.set_is_leader(true);
  reply.set_leader_address(State.Raft.Self.Address);
  reply.set_fleet_time_ms(fleetNow(State, Now));
  reply.set_version(State.Fleet.Version);
  uint64_t base = Info.Beat.applied_version();
  if (base < items.oldestDelta()) {
    reply.set_reset(true);
    base = 0;
  }
  reply.set_base_version(base);
  for (const wire::Item *it : items.since(base))
    if (isForNode(*it, Node, Info) && !(base == 0 && it->deleted()))
      *reply.add_items() = *it;
  return reply;
}

} // namespace

void replyToNode(ControlState &State, const std::string &Node, NodeInfo &Info,
                 TimePoint Now, ControlEffects &Out) {
  wire::Envelope message;
  *message.mutable_heartbeat_reply() = makeReply(State, Node, Info, Now);
  for (const wire::DeathReport &it : Info.Beat.deaths())
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
    bool isConcerned = false;
    uint64_t seen = std::max(info.PushedVersion, info.Beat.applied_version());
    for (const wire::Item *it : State.Fleet.Items.since(seen))
      isConcerned |= isForNode(*it, name, info);
    if (isConcerned)
      replyToNode(State, name, info, Now, Out);
    else
      info.PushedVersion = State.Fleet.Version;
  }
}

void answerStatus(const ControlState &State, const wire::Envelope &Message,
                  TimePoint Now, ControlEffects &Out) {
  const wire::StatusRequest &request = Message.status_request();
  wire::Envelope answer;
  wire::StatusReply &reply = *answer.mutable_status_reply();
  reply.set_request_id(request.request_id());
  reply.set_node(State.Raft.Self.Name);
  fillGroupStatus(State.Raft, Now, reply);
  reply.set_version(State.Fleet.Version);
  reply.set_table_version(State.Fleet.TableVersion);
  reply.set_in_force_version(inForceVersion(State, Now));
  for (const auto &[name, info] : State.Nodes) {
    wire::NodeStatus &node = *reply.add_nodes();
    node.set_name(name);
    node.set_applied_version(info.Beat.applied_version());
    node.set_silent_ms(toMillis(Now - info.LastHeard));
    node.set_is_agent(info.Beat.is_agent());
  }
  if (request.with_items())
    for (const wire::Item *it : State.Fleet.Items.list(request.prefix()))
      *reply.add_items() = *it;
  sendMessage(Out, Message.reply_address(), std::move(answer));
}

void nameLeader(const ControlState &State, const wire::Envelope &Message,
                ControlEffects &Out) {
  wire::Envelope answer;
  wire::HeartbeatReply &reply = *answer.mutable_heartbeat_reply();
  reply.set_number(Message.heartbeat().number());
  reply.set_term(State.Raft.Term);
  if (State.Raft.Role == RaftRole::Follower)
    reply.set_leader_address(leaderAddress(State.Raft));
  sendMessage(Out, Message.reply_address(), std::move(answer));
}

} // namespace sassafras
