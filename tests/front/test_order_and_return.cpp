/// \file
/// Which waiting requests a front serves first, when it refuses them, and when
/// it lets them return.
#include "front/dispatch.h"
#include "front/leader_work.h"

#include <catch2/catch.hpp>

#include <ctime>
#include <deque>

using namespace sassafras;

namespace {

const TimePoint Start = TimePoint() + std::chrono::hours(1);

ServingTablePtr makeTable() {
  auto table = std::make_shared<ServingTable>();
  table->Version = 1;
  ServingService chat;
  chat.Name = "chat";
  EngineSpec spec;
  spec.Slots = 4;
  spec.WeightsMb = 100;
  ModelSpec model;
  model.Name = "m";
  model.WeightsMb = 40;
  spec.Models["m"] = model;
  chat.Engine = spec;
  table->Services["chat"] = chat;
  for (uint32_t rank = 0; rank < 3; ++rank) {
    ServingRoute route;
    route.Name = std::to_string(rank);
    route.Host = "h";
    route.PathPrefix = "/" + route.Name + "/";
    route.Kind = RequestKind::Streaming;
    route.Timeout = Millis(12'000);
    route.Objective = Millis(900);
    route.GapTarget = Millis(300);
    route.Priority = rank;
    route.Services = {{"chat", 1}};
    table->Routes.push_back(route);
  }
  indexServingTable(*table);
  return table;
}

FrontState makeState() {
  FrontState state;
  state.Self.set_name("front");
  state.Self.set_zone("a");
  state.Table = makeTable();
  state.FrontCountTold = 1;
  state.FrontCountToldAt = Start;
  return state;
}

void addEngine(FrontState &State, const std::string &Id, TimePoint Now) {
  static uint64_t sequence = 0;
  wire::EndpointObservation it;
  it.set_id(Id);
  it.set_service("chat");
  it.set_address("10.0.0.1:" + std::to_string(100 + State.Records.size()));
  if (auto known = State.Directory.Endpoints.find(Id);
      known != State.Directory.Endpoints.end())
    it.set_address(known->second.Address);
  else
    it.set_address("10.0.0." + Id.substr(1) + ":7");
  it.set_zone("a");
  it.set_born_ms(1);
  it.set_sequence(++sequence);
  it.set_slots(4);
  it.set_has_models(true);
  it.add_models()->set_name("m");
  applyObservation(State.Directory, it, Now);
}

FrontRequest admit(FrontState &State, uint32_t Rank, TimePoint Now) {
  static uint64_t number = 0;
  RequestAttributes attributes;
  attributes.Id = std::to_string(++number);
  attributes.Host = "h";
  attributes.Path = "/" + std::to_string(Rank) + "/x";
  attributes.Model = "m";
  auto out = admitRequest(State, attributes, Now);
  REQUIRE(std::holds_alternative<FrontRequest>(out));
  std::get<FrontRequest>(out).Number = number;
  return std::get<FrontRequest>(out);
}

/// One front and its engines. Requests run for their mean time.
struct Replay {
  FrontState State = makeState();
  std::map<uint64_t, FrontRequest> Waiting;
  struct Run {
    FrontRequest Request;
    std::string Endpoint;
    TimePoint EndsAt;
  };
  std::deque<Run> Runs;
  struct Sum {
    size_t Arrived = 0, Sent = 0, Refused = 0, HeldToTheEnd = 0;
  };
  std::map<uint32_t, Sum> Sums;
  size_t Overtaken = 0;
  size_t RefusedWithRoom = 0;
  Millis RunTime = MeanEngineServiceTime;

  bool decide(FrontRequest &Request, TimePoint Now) {
    auto result = decideDispatch(State, Request, Now);
    Sum &sum = Sums[Request.Urgency];
    if (auto *target = std::get_if<SendTo>(&result.Decision)) {
      recordDispatch(State, Request, target->Endpoint, Now);
      ++sum.Sent;
      for (const auto &[number, it] : Waiting)
        Overtaken += it.Urgency < Request.Urgency;
      Runs.push_back({Request, target->Endpoint, Now + RunTime});
      return true;
    }
    if (std::holds_alternative<FrontRefusal>(result.Decision)) {
      ++sum.Refused;
      sum.HeldToTheEnd += isPast(Request.FirstByteDeadline, Now);
      RefusedWithRoom += Runs.size() < 4 && Waiting.empty();
      removeWaitingRequest(State, Request);
      return true;
    }
    return false;
  }
  void tryWaiting(const std::vector<uint64_t> &Numbers, TimePoint Now) {
    for (uint64_t number : Numbers) {
      auto it = Waiting.find(number);
      if (it == Waiting.end())
        continue;
      FrontRequest request = it->second;
      Waiting.erase(it);
      if (!decide(request, Now))
        Waiting.emplace(number, request);
    }
  }
  void arrive(uint32_t Rank, TimePoint Now) {
    FrontRequest request = admit(State, Rank, Now);
    ++Sums[request.Urgency].Arrived;
    tryWaiting(listCallersBefore(State, request, Now), Now);
    if (!decide(request, Now))
      Waiting.emplace(request.Number, request);
  }
  void step(TimePoint Now) {
    while (!Runs.empty() && isPast(Runs.front().EndsAt, Now)) {
      recordExchangeEnd(State, Runs.front().Request, Runs.front().Endpoint);
      Runs.pop_front();
    }
  }
};

/// Processor time that this thread has used.
std::chrono::nanoseconds processorTime() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return std::chrono::seconds(time.tv_sec) +
         std::chrono::nanoseconds(time.tv_nsec);
}

const FrontRefusal *refusalOf(const DispatchResult &Result) {
  return std::get_if<FrontRefusal>(&Result.Decision);
}

} // namespace

// A burst of three ranks at three times the room. Arrivals took the slots that
// became free between two looks at the waiting requests, whatever their rank.
TEST_CASE("burst at three times the room is served by rank") {
  Replay replay;
  for (const char *it : {"e1", "e2"})
    addEngine(replay.State, it, Start);
  TimePoint now = Start;
  // 2 engines of 4 slots end 4.7 requests a second.
  for (int i = 0; i < 1'000; ++i, now += Millis(20)) {
    if (i % 50 == 0)
      for (const char *it : {"e1", "e2"})
        addEngine(replay.State, it, now);
    replay.step(now);
    if (i % 4 == 0)
      replay.arrive(static_cast<uint32_t>(i / 4 % 3), now);
    if (i % 5 == 0)
      replay.tryWaiting(listInOrder(replay.State, now), now);
  }
  CHECK(replay.Overtaken == 0);
  CHECK(replay.RefusedWithRoom == 0);
  auto shareOf = [&](uint32_t Rank) {
    auto &sum = replay.Sums[Rank];
    CHECK(sum.HeldToTheEnd == 0);
    return static_cast<double>(sum.Sent) / static_cast<double>(sum.Arrived);
  };
  CHECK(shareOf(0) > 0.9);
  CHECK(shareOf(0) >= shareOf(1));
  CHECK(shareOf(1) >= shareOf(2));
}

// Engines slowed down while requests waited. These were held until their
// callers gave up, and had no time left to go elsewhere.
TEST_CASE("waiting request is refused once its queue is too slow") {
  FrontState state = makeState();
  addEngine(state, "e1", Start);
  std::vector<FrontRequest> waiting;
  for (int i = 0; i < 30; ++i) {
    FrontRequest request = admit(state, 1, Start);
    auto result = decideDispatch(state, request, Start);
    if (auto *target = std::get_if<SendTo>(&result.Decision))
      recordDispatch(state, request, target->Endpoint, Start);
    else if (!refusalOf(result))
      waiting.push_back(request);
  }
  REQUIRE(waiting.size() > 1);
  TimePoint now = Start + Millis(100);
  CHECK_FALSE(refusalOf(decideDispatch(state, waiting.back(), now)));
  recordPace(state.Records["e1"], 6, now);
  auto result = decideDispatch(state, waiting.back(), now);
  REQUIRE(refusalOf(result));
  CHECK(statusOf(refusalOf(result)->Reason) == 503);
  CHECK(refusalOf(result)->RetryAfter);
}

TEST_CASE("waiting request is refused once more urgent ones take its room") {
  FrontState state = makeState();
  addEngine(state, "e1", Start);
  std::vector<FrontRequest> waiting;
  auto arrive = [&](uint32_t Rank) {
    FrontRequest request = admit(state, Rank, Start);
    auto result = decideDispatch(state, request, Start);
    if (auto *target = std::get_if<SendTo>(&result.Decision))
      recordDispatch(state, request, target->Endpoint, Start);
    else if (!refusalOf(result))
      waiting.push_back(request);
  };
  for (int i = 0; i < 7; ++i)
    arrive(2);
  REQUIRE_FALSE(waiting.empty());
  FrontRequest last = waiting.back();
  last.FirstByteDeadline = Start + Millis(2'000);
  CHECK_FALSE(refusalOf(decideDispatch(state, last, Start + Millis(50))));
  for (int i = 0; i < 40; ++i)
    arrive(0);
  CHECK(refusalOf(decideDispatch(state, last, Start + Millis(50))));
}

// A request was held although its only engine was paused until after its
// deadline.
TEST_CASE("slots of an engine paused past the deadline are not free") {
  FrontState state = makeState();
  addEngine(state, "e1", Start);
  FrontRequest request = admit(state, 2, Start);
  state.Records["e1"].PausedUntil = Start + Millis(200);
  CHECK(std::holds_alternative<WaitUntil>(
      decideDispatch(state, request, Start).Decision));
  removeWaitingRequest(state, request);
  state.Records["e1"].PausedUntil = Start + Millis(30'000);
  CHECK(refusalOf(decideDispatch(state, request, Start)));
  state.Records["e1"].PausedUntil = Start;
  CHECK(std::holds_alternative<SendTo>(
      decideDispatch(state, request, Start).Decision));
}

TEST_CASE("time to return comes from the fleet's backlog while that is fresh") {
  FrontState state = makeState();
  addEngine(state, "e1", Start);
  state.Records["e1"].Open = 5;
  wire::LoadForecast told;
  wire::ModelBacklog &entry = *told.add_backlogs();
  entry.set_model("m");
  for (uint32_t n : {1, 2, 40, 0, 0, 0, 0, 0, 0, 0, 7, 7})
    entry.add_waiting_by_rank(n);
  applyForecast(state, told, Start);
  auto afterOf = [&](uint32_t Rank, TimePoint Now) {
    FrontRequest request = admit(state, Rank, Now);
    request.FirstByteDeadline = Now;
    auto result = decideDispatch(state, request, Now);
    REQUIRE(refusalOf(result));
    return *refusalOf(result)->RetryAfter;
  };
  Millis urgent = afterOf(0, Start);
  Millis least = afterOf(2, Start);
  CHECK(least > Millis(10'000));
  CHECK(urgent < Millis(3'000));
  // It is old: this front's own backlog counts, times the fronts in view.
  CHECK(afterOf(2, Start + Millis(1'500)) < Millis(5'000));
}

TEST_CASE("leader tells the backlogs of all fronts, of a bounded number") {
  FrontState state = makeState();
  LeaderState leader;
  startLeaderTerm(leader, 1, Start);
  for (const char *front : {"front", "other"}) {
    FleetDemand::FrontReport &report = leader.Demand.Fronts[front];
    report.HeardAt = Start;
    for (uint32_t i = 1; i <= 100; ++i) {
      wire::RowDemand row;
      row.set_model("m" + std::to_string(i));
      row.set_waiting(i);
      row.add_waiting_by_rank(0);
      row.add_waiting_by_rank(i);
      row.add_returning_by_rank(1);
      report.Rows[row.model()] = row;
    }
  }
  NodeMessages out;
  sendForecasts(leader, state, Start, out);
  const ModelUsage &largest = state.ModelUsages["m100"];
  CHECK(largest.FleetBacklogAt == Start);
  CHECK(largest.FleetBacklog.Waiting[1] == 200);
  CHECK(largest.FleetBacklog.Returning[0] == 2);
  size_t told = 0;
  for (const auto &[model, it] : state.ModelUsages)
    told += it.FleetBacklogAt == Start;
  CHECK(told == 32);
  // Fronts that were not heard for long do not count.
  leader.Demand.Fronts["other"].HeardAt = Start - Millis(2'500);
  sendForecasts(leader, state, Start + ForecastPeriod, out);
  CHECK(largest.FleetBacklog.Waiting[1] == 100);
}

TEST_CASE("front without a leader counts its own backlog for each front") {
  FrontState state = makeState();
  for (const char *name : {"b", "c"}) {
    wire::NodeEntry entry;
    entry.set_name(name);
    entry.set_kind(wire::NODE_FRONT);
    entry.set_address(std::string(name) + ":1");
    recordNodeHeartbeat(state.Roster, entry, Start);
  }
  ModelUsage &usage = state.ModelUsages["m"];
  addEngine(state, "e1", Start);
  state.Records["e1"].Open = 5;
  FrontRequest request = admit(state, 1, Start);
  CHECK_FALSE(refusalOf(decideDispatch(state, request, Start)));
  REQUIRE(usage.Waiting.size() == 1);
  CHECK(countFronts(state, Start) == 3);
  CHECK(fleetBacklogOf(state, usage, Start).Waiting[1] == 3);
  // A refused caller returns to one front only.
  recordReturn(usage.Returning, Start + Millis(900), 1);
  CHECK(fleetBacklogOf(state, usage, Start).Returning[1] == 1);
  removeWaitingRequest(state, request);
  CHECK(fleetBacklogOf(state, usage, Start).Waiting[1] == 0);
  CHECK(listInOrder(state, Start).empty());
}

// Requests that waited for tokens or another model came first in the list; the
// arrival then overtook an urgent one that could take the slot.
TEST_CASE("only callers that wait for the same room go before an arrival") {
  FrontState state = makeState();
  addEngine(state, "e1", Start);
  state.Records["e1"].Open = 5;
  for (int i = 0; i < 4; ++i)
    recordWaiting(state, admit(state, 0, Start));
  FrontRequest urgent = admit(state, 0, Start);
  decideDispatch(state, urgent, Start);
  REQUIRE(state.ModelUsages["m"].Waiting.size() == 1);
  CHECK(listCallersBefore(state, admit(state, 2, Start), Start) ==
        std::vector<uint64_t>{urgent.Number});
}

// A burst waited at one front. Each decision of a pass sorted all that waited,
// and the front had no processor time left for streams.
TEST_CASE("pass over a thousand waiting requests takes little processor time") {
  FrontState state = makeState();
  addEngine(state, "e1", Start);
  std::map<uint64_t, FrontRequest> waiting;
  while (state.ModelUsages["m"].Waiting.size() < 1'000) {
    FrontRequest request = admit(state, 1, Start);
    request.Organisation = "";
    request.FirstByteDeadline = Start + std::chrono::hours(10);
    request.Deadline = Start + std::chrono::hours(20);
    auto result = decideDispatch(state, request, Start);
    if (auto *target = std::get_if<SendTo>(&result.Decision))
      recordDispatch(state, request, target->Endpoint, Start);
    else
      waiting[request.Number] = request;
    REQUIRE_FALSE(refusalOf(result));
  }
  std::chrono::nanoseconds start = processorTime();
  for (uint64_t number : listInOrder(state, Start))
    decideDispatch(state, waiting[number], Start);
  auto used = processorTime() - start;
  INFO(used.count() / 1'000 << " us");
  CHECK(used < Millis(100));
}

TEST_CASE("front knows a caller that it refuses again, within a bound") {
  FrontState state = makeState();
  FrontRequest request = admit(state, 1, Start);
  request.Features.Digest = "first";
  CHECK_FALSE(recordRefusedCaller(state, request, Start));
  CHECK(recordRefusedCaller(state, request, Start + Millis(500)));
  CHECK_FALSE(recordRefusedCaller(state, request, request.Deadline));
  for (size_t i = 0; i < 2 * MaxRefusedCallers; ++i) {
    request.Features.Digest = std::to_string(i);
    recordRefusedCaller(state, request, Start);
  }
  CHECK(state.RefusedUntil.size() == MaxRefusedCallers);
  // Old ones make room.
  request.Features.Digest = "last";
  request.Deadline += Millis(60'000);
  recordRefusedCaller(state, request, request.Deadline - Millis(1'000));
  CHECK(state.RefusedUntil.size() == 1);
}
