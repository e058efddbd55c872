/// \file
/// Decisions of a front on one request: taken or refused, where it goes, and
/// what follows a failure. Whether it may have run is the point throughout.
#include "front/dispatch.h"
#include "front/event_cutter.h"

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
  return state;
}

void addEndpoint(FrontState &State, const char *Id, const char *Service,
                 const char *Address, const std::vector<std::string> &Models,
                 const std::vector<std::string> &OnDisk = {}) {
  wire::EndpointSighting it;
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
  applySighting(State.Directory, it, Start);
}

RequestFacts facts(const std::string &Path, const std::string &Model = "m") {
  RequestFacts out;
  out.Id = "id";
  out.Host = "h";
  out.Path = Path;
  out.Key = "key";
  out.Model = Model;
  return out;
}

FrontRequest admit(FrontState &State, const std::string &Path) {
  auto out = admitRequest(State, facts(Path), Start);
  REQUIRE(std::holds_alternative<FrontRequest>(out));
  static uint64_t number = 0;
  std::get<FrontRequest>(out).Number = ++number;
  return std::get<FrontRequest>(out);
}

const FrontRefusal *refusalOf(const DispatchResult &Result) {
  return std::get_if<FrontRefusal>(&Result.Decision);
}

} // namespace

// The leader was too busy to answer in time: its callers were held until their
// deadlines in place of being told when to come back.
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
  CHECK(first.QuotaWish);
  state.Quotas["first"].PoolRequestedAt = TimePoint();
  auto last = decideDispatch(state, request, Start + Millis(210));
  REQUIRE(refusalOf(last));
  CHECK(refusalOf(last)->Reason == RefusalReason::RateExceeded);
}

// Only the leader hears which engines have weights near: a front that has not
// been told yet took every cold model for one that comes from the store.
TEST_CASE("cold request waits for the leader's forecast before it is refused") {
  FrontState state = makeState();
  addEndpoint(state, "i-1", "chat", "10.0.0.1:7", {"other"});
  state.Leader.Node = "leader";
  state.Leader.HeardAt = Start;
  FrontRequest request = admit(state, "/stream/x");
  DispatchResult first = decideDispatch(state, request, Start);
  CHECK(std::holds_alternative<WaitUntil>(first.Decision));
  CHECK(first.Wish);
  SECTION("the leader knows of near weights") {
    state.Rows["m"].ForecastAt = Start + Millis(150);
    state.Rows["m"].ReadyAt = Start + Millis(1'200);
    auto next = decideDispatch(state, request, Start + Millis(200));
    CHECK(std::holds_alternative<WaitUntil>(next.Decision));
  }
  SECTION("the leader knows of none") {
    state.Rows["m"].ForecastAt = Start + Millis(150);
    state.Rows["m"].ReadyAt = Start + Millis(6'200);
    auto next = decideDispatch(state, request, Start + Millis(200));
    REQUIRE(refusalOf(next));
    CHECK(refusalOf(next)->Reason == RefusalReason::DeadlineUnreachable);
  }
  SECTION("the leader says nothing") {
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

/// An agent tells of its engine, with "m" on its disk.
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

// Everything had lost power: callers were back a second before a leader planned
// the first load, and engines with free memory stood idle meanwhile.
TEST_CASE("front asks for a cold model itself while nobody leads") {
  FrontState state = makeState();
  state.EndpointsKnownAt = Start + Millis(1'800);
  FrontRequest request = admit(state, "/stream/x");
  CHECK_FALSE(decideDispatch(state, request, Start).Load);
  for (const char *it : {"10.0.0.1:7", "10.0.0.2:7", "10.0.0.3:7"})
    report(state, it, false, {}, Start);
  auto load = decideDispatch(state, request, Start).Load;
  REQUIRE(load);
  CHECK(load->Order.load() == "m");
  CHECK(load->Order.number() == 0);
  CHECK(load->Agent == "agent of " + load->Order.engine_address());
  // Another front with the same view asks the same engine.
  FrontState other = makeState();
  for (const char *it : {"10.0.0.3:7", "10.0.0.2:7", "10.0.0.1:7"})
    report(other, it, false, {}, Start);
  other.EndpointsKnownAt = state.EndpointsKnownAt;
  FrontRequest same = admit(other, "/stream/x");
  CHECK(decideDispatch(other, same, Start).Load->Order.engine_address() ==
        load->Order.engine_address());
  // Not again at once; and if the engine has begun something else, another one.
  CHECK_FALSE(decideDispatch(state, request, Start + Millis(50)).Load);
  report(state, load->Order.engine_address(), true, {}, Start + Millis(100));
  auto next = decideDispatch(state, request, Start + Millis(300)).Load;
  REQUIRE(next);
  CHECK(next->Order.engine_address() != load->Order.engine_address());
}

TEST_CASE("front asks for no load where a leader plans or nothing is free") {
  FrontState state = makeState();
  addEndpoint(state, "e1", "chat", "10.0.0.1:7", {}, {"m"});
  report(state, "10.0.0.1:7", false, {}, Start);
  state.Leader.HeardAt = Start;
  FrontRequest request = admit(state, "/stream/x");
  CHECK_FALSE(decideDispatch(state, request, Start).Load);
  // The leader fell silent: no forecast came in time.
  CHECK(decideDispatch(state, request, Start + Millis(600)).Load);
  state.Rows["m"].NextAsk = TimePoint();
  state.Rows["m"].ForecastAt = Start + Millis(500);
  state.Rows["m"].ReadyAt = Start + Millis(900);
  CHECK_FALSE(decideDispatch(state, request, Start + Millis(600)).Load);
  state.Leader.HeardAt = TimePoint();
  // A leader does not hear itself.
  state.IsLeading = true;
  CHECK_FALSE(decideDispatch(state, request, Start).Load);
  state.IsLeading = false;
  CHECK(decideDispatch(state, request, Start).Load);
  state.Rows["m"].NextAsk = TimePoint();
  report(state, "10.0.0.1:7", true, {}, Start);
  CHECK_FALSE(decideDispatch(state, request, Start).Load);
  report(state, "10.0.0.1:7", false, {"of unknown size"}, Start);
  CHECK_FALSE(decideDispatch(state, request, Start).Load);
}

TEST_CASE("request is refused at the door for each cause") {
  struct Case {
    const char *What;
    RequestFacts Facts;
    RefusalReason Reason;
  };
  RequestFacts noKey = facts("/safe/x");
  noKey.Key.clear();
  RequestFacts wrongKey = facts("/safe/x");
  wrongKey.Key = "other";
  RequestFacts noHost = facts("/safe/x");
  noHost.Host.clear();
  const Case cases[] = {
      {"no key", noKey, RefusalReason::KeyMissing},
      {"unknown key", wrongKey, RefusalReason::KeyUnknown},
      {"no host", noHost, RefusalReason::BadRequest},
      {"no route", facts("/none/x"), RefusalReason::RouteUnknown},
  };
  for (const Case &it : cases) {
    INFO(it.What);
    FrontState state = makeState();
    auto out = admitRequest(state, it.Facts, Start);
    auto *refusal = std::get_if<FrontRefusal>(&out);
    REQUIRE(refusal);
    CHECK(refusal->Reason == it.Reason);
  }
  FrontState blank;
  auto out = admitRequest(blank, facts("/safe/x"), Start);
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

TEST_CASE("cold model is waited for only while its load can be over in time") {
  FrontState state = makeState();
  addEndpoint(state, "e1", "chat", "10.0.0.1:80", {}, {"m"});
  FrontRequest near = admit(state, "/stream/x");
  auto waits = decideDispatch(state, near, Start);
  CHECK(std::get_if<WaitUntil>(&waits.Decision));
  CHECK(waits.Wish);
  // Only the store has it: six seconds are beyond the caller's patience. That
  // is certain once the leader has had time to tell of weights that are near.
  FrontState cold = makeState();
  cold.Leader.HeardAt = Start;
  addEndpoint(cold, "e1", "chat", "10.0.0.1:80", {});
  FrontRequest far = admit(cold, "/stream/x");
  TimePoint told = Start + Millis(500);
  auto refused = decideDispatch(cold, far, told);
  REQUIRE(refusalOf(refused));
  CHECK(refusalOf(refused)->Reason == RefusalReason::DeadlineUnreachable);
  CHECK(refusalOf(refused)->RetryAfter >= Millis(5'800));
  // It is loaded all the same for when the caller comes back.
  CHECK(refused.Wish);
  // A caller whose time ends before even near weights could be loaded.
  FrontRequest hasty = admit(cold, "/stream/x");
  hasty.PatienceEnd = Start + Millis(900);
  CHECK(refusalOf(decideDispatch(cold, hasty, Start)));
}

// Callers with 8 s of patience waited for loads of 7.95 s, which began 0.3 s
// later than forecast, and were refused after 7.4 s. Those that were refused at
// once came back after 6.7 s; their model was wanted for 3 s only, and was not
// loaded meanwhile: 30 of 34 callers of one model were refused all day.
TEST_CASE(
    "caller who would hardly wait long enough is told when to come back") {
  FrontState state = makeState();
  addEndpoint(state, "e1", "chat", "10.0.0.1:80", {"other"});
  state.Leader.HeardAt = Start;
  FrontRequest request = admit(state, "/stream/x");
  TimePoint now = Start + Millis(50);
  auto patience = std::chrono::duration_cast<Millis>(request.PatienceEnd - now);
  RowUse &row = state.Rows["m"];
  row.ForecastAt = now;
  row.ReadyAt = now + patience * 3 / 4;
  CHECK(std::holds_alternative<WaitUntil>(
      decideDispatch(state, request, now).Decision));
  row.ReadyAt = now + patience - Millis(50);
  const DispatchResult refused = decideDispatch(state, request, now);
  REQUIRE(refusalOf(refused) != nullptr);
  CHECK(refusalOf(refused)->RetryAfter >= patience - Millis(50));
  CHECK(row.WantedUntil - now >= state.Limits.WishMemory);
  row.ReadyAt = now + Millis(7'000);
  REQUIRE(refusalOf(decideDispatch(state, request, now)) != nullptr);
  CHECK(row.WantedUntil - now >= Millis(7'000));
  row.ReadyAt = now + std::chrono::minutes(1);
  REQUIRE(refusalOf(decideDispatch(state, request, now)) != nullptr);
  CHECK(row.WantedUntil - now == state.Limits.MostWishMemory);
}

// Several models lay on the disk of one engine only. Those that were worth a
// little more were loaded over and over, and callers of the others were refused
// after 7.4 s.
TEST_CASE("model whose callers have waited long is worth more to them") {
  FrontState state = makeState();
  addEndpoint(state, "e1", "chat", "10.0.0.1:80", {}, {"m"});
  state.Leader.HeardAt = Start;
  FrontRequest request = admit(state, "/stream/x");
  request.PatienceEnd = Start + Millis(20'000);
  request.Deadline = request.PatienceEnd;
  auto told = [&](Millis After) {
    TimePoint now = Start + After;
    RowUse &row = state.Rows["m"];
    row.ForecastAt = now;
    row.ReadyAt = now + Millis(500);
    row.NextWish = TimePoint();
    state.Directory.Endpoints["e1"].HeardAt = now;
    state.Leader.HeardAt = now;
    auto wish = decideDispatch(state, request, now).Wish;
    REQUIRE(wish);
    return wish->waiting_worth();
  };
  double first = told(Millis(0));
  CHECK(first == Approx(request.Worth));
  CHECK(told(Millis(2'500)) == Approx(2 * first));
  CHECK(told(Millis(5'000)) > told(Millis(4'000)));
  CHECK(told(Millis(15'000)) == Approx(4 * first));
  // Who comes next does not inherit it.
  forgetRequest(state, request);
  CHECK(told(Millis(15'100)) == Approx(first));
}

TEST_CASE("leader's forecast decides on waiting while it is fresh") {
  FrontState state = makeState();
  addEndpoint(state, "e1", "chat", "10.0.0.1:80", {}, {"m"});
  FrontRequest request = admit(state, "/stream/x");
  RowUse &row = state.Rows["m"];
  row.ForecastAt = Start;
  row.ReadyAt = Start + Millis(9'000);
  CHECK(refusalOf(decideDispatch(state, request, Start)));
  FrontRequest later = admit(state, "/stream/x");
  auto result = decideDispatch(state, later, Start + Millis(1'100));
  CHECK(std::get_if<WaitUntil>(&result.Decision));
}

// A burst beyond what the engines can take: those that can still start in
// time wait, the rest is refused when it comes, not when its time is over.
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
      noteDispatched(state, request, target->Endpoint);
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
  state.EndpointsKnownAt = Start + Millis(1'800);
  FrontRequest stream = admit(state, "/stream/x");
  auto first = decideDispatch(state, stream, Start);
  CHECK(std::holds_alternative<WaitUntil>(first.Decision));
  // They were to be heard by then: there are none.
  auto later = decideDispatch(state, stream, Start + Millis(1'800));
  CHECK(std::holds_alternative<FrontRefusal>(later.Decision));
  // One that would be too late by then is refused at once.
  state.EndpointsKnownAt = Start + Millis(20'000);
  FrontRequest other = admit(state, "/stream/x");
  CHECK(std::holds_alternative<FrontRefusal>(
      decideDispatch(state, other, Start).Decision));
}

TEST_CASE("failed exchange is repeated only where that is safe") {
  struct Case {
    const char *Path;
    ExchangeFailure Failure;
    bool HasAnswer;
    bool IsRetry;
    unsigned Status; ///< Of the refusal, without a retry.
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
    noteDispatched(state, request, endpoint);
    AfterFailure after = decideAfterFailure(state, request, endpoint,
                                            it.Failure, it.HasAnswer, Start);
    CHECK(after.IsRetry == it.IsRetry);
    // Only what has surely not run may be told so.
    bool saysNotRun = statusOf(after.Refusal.Reason) == 503;
    CHECK(saysNotRun == (request.Runs == 0));
    CHECK(statusOf(after.Refusal.Reason) == it.Status);
  }
}

// Engines shed requests for some seconds. Each front has a small part of the
// budget; once it was used up, callers that would have waited 12 s were refused
// 20 ms after they had come, most of them for good.
TEST_CASE("rejected request waits for the retry budget within its patience") {
  FrontState state = makeState();
  addEndpoint(state, "e1", "chat", "10.0.0.1:80", {"m"});
  state.Limits.Retries = {0.2, 0};
  FrontRequest request = admit(state, "/stream/x");
  noteDispatched(state, request, "e1");
  noteExchangeOver(state, request, "e1");
  AfterFailure after = decideAfterFailure(
      state, request, "e1", ExchangeFailure::Rejected, false, Start);
  CHECK(after.IsRetry);
  TimePoint now = Start + Millis(100);
  auto waits = [&] {
    return std::holds_alternative<WaitUntil>(
        decideDispatch(state, request, now).Decision);
  };
  CHECK(waits());
  // Arrivals fill the budget up.
  state.Limits.Retries.Slack = 10;
  for (int i = 0; i < 8; ++i)
    recordRequest(state.Retries["chat"], state.Limits.Retries, 1);
  CHECK(std::holds_alternative<SendTo>(
      decideDispatch(state, request, now).Decision));
  CHECK_FALSE(request.AwaitsRetry);
  // Not for ever, and not beyond what a plain service's caller aims at.
  state.Limits.Retries = {0, 0};
  state.Retries.clear();
  request.AwaitsRetry = true;
  now = request.PatienceEnd + Millis(1);
  CHECK(refusalOf(decideDispatch(state, request, now)) != nullptr);
  addEndpoint(state, "d1", "desk", "10.0.0.3:80", {});
  FrontRequest plain = admit(state, "/safe/x");
  noteDispatched(state, plain, "d1");
  after = decideAfterFailure(state, plain, "d1", ExchangeFailure::Rejected,
                             false, plain.ObjectiveEnd + Millis(1));
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
    noteDispatched(state, request, target->Endpoint);
    if (!decideAfterFailure(state, request, target->Endpoint,
                            ExchangeFailure::Broken, false, Start)
             .IsRetry)
      break;
  }
  CHECK(reached.size() == 2);
}

TEST_CASE("stream is cut at the bounds of its events, wherever bytes break") {
  const std::string whole = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n"
                            "data: no id\n\nid: 7\ndata: c\n\n";
  for (size_t step = 1; step < whole.size(); ++step) {
    EventCutter cutter;
    std::string out;
    for (size_t i = 0; i < whole.size(); i += step)
      out += cutEvents(cutter, std::string_view(whole).substr(i, step));
    CHECK(out == whole);
    CHECK(cutter.Rest.empty());
    CHECK(cutter.LastId == 7u);
  }
  EventCutter cut;
  CHECK(cutEvents(cut, "id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
  CHECK(cut.LastId == 1u);
  CHECK(cut.Rest == "id: 2\nda");
}
