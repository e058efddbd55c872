/// \file
/// Decisions of a front on one request: admission, dispatch, and retries after
/// a failure. All of them depend on whether the request may have run.
#include "front/dispatch.h"

#include <catch2/catch.hpp>

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
  model.StoreLoad = Millis(6'000);
  model.DiskLoad = Millis(1'000);
  spec.Models["m"] = model;
  chat.Engine = spec;
  table->Services["chat"] = chat;
  table->Services["desk"].Name = "desk";
  auto add = [&](const char *Name, RequestKind Kind, const char *Service,
                 Millis Timeout, bool IsResumable) {
    ServingRoute route;
    route.Name = Name;
    route.Host = "h";
    route.PathPrefix = std::string("/") + Name + "/";
    route.Kind = Kind;
    route.Timeout = Timeout;
    route.Objective = Millis(400);
    route.GapTarget = Millis(300);
    route.MaxAttempts = 2;
    route.IsResumable = IsResumable;
    route.Services = {{Service, 1}};
    table->Routes.push_back(route);
  };
  add("stream", RequestKind::Streaming, "chat", Millis(12'000), false);
  add("resume", RequestKind::Streaming, "chat", Millis(12'000), true);
  add("once", RequestKind::NonIdempotent, "desk", Millis(2'000), false);
  add("safe", RequestKind::Idempotent, "desk", Millis(2'000), false);
  OrganisationSpec organisation;
  organisation.Name = "first";
  organisation.Keys = {"key"};
  table->Organisations.push_back(organisation);
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

void addEndpoint(FrontState &State, const char *Id, const char *Service,
                 const char *Address, const std::vector<std::string> &Models,
                 const std::vector<std::string> &OnDisk = {}) {
  wire::EndpointObservation it;
  it.set_id(Id);
  it.set_service(Service);
  it.set_address(Address);
  it.set_zone("a");
  it.set_born_ms(1);
  it.set_sequence(1);
  it.set_slots(4);
  it.set_has_models(true);
  for (const std::string &model : Models)
    it.add_models()->set_name(model);
  for (const std::string &model : OnDisk)
    it.add_on_disk(model);
  applyObservation(State.Directory, it, Start);
}

RequestAttributes makeAttributes(const std::string &Path,
                                 const std::string &Model = "m") {
  RequestAttributes out;
  out.Id = "id";
  out.Host = "h";
  out.Path = Path;
  out.Key = "key";
  out.Model = Model;
  return out;
}

FrontRequest admit(FrontState &State, const std::string &Path) {
  auto out = admitRequest(State, makeAttributes(Path), Start);
  REQUIRE(std::holds_alternative<FrontRequest>(out));
  static uint64_t number = 0;
  std::get<FrontRequest>(out).Number = ++number;
  return std::get<FrontRequest>(out);
}

const FrontRefusal *refusalOf(const DispatchResult &Result) {
  return std::get_if<FrontRefusal>(&Result.Decision);
}

} // namespace

// A leader that is overloaded may not answer a token request in time. Callers
// were then held until their deadlines and got no Retry-After time.
TEST_CASE("request that was granted no tokens in time is refused, not held") {
  FrontState state = makeState();
  auto table = std::make_shared<ServingTable>(*state.Table);
  table->Organisations[0].RatePerSecond = 1;
  indexServingTable(*table);
  state.Table = table;
  addEndpoint(state, "e1", "chat", "10.0.0.1:80", {"m"});
  FrontRequest request = admit(state, "/stream/x");
  request.Cost = 50;
  state.PoolHeardAt = Start;
  auto first = decideDispatch(state, request, Start);
  CHECK(std::holds_alternative<WaitUntil>(first.Decision));
  CHECK(first.PoolQuotaRequest);
  state.Quotas["first"].PoolRequestedAt = TimePoint();
  auto last = decideDispatch(state, request, Start + Millis(210));
  REQUIRE(refusalOf(last));
  CHECK(refusalOf(last)->Reason == RefusalReason::RateExceeded);
}

// Only the leader knows which engines have the weights in memory or on disk. A
// front without a forecast assumed for each cold model a load from the store.
TEST_CASE("cold request waits for the leader's forecast before it is refused") {
  FrontState state = makeState();
  addEndpoint(state, "i-1", "chat", "10.0.0.1:7", {"other"});
  state.Leader.Node = "leader";
  state.Leader.HeardAt = Start;
  FrontRequest request = admit(state, "/stream/x");
  DispatchResult first = decideDispatch(state, request, Start);
  CHECK(std::holds_alternative<WaitUntil>(first.Decision));
  CHECK(first.DemandReport);
  SECTION("the forecast is short: weights are on an engine") {
    state.ModelUsages["m"].ForecastAt = Start + Millis(150);
    state.ModelUsages["m"].ReadyAt = Start + Millis(1'200);
    auto next = decideDispatch(state, request, Start + Millis(200));
    CHECK(std::holds_alternative<WaitUntil>(next.Decision));
  }
  SECTION("the forecast is long: weights are only in the store") {
    state.ModelUsages["m"].ForecastAt = Start + Millis(150);
    state.ModelUsages["m"].ReadyAt = Start + Millis(6'200);
    auto next = decideDispatch(state, request, Start + Millis(200));
    REQUIRE(refusalOf(next));
    CHECK(refusalOf(next)->Reason == RefusalReason::DeadlineUnreachable);
  }
  SECTION("the leader sends no forecast") {
    auto next = decideDispatch(state, request, Start + Millis(600));
    REQUIRE(refusalOf(next));
    CHECK(refusalOf(next)->Reason == RefusalReason::DeadlineUnreachable);
  }
  SECTION("there is no leader") {
    state.Leader = {};
    auto next = decideDispatch(state, request, Start + Millis(600));
    CHECK(std::holds_alternative<WaitUntil>(next.Decision));
    next = decideDispatch(state, request, Start + Millis(2'100));
    CHECK(refusalOf(next));
  }
}

namespace {

/// Applies an agent's report on its engine, which has "m" on disk.
void report(FrontState &State, const std::string &Address, bool IsBusy,
            const std::vector<std::string> &Models, TimePoint Now) {
  static uint64_t number = 0;
  wire::EngineReport it;
  it.mutable_self()->set_address("agent of " + Address);
  it.mutable_self()->set_incarnation(1);
  it.set_address(Address);
  it.set_number(++number);
  it.set_is_busy(IsBusy);
  it.set_has_available(true);
  it.add_on_disk("m");
  for (const std::string &model : Models)
    it.add_models()->set_name(model);
  applyReport(State.Directory, it, Now);
}

} // namespace

// After a power loss of the whole fleet, callers returned a second before a
// leader planned the first load, while engines with free memory stayed idle.
TEST_CASE("front requests a load of a cold model while there is no leader") {
  FrontState state = makeState();
  state.EndpointDiscoveryEnd = Start + Millis(1'800);
  FrontRequest request = admit(state, "/stream/x");
  CHECK_FALSE(decideDispatch(state, request, Start).LoadRequest);
  for (const char *it : {"10.0.0.1:7", "10.0.0.2:7", "10.0.0.3:7"})
    report(state, it, false, {}, Start);
  auto load = decideDispatch(state, request, Start).LoadRequest;
  REQUIRE(load);
  CHECK(load->Order.load() == "m");
  CHECK(load->Order.number() == 0);
  CHECK(load->Agent == "agent of " + load->Order.engine_address());
  // Another front with the same view chooses the same engine.
  FrontState other = makeState();
  for (const char *it : {"10.0.0.3:7", "10.0.0.2:7", "10.0.0.1:7"})
    report(other, it, false, {}, Start);
  other.EndpointDiscoveryEnd = state.EndpointDiscoveryEnd;
  FrontRequest same = admit(other, "/stream/x");
  CHECK(
      decideDispatch(other, same, Start).LoadRequest->Order.engine_address() ==
      load->Order.engine_address());
  // It does not repeat the request immediately, and chooses another engine if
  // the first became busy with something else.
  CHECK_FALSE(decideDispatch(state, request, Start + Millis(50)).LoadRequest);
  report(state, load->Order.engine_address(), true, {}, Start + Millis(100));
  auto next = decideDispatch(state, request, Start + Millis(300)).LoadRequest;
  REQUIRE(next);
  CHECK(next->Order.engine_address() != load->Order.engine_address());
}

TEST_CASE("front requests no load while a leader plans or no engine is free") {
  FrontState state = makeState();
  addEndpoint(state, "e1", "chat", "10.0.0.1:7", {}, {"m"});
  report(state, "10.0.0.1:7", false, {}, Start);
  state.Leader.HeardAt = Start;
  FrontRequest request = admit(state, "/stream/x");
  CHECK_FALSE(decideDispatch(state, request, Start).LoadRequest);
  // No forecast arrived in time: the leader does not respond.
  CHECK(decideDispatch(state, request, Start + Millis(600)).LoadRequest);
  state.ModelUsages["m"].NextAgentRequest = TimePoint();
  state.ModelUsages["m"].ForecastAt = Start + Millis(500);
  state.ModelUsages["m"].ReadyAt = Start + Millis(900);
  CHECK_FALSE(decideDispatch(state, request, Start + Millis(600)).LoadRequest);
  state.Leader.HeardAt = TimePoint();
  // A leading front receives no heartbeat from itself.
  state.IsLeading = true;
  CHECK_FALSE(decideDispatch(state, request, Start).LoadRequest);
  state.IsLeading = false;
  CHECK(decideDispatch(state, request, Start).LoadRequest);
  state.ModelUsages["m"].NextAgentRequest = TimePoint();
  report(state, "10.0.0.1:7", true, {}, Start);
  CHECK_FALSE(decideDispatch(state, request, Start).LoadRequest);
  report(state, "10.0.0.1:7", false, {"of unknown size"}, Start);
  CHECK_FALSE(decideDispatch(state, request, Start).LoadRequest);
}

TEST_CASE("admission refuses a request for each cause") {
  struct Case {
    const char *What;
    RequestAttributes Attributes;
    RefusalReason Reason;
  };
  RequestAttributes noKey = makeAttributes("/safe/x");
  noKey.Key.clear();
  RequestAttributes wrongKey = makeAttributes("/safe/x");
  wrongKey.Key = "other";
  RequestAttributes noHost = makeAttributes("/safe/x");
  noHost.Host.clear();
  const Case cases[] = {
      {"no key", noKey, RefusalReason::KeyMissing},
      {"unknown key", wrongKey, RefusalReason::KeyUnknown},
      {"no host", noHost, RefusalReason::BadRequest},
      {"no route", makeAttributes("/none/x"), RefusalReason::RouteUnknown},
  };
  for (const Case &it : cases) {
    INFO(it.What);
    FrontState state = makeState();
    auto out = admitRequest(state, it.Attributes, Start);
    auto *refusal = std::get_if<FrontRefusal>(&out);
    REQUIRE(refusal);
    CHECK(refusal->Reason == it.Reason);
  }
  FrontState withoutTable;
  auto out = admitRequest(withoutTable, makeAttributes("/safe/x"), Start);
  REQUIRE(std::get_if<FrontRefusal>(&out));
  CHECK(statusOf(std::get_if<FrontRefusal>(&out)->Reason) == 503);
}

TEST_CASE("request goes to an engine that holds its model") {
  FrontState state = makeState();
  addEndpoint(state, "e1", "chat", "10.0.0.1:80", {});
  addEndpoint(state, "e2", "chat", "10.0.0.2:80", {"m"});
  addEndpoint(state, "d1", "desk", "10.0.0.3:80", {});
  FrontRequest request = admit(state, "/stream/x");
  auto result = decideDispatch(state, request, Start);
  REQUIRE(std::get_if<SendTo>(&result.Decision));
  CHECK(std::get_if<SendTo>(&result.Decision)->Endpoint == "e2");
  FrontRequest plain = admit(state, "/once/x");
  auto sent = decideDispatch(state, plain, Start);
  REQUIRE(std::get_if<SendTo>(&sent.Decision));
  CHECK(std::get_if<SendTo>(&sent.Decision)->Endpoint == "d1");
}

TEST_CASE(
    "request waits for a cold model only while its load can complete in time") {
  FrontState state = makeState();
  addEndpoint(state, "e1", "chat", "10.0.0.1:80", {}, {"m"});
  FrontRequest onDisk = admit(state, "/stream/x");
  auto waits = decideDispatch(state, onDisk, Start);
  CHECK(std::get_if<WaitUntil>(&waits.Decision));
  CHECK(waits.DemandReport);
  // The model is only in the store, and a load of six seconds exceeds the
  // caller's first-byte deadline. This is certain once the leader has had time
  // to send a forecast for weights in memory or on disk.
  FrontState cold = makeState();
  cold.Leader.HeardAt = Start;
  addEndpoint(cold, "e1", "chat", "10.0.0.1:80", {});
  FrontRequest inStore = admit(cold, "/stream/x");
  TimePoint forecastDue = Start + Millis(500);
  auto refused = decideDispatch(cold, inStore, forecastDue);
  REQUIRE(refusalOf(refused));
  CHECK(refusalOf(refused)->Reason == RefusalReason::DeadlineUnreachable);
  CHECK(refusalOf(refused)->RetryAfter >= Millis(5'800));
  // The demand is reported all the same, for the caller's retry.
  CHECK(refused.DemandReport);
  // The caller's time ends before even a load from disk could complete.
  FrontRequest shortDeadline = admit(cold, "/stream/x");
  shortDeadline.FirstByteDeadline = Start + Millis(900);
  CHECK(refusalOf(decideDispatch(cold, shortDeadline, Start)));
}

// Callers with a first-byte deadline of 8 s waited for loads of 7.95 s that
// began 0.3 s later than forecast, and were refused after 7.4 s. Others were
// refused on arrival and retried after 6.7 s, but demand for their model was
// kept for only 3 s, so that it was not loaded: 30 of 34 callers of one model
// were refused over a whole day.
TEST_CASE(
    "caller that would barely wait long enough is refused with a retry time") {
  FrontState state = makeState();
  addEndpoint(state, "e1", "chat", "10.0.0.1:80", {"other"});
  state.Leader.HeardAt = Start;
  FrontRequest request = admit(state, "/stream/x");
  TimePoint now = Start + Millis(50);
  auto timeLeft =
      std::chrono::duration_cast<Millis>(request.FirstByteDeadline - now);
  ModelUsage &usage = state.ModelUsages["m"];
  usage.ForecastAt = now;
  usage.ReadyAt = now + timeLeft * 3 / 4;
  CHECK(std::holds_alternative<WaitUntil>(
      decideDispatch(state, request, now).Decision));
  usage.ReadyAt = now + timeLeft - Millis(50);
  const DispatchResult refused = decideDispatch(state, request, now);
  REQUIRE(refusalOf(refused) != nullptr);
  CHECK(refusalOf(refused)->RetryAfter >= timeLeft - Millis(50));
  CHECK(usage.RetryExpectedUntil - now >= state.Limits.MinDemandRetention);
  usage.ReadyAt = now + Millis(7'000);
  REQUIRE(refusalOf(decideDispatch(state, request, now)) != nullptr);
  CHECK(usage.RetryExpectedUntil - now >= Millis(7'000));
  usage.ReadyAt = now + std::chrono::minutes(1);
  REQUIRE(refusalOf(decideDispatch(state, request, now)) != nullptr);
  CHECK(usage.RetryExpectedUntil - now == state.Limits.MaxDemandRetention);
}

// Several models were on the disk of only one engine. Those with slightly more
// worth were loaded again and again, and callers of the others were refused
// after 7.4 s.
TEST_CASE("worth of a model grows with the waiting time of its callers") {
  FrontState state = makeState();
  addEndpoint(state, "e1", "chat", "10.0.0.1:80", {}, {"m"});
  state.Leader.HeardAt = Start;
  FrontRequest request = admit(state, "/stream/x");
  request.FirstByteDeadline = Start + Millis(20'000);
  request.Deadline = request.FirstByteDeadline;
  auto reportedWorth = [&](Millis After) {
    TimePoint now = Start + After;
    ModelUsage &usage = state.ModelUsages["m"];
    usage.ForecastAt = now;
    usage.ReadyAt = now + Millis(500);
    usage.NextDemandReport = TimePoint();
    state.Directory.Endpoints["e1"].HeardAt = now;
    state.Leader.HeardAt = now;
    auto demand = decideDispatch(state, request, now).DemandReport;
    REQUIRE(demand);
    return demand->waiting_worth();
  };
  double first = reportedWorth(Millis(0));
  CHECK(first == Approx(request.Worth));
  CHECK(reportedWorth(Millis(2'500)) == Approx(2 * first));
  CHECK(reportedWorth(Millis(5'000)) > reportedWorth(Millis(4'000)));
  CHECK(reportedWorth(Millis(15'000)) == Approx(4 * first));
  // The next caller starts without the increase.
  removeWaitingRequest(state, request);
  CHECK(reportedWorth(Millis(15'100)) == Approx(first));
}

TEST_CASE("leader's forecast decides on waiting while it is fresh") {
  FrontState state = makeState();
  addEndpoint(state, "e1", "chat", "10.0.0.1:80", {}, {"m"});
  FrontRequest request = admit(state, "/stream/x");
  ModelUsage &usage = state.ModelUsages["m"];
  usage.ForecastAt = Start;
  usage.ReadyAt = Start + Millis(9'000);
  CHECK(refusalOf(decideDispatch(state, request, Start)));
  FrontRequest later = admit(state, "/stream/x");
  auto result = decideDispatch(state, later, Start + Millis(1'100));
  CHECK(std::get_if<WaitUntil>(&result.Decision));
}

// In a burst that exceeds the engines' capacity, requests that can still start
// in time wait. The others are refused on arrival, not at their deadlines.
TEST_CASE("burst is refused at once where it cannot be served in time") {
  FrontState state = makeState();
  addEndpoint(state, "e1", "chat", "10.0.0.1:80", {"m"});
  size_t sent = 0;
  size_t waiting = 0;
  size_t refused = 0;
  for (int i = 0; i < 100; ++i) {
    FrontRequest request = admit(state, "/stream/x");
    auto result = decideDispatch(state, request, Start);
    if (auto *target = std::get_if<SendTo>(&result.Decision)) {
      recordDispatch(state, request, target->Endpoint, Start);
      ++sent;
    } else if (refusalOf(result)) {
      CHECK(statusOf(refusalOf(result)->Reason) == 503);
      CHECK(refusalOf(result)->RetryAfter > Millis(0));
      ++refused;
    } else {
      ++waiting;
    }
  }
  CHECK(sent == 5);
  CHECK(waiting > 0);
  CHECK(waiting < 20);
  CHECK(refused > 70);
}

TEST_CASE("service without endpoints is refused at once") {
  FrontState state = makeState();
  FrontRequest request = admit(state, "/once/x");
  auto result = decideDispatch(state, request, Start);
  REQUIRE(refusalOf(result));
  CHECK(refusalOf(result)->Reason == RefusalReason::NoCapacity);
}

TEST_CASE(
    "front that has just started waits for the endpoints' announcements") {
  FrontState state = makeState();
  state.EndpointDiscoveryEnd = Start + Millis(1'800);
  FrontRequest stream = admit(state, "/stream/x");
  auto first = decideDispatch(state, stream, Start);
  CHECK(std::holds_alternative<WaitUntil>(first.Decision));
  // All endpoints would have announced themselves by then: there are none.
  auto later = decideDispatch(state, stream, Start + Millis(1'800));
  CHECK(std::holds_alternative<FrontRefusal>(later.Decision));
  // A request whose deadline is earlier than that is refused at once.
  state.EndpointDiscoveryEnd = Start + Millis(20'000);
  FrontRequest other = admit(state, "/stream/x");
  CHECK(std::holds_alternative<FrontRefusal>(
      decideDispatch(state, other, Start).Decision));
}

TEST_CASE("failed exchange is repeated only where that is safe") {
  struct Case {
    const char *Path;
    ExchangeFailure Failure;
    bool HasResponse;
    bool IsRetry;
    unsigned Status; ///< Of the refusal if there is no retry.
  };
  const Case cases[] = {
      {"/once/x", ExchangeFailure::Unreachable, false, true, 503},
      {"/once/x", ExchangeFailure::Rejected, false, true, 503},
      {"/once/x", ExchangeFailure::Broken, false, false, 502},
      {"/once/x", ExchangeFailure::Error, true, false, 502},
      {"/safe/x", ExchangeFailure::Broken, false, true, 502},
      {"/safe/x", ExchangeFailure::Error, true, true, 502},
      {"/stream/x", ExchangeFailure::Broken, false, false, 502},
      {"/resume/x", ExchangeFailure::Broken, false, true, 502},
  };
  for (const Case &it : cases) {
    INFO(it.Path << " failure " << static_cast<int>(it.Failure));
    FrontState state = makeState();
    addEndpoint(state, "d1", "desk", "10.0.0.3:80", {});
    addEndpoint(state, "e1", "chat", "10.0.0.1:80", {"m"});
    FrontRequest request = admit(state, it.Path);
    const char *endpoint = request.Service == "desk" ? "d1" : "e1";
    recordDispatch(state, request, endpoint, Start);
    RetryDecision after = decideRetry(state, request, endpoint, it.Failure,
                                      it.HasResponse, Start);
    CHECK(after.IsRetry == it.IsRetry);
    // Only a request that certainly did not run may be reported as not run.
    bool saysNotRun = statusOf(after.Refusal.Reason) == 503;
    CHECK(saysNotRun == (request.Runs == 0));
    CHECK(statusOf(after.Refusal.Reason) == it.Status);
  }
}

// Engines rejected requests for some seconds. Each front has a small part of
// the retry budget. Once that was used up, callers that would have waited 12 s
// were refused 20 ms after their arrival, which was final for most of them.
TEST_CASE(
    "rejected request waits for retry budget until its first-byte deadline") {
  FrontState state = makeState();
  addEndpoint(state, "e1", "chat", "10.0.0.1:80", {"m"});
  state.Limits.Retries = {0.2, 0};
  FrontRequest request = admit(state, "/stream/x");
  recordDispatch(state, request, "e1", Start);
  recordExchangeEnd(state, request, "e1");
  RetryDecision after = decideRetry(state, request, "e1",
                                    ExchangeFailure::Rejected, false, Start);
  CHECK(after.IsRetry);
  TimePoint now = Start + Millis(100);
  auto waits = [&] {
    return std::holds_alternative<WaitUntil>(
        decideDispatch(state, request, now).Decision);
  };
  CHECK(waits());
  // Arriving requests refill the budget.
  state.Limits.Retries.Slack = 10;
  for (int i = 0; i < 8; ++i)
    recordRequest(state.Retries["chat"], state.Limits.Retries, {1, TimePoint()},
                  now);
  CHECK(std::holds_alternative<SendTo>(
      decideDispatch(state, request, now).Decision));
  CHECK_FALSE(request.NeedsRetryToken);
  // The wait ends at the first-byte deadline, and for a plain service at its
  // latency objective.
  state.Limits.Retries = {0, 0};
  state.Retries.clear();
  request.NeedsRetryToken = true;
  now = request.FirstByteDeadline + Millis(1);
  CHECK(refusalOf(decideDispatch(state, request, now)) != nullptr);
  addEndpoint(state, "d1", "desk", "10.0.0.3:80", {});
  FrontRequest plain = admit(state, "/safe/x");
  recordDispatch(state, plain, "d1", Start);
  after = decideRetry(state, plain, "d1", ExchangeFailure::Rejected, false,
                      plain.ObjectiveDeadline + Millis(1));
  CHECK_FALSE(after.IsRetry);
  CHECK(after.Refusal.Reason == RefusalReason::RetriesExhausted);
}

TEST_CASE("request reaches no more endpoints than its route allows") {
  FrontState state = makeState();
  for (int i = 1; i <= 6; ++i)
    addEndpoint(state, ("d" + std::to_string(i)).c_str(), "desk",
                ("10.0.0." + std::to_string(i) + ":80").c_str(), {});
  FrontRequest request = admit(state, "/safe/x");
  std::set<std::string> reached;
  while (true) {
    auto result = decideDispatch(state, request, Start);
    auto *target = std::get_if<SendTo>(&result.Decision);
    REQUIRE(target);
    CHECK(reached.insert(target->Endpoint).second);
    recordDispatch(state, request, target->Endpoint, Start);
    if (!decideRetry(state, request, target->Endpoint, ExchangeFailure::Broken,
                     false, Start)
             .IsRetry)
      break;
  }
  CHECK(reached.size() == 2);
}

namespace {

ServingTablePtr makeTableWithMemory(uint64_t KvTokens) {
  auto table = std::make_shared<ServingTable>(*makeTable());
  table->Services["chat"].Engine->KvTokens = KvTokens;
  table->Services["chat"].Engine->Slots = 48;
  indexServingTable(*table);
  return table;
}

/// Fronts that send large requests to engines of which each fails when its
/// requests exceed its memory. Reports come late, and state what was in use
/// some time before.
class MemoryReplay {
public:
  static constexpr double Memory = 138'000;
  static constexpr size_t FrontCount = 20;
  static constexpr int EngineCount = 4;

  MemoryReplay(bool FailsWhenFull, uint64_t Seed) : Random(Seed) {
    for (size_t i = 0; i < FrontCount; ++i) {
      Fronts.push_back(makeState());
      FrontState &state = Fronts.back();
      state.Table = makeTableWithMemory(Memory);
      state.Limits.EnginesFailWhenFull = FailsWhenFull;
      state.FrontCountTold = FrontCount;
      state.Random.seed(Seed * FrontCount + i);
      for (int engine = 0; engine < EngineCount; ++engine) {
        std::string id = "e" + std::to_string(engine);
        addEndpoint(state, id.c_str(), "chat", addressOf(engine).c_str(),
                    {"m"});
        state.Directory.Endpoints[id].Slots = 48;
      }
    }
  }

  /// Most memory that one engine's requests could take up, within 30 s.
  double run() {
    double most = 0;
    for (TimePoint now = Start; now < Start + Millis(30'000);
         now += Millis(10)) {
      endRequests(now);
      report(now);
      for (auto &state : Fronts)
        for (auto &[id, it] : state.Directory.Endpoints)
          it.HeardAt = now;
      // Bursts: five times the usual rate for three seconds in every six.
      bool isBurst = (now - Start) % Millis(6'000) < Millis(3'000);
      if (Random() % 100 < (isBurst ? 100 : 20))
        send(now);
      for (int engine = 0; engine < EngineCount; ++engine)
        most = std::max(most, reserved(engine));
    }
    return most;
  }

  size_t SentCount = 0;

private:
  struct Running {
    TimePoint Began;
    TimePoint Ends;
    size_t Front;
    FrontRequest Request;
  };

  static std::string addressOf(int Engine) {
    return "10.0.0." + std::to_string(Engine + 1) + ":80";
  }

  double reserved(int Engine) const {
    double out = 0;
    for (const Running &it : Engines[Engine])
      out += static_cast<double>(it.Request.Attributes.PromptTokens +
                                 it.Request.Attributes.OutputTokens);
    return out;
  }

  void endRequests(TimePoint Now) {
    for (int engine = 0; engine < EngineCount; ++engine)
      std::erase_if(Engines[engine], [&](const Running &it) {
        if (it.Ends > Now)
          return false;
        recordExchangeEnd(Fronts[it.Front], it.Request,
                          "e" + std::to_string(engine));
        return true;
      });
  }

  void report(TimePoint Now) {
    for (int engine = 0; engine < EngineCount; ++engine) {
      if ((Now - Start) % Millis(800) != Millis(engine * 200))
        continue;
      wire::EngineReport message;
      message.mutable_self()->set_incarnation(1);
      message.set_address(addressOf(engine));
      message.set_number(++ReportNumber);
      message.set_born_ms(1);
      message.set_kv_total(static_cast<uint64_t>(Memory));
      message.add_models()->set_name("m");
      uint32_t active = 0;
      uint64_t used = 0;
      for (const Running &it : Engines[engine]) {
        if (Now - it.Began < Millis(300))
          continue;
        ++active;
        used += it.Request.Attributes.PromptTokens;
      }
      message.set_active(active);
      message.set_kv_used(used);
      NodeMessages unused;
      for (FrontState &state : Fronts)
        handleEngineReport(state, message, Now, unused);
    }
  }

  void send(TimePoint Now) {
    size_t front = Random() % FrontCount;
    auto attributes = makeAttributes("/stream/x");
    attributes.HasTokenCounts = true;
    attributes.PromptTokens = 1'500 + Random() % 2'000;
    attributes.OutputTokens = 900;
    auto admitted = admitRequest(Fronts[front], attributes, Now);
    REQUIRE(std::holds_alternative<FrontRequest>(admitted));
    auto &request = std::get<FrontRequest>(admitted);
    request.Number = ++LastNumber;
    auto result = decideDispatch(Fronts[front], request, Now);
    auto *target = std::get_if<SendTo>(&result.Decision);
    if (!target) {
      removeWaitingRequest(Fronts[front], request);
      return;
    }
    recordDispatch(Fronts[front], request, target->Endpoint, Now);
    ++SentCount;
    int engine = target->Endpoint[1] - '0';
    Engines[engine].push_back(
        {Now, Now + Millis(800 + Random() % 1'600), front, request});
  }

  std::mt19937_64 Random;
  std::vector<FrontState> Fronts;
  std::vector<Running> Engines[EngineCount];
  uint64_t ReportNumber = 0;
  uint64_t LastNumber = 0;
};

} // namespace

// Requests were counted by slots only: 48 of them took twice the memory.
TEST_CASE("requests of many fronts never exceed the memory of an engine") {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    INFO("seed " << seed);
    MemoryReplay bounded(true, seed);
    double most = bounded.run();
    CHECK(most <= MemoryReplay::Memory);
    // The bound leaves the engines in use.
    CHECK(most > MemoryReplay::Memory / 2);
    MemoryReplay unbounded(false, seed);
    CHECK(unbounded.run() > MemoryReplay::Memory);
    INFO("most " << most << " sent " << bounded.SentCount << " unbounded "
                 << unbounded.SentCount);
    CHECK(bounded.SentCount > unbounded.SentCount / 2);
  }
}

TEST_CASE("request that is larger than every engine is refused at once") {
  FrontState state = makeState();
  state.Table = makeTableWithMemory(4'000);
  addEndpoint(state, "e1", "chat", "10.0.0.1:80", {"m"});
  auto attributes = makeAttributes("/stream/x");
  attributes.HasTokenCounts = true;
  attributes.PromptTokens = 3'500;
  attributes.OutputTokens = 501;
  auto admitted = admitRequest(state, attributes, Start);
  REQUIRE(std::holds_alternative<FrontRequest>(admitted));
  auto request = std::get<FrontRequest>(admitted);
  auto result = decideDispatch(state, request, Start);
  REQUIRE(refusalOf(result));
  CHECK(refusalOf(result)->Reason == RefusalReason::LargerThanEngine);
  CHECK_FALSE(refusalOf(result)->RetryAfter);
  request.Attributes.OutputTokens = 500;
  auto next = decideDispatch(state, request, Start);
  CHECK(std::holds_alternative<SendTo>(next.Decision));
}

TEST_CASE("engine that stops requests itself is used without room, as the last "
          "choice") {
  FrontState state = makeState();
  state.Table = makeTableWithMemory(4'000);
  addEndpoint(state, "e1", "chat", "10.0.0.1:80", {"m"});
  addEndpoint(state, "e2", "chat", "10.0.0.2:80", {"m"});
  recordMemoryReport(state.Records["e1"], 3'000, Start);
  recordLoadReport(state.Records["e2"], 1, EngineReportLifetime, Start);
  auto attributes = makeAttributes("/stream/x");
  attributes.HasTokenCounts = true;
  attributes.PromptTokens = 1'200;
  auto admitted = admitRequest(state, attributes, Start);
  REQUIRE(std::holds_alternative<FrontRequest>(admitted));
  auto request = std::get<FrontRequest>(admitted);
  for (int i = 0; i < 20; ++i) {
    auto result = decideDispatch(state, request, Start);
    REQUIRE(std::holds_alternative<SendTo>(result.Decision));
    CHECK(std::get<SendTo>(result.Decision).Endpoint == "e2");
  }
  recordMemoryReport(state.Records["e2"], 3'000, Start);
  auto full = decideDispatch(state, request, Start);
  CHECK(std::holds_alternative<SendTo>(full.Decision));
  state.Limits.EnginesFailWhenFull = true;
  auto bounded = decideDispatch(state, request, Start);
  CHECK_FALSE(std::holds_alternative<SendTo>(bounded.Decision));
}
