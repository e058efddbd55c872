#include "control/leadership.h"

#include "control/control_parts.h"
#include "core/timing.h"

namespace sassafras {

namespace {

/// A node that was silent for so long is forgotten.
constexpr std::chrono::minutes NodeMemory{5};

OrganisationRate rateOf(const ControlState &State, const std::string &Tenant) {
  const wire::TableRow *row = findRow(State.Fleet.Items, Tenant);
  if (!row || row->kind() != wire::ROW_TENANT)
    return {};
  return {row->rate(), row->burst()};
}

void takeReturn(ControlState &State, const wire::GrantReturn &Return,
                TimePoint Now) {
  OrganisationRate rate = rateOf(State, Return.tenant());
  if (Return.grant() != 0) {
    returnGrant(State.Bank, Return.tenant(), Return.grant(), Return.unspent(),
                rate, Now);
    return;
  }
  refundCharge(State.Bank, Return.tenant(), Return.unspent(),
               Now - Millis(Return.charged_ago_ms()), rate, Now);
}

void takeGrantRequest(ControlState &State, const wire::Envelope &Message,
                      TimePoint Now, ControlEffects &Out) {
  auto node = State.Nodes.find(Message.from());
  // Only a node whose view is kept here may hold tokens.
  if (!canPropose(State.Raft, Now) || State.IsStopping ||
      node == State.Nodes.end() ||
      node->second.Incarnation != Message.incarnation())
    return;
  const wire::GrantRequest &request = Message.grant_request();
  if (request.number() <= node->second.LastGrantRequest)
    return;
  node->second.LastGrantRequest = request.number();
  for (const wire::GrantReturn &it : request.returned())
    takeReturn(State, it, Now);
  wire::Envelope message;
  wire::GrantReply &reply = *message.mutable_grant_reply();
  reply.set_number(request.number());
  for (const wire::TenantGrant &it : request.wanted()) {
    auto grant = issueGrant(State.Bank, it.tenant(), rateOf(State, it.tenant()),
                            {Message.from(), it.tokens(), it.least()}, Now);
    if (!grant)
      continue;
    wire::Grant &given = *reply.add_grants();
    given.set_id(grant->Id);
    given.set_tenant(it.tenant());
    given.set_tokens(grant->Tokens);
  }
  sendMessage(Out, Message.reply_address(), std::move(message));
}

} // namespace

void sendMessage(ControlEffects &Out, const std::string &Address,
                 wire::Envelope Message) {
  Out.push_back(RaftSend{Address, std::move(Message)});
}

void noteLeadership(ControlState &State, TimePoint Now) {
  if (!isTermEstablished(State.Raft) || State.LedTerm == State.Raft.Term)
    return;
  State.LedTerm = State.Raft.Term;
  State.LedSince = Now;
  State.Nodes.clear();
  State.FleetTimeBaseMs = State.Fleet.FleetTimeMs;
  State.FleetTimeBaseAt = Now;
  State.LoadTokens = 0;
  State.LoadTokensAt = Now;
  resetBuckets(State.Bank, Now);
}

void receiveFromNode(ControlState &State, const wire::Envelope &Message,
                     TimePoint Now, RaftEffects &Raft, ControlEffects &Out) {
  switch (Message.body_case()) {
  case wire::Envelope::kHeartbeat:
    if (canPropose(State.Raft, Now))
      takeHeartbeat(State, Message, Now, Raft, Out);
    else
      nameLeader(State, Message, Out);
    return;
  case wire::Envelope::kProposal:
    takeProposal(State, Message, Now, Raft, Out);
    return;
  case wire::Envelope::kGrantRequest:
    takeGrantRequest(State, Message, Now, Out);
    return;
  case wire::Envelope::kStatusRequest:
    answerStatus(State, Message, Now, Out);
    return;
  default:
    return;
  }
}

void tickLeader(ControlState &State, TimePoint Now, RaftEffects &Raft,
                ControlEffects &Out) {
  if (!canPropose(State.Raft, Now) || State.IsStopping)
    return;
  checkSilence(State, Now, Raft);
  placeReplicas(State, Now, Raft);
  pushChanges(State, Now, Out);
  std::erase_if(State.Nodes, [&](const auto &it) {
    return Now - it.second.LastHeard > NodeMemory;
  });
}

uint64_t inForceVersion(const ControlState &State, TimePoint Now) {
  // Nodes may still hold a view that an earlier leader confirmed.
  if (Now - State.LedSince < timing::ViewLease)
    return 0;
  uint64_t version = State.Fleet.Version;
  for (const auto &[name, info] : State.Nodes)
    if (Now - info.LastHeard < timing::ViewLease)
      version = std::min(version, info.Beat.applied_version());
  return version;
}

} // namespace sassafras
