#include "front/front_shell.h"

#include "control/serving_group.h"
#include "core/compress.h"
#include "core/guard.h"
#include "core/hash.h"
#include "core/logging.h"
#include "core/metrics.h"
#include "front/caller_attributes.h"
#include "front/caller_limits.h"
#include "front/crash_notices.h"
#include "front/early_requests.h"
#include "front/endpoint_statements.h"
#include "front/evacuation_effects.h"
#include "front/fleet_api.h"
#include "front/front_core.h"
#include "front/front_status.h"
#include "front/leader_work.h"
#include "front/quota_loans.h"
#include "front/relay.h"
#include "front/send_permits.h"
#include "front/stop_deadlines.h"
#include "front/stream_origins.h"
#include "http/address.h"
#include "platform/caller_codec.h"
#include "platform/table_codec.h"
#include "wire/link.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <utility>

namespace sassafras {

namespace {

/// Timer interval. Waiting requests are dispatched again on a tick after
/// a change that may let them proceed.
constexpr Millis TickPeriod{20};
/// Waiting requests are dispatched again after this time even if nothing is
/// known to have changed.
constexpr Millis MaxDispatchInterval{100};
/// Waiting requests that an arrival finds without room before it is dispatched
/// itself. They may lack something that it does not need.
constexpr size_t MaxStuckCallers = 3;
/// Interval at which expired nodes, endpoints and connections are dropped.
constexpr Millis SweepPeriod{1'000};
/// Delay from the end of the last request until the links are closed, so that
/// messages can still be sent.
constexpr Millis ExitDelay{150};
/// Interval at which some statistics are logged, for analysis where no metrics
/// were collected.
constexpr Millis StatisticsPeriod{5'000};
/// Every running endpoint announces itself within this time: the platform's
/// announcement interval of 1.2 s, plus time for a retry at another front.
constexpr Millis MaxAnnouncementInterval{1'800};
/// A newly started front learns the fleet's endpoints within this time, and is
/// not ready before.
constexpr Millis EndpointLearnTimeout{700};
/// Largest body, in bytes, of a request to the control address, which may carry
/// a whole table.
constexpr uint64_t MaxFleetBodyBytes = 8ULL * 1024 * 1024;
/// Largest table after decompression, in bytes.
constexpr size_t MaxTableBytes = 8ULL * 1024 * 1024;

class FrontShell : public RoleShell,
                   public std::enable_shared_from_this<FrontShell> {
public:
  explicit FrontShell(const ShellParts &Parts);
  FrontShell(const FrontShell &) = delete;
  FrontShell &operator=(const FrontShell &) = delete;

  bool start(StartProblem &Problem) override;
  void stop() override;
  void reload(const Settings &Settings) override;
  bool isClosed() const override { return !Group || Group->isClosed(); }

private:
  bool bindServers(StartProblem &Problem);
  bool bindServer(std::unique_ptr<HttpServer> &Server,
                  const std::string &Address, HttpLimits Limits,
                  HttpServer::Handlers Callbacks, StartProblem &Problem);
  void startGroup();
  void setLimits(const FrontSettings &Settings);
  void receive(HttpRequest Request,
               const std::shared_ptr<HttpExchange> &Exchange);
  void handleRequest(HttpRequest Request,
                     const std::shared_ptr<HttpExchange> &Exchange,
                     TimePoint ArrivedAt);
  void handleHeldRequests(TimePoint Now);
  bool hasTimeBeforeStop(const FrontRequest &Request, TimePoint Now) const;
  void refuseRequest(const RequestAttributes &Attributes,
                     const FrontRefusal &Refusal, HttpExchange &Exchange);
  void handleLoss(const HttpExchange *Exchange, HttpLoss Loss);
  std::shared_ptr<Relay> findRelay(const HttpExchange *Exchange);
  void handleMessage(wire::Envelope Message);
  void handleHello(const wire::Envelope &Message);
  void handleFormationRequest(const wire::FormationRequest &Request);
  void answerStatus(const wire::Envelope &Message);
  void applyTable(uint64_t Version, const std::string &Content);
  void takeEvacuations(const wire::EvacuationState &Newer, const char *Source);
  void applyView(const StoreView &View);
  void send(NodeMessages Messages);
  void reportUnservedDemand(const wire::RowDemand &Row);
  void requestTokens(const wire::QuotaRequest &TokenRequest);
  /// Grants tokens as the leader, or lends some of this front.
  std::optional<wire::QuotaGrant>
  answerQuotaRequest(const wire::QuotaRequest &TokenRequest, TimePoint Now);
  void requestPermits(const wire::SendPermitRequest &PermitRequest);
  void takePermitReply(const wire::SendPermitReply &Reply, TimePoint Now);
  bool isReady() const;
  std::string leaderControlAddress() const;
  void tick();
  void sweep(TimePoint Now);
  void sendNotices(TimePoint Now);
  void updatePermits(TimePoint Now);
  void dispatchCallersBefore(const FrontRequest &Request, TimePoint Now);
  void dispatchWaiting();
  void dispatchWaitingForTokens(const std::string &Organisation);
  void runLeaderTasks(TimePoint Now);
  void runHeartbeat(TimePoint Now);
  void logStatistics(TimePoint Now);
  void logNodeChanges(TimePoint Now);
  void stopRelays(TimePoint Now);
  void stopIfDone(TimePoint Now);
  void exit();
  void finishExit();
  void closeLinks(TimePoint Now);

  boost::asio::io_context &Io;
  caf::actor_system &System;
  Settings Options;
  Metrics &Counts;
  FrontCore Core;
  GossipState Gossip;
  LeaderState Leader;
  StoreView View;
  EarlyRequests HeldRequests;
  std::unique_ptr<Link> Peers;
  std::unique_ptr<ServingGroup> Group;
  FormationAcceptor Formation; ///< Of a seed without a log.
  std::unique_ptr<FleetApi> Api;
  std::unique_ptr<HttpServer> CallerServer;
  std::unique_ptr<HttpServer> ReadyServer;
  std::unique_ptr<HttpServer> ControlServer;
  boost::asio::steady_timer Timer;
  TimePoint StartedAt;
  TimePoint NextHeartbeat;
  TimePoint NextSweep;
  TimePoint NextDispatch;
  TimePoint NextStatistics;
  StopDeadlines Stop;                 ///< Set by the stop signal.
  std::set<std::string> LoggedInView; ///< Nodes last logged as in view.
  bool IsDispatchDue = false; ///< Waiting requests may be able to proceed.
  bool IsGroupClosed = false; ///< While the process exits.
  bool IsExiting = false;
};

FrontShell::FrontShell(const ShellParts &Parts)
    : Io(Parts.Io), System(Parts.System), Options(Parts.Options),
      Counts(Parts.Counts),
      Core(
          Parts.Io, Parts.Counts, Parts.Memory,
          [this](NodeMessages it) { send(std::move(it)); },
          [this](const wire::RowDemand &it) { reportUnservedDemand(it); },
          [this](const wire::QuotaRequest &it) { requestTokens(it); },
          [this](const wire::SendPermitRequest &it) { requestPermits(it); }),
      Timer(Parts.Io) {}

bool FrontShell::start(StartProblem &Problem) {
  StartedAt = Clock::now();
  uint64_t incarnation = makeIncarnation();
  Peers = std::make_unique<Link>(
      Io, LinkSelf{Options.Fleet, Options.Node, incarnation, Options.Listen},
      Counts,
      [this](wire::Envelope Message) { handleMessage(std::move(Message)); });
  if (!bindServers(Problem) || !Peers->start(Problem))
    return false;
  FrontState &state = Core.State;
  state.EndpointDiscoveryEnd = StartedAt + MaxAnnouncementInterval;
  HeldRequests.HoldEnd = StartedAt + TableLearnTimeout;
  state.Self.set_name(Options.Node);
  state.Quarantine.ReleaseDelay = Millis(
      checksumOf(Options.Node) % static_cast<uint64_t>(ReleaseTime.count()));
  state.Self.set_address(Peers->address());
  state.Self.set_incarnation(incarnation);
  state.StartedAt = StartedAt;
  beginOriginHistory(state, StartedAt);
  state.LastQuotaRequest = incarnation;
  state.Self.set_kind(wire::NODE_FRONT);
  state.Self.set_zone(Options.Zone);
  state.Self.set_is_voter(!Options.FrontRole.DataFolder.empty());
  state.Self.set_control_address(Options.FrontRole.Control);
  setLimits(Options.FrontRole);
  state.Random.seed(generateIdentity());
  for (const std::string &it : Options.FrontRole.Seeds)
    Gossip.Seeds.push_back(replacePort(it, Peers->address()));
  Api = std::make_unique<FleetApi>(
      FleetApi::Dependencies{Core, Gossip, [this] { return isReady(); },
                             [this] { return Group.get(); },
                             [this] { return leaderControlAddress(); }});
  if (!ControlServer->start(Problem) || !ReadyServer->start(Problem) ||
      !CallerServer->start(Problem))
    return false;
  if (!Options.FrontRole.DataFolder.empty())
    startGroup();
  else
    Formation.IsActive = Options.FrontRole.MayForm;
  tick();
  return true;
}

void FrontShell::setLimits(const FrontSettings &Settings) {
  FrontLimits &limits = Core.State.Limits;
  limits.Retries = {Settings.RetryRatio, Settings.RetrySlack,
                    Settings.RetryWindow};
  limits.Tolerance = {Settings.RateWindow, Settings.RateOvershoot,
                      Settings.RateSlack};
  limits.Cold.reset();
  if (Settings.ColdOvershoot && Settings.ColdSlack)
    limits.Cold = ColdBound{*Settings.ColdOvershoot, *Settings.ColdSlack};
  limits.EnginesFailWhenFull = Settings.EnginesFailWhenFull;
  limits.LongestPause = Settings.LongestPause;
  limits.LongestLeaving = Settings.LongestLeaving;
  limits.Crossing.reset();
  if (Settings.CrossingWaitPerMegabyte)
    limits.Crossing = CrossingTerms{*Settings.CrossingWaitPerMegabyte};
}

bool FrontShell::bindServer(std::unique_ptr<HttpServer> &Server,
                            const std::string &Address, HttpLimits Limits,
                            HttpServer::Handlers Callbacks,
                            StartProblem &Problem) {
  Server = std::make_unique<HttpServer>(Io, Address, Limits, Counts,
                                        Core.Memory, std::move(Callbacks));
  return Server->bind(Problem);
}

bool FrontShell::bindServers(StartProblem &Problem) {
  HttpServer::Handlers callerHandlers;
  callerHandlers.OnRequest =
      [this](HttpRequest Request,
             const std::shared_ptr<HttpExchange> &Exchange) {
        receive(std::move(Request), Exchange);
      };
  callerHandlers.OnLoss = [this](const HttpExchange *Exchange, HttpLoss Loss) {
    handleLoss(Exchange, Loss);
  };
  callerHandlers.OnRoom = [this](const HttpExchange *Exchange) {
    if (auto relay = findRelay(Exchange))
      relay->handleRoom();
  };
  HttpServer::Handlers fleetHandlers;
  fleetHandlers.OnRequest =
      [this](const HttpRequest &Request,
             const std::shared_ptr<HttpExchange> &Exchange) {
        Api->handleCall(Request, Exchange);
      };
  fleetHandlers.OnLoss = [](const HttpExchange *, HttpLoss) {};
  HttpLimits fleetLimits;
  fleetLimits.BodyBytes = MaxFleetBodyBytes;
  return bindServer(CallerServer, Options.Http, makeCallerLimits(nullptr),
                    std::move(callerHandlers), Problem) &&
         bindServer(ReadyServer, Options.FrontRole.Ready, HttpLimits(),
                    fleetHandlers, Problem) &&
         bindServer(ControlServer, Options.FrontRole.Control, fleetLimits,
                    fleetHandlers, Problem);
}

void FrontShell::startGroup() {
  ServingGroupOptions options;
  options.Node = Options.Node;
  options.DataFolder = Options.FrontRole.DataFolder;
  options.Seeds = Gossip.Seeds;
  options.MayForm = Options.FrontRole.MayForm;
  options.LossesBorne = Options.FrontRole.LossesBorne;
  ServingGroupCallbacks callbacks;
  callbacks.OnPublish = [this](const StorePublish &Table) {
    applyTable(Table.Version, Table.Content);
  };
  callbacks.OnEvacuations = [this](const StorePublishEvacuations &Newer) {
    takeEvacuations(Newer.State, "log");
  };
  callbacks.OnResult = [this](const StoreResult &Result) {
    Api->handleStoreResult(Result);
  };
  callbacks.OnView = [this](const StoreView &NewView) { applyView(NewView); };
  Group = std::make_unique<ServingGroup>(
      Io, System, *Peers, Counts, std::move(options), std::move(callbacks));
  Group->start();
}

// ---- Callers ----

void FrontShell::receive(HttpRequest Request,
                         const std::shared_ptr<HttpExchange> &Exchange) {
  TimePoint now = Clock::now();
  EarlyRequest request{std::move(Request), Exchange, now};
  bool isEarly = !Core.State.Table || !knowsEvacuations(Core.State, now);
  if (isEarly && holdEarlyRequest(HeldRequests, request, now)) {
    Counts.count("requests_held_early_total");
    return;
  }
  handleRequest(std::move(request.Message), Exchange, now);
}

/// Handles the requests that were held until the table and the evacuations are
/// known, once they are or the time limit for holding them has passed.
void FrontShell::handleHeldRequests(TimePoint Now) {
  bool isInformed = Core.State.Table && knowsEvacuations(Core.State, Now);
  auto early = releaseEarlyRequests(HeldRequests, isInformed, Now);
  if (!early.empty())
    logEvent(LogLevel::Info, "early_requests_taken",
             {{"count", std::to_string(early.size())},
              {"has_table", Core.State.Table ? "yes" : "no"},
              {"longest_wait_ms",
               std::to_string(toMillis(Now - early.front().ArrivedAt))}});
  for (EarlyRequest &it : early) {
    bool isHandled = runGuarded(Counts, "request", [&] {
      handleRequest(std::move(it.Message), it.Exchange, it.ArrivedAt);
    });
    if (isHandled)
      continue;
    handleLoss(it.Exchange.get(), HttpLoss::Failed);
    it.Exchange->abort();
  }
}

void FrontShell::handleRequest(HttpRequest Request,
                               const std::shared_ptr<HttpExchange> &Exchange,
                               TimePoint ArrivedAt) {
  TimePoint now = Clock::now();
  RequestAttributes attributes = extractAttributes(Request);
  auto admitted = admitRequest(Core.State, attributes, ArrivedAt);
  if (auto *refusal = std::get_if<FrontRefusal>(&admitted)) {
    refuseRequest(attributes, *refusal, *Exchange);
    return;
  }
  auto &request = std::get<FrontRequest>(admitted);
  if (!hasTimeBeforeStop(request, now)) {
    refuseRequest(attributes, {RefusalReason::Stopping, StoppingRetryAfter},
                  *Exchange);
    return;
  }
  request.Number = Core.NextNumber++;
  if (!request.Attributes.Model.empty()) {
    ModelUsage &usage = Core.State.ModelUsages[request.Attributes.Model];
    ++usage.Arrivals;
    usage.Worth += request.Worth;
  }
  if (!request.Organisation.empty())
    recordDemand(Core.State.Quotas[request.Organisation],
                 {request.Cost, request.Worth, request.Urgency}, now);
  recordRequest(Core.State.Retries[request.Service], Core.State.Limits.Retries,
                retryShareOf(Core.State, now), now);
  dispatchCallersBefore(request, now);
  std::make_shared<Relay>(Core, std::move(request), std::move(Request),
                          Exchange)
      ->start();
}

/// False if the process may end before a request that has arrived late in its
/// stop, on a connection that was open before.
bool FrontShell::hasTimeBeforeStop(const FrontRequest &Request,
                                   TimePoint Now) const {
  return !Core.State.IsStopping || !isPast(Stop.AcceptEnd, Now) ||
         Request.Deadline <= Stop.StreamEnd;
}

void FrontShell::refuseRequest(const RequestAttributes &Attributes,
                               const FrontRefusal &Refusal,
                               HttpExchange &Exchange) {
  std::string reason(nameOf(Refusal.Reason));
  Counts.count("refusals_total", "reason=\"" + reason + "\"");
  uint64_t version = Core.State.Table ? Core.State.Table->Version : 0;
  logEvent(LogLevel::Info, "request_refused",
           {{"id", Attributes.Id},
            {"reason", reason},
            {"host", Attributes.Host},
            {"path", Attributes.Path},
            {"table", std::to_string(version)}});
  std::vector<HttpField> fields{{"content-type", "application/json"},
                                platform::makeRequestIdField(Attributes.Id)};
  if (Refusal.RetryAfter)
    fields.push_back(platform::makeRetryAfterField(*Refusal.RetryAfter));
  Exchange.respond(statusOf(Refusal.Reason), std::move(fields),
                   R"({"error":{"reason":")" + reason +
                       R"(","ran":"not_run"}})"
                       "\n");
}

void FrontShell::handleLoss(const HttpExchange *Exchange, HttpLoss Loss) {
  if (dropEarlyRequest(HeldRequests, Exchange)) {
    Counts.count("callers_gone_total", "stage=\"early\"");
    return;
  }
  if (auto relay = findRelay(Exchange)) {
    relay->handleCallerLoss(Loss);
    IsDispatchDue = true;
  }
}

std::shared_ptr<Relay> FrontShell::findRelay(const HttpExchange *Exchange) {
  auto number = Core.ByExchange.find(Exchange);
  if (number == Core.ByExchange.end())
    return nullptr;
  auto relay = Core.Relays.find(number->second);
  return relay == Core.Relays.end() ? nullptr : relay->second;
}

// ---- Peers ----

void FrontShell::handleMessage(wire::Envelope Message) {
  TimePoint now = Clock::now();
  NodeMessages out;
  FrontState &state = Core.State;
  switch (Message.body_case()) {
  case wire::Envelope::kNodeHeartbeat:
    handleNodeHeartbeat(state, Gossip, Leader.Demand, Message.node_heartbeat(),
                        now, out);
    shareStreamOrigins(state, now, out);
    IsDispatchDue = true;
    break;
  case wire::Envelope::kRosterUpdate:
    applyRosterUpdate(state, Message.roster_update(), now);
    shareStreamOrigins(state, now, out);
    break;
  case wire::Envelope::kEndpointNews:
    handleEndpointUpdate(state, Message.endpoint_news(), now, out);
    IsDispatchDue = true;
    break;
  case wire::Envelope::kEngineReport:
    if (handleEngineReport(state, Message.engine_report(), now, out))
      IsDispatchDue = true;
    break;
  case wire::Envelope::kZoneSummary:
    handleZoneSummary(state, Gossip, std::move(*Message.mutable_zone_summary()),
                      now, out);
    shareStreamOrigins(state, now, out);
    IsDispatchDue = true;
    break;
  case wire::Envelope::kCrashNotice:
    handleCrashNotice(state, Message.crash_notice(), now, out);
    break;
  case wire::Envelope::kEndpointStatements:
    handleStatements(state, Message.endpoint_statements(), now, out);
    IsDispatchDue = true;
    break;
  case wire::Envelope::kStreamOrigins:
    handleStreamOrigins(state, Message.stream_origins(), now);
    break;
  case wire::Envelope::kStreamOriginQuery: {
    wire::Envelope answer;
    *answer.mutable_stream_origin_reply() =
        answerOriginQuery(state, Message.stream_origin_query(), now);
    out.push_back({Message.reply_address(), std::move(answer)});
    break;
  }
  case wire::Envelope::kStreamOriginReply:
    handleOriginReply(state, Message.from(), Message.stream_origin_reply(),
                      now);
    IsDispatchDue = true;
    break;
  case wire::Envelope::kSendPermitRequest: {
    if (!View.IsLeader)
      break;
    wire::Envelope answer;
    *answer.mutable_send_permit_reply() =
        grantPermits(Leader, state, Message.send_permit_request(), now);
    out.push_back({Message.reply_address(), std::move(answer)});
    break;
  }
  case wire::Envelope::kSendPermitReply:
    takePermitReply(Message.send_permit_reply(), now);
    break;
  case wire::Envelope::kTableRequest:
    sendEvacuations(state, Message.reply_address(), now, out);
    sendTable(state, Message.reply_address(), out);
    break;
  case wire::Envelope::kTableUpdate:
    applyTable(Message.table_update().version(),
               Message.table_update().content());
    break;
  case wire::Envelope::kEvacuationUpdate:
    takeEvacuations(Message.evacuation_update(), "front");
    break;
  case wire::Envelope::kProposal:
    if (Message.proposal().command().has_evacuation())
      Api->handleProposal(Message.proposal(), Message.reply_address());
    break;
  case wire::Envelope::kRateShares:
    if (applyRateShares(state, Message.rate_shares(), now))
      NextHeartbeat = TimePoint();
    break;
  case wire::Envelope::kLoadForecast:
    applyForecast(state, Message.load_forecast(), now);
    IsDispatchDue = true;
    break;
  case wire::Envelope::kModelWish:
    if (View.IsLeader)
      recordUnservedDemand(Leader, Message.from(), Message.model_wish().row(),
                           now);
    break;
  case wire::Envelope::kQuotaWish:
    if (auto grant = answerQuotaRequest(Message.quota_wish(), now)) {
      wire::Envelope answer;
      *answer.mutable_quota_grant() = std::move(*grant);
      out.push_back({Message.reply_address(), std::move(answer)});
    }
    break;
  case wire::Envelope::kQuotaGrant:
    applyQuotaGrant(state, Message.quota_grant(), now);
    dispatchWaitingForTokens(Message.quota_grant().organisation());
    break;
  case wire::Envelope::kBlankHello:
    handleHello(Message);
    break;
  case wire::Envelope::kFormationRequest:
    if (Group)
      Group->post(StoreReceived{std::move(Message)});
    else
      handleFormationRequest(Message.formation_request());
    break;
  case wire::Envelope::kStatusRequest:
    answerStatus(Message);
    break;
  default:
    if (Group)
      Group->post(StoreReceived{std::move(Message)});
    break;
  }
  send(std::move(out));
}

void FrontShell::handleHello(const wire::Envelope &Message) {
  if (Group) {
    Group->post(StoreReceived{Message});
    return;
  }
  // This front keeps no log and cannot be a member: it forwards a request to
  // join to the leader.
  const wire::BootstrapHello &hello = Message.blank_hello();
  bool isAsking = hello.is_blank() || hello.is_joining();
  if (hello.is_diskless() || !isAsking || Message.from() != hello.name())
    return;
  if (Core.State.Leader.Address.empty())
    return;
  wire::Envelope forward;
  *forward.mutable_blank_hello() = hello;
  Peers->send(Core.State.Leader.Address, std::move(forward));
}

/// Answers as a seed without a log. Once a group is known, no other is to form.
void FrontShell::handleFormationRequest(const wire::FormationRequest &Request) {
  if (Core.State.Table || !Core.State.Leader.Address.empty())
    return;
  auto reply =
      answerFormation(Formation, Request, Peers->address(), Clock::now());
  if (!reply)
    return;
  wire::Envelope answer;
  *answer.mutable_formation_reply() = std::move(*reply);
  Peers->send(Request.candidate().address(), std::move(answer));
}

void FrontShell::answerStatus(const wire::Envelope &Message) {
  wire::Envelope answer;
  wire::StatusReply &reply = *answer.mutable_status_reply();
  reply.set_request_id(Message.status_request().request_id());
  fillFrontStatus(Core.State, Clock::now(), reply);
  if (Group) {
    Group->post(StoreStatusRequest{Message.reply_address(), std::move(reply)});
    return;
  }
  reply.set_leader_address(Core.State.Leader.Address);
  reply.set_term(Core.State.Leader.Term);
  Peers->send(Message.reply_address(), std::move(answer));
}

void FrontShell::applyTable(uint64_t Version, const std::string &Content) {
  FrontState &state = Core.State;
  if (state.Table && Version <= state.Table->Version)
    return;
  std::string problem;
  auto text = decompressText(Content, MaxTableBytes);
  ServingTablePtr table = text ? platform::readTable(*text, problem) : nullptr;
  if (!table) {
    logEvent(LogLevel::Error, "table_unreadable",
             {{"version", std::to_string(Version)}, {"reason", problem}});
    return;
  }
  uint64_t before = state.Table ? state.Table->Version : 0;
  recordRouteChanges(state, *table, Clock::now());
  state.Table = table;
  state.TableContent = Content;
  CallerServer->setLimits(makeCallerLimits(table.get()));
  logEvent(LogLevel::Info, "table_in_force",
           {{"version", std::to_string(Version)},
            {"before", std::to_string(before)},
            {"routes", std::to_string(table->Routes.size())}});
  Counts.set("table_version", "", static_cast<double>(Version));
  NodeMessages out;
  if (View.IsLeader)
    pushTable(state, Clock::now(), out);
  send(std::move(out));
  IsDispatchDue = true;
  handleHeldRequests(Clock::now());
}

void FrontShell::takeEvacuations(const wire::EvacuationState &Newer,
                                 const char *Source) {
  TimePoint now = Clock::now();
  auto changes = applyEvacuations(Core.State, Newer, Source, now);
  if (changes.empty())
    return;
  Counts.set("evacuation_version", "",
             static_cast<double>(Core.State.Evacuations.Version));
  for (const ZoneChange &it : changes)
    Counts.set("zone_evacuated", "zone=\"" + it.Zone + "\"",
               it.IsActive ? 1 : 0);
  NodeMessages out;
  if (View.IsLeader)
    pushEvacuations(Core.State, now, out);
  send(std::move(out));
  IsDispatchDue = true;
}

void FrontShell::applyView(const StoreView &NewView) {
  if (NewView.IsLeader && !View.IsLeader) {
    // Announces the new leader to all fronts at once, as they wait for
    // forecasts and tokens.
    NextHeartbeat = TimePoint();
    Gossip.NextBroadcast = TimePoint();
  }
  View = NewView;
  Core.State.IsLeading = View.IsLeader;
  Counts.set("group_leader", "", View.IsLeader ? 1 : 0);
  Counts.set("group_term", "", static_cast<double>(View.Term));
  if (View.IsLeader)
    startLeaderTerm(Leader, View.Term, Clock::now());
}

void FrontShell::send(NodeMessages Messages) {
  for (NodeMessage &it : Messages)
    Peers->send(it.Address, std::move(it.Message));
}

void FrontShell::reportUnservedDemand(const wire::RowDemand &Row) {
  if (View.IsLeader) {
    recordUnservedDemand(Leader, Options.Node, Row, Clock::now());
    return;
  }
  wire::Envelope message;
  *message.mutable_model_wish()->mutable_row() = Row;
  Peers->send(Core.State.Leader.Address, std::move(message));
}

std::optional<wire::QuotaGrant>
FrontShell::answerQuotaRequest(const wire::QuotaRequest &TokenRequest,
                               TimePoint Now) {
  if (isLoanRequest(TokenRequest)) {
    Counts.count("quota_loan_requests_total");
    return lendQuota(Core.State, TokenRequest, Now);
  }
  if (!View.IsLeader)
    return std::nullopt;
  return grantQuota(Leader, Core.State, TokenRequest, Now);
}

void FrontShell::requestTokens(const wire::QuotaRequest &TokenRequest) {
  TimePoint now = Clock::now();
  if (!View.IsLeader || isLoanRequest(TokenRequest)) {
    send(makeQuotaMessages(Core.State, TokenRequest, now));
    return;
  }
  if (auto grant = grantQuota(Leader, Core.State, TokenRequest, now))
    applyQuotaGrant(Core.State, *grant, now);
  IsDispatchDue = true;
}

void FrontShell::requestPermits(const wire::SendPermitRequest &PermitRequest) {
  Counts.count("send_permit_requests_total");
  if (!View.IsLeader) {
    wire::Envelope message;
    *message.mutable_send_permit_request() = PermitRequest;
    Peers->send(Core.State.Leader.Address, std::move(message));
    return;
  }
  TimePoint now = Clock::now();
  takePermitReply(grantPermits(Leader, Core.State, PermitRequest, now), now);
}

void FrontShell::takePermitReply(const wire::SendPermitReply &Reply,
                                 TimePoint Now) {
  applyPermits(Core.State, Reply, Now);
  Counts.count("send_permits_total", {},
               static_cast<uint64_t>(Reply.permits_size()));
  if (Reply.permits().empty())
    Counts.count("send_permits_refused_total");
  IsDispatchDue = true;
}

std::string FrontShell::leaderControlAddress() const {
  if (!View.LeaderAddress.empty() && !View.IsLeader)
    return replacePort(View.LeaderAddress, Options.FrontRole.Control);
  bool isCurrent = Clock::now() - Core.State.Leader.HeardAt < NodeTimeout;
  return isCurrent && !View.IsLeader ? Core.State.Leader.ControlAddress
                                     : std::string();
}

bool FrontShell::isReady() const {
  return Core.State.Table && !Core.State.IsStopping &&
         Clock::now() - StartedAt > EndpointLearnTimeout;
}

// ---- Timer ----

void FrontShell::tick() {
  if (IsExiting)
    return;
  // Each task is guarded by itself, so that one that always fails does not keep
  // the others and the next tick from running.
  TimePoint now = Clock::now();
  auto run = [&](const char *Task, auto Act) {
    runGuarded(Counts, Task, [&] { Act(now); });
  };
  run("permits", [&](TimePoint Now) { updatePermits(Now); });
  if (IsDispatchDue || isPast(NextDispatch, now)) {
    IsDispatchDue = false;
    NextDispatch = now + MaxDispatchInterval;
    run("dispatch", [&](TimePoint) { dispatchWaiting(); });
  }
  run("held_requests", [&](TimePoint Now) { handleHeldRequests(Now); });
  run("notices", [&](TimePoint Now) { sendNotices(Now); });
  if (isPast(NextHeartbeat, now))
    run("heartbeat", [&](TimePoint Now) { runHeartbeat(Now); });
  if (View.IsLeader)
    run("leader", [&](TimePoint Now) { runLeaderTasks(Now); });
  if (isPast(NextSweep, now))
    run("sweep", [&](TimePoint Now) { sweep(Now); });
  if (isPast(NextStatistics, now))
    run("statistics", [&](TimePoint Now) { logStatistics(Now); });
  if (Core.State.IsStopping)
    run("stop", [&](TimePoint Now) { stopIfDone(Now); });
  if (IsExiting)
    return;
  Timer.expires_after(TickPeriod);
  Timer.async_wait([self = shared_from_this()](auto ec) {
    if (!ec)
      self->tick();
  });
}

/// Drops what has expired.
void FrontShell::sweep(TimePoint Now) {
  NextSweep = Now + SweepPeriod;
  Core.Client.closeExpired();
  logNodeChanges(Now);
  logQuotaTallies(Core.State, Now);
  if (View.IsLeader)
    logPoolTallies(Leader);
  expireNodes(Core.State.Roster, Now);
  checkOriginContact(Core.State, Now);
  expireEndpoints(Core.State.Directory, Now);
  expireSpeeds(Core.State.Speeds, Now);
  expireFeatures(Core.State.Quarantine, Now);
  expireStatements(Core.State, Now);
  expireStreamOrigins(Core.State, Now);
  std::erase_if(Core.State.NextAdapterRequests,
                [&](const auto &it) { return isPast(it.second, Now); });
}

void FrontShell::sendNotices(TimePoint Now) {
  NodeMessages out;
  flushCrashNotices(Core.State, Now, out);
  flushStatements(Core.State, Now, out);
  send(std::move(out));
}

void FrontShell::updatePermits(TimePoint Now) {
  size_t unused = expirePermits(Core.State, Now);
  if (unused > 0)
    Counts.count("send_permits_unused_total", {}, unused);
  if (hasNewPermit(Core.State, Now))
    IsDispatchDue = true;
}

/// Dispatches again the waiting requests that are served before \p Request,
/// which has arrived while room may have become free. Ends at those that can
/// take none.
void FrontShell::dispatchCallersBefore(const FrontRequest &Request,
                                       TimePoint Now) {
  size_t stuck = 0;
  for (uint64_t number : listCallersBefore(Core.State, Request, Now)) {
    auto relay = Core.Relays.find(number);
    if (relay == Core.Relays.end())
      continue;
    std::shared_ptr<Relay> keepAlive = relay->second;
    if (!keepAlive->dispatch() && ++stuck >= MaxStuckCallers)
      return;
  }
}

/// Dispatches all waiting requests again, in their order.
void FrontShell::dispatchWaiting() {
  for (uint64_t number : listInOrder(Core.State, Clock::now())) {
    auto relay = Core.Relays.find(number);
    if (relay == Core.Relays.end())
      continue;
    std::shared_ptr<Relay> keepAlive = relay->second;
    keepAlive->dispatch();
  }
}

/// Dispatches only the requests that wait for tokens of \p Organisation.
void FrontShell::dispatchWaitingForTokens(const std::string &Organisation) {
  auto waiting = Core.State.Quotas[Organisation].Waiting;
  for (const auto &[place, charge] : waiting) {
    auto relay = Core.Relays.find(place.Number);
    if (relay == Core.Relays.end())
      continue;
    std::shared_ptr<Relay> keepAlive = relay->second;
    keepAlive->dispatch();
  }
}

void FrontShell::runLeaderTasks(TimePoint Now) {
  NodeMessages out;
  planPlacement(Leader, Core.State, Now, out);
  sendForecasts(Leader, Core.State, Now, out);
  divideRates(Leader, Core.State, Now, out);
  send(std::move(out));
}

void FrontShell::runHeartbeat(TimePoint Now) {
  NextHeartbeat =
      Now + (Core.State.Table ? HeartbeatPeriod : StartupHeartbeatPeriod);
  NodeMessages out;
  if (View.IsLeader) {
    wire::NodeHeartbeat own;
    collectOwnDemand(Core.State, own, Now);
    recordFrontDemand(Leader.Demand, Options.Node, own, Now);
  }
  sendHeartbeats(Core.State, Gossip, View.IsLeader, View.Term, Now, out);
  sendZoneSummaries(Core.State, Gossip, Now, out);
  send(std::move(out));
  Counts.set("requests_open", "", static_cast<double>(Core.Relays.size()));
  Counts.set("requests_waiting", "",
             static_cast<double>(Core.State.WaitingRequests.size()));
  Counts.set("endpoints_cold", "",
             static_cast<double>(countColdEndpoints(Core.State, Now)));
  if (!Group)
    return;
  std::vector<std::string> addresses = Gossip.Seeds;
  for (const auto &[name, it] : Core.State.Roster.Nodes)
    if (it.Entry.is_voter())
      addresses.push_back(it.Entry.address());
  Group->post(StoreJoinAddresses{std::move(addresses)});
}

void FrontShell::logStatistics(TimePoint Now) {
  NextStatistics = Now + StatisticsPeriod;
  std::string bytes;
  for (const auto &[name, n] : Counts.list("link_sent_bytes_total"))
    bytes +=
        (bytes.empty() ? "" : ";") +
        name.substr(name.find('"') + 1, name.rfind('"') - name.find('"') - 1) +
        ":" + std::to_string(n);
  logEvent(
      LogLevel::Info, "figures",
      {{"open", std::to_string(Core.Relays.size())},
       {"waiting", std::to_string(Core.State.WaitingRequests.size())},
       {"fronts", std::to_string(countFronts(Core.State, Now))},
       {"endpoints", std::to_string(Core.State.Directory.Endpoints.size())},
       {"callers", std::to_string(Counts.read("http_requests_total"))},
       {"permits", std::to_string(Counts.read("send_permits_total"))},
       {"permits_refused",
        std::to_string(Counts.read("send_permits_refused_total"))},
       {"permits_unused",
        std::to_string(Counts.read("send_permits_unused_total"))},
       {"cold", std::to_string(countColdEndpoints(Core.State, Now))},
       {"models", View.IsLeader ? summarizeBusyModels(Leader, Core.State, Now)
                                : std::string()},
       {"sent_bytes_by_kind", bytes}});
}

void FrontShell::logNodeChanges(TimePoint Now) {
  for (const auto &[name, it] : Core.State.Roster.Nodes) {
    bool isInViewNow = isInView(it, Now);
    if (isInViewNow == LoggedInView.contains(name))
      continue;
    logEvent(LogLevel::Info, isInViewNow ? "node_in_view" : "node_out_of_view",
             {{"peer", name},
              {"zone", it.Entry.zone()},
              {"silent_ms", std::to_string(toMillis(Now - it.HeardAt))},
              {"leaving", it.IsLeaving ? "yes" : "no"}});
    if (isInViewNow)
      LoggedInView.insert(name);
    else
      LoggedInView.erase(name);
  }
}

void FrontShell::stopRelays(TimePoint Now) {
  StopStage stage = stageOf(Stop, Now);
  auto relays = Core.Relays;
  for (auto &[number, it] : relays)
    it->stop(stage);
}

void FrontShell::stopIfDone(TimePoint Now) {
  if (!isPast(Stop.AcceptEnd, Now))
    return;
  CallerServer->stopAccepting();
  stopRelays(Now);
  // A connection that is still open has a request that is not answered yet.
  bool isAnswered =
      Core.Relays.empty() && CallerServer->countConnections() == 0;
  if (isAnswered || isPast(Stop.StreamEnd, Now))
    exit();
}

/// Closes the group; meanwhile the ends of streams are checked.
void FrontShell::exit() {
  IsExiting = true;
  IsGroupClosed = !Group;
  if (Group)
    Group->close(
        std::min(Clock::now() + HandlerTimeout, Stop.CheckEnd),
        [self = shared_from_this()](bool) { self->IsGroupClosed = true; });
  finishExit();
}

/// Ends what is left once its time is over, and then the process.
void FrontShell::finishExit() {
  TimePoint now = Clock::now();
  runGuarded(Counts, "stop", [&] { stopRelays(now); });
  bool isAnswered =
      Core.Relays.empty() && CallerServer->countOpenExchanges() == 0;
  if (IsGroupClosed && (isAnswered || isPast(Stop.CheckEnd, now))) {
    closeLinks(now);
    return;
  }
  Timer.expires_after(TickPeriod);
  Timer.async_wait([self = shared_from_this()](auto) { self->finishExit(); });
}

void FrontShell::closeLinks(TimePoint Now) {
  runGuarded(Counts, "notices", [&] { sendNotices(Now); });
  for (auto &it : std::exchange(Core.StoppedCalls, {}))
    it->cancel();
  TimePoint end = std::min(Now + ExitDelay, Stop.LinkEnd);
  Timer.expires_after(std::max(end - Now, Clock::duration::zero()));
  Timer.async_wait([self = shared_from_this()](auto) {
    self->Peers->close();
    self->Io.stop();
  });
}

void FrontShell::stop() {
  boost::asio::post(Io, [self = shared_from_this()] {
    if (self->Core.State.IsStopping)
      return;
    TimePoint now = Clock::now();
    self->Core.State.IsStopping = true;
    self->Stop = makeStopDeadlines(now, self->Options.FrontRole.StopGrace);
    self->CallerServer->drain();
    self->HeldRequests.HoldEnd = now;
    NodeMessages origins;
    handOverStreamOrigins(self->Core.State, now, origins);
    self->send(std::move(origins));
    if (self->Group)
      self->Group->post(StoreStop{});
  });
}

void FrontShell::reload(const Settings &NewSettings) {
  Gossip.Seeds.clear();
  for (const std::string &it : NewSettings.FrontRole.Seeds)
    Gossip.Seeds.push_back(replacePort(it, Peers->address()));
  setLimits(NewSettings.FrontRole);
}

} // namespace

std::shared_ptr<RoleShell> makeFrontShell(const ShellParts &Parts) {
  return std::make_shared<FrontShell>(Parts);
}

} // namespace sassafras
