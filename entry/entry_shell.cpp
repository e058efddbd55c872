#include "entry/entry_shell.h"

#include "core/guard.h"
#include "core/hash.h"
#include "core/metrics.h"
#include "core/role_actor.h"
#include "entry/caller_reader.h"
#include "entry/entry_state.h"
#include "http/server.h"
#include "http/status_pages.h"
#include "wire/link.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include <atomic>

namespace sassafras {

namespace {

constexpr Millis TickPeriod{20};
/// Time between reporting "not ready" and refusing new connections, so that
/// load balancers stop routing here first.
constexpr Millis LoadBalancerNotice{1000};
constexpr Millis ExitPollInterval{50};
constexpr Millis ExitDelay{200};

std::vector<HttpField> toFields(const std::vector<HttpHeader> &Headers) {
  std::vector<HttpField> fields;
  fields.reserve(Headers.size() + 1);
  for (const HttpHeader &it : Headers)
    fields.push_back({it.Name, it.Value});
  return fields;
}

class EntryShell : public RoleShell,
                   public std::enable_shared_from_this<EntryShell> {
public:
  explicit EntryShell(const ShellParts &Parts)
      : Io(Parts.Io), Options(Parts.Options), Counts(Parts.Counts),
        Memory(Parts.Memory), StopTimer(Io), Role(Io, Parts.System, "entry") {}
  EntryShell(const EntryShell &) = delete;
  EntryShell &operator=(const EntryShell &) = delete;

  bool start(StartProblem &Problem) override;
  void stop() override;
  bool isClosed() const override { return Role.isClosed(); }

private:
  bool bindHttp(StartProblem &Problem);
  void serve(HttpRequest Request, std::shared_ptr<HttpExchange> Exchange);
  bool serveBuiltInPath(const HttpRequest &Request, HttpExchange &Exchange);
  void handleEvent(const EntryEvent &Event);
  void applyEffect(EntryEffect &Effect);
  void refuse(const RefusalResponse &Effect);
  void abort(const ResponseAbort &Effect);
  void listModels(HttpExchange &Exchange);
  void publish(TimePoint Now);
  void beginStop();
  void waitForOpenRequests();
  void exit();
  std::shared_ptr<HttpExchange> findExchange(const std::string &Id);
  std::shared_ptr<HttpExchange> removeExchange(const std::string &Id);
  void post(EntryEvent Event) { Role.post(std::move(Event)); }

  boost::asio::io_context &Io;
  Settings Options;
  Metrics &Counts;
  MemoryBudgetPtr Memory;
  uint64_t Incarnation = 0;
  EntryState State; ///< Used only by the actor once it runs.
  std::unique_ptr<Link> Peers;
  std::unique_ptr<HttpServer> Server;
  boost::asio::steady_timer StopTimer;
  std::atomic<bool> IsReady{false};
  std::atomic<bool> IsLeaving{false};
  std::atomic<bool> IsDone{false};
  uint64_t NextRequestNumber = 1; ///< Used only on the thread of Io.
  /// Guards Exchanges, IdByExchange and ModelList.
  std::mutex ExchangeLock;
  std::map<std::string, std::shared_ptr<HttpExchange>> Exchanges;
  std::map<const HttpExchange *, std::string> IdByExchange;
  std::string ModelList; ///< Response body of /v1/models.
  uint64_t ModelListVersion = 0;
  RoleActor<EntryEvent> Role; ///< Destroyed first.
};

std::shared_ptr<HttpExchange> EntryShell::findExchange(const std::string &Id) {
  std::lock_guard guard(ExchangeLock);
  auto it = Exchanges.find(Id);
  return it == Exchanges.end() ? nullptr : it->second;
}

std::shared_ptr<HttpExchange>
EntryShell::removeExchange(const std::string &Id) {
  std::lock_guard guard(ExchangeLock);
  auto it = Exchanges.find(Id);
  if (it == Exchanges.end())
    return nullptr;
  auto exchange = it->second;
  IdByExchange.erase(exchange.get());
  Exchanges.erase(it);
  return exchange;
}

bool EntryShell::bindHttp(StartProblem &Problem) {
  HttpServer::Handlers callbacks;
  callbacks.OnRequest = [this](HttpRequest Request,
                               std::shared_ptr<HttpExchange> Exchange) {
    serve(std::move(Request), std::move(Exchange));
  };
  callbacks.OnLoss = [this](const HttpExchange *Exchange, HttpLoss Loss) {
    std::string id;
    {
      std::lock_guard guard(ExchangeLock);
      auto it = IdByExchange.find(Exchange);
      if (it == IdByExchange.end())
        return;
      id = it->second;
    }
    removeExchange(id);
    if (Loss == HttpLoss::SlowReader)
      post(CallerTooSlow{id});
    else
      post(CallerDisconnected{id});
  };
  HttpLimits limits;
  limits.HeadBytes = Options.EntryRole.HeadBytes;
  limits.BodyBytes = Options.EntryRole.BodyBytes;
  Server = std::make_unique<HttpServer>(Io, Options.Http, limits, Counts,
                                        Memory, std::move(callbacks));
  return Server->bind(Problem);
}

void EntryShell::listModels(HttpExchange &Exchange) {
  std::lock_guard guard(ExchangeLock);
  std::vector<HttpField> fields{{"content-type", "application/json"}};
  Exchange.respond(200, fields, ModelList);
}

/// Responds to the entry's built-in paths (status pages and /v1/models).
/// Returns false for requests that are to be routed to endpoints.
bool EntryShell::serveBuiltInPath(const HttpRequest &Request,
                                  HttpExchange &Exchange) {
  if (serveStatusPage(Request, Exchange, Counts, IsReady && !IsLeaving))
    return true;
  if (Request.Target != "/v1/models" || Request.Method != "GET")
    return false;
  listModels(Exchange);
  return true;
}

void EntryShell::serve(HttpRequest Request,
                       std::shared_ptr<HttpExchange> Exchange) {
  if (serveBuiltInPath(Request, *Exchange))
    return;
  std::string id = Options.Node + "-" + std::to_string(Incarnation) + "-" +
                   std::to_string(NextRequestNumber++);
  std::string problem;
  auto caller =
      parseCallerRequest(std::move(Request), Options.KeySalt, problem);
  {
    std::lock_guard guard(ExchangeLock);
    IdByExchange[Exchange.get()] = id;
    Exchanges[id] = std::move(Exchange);
  }
  if (!caller) {
    Counts.count("refusals_total", "reason=\"bad_request\"");
    refuse({id,
            {RefusalReason::BadRequest, RanState::NotRun,
             std::chrono::seconds(0), problem}});
    return;
  }
  caller->Id = id;
  post(CallerArrived{std::move(*caller)});
}

void EntryShell::refuse(const RefusalResponse &Effect) {
  auto exchange = removeExchange(Effect.Id);
  if (!exchange)
    return;
  logEvent(LogLevel::Info, "request_refused",
           {{"request", Effect.Id},
            {"reason", std::string(nameOf(Effect.Why.Reason))},
            {"ran", nameOf(Effect.Why.Ran)}});
  std::vector<HttpField> fields{{"content-type", "application/json"},
                                {"x-request-id", Effect.Id}};
  if (Effect.Why.RetryAfter.count() > 0)
    fields.push_back(
        {"retry-after", std::to_string(Effect.Why.RetryAfter.count())});
  exchange->respond(statusOf(Effect.Why.Reason), fields,
                    formatRefusal(Effect.Why, Effect.Id));
}

void EntryShell::abort(const ResponseAbort &Effect) {
  auto exchange = removeExchange(Effect.Id);
  if (!exchange)
    return;
  logEvent(LogLevel::Warning, "answer_aborted",
           {{"request", Effect.Id},
            {"reason", std::string(nameOf(Effect.Why.Reason))}});
  exchange->write(
      "event: error\ndata: " + formatRefusal(Effect.Why, Effect.Id) + "\n");
  exchange->abort();
}

void EntryShell::applyEffect(EntryEffect &Effect) {
  if (auto *message = std::get_if<EntrySend>(&Effect)) {
    Peers->send(message->Address, std::move(message->Message));
  } else if (auto *head = std::get_if<ResponseHead>(&Effect)) {
    auto fields = toFields(head->Headers);
    fields.push_back({"x-request-id", head->Id});
    if (auto exchange = findExchange(head->Id))
      exchange->start(head->Status, std::move(fields));
  } else if (auto *body = std::get_if<ResponseBody>(&Effect)) {
    if (auto exchange = findExchange(body->Id))
      exchange->write(std::move(body->Bytes));
  } else if (auto *end = std::get_if<ResponseEnd>(&Effect)) {
    if (auto exchange = removeExchange(end->Id))
      exchange->finish();
  } else if (auto *refusal = std::get_if<RefusalResponse>(&Effect)) {
    refuse(*refusal);
  } else if (auto *aborted = std::get_if<ResponseAbort>(&Effect)) {
    abort(*aborted);
  } else if (auto *count = std::get_if<CounterIncrement>(&Effect)) {
    Counts.count(count->Name, count->Labels);
  } else if (auto *cold = std::get_if<ObserveColdStart>(&Effect)) {
    Counts.observe("cold_start_seconds", cold->Wait);
  } else {
    IsDone = true;
  }
}

void EntryShell::handleEvent(const EntryEvent &Event) {
  TimePoint now = Clock::now();
  auto effects = stepEntry(State, Event, now);
  for (EntryEffect &it : effects)
    applyEffect(it);
  if (std::holds_alternative<EntryTick>(Event))
    publish(now);
}

void EntryShell::publish(TimePoint Now) {
  IsReady = isEntryReady(State, Now);
  const OutcomeCounts &counts = State.Counts;
  auto set = [&](const char *Outcome, uint64_t Value) {
    Counts.set("requests_by_outcome",
               "outcome=\"" + std::string(Outcome) + "\"",
               static_cast<double>(Value));
  };
  set("accepted", counts.Accepted);
  set("answered", counts.Answered);
  set("refused", counts.Refused);
  set("failed", counts.Failed);
  set("cancelled", counts.Cancelled);
  set("held", countPendingRequests(State));
  if (State.View.Version == ModelListVersion)
    return;
  boost::json::array models;
  for (const wire::Item *it : State.View.Items.list("row/")) {
    const wire::TableRow &row = it->row();
    if (row.kind() == wire::ROW_MODEL || row.kind() == wire::ROW_ADAPTER)
      models.push_back({{"id", row.name()}, {"object", "model"}});
  }
  boost::json::object list{{"object", "list"}};
  list["data"] = std::move(models);
  std::lock_guard guard(ExchangeLock);
  ModelList = boost::json::serialize(list) + "\n";
  ModelListVersion = State.View.Version;
}

/// Starts a graceful stop: reports "not ready" to load balancers, then stops
/// accepting connections, then waits for open requests.
void EntryShell::beginStop() {
  if (IsLeaving.exchange(true))
    return;
  StopTimer.expires_after(LoadBalancerNotice);
  StopTimer.async_wait([self = shared_from_this()](auto) {
    self->Server->stopAccepting();
    self->waitForOpenRequests();
  });
}

void EntryShell::waitForOpenRequests() {
  bool isEmpty = Server->countOpenExchanges() == 0;
  if (isEmpty && IsDone) {
    exit();
    return;
  }
  if (isEmpty)
    post(EntryStop{});
  StopTimer.expires_after(ExitPollInterval);
  StopTimer.async_wait(
      [self = shared_from_this()](auto) { self->waitForOpenRequests(); });
}

void EntryShell::exit() {
  Role.close(Clock::now() + HandlerTimeout, [self = shared_from_this()](bool) {
    self->StopTimer.expires_after(ExitDelay);
    self->StopTimer.async_wait([self](auto) {
      self->Peers->close();
      self->Io.stop();
    });
  });
}

bool EntryShell::start(StartProblem &Problem) {
  Incarnation = makeIncarnation();
  Peers = std::make_unique<Link>(
      Io, LinkSelf{Options.Fleet, Options.Node, Incarnation, Options.Listen},
      Counts, [this](wire::Envelope Message) {
        post(EntryReceived{std::move(Message)});
      });
  if (!bindHttp(Problem) || !Peers->start(Problem) || !Server->start(Problem))
    return false;
  State.Options = {Options.Node, Options.Zone};
  State.View.ControlAddresses = Options.Control;
  State.View.NextNumber = Incarnation;
  State.Tokens.NextNumber = Incarnation;
  auto handleEvent = [this](EntryEvent &it) {
    runGuarded(Counts, "entry_event", [&] { this->handleEvent(it); });
  };
  Role.start(handleEvent, EntryEvent(EntryTick{}), TickPeriod);
  return true;
}

void EntryShell::stop() {
  boost::asio::post(Io, [self = shared_from_this()] { self->beginStop(); });
}

} // namespace

std::shared_ptr<RoleShell> makeEntryShell(const ShellParts &Parts) {
  return std::make_shared<EntryShell>(Parts);
}

} // namespace sassafras
