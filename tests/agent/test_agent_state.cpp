/// \file
/// Contract of an agent towards entries: what it admits, what it states.
#include "agent/agent_state.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace sassafras;

namespace {

constexpr uint64_t Self = 5;
constexpr uint64_t Fence = 12;
const TimePoint Start = TimePoint() + std::chrono::hours(1);

struct Bench {
  Bench() {
    State.Options = {"engine-1", Self, "address", "zone", 2, ""};
    State.View.ControlAddresses = {"control"};
    EndpointReport report;
    report.Incarnation = 3;
    report.MemoryMb = 1000;
    report.Loaded = {"m1"};
    stepAgent(State, EndpointAnnounced{report}, Now);
    Now += Millis(100);
    tell(1000);
    // Reports are believed two seconds after the start.
    for (int i = 0; i < 24; ++i) {
      Now += Millis(100);
      stepAgent(State, EndpointAnnounced{report}, Now);
    }
    tell(3500);
  }

  /// The leader's answer to the newest heartbeat, with the whole view.
  void tell(uint64_t FleetTimeMs) {
    wire::Envelope message;
    wire::HeartbeatReply &reply = *message.mutable_heartbeat_reply();
    reply.set_number(State.View.NextNumber - 1);
    reply.set_term(4);
    reply.set_is_leader(true);
    reply.set_version(++Version);
    reply.set_fleet_time_ms(FleetTimeMs);
    wire::Item &own = *reply.add_items();
    own.set_name("endpoint/engine-1");
    own.set_version(Version);
    own.mutable_endpoint()->set_incarnation(Self);
    wire::Item &item = *reply.add_items();
    item.set_name("replica/engine-1/m1");
    item.set_version(Version);
    item.mutable_replica()->set_row("m1");
    item.mutable_replica()->set_endpoint("engine-1");
    item.mutable_replica()->set_engine_incarnation(3);
    item.mutable_replica()->set_phase(Phase);
    item.mutable_replica()->set_fence(Fence);
    stepAgent(State, AgentReceived{message}, Now);
  }

  wire::Attempt attempt(const std::string &Id) const {
    wire::Attempt out;
    out.set_request_id(Id);
    out.set_number(1);
    out.set_agent_incarnation(Self);
    out.set_stamp_term(4);
    out.set_stamp_until_ms(6000);
    out.set_row("m1");
    out.set_fence(Fence);
    return out;
  }

  /// Outcome that the agent answers, and whether it started the request.
  wire::AttemptReply send(const wire::Attempt &Attempt) {
    wire::Envelope message;
    *message.mutable_attempt() = Attempt;
    wire::AttemptReply answer;
    for (AgentEffect &it : stepAgent(State, AgentReceived{message}, Now)) {
      Started += std::holds_alternative<StartExchange>(it);
      if (auto *send = std::get_if<AgentSend>(&it))
        if (send->Message.has_attempt_reply())
          answer = send->Message.attempt_reply();
    }
    return answer;
  }

  AgentState State;
  TimePoint Now = Start;
  uint64_t Version = 20;
  wire::ReplicaPhase Phase = wire::PHASE_LOADED;
  int Started = 0;
};

struct Case {
  const char *What;
  std::function<void(Bench &, wire::Attempt &)> Change;
  wire::AttemptOutcome Outcome;
  const char *Reason;
};

} // namespace

TEST_CASE("agent admits or refuses, case by case") {
  const Case cases[] = {
      {"good", [](Bench &, wire::Attempt &) {}, wire::ATTEMPT_NONE, "started"},
      {"for an earlier process: nothing can be stated",
       [](Bench &, wire::Attempt &It) { It.set_agent_incarnation(4); },
       wire::ATTEMPT_FAILED, "other_incarnation"},
      {"held up on its way",
       [](Bench &, wire::Attempt &It) { It.set_stamp_until_ms(3000); },
       wire::ATTEMPT_NOT_RUN, "stale"},
      {"stamp of a leader not yet known",
       [](Bench &, wire::Attempt &It) { It.set_stamp_term(5); },
       wire::ATTEMPT_NOT_RUN, "stale"},
      {"stamp of an earlier leader, long after",
       [](Bench &It, wire::Attempt &Attempt) {
         Attempt.set_stamp_term(3);
         It.Now += Millis(900);
       },
       wire::ATTEMPT_NOT_RUN, "stale"},
      {"another decision about the row",
       [](Bench &, wire::Attempt &It) { It.set_fence(Fence - 1); },
       wire::ATTEMPT_NOT_RUN, "not_loaded"},
      {"row that is not here",
       [](Bench &, wire::Attempt &It) { It.set_row("m2"); },
       wire::ATTEMPT_NOT_RUN, "not_loaded"},
      {"row that is being unloaded",
       [](Bench &It, wire::Attempt &) {
         It.Phase = wire::PHASE_UNLOADING;
         It.tell(3600);
       },
       wire::ATTEMPT_NOT_RUN, "not_loaded"},
      {"stopping",
       [](Bench &It, wire::Attempt &) {
         stepAgent(It.State, AgentStop{}, It.Now);
       },
       wire::ATTEMPT_NOT_RUN, "leaving"},
      {"endpoint leaves",
       [](Bench &It, wire::Attempt &) { It.State.Endpoint.IsLeaving = true; },
       wire::ATTEMPT_NOT_RUN, "leaving"},
      {"endpoint is gone",
       [](Bench &It, wire::Attempt &) {
         stepAgent(It.State, EndpointGone{}, It.Now);
       },
       wire::ATTEMPT_NOT_RUN, "endpoint_down"},
      {"slots are taken",
       [](Bench &It, wire::Attempt &) {
         It.send(It.attempt("a"));
         It.send(It.attempt("b"));
         It.Started = 0;
       },
       wire::ATTEMPT_NOT_RUN, "busy"},
      {"suspect beside another",
       [](Bench &It, wire::Attempt &Attempt) {
         It.send(It.attempt("a"));
         It.Started = 0;
         Attempt.set_alone(true);
       },
       wire::ATTEMPT_NOT_RUN, "alone"},
  };
  for (const Case &it : cases) {
    INFO(it.What);
    Bench bench;
    wire::Attempt attempt = bench.attempt("r");
    it.Change(bench, attempt);
    wire::AttemptReply answer = bench.send(attempt);
    CHECK(answer.outcome() == it.Outcome);
    CHECK(answer.reason() == it.Reason);
    CHECK(bench.Started == (it.Outcome == wire::ATTEMPT_NONE ? 1 : 0));
  }
}

TEST_CASE(
    "agent never starts what it said it did not run, nor anything twice") {
  Bench bench;
  wire::Attempt refused = bench.attempt("r");
  refused.set_fence(Fence + 1);
  CHECK(bench.send(refused).outcome() == wire::ATTEMPT_NOT_RUN);
  // The same attempt again, in a form that would be admitted.
  CHECK(bench.send(bench.attempt("r")).outcome() == wire::ATTEMPT_NOT_RUN);
  CHECK(bench.Started == 0);
  bench.send(bench.attempt("s"));
  bench.send(bench.attempt("s"));
  CHECK(bench.Started == 1);
  stepAgent(bench.State, EndpointEnd{{"s", 1}}, bench.Now);
  CHECK(bench.send(bench.attempt("s")).outcome() == wire::ATTEMPT_FAILED);
  CHECK(bench.Started == 1);
  wire::Envelope message;
  message.mutable_attempt_cancel()->set_request_id("t");
  message.mutable_attempt_cancel()->set_number(1);
  message.mutable_attempt_cancel()->set_agent_incarnation(Self);
  stepAgent(bench.State, AgentReceived{message}, bench.Now);
  CHECK(bench.send(bench.attempt("t")).outcome() == wire::ATTEMPT_NOT_RUN);
  CHECK(bench.Started == 1);
}

TEST_CASE("agent asks at once whether an endpoint that broke off is gone") {
  // A request that kills its endpoint comes again at once; the death counts
  // against it only once the agent knows of it.
  Bench bench;
  bench.send(bench.attempt("r"));
  auto hasProbe = [](const AgentEffects &Effects) {
    return std::any_of(Effects.begin(), Effects.end(), [](const auto &it) {
      return std::holds_alternative<ProbeEndpoint>(it);
    });
  };
  CHECK(hasProbe(
      stepAgent(bench.State, ExchangeFailed{{"r", 1}, true}, bench.Now)));
  auto effects = stepAgent(bench.State, EndpointGone{}, bench.Now);
  CHECK_FALSE(hasProbe(effects));
  bool isTold =
      std::any_of(effects.begin(), effects.end(), [](const AgentEffect &it) {
        const auto *send = std::get_if<AgentSend>(&it);
        return send && send->Message.heartbeat().deaths_size() == 1;
      });
  CHECK(isTold);
}
