#include "control/control_shell.h"

#include "control/control_state.h"
#include "core/guard.h"
#include "core/hash.h"
#include "core/metrics.h"
#include "core/role_actor.h"
#include "http/server.h"
#include "http/status_pages.h"
#include "replication/disk_log.h"
#include "replication/group_status.h"
#include "wire/link.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <cstdlib>

namespace sassafras {

namespace {

constexpr Millis TickPeriod{25};
/// Delay before the process exits, so that the last messages are sent.
constexpr Millis ExitDelay{200};
/// The process exits this long after a stop signal even if its disk hangs.
constexpr Millis StopTimeout{6'000};

ControlOptions makeOptions(const ControlSettings &Settings) {
  ControlOptions options;
  options.Store = {Settings.LoadsPerSecond, Settings.LoadsAtOnce,
                   Settings.AdaptersAtOnce};
  options.Weights = {Settings.ShortestIdle, Settings.LongestIdle,
                     Settings.LoadTime, Settings.ColdStartPrice};
  options.SnapshotEntries = Settings.SnapshotEntries;
  return options;
}

class ControlShell : public RoleShell,
                     public std::enable_shared_from_this<ControlShell> {
public:
  explicit ControlShell(const ShellParts &Parts)
      : Io(Parts.Io), Options(Parts.Options), Counts(Parts.Counts),
        Memory(Parts.Memory), Disk(Options.ControlRole.DataFolder),
        StopTimer(Io), Role(Io, Parts.System, "control") {}
  ControlShell(const ControlShell &) = delete;
  ControlShell &operator=(const ControlShell &) = delete;

  bool start(StartProblem &Problem) override;
  void stop() override;
  bool isClosed() const override { return Role.isClosed(); }

private:
  bool restore(StartProblem &Problem);
  bool bindHttp(StartProblem &Problem);
  void handleEvent(const ControlEvent &Event);
  void applyEffect(ControlEffect &Effect);
  void abortOnDiskFailure(bool IsWritten);
  void publishRole();
  void exit();

  boost::asio::io_context &Io;
  Settings Options;
  Metrics &Counts;
  MemoryBudgetPtr Memory;
  DiskLog Disk;
  ControlState State; ///< Used by the actor only, once it runs.
  std::unique_ptr<Link> Peers;
  std::unique_ptr<HttpServer> Server;
  boost::asio::steady_timer StopTimer;
  std::atomic<bool> IsReady{false};
  // Used by the actor only.
  bool HasLeft = false;
  RaftRole LastRole = RaftRole::Blank;
  uint64_t LastTerm = 0;
  // Used on the io_context's thread only.
  bool IsStopping = false;
  bool IsExiting = false;
  RoleActor<ControlEvent> Role; ///< Destroyed first.
};

bool ControlShell::restore(StartProblem &Problem) {
  DiskError problem;
  auto content = Disk.open(problem);
  if (!content) {
    Problem = {problem.File + " " + problem.Reason, problem.IsTemporary};
    return false;
  }
  if (content->TornBytes > 0)
    logEvent(LogLevel::Warning, "log_tail_truncated",
             {{"bytes", std::to_string(content->TornBytes)}});
  RaftSelf self{Options.Node, content->Identity, Peers->address()};
  TimePoint now = Clock::now();
  uint64_t seed = generateIdentity();
  RaftState raft = content->IsBlank
                       ? makeBlankRaft(self, Options.Control, seed, now)
                       : restoreRaft(self, Options.Control, content->Snapshot,
                                     content->HardState,
                                     std::move(content->Entries), seed, now);
  logEvent(LogLevel::Info, "folder_read",
           {{"blank", content->IsBlank ? "yes" : "no"},
            {"snapshot", std::to_string(content->Snapshot.index())},
            {"last_index", std::to_string(lastIndex(raft))}});
  State = makeControl(makeOptions(Options.ControlRole), std::move(raft),
                      content->IsBlank ? nullptr : &content->Snapshot);
  return true;
}

bool ControlShell::bindHttp(StartProblem &Problem) {
  HttpServer::Handlers callbacks;
  callbacks.OnRequest = [this](const HttpRequest &Request,
                               const std::shared_ptr<HttpExchange> &Exchange) {
    if (!serveStatusPage(Request, *Exchange, Counts, IsReady))
      Exchange->respond(404, {}, "not found\n");
  };
  callbacks.OnLoss = [](const HttpExchange *, HttpLoss) {};
  Server = std::make_unique<HttpServer>(Io, Options.Http, HttpLimits(), Counts,
                                        Memory, std::move(callbacks));
  return Server->bind(Problem);
}

/// Aborts the process after a failed write: a member that cannot persist its
/// state must not vote or reply.
void ControlShell::abortOnDiskFailure(bool IsWritten) {
  if (IsWritten)
    return;
  logEvent(
      LogLevel::Error, "disk_failed",
      {{"file", Disk.lastError().File}, {"reason", Disk.lastError().Reason}});
  std::abort();
}

void ControlShell::applyEffect(ControlEffect &Effect) {
  if (auto *record = std::get_if<PersistRecord>(&Effect)) {
    abortOnDiskFailure(Disk.append(record->Record));
  } else if (auto *snapshot = std::get_if<PersistSnapshot>(&Effect)) {
    abortOnDiskFailure(Disk.replace(snapshot->Snapshot, snapshot->HardState,
                                    snapshot->Entries));
  } else if (auto *message = std::get_if<RaftSend>(&Effect)) {
    abortOnDiskFailure(Disk.sync());
    Peers->send(message->Address, std::move(message->Message));
  } else {
    HasLeft = true;
    boost::asio::post(Io, [self = shared_from_this()] { self->exit(); });
  }
}

void ControlShell::handleEvent(const ControlEvent &Event) {
  if (HasLeft)
    return;
  // The clock is read here, not when the event was queued, so that a process
  // that was paused finds its leases expired.
  auto effects = stepControl(State, Event, Clock::now());
  for (ControlEffect &it : effects)
    applyEffect(it);
  abortOnDiskFailure(Disk.sync());
  publishRole();
}

void ControlShell::publishRole() {
  IsReady = State.Raft.Role != RaftRole::Blank && State.Raft.Leader != 0;
  bool hasChanged = LastRole != State.Raft.Role || LastTerm != State.Raft.Term;
  if (!hasChanged)
    return;
  LastRole = State.Raft.Role;
  LastTerm = State.Raft.Term;
  bool isLeader = LastRole == RaftRole::Leader;
  Counts.set("control_leader", "", isLeader ? 1 : 0);
  Counts.set("control_term", "", static_cast<double>(LastTerm));
  logEvent(LogLevel::Info, "role_changed",
           {{"term", std::to_string(LastTerm)},
            {"leader", isLeader ? "yes" : "no"},
            {"waits_for", describeLeaderWait(State.Raft)}});
}

void ControlShell::exit() {
  if (IsExiting)
    return;
  IsExiting = true;
  Role.close(Clock::now() + HandlerTimeout, [self = shared_from_this()](bool) {
    self->StopTimer.expires_after(ExitDelay);
    self->StopTimer.async_wait([self](auto) {
      self->Peers->close();
      self->Io.stop();
    });
  });
}

bool ControlShell::start(StartProblem &Problem) {
  Peers = std::make_unique<Link>(
      Io,
      LinkSelf{Options.Fleet, Options.Node, makeIncarnation(), Options.Listen},
      Counts, [this](wire::Envelope Message) {
        Role.post(ControlReceived{std::move(Message)});
      });
  if (!bindHttp(Problem) || !Peers->start(Problem) || !restore(Problem) ||
      !Server->start(Problem))
    return false;
  auto handleEvent = [this](ControlEvent &it) {
    // A member whose state may be half changed must not vote or reply.
    if (!runGuarded(Counts, "control_event", [&] { this->handleEvent(it); }))
      std::abort();
  };
  Role.start(handleEvent, ControlEvent(ControlTick{}), TickPeriod);
  return true;
}

void ControlShell::stop() {
  boost::asio::post(Io, [self = shared_from_this()] {
    if (self->IsStopping)
      return;
    self->IsStopping = true;
    self->Role.post(ControlStop{});
    self->StopTimer.expires_after(StopTimeout - HandlerTimeout - ExitDelay);
    self->StopTimer.async_wait([self](auto ec) {
      if (ec || self->IsExiting)
        return;
      logEvent(LogLevel::Warning, "stop_timed_out");
      self->exit();
    });
  });
}

} // namespace

std::shared_ptr<RoleShell> makeControlShell(const ShellParts &Parts) {
  return std::make_shared<ControlShell>(Parts);
}

} // namespace sassafras
