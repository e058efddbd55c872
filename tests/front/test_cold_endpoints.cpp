/// \file
/// Replays of an endpoint that becomes cold while many requests arrive at a
/// fleet of fronts in four zones. Messages between fronts take MessageTime. In
/// no second may the cold endpoint get more than MostInSecond requests from all
/// fronts together.
#include "front/dispatch.h"
#include "front/endpoint_statements.h"
#include "front/leader_work.h"
#include "front/process_proof.h"
#include "front/send_permits.h"

#include <catch2/catch.hpp>

#include <deque>
#include <memory>

using namespace sassafras;

namespace {

const TimePoint Start = TimePoint() + std::chrono::hours(1);
constexpr Millis Step{5};
constexpr Millis TickTime{20};
constexpr Millis MessageTime{10};
constexpr Millis AnswerTime{100};
constexpr Millis AnnouncePeriod{1'200};
constexpr Millis ColdTime{3'000};
constexpr double ColdPerSecond = 18;
constexpr size_t MostInSecond = 32;
constexpr size_t Zones = 4;
constexpr uint32_t Slots = 64;

/// One replay. The endpoint becomes cold at ColdAt.
struct Day {
  const char *What;
  size_t Fronts = 23;
  double RequestsPerSecond = 200;
  size_t WarmEndpoints = 0; ///< Beside it.
  Millis ColdAt{4'000};
  /// Its process ended this long before and refuses connections until then; 0:
  /// the process goes on.
  Millis DownFor{0};
  bool HasNewId = false; ///< The new process has the address, not the id.
  /// This part of the fronts reaches no leader from LeaderLostAt on.
  double CutShare = 0;
  Millis LeaderLostAt{0};
  bool IsLossy = false; ///< Every second message between fronts is lost.
  /// This part of the fronts, not the leader, starts again with nothing known.
  double RestartShare = 0;
  Millis RestartAt{4'700};
  size_t LeastUse = 20; ///< Requests that the endpoint gets while it is cold.
  Millis End{8'000};
};

struct Result {
  std::vector<TimePoint> Arrivals; ///< While it was cold.
  size_t Refused = 0;
  size_t RefusedWithoutTime = 0;
  size_t HeldPastDeadline = 0;
  size_t SentWhenWarmAgain = 0;
};

struct Sending {
  TimePoint At;
  size_t From;
  NodeMessage Message;
};

struct Answer {
  TimePoint At;
  size_t Front;
  std::string Endpoint;
  bool IsRefused;
};

struct Node {
  FrontState State;
  LeaderState Leader;
  GossipState Gossip;
  FleetDemand Demand;
  std::vector<FrontRequest> Waiting;
};

ServingTablePtr makeTable() {
  auto table = std::make_shared<ServingTable>();
  table->Version = 1;
  ServingService &service = table->Services["desk"];
  service.Name = "desk";
  service.ColdTime = ColdTime;
  service.ColdPerSecond = ColdPerSecond;
  ServingRoute route;
  route.Name = "look";
  route.Host = "h";
  route.PathPrefix = "/look/";
  route.Kind = RequestKind::Idempotent;
  route.Timeout = Millis(4'000);
  route.Objective = Millis(400);
  route.MaxAttempts = 2;
  route.Services = {{"desk", 1}};
  table->Routes.push_back(route);
  indexServingTable(*table);
  return table;
}

class Replay {
public:
  Replay(const Day &Day, uint64_t Seed);
  Result run();

private:
  std::unique_ptr<Node> makeNode(size_t Number);
  wire::EndpointObservation observe(size_t Endpoint) const;
  void announce(size_t Endpoint);
  size_t below(size_t Limit) { return Random() % Limit; }
  TimePoint coldAt() const { return Start + Plan.ColdAt; }
  bool isDown() const {
    return Plan.DownFor > Millis(0) && Now >= coldAt() - Plan.DownFor &&
           Now < coldAt();
  }
  bool hasRestarted() const {
    return Plan.DownFor > Millis(0) && Now >= coldAt();
  }
  bool isCut(size_t Front) const;
  std::optional<size_t> leaderOf(size_t Front) const;
  void arrive();
  bool dispatch(size_t Front, FrontRequest &Request);
  void answer();
  void queue(size_t From, NodeMessages Messages);
  void deliver();
  void exchangeHeartbeats();
  void tick(size_t Front);
  void restartFronts();

  Day Plan;
  std::mt19937_64 Random;
  TimePoint Now = Start;
  std::vector<std::unique_ptr<Node>> Nodes;
  std::map<std::string, size_t> ByAddress;
  std::deque<Sending> OnTheWay;
  std::deque<Answer> Answers;
  uint64_t NextNumber = 1;
  Result Out;
};

Replay::Replay(const Day &Day, uint64_t Seed) : Plan(Day), Random(Seed) {
  for (size_t i = 0; i < Plan.Fronts; ++i) {
    Nodes.push_back(makeNode(i));
    Nodes[i]->State.FrontCountTold = Plan.Fronts;
    Nodes[i]->State.FrontCountToldAt = Start;
    ByAddress[Nodes[i]->State.Self.address()] = i;
    for (size_t j = 0; j <= Plan.WarmEndpoints; ++j)
      recordObservation(Nodes[i]->State, observe(j), false, Now);
  }
}

std::unique_ptr<Node> Replay::makeNode(size_t Number) {
  auto out = std::make_unique<Node>();
  FrontState &state = out->State;
  state.Table = makeTable();
  state.Limits.Cold = ColdBound{1.5, 5};
  state.Random.seed(Random());
  state.Self.set_name("front-" + std::to_string(Number));
  state.Self.set_address("10.0.0." + std::to_string(Number) + ":7600");
  state.Self.set_zone("zone-" + std::to_string(Number % Zones));
  state.Self.set_kind(wire::NODE_FRONT);
  state.Self.set_incarnation(toMillis(Now - Start) + 1);
  state.EndpointDiscoveryEnd = Now + Millis(2'000);
  return out;
}

wire::EndpointObservation Replay::observe(size_t Endpoint) const {
  bool isNewProcess = Endpoint == 0 && hasRestarted();
  wire::EndpointObservation out;
  out.set_id("e-" + std::to_string(Endpoint) +
             (isNewProcess && Plan.HasNewId ? "-b" : ""));
  out.set_service("desk");
  out.set_address("10.1.0." + std::to_string(Endpoint) + ":80");
  out.set_zone("zone-" + std::to_string(Endpoint % Zones));
  out.set_born_ms(isNewProcess ? 2 : 1);
  out.set_sequence(toMillis(Now - Start) + 1);
  out.set_slots(Slots);
  if (Endpoint == 0 && Now >= coldAt() && Now < coldAt() + ColdTime)
    out.set_cold_left_ms(toMillis(coldAt() + ColdTime - Now));
  return out;
}

/// An endpoint tells one front at a time.
void Replay::announce(size_t Endpoint) {
  if (Endpoint == 0 && isDown())
    return;
  size_t front = below(Nodes.size());
  NodeMessages out;
  Node &node = *Nodes[front];
  handleAnnouncement(node.State, node.Gossip, observe(Endpoint), Now, out);
  queue(front, std::move(out));
}

bool Replay::isCut(size_t Front) const {
  return Now >= Start + Plan.LeaderLostAt &&
         static_cast<double>(Front) >=
             static_cast<double>(Plan.Fronts) * (1 - Plan.CutShare);
}

std::optional<size_t> Replay::leaderOf(size_t Front) const {
  if (isCut(Front) || isCut(0))
    return std::nullopt;
  return 0;
}

void Replay::arrive() {
  size_t front = below(Nodes.size());
  RequestAttributes attributes;
  attributes.Host = "h";
  attributes.Path = "/look/x";
  attributes.Id = std::to_string(NextNumber);
  auto admitted = admitRequest(Nodes[front]->State, attributes, Now);
  auto &request = std::get<FrontRequest>(admitted);
  request.Number = NextNumber++;
  if (!dispatch(front, request))
    Nodes[front]->Waiting.push_back(std::move(request));
}

/// True when the request no longer waits.
bool Replay::dispatch(size_t Front, FrontRequest &Request) {
  Node &node = *Nodes[Front];
  DispatchResult result = decideDispatch(node.State, Request, Now);
  if (result.PermitRequest)
    if (auto to = leaderOf(Front)) {
      NodeMessage message{Nodes[*to]->State.Self.address(), {}};
      *message.Message.mutable_send_permit_request() = *result.PermitRequest;
      message.Message.set_reply_address(node.State.Self.address());
      queue(Front, {message});
    }
  if (auto *refusal = std::get_if<FrontRefusal>(&result.Decision)) {
    ++Out.Refused;
    Out.RefusedWithoutTime += !refusal->RetryAfter;
    Out.HeldPastDeadline += Now > Request.FirstByteDeadline + TickTime;
    removeWaitingRequest(node.State, Request);
    return true;
  }
  auto *target = std::get_if<SendTo>(&result.Decision);
  if (!target)
    return false;
  recordDispatch(node.State, Request, target->Endpoint, Now);
  bool isRefused = target->Address == "10.1.0.0:80" && isDown();
  // The process with the new id answers 421 to requests for the one before it.
  bool isMisdirected =
      Plan.HasNewId && hasRestarted() && target->Endpoint == "e-0";
  if (target->Address == "10.1.0.0:80" && !isRefused && !isMisdirected &&
      Now >= coldAt()) {
    if (Now < coldAt() + ColdTime)
      Out.Arrivals.push_back(Now);
    else
      ++Out.SentWhenWarmAgain;
  }
  Answers.push_back({Now + (isRefused ? Step : AnswerTime), Front,
                     target->Endpoint, isRefused});
  return true;
}

void Replay::answer() {
  std::deque<Answer> left;
  for (const Answer &it : Answers) {
    if (!isPast(it.At, Now)) {
      left.push_back(it);
      continue;
    }
    FrontState &state = Nodes[it.Front]->State;
    recordClose(state.Records[it.Endpoint]);
    if (it.IsRefused)
      recordConnectionLoss(state, it.Endpoint, Now);
  }
  Answers = std::move(left);
}

void Replay::queue(size_t From, NodeMessages Messages) {
  for (NodeMessage &it : Messages) {
    bool crossesCut =
        Plan.CutShare < 1 && isCut(From) != isCut(ByAddress.at(it.Address));
    if (!crossesCut && (!Plan.IsLossy || below(2) == 0))
      OnTheWay.push_back({Now + MessageTime, From, std::move(it)});
  }
}

void Replay::deliver() {
  while (!OnTheWay.empty() && isPast(OnTheWay.front().At, Now)) {
    Sending it = std::move(OnTheWay.front());
    OnTheWay.pop_front();
    size_t to = ByAddress.at(it.Message.Address);
    Node &node = *Nodes[to];
    const wire::Envelope &message = it.Message.Message;
    NodeMessages out;
    if (message.has_endpoint_statements())
      handleStatements(node.State, message.endpoint_statements(), Now, out);
    if (message.has_endpoint_news())
      handleEndpointUpdate(node.State, message.endpoint_news(), Now, out);
    if (message.has_node_heartbeat())
      handleNodeHeartbeat(node.State, node.Gossip, node.Demand,
                          message.node_heartbeat(), Now, out);
    if (message.has_send_permit_reply())
      applyPermits(node.State, message.send_permit_reply(), Now);
    if (message.has_send_permit_request() && leaderOf(to) == to) {
      wire::Envelope reply;
      *reply.mutable_send_permit_reply() = grantPermits(
          node.Leader, node.State, message.send_permit_request(), Now);
      out.push_back({message.reply_address(), std::move(reply)});
    }
    queue(to, std::move(out));
  }
}

void Replay::exchangeHeartbeats() {
  for (size_t i = 0; i < Nodes.size(); ++i) {
    NodeMessages out;
    Node &node = *Nodes[i];
    bool isLeader = leaderOf(i) == i;
    node.State.IsLeading = isLeader;
    if (isLeader)
      startLeaderTerm(node.Leader, i + 1, Now);
    node.Gossip.NextBroadcast = Now;
    sendHeartbeats(node.State, node.Gossip, isLeader, i + 1, Now, out);
    queue(i, std::move(out));
  }
}

void Replay::tick(size_t Front) {
  Node &node = *Nodes[Front];
  expirePermits(node.State, Now);
  std::vector<FrontRequest> waiting = std::move(node.Waiting);
  node.Waiting.clear();
  for (FrontRequest &it : waiting)
    if (!dispatch(Front, it))
      node.Waiting.push_back(std::move(it));
  NodeMessages out;
  flushStatements(node.State, Now, out);
  queue(Front, std::move(out));
  expireStatements(node.State, Now);
}

/// They learn the endpoints from a front that ran on, as a started front does.
void Replay::restartFronts() {
  auto first = static_cast<size_t>(static_cast<double>(Plan.Fronts) *
                                   (1 - Plan.RestartShare));
  for (size_t i = first; i < Nodes.size(); ++i) {
    Nodes[i] = makeNode(i);
    std::erase_if(Answers, [&](const Answer &it) { return it.Front == i; });
    Node &node = *Nodes[i];
    wire::EndpointUpdate update;
    update.set_is_whole(true);
    for (auto &it : makeObservations(Nodes[0]->State.Directory, Now))
      *update.add_endpoints() = it;
    NodeMessages out;
    handleEndpointUpdate(node.State, update, Now, out);
  }
}

Result Replay::run() {
  for (auto &from : Nodes)
    for (auto &to : Nodes)
      if (from != to)
        recordNodeHeartbeat(to->State.Roster, from->State.Self, Now);
  std::bernoulli_distribution hasArrival(Plan.RequestsPerSecond * Step.count() /
                                         1'000.0);
  for (; Now < Start + Plan.End; Now += Step) {
    if ((Now - Start) % HeartbeatPeriod == Millis(0))
      exchangeHeartbeats();
    bool isAnnouncing = (Now - Start) % AnnouncePeriod == Millis(0);
    for (size_t i = 0; i <= Plan.WarmEndpoints; ++i)
      if (isAnnouncing || (i == 0 && Now == coldAt()))
        announce(i);
    if (Plan.RestartShare > 0 && Now == Start + Plan.RestartAt)
      restartFronts();
    deliver();
    answer();
    if (hasArrival(Random))
      arrive();
    if ((Now - Start) % TickTime == Millis(0))
      for (size_t i = 0; i < Nodes.size(); ++i)
        tick(i);
  }
  return Out;
}

size_t countMostInSecond(const std::vector<TimePoint> &Arrivals) {
  size_t most = 0;
  std::deque<TimePoint> recent;
  for (TimePoint it : Arrivals) {
    recent.push_back(it);
    while (it - recent.front() > Millis(1'000))
      recent.pop_front();
    most = std::max(most, recent.size());
  }
  return most;
}

wire::EndpointObservation makeObservation(uint64_t BornMs, uint64_t Sequence) {
  wire::EndpointObservation out;
  out.set_id("e");
  out.set_service("desk");
  out.set_address("10.1.0.1:80");
  out.set_born_ms(BornMs);
  out.set_sequence(Sequence);
  out.set_slots(Slots);
  return out;
}

FrontState makeState() {
  FrontState out;
  out.Table = makeTable();
  out.Limits.Cold = ColdBound{1.5, 5};
  recordObservation(out, makeObservation(5, 1), true, Start);
  return out;
}

const KnownEndpoint &endpointOf(FrontState &State) {
  return State.Directory.Endpoints["e"];
}

} // namespace

TEST_CASE("cold endpoint gets no more requests than it bears in any second") {
  const Day days[] = {
      {.What = "turns cold by itself"},
      {.What = "starts again under its id", .DownFor = Millis(2'000)},
      {.What = "another one starts at its address",
       .DownFor = Millis(2'000),
       .HasNewId = true},
      {.What = "few fronts", .Fronts = 3, .DownFor = Millis(2'000)},
      {.What = "seventy fronts", .Fronts = 70, .DownFor = Millis(2'000)},
      {.What = "warm ones beside it",
       .WarmEndpoints = 3,
       .DownFor = Millis(2'000),
       .LeastUse = 0},
      {.What = "leader lost before",
       .DownFor = Millis(2'000),
       .CutShare = 1,
       .LeaderLostAt = Millis(1'000),
       .LeastUse = 8},
      {.What = "leader lost meanwhile",
       .DownFor = Millis(2'000),
       .CutShare = 1,
       .LeaderLostAt = Millis(5'000)},
      {.What = "half of the fronts cut off",
       .DownFor = Millis(2'000),
       .CutShare = 0.5,
       .LeaderLostAt = Millis(4'600)},
      {.What = "lossy links", .DownFor = Millis(2'000), .IsLossy = true},
      {.What = "most fronts start again",
       .DownFor = Millis(2'000),
       .RestartShare = 0.9},
  };
  for (const Day &it : days)
    for (uint64_t seed = 1; seed <= 10; ++seed) {
      INFO(it.What << ", seed " << seed);
      Result result = Replay(it, seed).run();
      CHECK(countMostInSecond(result.Arrivals) <= MostInSecond);
      CHECK(result.Arrivals.size() >= it.LeastUse);
      CHECK(result.RefusedWithoutTime == 0);
      CHECK(result.HeldPastDeadline == 0);
    }
}

TEST_CASE("endpoint takes all requests once its cold time is over") {
  Day day{.What = "warm again", .DownFor = Millis(2'000), .End = Millis(9'000)};
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    INFO("seed " << seed);
    // Two seconds at 200 a second.
    CHECK(Replay(day, seed).run().SentWhenWarmAgain > 250);
  }
}

TEST_CASE("service without a rate for cold endpoints is served as before") {
  FrontState state = makeState();
  auto table = std::make_shared<ServingTable>(*state.Table);
  table->Services["desk"].ColdPerSecond = 0;
  state.Table = table;
  wire::EndpointObservation cold = makeObservation(5, 2);
  cold.set_cold_left_ms(2'000);
  recordObservation(state, cold, true, Start);
  CHECK(coldTimeLeft(state, endpointOf(state), Start) == Millis(2'000));
  CHECK_FALSE(requestLimitOf(state, endpointOf(state), Start));
}

TEST_CASE("lower one of a stated limit and the cold rate is in force") {
  FrontState state = makeState();
  recordStatedCold(state, "e", Millis(1'000), Start);
  auto cold = requestLimitOf(state, endpointOf(state), Start);
  REQUIRE(cold);
  CHECK(*cold <= ColdPerSecond);
  recordStatedLimit(state, "e", 2.0, Start, Start);
  CHECK(requestLimitOf(state, endpointOf(state), Start) == 2.0);
  recordStatedLimit(state, "e", 500.0, Start, Start + Millis(10));
  CHECK(requestLimitOf(state, endpointOf(state), Start) == cold);
  CHECK(requestLimitOf(state, endpointOf(state), Start + Millis(1'001)) ==
        500.0);
}

TEST_CASE("broken connection makes an endpoint cold until it is heard from") {
  FrontState state = makeState();
  recordConnectionLoss(state, "e", Start + Millis(100));
  CHECK(coldTimeLeft(state, endpointOf(state), Start + Millis(200)) ==
        ColdTime - Millis(100));
  CHECK(coldTimeLeft(state, endpointOf(state),
                     Start + Millis(100) + ColdTime) == Millis(0));
  // That may have been sent before.
  recordObservation(state, makeObservation(5, 2), true, Start + Millis(300));
  CHECK(coldTimeLeft(state, endpointOf(state), Start + Millis(300)) ==
        ColdTime - Millis(200));
  TimePoint later = Start + Millis(101) + SuspicionMargin;
  CHECK(coldTimeLeft(state, endpointOf(state), later) > Millis(0));
  recordObservation(state, makeObservation(5, 3), true, later);
  CHECK(coldTimeLeft(state, endpointOf(state), later) == Millis(0));
  // A new process has a word of its own.
  recordConnectionLoss(state, "e", later);
  recordObservation(state, makeObservation(6, 1), true, later + Millis(10));
  CHECK(coldTimeLeft(state, endpointOf(state), later + Millis(10)) ==
        Millis(0));
  recordConnectionLoss(state, "e", later + Millis(100));
  wire::EndpointObservation cold = makeObservation(6, 2);
  cold.set_cold_left_ms(400);
  recordObservation(state, cold, true, later + Millis(200));
  CHECK(coldTimeLeft(state, endpointOf(state), later + Millis(200)) ==
        Millis(400));
}

TEST_CASE("engine that its agent reaches again may be cold, not ended") {
  for (double rate : {ColdPerSecond, 0.0}) {
    FrontState state = makeState();
    auto table = std::make_shared<ServingTable>(*state.Table);
    table->Services["desk"].ColdPerSecond = rate;
    state.Table = table;
    wire::EngineReport report;
    report.set_address("10.1.0.1:80");
    TimePoint now = Start + Millis(500);
    recordRegainedEngine(state, report, now);
    CHECK_FALSE(mayHaveEnded(state, endpointOf(state)));
    CHECK((coldTimeLeft(state, endpointOf(state), now) > Millis(0)) ==
          (rate > 0));
  }
}

TEST_CASE("outdated limit of one front does not hold up the schedule of all") {
  for (double rate : {ColdPerSecond, 0.0}) {
    FrontState state = makeState();
    auto table = std::make_shared<ServingTable>(*state.Table);
    table->Services["desk"].ColdPerSecond = rate;
    state.Table = table;
    recordStatedLimit(state, "e", 50.0, Start, Start);
    LeaderState leader;
    startLeaderTerm(leader, 1, Start);
    wire::SendPermitRequest request;
    request.set_count(1);
    request.set_horizon_ms(1'000);
    request.add_endpoints()->set_endpoint("e");
    request.mutable_endpoints(0)->set_has_limit(true);
    request.mutable_endpoints(0)->set_requests_per_s(0);
    grantPermits(leader, state, request, Start);
    request.mutable_endpoints(0)->set_requests_per_s(50);
    auto reply = grantPermits(leader, state, request, Start);
    REQUIRE(reply.permits_size() == 1);
    CHECK(reply.permits(0).in_ms() <= (rate > 0 ? 100 : 20));
  }
}

TEST_CASE("permits of the time before an endpoint became cold are given up") {
  for (bool isSuspected : {false, true}) {
    INFO("suspected " << isSuspected);
    FrontState state = makeState();
    recordStatedLimit(state, "e", 50.0, Start, Start);
    state.Leader.Node = "x";
    auto ask = [&](TimePoint Now) {
      auto out = requestPermits(state, {&endpointOf(state)}, 8,
                                Now + Millis(1'000), Now);
      REQUIRE(out);
      return out->number();
    };
    auto reply = [&](uint64_t Number, TimePoint Now) {
      wire::SendPermitReply out;
      out.set_term(1);
      out.set_number(Number);
      for (uint32_t i = 0; i < 4; ++i)
        out.add_permits()->set_endpoint("e");
      applyPermits(state, out, Now);
    };
    reply(ask(Start), Start);
    CHECK(holdsPermit(state, "e", Start));
    uint64_t earlier = ask(Start + Millis(10));
    TimePoint now = Start + Millis(20);
    if (isSuspected)
      recordConnectionLoss(state, "e", now);
    else
      recordStatedCold(state, "e", Millis(2'000), now);
    checkPermission(state, endpointOf(state), now);
    CHECK_FALSE(holdsPermit(state, "e", now));
    reply(earlier, now);
    CHECK_FALSE(holdsPermit(state, "e", now));
    reply(ask(now), now);
    CHECK(holdsPermit(state, "e", now));
  }
}

TEST_CASE("late announcement never shortens a cold time that was stated") {
  FrontState state = makeState();
  recordStatedCold(state, "e", Millis(5'000), Start);
  for (int i = 1; i <= 9; ++i) {
    TimePoint now = Start + Millis(500 * i);
    recordObservation(state, makeObservation(5, 1 + i), true, now);
    CHECK(coldTimeLeft(state, endpointOf(state), now) ==
          Millis(5'000 - 500 * i));
  }
  // The next process is another matter.
  recordObservation(state, makeObservation(6, 1), true, Start + Millis(4'600));
  CHECK(coldTimeLeft(state, endpointOf(state), Start + Millis(4'600)) ==
        Millis(0));
}

TEST_CASE("agent's report of a new process makes its endpoint cold") {
  FrontState state = makeState();
  wire::EngineReport report;
  report.set_address("10.1.0.1:80");
  report.set_born_ms(6);
  recordReportedStatements(state, report, Start);
  CHECK(coldTimeLeft(state, endpointOf(state), Start) == ColdTime);
  // A repeated report does not extend the time.
  recordReportedStatements(state, report, Start + Millis(1'000));
  CHECK(coldTimeLeft(state, endpointOf(state), Start + Millis(1'000)) ==
        ColdTime - Millis(1'000));
  // The process itself says that it is warm.
  recordObservation(state, makeObservation(6, 1), true, Start + Millis(1'100));
  CHECK(coldTimeLeft(state, endpointOf(state), Start + Millis(1'100)) ==
        Millis(0));
}

TEST_CASE("agent's word that its engine is cold reaches the front") {
  FrontState state = makeState();
  wire::EngineReport report;
  report.set_address("10.1.0.1:80");
  report.set_born_ms(5);
  report.set_cold_left_ms(700);
  recordReportedStatements(state, report, Start);
  CHECK(coldTimeLeft(state, endpointOf(state), Start) == Millis(700));
}

TEST_CASE("front that is told of endpoints learns how long they stay cold") {
  FrontState told = makeState();
  wire::EndpointObservation cold = makeObservation(5, 2);
  cold.set_cold_left_ms(2'000);
  recordObservation(told, cold, true, Start);
  FrontState state;
  state.Table = makeTable();
  wire::EndpointUpdate update;
  for (auto &it : makeObservations(told.Directory, Start + Millis(500)))
    *update.add_endpoints() = it;
  NodeMessages out;
  handleEndpointUpdate(state, update, Start + Millis(500), out);
  CHECK(coldTimeLeft(state, endpointOf(state), Start + Millis(500)) ==
        Millis(1'500));
}

TEST_CASE("cold times that make no sense are bounded") {
  FrontState state = makeState();
  recordStatedCold(state, "e", std::chrono::hours(24), Start);
  CHECK(coldTimeLeft(state, endpointOf(state), Start) == LongestColdTime);
  wire::EndpointStatements update;
  wire::EndpointStatement &it = *update.add_statements();
  it.set_endpoint("e");
  it.set_born_ms(5);
  it.set_cold_left_ms(~0ULL);
  NodeMessages out;
  handleStatements(state, update, Start + Millis(10), out);
  CHECK(coldTimeLeft(state, endpointOf(state), Start + Millis(10)) <=
        LongestColdTime);
}

// Messages take time, so that each front ends a cold time a little later than
// the one that told it. Fronts with the end and those without differ in their
// digests and exchange their statements.
TEST_CASE("cold time that has ended is not restored by a front that is late") {
  FrontState state = makeState();
  recordStatedCold(state, "e", Millis(1'000), Start);
  TimePoint end = Start + Millis(1'010);
  expireStatements(state, end);
  REQUIRE(coldTimeLeft(state, endpointOf(state), end) == Millis(0));
  wire::EndpointStatements update;
  wire::EndpointStatement &it = *update.add_statements();
  it.set_endpoint("e");
  it.set_born_ms(5);
  it.set_cold_left_ms(40);
  NodeMessages out;
  handleStatements(state, update, end, out);
  CHECK(coldTimeLeft(state, endpointOf(state), end) == Millis(0));
  // It has become cold once more.
  it.set_cold_left_ms(2'000);
  handleStatements(state, update, end, out);
  CHECK(coldTimeLeft(state, endpointOf(state), end) == Millis(2'000));
}

TEST_CASE("pace of a cold endpoint leaves room for permits in hand") {
  CHECK(coldPace(18, std::nullopt, PermitLifetime) == 18);
  double pace = coldPace(18, ColdBound{1.5, 5}, PermitLifetime);
  CHECK(pace * (1 + 0.3) + LeaderlessPaceFraction * pace * (1 + 0.5) + 2 <=
        32.01);
  CHECK(pace > 14);
  CHECK(coldPace(18, ColdBound{4, 50}, PermitLifetime) == 18);
  CHECK(coldPace(0.1, ColdBound{1, 0}, PermitLifetime) > 0);
}
