#include "control/serving_group.h"

#include "core/guard.h"
#include "core/hash.h"
#include "core/logging.h"
#include "core/metrics.h"
#include "core/role_actor.h"
#include "replication/disk_log.h"
#include "replication/group_status.h"
#include "wire/link.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <atomic>
#include <optional>

namespace sassafras {

namespace {

constexpr Millis TickPeriod{40};
/// Delay after a disk failure before the data folder is opened again.
constexpr Millis ReopenDelay{1'000};

const char *nameOf(MemberChangeKind Kind) {
  switch (Kind) {
  case MemberChangeKind::AddLearner:
    return "add_learner";
  case MemberChangeKind::GrantVote:
    return "grant_vote";
  case MemberChangeKind::WithdrawVote:
    return "withdraw_vote";
  case MemberChangeKind::RemoveMember:
    return "remove_member";
  }
  return "unknown";
}

bool isEqual(const StoreView &A, const StoreView &B) {
  return A.IsLeader == B.IsLeader && A.Term == B.Term &&
         A.LeaderAddress == B.LeaderAddress && A.Voters == B.Voters &&
         A.Members == B.Members;
}

} // namespace

struct ServingGroup::Impl : std::enable_shared_from_this<ServingGroup::Impl> {
  Impl(boost::asio::io_context &Io, Link &Peers, Metrics &Counts,
       ServingGroupOptions Options, ServingGroupCallbacks Callbacks)
      : Io(Io), Peers(Peers), Counts(Counts), Options(std::move(Options)),
        Callbacks(std::move(Callbacks)) {}

  void handleEvent(const StoreEvent &Event);
  bool openStore();
  bool applyEffect(StoreEffect &Effect);
  void reportMemberChange(const MemberChangeProposed &Change);
  void reportForming();
  void handleDiskFailure();
  void closeStore();
  void reportUnavailable(const StoreEvent &Event);
  void postResult(StoreResult Result);
  void publishTable(StorePublish Table);
  void publishEvacuations(StorePublishEvacuations Newer);
  void publishView();

  boost::asio::io_context &Io;
  Link &Peers;
  Metrics &Counts;
  ServingGroupOptions Options;
  ServingGroupCallbacks Callbacks;
  std::atomic<bool> IsDestroyed{false}; ///< The callbacks must not be called.
  // Used by the actor only.
  std::unique_ptr<DiskLog> Disk;
  std::optional<ServingStore> Store;
  /// Promises as a seed, which outlast the closing of the store.
  FormationAcceptor Acceptor;
  std::string LastForming; ///< What the last line on the first group said.
  std::vector<std::string> JoinAddresses;
  TimePoint NextOpenAttempt;
  StoreView LastView;
};

bool ServingGroup::Impl::openStore() {
  TimePoint now = Clock::now();
  if (!isPast(NextOpenAttempt, now))
    return false;
  NextOpenAttempt = now + ReopenDelay;
  Disk = std::make_unique<DiskLog>(Options.DataFolder);
  DiskError problem;
  auto content = Disk->open(problem);
  if (!content) {
    Disk.reset();
    Counts.count("disk_failures_total");
    logEvent(LogLevel::Error, "data_folder_unusable",
             {{"file", problem.File}, {"reason", problem.Reason}});
    return false;
  }
  RaftSelf self{Options.Node, content->Identity, Peers.address(),
                timing::LowLatencyGroup};
  RaftState raft =
      content->IsBlank
          ? makeBlankRaft(self, Options.Seeds, generateIdentity(), now)
          : restoreRaft(self, Options.Seeds, content->Snapshot,
                        content->HardState, std::move(content->Entries),
                        generateIdentity(), now);
  raft.MayForm = Options.MayForm;
  raft.MayJoin = true;
  raft.Acceptor = std::move(Acceptor);
  // Quorums of so many members are larger than the losses.
  allowSeedMajority(
      raft, std::max<size_t>(MinVoters, 2 * size_t{Options.LossesBorne} + 1));
  if (!JoinAddresses.empty())
    raft.ContactAddresses = JoinAddresses;
  logEvent(LogLevel::Info, "folder_read",
           {{"blank", content->IsBlank ? "yes" : "no"},
            {"truncated_bytes", std::to_string(content->TornBytes)},
            {"last_index", std::to_string(lastIndex(raft))},
            {"commit", std::to_string(raft.Commit)}});
  Store = makeServingStore(std::move(raft),
                           content->IsBlank ? nullptr : &content->Snapshot);
  return true;
}

void ServingGroup::Impl::handleDiskFailure() {
  Counts.count("disk_failures_total");
  logEvent(
      LogLevel::Error, "disk_failed",
      {{"file", Disk->lastError().File}, {"reason", Disk->lastError().Reason}});
  closeStore();
}

/// Fails the pending writes and closes the data folder. Everything acknowledged
/// is on the disk, so the member can stop taking part in the group; its peers
/// continue without it.
void ServingGroup::Impl::closeStore() {
  if (Store)
    for (const PendingWrite &it : Store->Pending)
      postResult({it.Number, StoreOutcome::Unavailable, 0, {}});
  if (Store)
    Acceptor = std::move(Store->Raft.Acceptor);
  Store.reset();
  Disk.reset();
  NextOpenAttempt = Clock::now() + ReopenDelay;
}

void ServingGroup::Impl::reportMemberChange(
    const MemberChangeProposed &Change) {
  const char *kind = nameOf(Change.Kind);
  Counts.count("member_changes_total", std::string("change=\"") + kind + '"');
  logEvent(LogLevel::Info, "member_change_proposed",
           {{"change", kind},
            {"member", Change.Member},
            {"stopping", Change.IsStopping ? "yes" : "no"},
            {"silent_ms", std::to_string(Change.Silence.count())}});
}

/// Logs what the first group of a fleet waits for, whenever that changes.
void ServingGroup::Impl::reportForming() {
  if (!Store)
    return;
  std::string waitsFor = describeFormation(Store->Raft, Clock::now());
  if (waitsFor.empty() || waitsFor == LastForming)
    return;
  LastForming = waitsFor;
  logEvent(LogLevel::Info, "group_forming", {{"waits_for", waitsFor}});
}

bool ServingGroup::Impl::applyEffect(StoreEffect &Effect) {
  if (auto *record = std::get_if<PersistRecord>(&Effect))
    return Disk->append(record->Record);
  if (auto *snapshot = std::get_if<PersistSnapshot>(&Effect))
    return Disk->replace(snapshot->Snapshot, snapshot->HardState,
                         snapshot->Entries);
  if (auto *change = std::get_if<MemberChangeProposed>(&Effect)) {
    reportMemberChange(*change);
    return true;
  }
  if (auto *formed = std::get_if<GroupFormed>(&Effect)) {
    std::string members;
    for (const wire::Member &it : formed->Members)
      members += (members.empty() ? "" : ",") + it.name();
    logEvent(LogLevel::Info, "group_formed", {{"members", members}});
    return true;
  }
  if (!Disk->sync())
    return false;
  if (auto *message = std::get_if<RaftSend>(&Effect))
    Peers.send(message->Address, std::move(message->Message));
  else if (auto *result = std::get_if<StoreResult>(&Effect))
    postResult(std::move(*result));
  else if (auto *table = std::get_if<StorePublish>(&Effect))
    publishTable(std::move(*table));
  else if (auto *newer = std::get_if<StorePublishEvacuations>(&Effect))
    publishEvacuations(std::move(*newer));
  return true;
}

void ServingGroup::Impl::reportUnavailable(const StoreEvent &Event) {
  if (auto *write = std::get_if<StoreWrite>(&Event))
    postResult({write->Number, StoreOutcome::Unavailable, 0, {}});
  else if (auto *order = std::get_if<StoreEvacuate>(&Event))
    postResult({order->Number, StoreOutcome::Unavailable, 0, {}});
  else if (auto *read = std::get_if<StoreRead>(&Event))
    postResult({read->Number, StoreOutcome::Unavailable, 0, {}});
  else if (auto *status = std::get_if<StoreStatusRequest>(&Event)) {
    wire::Envelope envelope;
    *envelope.mutable_status_reply() = status->Reply;
    envelope.mutable_status_reply()->set_waits_for(
        "access to its data folder: " + Options.DataFolder);
    Peers.send(status->Address, std::move(envelope));
  }
}

void ServingGroup::Impl::handleEvent(const StoreEvent &Event) {
  if (auto *join = std::get_if<StoreJoinAddresses>(&Event))
    JoinAddresses = join->Addresses;
  if (!Store && !openStore()) {
    reportUnavailable(Event);
    publishView();
    return;
  }
  // The clock is read here, not when the event was queued, so that a process
  // that was paused finds its leases expired.
  StoreEffects effects = stepServingStore(*Store, Event, Clock::now());
  for (StoreEffect &it : effects)
    if (!applyEffect(it)) {
      handleDiskFailure();
      publishView();
      return;
    }
  if (!Disk->sync())
    handleDiskFailure();
  reportForming();
  publishView();
}

void ServingGroup::Impl::postResult(StoreResult Result) {
  boost::asio::post(
      Io, [self = shared_from_this(), result = std::move(Result)]() mutable {
        if (!self->IsDestroyed)
          self->Callbacks.OnResult(std::move(result));
      });
}

void ServingGroup::Impl::publishTable(StorePublish Table) {
  boost::asio::post(
      Io, [self = shared_from_this(), table = std::move(Table)]() mutable {
        if (!self->IsDestroyed)
          self->Callbacks.OnPublish(std::move(table));
      });
}

void ServingGroup::Impl::publishEvacuations(StorePublishEvacuations Newer) {
  boost::asio::post(
      Io, [self = shared_from_this(), newer = std::move(Newer)]() mutable {
        if (!self->IsDestroyed && self->Callbacks.OnEvacuations)
          self->Callbacks.OnEvacuations(std::move(newer));
      });
}

void ServingGroup::Impl::publishView() {
  StoreView view = Store ? makeStoreView(*Store, Clock::now()) : StoreView();
  if (isEqual(view, LastView))
    return;
  LastView = view;
  logEvent(LogLevel::Info, "group_view",
           {{"term", std::to_string(view.Term)},
            {"is_leader", view.IsLeader ? "yes" : "no"},
            {"leader", view.LeaderAddress},
            {"voters", std::to_string(view.Voters)},
            {"members", std::to_string(view.Members)}});
  boost::asio::post(Io, [self = shared_from_this(), view] {
    if (!self->IsDestroyed)
      self->Callbacks.OnView(view);
  });
}

ServingGroup::ServingGroup(boost::asio::io_context &Io,
                           caf::actor_system &System, Link &Peers,
                           Metrics &Counts, ServingGroupOptions Options,
                           ServingGroupCallbacks Callbacks)
    : Data(std::make_shared<Impl>(Io, Peers, Counts, std::move(Options),
                                  std::move(Callbacks))),
      Role(Io, System, "group") {}

ServingGroup::~ServingGroup() { Data->IsDestroyed = true; }

void ServingGroup::start() {
  // The owner of the actor waits for the handler, so that the state outlives
  // it.
  auto handleEvent = [&data = *Data](StoreEvent &it) {
    // The state may be half changed: it is read from the disk again.
    if (!runGuarded(data.Counts, "group", [&] { data.handleEvent(it); })) {
      data.reportUnavailable(it);
      data.closeStore();
    }
  };
  Role.start(handleEvent, StoreEvent(StoreTick{}), TickPeriod,
             [&data = *Data](StoreEvent &it) { data.reportUnavailable(it); });
}

void ServingGroup::post(StoreEvent Event) { Role.post(std::move(Event)); }

void ServingGroup::close(TimePoint Deadline,
                         std::function<void(bool)> OnClosed) {
  Role.close(Deadline, std::move(OnClosed));
}

bool ServingGroup::isClosed() const { return Role.isClosed(); }

} // namespace sassafras
