/// \file
/// Contract of the entry at the moments when its view changes.
#include "entry/entry_state.h"

#include <catch2/catch.hpp>

using namespace sassafras;

namespace {

const TimePoint Start = TimePoint() + std::chrono::hours(1);

/// An entry whose leader tells it items.
struct Bench {
  Bench() {
    State.Options = {"entry-1", "zone"};
    State.View.ControlAddresses = {"control"};
    stepEntry(State, EntryTick{}, Now);
    row("alpha", wire::ROW_TENANT);
    row("m1", wire::ROW_MODEL);
    key(false);
    tell();
  }

  wire::Item &item(const std::string &Name) {
    wire::Item &it = *Reply.add_items();
    it.set_name(Name);
    it.set_version(Version + 1);
    return it;
  }
  void row(const std::string &Name, wire::RowKind Kind) {
    wire::TableRow &it = *item("row/" + Name).mutable_row();
    it.set_name(Name);
    it.set_kind(Kind);
    it.set_weight(1);
    it.set_rate(100);
    it.set_burst(100);
    it.set_repeatable(true);
    it.set_longest_wait_ms(8000);
  }
  void key(bool IsGone) {
    wire::Item &it = item("key/k");
    it.set_deleted(IsGone);
    it.mutable_key()->set_key_hash("hash");
    it.mutable_key()->set_tenant("alpha");
  }
  void loaded() {
    wire::Replica &it = *item("replica/e/m1").mutable_replica();
    it.set_row("m1");
    it.set_endpoint("e");
    it.set_phase(wire::PHASE_LOADED);
    wire::Endpoint &endpoint = *item("endpoint/e").mutable_endpoint();
    endpoint.set_name("e");
    endpoint.set_address("e");
    endpoint.set_ready(true);
    endpoint.set_slots(4);
  }
  EntryEffects tell() {
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
  EntryEffects call(uint64_t Cost) {
    CallerRequest request;
    request.Id = "r" + std::to_string(++Serial);
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
  int Serial = 0;
};

int countAttempts(const EntryEffects &Effects) {
  int n = 0;
  for (const EntryEffect &it : Effects)
    if (auto *send = std::get_if<EntrySend>(&it))
      n += send->Message.has_attempt();
  return n;
}

std::optional<RefusalReason> refusalIn(const EntryEffects &Effects) {
  for (const EntryEffect &it : Effects)
    if (auto *refusal = std::get_if<RefusalResponse>(&it))
      return refusal->Why.Reason;
  return std::nullopt;
}

} // namespace

TEST_CASE("queued request does not start in the step that withdraws its key") {
  Bench bench;
  CHECK_FALSE(refusalIn(bench.call(0)));
  bench.key(true);
  bench.loaded();
  CHECK(countAttempts(bench.tell()) == 0);
  CHECK(refusalIn(stepEntry(bench.State, EntryTick{}, bench.Now)) ==
        RefusalReason::KeyUnknown);
}

TEST_CASE("queued request starts when its model is loaded") {
  Bench bench;
  bench.call(0);
  bench.loaded();
  CHECK(countAttempts(bench.tell()) == 1);
}

TEST_CASE("keyed request is refused once the view is not confirmed") {
  Bench bench;
  bench.Now += Millis(3001);
  CHECK(refusalIn(bench.call(0)) == RefusalReason::KeyUnconfirmed);
}

TEST_CASE("request that costs more than the burst is refused at once") {
  Bench bench;
  CHECK(refusalIn(bench.call(101)) == RefusalReason::CostAboveBurst);
}

TEST_CASE("rows that wait for tokens only cause no extra heartbeats") {
  Bench bench;
  for (int i = 0; i < 6; ++i)
    bench.call(100);
  int beats = 0;
  for (int i = 0; i < 100; ++i) {
    bench.Now += Millis(20);
    for (EntryEffect &it : stepEntry(bench.State, EntryTick{}, bench.Now))
      if (auto *send = std::get_if<EntrySend>(&it))
        beats += send->Message.has_heartbeat();
  }
  CHECK(beats <= 5);
}
