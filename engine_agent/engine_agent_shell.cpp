#include "engine_agent/engine_agent_shell.h"

#include "core/hash.h"
#include "core/logging.h"
#include "core/metrics.h"
#include "engine_agent/engine_orders.h"
#include "fleet/roster.h"
#include "http/address.h"
#include "http/client.h"
#include "http/server.h"
#include "http/status_pages.h"
#include "platform/engine_codec.h"
#include "wire/link.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace sassafras {

namespace {

/// The engine is asked at this pace, and more often while an order runs.
constexpr Millis IdlePoll{100};
constexpr Millis BusyPoll{20};
/// The engine runs on this host: an answer is there at once or not at all.
constexpr Millis EngineSilence{800};
/// Everything is told anew at this pace, load alone more often.
constexpr Millis WholePeriod{3'000};
constexpr Millis LoadPeriod{400};
/// In a fleet of more fronts than this both are told less often in proportion.
constexpr int64_t FewFronts = 10;
constexpr Millis MostWholePeriod{9'000};
constexpr Millis MostLoadPeriod{1'200};
constexpr Millis RosterPeriod{500};
/// One that has just started asks more often, for so long: fronts that started
/// at the same time know only some of the others at first.
constexpr Millis NewcomerPeriod{100};
constexpr Millis NewcomerSpan{2'000};
constexpr Millis SweepPeriod{2'000};
constexpr Millis ExitDelay{150};
/// All orders come from this process alone, so its fence never needs to rise.
constexpr uint64_t OwnFence = 1;
constexpr unsigned StatusOk = 200;

class EngineAgentShell : public RoleShell,
                         public std::enable_shared_from_this<EngineAgentShell> {
public:
  explicit EngineAgentShell(const ShellParts &Parts)
      : Io(Parts.Io), Options(Parts.Options), Counts(Parts.Counts),
        Client(Parts.Io, Parts.Counts), PollTimer(Parts.Io),
        BeatTimer(Parts.Io) {}
  EngineAgentShell(const EngineAgentShell &) = delete;
  EngineAgentShell &operator=(const EngineAgentShell &) = delete;

  bool start(std::string &Problem) override;
  void stop() override;
  void reload(const Settings &NewSettings) override;

private:
  bool startStatus(std::string &Problem);
  void takeMessage(const wire::Envelope &Message);
  void poll();
  void takeAnswer(const std::string &Text);
  void loseEngine(const std::string &Reason);
  void act();
  void giveOrder(const EngineDecision &Decision);
  void pollAfter(Millis Pause);
  void tell(TimePoint Now);
  Millis pace(Millis Period, Millis Most) const;
  wire::EngineReport makeReport(bool IsWhole);
  void sendReport(const wire::EngineReport &Report, bool IsFull, TimePoint Now);
  void beat();

  boost::asio::io_context &Io;
  Settings Options;
  Metrics &Counts;
  HttpClient Client;
  boost::asio::steady_timer PollTimer;
  boost::asio::steady_timer BeatTimer;
  std::unique_ptr<Link> Peers;
  std::unique_ptr<HttpServer> Status;
  wire::NodeEntry Self;
  Roster Fronts;
  std::vector<std::string> Seeds;
  EngineAgentState State;
  std::string ToldModels; ///< Serialised, as told last.
  std::string Orderer;    ///< Front that sent the newest order.
  uint32_t ToldLoad = 0;
  uint64_t NextNumber = 1;
  size_t NextFront = 0;
  TimePoint StartedAt;
  TimePoint NextWhole;
  TimePoint NextLoad;
  TimePoint NextSweep;
  bool IsPolling = false;
  bool IsOrdering = false;
  bool IsSilent = true;
  bool IsStopping = false;
};

bool EngineAgentShell::start(std::string &Problem) {
  StartedAt = Clock::now();
  uint64_t incarnation = makeIncarnation();
  Peers = std::make_unique<Link>(
      Io, LinkSelf{Options.Fleet, Options.Node, incarnation, Options.Listen},
      Counts, [this](const wire::Envelope &Message) { takeMessage(Message); });
  if (!Peers->start(Problem) || !startStatus(Problem))
    return false;
  Self.set_name(Options.Node);
  Self.set_address(Peers->address());
  Self.set_incarnation(incarnation);
  Self.set_kind(wire::NODE_ENGINE_AGENT);
  Self.set_zone(Options.Zone);
  for (const std::string &it : Options.EngineAgentRole.Seeds)
    Seeds.push_back(replacePort(it, Peers->address()));
  beat();
  poll();
  return true;
}

bool EngineAgentShell::startStatus(std::string &Problem) {
  HttpServer::Handlers calls;
  calls.OnRequest = [this](const HttpRequest &Request,
                           const std::shared_ptr<HttpExchange> &Exchange) {
    if (!serveStatusPage(Request, *Exchange, Counts, !IsSilent))
      Exchange->respond(404, {}, "not found\n");
  };
  calls.OnLoss = [](const HttpExchange *, HttpLoss) {};
  Status = std::make_unique<HttpServer>(Io, Options.Http, HttpLimits(), Counts,
                                        std::move(calls));
  return Status->start(Problem);
}

void EngineAgentShell::takeMessage(const wire::Envelope &Message) {
  TimePoint now = Clock::now();
  if (Message.has_roster_update()) {
    for (const wire::NodeEntry &it : Message.roster_update().nodes())
      // A front that is new knows nothing of this engine yet.
      if (it.kind() == wire::NODE_FRONT &&
          learnNode(Fronts, it, Options.Node, now))
        NextWhole = now;
    return;
  }
  if (Message.has_engine_order()) {
    const wire::EngineOrder &order = Message.engine_order();
    bool isTaken = order.engine_address() == Options.EngineAgentRole.Engine &&
                   takeOrder(State, order, now);
    if (isTaken)
      Orderer = Message.from();
    logEvent(LogLevel::Info, "order_received",
             {{"order", std::to_string(order.number())},
              {"term", std::to_string(order.term())},
              {"load", order.load()},
              {"from", Message.from()},
              {"taken", isTaken ? "yes" : "no"}});
  } else if (Message.has_adapter_wish()) {
    if (Message.adapter_wish().engine_address() ==
        Options.EngineAgentRole.Engine)
      takeAdapterWish(State, Message.adapter_wish(), now);
  } else {
    return;
  }
  act();
}

// ---- Engine ----

void EngineAgentShell::pollAfter(Millis Pause) {
  PollTimer.expires_after(Pause);
  PollTimer.async_wait([self = shared_from_this()](auto ec) {
    if (!ec)
      self->poll();
  });
}

void EngineAgentShell::poll() {
  if (IsPolling || IsOrdering || IsStopping)
    return;
  IsPolling = true;
  auto text = std::make_shared<std::string>();
  auto status = std::make_shared<unsigned>(0);
  HttpCallbacks calls;
  calls.OnHead = [status](const HttpResponseHead &Head) {
    *status = Head.Status;
  };
  calls.OnBody = [text](std::string_view Bytes) { *text += Bytes; };
  calls.OnEnd = [self = shared_from_this(), text, status] {
    self->IsPolling = false;
    if (*status == StatusOk)
      self->takeAnswer(*text);
    else
      self->loseEngine("status " + std::to_string(*status));
  };
  calls.OnFailure = [self = shared_from_this()](HttpFailure Break) {
    self->IsPolling = false;
    self->loseEngine(Break.IsRefused ? "refused" : "no answer");
  };
  Client.start(Options.EngineAgentRole.Engine, platform::makeStateRequest(),
               {EngineSilence, EngineSilence, EngineSilence * 4},
               std::move(calls));
}

void EngineAgentShell::takeAnswer(const std::string &Text) {
  wire::EngineReport reading;
  std::string problem;
  if (!platform::readState(Text, reading, problem)) {
    loseEngine(problem);
    return;
  }
  if (IsSilent)
    logEvent(LogLevel::Info, "engine_regained",
             {{"engine", Options.EngineAgentRole.Engine},
              {"born", std::to_string(reading.born_ms())}});
  IsSilent = false;
  takeReading(State, reading);
  uint64_t done = State.OrderDone;
  act();
  if (State.OrderDone != done)
    logEvent(LogLevel::Info, "order_done",
             {{"order", std::to_string(State.OrderDone)},
              {"models", std::to_string(reading.models_size())}});
  TimePoint now = Clock::now();
  tell(now);
  if (isPast(NextSweep, now)) {
    NextSweep = now + SweepPeriod;
    Client.closeExpired();
  }
  bool isActive = State.Goal || !State.Adapters.empty() ||
                  State.Reading.is_busy() || State.Reading.incoming_size() > 0;
  if (!IsOrdering)
    pollAfter(isActive ? BusyPoll : IdlePoll);
}

void EngineAgentShell::loseEngine(const std::string &Reason) {
  if (!IsSilent)
    logEvent(LogLevel::Warning, "engine_lost",
             {{"engine", Options.EngineAgentRole.Engine}, {"reason", Reason}});
  IsSilent = true;
  loseReading(State);
  tell(Clock::now());
  pollAfter(IdlePoll);
}

void EngineAgentShell::act() {
  if (IsOrdering || IsPolling || IsStopping)
    return;
  if (auto decision = decideOrder(State, Clock::now()))
    giveOrder(*decision);
  else if (State.Goal || !State.Adapters.empty())
    pollAfter(BusyPoll);
}

void EngineAgentShell::giveOrder(const EngineDecision &Decision) {
  IsOrdering = true;
  PollTimer.cancel();
  platform::EngineCommand command;
  command.IsLoad = Decision.IsLoad;
  command.Model = Decision.Model;
  command.Adapter = Decision.Adapter;
  command.ExpectedSequence = Decision.ExpectedSequence;
  command.Holder = Options.Node;
  command.FencingToken = OwnFence;
  command.Endpoint = Decision.Endpoint;
  Counts.count("engine_orders_total",
               Decision.IsLoad ? "kind=\"load\"" : "kind=\"unload\"");
  auto status = std::make_shared<unsigned>(0);
  auto finish = [self = shared_from_this(), Decision, status](bool IsWhole) {
    self->IsOrdering = false;
    logEvent(LogLevel::Info, "engine_order",
             {{"kind", Decision.IsLoad ? "load" : "unload"},
              {"model", Decision.Model},
              {"adapter", Decision.Adapter},
              {"sequence", std::to_string(Decision.ExpectedSequence)},
              {"order", std::to_string(self->State.HighestOrder)},
              {"status", IsWhole ? std::to_string(*status) : "none"}});
    // Whatever came of it shows in the engine's state.
    self->poll();
  };
  HttpCallbacks calls;
  calls.OnHead = [status](const HttpResponseHead &Head) {
    *status = Head.Status;
  };
  calls.OnBody = [](std::string_view) {};
  calls.OnEnd = [finish] { finish(true); };
  calls.OnFailure = [finish](HttpFailure) { finish(false); };
  Client.start(
      Options.EngineAgentRole.Engine, platform::makeCommandRequest(command),
      {EngineSilence, EngineSilence, EngineSilence * 4}, std::move(calls));
}

// ---- Fronts ----

wire::EngineReport EngineAgentShell::makeReport(bool IsWhole) {
  wire::EngineReport out;
  if (IsWhole && State.HasReading) {
    out = State.Reading;
    std::set<std::string> leaving = leavingModels(State);
    out.clear_models();
    for (const wire::LoadedModel &it : State.Reading.models())
      if (!leaving.contains(it.name()))
        *out.add_models() = it;
  } else {
    out.set_born_ms(State.Reading.born_ms());
    out.set_is_busy(State.Reading.is_busy());
    out.set_active(State.Reading.active());
    out.set_queued(State.Reading.queued());
    out.set_kv_used(State.Reading.kv_used());
    out.set_kv_total(State.Reading.kv_total());
    out.set_is_plain(!IsWhole);
  }
  if (IsWhole && State.Goal)
    out.set_loading(State.Goal->Load);
  *out.mutable_self() = Self;
  out.set_address(Options.EngineAgentRole.Engine);
  out.set_is_silent(IsSilent);
  out.set_order_done(State.OrderDone);
  out.set_number(NextNumber++);
  return out;
}

Millis EngineAgentShell::pace(Millis Period, Millis Most) const {
  auto fronts = static_cast<int64_t>(Fronts.Nodes.size());
  return std::max(Period, std::min(Period * fronts / FewFronts, Most));
}

void EngineAgentShell::tell(TimePoint Now) {
  wire::EngineReport whole = makeReport(true);
  // What makes a report worth telling at once.
  wire::EngineReport shape;
  *shape.mutable_models() = whole.models();
  shape.set_is_silent(whole.is_silent());
  shape.set_order_done(whole.order_done());
  shape.set_is_busy(whole.is_busy());
  shape.set_loading(whole.loading());
  shape.set_born_ms(whole.born_ms());
  std::string models = shape.SerializeAsString();
  bool isDue = isPast(NextWhole, Now);
  if (models != ToldModels || isDue) {
    ToldModels = models;
    if (isDue)
      NextWhole = Now + pace(WholePeriod, MostWholePeriod);
    NextLoad = Now + pace(LoadPeriod, MostLoadPeriod);
    sendReport(whole, isDue, Now);
  } else if (isPast(NextLoad, Now)) {
    NextLoad = Now + pace(LoadPeriod, MostLoadPeriod);
    uint32_t load = whole.active() + whole.queued();
    if (load != ToldLoad)
      sendReport(makeReport(false), true, Now);
    ToldLoad = load;
  }
}

/// Which weights are near matters to whoever places models; the others hear of
/// it only in full reports.
void EngineAgentShell::sendReport(const wire::EngineReport &Report, bool IsFull,
                                  TimePoint Now) {
  wire::Envelope full;
  *full.mutable_engine_report() = Report;
  wire::Envelope brief = full;
  brief.mutable_engine_report()->clear_in_memory();
  brief.mutable_engine_report()->clear_on_disk();
  brief.mutable_engine_report()->set_has_available(false);
  for (const auto &[name, it] : Fronts.Nodes)
    if (isInView(it, Now))
      Peers->send(it.Entry.address(), IsFull || name == Orderer ? full : brief);
}

/// Asks one front after the other for all fronts, near ones first.
void EngineAgentShell::beat() {
  if (IsStopping)
    return;
  TimePoint now = Clock::now();
  std::vector<std::string> targets;
  for (const auto &[name, it] : Fronts.Nodes)
    if (isInView(it, now) && it.Entry.zone() == Options.Zone)
      targets.push_back(it.Entry.address());
  if (targets.empty())
    targets = Seeds;
  wire::Envelope message;
  *message.mutable_node_heartbeat()->mutable_self() = Self;
  if (!targets.empty())
    Peers->send(targets[NextFront++ % targets.size()], message);
  expireNodes(Fronts, now);
  BeatTimer.expires_after(now - StartedAt < NewcomerSpan ? NewcomerPeriod
                                                         : RosterPeriod);
  BeatTimer.async_wait([self = shared_from_this()](auto ec) {
    if (!ec)
      self->beat();
  });
}

void EngineAgentShell::stop() {
  boost::asio::post(Io, [self = shared_from_this()] {
    if (self->IsStopping)
      return;
    self->IsStopping = true;
    self->PollTimer.cancel();
    self->BeatTimer.expires_after(ExitDelay);
    self->BeatTimer.async_wait([self](auto) {
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
