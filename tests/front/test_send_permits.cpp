/// \file
/// Replays of endpoints that state a request limit: a fleet of fronts in four
/// zones with more requests than the limits allow. Messages between fronts take
/// MessageTime.
#include "front/dispatch.h"
#include "front/endpoint_statements.h"
#include "front/leader_work.h"
#include "front/send_permits.h"

#include <catch2/catch.hpp>

#include <deque>
#include <memory>

using namespace sassafras;

namespace {

const TimePoint Start = TimePoint() + std::chrono::hours(1);
constexpr Millis Step{10};
constexpr Millis TickTime{20};
constexpr Millis MessageTime{20};
constexpr Millis AnswerTime{40};
/// The limit holds from this long after it was first stated.
constexpr Millis ContactTime{3'000};
/// A front that has forwarded an answer with the limit keeps it after this.
constexpr Millis LearnTime{500};
constexpr Millis Window{4'000};
constexpr size_t Zones = 4;

/// One replay.
struct Day {
  const char *What;
  size_t Fronts = 9;
  std::vector<double> Limits = {1.2, 2.5, 3.7};
  double RequestsPerSecond = 40;
  /// Endpoints without a limit beside them.
  size_t FreeEndpoints = 0;
  /// The leader is away from then on, for LeaderlessFor; another one follows.
  Millis LeaderLostAt{0};
  Millis LeaderlessFor{0};
  /// This front, not the leader, starts again with nothing known.
  size_t RestartedFront = 0;
  Millis RestartAt{0};
  /// Every second message between fronts is lost.
  bool IsLossy = false;
  Millis LimitEndsAt{0}; ///< 0: it does not.
  /// Part of the limits that has to be used from ContactTime on.
  double LeastUse = 0.75;
  Millis End{16'000};
};

struct Arrival {
  TimePoint At;
  size_t Front;
  bool IsTold; ///< The front had forwarded an answer with the limit in time.
};

struct Answer {
  TimePoint At;
  TimePoint SentAt;
  size_t Front;
  size_t Endpoint;
};

struct Result {
  /// Arrivals at each endpoint with a limit.
  std::vector<std::vector<Arrival>> Arrivals;
  size_t Refused = 0;
  size_t RefusedWithoutTime = 0;
  size_t HeldPastDeadline = 0;
  size_t SentAfterEnd = 0;
};

struct Sending {
  TimePoint At;
  size_t From;
  NodeMessage Message;
};

struct Node {
  FrontState State;
  LeaderState Leader;
  GossipState Gossip;
  FleetDemand Demand;
  std::vector<FrontRequest> Waiting;
  std::map<size_t, TimePoint> ToldAt; ///< By endpoint.
};

ServingTablePtr makeTable() {
  auto table = std::make_shared<ServingTable>();
  table->Version = 1;
  table->Services["desk"].Name = "desk";
  ServingRoute route;
  route.Name = "look";
  route.Host = "h";
  route.PathPrefix = "/look/";
  route.Kind = RequestKind::Idempotent;
  route.Timeout = Millis(4'000);
  route.Objective = Millis(300);
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
  void announce(FrontState &State) const;
  size_t below(size_t Limit) { return Random() % Limit; }
  bool isLimited(size_t Endpoint) const;
  std::optional<size_t> leader() const;
  void arrive();
  bool dispatch(size_t Front, FrontRequest &Request);
  void answer();
  void queue(size_t From, NodeMessages Messages);
  void deliver();
  void exchangeHeartbeats();
  void tick(size_t Front);

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
    // With the shares of a leader; a restarted front learns it from others.
    Nodes[i]->State.FrontCountTold = Plan.Fronts;
    Nodes[i]->State.FrontCountToldAt = Start;
    ByAddress[Nodes[i]->State.Self.address()] = i;
  }
  Out.Arrivals.resize(Plan.Limits.size());
}

std::unique_ptr<Node> Replay::makeNode(size_t Number) {
  auto out = std::make_unique<Node>();
  FrontState &state = out->State;
  state.Table = makeTable();
  state.Random.seed(Random());
  state.Self.set_name("front-" + std::to_string(Number));
  state.Self.set_address("10.0.0." + std::to_string(Number) + ":7600");
  state.Self.set_zone("zone-" + std::to_string(Number % Zones));
  state.Self.set_kind(wire::NODE_FRONT);
  state.Self.set_incarnation(1);
  announce(state);
  return out;
}

void Replay::announce(FrontState &State) const {
  for (size_t i = 0; i < Plan.Limits.size() + Plan.FreeEndpoints; ++i) {
    wire::EndpointObservation it;
    it.set_id("e-" + std::to_string(i));
    it.set_service("desk");
    it.set_address("10.1.0." + std::to_string(i) + ":80");
    it.set_zone("zone-" + std::to_string(i % Zones));
    it.set_born_ms(1);
    it.set_sequence(toMillis(Now - Start) + 1);
    it.set_slots(6);
    applyObservation(State.Directory, it, Now);
  }
}

bool Replay::isLimited(size_t Endpoint) const {
  bool hasEnded =
      Plan.LimitEndsAt > Millis(0) && Now >= Start + Plan.LimitEndsAt;
  return Endpoint < Plan.Limits.size() && !hasEnded;
}

std::optional<size_t> Replay::leader() const {
  if (Plan.LeaderlessFor == Millis(0) || Now < Start + Plan.LeaderLostAt)
    return 0;
  if (Now < Start + Plan.LeaderLostAt + Plan.LeaderlessFor)
    return std::nullopt;
  return 1;
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
  if (result.PermitRequest) {
    NodeMessage message{"", {}};
    *message.Message.mutable_send_permit_request() = *result.PermitRequest;
    message.Message.set_reply_address(node.State.Self.address());
    if (auto to = leader())
      queue(Front, {{Nodes[*to]->State.Self.address(), message.Message}});
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
  size_t endpoint = std::stoul(target->Endpoint.substr(2));
  if (endpoint < Plan.Limits.size()) {
    auto told = node.ToldAt.find(endpoint);
    bool isTold = told != node.ToldAt.end() && Now >= told->second + LearnTime;
    Out.Arrivals[endpoint].push_back({Now, Front, isTold});
    Out.SentAfterEnd += !isLimited(endpoint) && isTold;
  }
  Answers.push_back({Now + AnswerTime, Now, Front, endpoint});
  return true;
}

void Replay::answer() {
  while (!Answers.empty() && isPast(Answers.front().At, Now)) {
    Answer it = Answers.front();
    Answers.pop_front();
    Node &node = *Nodes[it.Front];
    std::string id = "e-" + std::to_string(it.Endpoint);
    std::optional<double> limit;
    if (isLimited(it.Endpoint)) {
      limit = Plan.Limits[it.Endpoint];
      node.ToldAt.try_emplace(it.Endpoint, Now);
    }
    recordStatedLimit(node.State, id, limit, it.SentAt, Now);
    recordClose(node.State.Records[id]);
  }
}

void Replay::queue(size_t From, NodeMessages Messages) {
  for (NodeMessage &it : Messages)
    if (!Plan.IsLossy || below(2) == 0)
      OnTheWay.push_back({Now + MessageTime, From, std::move(it)});
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
    if (message.has_node_heartbeat())
      handleNodeHeartbeat(node.State, node.Gossip, node.Demand,
                          message.node_heartbeat(), Now, out);
    if (message.has_send_permit_reply())
      applyPermits(node.State, message.send_permit_reply(), Now);
    if (message.has_send_permit_request() && leader() == to) {
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
    bool isLeader = leader() == i;
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
  announce(node.State);
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
    if (Plan.RestartAt > Millis(0) && Now == Start + Plan.RestartAt) {
      Nodes[Plan.RestartedFront] = makeNode(Plan.RestartedFront);
      std::erase_if(Answers, [&](const Answer &it) {
        return it.Front == Plan.RestartedFront;
      });
    }
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

/// Most arrivals within Window from fronts that were told in time.
size_t countMostArrivals(const std::vector<Arrival> &Arrivals) {
  size_t most = 0;
  std::deque<TimePoint> recent;
  for (const Arrival &it : Arrivals) {
    if (!it.IsTold || it.At < Start + ContactTime)
      continue;
    recent.push_back(it.At);
    while (it.At - recent.front() > Window)
      recent.pop_front();
    most = std::max(most, recent.size());
  }
  return most;
}

} // namespace

TEST_CASE("endpoints get no more requests than their limits allow") {
  const Day days[] = {
      {.What = "three limits"},
      {.What = "through relays", .Fronts = 24},
      {.What = "seventy fronts", .Fronts = 70},
      {.What = "one small limit", .Limits = {0.5}, .LeastUse = 0.6},
      {.What = "limit of 0", .Limits = {0, 0}, .LeastUse = 0},
      {.What = "large limits", .Limits = {15, 25}, .RequestsPerSecond = 90},
      {.What = "beside an endpoint without a limit",
       .RequestsPerSecond = 20,
       .FreeEndpoints = 1,
       .LeastUse = 0},
      {.What = "leader lost",
       .LeaderLostAt = Millis(6'000),
       .LeaderlessFor = Millis(4'000),
       .LeastUse = 0.5},
      {.What = "leader lost at once, seventy fronts",
       .Fronts = 70,
       .LeaderLostAt = Millis(0),
       .LeaderlessFor = Millis(12'000),
       .LeastUse = 0.2},
      {.What = "front starts again",
       .RestartedFront = 5,
       .RestartAt = Millis(7'000)},
      {.What = "lossy links", .IsLossy = true, .LeastUse = 0.3},
  };
  for (const Day &it : days)
    for (uint64_t seed = 1; seed <= 10; ++seed) {
      INFO(it.What << ", seed " << seed);
      Result result = Replay(it, seed).run();
      double seconds =
          std::chrono::duration<double>(it.End - ContactTime).count();
      for (size_t i = 0; i < it.Limits.size(); ++i) {
        INFO("limit " << it.Limits[i]);
        const auto &arrivals = result.Arrivals[i];
        CHECK(static_cast<double>(countMostArrivals(arrivals)) <=
              1.5 * it.Limits[i] * 4 + 5);
        auto used = std::count_if(arrivals.begin(), arrivals.end(),
                                  [&](const Arrival &Arrived) {
                                    return Arrived.At >= Start + ContactTime;
                                  });
        CHECK(static_cast<double>(used) >=
              it.LeastUse * it.Limits[i] * seconds);
      }
      CHECK(result.RefusedWithoutTime == 0);
      CHECK(result.HeldPastDeadline == 0);
    }
}

TEST_CASE("limit that an endpoint states no longer ends at all fronts") {
  Day day{.What = "ends", .LimitEndsAt = Millis(7'000)};
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    INFO("seed " << seed);
    Result result = Replay(day, seed).run();
    // 40 a second arrive, three endpoints of six slots could take all of them.
    CHECK(result.SentAfterEnd > 200);
  }
}

TEST_CASE("limit of an earlier process does not bind the next one") {
  FrontState state;
  wire::EndpointObservation it;
  it.set_id("e");
  it.set_address("10.1.0.1:80");
  it.set_born_ms(5);
  it.set_sequence(9);
  applyObservation(state.Directory, it, Start);
  recordStatedLimit(state, "e", 2.0, Start, Start + Millis(10));
  REQUIRE(requestLimitOf(state, state.Directory.Endpoints["e"], Start) == 2.0);
  it.set_born_ms(6);
  it.set_sequence(1);
  applyObservation(state.Directory, it, Start + Millis(20));
  CHECK_FALSE(requestLimitOf(state, state.Directory.Endpoints["e"], Start));
  // A late notice about the earlier process changes nothing.
  wire::EndpointStatements late;
  wire::EndpointStatement &statement = *late.add_statements();
  statement.set_endpoint("e");
  statement.set_born_ms(5);
  statement.set_has_limit(true);
  statement.set_requests_per_s(1);
  NodeMessages out;
  handleStatements(state, late, Start + Millis(30), out);
  CHECK_FALSE(requestLimitOf(state, state.Directory.Endpoints["e"], Start));
}

TEST_CASE(
    "answer to a request sent before a limit was stated does not end it") {
  FrontState state;
  wire::EndpointObservation it;
  it.set_id("e");
  it.set_address("10.1.0.1:80");
  it.set_born_ms(5);
  it.set_sequence(1);
  applyObservation(state.Directory, it, Start);
  recordStatedLimit(state, "e", 2.0, Start, Start + Millis(10));
  const KnownEndpoint &endpoint = state.Directory.Endpoints["e"];
  recordStatedLimit(state, "e", std::nullopt, Start + Millis(5),
                    Start + Millis(20));
  CHECK(requestLimitOf(state, endpoint, Start) == 2.0);
  recordStatedLimit(state, "e", std::nullopt, Start + Millis(15),
                    Start + Millis(30));
  CHECK_FALSE(requestLimitOf(state, endpoint, Start));
}

TEST_CASE(
    "restarted front without a leader does not take a whole request limit") {
  FrontState state;
  state.Self.set_name("front");
  wire::EndpointObservation observation;
  observation.set_id("e1");
  observation.set_service("chat");
  observation.set_address("10.0.0.1:80");
  observation.set_born_ms(1);
  observation.set_sequence(1);
  observation.set_slots(4);
  applyObservation(state.Directory, observation, Start);
  const KnownEndpoint &endpoint = state.Directory.Endpoints.at("e1");
  recordStatedLimit(state, "e1", 4.0, Start, Start);
  auto countOpen = [&] {
    size_t n = 0;
    for (TimePoint now = Start; now < Start + Millis(4'000); now += Step)
      if (checkPermission(state, endpoint, now) == SendPermission::Open) {
        takePermit(state, "e1", now);
        ++n;
      }
    return n;
  };
  CHECK(countOpen() == 0);
  // Another front tells it how many there are.
  state.FrontCountTold = 4;
  state.FrontCountToldAt = Start;
  // A half of the limit, divided by four, for 4 s.
  CHECK(countOpen() <= 3);
}
