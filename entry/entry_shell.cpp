#include "entry/entry_shell.h"

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
/// The balancer sees that the entry is leaving before it stops accepting.
constexpr Millis BalancerNotice{1000};
constexpr Millis ExitPoll{50};
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
      : Io(Parts.Io), System(Parts.System), Options(Parts.Options),
        Counts(Parts.Counts), StopTimer(Io) {}
  EntryShell(const EntryShell &) = delete;
  EntryShell &operator=(const EntryShell &) = delete;

  bool start(std::string &Problem) override;
  void stop() override;

private:
  bool startHttp(std::string &Problem);
  void serve(HttpRequest Request, std::shared_ptr<HttpExchange> Exchange);
  bool serveOwn(const HttpRequest &Request, HttpExchange &Exchange);
  void step(const EntryEvent &Event);
  void perform(EntryEffect &Effect);
  void refuse(const AnswerRefusal &Effect);
  void abort(const AnswerAbort &Effect);
  void listModels(HttpExchange &Exchange);
  void publish(TimePoint Now);
  void beginStop();
  void waitForAnswers();
  std::shared_ptr<HttpExchange> exchangeOf(const std::string &Id);
  std::shared_ptr<HttpExchange> takeExchange(const std::string &Id);
  void post(EntryEvent Event) { sendEvent(Role, std::move(Event)); }

  boost::asio::io_context &Io;
  caf::actor_system &System;
  Settings Options;
  Metrics &Counts;
  uint64_t Incarnation = 0;
  EntryState State; ///< Touched by the actor only, once it runs.
  std::unique_ptr<Link> Peers;
  std::unique_ptr<HttpServer> Server;
  boost::asio::steady_timer StopTimer;
  caf::actor Role;
  std::atomic<bool> IsReady{false};
  std::atomic<bool> IsLeaving{false};
  std::atomic<bool> IsDone{false};
  uint64_t NextRequest = 1; ///< Context's thread.
  std::mutex ExchangeLock;
  std::map<std::string, std::shared_ptr<HttpExchange>> Exchanges;
  std::map<const HttpExchange *, std::string> Ids;
  std::string ModelList; ///< Answer to /v1/models, under ExchangeLock.
  uint64_t ModelListVersion = 0;
};

std::shared_ptr<HttpExchange> EntryShell::exchangeOf(const std::string &Id) {
  std::lock_guard guard(ExchangeLock);
  auto it = Exchanges.find(Id);
  return it == Exchanges.end() ? nullptr : it->second;
}

std::shared_ptr<HttpExchange> EntryShell::takeExchange(const std::string &Id) {
  std::lock_guard guard(ExchangeLock);
  auto it = Exchanges.find(Id);
  if (it == Exchanges.end())
    return nullptr;
  auto exchange = it->second;
  Ids.erase(exchange.get());
  Exchanges.erase(it);
  return exchange;
}

bool EntryShell::startHttp(std::string &Problem) {
  HttpServer::Handlers calls;
  calls.OnRequest = [this](HttpRequest Request,
                           std::shared_ptr<HttpExchange> Exchange) {
    serve(std::move(Request), std::move(Exchange));
  };
  calls.OnLoss = [this](const HttpExchange *Exchange, HttpLoss Loss) {
    std::string id;
    {
      std::lock_guard guard(ExchangeLock);
      auto it = Ids.find(Exchange);
      if (it == Ids.end())
        return;
      id = it->second;
    }
    takeExchange(id);
    if (Loss == HttpLoss::SlowReader)
      post(CallerTooSlow{id});
    else
      post(CallerGone{id});
  };
  HttpLimits limits;
  limits.HeadBytes = Options.EntryRole.HeadBytes;
  limits.BodyBytes = Options.EntryRole.BodyBytes;
  Server = std::make_unique<HttpServer>(Io, Options.Http, limits, Counts,
                                        std::move(calls));
  return Server->start(Problem);
}

void EntryShell::listModels(HttpExchange &Exchange) {
  std::lock_guard guard(ExchangeLock);
  std::vector<HttpField> fields{{"content-type", "application/json"}};
  Exchange.respond(200, fields, ModelList);
}

/// Answers the entry's own paths; false for callers' requests.
bool EntryShell::serveOwn(const HttpRequest &Request, HttpExchange &Exchange) {
  if (serveStatusPage(Request, Exchange, Counts, IsReady && !IsLeaving))
    return true;
  if (Request.Target != "/v1/models" || Request.Method != "GET")
    return false;
  listModels(Exchange);
  return true;
}

void EntryShell::serve(HttpRequest Request,
                       std::shared_ptr<HttpExchange> Exchange) {
  if (serveOwn(Request, *Exchange))
    return;
  std::string id = Options.Node + "-" + std::to_string(Incarnation) + "-" +
                   std::to_string(NextRequest++);
  std::string problem;
  auto caller = readCaller(std::move(Request), Options.KeySalt, problem);
  {
    std::lock_guard guard(ExchangeLock);
    Ids[Exchange.get()] = id;
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

void EntryShell::refuse(const AnswerRefusal &Effect) {
  auto exchange = takeExchange(Effect.Id);
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
                    printRefusal(Effect.Why, Effect.Id));
}

void EntryShell::abort(const AnswerAbort &Effect) {
  auto exchange = takeExchange(Effect.Id);
  if (!exchange)
    return;
  logEvent(LogLevel::Warning, "answer_aborted",
           {{"request", Effect.Id},
            {"reason", std::string(nameOf(Effect.Why.Reason))}});
  exchange->write("event: error\ndata: " + printRefusal(Effect.Why, Effect.Id) +
                  "\n");
  exchange->abort();
}

void EntryShell::perform(EntryEffect &Effect) {
  if (auto *message = std::get_if<EntrySend>(&Effect)) {
    Peers->send(message->Address, std::move(message->Message));
  } else if (auto *head = std::get_if<AnswerHead>(&Effect)) {
    auto fields = toFields(head->Headers);
    fields.push_back({"x-request-id", head->Id});
    if (auto exchange = exchangeOf(head->Id))
      exchange->start(head->Status, std::move(fields));
  } else if (auto *body = std::get_if<AnswerBody>(&Effect)) {
    if (auto exchange = exchangeOf(body->Id))
      exchange->write(std::move(body->Bytes));
  } else if (auto *end = std::get_if<AnswerEnd>(&Effect)) {
    if (auto exchange = takeExchange(end->Id))
      exchange->finish();
  } else if (auto *refusal = std::get_if<AnswerRefusal>(&Effect)) {
    refuse(*refusal);
  } else if (auto *broken = std::get_if<AnswerAbort>(&Effect)) {
    abort(*broken);
  } else if (auto *count = std::get_if<CountEvent>(&Effect)) {
    Counts.count(count->Name, count->Labels);
  } else if (auto *cold = std::get_if<ObserveCold>(&Effect)) {
    Counts.observe("cold_start_seconds", cold->Wait);
  } else {
    IsDone = true;
  }
}

void EntryShell::step(const EntryEvent &Event) {
  TimePoint now = Clock::now();
  auto effects = stepEntry(State, Event, now);
  for (EntryEffect &it : effects)
    perform(it);
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
  set("held", countHeld(State));
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

/// First the balancer is told, then the door closes, then all that runs
/// comes to its end.
void EntryShell::beginStop() {
  if (IsLeaving.exchange(true))
    return;
  StopTimer.expires_after(BalancerNotice);
  StopTimer.async_wait([self = shared_from_this()](auto) {
    self->Server->stopAccepting();
    self->waitForAnswers();
  });
}

void EntryShell::waitForAnswers() {
  bool isEmpty = Server->countOpenExchanges() == 0;
  if (isEmpty)
    post(EntryStop{});
  StopTimer.expires_after(isEmpty && IsDone ? ExitDelay : ExitPoll);
  StopTimer.async_wait([self = shared_from_this(), isEmpty](auto) {
    if (!isEmpty || !self->IsDone) {
      self->waitForAnswers();
      return;
    }
    self->Peers->close();
    // The actor holds the shell and would keep the process alive.
    caf::anon_send_exit(self->Role, caf::exit_reason::user_shutdown);
    self->Io.stop();
  });
}

bool EntryShell::start(std::string &Problem) {
  Incarnation = makeIncarnation();
  Peers = std::make_unique<Link>(
      Io, LinkSelf{Options.Fleet, Options.Node, Incarnation, Options.Listen},
      Counts, [this](wire::Envelope Message) {
        post(EntryReceived{std::move(Message)});
      });
  if (!Peers->start(Problem) || !startHttp(Problem))
    return false;
  State.Options = {Options.Node, Options.Zone};
  State.View.ControlAddresses = Options.Control;
  State.View.NextNumber = Incarnation;
  State.Tokens.NextNumber = Incarnation;
  std::function<void(EntryEvent &)> step =
      [self = shared_from_this()](EntryEvent &it) { self->step(it); };
  Role = System.spawn(makeRoleBehavior<EntryEvent>, step,
                      EntryEvent(EntryTick{}), TickPeriod);
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
