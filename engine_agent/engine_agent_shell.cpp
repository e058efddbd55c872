#include "engine_agent/engine_agent_shell.h"

#include "core/guard.h"
#include "core/hash.h"
#include "core/logging.h"
#include "core/metrics.h"
#include "engine_agent/engine_orders.h"
#include "engine_agent/report_targets.h"
#include "fleet/roster.h"
#include "http/address.h"
#include "http/client.h"
#include "http/server.h"
#include "http/status_pages.h"
#include "platform/caller_codec.h"
#include "platform/engine_codec.h"
#include "wire/link.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace sassafras {

namespace {

/// Interval at which the engine's state is polled: idle, and while a goal or a
/// load is in progress.
constexpr Millis IdlePollInterval{100};
constexpr Millis ActivePollInterval{20};
/// Timeout for connecting and for each wait on the engine. It runs on this
/// host, so it answers quickly or not at all.
constexpr Millis EngineTimeout{800};
/// Limit of a whole exchange with the engine, which may send bytes without end.
constexpr Millis EngineExchangeTimeout{3'000};
/// Largest state report of an engine, in bytes. One names some dozens of models
/// and adapters.
constexpr uint64_t MaxStateBytes = 1024ULL * 1024;
/// Intervals of full reports and, between them, of reports with load figures
/// only.
constexpr Millis FullReportInterval{3'000};
constexpr Millis LoadReportInterval{400};
/// With more receivers than this, both intervals grow in proportion to their
/// number, up to the maximum below.
constexpr int64_t MaxReceiversAtFullRate = 10;
constexpr Millis MaxFullReportInterval{9'000};
constexpr Millis MaxLoadReportInterval{1'200};
/// Interval of heartbeats, each of which asks one front for the roster.
constexpr Millis RosterInterval{500};
/// Shorter heartbeat interval during the first seconds of the process: fronts
/// that start at the same time know only some of the others at first.
constexpr Millis StartupRosterInterval{100};
constexpr Millis StartupPhase{2'000};
/// Interval at which expired pooled connections to the engine are closed.
constexpr Millis SweepPeriod{2'000};
constexpr Millis ExitDelay{150};
/// Fencing token of all commands. Only this process sends commands to the
/// engine, so it never has to increase.
constexpr uint64_t ConstantFencingToken = 1;
constexpr unsigned StatusOk = 200;

HttpCallOptions makeEngineCallOptions() {
  HttpCallOptions out{EngineTimeout, EngineTimeout, EngineTimeout * 4};
  out.Deadline = Clock::now() + EngineExchangeTimeout;
  out.MaxBodyBytes = MaxStateBytes;
  return out;
}

/// What the engine states of itself with its state.
struct EngineStatements {
  platform::StatedLimit Limit;
  bool IsLeaving = false;
  platform::StatedCold Cold;
  uint32_t PacePercent = 0; ///< 0: not stated.
};

class EngineAgentShell : public RoleShell,
                         public std::enable_shared_from_this<EngineAgentShell> {
public:
  explicit EngineAgentShell(const ShellParts &Parts)
      : Io(Parts.Io), Options(Parts.Options), Counts(Parts.Counts),
        Memory(Parts.Memory), Client(Parts.Io, Parts.Counts, Parts.Memory),
        PollTimer(Parts.Io), HeartbeatTimer(Parts.Io) {}
  EngineAgentShell(const EngineAgentShell &) = delete;
  EngineAgentShell &operator=(const EngineAgentShell &) = delete;

  bool start(StartProblem &Problem) override;
  void stop() override;
  void reload(const Settings &NewSettings) override;

private:
  bool bindStatusServer(StartProblem &Problem);
  void handleMessage(const wire::Envelope &Message);
  void poll();
  void handleStateResponse(const std::string &Text,
                           const EngineStatements &Stated);
  void recordCold(Millis Left, TimePoint Now);
  void handleEngineLoss(const std::string &Reason);
  void sendNextCommand();
  void sendCommand(const PlannedCommand &Planned);
  void schedulePoll(Millis Delay);
  void publishReport(TimePoint Now);
  Millis scaleInterval(Millis Interval, Millis Max) const;
  wire::EngineReport makeReport(bool IncludeModels);
  void sendReport(const wire::EngineReport &Outgoing, ReportScope Scope,
                  bool IncludeWeights, TimePoint Now);
  void sendHeartbeat();

  boost::asio::io_context &Io;
  Settings Options;
  Metrics &Counts;
  MemoryBudgetPtr Memory;
  HttpClient Client;
  boost::asio::steady_timer PollTimer;
  boost::asio::steady_timer HeartbeatTimer;
  std::unique_ptr<Link> Peers;
  std::unique_ptr<HttpServer> StatusServer;
  wire::NodeEntry Self;
  Roster Fronts;
  std::vector<std::string> Seeds;
  EngineAgentState State;
  std::string LastUrgentFields; ///< Serialised, as of the last report.
  bool WasBusy = false;         ///< As of the last report.
  /// Requests per second that the engine states as its limit.
  std::optional<double> RequestLimit;
  TimePoint ColdUntil;      ///< The engine states that it is cold until then.
  uint32_t PacePercent = 0; ///< Stated with its state; or 0.
  bool IsEngineLeaving = false; ///< It states that it takes no new requests.
  std::string LastOrderSender;  ///< Front that sent the latest order.
  uint32_t LastReportedLoad = 0;
  uint64_t NextReportNumber = 1;
  size_t NextFront = 0;
  TimePoint StartedAt;
  TimePoint NextFullReport;
  TimePoint NextLoadReport;
  TimePoint NextSweep;
  bool IsPolling = false;
  bool IsCommandRunning = false;
  bool IsSilent = true;
  bool IsStopping = false;
};

bool EngineAgentShell::start(StartProblem &Problem) {
  StartedAt = Clock::now();
  uint64_t incarnation = makeIncarnation();
  Peers = std::make_unique<Link>(
      Io, LinkSelf{Options.Fleet, Options.Node, incarnation, Options.Listen},
      Counts,
      [this](const wire::Envelope &Message) { handleMessage(Message); });
  if (!bindStatusServer(Problem) || !Peers->start(Problem) ||
      !StatusServer->start(Problem))
    return false;
  Self.set_name(Options.Node);
  Self.set_address(Peers->address());
  Self.set_incarnation(incarnation);
  Self.set_kind(wire::NODE_ENGINE_AGENT);
  Self.set_zone(Options.Zone);
  for (const std::string &it : Options.EngineAgentRole.Seeds)
    Seeds.push_back(replacePort(it, Peers->address()));
  sendHeartbeat();
  poll();
  return true;
}

bool EngineAgentShell::bindStatusServer(StartProblem &Problem) {
  HttpServer::Handlers callbacks;
  callbacks.OnRequest = [this](const HttpRequest &Request,
                               const std::shared_ptr<HttpExchange> &Exchange) {
    if (!serveStatusPage(Request, *Exchange, Counts, !IsSilent))
      Exchange->respond(404, {}, "not found\n");
  };
  callbacks.OnLoss = [](const HttpExchange *, HttpLoss) {};
  StatusServer = std::make_unique<HttpServer>(
      Io, Options.Http, HttpLimits(), Counts, Memory, std::move(callbacks));
  return StatusServer->bind(Problem);
}

void EngineAgentShell::handleMessage(const wire::Envelope &Message) {
  TimePoint now = Clock::now();
  if (Message.has_roster_update()) {
    refreshNodes(Fronts, Message.roster_update(), now);
    for (const wire::NodeEntry &it : Message.roster_update().nodes())
      // A new front has no report of this engine yet.
      if (it.kind() == wire::NODE_FRONT &&
          mergeNode(Fronts, it, Options.Node, now))
        NextFullReport = now;
    return;
  }
  if (Message.has_engine_order()) {
    const wire::EngineOrder &order = Message.engine_order();
    bool isTaken = order.engine_address() == Options.EngineAgentRole.Engine &&
                   acceptOrder(State, order, now);
    if (isTaken)
      LastOrderSender = Message.from();
    logEvent(LogLevel::Info, "order_received",
             {{"order", std::to_string(order.number())},
              {"term", std::to_string(order.term())},
              {"load", order.load()},
              {"from", Message.from()},
              {"taken", isTaken ? "yes" : "no"}});
  } else if (Message.has_adapter_wish()) {
    if (Message.adapter_wish().engine_address() ==
        Options.EngineAgentRole.Engine)
      acceptAdapterRequest(State, Message.adapter_wish(), now);
  } else {
    return;
  }
  sendNextCommand();
}

// ---- Engine ----

void EngineAgentShell::schedulePoll(Millis Delay) {
  PollTimer.expires_after(Delay);
  PollTimer.async_wait([self = shared_from_this()](auto ec) {
    if (!ec)
      self->poll();
  });
}

void EngineAgentShell::poll() {
  if (IsPolling || IsCommandRunning || IsStopping)
    return;
  IsPolling = true;
  auto text = std::make_shared<std::string>();
  auto status = std::make_shared<unsigned>(0);
  auto stated = std::make_shared<EngineStatements>();
  HttpCallbacks callbacks;
  callbacks.OnHead = [status, stated](const HttpResponseHead &Head) {
    *status = Head.Status;
    auto load = platform::readResponseFields(Head.Status, Head.Fields).Load;
    *stated = {platform::readRequestLimit(Head.Fields),
               platform::readLeaving(Head.Fields),
               platform::readColdTime(Head.Fields),
               load ? load->PacePercent.value_or(0) : 0};
  };
  callbacks.OnBody = [text](std::string_view Bytes) { *text += Bytes; };
  callbacks.OnEnd = [self = shared_from_this(), text, status, stated] {
    self->IsPolling = false;
    bool isHandled = runGuarded(self->Counts, "engine_state", [&] {
      if (*status == StatusOk)
        self->handleStateResponse(*text, *stated);
      else
        self->handleEngineLoss("HTTP status " + std::to_string(*status));
    });
    if (!isHandled)
      self->schedulePoll(IdlePollInterval);
  };
  callbacks.OnFailure = [self = shared_from_this()](HttpFailure Failure) {
    self->IsPolling = false;
    self->handleEngineLoss(Failure.IsRefused ? "connection refused"
                                             : "no complete response");
  };
  Client.start(Options.EngineAgentRole.Engine, platform::makeStateRequest(),
               makeEngineCallOptions(), std::move(callbacks));
}

void EngineAgentShell::handleStateResponse(const std::string &Text,
                                           const EngineStatements &Stated) {
  wire::EngineReport report;
  std::string problem;
  if (!platform::readState(Text, report, problem)) {
    handleEngineLoss(problem);
    return;
  }
  if (IsSilent)
    logEvent(LogLevel::Info, "engine_regained",
             {{"engine", Options.EngineAgentRole.Engine},
              {"born", std::to_string(report.born_ms())}});
  IsSilent = false;
  if (Stated.Limit.IsInvalid)
    Counts.count("statements_invalid_total", "kind=\"limit\"");
  else
    RequestLimit = Stated.Limit.PerSecond;
  IsEngineLeaving = Stated.IsLeaving;
  if (Stated.Cold.IsInvalid)
    Counts.count("statements_invalid_total", "kind=\"cold\"");
  else
    recordCold(Stated.Cold.Left.value_or(Millis(0)), Clock::now());
  PacePercent = Stated.PacePercent;
  applyEngineReport(State, report);
  uint64_t done = State.OrderDone;
  sendNextCommand();
  if (State.OrderDone != done)
    logEvent(LogLevel::Info, "order_done",
             {{"order", std::to_string(State.OrderDone)},
              {"models", std::to_string(report.models_size())}});
  TimePoint now = Clock::now();
  publishReport(now);
  if (isPast(NextSweep, now)) {
    NextSweep = now + SweepPeriod;
    Client.closeExpired();
  }
  bool isActive = State.Goal || !State.Adapters.empty() ||
                  State.Report.is_busy() || State.Report.incoming_size() > 0;
  if (!IsCommandRunning)
    schedulePoll(isActive ? ActivePollInterval : IdlePollInterval);
}

void EngineAgentShell::recordCold(Millis Left, TimePoint Now) {
  bool wasCold = !isPast(ColdUntil, Now);
  ColdUntil = Left > Millis(0) ? Now + Left : TimePoint();
  if (Left > Millis(0) && !wasCold)
    logEvent(LogLevel::Info, "engine_cold",
             {{"engine", Options.EngineAgentRole.Engine},
              {"for_ms", std::to_string(Left.count())}});
}

void EngineAgentShell::handleEngineLoss(const std::string &Reason) {
  if (!IsSilent)
    logEvent(LogLevel::Warning, "engine_lost",
             {{"engine", Options.EngineAgentRole.Engine}, {"reason", Reason}});
  IsSilent = true;
  RequestLimit.reset();
  IsEngineLeaving = false;
  ColdUntil = {};
  PacePercent = 0;
  clearEngineReport(State);
  publishReport(Clock::now());
  schedulePoll(IdlePollInterval);
}

void EngineAgentShell::sendNextCommand() {
  if (IsCommandRunning || IsPolling || IsStopping)
    return;
  if (auto command = chooseCommand(State, Clock::now()))
    sendCommand(*command);
  else if (State.Goal || !State.Adapters.empty())
    schedulePoll(ActivePollInterval);
}

void EngineAgentShell::sendCommand(const PlannedCommand &Planned) {
  IsCommandRunning = true;
  PollTimer.cancel();
  platform::EngineCommand engineCommand;
  engineCommand.IsLoad = Planned.IsLoad;
  engineCommand.Model = Planned.Model;
  engineCommand.Adapter = Planned.Adapter;
  engineCommand.ExpectedSequence = Planned.ExpectedSequence;
  engineCommand.Holder = Options.Node;
  engineCommand.FencingToken = ConstantFencingToken;
  engineCommand.Endpoint = Planned.Endpoint;
  Counts.count("engine_orders_total",
               Planned.IsLoad ? "kind=\"load\"" : "kind=\"unload\"");
  auto status = std::make_shared<unsigned>(0);
  auto finish = [self = shared_from_this(), Planned, status](bool IsComplete) {
    self->IsCommandRunning = false;
    logEvent(LogLevel::Info, "engine_order",
             {{"kind", Planned.IsLoad ? "load" : "unload"},
              {"model", Planned.Model},
              {"adapter", Planned.Adapter},
              {"sequence", std::to_string(Planned.ExpectedSequence)},
              {"order", std::to_string(self->State.HighestOrder)},
              {"status", IsComplete ? std::to_string(*status) : "none"}});
    // The engine's state shows the result of the command.
    self->poll();
  };
  HttpCallbacks callbacks;
  callbacks.OnHead = [status](const HttpResponseHead &Head) {
    *status = Head.Status;
  };
  callbacks.OnBody = [](std::string_view) {};
  callbacks.OnEnd = [finish] { finish(true); };
  callbacks.OnFailure = [finish](HttpFailure) { finish(false); };
  Client.start(Options.EngineAgentRole.Engine,
               platform::makeCommandRequest(engineCommand),
               makeEngineCallOptions(), std::move(callbacks));
}

// ---- Fronts ----

wire::EngineReport EngineAgentShell::makeReport(bool IncludeModels) {
  wire::EngineReport out;
  if (IncludeModels && State.HasReport) {
    out = State.Report;
    std::set<std::string> evicting = listEvictingModels(State);
    out.clear_models();
    for (const wire::LoadedModel &it : State.Report.models())
      if (!evicting.contains(it.name()))
        *out.add_models() = it;
  } else {
    out.set_born_ms(State.Report.born_ms());
    out.set_is_busy(State.Report.is_busy());
    out.set_active(State.Report.active());
    out.set_queued(State.Report.queued());
    out.set_kv_used(State.Report.kv_used());
    out.set_kv_total(State.Report.kv_total());
    out.set_is_plain(!IncludeModels);
  }
  if (IncludeModels && State.Goal)
    out.set_loading(State.Goal->Load);
  *out.mutable_self() = Self;
  out.set_address(Options.EngineAgentRole.Engine);
  out.set_is_silent(IsSilent);
  out.set_has_limit(RequestLimit.has_value());
  out.set_requests_per_s(RequestLimit.value_or(0));
  out.set_is_leaving(IsEngineLeaving);
  if (TimePoint now = Clock::now(); !isPast(ColdUntil, now))
    out.set_cold_left_ms(toMillis(ColdUntil - now));
  out.set_pace_percent(PacePercent);
  out.set_order_done(State.OrderDone);
  out.set_number(NextReportNumber++);
  return out;
}

Millis EngineAgentShell::scaleInterval(Millis Interval, Millis Max) const {
  auto receivers =
      static_cast<int64_t>(chooseReportTargets(Fronts, Self, LastOrderSender,
                                               ReportScope::Fleet, Clock::now())
                               .size());
  return std::max(Interval,
                  std::min(Interval * receivers / MaxReceiversAtFullRate, Max));
}

void EngineAgentShell::publishReport(TimePoint Now) {
  wire::EngineReport fullReport = makeReport(true);
  // A change in one of these fields is reported at once.
  wire::EngineReport urgentFields;
  *urgentFields.mutable_models() = fullReport.models();
  urgentFields.set_is_silent(fullReport.is_silent());
  urgentFields.set_order_done(fullReport.order_done());
  urgentFields.set_loading(fullReport.loading());
  urgentFields.set_born_ms(fullReport.born_ms());
  urgentFields.set_has_limit(fullReport.has_limit());
  urgentFields.set_requests_per_s(fullReport.requests_per_s());
  urgentFields.set_is_leaving(fullReport.is_leaving());
  urgentFields.set_cold_left_ms(fullReport.cold_left_ms() > 0 ? 1 : 0);
  std::string serialized = urgentFields.SerializeAsString();
  bool isDue = isPast(NextFullReport, Now);
  bool isChanged = serialized != LastUrgentFields;
  if (isChanged || isDue || fullReport.is_busy() != WasBusy) {
    LastUrgentFields = serialized;
    WasBusy = fullReport.is_busy();
    if (isDue)
      NextFullReport =
          Now + scaleInterval(FullReportInterval, MaxFullReportInterval);
    NextLoadReport =
        Now + scaleInterval(LoadReportInterval, MaxLoadReportInterval);
    sendReport(fullReport,
               isChanged || isDue ? ReportScope::Fleet : ReportScope::Zone,
               isDue, Now);
  } else if (isPast(NextLoadReport, Now)) {
    NextLoadReport =
        Now + scaleInterval(LoadReportInterval, MaxLoadReportInterval);
    uint32_t load = fullReport.active() + fullReport.queued();
    if (load != LastReportedLoad)
      sendReport(makeReport(false), ReportScope::Zone, false, Now);
    LastReportedLoad = load;
  }
}

/// The lists of weights in the engine's memory and on its disk matter only to
/// the front that places models, the sender of the latest order; the other
/// fronts get them when \p IncludeWeights is set.
void EngineAgentShell::sendReport(const wire::EngineReport &Outgoing,
                                  ReportScope Scope, bool IncludeWeights,
                                  TimePoint Now) {
  for (const ReportTarget &it :
       chooseReportTargets(Fronts, Self, LastOrderSender, Scope, Now)) {
    wire::Envelope message;
    wire::EngineReport &report = *message.mutable_engine_report();
    report = Outgoing;
    report.set_pass_on(it.PassesOn);
    if (!IncludeWeights && !it.PlacesModels) {
      report.clear_in_memory();
      report.clear_on_disk();
      report.set_has_available(false);
    }
    Peers->send(it.Address, std::move(message));
  }
}

/// Sends a heartbeat to one front, which replies with the roster of all fronts.
/// Goes in turn through the fronts in view in the same zone, or through the
/// seeds while there are none.
void EngineAgentShell::sendHeartbeat() {
  if (IsStopping)
    return;
  TimePoint now = Clock::now();
  HeartbeatTimer.expires_after(
      now - StartedAt < StartupPhase ? StartupRosterInterval : RosterInterval);
  HeartbeatTimer.async_wait([self = shared_from_this()](auto ec) {
    if (!ec)
      self->sendHeartbeat();
  });
  std::vector<std::string> targets;
  for (const auto &[name, it] : Fronts.Nodes)
    if (isInView(it, now) && it.Entry.zone() == Options.Zone)
      targets.push_back(it.Entry.address());
  if (targets.empty())
    targets = Seeds;
  wire::Envelope message;
  *message.mutable_node_heartbeat()->mutable_self() = Self;
  message.mutable_node_heartbeat()->set_roster_digest(
      digestRoster(Fronts, now));
  if (!targets.empty())
    Peers->send(targets[NextFront++ % targets.size()], message);
  expireNodes(Fronts, now);
}

void EngineAgentShell::stop() {
  boost::asio::post(Io, [self = shared_from_this()] {
    if (self->IsStopping)
      return;
    self->IsStopping = true;
    self->PollTimer.cancel();
    self->HeartbeatTimer.expires_after(ExitDelay);
    self->HeartbeatTimer.async_wait([self](auto) {
      self->Peers->close();
      self->Io.stop();
    });
  });
}

void EngineAgentShell::reload(const Settings &NewSettings) {
  Seeds.clear();
  for (const std::string &it : NewSettings.EngineAgentRole.Seeds)
    Seeds.push_back(replacePort(it, Peers->address()));
}

} // namespace

std::shared_ptr<RoleShell> makeEngineAgentShell(const ShellParts &Parts) {
  return std::make_shared<EngineAgentShell>(Parts);
}

} // namespace sassafras
