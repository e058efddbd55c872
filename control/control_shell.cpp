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
      : Io(Parts.Io), System(Parts.System), Options(Parts.Options),
        Counts(Parts.Counts), Memory(Parts.Memory),
        Disk(Options.ControlRole.DataFolder) {}
  ControlShell(const ControlShell &) = delete;
  ControlShell &operator=(const ControlShell &) = delete;

  bool start(std::string &Problem) override;
  void stop() override;

private:
  bool restore(std::string &Problem);
  bool startHttp(std::string &Problem);
  void handleEvent(const ControlEvent &Event);
  void applyEffect(ControlEffect &Effect);
  void abortOnDiskFailure(bool IsWritten);
  void publishRole();
  void exit();

  boost::asio::io_context &Io;
  caf::actor_system &System;
  Settings Options;
  Metrics &Counts;
  MemoryBudgetPtr Memory;
  DiskLog Disk;
  ControlState State; ///< Used by the actor only, once it runs.
  std::unique_ptr<Link> Peers;
  std::unique_ptr<HttpServer> Server;
  std::unique_ptr<boost::asio::steady_timer> ExitTimer;
  caf::actor Role;
  std::atomic<bool> IsReady{false};
  bool IsExiting = false;
  RaftRole LastRole = RaftRole::Blank;
  uint64_t LastTerm = 0;
};

bool ControlShell::restore(std::string &Problem) {
  DiskError problem;
  auto content = Disk.open(problem);
  if (!content) {
    Problem = problem.File + " " + problem.Reason;
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

bool ControlShell::startHttp(std::string &Problem) {
  HttpServer::Handlers callbacks;
  callbacks.OnRequest = [this](const HttpRequest &Request,
                               const std::shared_ptr<HttpExchange> &Exchange) {
    if (!serveStatusPage(Request, *Exchange, Counts, IsReady))
      Exchange->respond(404, {}, "not found\n");
  };
  callbacks.OnLoss = [](const HttpExchange *, HttpLoss) {};
  Server = std::make_unique<HttpServer>(Io, Options.Http, HttpLimits(), Counts,
                                        Memory, std::move(callbacks));
  return Server->start(Problem);
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
    exit();
  }
}

void ControlShell::handleEvent(const ControlEvent &Event) {
  if (IsExiting)
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
  IsExiting = true;
  boost::asio::post(Io, [self = shared_from_this()] {
    self->ExitTimer =
        std::make_unique<boost::asio::steady_timer>(self->Io, ExitDelay);
    self->ExitTimer->async_wait([self](auto) {
      self->Peers->close();
      // The actor holds a reference to the shell and would keep the process
      // running.
      caf::anon_send_exit(self->Role, caf::exit_reason::user_shutdown);
      self->Io.stop();
    });
  });
}

bool ControlShell::start(std::string &Problem) {
  Peers = std::make_unique<Link>(
      Io,
      LinkSelf{Options.Fleet, Options.Node, makeIncarnation(), Options.Listen},
      Counts, [this](wire::Envelope Message) {
        sendEvent<ControlEvent>(Role, ControlReceived{std::move(Message)});
      });
  if (!Peers->start(Problem) || !restore(Problem) || !startHttp(Problem))
    return false;
  std::function<void(ControlEvent &)> handleEvent =
      [self = shared_from_this()](ControlEvent &it) {
        // A member whose state may be half changed must not vote or reply.
        if (!runGuarded(self->Counts, "control_event",
                        [&] { self->handleEvent(it); }))
          std::abort();
      };
  Role = System.spawn(makeRoleBehavior<ControlEvent>, handleEvent,
                      ControlEvent(ControlTick{}), TickPeriod);
  return true;
}

void ControlShell::stop() { sendEvent<ControlEvent>(Role, ControlStop{}); }

} // namespace

std::shared_ptr<RoleShell> makeControlShell(const ShellParts &Parts) {
  return std::make_shared<ControlShell>(Parts);
}

} // namespace sassafras
