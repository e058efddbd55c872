#include "control/serving_store.h"

#include "fleet/evacuations.h"
#include "replication/group_status.h"

namespace sassafras {

namespace {

wire::Snapshot makeSnapshot(const ServingStore &Store) {
  wire::Snapshot snapshot;
  fillSnapshotHeader(Store.Raft, Store.Applied, snapshot);
  *snapshot.mutable_serving_table() = Store.Table;
  *snapshot.mutable_evacuations() = Store.Evacuations;
  return snapshot;
}

void applyTable(ServingStore &Store, const wire::ServingTableChange &Change) {
  if (Change.version() > Store.Table.version())
    Store.Table = Change;
}

/// Publishes the newest of the tables committed so far. Older ones that were
/// committed together with it are skipped.
void publishNewestTable(ServingStore &Store, StoreEffects &Out) {
  if (Store.Published == Store.Table.version())
    return;
  Store.Published = Store.Table.version();
  Out.push_back(StorePublish{Store.Published, Store.Table.content()});
}

/// Publishes the evacuations if they have changed.
void publishEvacuations(ServingStore &Store, StoreEffects &Out) {
  if (Store.PublishedEvacuations == Store.Evacuations.version())
    return;
  Store.PublishedEvacuations = Store.Evacuations.version();
  Out.push_back(StorePublishEvacuations{Store.Evacuations});
}

void completeWrites(ServingStore &Store, StoreEffects &Out) {
  std::erase_if(Store.Pending, [&](const PendingWrite &it) {
    if (it.Index > Store.Applied)
      return false;
    uint64_t version =
        it.IsEvacuation ? Store.Evacuations.version() : Store.Table.version();
    Out.push_back(StoreResult{it.Number, StoreOutcome::Done, version, {}});
    return true;
  });
}

void applyCommitted(ServingStore &Store, StoreEffects &Out) {
  uint64_t before = Store.Applied;
  while (Store.Applied < Store.Raft.Commit) {
    uint64_t index = Store.Applied + 1;
    const wire::Command &command = entryAt(Store.Raft, index).command();
    Store.Applied = index;
    if (command.has_serving_table())
      applyTable(Store, command.serving_table());
    if (command.has_evacuation())
      applyEvacuationChange(Store.Evacuations, command.evacuation());
  }
  // Nothing is served by a table before the evacuations are known.
  publishEvacuations(Store, Out);
  publishNewestTable(Store, Out);
  if (Store.Applied == before)
    return;
  // The commit index is persisted so that, after a restart, the table can be
  // served before a leader is known.
  PersistRecord record;
  wire::HardState &state = *record.Record.mutable_hard_state();
  state.set_term(Store.Raft.Term);
  state.set_voted_for(Store.Raft.VotedFor);
  state.set_commit(Store.Raft.Commit);
  Out.push_back(std::move(record));
  completeWrites(Store, Out);
}

void sendSnapshot(const ServingStore &Store, const wire::Member &Target,
                  StoreEffects &Out) {
  RaftSend effect;
  effect.Address = Target.address();
  wire::InstallSnapshot &install = *effect.Message.mutable_install_snapshot();
  install.set_term(Store.Raft.Term);
  install.set_leader(Store.Raft.Self.Identity);
  install.set_target(Target.identity());
  install.set_round(Store.Raft.Round);
  *install.mutable_snapshot() = makeSnapshot(Store);
  Out.push_back(std::move(effect));
}

void handleRaftEffects(ServingStore &Store, RaftEffects &Effects,
                       StoreEffects &Out) {
  for (RaftEffect &it : Effects) {
    if (auto *record = std::get_if<PersistRecord>(&it)) {
      Out.push_back(std::move(*record));
    } else if (auto *snapshot = std::get_if<PersistSnapshot>(&it)) {
      Out.push_back(std::move(*snapshot));
    } else if (auto *message = std::get_if<RaftSend>(&it)) {
      Out.push_back(std::move(*message));
    } else if (auto *change = std::get_if<MemberChangeProposed>(&it)) {
      Out.push_back(std::move(*change));
    } else if (auto *formed = std::get_if<GroupFormed>(&it)) {
      Out.push_back(std::move(*formed));
    } else if (auto *needed = std::get_if<SnapshotNeeded>(&it)) {
      sendSnapshot(Store, needed->Target, Out);
    } else if (auto *load = std::get_if<LoadSnapshot>(&it)) {
      Store.Applied = load->Snapshot.index();
      applyTable(Store, load->Snapshot.serving_table());
      if (load->Snapshot.evacuations().version() > Store.Evacuations.version())
        Store.Evacuations = load->Snapshot.evacuations();
    }
  }
  Effects.clear();
}

/// Version and log index of the newest table, committed or not. For one that is
/// already applied, the index is Store.Applied.
std::pair<uint64_t, uint64_t> findNewestTable(const ServingStore &Store) {
  for (uint64_t i = lastIndex(Store.Raft); i > Store.Applied; --i) {
    const wire::Command &command = entryAt(Store.Raft, i).command();
    if (command.has_serving_table())
      return {command.serving_table().version(), i};
  }
  return {Store.Table.version(), Store.Applied};
}

StoreOutcome failureOutcome(const ServingStore &Store) {
  bool knowsLeader =
      Store.Raft.Leader != 0 && Store.Raft.Leader != Store.Raft.Self.Identity;
  return knowsLeader ? StoreOutcome::NotLeader : StoreOutcome::Unavailable;
}

void handleWrite(ServingStore &Store, const StoreWrite &Write, TimePoint Now,
                 RaftEffects &Raft, StoreEffects &Out) {
  if (!canPropose(Store.Raft, Now) || Store.IsStopping) {
    Out.push_back(StoreResult{Write.Number, failureOutcome(Store), 0, {}});
    return;
  }
  auto [version, index] = findNewestTable(Store);
  if (Write.Version > version) {
    wire::Command command;
    command.mutable_serving_table()->set_version(Write.Version);
    command.mutable_serving_table()->set_content(Write.Content);
    index = proposeRaft(Store.Raft, std::move(command), Now, Raft);
  }
  // A version that is not higher changes nothing, but is acknowledged only once
  // the newer table is committed.
  Store.Pending.push_back({Write.Number, index, false});
  completeWrites(Store, Out);
}

/// Whether \p Zone is evacuated by the newest entry of the log, committed or
/// not, and the index that makes it so. For what is already applied, the index
/// is Store.Applied.
std::pair<bool, uint64_t> findNewestEvacuation(const ServingStore &Store,
                                               const std::string &Zone) {
  for (uint64_t i = lastIndex(Store.Raft); i > Store.Applied; --i) {
    const wire::Command &command = entryAt(Store.Raft, i).command();
    if (command.has_evacuation() && command.evacuation().zone() == Zone)
      return {command.evacuation().is_active(), i};
  }
  return {isEvacuated(Store.Evacuations, Zone), Store.Applied};
}

void handleEvacuate(ServingStore &Store, const StoreEvacuate &Order,
                    TimePoint Now, RaftEffects &Raft, StoreEffects &Out) {
  // A record that cannot be read back would end the log of every member.
  if (findZoneNameProblem(Order.Zone)) {
    Out.push_back(StoreResult{Order.Number, StoreOutcome::Unavailable, 0, {}});
    return;
  }
  if (!canPropose(Store.Raft, Now) || Store.IsStopping) {
    Out.push_back(StoreResult{Order.Number, failureOutcome(Store), 0, {}});
    return;
  }
  auto [isActive, index] = findNewestEvacuation(Store, Order.Zone);
  if (isActive != Order.IsActive) {
    wire::Command command;
    command.mutable_evacuation()->set_zone(Order.Zone);
    command.mutable_evacuation()->set_is_active(Order.IsActive);
    index = proposeRaft(Store.Raft, std::move(command), Now, Raft);
  }
  Store.Pending.push_back({Order.Number, index, true});
  completeWrites(Store, Out);
}

void handleRead(const ServingStore &Store, const StoreRead &Read, TimePoint Now,
                StoreEffects &Out) {
  bool isReadable = canPropose(Store.Raft, Now) && Store.Table.version() > 0;
  if (isReadable)
    Out.push_back(StoreResult{Read.Number, StoreOutcome::Done,
                              Store.Table.version(), Store.Table.content()});
  else
    Out.push_back(StoreResult{Read.Number, failureOutcome(Store), 0, {}});
}

void sendStatusReply(const ServingStore &Store,
                     const StoreStatusRequest &Status, TimePoint Now,
                     StoreEffects &Out) {
  RaftSend effect;
  effect.Address = Status.Address;
  wire::StatusReply &reply = *effect.Message.mutable_status_reply();
  reply = Status.Reply;
  fillGroupStatus(Store.Raft, Now, reply);
  reply.set_table_version(Store.Table.version());
  reply.set_version(Store.Applied);
  Out.push_back(std::move(effect));
}

/// Fails the pending writes once this member is no longer the leader: it is
/// unknown whether they will be committed.
void failPendingWrites(ServingStore &Store, StoreEffects &Out) {
  if (Store.Raft.Role == RaftRole::Leader)
    return;
  for (const PendingWrite &it : Store.Pending)
    Out.push_back(StoreResult{it.Number, StoreOutcome::Unavailable, 0, {}});
  Store.Pending.clear();
}

void compactIfLarge(ServingStore &Store, RaftEffects &Effects) {
  if (Store.Raft.Role == RaftRole::Blank ||
      Store.Applied <
          Store.Raft.SnapshotIndex + StoreSnapshotEntries + StoreSnapshotTail)
    return;
  compactRaft(Store.Raft, makeSnapshot(Store), StoreSnapshotTail, Effects);
}

void handleEvent(ServingStore &Store, const StoreEvent &Event, TimePoint Now,
                 RaftEffects &Raft, StoreEffects &Out) {
  if (auto *received = std::get_if<StoreReceived>(&Event)) {
    receiveRaft(Store.Raft, received->Message, Now, Raft);
  } else if (auto *write = std::get_if<StoreWrite>(&Event)) {
    handleWrite(Store, *write, Now, Raft, Out);
  } else if (auto *order = std::get_if<StoreEvacuate>(&Event)) {
    handleEvacuate(Store, *order, Now, Raft, Out);
  } else if (auto *read = std::get_if<StoreRead>(&Event)) {
    handleRead(Store, *read, Now, Out);
  } else if (auto *join = std::get_if<StoreJoinAddresses>(&Event)) {
    Store.Raft.ContactAddresses = join->Addresses;
  } else if (auto *status = std::get_if<StoreStatusRequest>(&Event)) {
    sendStatusReply(Store, *status, Now, Out);
  } else if (std::holds_alternative<StoreStop>(Event)) {
    Store.IsStopping = true;
    Store.Raft.IsStopping = true;
    transferLeadership(Store.Raft, Now, Raft);
  } else {
    tickRaft(Store.Raft, Now, Raft);
    // A stopping member may be elected when another one stops or is lost.
    if (Store.IsStopping && isTermEstablished(Store.Raft) &&
        hasSuccessor(Store.Raft, Now))
      transferLeadership(Store.Raft, Now, Raft);
    withdrawVote(Store.Raft, MinVoters, VoteTimeout, Now, Raft);
    removeSilentMember(Store.Raft, MinVoters, MemberTimeout, Now, Raft);
  }
}

} // namespace

ServingStore makeServingStore(RaftState Raft, const wire::Snapshot *Snapshot) {
  ServingStore store;
  store.Raft = std::move(Raft);
  if (!Snapshot)
    return store;
  store.Applied = Snapshot->index();
  store.Table = Snapshot->serving_table();
  store.Evacuations = Snapshot->evacuations();
  return store;
}

StoreEffects stepServingStore(ServingStore &Store, const StoreEvent &Event,
                              TimePoint Now) {
  StoreEffects out;
  RaftEffects raft;
  handleEvent(Store, Event, Now, raft, out);
  handleRaftEffects(Store, raft, out);
  applyCommitted(Store, out);
  compactIfLarge(Store, raft);
  handleRaftEffects(Store, raft, out);
  failPendingWrites(Store, out);
  return out;
}

StoreView makeStoreView(const ServingStore &Store, TimePoint Now) {
  StoreView view;
  view.IsLeader = canPropose(Store.Raft, Now) && !Store.IsStopping;
  view.Term = Store.Raft.Term;
  view.LeaderAddress = leaderAddress(Store.Raft);
  for (const wire::Member &it : Store.Raft.Members)
    view.Voters += it.voter();
  view.Members = Store.Raft.Members.size();
  return view;
}

} // namespace sassafras
