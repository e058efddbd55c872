#include "control/control_shell.h"

#include "control/control_state.h"
#include "core/hash.h"
#include "core/metrics.h"
#include "core/role_actor.h"
#include "http/server.h"
#include "replication/disk_log.h"
#include "wire/link.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <cstdlib>

namespace sassafras {

namespace {

constexpr Millis TickPeriod{25};
/// Messages sent last get this long to leave the process.
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

} // namespace

struct ControlShell::Impl : std::enable_shared_from_this<ControlShell::Impl> {
  Impl(boost::asio::io_context &Io, caf::actor_system &System,
       const Settings &Options, Metrics &Counts)
      : Io(Io), System(System), Options(Options), Counts(Counts),
        Disk(Options.ControlRole.DataFolder) {}

  bool restore(std::string &Problem);
  bool startHttp(std::string &Problem);
  void step(const ControlEvent &Event);
  void perform(ControlEffect &Effect);
  void requireDisk(bool IsDone);
  void publish();
  void exit();

  boost::asio::io_context &Io;
  caf::actor_system &System;
  Settings Options;
  Metrics &Counts;
  DiskLog Disk;
  ControlState State; ///< Touched by the actor only, once it runs.
  std::unique_ptr<Link> Peers;
  std::unique_ptr<HttpServer> Server;
  std::unique_ptr<boost::asio::steady_timer> ExitTimer;
  caf::actor Role;
  std::atomic<bool> IsReady{false};
  bool IsExiting = false;
  RaftRole LastRole = RaftRole::Blank;
  uint64_t LastTerm = 0;
};

bool ControlShell::Impl::restore(std::string &Problem) {
  DiskProblem problem;
  auto content = Disk.open(problem);
  if (!content) {
    Problem = problem.File + " " + problem.Reason;
    return false;
  }
  if (content->TornBytes > 0)
    logEvent(LogLevel::Warning, "log_end_cut",
             {{"bytes", std::to_string(content->TornBytes)}});
  RaftSelf self{Options.Node, content->Identity, Peers->address()};
  TimePoint now = Clock::now();
  uint64_t seed = drawIdentity();
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

bool ControlShell::Impl::startHttp(std::string &Problem) {
  HttpServer::Handlers calls;
  calls.OnRequest = [this](const HttpRequest &Request,
                           const std::shared_ptr<HttpExchange> &Exchange) {
    std::vector<HttpField> fields{{"content-type", "text/plain"}};
    if (Request.Target == "/metrics")
      Exchange->respond(200, fields, Counts.print());
    else if (Request.Target == "/healthz")
      Exchange->respond(200, fields, "ok\n");
    else if (Request.Target == "/readyz")
      Exchange->respond(IsReady ? 200 : 503, fields,
                        IsReady ? "ready\n" : "not ready\n");
    else
      Exchange->respond(404, fields, "not found\n");
  };
  calls.OnLoss = [](const HttpExchange *, HttpLoss) {};
  Server = std::make_unique<HttpServer>(Io, Options.Http, HttpLimits(), Counts,
                                        std::move(calls));
  return Server->start(Problem);
}

/// A member that cannot write must not vote or answer.
void ControlShell::Impl::requireDisk(bool IsDone) {
  if (IsDone)
    return;
  logEvent(LogLevel::Error, "disk_failed",
           {{"file", Disk.lastProblem().File},
            {"reason", Disk.lastProblem().Reason}});
  std::abort();
}

void ControlShell::Impl::perform(ControlEffect &Effect) {
  if (auto *record = std::get_if<PersistRecord>(&Effect)) {
    requireDisk(Disk.append(record->Record));
  } else if (auto *whole = std::get_if<PersistSnapshot>(&Effect)) {
    requireDisk(
        Disk.replace(whole->Snapshot, whole->HardState, whole->Entries));
  } else if (auto *message = std::get_if<RaftSend>(&Effect)) {
    requireDisk(Disk.sync());
    Peers->send(message->Address, std::move(message->Message));
  } else {
    exit();
  }
}

void ControlShell::Impl::step(const ControlEvent &Event) {
  if (IsExiting)
    return;
  // The time is read at use: a process that was stopped for a while finds
  // its leases ended.
  auto effects = stepControl(State, Event, Clock::now());
  for (ControlEffect &it : effects)
    perform(it);
  requireDisk(Disk.sync());
  publish();
}

void ControlShell::Impl::publish() {
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
            {"leader", isLeader ? "yes" : "no"}});
}

void ControlShell::Impl::exit() {
  IsExiting = true;
  boost::asio::post(Io, [self = shared_from_this()] {
    self->ExitTimer =
        std::make_unique<boost::asio::steady_timer>(self->Io, ExitDelay);
    self->ExitTimer->async_wait([self](auto) {
      self->Peers->close();
      self->Io.stop();
    });
  });
}

ControlShell::ControlShell(boost::asio::io_context &Io,
                           caf::actor_system &System, const Settings &Options,
                           Metrics &Counts)
    : Data(std::make_shared<Impl>(Io, System, Options, Counts)) {}

ControlShell::~ControlShell() {
  caf::anon_send_exit(Data->Role, caf::exit_reason::user_shutdown);
}

bool ControlShell::start(std::string &Problem) {
  Impl &data = *Data;
  data.Peers = std::make_unique<Link>(
      data.Io,
      LinkSelf{data.Options.Fleet, data.Options.Node, drawIncarnation(),
               data.Options.Listen},
      data.Counts, [&data](wire::Envelope Message) {
        sendEvent<ControlEvent>(data.Role, ControlReceived{std::move(Message)});
      });
  if (!data.Peers->start(Problem) || !data.restore(Problem) ||
      !data.startHttp(Problem))
    return false;
  std::function<void(ControlEvent &)> step = [self = Data](ControlEvent &it) {
    self->step(it);
  };
  data.Role = data.System.spawn(makeRoleBehavior<ControlEvent>, step,
                                ControlEvent(ControlTick{}), TickPeriod);
  return true;
}

void ControlShell::stop() {
  sendEvent<ControlEvent>(Data->Role, ControlStop{});
}

} // namespace sassafras
