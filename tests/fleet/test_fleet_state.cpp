/// \file
/// Contract of the replicated state machine: limits are checked where a
/// decision is applied, edits and operations have one winner.
#include "fleet/fleet_state.h"
#include "fleet/table.h"

#include <catch2/catch.hpp>

#include <functional>

using namespace sassafras;

namespace {

wire::TableEdit makeEdit(uint64_t Base, const char *Csv) {
  TableProblem problem;
  auto rows = parseTable(Csv, problem);
  INFO(describe(problem));
  REQUIRE(rows);
  wire::TableEdit edit;
  edit.set_base_version(Base);
  for (const wire::TableRow &it : *rows)
    *edit.add_rows() = it;
  return edit;
}

constexpr const char *Table = "kind,name,base,memory_mb,max_replicas,rate,"
                              "burst,path,repeatable\n"
                              "organisation,alpha,,,,5,50,,\n"
                              "model,m1,,400,2,,,,\n"
                              "model,m2,,500,1,,,,\n"
                              "model,m3,,200,1,,,,\n"
                              "adapter,a1,m1,100,1,,,,\n"
                              "service,pay,,,,,,/pay,no\n";

struct Bench {
  Bench() {
    wire::Command command;
    *command.mutable_table_edit() = makeEdit(0, Table);
    apply(command);
    for (const char *it : {"e1", "e2", "e3"})
      endpoint(it, 7, false);
  }

  wire::ProposalReply apply(const wire::Command &Command) {
    return applyCommand(State, Command, ++Index);
  }
  void endpoint(const char *Name, uint64_t Engine, bool IsLeaving) {
    wire::Command command;
    wire::Endpoint &it = *command.mutable_endpoint_change()->mutable_endpoint();
    it.set_name(Name);
    it.set_incarnation(3);
    it.set_engine_incarnation(Engine);
    it.set_memory_mb(1000);
    it.set_leaving(IsLeaving);
    apply(command);
  }
  wire::ProposalStatus replica(const char *Row, const char *Endpoint,
                               wire::ReplicaPhase Phase, uint64_t Fence = 0,
                               bool IsRemoved = false, uint64_t Reporter = 0,
                               uint64_t Engine = 7) {
    wire::Command command;
    wire::ReplicaChange &change = *command.mutable_replica_change();
    change.set_remove(IsRemoved);
    change.set_reporter(Reporter);
    wire::Replica &it = *change.mutable_replica();
    it.set_row(Row);
    it.set_endpoint(Endpoint);
    it.set_phase(Phase);
    it.set_fence(Fence);
    it.set_engine_incarnation(Engine);
    const wire::TableRow *row = findRow(State.Items, Row);
    it.set_memory_mb(row ? row->memory_mb() : 1);
    it.set_is_adapter(row && row->kind() == wire::ROW_ADAPTER);
    it.set_base(row ? row->base() : "");
    return apply(command).status();
  }
  uint64_t fenceOf(const char *Row, const char *Endpoint) const {
    return findReplica(State.Items, Endpoint, Row)->fence();
  }
  void load(const char *Row, const char *Endpoint) {
    replica(Row, Endpoint, wire::PHASE_LOADING);
    replica(Row, Endpoint, wire::PHASE_LOADED, fenceOf(Row, Endpoint));
  }

  FleetState State;
  uint64_t Index = 0;
};

struct Case {
  const char *What;
  std::function<wire::ProposalStatus(Bench &)> Do;
  wire::ProposalStatus Status;
};

constexpr auto Loading = wire::PHASE_LOADING;
constexpr auto Loaded = wire::PHASE_LOADED;
constexpr auto Unloading = wire::PHASE_UNLOADING;
constexpr auto Good = wire::PROPOSAL_ACCEPTED;
constexpr auto Bad = wire::PROPOSAL_INVALID;

} // namespace

TEST_CASE("replica decisions are checked when they are applied") {
  const Case cases[] = {
      {"room and a free replica",
       [](Bench &It) { return It.replica("m1", "e1", Loading); }, Good},
      {"memory is taken, also by what only loads",
       [](Bench &It) {
         It.replica("m1", "e1", Loading);
         It.replica("m2", "e1", Loading);
         return It.replica("m3", "e1", Loading);
       },
       Bad},
      {"memory is taken by what is being unloaded",
       [](Bench &It) {
         It.load("m1", "e1");
         It.load("m2", "e1");
         It.replica("m1", "e1", Unloading, It.fenceOf("m1", "e1"));
         return It.replica("m3", "e1", Loading);
       },
       Bad},
      {"all replicas of the row exist",
       [](Bench &It) {
         It.load("m1", "e1");
         It.load("m1", "e2");
         return It.replica("m1", "e3", Loading);
       },
       Bad},
      {"a replica that is being unloaded counts",
       [](Bench &It) {
         It.load("m2", "e1");
         It.replica("m2", "e1", Unloading, It.fenceOf("m2", "e1"));
         return It.replica("m2", "e2", Loading);
       },
       Bad},
      {"the same row twice on one endpoint",
       [](Bench &It) {
         It.load("m1", "e1");
         return It.replica("m1", "e1", Loading);
       },
       Bad},
      {"endpoint unknown",
       [](Bench &It) { return It.replica("m1", "e9", Loading); }, Bad},
      {"endpoint leaves",
       [](Bench &It) {
         It.endpoint("e1", 7, true);
         return It.replica("m1", "e1", Loading);
       },
       Bad},
      {"endpoint has another process by now",
       [](Bench &It) {
         return It.replica("m1", "e1", Loading, 0, false, 0, 6);
       },
       Bad},
      {"row unknown", [](Bench &It) { return It.replica("m9", "e1", Loading); },
       Bad},
      {"adapter without its model",
       [](Bench &It) { return It.replica("a1", "e1", Loading); }, Bad},
      {"adapter above its loaded model",
       [](Bench &It) {
         It.load("m1", "e1");
         return It.replica("a1", "e1", Loading);
       },
       Good},
      {"model below an adapter cannot go",
       [](Bench &It) {
         It.load("m1", "e1");
         It.load("a1", "e1");
         return It.replica("m1", "e1", Unloading, It.fenceOf("m1", "e1"));
       },
       Bad},
      {"report about another decision",
       [](Bench &It) {
         It.replica("m1", "e1", Loading);
         return It.replica("m1", "e1", Loaded, 1);
       },
       Bad},
      {"report of an earlier agent process",
       [](Bench &It) {
         It.replica("m1", "e1", Loading);
         return It.replica("m1", "e1", Loaded, It.fenceOf("m1", "e1"), true, 2);
       },
       Bad},
      {"report of the present agent process",
       [](Bench &It) {
         It.replica("m1", "e1", Loading);
         return It.replica("m1", "e1", Loaded, It.fenceOf("m1", "e1"), true, 3);
       },
       Good},
      {"unloading does not turn back",
       [](Bench &It) {
         It.load("m1", "e1");
         It.replica("m1", "e1", Unloading, It.fenceOf("m1", "e1"));
         return It.replica("m1", "e1", Loaded, It.fenceOf("m1", "e1"));
       },
       Bad},
  };
  for (const Case &it : cases) {
    INFO(it.What);
    Bench bench;
    CHECK(it.Do(bench) == it.Status);
  }
}

TEST_CASE("new endpoint process frees what the old one held") {
  Bench bench;
  bench.load("m1", "e1");
  bench.endpoint("e1", 8, false);
  CHECK_FALSE(findReplica(bench.State.Items, "e1", "m1"));
}

TEST_CASE("of edits on one version one wins, and a resend gets its answer") {
  Bench bench;
  wire::Command first;
  first.set_operation_id("first");
  *first.mutable_table_edit() = makeEdit(1, Table);
  wire::Command second = first;
  second.set_operation_id("second");
  CHECK(bench.apply(first).status() == Good);
  CHECK(bench.apply(second).status() == wire::PROPOSAL_CONFLICT);
  auto again = bench.apply(first);
  CHECK(again.status() == Good);
  CHECK(again.table_version() == 2);
  CHECK(bench.State.TableVersion == 2);
  CHECK(bench.apply(second).status() == wire::PROPOSAL_CONFLICT);
}

TEST_CASE("edit with a fault changes nothing") {
  Bench bench;
  wire::Command command;
  *command.mutable_table_edit() = makeEdit(1, Table);
  command.mutable_table_edit()->mutable_rows(4)->set_base("nothing");
  CHECK(bench.apply(command).status() == Bad);
  CHECK(bench.State.TableVersion == 1);
  CHECK(findRow(bench.State.Items, "a1")->base() == "m1");
}

TEST_CASE("claim is held once, set free only without an outcome") {
  Bench bench;
  auto claim = [&](const char *Id) {
    wire::Command command;
    command.mutable_claim()->set_digest("d");
    command.mutable_claim()->set_request_id(Id);
    command.mutable_claim()->set_window_ms(1000);
    return bench.apply(command).status();
  };
  auto outcome = [&](const char *Id, bool IsNotRun) {
    wire::Command command;
    command.mutable_claim_outcome()->set_digest("d");
    command.mutable_claim_outcome()->set_request_id(Id);
    command.mutable_claim_outcome()->set_not_run(IsNotRun);
    return bench.apply(command).status();
  };
  CHECK(claim("r1") == Good);
  CHECK(claim("r1") == Good);
  CHECK(claim("r2") == wire::PROPOSAL_DUPLICATE);
  CHECK(outcome("r2", true) == Bad);
  CHECK(outcome("r1", true) == Good);
  CHECK(claim("r2") == Good);
  CHECK(outcome("r2", false) == Good);
  CHECK(outcome("r2", true) == Bad);
  CHECK(claim("r3") == wire::PROPOSAL_DUPLICATE);
  // The window counts in the fleet's time.
  wire::Command later;
  later.set_fleet_time_ms(5000);
  later.mutable_noop();
  bench.apply(later);
  CHECK(claim("r4") == Good);
}

TEST_CASE("snapshot gives the same state back") {
  Bench bench;
  bench.load("m1", "e1");
  wire::Command command;
  command.set_operation_id("grant");
  command.mutable_key_grant()->set_key_id("k");
  command.mutable_key_grant()->set_key_hash("h");
  command.mutable_key_grant()->set_tenant("alpha");
  bench.apply(command);
  wire::Snapshot snapshot;
  saveFleet(bench.State, snapshot);
  snapshot.set_index(bench.Index);
  FleetState again;
  loadFleet(again, snapshot);
  wire::Snapshot copy;
  saveFleet(again, copy);
  copy.set_index(again.Version);
  CHECK(copy.SerializeAsString() == snapshot.SerializeAsString());
}
