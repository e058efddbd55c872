#include "control/leadership.h"

#include "control/control_parts.h"
#include "core/timing.h"

namespace sassafras {

namespace {

/// Nodes without a heartbeat for this long are removed.
constexpr std::chrono::minutes NodeRetention{5};

OrganisationRate rateOf(const ControlState &State,
                        const std::string &Organisation) {
  const wire::TableRow *row = findRow(State.Fleet.Items, Organisation);
  if (!row || row->kind() != wire::ROW_TENANT)
    return {};
  return {row->rate(), row->burst()};
}

void handleGrantReturn(ControlState &State, const wire::GrantReturn &Return,
                       TimePoint Now) {
  OrganisationRate rate = rateOf(State, Return.tenant());
  if (Return.grant() != 0) {
    returnGrant(State.Buckets, Return.tenant(), Return.grant(),
                Return.unspent(), rate, Now);
    return;
  }
  refundCharge(State.Buckets, Return.tenant(), Return.unspent(),
               Now - Millis(Return.charged_ago_ms()), rate, Now);
}

void handleGrantRequest(ControlState &State, const wire::Envelope &Message,
                        TimePoint Now, ControlEffects &Out) {
  auto node = State.Nodes.find(Message.from());
  // Tokens are granted only to a node process that this leader has received a
  // heartbeat from.
  if (!canPropose(State.Raft, Now) || State.IsStopping ||
      node == State.Nodes.end() ||
      node->second.Incarnation != Message.incarnation())
    return;
  const wire::GrantRequest &request = Message.grant_request();
  if (request.number() <= node->second.LastGrantRequest)
    return;
  node->second.LastGrantRequest = request.number();
  for (const wire::GrantReturn &it : request.returned())
    handleGrantReturn(State, it, Now);
  wire::Envelope message;
  wire::GrantReply &reply = *message.mutable_grant_reply();
  reply.set_number(request.number());
  for (const wire::OrganisationGrantRequest &it : request.wanted()) {
    auto grant =
        issueGrant(State.Buckets, it.tenant(), rateOf(State, it.tenant()),
                   {Message.from(), it.tokens(), it.least()}, Now);
    if (!grant)
      continue;
    wire::Grant &granted = *reply.add_grants();
    granted.set_id(grant->Id);
    granted.set_tenant(it.tenant());
    granted.set_tokens(grant->Tokens);
  }
  sendMessage(Out, Message.reply_address(), std::move(message));
}

} // namespace

void sendMessage(ControlEffects &Out, const std::string &Address,
                 wire::Envelope Message) {
  Out.push_back(RaftSend{Address, std::move(Message)});
}

void initLeaderState(ControlState &State, TimePoint Now) {
  if (!isTermEstablished(State.Raft) || State.SoftStateTerm == State.Raft.Term)
    return;
  State.SoftStateTerm = State.Raft.Term;
  State.LeaderSince = Now;
  State.Nodes.clear();
  State.FleetTimeBaseMs = State.Fleet.FleetTimeMs;
  State.FleetTimeBaseAt = Now;
  State.LoadTokens = 0;
  State.LoadTokensUpdatedAt = Now;
  resetBuckets(State.Buckets, Now);
}

void handleNodeMessage(ControlState &State, const wire::Envelope &Message,
                       TimePoint Now, RaftEffects &Raft, ControlEffects &Out) {
  switch (Message.body_case()) {
  case wire::Envelope::kHeartbeat:
    if (canPropose(State.Raft, Now))
      handleHeartbeat(State, Message, Now, Raft, Out);
    else
      sendLeaderAddress(State, Message, Out);
    return;
  case wire::Envelope::kProposal:
    handleProposal(State, Message, Now, Raft, Out);
    return;
  case wire::Envelope::kGrantRequest:
    handleGrantRequest(State, Message, Now, Out);
    return;
  case wire::Envelope::kStatusRequest:
    sendStatusReply(State, Message, Now, Out);
    return;
  default:
    return;
  }
}

void tickLeader(ControlState &State, TimePoint Now, RaftEffects &Raft,
                ControlEffects &Out) {
  if (!canPropose(State.Raft, Now) || State.IsStopping)
    return;
  checkEndpointTimeouts(State, Now, Raft);
  placeReplicas(State, Now, Raft);
  pushChanges(State, Now, Out);
  std::erase_if(State.Nodes, [&](const auto &it) {
    return Now - it.second.LastHeard > NodeRetention;
  });
}

uint64_t inForceVersion(const ControlState &State, TimePoint Now) {
  // Nodes may still hold a view whose lease an earlier leader granted.
  if (Now - State.LeaderSince < timing::ViewLease)
    return 0;
  uint64_t version = State.Fleet.Version;
  for (const auto &[name, info] : State.Nodes)
    if (Now - info.LastHeard < timing::ViewLease)
      version = std::min(version, info.LastHeartbeat.applied_version());
  return version;
}

} // namespace sassafras
