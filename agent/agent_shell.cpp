#include "agent/agent_shell.h"

#include "agent/agent_state.h"
#include "agent/announcement.h"
#include "core/guard.h"
#include "core/hash.h"
#include "core/metrics.h"
#include "core/role_actor.h"
#include "http/client.h"
#include "http/server.h"
#include "http/status_pages.h"
#include "wire/link.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>

namespace sassafras {

namespace {

constexpr Millis TickPeriod{25};
constexpr Millis ExitDelay{200};
/// Maximum silence of the endpoint within a response.
constexpr std::chrono::minutes ResponseIdleTimeout{5};
/// Maximum silence of the endpoint while it carries out an order.
constexpr std::chrono::minutes OrderIdleTimeout{10};
/// Interval of probes to an endpoint that has not announced itself for as long.
constexpr Millis ProbeInterval{1000};
constexpr Millis ProbeTimeout{2000};
/// Delay and number of probe retries after a failed exchange: a process that
/// ends closes its connections some milliseconds before its listening port.
constexpr Millis ProbeRetryDelay{15};
constexpr int MaxProbeRetries = 10;
constexpr unsigned StatusOk = 200;

class AgentShell : public RoleShell,
                   public std::enable_shared_from_this<AgentShell> {
public:
  explicit AgentShell(const ShellParts &Parts)
      : Io(Parts.Io), Options(Parts.Options), Counts(Parts.Counts),
        Memory(Parts.Memory), ExitTimer(Io), ProbeTimer(Io),
        Role(Io, Parts.System, "agent") {}
  AgentShell(const AgentShell &) = delete;
  AgentShell &operator=(const AgentShell &) = delete;

  bool start(StartProblem &Problem) override;
  void stop() override;
  bool isClosed() const override { return Role.isClosed(); }

private:
  bool bindHttp(StartProblem &Problem);
  void handleAnnouncement(const HttpRequest &Request, HttpExchange &Exchange);
  void handleEvent(const AgentEvent &Event);
  void applyEffect(AgentEffect &Effect);
  void startExchange(const StartExchange &Start);
  void sendOrder(const SendOrder &Order);
  void scheduleSilenceProbe();
  void probe(int RetriesLeft);
  void scheduleProbeRetry(int RetriesLeft);
  void exit();
  void post(AgentEvent Event) { Role.post(std::move(Event)); }

  boost::asio::io_context &Io;
  Settings Options;
  Metrics &Counts;
  MemoryBudgetPtr Memory;
  AgentState State; ///< Used by the actor only, once it runs.
  std::unique_ptr<Link> Peers;
  std::unique_ptr<HttpServer> Server;
  boost::asio::steady_timer ExitTimer;
  boost::asio::steady_timer ProbeTimer;
  std::atomic<bool> IsReady{false};
  bool HasLeft = false; ///< Used by the actor only.
  // Used on the io_context's thread only.
  std::string EndpointAddress;
  TimePoint LastAnnounce;
  bool IsProbing = false;
  std::map<AttemptKey, std::shared_ptr<HttpCall>> Calls;
  RoleActor<AgentEvent> Role; ///< Destroyed first.
};

bool AgentShell::bindHttp(StartProblem &Problem) {
  HttpServer::Handlers callbacks;
  callbacks.OnRequest = [this](const HttpRequest &Request,
                               const std::shared_ptr<HttpExchange> &Exchange) {
    if (Request.Target == "/announce" && Request.Method == "POST")
      handleAnnouncement(Request, *Exchange);
    else if (!serveStatusPage(Request, *Exchange, Counts, IsReady))
      Exchange->respond(404, {}, "not found\n");
  };
  callbacks.OnLoss = [](const HttpExchange *, HttpLoss) {};
  Server = std::make_unique<HttpServer>(Io, Options.Http, HttpLimits(), Counts,
                                        Memory, std::move(callbacks));
  return Server->bind(Problem);
}

void AgentShell::handleAnnouncement(const HttpRequest &Request,
                                    HttpExchange &Exchange) {
  std::vector<HttpField> fields{{"content-type", "text/plain"}};
  std::string problem;
  auto announcement = parseAnnouncement(Request.Body, problem);
  if (!announcement) {
    Counts.count("announcements_refused_total");
    Exchange.respond(400, fields, problem + "\n");
    return;
  }
  EndpointAddress = announcement->Address;
  LastAnnounce = Clock::now();
  post(EndpointAnnounced{std::move(announcement->Report)});
  Exchange.respond(StatusOk, fields, "ok\n");
}

void AgentShell::startExchange(const StartExchange &Start) {
  AttemptKey key = Start.Key;
  HttpRequest request{
      Start.Request.method(), Start.Request.target(), {}, Start.Request.body()};
  for (const wire::Header &it : Start.Request.headers())
    request.Fields.push_back({it.name(), it.value()});
  HttpCallbacks callbacks;
  callbacks.OnHead = [this, key](const HttpResponseHead &Head) {
    EndpointHead head{key, Head.Status, {}};
    for (const HttpField &it : Head.Fields) {
      if (isHopByHopField(it.Name))
        continue;
      wire::Header header;
      header.set_name(it.Name);
      header.set_value(it.Value);
      head.Headers.push_back(std::move(header));
    }
    post(std::move(head));
  };
  callbacks.OnBody = [this, key](std::string_view Bytes) {
    post(EndpointBody{key, std::string(Bytes)});
  };
  callbacks.OnEnd = [this, key] {
    Calls.erase(key);
    post(EndpointEnd{key});
  };
  callbacks.OnFailure = [this, key](HttpFailure Failure) {
    Calls.erase(key);
    post(ExchangeFailed{key, Failure.WasSent});
  };
  Counts.count("attempts_started_total");
  Calls[key] = startHttpCall(Io, EndpointAddress, request, ResponseIdleTimeout,
                             std::move(callbacks), Memory);
}

void AgentShell::sendOrder(const SendOrder &Order) {
  bool isLoad = Order.Kind == OrderKind::Load;
  HttpRequest request{"POST",
                      isLoad ? "/admin/load" : "/admin/unload",
                      {{"content-type", "application/json"}},
                      serializeOrder(Order)};
  logEvent(LogLevel::Info, isLoad ? "load_ordered" : "unload_ordered",
           {{"row", Order.Row}, {"fence", std::to_string(Order.Fence)}});
  Counts.count("orders_total", isLoad ? "kind=\"load\"" : "kind=\"unload\"");
  auto hasStatusOk = std::make_shared<bool>(false);
  HttpCallbacks callbacks;
  callbacks.OnHead = [hasStatusOk](const HttpResponseHead &Head) {
    *hasStatusOk = Head.Status == StatusOk;
  };
  callbacks.OnBody = [](std::string_view) {};
  auto finish = [this, Order, hasStatusOk](bool IsComplete) {
    bool isSuccess = IsComplete && *hasStatusOk;
    bool isAnswered = IsComplete;
    logEvent(LogLevel::Info, "order_ended",
             {{"row", Order.Row},
              {"fence", std::to_string(Order.Fence)},
              {"done", isSuccess ? "yes" : "no"}});
    post(OrderResult{Order.Row, Order.Fence, isSuccess, isAnswered});
  };
  callbacks.OnEnd = [finish] { finish(true); };
  callbacks.OnFailure = [finish](HttpFailure) { finish(false); };
  startHttpCall(Io, EndpointAddress, request, OrderIdleTimeout,
                std::move(callbacks), Memory);
}

/// Periodically probes an endpoint that has stopped announcing itself.
void AgentShell::scheduleSilenceProbe() {
  ProbeTimer.expires_after(ProbeInterval);
  ProbeTimer.async_wait([self = shared_from_this()](auto ec) {
    if (ec)
      return;
    if (Clock::now() - self->LastAnnounce > ProbeInterval)
      self->probe(0);
    self->scheduleSilenceProbe();
  });
}

/// Checks whether the endpoint's process still runs. A port that refuses
/// connections proves that it has ended. A process that is ending may still
/// accept a connection and close it, so such a probe is retried up to
/// \p RetriesLeft times; a timeout is not retried.
void AgentShell::probe(int RetriesLeft) {
  if (IsProbing || EndpointAddress.empty())
    return;
  IsProbing = true;
  HttpCallbacks callbacks;
  callbacks.OnHead = [](const HttpResponseHead &) {};
  callbacks.OnBody = [](std::string_view) {};
  callbacks.OnEnd = [self = shared_from_this()] { self->IsProbing = false; };
  callbacks.OnFailure = [self = shared_from_this(), RetriesLeft,
                         announced = LastAnnounce](HttpFailure Failure) {
    self->IsProbing = false;
    // An announcement since the probe may come from a new process at the same
    // address.
    if (Failure.IsRefused && self->LastAnnounce == announced) {
      self->EndpointAddress.clear();
      self->post(EndpointGone{});
    } else if (RetriesLeft > 0 && !Failure.IsTimeout) {
      self->scheduleProbeRetry(RetriesLeft - 1);
    }
  };
  startHttpCall(Io, EndpointAddress, {"GET", "/healthz", {}, {}}, ProbeTimeout,
                std::move(callbacks), Memory);
}

void AgentShell::scheduleProbeRetry(int RetriesLeft) {
  auto timer = std::make_shared<boost::asio::steady_timer>(Io, ProbeRetryDelay);
  timer->async_wait([self = shared_from_this(), timer, RetriesLeft](auto ec) {
    if (!ec)
      self->probe(RetriesLeft);
  });
}

void AgentShell::applyEffect(AgentEffect &Effect) {
  if (auto *message = std::get_if<AgentSend>(&Effect)) {
    Peers->send(message->Address, std::move(message->Message));
    return;
  }
  if (std::holds_alternative<AgentExit>(Effect)) {
    HasLeft = true;
    boost::asio::post(Io, [self = shared_from_this()] { self->exit(); });
    return;
  }
  boost::asio::post(
      Io, [self = shared_from_this(), effect = std::move(Effect)] {
        if (const auto *start = std::get_if<StartExchange>(&effect)) {
          self->startExchange(*start);
        } else if (const auto *order = std::get_if<SendOrder>(&effect)) {
          self->sendOrder(*order);
        } else if (std::holds_alternative<ProbeEndpoint>(effect)) {
          self->probe(MaxProbeRetries);
        } else if (const auto *cancel = std::get_if<CancelExchange>(&effect)) {
          auto call = self->Calls.find(cancel->Key);
          if (call == self->Calls.end())
            return;
          call->second->cancel();
          self->Calls.erase(call);
        }
      });
}

void AgentShell::handleEvent(const AgentEvent &Event) {
  if (HasLeft)
    return;
  if (const auto *failure = std::get_if<ExchangeFailed>(&Event))
    logEvent(LogLevel::Warning, "endpoint_broke",
             {{"request", failure->Key.RequestId},
              {"sent", failure->WasSent ? "yes" : "no"}});
  if (std::holds_alternative<EndpointGone>(Event))
    logEvent(LogLevel::Warning, "endpoint_gone");
  TimePoint now = Clock::now();
  auto effects = stepAgent(State, Event, now);
  for (AgentEffect &it : effects)
    applyEffect(it);
  IsReady = isAgentReady(State, now);
  Counts.set("idle_accelerator_seconds", "", State.IdleTime.count());
  Counts.set("attempts_running", "",
             static_cast<double>(State.Attempts.size()));
}

void AgentShell::exit() {
  ProbeTimer.cancel();
  Role.close(Clock::now() + HandlerTimeout, [self = shared_from_this()](bool) {
    self->ExitTimer.expires_after(ExitDelay);
    self->ExitTimer.async_wait([self](auto) {
      self->Peers->close();
      self->Io.stop();
    });
  });
}

bool AgentShell::start(StartProblem &Problem) {
  uint64_t incarnation = makeIncarnation();
  Peers = std::make_unique<Link>(
      Io, LinkSelf{Options.Fleet, Options.Node, incarnation, Options.Listen},
      Counts, [this](wire::Envelope Message) {
        post(AgentReceived{std::move(Message)});
      });
  if (!bindHttp(Problem) || !Peers->start(Problem) || !Server->start(Problem))
    return false;
  State.Options = {Options.Node,
                   incarnation,
                   Peers->address(),
                   Options.Zone,
                   Options.AgentRole.Slots,
                   Options.AgentRole.Service};
  State.View.ControlAddresses = Options.Control;
  State.View.NextNumber = incarnation;
  auto handleEvent = [this](AgentEvent &it) {
    runGuarded(Counts, "agent_event", [&] { this->handleEvent(it); });
  };
  Role.start(handleEvent, AgentEvent(AgentTick{}), TickPeriod);
  scheduleSilenceProbe();
  return true;
}

void AgentShell::stop() { post(AgentStop{}); }

} // namespace

std::shared_ptr<RoleShell> makeAgentShell(const ShellParts &Parts) {
  return std::make_shared<AgentShell>(Parts);
}

} // namespace sassafras
