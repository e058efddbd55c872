#include "control/leadership.h"

#include "core/timing.h"
#include "fleet/table.h"

#include <algorithm>

namespace sassafras {

namespace {

/// Prefixes of the items that entries hold.
constexpr std::string_view EntryItems[] = {
    "row/", "key/", "endpoint/", "replica/", "quarantine/", "death/"};
/// A node that was silent for so long is forgotten.
constexpr std::chrono::minutes NodeMemory{5};

void send(ControlEffects &Out, const std::string &Address,
          wire::Envelope Message) {
  Out.push_back(RaftSend{Address, std::move(Message)});
}

/// Time of the fleet: rises with this leader's clock from the last stamp.
uint64_t fleetNow(const ControlState &State, TimePoint Now) {
  return State.FleetTimeBaseMs + toMillis(Now - State.FleetTimeBaseAt);
}

uint64_t propose(ControlState &State, wire::Command Command,
                 PendingProposal Proposal, TimePoint Now, RaftEffects &Raft) {
  Command.set_fleet_time_ms(fleetNow(State, Now));
  Proposal.Term = State.Raft.Term;
  if (!Proposal.OwnItem.empty())
    State.PendingItems.insert(Proposal.OwnItem);
  uint64_t index = proposeRaft(State.Raft, std::move(Command), Now, Raft);
  State.Pending[index] = std::move(Proposal);
  return index;
}

/// Proposes a change that the leader itself decided, unless one for the same
/// item is under way.
void proposeOwn(ControlState &State, const std::string &Item,
                wire::Command Command, TimePoint Now, RaftEffects &Raft) {
  if (State.PendingItems.contains(Item) || !canPropose(State.Raft, Now))
    return;
  PendingProposal proposal;
  proposal.OwnItem = Item;
  propose(State, std::move(Command), std::move(proposal), Now, Raft);
}

/// \p Reporter is the agent incarnation whose report asks for the change, or
/// 0 when the leader decided it.
void proposeReplica(ControlState &State, const wire::Replica &Replica,
                    bool Remove, uint64_t Reporter, TimePoint Now,
                    RaftEffects &Raft) {
  wire::Command command;
  command.mutable_replica_change()->set_reporter(Reporter);
  *command.mutable_replica_change()->mutable_replica() = Replica;
  command.mutable_replica_change()->set_remove(Remove);
  proposeOwn(State, replicaItemName(Replica.endpoint(), Replica.row()),
             std::move(command), Now, Raft);
}

void proposeEndpoint(ControlState &State, const wire::Endpoint &Endpoint,
                     bool Remove, TimePoint Now, RaftEffects &Raft) {
  wire::Command command;
  *command.mutable_endpoint_change()->mutable_endpoint() = Endpoint;
  command.mutable_endpoint_change()->set_remove(Remove);
  proposeOwn(State, endpointItemName(Endpoint.name()), std::move(command), Now,
             Raft);
}

// ---- Dissemination ----

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

void replyToNode(ControlState &State, const std::string &Node, NodeInfo &Info,
                 TimePoint Now, ControlEffects &Out) {
  wire::Envelope message;
  *message.mutable_heartbeat_reply() = makeReply(State, Node, Info, Now);
  for (const wire::DeathReport &it : Info.Beat.deaths())
    if (State.Fleet.Operations.contains("death/" + it.death()))
      message.mutable_heartbeat_reply()->add_deaths_recorded(it.death());
  Info.PushedVersion = State.Fleet.Version;
  send(Out, Info.Address, std::move(message));
}

/// Sends what changed at once, so that heartbeats need only repair.
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

// ---- Heartbeats ----

bool isSameEndpoint(const wire::Endpoint &A, const wire::Endpoint &B) {
  return A.SerializeAsString() == B.SerializeAsString();
}

void takeEndpoint(ControlState &State, NodeInfo &Info, TimePoint Now,
                  RaftEffects &Raft) {
  wire::Endpoint reported = Info.Beat.endpoint();
  const wire::Endpoint *known =
      findEndpoint(State.Fleet.Items, reported.name());
  bool isKnown = reported.engine_incarnation() != 0;
  if (isKnown || Info.Beat.endpoint_gone())
    Info.EndpointKnownAt = Now;
  if (!known && !isKnown)
    return;
  // An agent that has just started does not know its endpoint yet: what the
  // endpoint holds still counts.
  if (!isKnown && !Info.Beat.endpoint_gone()) {
    reported.set_engine_incarnation(known->engine_incarnation());
    reported.set_memory_mb(known->memory_mb());
  }
  if (!known || !isSameEndpoint(*known, reported))
    proposeEndpoint(State, reported, false, Now, Raft);
}

void takeReplicaReport(ControlState &State, const std::string &Endpoint,
                       const wire::ReplicaReport &Report, uint64_t Reporter,
                       TimePoint Now, RaftEffects &Raft) {
  const wire::Replica *known =
      findReplica(State.Fleet.Items, Endpoint, Report.row());
  // Reports about an earlier decision say nothing about this one.
  if (!known || known->fence() != Report.fence())
    return;
  wire::Replica replica = *known;
  bool isLoaded = Report.phase() == wire::PHASE_LOADED;
  switch (known->phase()) {
  case wire::PHASE_LOADING:
    if (!isLoaded && !Report.failed())
      return;
    replica.set_phase(wire::PHASE_LOADED);
    proposeReplica(State, replica, Report.failed(), Reporter, Now, Raft);
    return;
  case wire::PHASE_UNLOADING:
    if (!isLoaded)
      proposeReplica(State, replica, true, Reporter, Now, Raft);
    return;
  default:
    // The engine dropped it by itself: confirm that as an unload.
    replica.set_phase(wire::PHASE_UNLOADING);
    if (!isLoaded)
      proposeReplica(State, replica, false, Reporter, Now, Raft);
    return;
  }
}

void takeDeaths(ControlState &State, const wire::Heartbeat &Beat, TimePoint Now,
                RaftEffects &Raft) {
  for (const wire::DeathReport &it : Beat.deaths()) {
    wire::Command command;
    command.set_operation_id("death/" + it.death());
    command.mutable_death()->set_death(it.death());
    *command.mutable_death()->mutable_digests() = it.digests();
    proposeOwn(State, "death/" + it.death(), std::move(command), Now, Raft);
  }
}

void takeHeartbeat(ControlState &State, const wire::Envelope &Message,
                   TimePoint Now, RaftEffects &Raft, ControlEffects &Out) {
  const wire::Heartbeat &beat = Message.heartbeat();
  NodeInfo &info = State.Nodes[Message.from()];
  bool isSameProcess = info.Incarnation == Message.incarnation();
  if (isSameProcess && beat.number() < info.Beat.number())
    return;
  // Incarnations of one name rise; a late message of an earlier process must
  // not take the place of the present one.
  bool isEarlier = Message.incarnation() < info.Incarnation &&
                   Now - info.LastHeard < timing::EndpointWriteOff;
  if (isEarlier)
    return;
  if (!isSameProcess) {
    TimePoint knownAt = info.EndpointKnownAt;
    info = NodeInfo();
    info.EndpointKnownAt = knownAt;
  }
  info.Address = Message.reply_address();
  info.Incarnation = Message.incarnation();
  info.LastHeard = Now;
  info.Beat = beat;
  for (const wire::ModelDemand &it : beat.demand())
    if (it.arrivals() > 0)
      recordArrivals(State.Idling, it.row(), Now);
  if (beat.is_agent()) {
    takeEndpoint(State, info, Now, Raft);
    for (const wire::ReplicaReport &it : beat.replicas())
      takeReplicaReport(State, Message.from(), it, Message.incarnation(), Now,
                        Raft);
  }
  takeDeaths(State, beat, Now, Raft);
  replyToNode(State, Message.from(), info, Now, Out);
}

void nameLeader(const ControlState &State, const wire::Envelope &Message,
                ControlEffects &Out) {
  wire::Envelope answer;
  wire::HeartbeatReply &reply = *answer.mutable_heartbeat_reply();
  reply.set_number(Message.heartbeat().number());
  reply.set_term(State.Raft.Term);
  if (State.Raft.Role == RaftRole::Follower)
    reply.set_leader_address(leaderAddress(State.Raft));
  send(Out, Message.reply_address(), std::move(answer));
}

// ---- Proposals ----

bool isFromOutside(const wire::Command &Command) {
  return Command.has_table_edit() || Command.has_key_grant() ||
         Command.has_key_withdraw() || Command.has_claim() ||
         Command.has_claim_outcome() || Command.has_death();
}

void takeProposal(ControlState &State, const wire::Envelope &Message,
                  TimePoint Now, RaftEffects &Raft, ControlEffects &Out) {
  const wire::Proposal &proposal = Message.proposal();
  PendingProposal pending;
  pending.Address = Message.reply_address();
  pending.RequestId = proposal.request_id();
  wire::ProposalReply refusal;
  if (!canPropose(State.Raft, Now) || State.IsStopping) {
    refusal.set_status(wire::PROPOSAL_NOT_LEADER);
  } else if (!isFromOutside(proposal.command())) {
    refusal.set_status(wire::PROPOSAL_INVALID);
    refusal.set_reason("command is not for nodes or operators");
  } else if (State.Pending.size() >= MaxPendingProposals) {
    refusal.set_status(wire::PROPOSAL_OVERLOADED);
  } else {
    propose(State, proposal.command(), std::move(pending), Now, Raft);
    return;
  }
  answerProposal(State, pending, std::move(refusal), Out);
}

// ---- Grants ----

TenantRate rateOf(const ControlState &State, const std::string &Tenant) {
  const wire::TableRow *row = findRow(State.Fleet.Items, Tenant);
  if (!row || row->kind() != wire::ROW_TENANT)
    return {};
  return {row->rate(), row->burst()};
}

void takeReturn(ControlState &State, const wire::GrantReturn &Return,
                TimePoint Now) {
  TenantRate rate = rateOf(State, Return.tenant());
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
    auto grant = takeGrant(State.Bank, it.tenant(), rateOf(State, it.tenant()),
                           {Message.from(), it.tokens(), it.least()}, Now);
    if (!grant)
      continue;
    wire::Grant &given = *reply.add_grants();
    given.set_id(grant->Id);
    given.set_tenant(it.tenant());
    given.set_tokens(grant->Tokens);
  }
  send(Out, Message.reply_address(), std::move(message));
}

// ---- Status ----

void answerStatus(const ControlState &State, const wire::Envelope &Message,
                  TimePoint Now, ControlEffects &Out) {
  const wire::StatusRequest &request = Message.status_request();
  wire::Envelope answer;
  wire::StatusReply &reply = *answer.mutable_status_reply();
  reply.set_request_id(request.request_id());
  reply.set_is_leader(canPropose(State.Raft, Now));
  reply.set_leader_address(leaderAddress(State.Raft));
  reply.set_term(State.Raft.Term);
  reply.set_version(State.Fleet.Version);
  reply.set_table_version(State.Fleet.TableVersion);
  reply.set_in_force_version(inForceVersion(State, Now));
  for (const wire::Member &it : State.Raft.Members)
    *reply.add_members() = it;
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
  send(Out, Message.reply_address(), std::move(answer));
}

// ---- Placement ----

bool isLive(const ControlState &State, const std::string &Node, TimePoint Now) {
  auto it = State.Nodes.find(Node);
  return it != State.Nodes.end() &&
         Now - it->second.LastHeard < timing::EndpointLease;
}

/// Marks silent endpoints as not ready, and writes them off later on.
void checkSilence(ControlState &State, TimePoint Now, RaftEffects &Raft) {
  for (const wire::Endpoint *it : listEndpoints(State.Fleet.Items)) {
    auto node = State.Nodes.find(it->name());
    TimePoint heard = State.LedSince;
    if (node != State.Nodes.end())
      heard = std::max(heard, node->second.EndpointKnownAt);
    auto silence = Now - heard;
    if (silence >= timing::EndpointWriteOff) {
      proposeEndpoint(State, *it, true, Now, Raft);
    } else if (silence >= timing::EndpointLease && it->ready()) {
      wire::Endpoint silent = *it;
      silent.set_ready(false);
      proposeEndpoint(State, silent, false, Now, Raft);
    }
  }
}

std::map<std::string, RowDemand> sumDemand(const ControlState &State,
                                           TimePoint Now) {
  std::map<std::string, RowDemand> sum;
  for (const auto &[name, info] : State.Nodes) {
    if (Now - info.LastHeard >= timing::EndpointLease)
      continue;
    for (const wire::ModelDemand &it : info.Beat.demand()) {
      RowDemand &row = sum[it.row()];
      row.Waiting += it.waiting();
      Millis wait(it.oldest_wait_ms());
      if (wait < row.OldestWait)
        continue;
      row.OldestWait = wait;
      row.IsLoaded = it.loaded();
      row.Tenant = it.tenant();
    }
  }
  return sum;
}

std::map<std::string, EndpointUse> listUse(const ControlState &State,
                                           TimePoint Now) {
  std::map<std::string, EndpointUse> all;
  for (const auto &[name, info] : State.Nodes) {
    if (!info.Beat.is_agent())
      continue;
    EndpointUse &use = all[name];
    use.IsLive = isLive(State, name, Now);
    use.HasStrangers = info.Beat.has_strangers();
    use.CachedRows.insert(info.Beat.cached_rows().begin(),
                          info.Beat.cached_rows().end());
    for (const wire::ReplicaReport &it : info.Beat.replicas())
      use.Replicas[it.row()] = {it.running(), Millis(it.idle_ms())};
  }
  return all;
}

void refillLoads(ControlState &State, TimePoint Now) {
  std::chrono::duration<double> passed = Now - State.LoadTokensAt;
  State.LoadTokensAt = Now;
  double most = State.Options.Store.LoadsAtOnce;
  State.LoadTokens =
      std::min(most, State.LoadTokens +
                         passed.count() * State.Options.Store.LoadsPerSecond);
}

void place(ControlState &State, TimePoint Now, RaftEffects &Raft) {
  refillLoads(State, Now);
  auto demand = sumDemand(State, Now);
  auto use = listUse(State, Now);
  PlacementInput input{State.Fleet.Items,
                       demand,
                       use,
                       State.Idling,
                       State.Options.Weights,
                       State.Options.Store,
                       static_cast<uint32_t>(State.LoadTokens)};
  PlacementDecision decision = decidePlacement(input);
  for (const wire::Replica &it : decision.Load) {
    if (!it.is_adapter())
      State.LoadTokens -= 1;
    proposeReplica(State, it, false, 0, Now, Raft);
  }
  for (const wire::Replica &it : decision.Unload)
    proposeReplica(State, it, false, 0, Now, Raft);
}

} // namespace

void answerProposal(const ControlState &State, const PendingProposal &Proposal,
                    wire::ProposalReply Reply, ControlEffects &Out) {
  if (Proposal.Address.empty())
    return;
  Reply.set_request_id(Proposal.RequestId);
  Reply.set_leader_address(leaderAddress(State.Raft));
  wire::Envelope message;
  *message.mutable_proposal_reply() = std::move(Reply);
  send(Out, Proposal.Address, std::move(message));
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
  openBank(State.Bank, Now);
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
  place(State, Now, Raft);
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
