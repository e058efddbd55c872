#include "control/serving_group.h"

#include "core/hash.h"
#include "core/logging.h"
#include "core/metrics.h"
#include "core/role_actor.h"
#include "replication/disk_log.h"
#include "wire/link.h"

#include <boost/asio/post.hpp>

#include <atomic>
#include <optional>

namespace sassafras {

namespace {

constexpr Millis TickPeriod{40};
/// After a failure the folder is opened again this much later.
constexpr Millis ReopenPause{1'000};

bool isEqual(const StoreView &A, const StoreView &B) {
  return A.IsLeader == B.IsLeader && A.Term == B.Term &&
         A.LeaderAddress == B.LeaderAddress && A.Voters == B.Voters &&
         A.Members == B.Members;
}

} // namespace

struct ServingGroup::Impl : std::enable_shared_from_this<ServingGroup::Impl> {
  Impl(boost::asio::io_context &Io, caf::actor_system &System, Link &Peers,
       Metrics &Counts, ServingGroupOptions Options, ServingGroupCalls Calls)
      : Io(Io), System(System), Peers(Peers), Counts(Counts),
        Options(std::move(Options)), Calls(std::move(Calls)) {}

  void step(const StoreEvent &Event);
  bool open();
  bool perform(StoreEffect &Effect);
  void failDisk();
  void answerUnavailable(const StoreEvent &Event);
  void tell(StoreAnswer Answer);
  void publish(StorePublish Table);
  void publishView();

  boost::asio::io_context &Io;
  caf::actor_system &System;
  Link &Peers;
  Metrics &Counts;
  ServingGroupOptions Options;
  ServingGroupCalls Calls;
  caf::actor Role;
  std::atomic<bool> IsClosed{false};
  // Touched by the actor only.
  std::unique_ptr<DiskLog> Disk;
  std::optional<ServingStore> Store;
  std::vector<std::string> Greet;
  TimePoint NextOpen;
  StoreView LastView;
};

bool ServingGroup::Impl::open() {
  TimePoint now = Clock::now();
  if (!isPast(NextOpen, now))
    return false;
  NextOpen = now + ReopenPause;
  Disk = std::make_unique<DiskLog>(Options.DataFolder);
  DiskProblem problem;
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
  if (!Greet.empty())
    raft.GreetAddresses = Greet;
  logEvent(LogLevel::Info, "folder_read",
           {{"blank", content->IsBlank ? "yes" : "no"},
            {"cut_bytes", std::to_string(content->TornBytes)},
            {"last_index", std::to_string(lastIndex(raft))},
            {"commit", std::to_string(raft.Commit)}});
  Store = makeServingStore(std::move(raft),
                           content->IsBlank ? nullptr : &content->Snapshot);
  return true;
}

/// Nothing was promised that is not on the disk: the member just falls
/// silent, and its peers go on without it.
void ServingGroup::Impl::failDisk() {
  Counts.count("disk_failures_total");
  logEvent(LogLevel::Error, "disk_failed",
           {{"file", Disk->lastProblem().File},
            {"reason", Disk->lastProblem().Reason}});
  for (const PendingWrite &it : Store->Pending)
    tell({it.Number, StoreOutcome::Unavailable, 0, {}});
  Store.reset();
  Disk.reset();
  NextOpen = Clock::now() + ReopenPause;
}

bool ServingGroup::Impl::perform(StoreEffect &Effect) {
  if (auto *record = std::get_if<PersistRecord>(&Effect))
    return Disk->append(record->Record);
  if (auto *whole = std::get_if<PersistSnapshot>(&Effect))
    return Disk->replace(whole->Snapshot, whole->HardState, whole->Entries);
  if (!Disk->sync())
    return false;
  if (auto *message = std::get_if<RaftSend>(&Effect))
    Peers.send(message->Address, std::move(message->Message));
  else if (auto *answer = std::get_if<StoreAnswer>(&Effect))
    tell(std::move(*answer));
  else if (auto *table = std::get_if<StorePublish>(&Effect))
    publish(std::move(*table));
  return true;
}

void ServingGroup::Impl::answerUnavailable(const StoreEvent &Event) {
  if (auto *put = std::get_if<StoreWrite>(&Event))
    tell({put->Number, StoreOutcome::Unavailable, 0, {}});
  else if (auto *get = std::get_if<StoreRead>(&Event))
    tell({get->Number, StoreOutcome::Unavailable, 0, {}});
  else if (auto *status = std::get_if<StoreStatus>(&Event)) {
    wire::Envelope answer;
    *answer.mutable_status_reply() = status->Reply;
    answer.mutable_status_reply()->set_waits_for("its data folder: " +
                                                 Options.DataFolder);
    Peers.send(status->Address, std::move(answer));
  }
}

void ServingGroup::Impl::step(const StoreEvent &Event) {
  if (IsClosed)
    return;
  if (auto *greet = std::get_if<StoreGreet>(&Event))
    Greet = greet->Addresses;
  if (!Store && !open()) {
    answerUnavailable(Event);
    publishView();
    return;
  }
  // The time is read at use: a process that was stopped for a while finds
  // its leases ended.
  StoreEffects effects = stepServingStore(*Store, Event, Clock::now());
  for (StoreEffect &it : effects)
    if (!perform(it)) {
      failDisk();
      publishView();
      return;
    }
  if (!Disk->sync())
    failDisk();
  publishView();
}

void ServingGroup::Impl::tell(StoreAnswer Answer) {
  boost::asio::post(
      Io, [self = shared_from_this(), answer = std::move(Answer)]() mutable {
        if (!self->IsClosed)
          self->Calls.OnAnswer(std::move(answer));
      });
}

void ServingGroup::Impl::publish(StorePublish Table) {
  boost::asio::post(
      Io, [self = shared_from_this(), table = std::move(Table)]() mutable {
        if (!self->IsClosed)
          self->Calls.OnPublish(std::move(table));
      });
}

void ServingGroup::Impl::publishView() {
  StoreView view = Store ? viewOf(*Store, Clock::now()) : StoreView();
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
    if (!self->IsClosed)
      self->Calls.OnView(view);
  });
}

ServingGroup::ServingGroup(boost::asio::io_context &Io,
                           caf::actor_system &System, Link &Peers,
                           Metrics &Counts, ServingGroupOptions Options,
                           ServingGroupCalls Calls)
    : Data(std::make_shared<Impl>(Io, System, Peers, Counts, std::move(Options),
                                  std::move(Calls))) {}

ServingGroup::~ServingGroup() { close(); }

void ServingGroup::start() {
  std::function<void(StoreEvent &)> step = [data = Data](StoreEvent &it) {
    data->step(it);
  };
  Data->Role = Data->System.spawn(makeRoleBehavior<StoreEvent>, step,
                                  StoreEvent(StoreTick{}), TickPeriod);
}

void ServingGroup::post(StoreEvent Event) {
  sendEvent<StoreEvent>(Data->Role, std::move(Event));
}

void ServingGroup::close() {
  if (Data->IsClosed.exchange(true) || !Data->Role)
    return;
  // The actor holds the member and would keep the process alive.
  caf::anon_send_exit(Data->Role, caf::exit_reason::user_shutdown);
  Data->Role = nullptr;
}

} // namespace sassafras
