/// \file
/// Tests of the replicated state machine: limits are checked when a command is
/// applied, and only one of several edits of the same version is accepted.
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

struct Fixture {
  Fixture() {
    wire::Command command;
    *command.mutable_table_edit() = makeEdit(0, Table);
    apply(command);
    for (const char *it : {"e1", "e2", "e3"})
      putEndpoint(it, 7, false);
  }

  wire::ProposalReply apply(const wire::Command &Command) {
    return applyCommand(State, Command, ++Index);
  }
  void putEndpoint(const char *Name, uint64_t Engine, bool IsLeaving) {
    wire::Command command;
    wire::Endpoint &it = *command.mutable_endpoint_change()->mutable_endpoint();
    it.set_name(Name);
    it.set_incarnation(3);
    it.set_engine_incarnation(Engine);
    it.set_memory_mb(1000);
    it.set_leaving(IsLeaving);
    apply(command);
  }
  wire::ProposalStatus
  changeReplica(const char *Row, const char *Endpoint, wire::ReplicaPhase Phase,
                uint64_t FencingToken = 0, bool IsRemoved = false,
                uint64_t Reporter = 0, uint64_t Engine = 7) {
    wire::Command command;
    wire::ReplicaChange &change = *command.mutable_replica_change();
    change.set_remove(IsRemoved);
    change.set_reporter(Reporter);
    wire::Replica &it = *change.mutable_replica();
    it.set_row(Row);
    it.set_endpoint(Endpoint);
    it.set_phase(Phase);
    it.set_fence(FencingToken);
    it.set_engine_incarnation(Engine);
    const wire::TableRow *row = findRow(State.Items, Row);
    it.set_memory_mb(row ? row->memory_mb() : 1);
    it.set_is_adapter(row && row->kind() == wire::ROW_ADAPTER);
    it.set_base(row ? row->base() : "");
    return apply(command).status();
  }
  uint64_t fencingTokenOf(const char *Row, const char *Endpoint) const {
    return findReplica(State.Items, Endpoint, Row)->fence();
  }
  void load(const char *Row, const char *Endpoint) {
    changeReplica(Row, Endpoint, wire::PHASE_LOADING);
    changeReplica(Row, Endpoint, wire::PHASE_LOADED,
                  fencingTokenOf(Row, Endpoint));
  }

  FleetState State;
  uint64_t Index = 0;
};

struct Case {
  const char *What;
  std::function<wire::ProposalStatus(Fixture &)> Run;
  wire::ProposalStatus Status;
};

constexpr auto Loading = wire::PHASE_LOADING;
constexpr auto Loaded = wire::PHASE_LOADED;
constexpr auto Unloading = wire::PHASE_UNLOADING;
constexpr auto Accepted = wire::PROPOSAL_ACCEPTED;
constexpr auto Invalid = wire::PROPOSAL_INVALID;

} // namespace

TEST_CASE("replica changes are checked when they are applied") {
  const Case cases[] = {
      {"enough memory and a free replica",
       [](Fixture &It) { return It.changeReplica("m1", "e1", Loading); },
       Accepted},
      {"memory is used up, also by a loading replica",
       [](Fixture &It) {
         It.changeReplica("m1", "e1", Loading);
         It.changeReplica("m2", "e1", Loading);
         return It.changeReplica("m3", "e1", Loading);
       },
       Invalid},
      {"memory is used up, also by an unloading replica",
       [](Fixture &It) {
         It.load("m1", "e1");
         It.load("m2", "e1");
         It.changeReplica("m1", "e1", Unloading, It.fencingTokenOf("m1", "e1"));
         return It.changeReplica("m3", "e1", Loading);
       },
       Invalid},
      {"row has reached max_replicas",
       [](Fixture &It) {
         It.load("m1", "e1");
         It.load("m1", "e2");
         return It.changeReplica("m1", "e3", Loading);
       },
       Invalid},
      {"unloading replica counts towards max_replicas",
       [](Fixture &It) {
         It.load("m2", "e1");
         It.changeReplica("m2", "e1", Unloading, It.fencingTokenOf("m2", "e1"));
         return It.changeReplica("m2", "e2", Loading);
       },
       Invalid},
      {"the same row twice on one endpoint",
       [](Fixture &It) {
         It.load("m1", "e1");
         return It.changeReplica("m1", "e1", Loading);
       },
       Invalid},
      {"endpoint unknown",
       [](Fixture &It) { return It.changeReplica("m1", "e9", Loading); },
       Invalid},
      {"endpoint is leaving",
       [](Fixture &It) {
         It.putEndpoint("e1", 7, true);
         return It.changeReplica("m1", "e1", Loading);
       },
       Invalid},
      {"engine process is not the current one",
       [](Fixture &It) {
         return It.changeReplica("m1", "e1", Loading, 0, false, 0, 6);
       },
       Invalid},
      {"row unknown",
       [](Fixture &It) { return It.changeReplica("m9", "e1", Loading); },
       Invalid},
      {"adapter without its model",
       [](Fixture &It) { return It.changeReplica("a1", "e1", Loading); },
       Invalid},
      {"adapter whose base model is loaded",
       [](Fixture &It) {
         It.load("m1", "e1");
         return It.changeReplica("a1", "e1", Loading);
       },
       Accepted},
      {"model with a loaded adapter cannot be unloaded",
       [](Fixture &It) {
         It.load("m1", "e1");
         It.load("a1", "e1");
         return It.changeReplica("m1", "e1", Unloading,
                                 It.fencingTokenOf("m1", "e1"));
       },
       Invalid},
      {"report with another fencing token",
       [](Fixture &It) {
         It.changeReplica("m1", "e1", Loading);
         return It.changeReplica("m1", "e1", Loaded, 1);
       },
       Invalid},
      {"report of an earlier agent process",
       [](Fixture &It) {
         It.changeReplica("m1", "e1", Loading);
         return It.changeReplica("m1", "e1", Loaded,
                                 It.fencingTokenOf("m1", "e1"), true, 2);
       },
       Invalid},
      {"report of the current agent process",
       [](Fixture &It) {
         It.changeReplica("m1", "e1", Loading);
         return It.changeReplica("m1", "e1", Loaded,
                                 It.fencingTokenOf("m1", "e1"), true, 3);
       },
       Accepted},
      {"unloading replica cannot become loaded",
       [](Fixture &It) {
         It.load("m1", "e1");
         It.changeReplica("m1", "e1", Unloading, It.fencingTokenOf("m1", "e1"));
         return It.changeReplica("m1", "e1", Loaded,
                                 It.fencingTokenOf("m1", "e1"));
       },
       Invalid},
  };
  for (const Case &it : cases) {
    INFO(it.What);
    Fixture fixture;
    CHECK(it.Run(fixture) == it.Status);
  }
}

TEST_CASE("new engine process drops the replicas of the old one") {
  Fixture fixture;
  fixture.load("m1", "e1");
  fixture.putEndpoint("e1", 8, false);
  CHECK_FALSE(findReplica(fixture.State.Items, "e1", "m1"));
}

TEST_CASE(
    "one of two edits of a version is accepted, and a resend gets its reply") {
  Fixture fixture;
  wire::Command first;
  first.set_operation_id("first");
  *first.mutable_table_edit() = makeEdit(1, Table);
  wire::Command second = first;
  second.set_operation_id("second");
  CHECK(fixture.apply(first).status() == Accepted);
  CHECK(fixture.apply(second).status() == wire::PROPOSAL_CONFLICT);
  auto again = fixture.apply(first);
  CHECK(again.status() == Accepted);
  CHECK(again.table_version() == 2);
  CHECK(fixture.State.TableVersion == 2);
  CHECK(fixture.apply(second).status() == wire::PROPOSAL_CONFLICT);
}

TEST_CASE("invalid edit changes nothing") {
  Fixture fixture;
  wire::Command command;
  *command.mutable_table_edit() = makeEdit(1, Table);
  command.mutable_table_edit()->mutable_rows(4)->set_base("nothing");
  CHECK(fixture.apply(command).status() == Invalid);
  CHECK(fixture.State.TableVersion == 1);
  CHECK(findRow(fixture.State.Items, "a1")->base() == "m1");
}

TEST_CASE("claim has one holder and is released only without an outcome") {
  Fixture fixture;
  auto claim = [&](const char *Id) {
    wire::Command command;
    command.mutable_claim()->set_digest("d");
    command.mutable_claim()->set_request_id(Id);
    command.mutable_claim()->set_window_ms(1000);
    return fixture.apply(command).status();
  };
  auto outcome = [&](const char *Id, bool IsNotRun) {
    wire::Command command;
    command.mutable_claim_outcome()->set_digest("d");
    command.mutable_claim_outcome()->set_request_id(Id);
    command.mutable_claim_outcome()->set_not_run(IsNotRun);
    return fixture.apply(command).status();
  };
  CHECK(claim("r1") == Accepted);
  CHECK(claim("r1") == Accepted);
  CHECK(claim("r2") == wire::PROPOSAL_DUPLICATE);
  CHECK(outcome("r2", true) == Invalid);
  CHECK(outcome("r1", true) == Accepted);
  CHECK(claim("r2") == Accepted);
  CHECK(outcome("r2", false) == Accepted);
  CHECK(outcome("r2", true) == Invalid);
  CHECK(claim("r3") == wire::PROPOSAL_DUPLICATE);
  // The claim's window is measured in fleet time.
  wire::Command later;
  later.set_fleet_time_ms(5000);
  later.mutable_noop();
  fixture.apply(later);
  CHECK(claim("r4") == Accepted);
}

TEST_CASE("snapshot restores the same state") {
  Fixture fixture;
  fixture.load("m1", "e1");
  wire::Command command;
  command.set_operation_id("grant");
  command.mutable_key_grant()->set_key_id("k");
  command.mutable_key_grant()->set_key_hash("h");
  command.mutable_key_grant()->set_tenant("alpha");
  fixture.apply(command);
  wire::Snapshot snapshot;
  saveFleet(fixture.State, snapshot);
  snapshot.set_index(fixture.Index);
  FleetState again;
  loadFleet(again, snapshot);
  wire::Snapshot copy;
  saveFleet(again, copy);
  copy.set_index(again.Version);
  CHECK(copy.SerializeAsString() == snapshot.SerializeAsString());
}
