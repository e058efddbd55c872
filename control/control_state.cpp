#include "control/control_state.h"

#include "control/control_parts.h"
#include "control/leadership.h"

namespace sassafras {

namespace {

void applyCommitted(ControlState &State, ControlEffects &Out) {
  while (State.Fleet.Version < State.Raft.Commit) {
    uint64_t index = State.Fleet.Version + 1;
    const wire::LogEntry entry = entryAt(State.Raft, index);
    wire::ProposalReply reply =
        applyCommand(State.Fleet, entry.command(), index);
    State.Fleet.Version = index;
    auto pending = State.Pending.find(index);
    if (pending == State.Pending.end())
      continue;
    PendingProposal proposal = std::move(pending->second);
    State.Pending.erase(pending);
    State.PendingItems.erase(proposal.ChangedItem);
    // An entry of another leader was committed at this index; the proposer
    // has to propose again.
    if (proposal.Term != entry.term())
      reply.set_status(wire::PROPOSAL_NOT_LEADER);
    sendProposalReply(State, proposal, std::move(reply), Out);
  }
}

void sendSnapshot(ControlState &State, const wire::Member &Target,
                  ControlEffects &Out) {
  RaftSend effect;
  effect.Address = Target.address();
  wire::InstallSnapshot &install = *effect.Message.mutable_install_snapshot();
  install.set_term(State.Raft.Term);
  install.set_leader(State.Raft.Self.Identity);
  install.set_target(Target.identity());
  install.set_round(State.Raft.Round);
  saveFleet(State.Fleet, *install.mutable_snapshot());
  fillSnapshotHeader(State.Raft, State.Fleet.Version,
                     *install.mutable_snapshot());
  Out.push_back(std::move(effect));
}

void handleRaftEffects(ControlState &State, RaftEffects &Effects,
                       ControlEffects &Out) {
  for (RaftEffect &it : Effects) {
    if (auto *record = std::get_if<PersistRecord>(&it))
      Out.push_back(std::move(*record));
    else if (auto *snapshot = std::get_if<PersistSnapshot>(&it))
      Out.push_back(std::move(*snapshot));
    else if (auto *message = std::get_if<RaftSend>(&it))
      Out.push_back(std::move(*message));
    else if (auto *needed = std::get_if<SnapshotNeeded>(&it))
      sendSnapshot(State, needed->Target, Out);
    else if (auto *load = std::get_if<LoadSnapshot>(&it))
      loadFleet(State.Fleet, load->Snapshot);
  }
  Effects.clear();
}

void compactIfLarge(ControlState &State, RaftEffects &Effects) {
  uint64_t first = State.Raft.SnapshotIndex;
  if (State.Fleet.Version <
      first + State.Options.SnapshotEntries + SnapshotTail)
    return;
  wire::Snapshot snapshot;
  saveFleet(State.Fleet, snapshot);
  fillSnapshotHeader(State.Raft, State.Fleet.Version, snapshot);
  compactRaft(State.Raft, std::move(snapshot), SnapshotTail, Effects);
}

void stop(ControlState &State, TimePoint Now, RaftEffects &Effects) {
  State.IsStopping = true;
  transferLeadership(State.Raft, Now, Effects);
}

/// Replies PROPOSAL_NOT_LEADER to all pending proposals once this member is no
/// longer the leader; nobody else may ever reply to them.
void rejectPendingProposals(ControlState &State, ControlEffects &Out) {
  if (State.Raft.Role == RaftRole::Leader)
    return;
  for (auto &[index, proposal] : State.Pending) {
    wire::ProposalReply reply;
    reply.set_status(wire::PROPOSAL_NOT_LEADER);
    sendProposalReply(State, proposal, std::move(reply), Out);
  }
  State.Pending.clear();
  State.PendingItems.clear();
}

} // namespace

ControlState makeControl(ControlOptions Options, RaftState Raft,
                         const wire::Snapshot *Snapshot) {
  ControlState state;
  state.Options = Options;
  state.Raft = std::move(Raft);
  if (Snapshot)
    loadFleet(state.Fleet, *Snapshot);
  return state;
}

ControlEffects stepControl(ControlState &State, const ControlEvent &Event,
                           TimePoint Now) {
  ControlEffects out;
  RaftEffects raft;
  const auto *received = std::get_if<ControlReceived>(&Event);
  if (received)
    receiveRaft(State.Raft, received->Message, Now, raft);
  else if (std::holds_alternative<ControlTick>(Event))
    tickRaft(State.Raft, Now, raft);
  else
    stop(State, Now, raft);
  handleRaftEffects(State, raft, out);
  applyCommitted(State, out);
  initLeaderState(State, Now);
  if (received)
    handleNodeMessage(State, received->Message, Now, raft, out);
  if (std::holds_alternative<ControlTick>(Event))
    tickLeader(State, Now, raft, out);
  compactIfLarge(State, raft);
  handleRaftEffects(State, raft, out);
  applyCommitted(State, out);
  rejectPendingProposals(State, out);
  bool isAlone = State.Raft.Members.size() <= 1;
  if (State.IsStopping && (isAlone || State.Raft.Role != RaftRole::Leader))
    out.push_back(ControlExit{});
  return out;
}

} // namespace sassafras
