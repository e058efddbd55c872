#include "agent/agent_shell.h"

#include "agent/agent_state.h"
#include "agent/announcement.h"
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
/// An endpoint may be silent for this long within an answer.
constexpr std::chrono::minutes AnswerSilence{5};
constexpr std::chrono::minutes OrderLimit{10};
/// A silent endpoint's port is tried this often.
constexpr Millis ProbePeriod{1000};
constexpr Millis ProbeSilence{2000};
/// One that broke off an answer is tried at this pace and so often: a process
/// that ends closes its connections some milliseconds before its port.
constexpr Millis QuickProbePause{15};
constexpr int MostQuickProbes = 10;
constexpr unsigned StatusOk = 200;

class AgentShell : public RoleShell,
                   public std::enable_shared_from_this<AgentShell> {
public:
  explicit AgentShell(const ShellParts &Parts)
      : Io(Parts.Io), System(Parts.System), Options(Parts.Options),
        Counts(Parts.Counts), ProbeTimer(Io) {}
  AgentShell(const AgentShell &) = delete;
  AgentShell &operator=(const AgentShell &) = delete;

  bool start(std::string &Problem) override;
  void stop() override;

private:
  bool startHttp(std::string &Problem);
  void takeAnnouncement(const HttpRequest &Request, HttpExchange &Exchange);
  void step(const AgentEvent &Event);
  void perform(AgentEffect &Effect);
  void startExchange(const StartExchange &Start);
  void giveOrder(const GiveOrder &Order);
  void probeSilent();
  void probe(int MoreTries);
  void probeLater(int MoreTries);
  void exit();
  void post(AgentEvent Event) { sendEvent(Role, std::move(Event)); }

  boost::asio::io_context &Io;
  caf::actor_system &System;
  Settings Options;
  Metrics &Counts;
  AgentState State; ///< Touched by the actor only, once it runs.
  std::unique_ptr<Link> Peers;
  std::unique_ptr<HttpServer> Server;
  std::unique_ptr<boost::asio::steady_timer> ExitTimer;
  boost::asio::steady_timer ProbeTimer;
  caf::actor Role;
  std::atomic<bool> IsReady{false};
  bool IsExiting = false;
  // Touched on the context's thread only.
  std::string EndpointAddress;
  TimePoint LastAnnounce;
  bool IsProbing = false;
  std::map<AttemptKey, std::shared_ptr<HttpCall>> Calls;
};

bool AgentShell::startHttp(std::string &Problem) {
  HttpServer::Handlers calls;
  calls.OnRequest = [this](const HttpRequest &Request,
                           const std::shared_ptr<HttpExchange> &Exchange) {
    if (Request.Target == "/announce" && Request.Method == "POST")
      takeAnnouncement(Request, *Exchange);
    else if (!serveStatusPage(Request, *Exchange, Counts, IsReady))
      Exchange->respond(404, {}, "not found\n");
  };
  calls.OnLoss = [](const HttpExchange *, HttpLoss) {};
  Server = std::make_unique<HttpServer>(Io, Options.Http, HttpLimits(), Counts,
                                        std::move(calls));
  return Server->start(Problem);
}

void AgentShell::takeAnnouncement(const HttpRequest &Request,
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
  HttpCallbacks calls;
  calls.OnHead = [this, key](const HttpResponseHead &Head) {
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
  calls.OnBody = [this, key](std::string_view Bytes) {
    post(EndpointBody{key, std::string(Bytes)});
  };
  calls.OnEnd = [this, key] {
    Calls.erase(key);
    post(EndpointEnd{key});
  };
  calls.OnFailure = [this, key](HttpFailure Break) {
    Calls.erase(key);
    post(EndpointBroken{key, Break.WasSent});
  };
  Counts.count("attempts_started_total");
  Calls[key] = startHttpCall(Io, EndpointAddress, request, AnswerSilence,
                             std::move(calls));
}

void AgentShell::giveOrder(const GiveOrder &Order) {
  bool isLoad = Order.Kind == OrderKind::Load;
  HttpRequest request{"POST",
                      isLoad ? "/admin/load" : "/admin/unload",
                      {{"content-type", "application/json"}},
                      printOrder(Order)};
  logEvent(LogLevel::Info, isLoad ? "load_ordered" : "unload_ordered",
           {{"row", Order.Row}, {"fence", std::to_string(Order.Fence)}});
  Counts.count("orders_total", isLoad ? "kind=\"load\"" : "kind=\"unload\"");
  auto isDone = std::make_shared<bool>(false);
  HttpCallbacks calls;
  calls.OnHead = [isDone](const HttpResponseHead &Head) {
    *isDone = Head.Status == StatusOk;
  };
  calls.OnBody = [](std::string_view) {};
  auto finish = [this, Order, isDone](bool IsWhole) {
    bool isGood = IsWhole && *isDone;
    bool isOver = IsWhole;
    logEvent(LogLevel::Info, "order_ended",
             {{"row", Order.Row},
              {"fence", std::to_string(Order.Fence)},
              {"done", isGood ? "yes" : "no"}});
    post(OrderDone{Order.Row, Order.Fence, isGood, isOver});
  };
  calls.OnEnd = [finish] { finish(true); };
  calls.OnFailure = [finish](HttpFailure) { finish(false); };
  startHttpCall(Io, EndpointAddress, request, OrderLimit, std::move(calls));
}

/// Asks again and again whether an endpoint that became silent is still there.
void AgentShell::probeSilent() {
  ProbeTimer.expires_after(ProbePeriod);
  ProbeTimer.async_wait([self = shared_from_this()](auto ec) {
    if (ec)
      return;
    if (Clock::now() - self->LastAnnounce > ProbePeriod)
      self->probe(0);
    self->probeSilent();
  });
}

/// A port that refuses connections proves that an endpoint is gone. One that
/// is just ending may still take a connection and break it off; it is tried
/// again \p MoreTries times.
void AgentShell::probe(int MoreTries) {
  if (IsProbing || EndpointAddress.empty())
    return;
  IsProbing = true;
  HttpCallbacks calls;
  calls.OnHead = [](const HttpResponseHead &) {};
  calls.OnBody = [](std::string_view) {};
  calls.OnEnd = [self = shared_from_this()] { self->IsProbing = false; };
  calls.OnFailure = [self = shared_from_this(), MoreTries,
                     announced = LastAnnounce](HttpFailure Break) {
    self->IsProbing = false;
    // An announcement meanwhile may be of a new process at this address.
    if (Break.IsRefused && self->LastAnnounce == announced) {
      self->EndpointAddress.clear();
      self->post(EndpointGone{});
    } else if (MoreTries > 0 && !Break.IsTimeout) {
      self->probeLater(MoreTries - 1);
    }
  };
  startHttpCall(Io, EndpointAddress, {"GET", "/healthz", {}, {}}, ProbeSilence,
                std::move(calls));
}

void AgentShell::probeLater(int MoreTries) {
  auto timer = std::make_shared<boost::asio::steady_timer>(Io, QuickProbePause);
  timer->async_wait([self = shared_from_this(), timer, MoreTries](auto ec) {
    if (!ec)
      self->probe(MoreTries);
  });
}

void AgentShell::perform(AgentEffect &Effect) {
  if (auto *message = std::get_if<AgentSend>(&Effect)) {
    Peers->send(message->Address, std::move(message->Message));
    return;
  }
  if (std::holds_alternative<AgentExit>(Effect)) {
    exit();
    return;
  }
  boost::asio::post(
      Io, [self = shared_from_this(), effect = std::move(Effect)] {
        if (const auto *start = std::get_if<StartExchange>(&effect)) {
          self->startExchange(*start);
        } else if (const auto *order = std::get_if<GiveOrder>(&effect)) {
          self->giveOrder(*order);
        } else if (std::holds_alternative<ProbeEndpoint>(effect)) {
          self->probe(MostQuickProbes);
        } else if (const auto *cancel = std::get_if<CancelExchange>(&effect)) {
          auto call = self->Calls.find(cancel->Key);
          if (call == self->Calls.end())
            return;
          call->second->cancel();
          self->Calls.erase(call);
        }
      });
}

void AgentShell::step(const AgentEvent &Event) {
  if (IsExiting)
    return;
  if (const auto *broken = std::get_if<EndpointBroken>(&Event))
    logEvent(LogLevel::Warning, "endpoint_broke",
             {{"request", broken->Key.RequestId},
              {"sent", broken->WasSent ? "yes" : "no"}});
  if (std::holds_alternative<EndpointGone>(Event))
    logEvent(LogLevel::Warning, "endpoint_gone");
  TimePoint now = Clock::now();
  auto effects = stepAgent(State, Event, now);
  for (AgentEffect &it : effects)
    perform(it);
  IsReady = isAgentReady(State, now);
  Counts.set("idle_accelerator_seconds", "", State.IdleTime.count());
  Counts.set("attempts_running", "",
             static_cast<double>(State.Attempts.size()));
}

void AgentShell::exit() {
  IsExiting = true;
  boost::asio::post(Io, [self = shared_from_this()] {
    self->ProbeTimer.cancel();
    self->ExitTimer =
        std::make_unique<boost::asio::steady_timer>(self->Io, ExitDelay);
    self->ExitTimer->async_wait([self](auto) {
      self->Peers->close();
      // The actor holds the shell and would keep the process alive.
      caf::anon_send_exit(self->Role, caf::exit_reason::user_shutdown);
      self->Io.stop();
    });
  });
}

bool AgentShell::start(std::string &Problem) {
  uint64_t incarnation = makeIncarnation();
  Peers = std::make_unique<Link>(
      Io, LinkSelf{Options.Fleet, Options.Node, incarnation, Options.Listen},
      Counts, [this](wire::Envelope Message) {
        post(AgentReceived{std::move(Message)});
      });
  if (!Peers->start(Problem) || !startHttp(Problem))
    return false;
  State.Options = {Options.Node,
                   incarnation,
                   Peers->address(),
                   Options.Zone,
                   Options.AgentRole.Slots,
                   Options.AgentRole.Service};
  State.View.ControlAddresses = Options.Control;
  State.View.NextNumber = incarnation;
  std::function<void(AgentEvent &)> step =
      [self = shared_from_this()](AgentEvent &it) { self->step(it); };
  Role = System.spawn(makeRoleBehavior<AgentEvent>, step,
                      AgentEvent(AgentTick{}), TickPeriod);
  probeSilent();
  return true;
}

void AgentShell::stop() { sendEvent<AgentEvent>(Role, AgentStop{}); }

} // namespace

std::shared_ptr<RoleShell> makeAgentShell(const ShellParts &Parts) {
  return std::make_shared<AgentShell>(Parts);
}

} // namespace sassafras
