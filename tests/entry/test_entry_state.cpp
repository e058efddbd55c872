/// \file
/// Tests of the entry's state machine around changes of its view.
#include "entry/entry_state.h"

#include <catch2/catch.hpp>

using namespace sassafras;

namespace {

const TimePoint Start = TimePoint() + std::chrono::hours(1);

/// An entry with a confirmed view. Items added to Reply reach it with
/// deliverHeartbeatReply.
struct EntryFixture {
  EntryFixture() {
    State.Options = {"entry-1", "zone"};
    State.View.ControlAddresses = {"control"};
    stepEntry(State, EntryTick{}, Now);
    addRow("alpha", wire::ROW_TENANT);
    addRow("m1", wire::ROW_MODEL);
    setKey(false);
    deliverHeartbeatReply();
  }

  wire::Item &addItem(const std::string &Name) {
    wire::Item &it = *Reply.add_items();
    it.set_name(Name);
    it.set_version(Version + 1);
    return it;
  }
  void addRow(const std::string &Name, wire::RowKind Kind) {
    wire::TableRow &it = *addItem("row/" + Name).mutable_row();
    it.set_name(Name);
    it.set_kind(Kind);
    it.set_weight(1);
    it.set_rate(100);
    it.set_burst(100);
    it.set_repeatable(true);
    it.set_longest_wait_ms(8000);
  }
  void setKey(bool IsGone) {
    wire::Item &it = addItem("key/k");
    it.set_deleted(IsGone);
    it.mutable_key()->set_key_hash("hash");
    it.mutable_key()->set_tenant("alpha");
  }
  void addLoadedReplica() {
    wire::Replica &it = *addItem("replica/e/m1").mutable_replica();
    it.set_row("m1");
    it.set_endpoint("e");
    it.set_phase(wire::PHASE_LOADED);
    wire::Endpoint &endpoint = *addItem("endpoint/e").mutable_endpoint();
    endpoint.set_name("e");
    endpoint.set_address("e");
    endpoint.set_ready(true);
    endpoint.set_slots(4);
  }
  EntryEffects deliverHeartbeatReply() {
    Reply.set_number(State.View.NextNumber - 1);
    Reply.set_term(1);
    Reply.set_is_leader(true);
    Reply.set_leader_address("control");
    Reply.set_base_version(Version);
    Reply.set_version(++Version);
    wire::Envelope message;
    *message.mutable_heartbeat_reply() = Reply;
    Reply.Clear();
    return stepEntry(State, EntryReceived{message}, Now);
  }
  EntryEffects submitRequest(uint64_t Cost) {
    CallerRequest request;
    request.Id = "r" + std::to_string(++LastRequestNumber);
    request.Method = "POST";
    request.Path = request.Target = "/v1/completions";
    request.KeyHash = "hash";
    request.Row = "m1";
    request.Cost = Cost;
    return stepEntry(State, CallerArrived{request}, Now);
  }

  EntryState State;
  TimePoint Now = Start;
  wire::HeartbeatReply Reply;
  uint64_t Version = 0;
  int LastRequestNumber = 0;
};

int countAttempts(const EntryEffects &Effects) {
  int n = 0;
  for (const EntryEffect &it : Effects)
    if (auto *send = std::get_if<EntrySend>(&it))
      n += send->Message.has_attempt();
  return n;
}

std::optional<RefusalReason> refusalReasonIn(const EntryEffects &Effects) {
  for (const EntryEffect &it : Effects)
    if (auto *refusal = std::get_if<RefusalResponse>(&it))
      return refusal->Why.Reason;
  return std::nullopt;
}

} // namespace

TEST_CASE("queued request does not start in the step that withdraws its key") {
  EntryFixture fixture;
  CHECK_FALSE(refusalReasonIn(fixture.submitRequest(0)));
  fixture.setKey(true);
  fixture.addLoadedReplica();
  CHECK(countAttempts(fixture.deliverHeartbeatReply()) == 0);
  CHECK(refusalReasonIn(stepEntry(fixture.State, EntryTick{}, fixture.Now)) ==
        RefusalReason::KeyUnknown);
}

TEST_CASE("queued request starts when its model is loaded") {
  EntryFixture fixture;
  fixture.submitRequest(0);
  fixture.addLoadedReplica();
  CHECK(countAttempts(fixture.deliverHeartbeatReply()) == 1);
}

TEST_CASE("keyed request is refused once the view is not confirmed") {
  EntryFixture fixture;
  fixture.Now += Millis(3001);
  CHECK(refusalReasonIn(fixture.submitRequest(0)) ==
        RefusalReason::KeyUnconfirmed);
}

TEST_CASE("request that costs more than the burst is refused at once") {
  EntryFixture fixture;
  CHECK(refusalReasonIn(fixture.submitRequest(101)) ==
        RefusalReason::CostAboveBurst);
}

// A row whose requests wait only for tokens is left out of the reported demand.
// If it also did not count as reported, it would cause early heartbeats for as
// long as the requests wait.
TEST_CASE("rows that wait for tokens only cause no extra heartbeats") {
  EntryFixture fixture;
  for (int i = 0; i < 6; ++i)
    fixture.submitRequest(100);
  int heartbeats = 0;
  for (int i = 0; i < 100; ++i) {
    fixture.Now += Millis(20);
    for (EntryEffect &it : stepEntry(fixture.State, EntryTick{}, fixture.Now))
      if (auto *send = std::get_if<EntrySend>(&it))
        heartbeats += send->Message.has_heartbeat();
  }
  CHECK(heartbeats <= 5);
}
