/// \file
/// Orders of the process beside an engine: memory is never overcommitted,
/// whatever answers are lost, late or doubled.
#include "engine_agent/engine_orders.h"

#include <catch2/catch.hpp>

#include <random>

using namespace sassafras;

namespace {

const TimePoint Start = TimePoint() + std::chrono::hours(1);

wire::EngineSizes sizes() {
  wire::EngineSizes out;
  out.set_weights_mb(100);
  out.set_adapter_slots(3);
  for (int i = 0; i < 6; ++i) {
    wire::ModelSize &model = *out.add_models();
    model.set_name("m" + std::to_string(i));
    model.set_weights_mb(40);
    model.set_adapter_mb(2);
  }
  return out;
}

wire::EngineOrder order(uint64_t Number, const std::string &Load,
                        const std::vector<std::string> &Evict) {
  wire::EngineOrder out;
  out.set_number(Number);
  out.set_load(Load);
  for (const std::string &it : Evict)
    out.add_evict(it);
  *out.mutable_sizes() = sizes();
  out.set_expires_in_ms(5'000);
  return out;
}

wire::AdapterWish wish(const std::string &Model, const std::string &Adapter) {
  wire::AdapterWish out;
  out.set_model(Model);
  out.set_adapter(Adapter);
  *out.mutable_sizes() = sizes();
  return out;
}

wire::EngineReport reading(uint64_t Sequence,
                           const std::vector<std::string> &Models) {
  wire::EngineReport out;
  out.set_born_ms(5);
  out.set_order_sequence(Sequence);
  for (const std::string &it : Models)
    out.add_models()->set_name(it);
  return out;
}

} // namespace

TEST_CASE("order unloads only as far as needed, then loads") {
  EngineAgentState state;
  takeReading(state, reading(4, {"m0", "m1"}));
  REQUIRE(takeOrder(state, order(1, "m2", {"m1", "m0"}), Start));
  auto first = decideOrder(state, Start);
  REQUIRE(first);
  CHECK_FALSE(first->IsLoad);
  CHECK(first->Model == "m1");
  CHECK(first->ExpectedSequence == 4);
  takeReading(state, reading(5, {"m0"}));
  auto second = decideOrder(state, Start);
  REQUIRE(second);
  CHECK(second->IsLoad);
  CHECK(second->Model == "m2");
  takeReading(state, reading(6, {"m0", "m2"}));
  CHECK_FALSE(decideOrder(state, Start));
  CHECK(state.OrderDone == 1);
}

TEST_CASE("nothing is ordered while the engine is busy, unknown or silent") {
  EngineAgentState state;
  REQUIRE(takeOrder(state, order(1, "m2", {}), Start));
  CHECK_FALSE(decideOrder(state, Start));
  wire::EngineReport busy = reading(1, {});
  busy.set_is_busy(true);
  takeReading(state, busy);
  CHECK_FALSE(decideOrder(state, Start));
  takeReading(state, reading(1, {"stranger"}));
  CHECK_FALSE(decideOrder(state, Start));
  CHECK(state.OrderDone == 1);
}

TEST_CASE("old and doubled orders change nothing") {
  EngineAgentState state;
  takeReading(state, reading(0, {}));
  REQUIRE(takeOrder(state, order(9, "m1", {}), Start));
  CHECK_FALSE(takeOrder(state, order(8, "m2", {}), Start));
  CHECK_FALSE(takeOrder(state, order(9, "m2", {}), Start));
  CHECK(decideOrder(state, Start)->Model == "m1");
}

TEST_CASE("order of a front without a leader undoes nothing") {
  EngineAgentState state;
  CHECK_FALSE(takeOrder(state, order(0, "m1", {}), Start));
  takeReading(state, reading(0, {}));
  CHECK_FALSE(takeOrder(state, order(0, "m1", {"m2"}), Start));
  REQUIRE(takeOrder(state, order(0, "m1", {}), Start));
  CHECK_FALSE(takeOrder(state, order(0, "m2", {}), Start));
  CHECK(decideOrder(state, Start)->Model == "m1");
  // A leader's order goes before it; then a front's order waits.
  REQUIRE(takeOrder(state, order(7, "m3", {}), Start));
  CHECK(decideOrder(state, Start)->Model == "m3");
  CHECK_FALSE(takeOrder(state, order(0, "m1", {}), Start));
  takeReading(state, reading(1, {"m3"}));
  CHECK_FALSE(decideOrder(state, Start));
  CHECK(state.OrderDone == 7);
  REQUIRE(takeOrder(state, order(0, "m1", {}), Start));
  CHECK_FALSE(takeOrder(state, order(7, "m2", {}), Start));
  // What does not fit beside the rest is not loaded.
  takeReading(state, reading(2, {"m3", "m4"}));
  CHECK_FALSE(decideOrder(state, Start));
  CHECK_FALSE(state.Goal);
}

// An engine was replaced by one with an empty disk. A load that was to take
// half a second came from the store, beside those that the leader knew of, and
// kept the engine for 15.6 s.
TEST_CASE("load from near is given up where the weights are not near") {
  for (uint64_t number : {uint64_t(0), uint64_t(4)}) {
    EngineAgentState state;
    wire::EngineReport empty = reading(0, {});
    empty.set_has_available(true);
    empty.add_on_disk("m2");
    takeReading(state, empty);
    REQUIRE(takeOrder(state, order(number, "m1", {}), Start));
    CHECK_FALSE(decideOrder(state, Start));
    CHECK(state.OrderDone == number);
    REQUIRE(takeOrder(state, order(number + 1, "m2", {}), Start));
    CHECK(decideOrder(state, Start)->Model == "m2");
    wire::EngineOrder fromStore = order(number + 2, "m1", {});
    fromStore.set_may_use_store(true);
    REQUIRE(takeOrder(state, fromStore, Start));
    CHECK(decideOrder(state, Start)->Model == "m1");
  }
}

TEST_CASE("order ends with its time or with the engine's process") {
  EngineAgentState state;
  takeReading(state, reading(0, {}));
  REQUIRE(takeOrder(state, order(1, "m1", {}), Start));
  CHECK_FALSE(decideOrder(state, Start + Millis(5'001)));
  CHECK(state.OrderDone == 1);
  REQUIRE(takeOrder(state, order(2, "m1", {}), Start));
  wire::EngineReport reborn = reading(0, {});
  reborn.set_born_ms(6);
  takeReading(state, reborn);
  CHECK(state.OrderDone == 2);
}

TEST_CASE("adapters take places and memory, the least used one gives way") {
  EngineAgentState state;
  wire::EngineReport full = reading(3, {"m0"});
  for (const char *it : {"a1", "a2"})
    full.mutable_models(0)->add_adapters(it);
  full.add_incoming("m0/a3@1");
  takeReading(state, full);
  takeAdapterWish(state, wish("m0", "a1"), Start);
  takeAdapterWish(state, wish("m0", "a3"), Start);
  CHECK_FALSE(decideOrder(state, Start));
  takeAdapterWish(state, wish("m0", "a4"), Start);
  auto decision = decideOrder(state, Start);
  REQUIRE(decision);
  CHECK_FALSE(decision->IsLoad);
  CHECK(decision->Adapter == "a2");
}

TEST_CASE("model that makes way takes no new work and no adapters") {
  EngineAgentState state;
  takeReading(state, reading(0, {"m0", "m1"}));
  REQUIRE(takeOrder(state, order(1, "m2", {"m0"}), Start));
  CHECK(leavingModels(state) == std::set<std::string>{"m0"});
  takeAdapterWish(state, wish("m0", "a1"), Start);
  auto decision = decideOrder(state, Start);
  REQUIRE(decision);
  CHECK(decision->Adapter.empty());
}

// The engine leaves some orders unanswered and carries them out late; each
// names the number of orders accepted before it, so that it is either the
// next one or none at all.
TEST_CASE("memory holds when orders are carried out late") {
  for (unsigned seed = 1; seed <= 200; ++seed) {
    std::mt19937 random(seed);
    EngineAgentState state;
    std::set<std::string> held{"m0", "m1"};
    uint64_t sequence = 0;
    uint64_t number = 0;
    std::vector<EngineDecision> late;
    TimePoint now = Start;
    auto carryOut = [&](const EngineDecision &it) {
      if (it.ExpectedSequence != sequence)
        return;
      ++sequence;
      if (it.IsLoad)
        held.insert(it.Model);
      else
        held.erase(it.Model);
      INFO("seed " << seed);
      REQUIRE(held.size() * 40 <= 100);
    };
    for (int step = 0; step < 200; ++step, now += Millis(100)) {
      if (!late.empty() && random() % 4 == 0) {
        size_t i = random() % late.size();
        carryOut(late[i]);
        late.erase(late.begin() + static_cast<long>(i));
      }
      takeReading(state, reading(sequence, {held.begin(), held.end()}));
      if (random() % 5 == 0)
        takeOrder(state,
                  order(++number, "m" + std::to_string(random() % 6),
                        {held.begin(), held.end()}),
                  now);
      auto decision = decideOrder(state, now);
      if (!decision)
        continue;
      if (random() % 2)
        late.push_back(*decision);
      else
        carryOut(*decision);
    }
  }
}
