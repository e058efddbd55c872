#include "control/control_parts.h"

namespace sassafras {

namespace {

uint64_t propose(ControlState &State, wire::Command Command,
                 PendingProposal Proposal, TimePoint Now, RaftEffects &Raft) {
  Command.set_fleet_time_ms(currentFleetTimeMs(State, Now));
  Proposal.Term = State.Raft.Term;
  if (!Proposal.ChangedItem.empty())
    State.PendingItems.insert(Proposal.ChangedItem);
  uint64_t index = proposeRaft(State.Raft, std::move(Command), Now, Raft);
  State.Pending[index] = std::move(Proposal);
  return index;
}

bool isExternalCommand(const wire::Command &Command) {
  return Command.has_table_edit() || Command.has_key_grant() ||
         Command.has_key_withdraw() || Command.has_claim() ||
         Command.has_claim_outcome() || Command.has_death();
}

} // namespace

uint64_t currentFleetTimeMs(const ControlState &State, TimePoint Now) {
  return State.FleetTimeBaseMs + toMillis(Now - State.FleetTimeBaseAt);
}

void proposeItemChange(ControlState &State, const std::string &Item,
                       wire::Command Command, TimePoint Now,
                       RaftEffects &Raft) {
  if (State.PendingItems.contains(Item) || !canPropose(State.Raft, Now))
    return;
  PendingProposal proposal;
  proposal.ChangedItem = Item;
  propose(State, std::move(Command), std::move(proposal), Now, Raft);
}

void proposeReplica(ControlState &State, const wire::Replica &Replica,
                    bool Remove, uint64_t Reporter, TimePoint Now,
                    RaftEffects &Raft) {
  wire::Command command;
  command.mutable_replica_change()->set_reporter(Reporter);
  *command.mutable_replica_change()->mutable_replica() = Replica;
  command.mutable_replica_change()->set_remove(Remove);
  proposeItemChange(State, replicaItemName(Replica.endpoint(), Replica.row()),
                    std::move(command), Now, Raft);
}

void proposeEndpoint(ControlState &State, const wire::Endpoint &Endpoint,
                     bool Remove, TimePoint Now, RaftEffects &Raft) {
  wire::Command command;
  *command.mutable_endpoint_change()->mutable_endpoint() = Endpoint;
  command.mutable_endpoint_change()->set_remove(Remove);
  proposeItemChange(State, endpointItemName(Endpoint.name()),
                    std::move(command), Now, Raft);
}

void handleProposal(ControlState &State, const wire::Envelope &Message,
                    TimePoint Now, RaftEffects &Raft, ControlEffects &Out) {
  const wire::Proposal &proposal = Message.proposal();
  PendingProposal pending;
  pending.Address = Message.reply_address();
  pending.RequestId = proposal.request_id();
  wire::ProposalReply refusal;
  if (!canPropose(State.Raft, Now) || State.IsStopping) {
    refusal.set_status(wire::PROPOSAL_NOT_LEADER);
  } else if (!isExternalCommand(proposal.command())) {
    refusal.set_status(wire::PROPOSAL_INVALID);
    refusal.set_reason("command is reserved for the control leader");
  } else if (State.Pending.size() >= MaxPendingProposals) {
    refusal.set_status(wire::PROPOSAL_OVERLOADED);
  } else {
    propose(State, proposal.command(), std::move(pending), Now, Raft);
    return;
  }
  sendProposalReply(State, pending, std::move(refusal), Out);
}

void sendProposalReply(const ControlState &State,
                       const PendingProposal &Proposal,
                       wire::ProposalReply Reply, ControlEffects &Out) {
  if (Proposal.Address.empty())
    return;
  Reply.set_request_id(Proposal.RequestId);
  Reply.set_leader_address(leaderAddress(State.Raft));
  wire::Envelope message;
  *message.mutable_proposal_reply() = std::move(Reply);
  sendMessage(Out, Proposal.Address, std::move(message));
}

} // namespace sassafras
