/// \file
/// What the leader tells fronts of the models that it has loaded, and how it
/// answers wishes for tokens.
#include "front/leader_work.h"

#include <catch2/catch.hpp>

#include <functional>

#include <limits>

using namespace sassafras;

namespace {

const TimePoint Start = TimePoint() + std::chrono::hours(1);
constexpr const char *EngineAddress = "10.0.0.1:7";
constexpr Millis StoreLoad{6'000};

/// One engine that holds "old" and shall load "new" from the store.
struct Led {
  FrontState State;
  LeaderState Leader;

  Led() {
    auto table = std::make_shared<ServingTable>();
    table->Version = 1;
    EngineSpec spec;
    spec.Slots = 4;
    spec.WeightsMb = 100;
    spec.LoadsPerSecond = 10;
    for (const char *name : {"old", "new"}) {
      ModelSpec model;
      model.Name = name;
      model.WeightsMb = 90;
      model.StoreLoad = StoreLoad;
      model.DiskLoad = Millis(500);
      spec.Models[name] = model;
    }
    table->Services["chat"].Name = "chat";
    table->Services["chat"].Engine = spec;
    OrganisationSpec limited;
    limited.Name = "limited";
    limited.RatePerSecond = 1'000;
    limited.Burst = 1'000;
    table->Organisations.push_back(limited);
    indexServingTable(*table);
    State.Table = table;
    State.Self.set_name("front");
    openLeader(Leader, 2, Start);
    sight("old", false, Start);
    OpenOrder order;
    order.Number = 1;
    order.Endpoint = "i-1";
    order.Model = "new";
    order.Evict = {"old"};
    order.IsFromStore = true;
    order.ReadyAt = Start + StoreLoad;
    order.Expires = Start + std::chrono::minutes(1);
    Leader.Orders[EngineAddress] = order;
  }

  /// The engine reports what it holds.
  void sight(const std::string &Model, bool IsBusy, TimePoint Now,
             const std::string &Id = "i-1",
             const std::string &Address = EngineAddress) {
    wire::EndpointSighting it;
    it.set_id(Id);
    it.set_service("chat");
    it.set_address(Address);
    it.set_born_ms(1);
    it.set_sequence(++Sequence);
    it.set_slots(4);
    applySighting(State.Directory, it, Now);
    wire::EngineReport report;
    report.mutable_self()->set_name("agent-" + Id);
    report.mutable_self()->set_incarnation(1);
    report.set_address(Address);
    report.set_born_ms(1);
    report.set_number(Sequence);
    report.set_is_busy(IsBusy);
    report.set_has_available(true);
    report.set_loading(Loading);
    report.set_order_done(OrderDone);
    for (const std::string &it : OnDisk)
      report.add_on_disk(it);
    if (!Model.empty())
      report.add_models()->set_name(Model);
    applyReport(State.Directory, report, Now);
  }

  /// When the front believes that "new" will be there, with callers waiting.
  TimePoint readyAt(TimePoint Now, double Worth = 1) {
    wire::RowDemand row;
    row.set_model("new");
    row.set_waiting(1);
    row.set_waiting_worth(Worth);
    takeWish(Leader, "front", row, Now);
    NodeMessages out;
    planPlacement(Leader, State, Now, out);
    Leader.NextForecast = Now;
    tellForecasts(Leader, State, Now, out);
    return State.Rows["new"].ReadyAt;
  }

  uint64_t Sequence = 0;
  std::string Loading; ///< By the engine's agent.
  uint64_t OrderDone = 0;
  std::vector<std::string> OnDisk;
};

} // namespace

// Everything had lost power. The new leader had not heard yet what lies on the
// engines' disks: it took 10 of 60 models for ones that only the store has,
// told their callers to go away, and loaded three from the store that lay on a
// disk.
TEST_CASE("new leader takes no model for one of the store before it knows") {
  Led led;
  led.Leader.Orders.clear();
  wire::EndpointSighting silent;
  silent.set_id("i-2");
  silent.set_service("chat");
  silent.set_address("10.0.0.2:7");
  silent.set_born_ms(1);
  silent.set_sequence(1);
  applySighting(led.State.Directory, silent, Start);
  TimePoint now = Start + Millis(300);
  CHECK(led.readyAt(now, 10) <= now + Millis(1'000));
  CHECK(led.Leader.Orders.empty());
  // The engine that said nothing of its weights is not waited for for ever.
  now = Start + Millis(2'600);
  led.sight("old", false, now);
  addToRate(led.Leader.Demand.Rates["new"].ShortWorth, 50, ShortWindow, now);
  CHECK(led.readyAt(now, 10) >= now + StoreLoad);
  CHECK(led.Leader.Orders.size() == 1);
}

// An unload waited 2.4 s for a running request; the load from the store that
// followed was forecast anew from every moment after it, and its callers were
// refused two seconds before it was over.
TEST_CASE("load that began late is forecast from when it began") {
  Led test;
  TimePoint begun = Start + Millis(2'400);
  test.sight("", true, begun);
  CHECK(test.readyAt(begun) == begun + StoreLoad);
  TimePoint later = Start + Millis(7'000);
  test.sight("", true, later);
  CHECK(test.readyAt(later) == begun + StoreLoad);
}

TEST_CASE("load that waits for an unload is not taken as begun") {
  Led test;
  TimePoint later = Start + Millis(8'000);
  test.sight("old", true, later);
  CHECK(test.readyAt(later) > later + StoreLoad);
}

// A lease that was lost and regained within a term set the numbers of orders
// back, and agents took none of them until the numbers had caught up.
// Two leaders in a row ordered the same model from the store, at two engines,
// and with it more loads at once than the store serves at full speed.
TEST_CASE("new leader knows of loads that an earlier one ordered") {
  Led led;
  openLeader(led.Leader, 3, Start);
  led.Loading = "new";
  led.sight("old", true, Start + Millis(100));
  led.Loading.clear();
  led.sight("", false, Start + Millis(100), "i-2", "10.0.0.2:7");
  recordArrival(led.Leader.Demand.Rates["new"], 10, Start + Millis(1'000));
  // The other engine is free, but the model is on its way.
  TimePoint readyAt = led.readyAt(Start + Millis(1'000));
  CHECK(led.Leader.Orders.empty());
  CHECK(readyAt == Start + Millis(100) + StoreLoad);
  led.sight("old", false, Start + Millis(1'100));
  led.readyAt(Start + Millis(2'000));
  CHECK(led.Leader.Orders.size() == 1);
}

// A model lay on one disk only, at an engine that loaded another one from the
// store for 11.7 s. Its callers were told half a second, waited for 7.4 s and
// were refused then.
TEST_CASE("model near an engine that is under order is forecast after it") {
  Led led;
  led.OnDisk = {"new"};
  led.sight("old", true, Start);
  OpenOrder &order = led.Leader.Orders[EngineAddress];
  order.Model = "old";
  order.HasBegun = true;
  order.Evict.clear();
  TimePoint now = Start + Millis(300);
  order.ReadyAt = now + Millis(4'000);
  CHECK(led.readyAt(now) >= now + Millis(4'500));
  CHECK(led.readyAt(now) <= now + Millis(5'000));
  // Over its time it still is under order, for how long nobody knows.
  order.ReadyAt = now - Millis(1'000);
  CHECK(led.readyAt(now) >= now + Millis(2'000));
  // The store may be sooner.
  order.IsFromStore = false;
  order.ReadyAt = now + std::chrono::minutes(1);
  CHECK(led.readyAt(now) <= now + StoreLoad + Millis(500));
}

// Two rare models lay on the disk of one engine and were waited for. Each load
// made the other model give way in the moment in which it was there, before the
// fronts had sent what waited for it: one load in five of a day served nobody.
TEST_CASE("model that was just loaded stays until its callers are sent") {
  Led led;
  led.OrderDone = 1;
  TimePoint loaded = Start + Millis(1'000);
  led.sight("new", false, loaded);
  auto plan = [&](TimePoint Now) {
    wire::RowDemand row;
    row.set_model("old");
    row.set_waiting(1);
    row.set_waiting_worth(20);
    takeWish(led.Leader, "front", row, Now);
    addToRate(led.Leader.Demand.Rates["old"].ShortWorth, 50, ShortWindow, Now);
    NodeMessages out;
    planPlacement(led.Leader, led.State, Now, out);
    return led.Leader.Orders.size();
  };
  CHECK(plan(loaded + Millis(20)) == 0);
  CHECK(plan(loaded + Millis(600)) == 0);
  led.sight("new", false, loaded + Millis(900));
  CHECK(plan(loaded + Millis(900)) == 1);
}

// Ten engines were taken away with three loads from the store under way. For
// 27 s no other load from the store was ordered, and all callers of models that
// lay on no engine were refused.
TEST_CASE("order at an engine that is gone holds no place at the store") {
  struct Case {
    const char *What;
    std::function<void(wire::EndpointSighting &)> Change;
    Millis After;
    bool IsHeld;
  };
  const Case cases[] = {
      {"engine is there", [](wire::EndpointSighting &) {}, Millis(300), true},
      {"engine drains, its load goes on",
       [](wire::EndpointSighting &it) { it.set_is_draining(true); },
       Millis(300), true},
      {"engine left", [](wire::EndpointSighting &it) { it.set_has_left(true); },
       Millis(300), false},
      {"engine was taken away",
       [](wire::EndpointSighting &it) {
         it.set_is_draining(true);
         it.set_remaining_ms(2'000);
       },
       Millis(2'100), false},
      {"engine fell silent", [](wire::EndpointSighting &) {},
       EndpointSilence + Millis(300), false},
      {"another engine has its address",
       [](wire::EndpointSighting &it) {
         it.set_id("i-2");
         it.set_born_ms(2);
       },
       Millis(300), false},
  };
  for (const Case &it : cases) {
    INFO(it.What);
    Led led;
    wire::EndpointSighting sighting;
    sighting.set_id("i-1");
    sighting.set_service("chat");
    sighting.set_address(EngineAddress);
    sighting.set_born_ms(1);
    sighting.set_sequence(100);
    sighting.set_slots(4);
    it.Change(sighting);
    applySighting(led.State.Directory, sighting, Start);
    NodeMessages out;
    led.Leader.NextPlan = Start;
    planPlacement(led.Leader, led.State, Start + it.After, out);
    CHECK(led.Leader.Orders.contains(EngineAddress) == it.IsHeld);
  }
}

TEST_CASE("leader that regains its lease goes on with its orders") {
  Led test;
  test.Leader.NextOrder += 40;
  uint64_t next = test.Leader.NextOrder;
  openLeader(test.Leader, 2, Start + Millis(500));
  CHECK(test.Leader.NextOrder == next);
  CHECK(test.Leader.Orders.size() == 1);
  openLeader(test.Leader, 3, Start + Millis(900));
  CHECK(test.Leader.NextOrder > next);
  CHECK(test.Leader.Orders.empty());
}

TEST_CASE("wishes for tokens are answered within the limit, and bad ones not") {
  Led test;
  wire::QuotaWish wish;
  wish.set_organisation("limited");
  wish.set_wanted(300);
  wish.set_least(300);
  auto grant = answerQuotaWish(test.Leader, test.State, wish, Start);
  REQUIRE(grant);
  CHECK(grant->granted() == 300);
  CHECK(grant->term() == 2);
  double sum = 0;
  for (int i = 0; i < 1'000; ++i)
    sum += answerQuotaWish(test.Leader, test.State, wish, Start)->granted();
  CHECK(sum <= 2'000);
  auto refused = answerQuotaWish(test.Leader, test.State, wish, Start);
  CHECK(refused->granted() == 0);
  CHECK(refused->wait_ms() > 0);
  wish.set_least(400);
  CHECK_FALSE(answerQuotaWish(test.Leader, test.State, wish, Start));
  wish.set_least(-1);
  CHECK_FALSE(answerQuotaWish(test.Leader, test.State, wish, Start));
  wish.set_least(std::numeric_limits<double>::quiet_NaN());
  CHECK_FALSE(answerQuotaWish(test.Leader, test.State, wish, Start));
  wish.set_least(300);
  wish.set_organisation("nobody");
  CHECK_FALSE(answerQuotaWish(test.Leader, test.State, wish, Start));
}
