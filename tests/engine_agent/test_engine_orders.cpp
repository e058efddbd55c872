/// \file
/// Order handling of an engine agent: the engine's memory is never
/// overcommitted, also when responses are lost or commands are executed late.
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

wire::AdapterRequest adapterRequest(const std::string &Model,
                                    const std::string &Adapter) {
  wire::AdapterRequest out;
  out.set_model(Model);
  out.set_adapter(Adapter);
  *out.mutable_sizes() = sizes();
  return out;
}

wire::EngineReport report(uint64_t Sequence,
                          const std::vector<std::string> &Models) {
  wire::EngineReport out;
  out.set_born_ms(5);
  out.set_order_sequence(Sequence);
  for (const std::string &it : Models)
    out.add_models()->set_name(it);
  return out;
}

} // namespace

TEST_CASE("order unloads only as many models as needed, then loads") {
  EngineAgentState state;
  applyEngineReport(state, report(4, {"m0", "m1"}));
  REQUIRE(acceptOrder(state, order(1, "m2", {"m1", "m0"}), Start));
  auto first = chooseCommand(state, Start);
  REQUIRE(first);
  CHECK_FALSE(first->IsLoad);
  CHECK(first->Model == "m1");
  CHECK(first->ExpectedSequence == 4);
  applyEngineReport(state, report(5, {"m0"}));
  auto second = chooseCommand(state, Start);
  REQUIRE(second);
  CHECK(second->IsLoad);
  CHECK(second->Model == "m2");
  applyEngineReport(state, report(6, {"m0", "m2"}));
  CHECK_FALSE(chooseCommand(state, Start));
  CHECK(state.OrderDone == 1);
}

TEST_CASE(
    "no command while the engine is busy, its state or a model size unknown") {
  EngineAgentState state;
  REQUIRE(acceptOrder(state, order(1, "m2", {}), Start));
  CHECK_FALSE(chooseCommand(state, Start));
  wire::EngineReport busy = report(1, {});
  busy.set_is_busy(true);
  applyEngineReport(state, busy);
  CHECK_FALSE(chooseCommand(state, Start));
  applyEngineReport(state, report(1, {"unknown"}));
  CHECK_FALSE(chooseCommand(state, Start));
  CHECK(state.OrderDone == 1);
}

TEST_CASE("old and duplicate orders are rejected") {
  EngineAgentState state;
  applyEngineReport(state, report(0, {}));
  REQUIRE(acceptOrder(state, order(9, "m1", {}), Start));
  CHECK_FALSE(acceptOrder(state, order(8, "m2", {}), Start));
  CHECK_FALSE(acceptOrder(state, order(9, "m2", {}), Start));
  CHECK(chooseCommand(state, Start)->Model == "m1");
}

TEST_CASE("order of a front without a leader undoes no other order") {
  EngineAgentState state;
  CHECK_FALSE(acceptOrder(state, order(0, "m1", {}), Start));
  applyEngineReport(state, report(0, {}));
  CHECK_FALSE(acceptOrder(state, order(0, "m1", {"m2"}), Start));
  REQUIRE(acceptOrder(state, order(0, "m1", {}), Start));
  CHECK_FALSE(acceptOrder(state, order(0, "m2", {}), Start));
  CHECK(chooseCommand(state, Start)->Model == "m1");
  // A leader's order replaces it; a front's order is rejected until it is done.
  REQUIRE(acceptOrder(state, order(7, "m3", {}), Start));
  CHECK(chooseCommand(state, Start)->Model == "m3");
  CHECK_FALSE(acceptOrder(state, order(0, "m1", {}), Start));
  applyEngineReport(state, report(1, {"m3"}));
  CHECK_FALSE(chooseCommand(state, Start));
  CHECK(state.OrderDone == 7);
  REQUIRE(acceptOrder(state, order(0, "m1", {}), Start));
  CHECK_FALSE(acceptOrder(state, order(7, "m2", {}), Start));
  // A model that does not fit into the free memory is not loaded.
  applyEngineReport(state, report(2, {"m3", "m4"}));
  CHECK_FALSE(chooseCommand(state, Start));
  CHECK_FALSE(state.Goal);
}

// An engine was replaced by one with an empty disk. A load from the local disk,
// which should have taken half a second, then came from the store, in addition
// to the store loads that the leader had counted, and kept the engine busy for
// 15.6 s.
TEST_CASE("load from local weights is abandoned when the engine lacks them") {
  for (uint64_t number : {uint64_t(0), uint64_t(4)}) {
    EngineAgentState state;
    wire::EngineReport empty = report(0, {});
    empty.set_has_available(true);
    empty.add_on_disk("m2");
    applyEngineReport(state, empty);
    REQUIRE(acceptOrder(state, order(number, "m1", {}), Start));
    CHECK_FALSE(chooseCommand(state, Start));
    CHECK(state.OrderDone == number);
    REQUIRE(acceptOrder(state, order(number + 1, "m2", {}), Start));
    CHECK(chooseCommand(state, Start)->Model == "m2");
    wire::EngineOrder fromStore = order(number + 2, "m1", {});
    fromStore.set_may_use_store(true);
    REQUIRE(acceptOrder(state, fromStore, Start));
    CHECK(chooseCommand(state, Start)->Model == "m1");
  }
}

TEST_CASE("order ends when it expires or the engine restarts") {
  EngineAgentState state;
  applyEngineReport(state, report(0, {}));
  REQUIRE(acceptOrder(state, order(1, "m1", {}), Start));
  CHECK_FALSE(chooseCommand(state, Start + Millis(5'001)));
  CHECK(state.OrderDone == 1);
  REQUIRE(acceptOrder(state, order(2, "m1", {}), Start));
  wire::EngineReport restarted = report(0, {});
  restarted.set_born_ms(6);
  applyEngineReport(state, restarted);
  CHECK(state.OrderDone == 2);
}

TEST_CASE("adapters use slots and memory, the least recently used is evicted") {
  EngineAgentState state;
  wire::EngineReport full = report(3, {"m0"});
  for (const char *it : {"a1", "a2"})
    full.mutable_models(0)->add_adapters(it);
  full.add_incoming("m0/a3@1");
  applyEngineReport(state, full);
  acceptAdapterRequest(state, adapterRequest("m0", "a1"), Start);
  acceptAdapterRequest(state, adapterRequest("m0", "a3"), Start);
  CHECK_FALSE(chooseCommand(state, Start));
  acceptAdapterRequest(state, adapterRequest("m0", "a4"), Start);
  auto command = chooseCommand(state, Start);
  REQUIRE(command);
  CHECK_FALSE(command->IsLoad);
  CHECK(command->Adapter == "a2");
}

TEST_CASE("model to be evicted accepts no new work and no adapters") {
  EngineAgentState state;
  applyEngineReport(state, report(0, {"m0", "m1"}));
  REQUIRE(acceptOrder(state, order(1, "m2", {"m0"}), Start));
  CHECK(listEvictingModels(state) == std::set<std::string>{"m0"});
  acceptAdapterRequest(state, adapterRequest("m0", "a1"), Start);
  auto command = chooseCommand(state, Start);
  REQUIRE(command);
  CHECK(command->Adapter.empty());
}

// The engine leaves some commands unanswered and executes them late. Each
// command carries the number of commands accepted before it, so it is executed
// as the next one or not at all.
TEST_CASE("memory is not overcommitted when commands are executed late") {
  for (unsigned seed = 1; seed <= 200; ++seed) {
    std::mt19937 random(seed);
    EngineAgentState state;
    std::set<std::string> held{"m0", "m1"};
    uint64_t sequence = 0;
    uint64_t number = 0;
    std::vector<PlannedCommand> late;
    TimePoint now = Start;
    auto execute = [&](const PlannedCommand &it) {
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
        execute(late[i]);
        late.erase(late.begin() + static_cast<long>(i));
      }
      applyEngineReport(state, report(sequence, {held.begin(), held.end()}));
      if (random() % 5 == 0)
        acceptOrder(state,
                    order(++number, "m" + std::to_string(random() % 6),
                          {held.begin(), held.end()}),
                    now);
      auto command = chooseCommand(state, now);
      if (!command)
        continue;
      if (random() % 2)
        late.push_back(*command);
      else
        execute(*command);
    }
  }
}
