/// \file
/// Contract between an agent and the entries: admission of attempts and the
/// outcomes that the agent states.
#include "agent/agent_state.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace sassafras;

namespace {

constexpr uint64_t Self = 5;
constexpr uint64_t Fence = 12;
const TimePoint Start = TimePoint() + std::chrono::hours(1);

struct AgentFixture {
  AgentFixture() {
    State.Options = {"engine-1", Self, "address", "zone", 2, ""};
    State.View.ControlAddresses = {"control"};
    announce();
    Now += Millis(100);
    replyToHeartbeat(1000);
    // Reports are trusted two seconds after the first one.
    for (int i = 0; i < 24; ++i) {
      Now += Millis(100);
      announce();
    }
    replyToHeartbeat(3500);
  }

  void announce() {
    EndpointReport report;
    report.Incarnation = 3;
    report.MemoryMb = 1000;
    report.Loaded = {"m1"};
    stepAgent(State, EndpointAnnounced{report}, Now);
  }

  /// Delivers the leader's reply to the latest heartbeat, with the whole view.
  void replyToHeartbeat(uint64_t FleetTimeMs, uint64_t Term = 4) {
    wire::Envelope message;
    wire::HeartbeatReply &reply = *message.mutable_heartbeat_reply();
    reply.set_number(State.View.NextNumber - 1);
    reply.set_term(Term);
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

  /// Delivers an attempt. Returns the agent's reply and counts started
  /// requests in Started.
  wire::AttemptReply send(const wire::Attempt &Attempt) {
    wire::Envelope message;
    *message.mutable_attempt() = Attempt;
    wire::AttemptReply attemptReply;
    for (AgentEffect &it : stepAgent(State, AgentReceived{message}, Now)) {
      Started += std::holds_alternative<StartExchange>(it);
      if (auto *send = std::get_if<AgentSend>(&it))
        if (send->Message.has_attempt_reply())
          attemptReply = send->Message.attempt_reply();
    }
    return attemptReply;
  }

  AgentState State;
  TimePoint Now = Start;
  uint64_t Version = 20;
  wire::ReplicaPhase Phase = wire::PHASE_LOADED;
  int Started = 0;
};

struct Case {
  const char *What;
  std::function<void(AgentFixture &, wire::Attempt &)> Change;
  wire::AttemptOutcome Outcome;
  const char *Reason;
};

} // namespace

TEST_CASE("agent admits an attempt or refuses it with a reason") {
  const Case cases[] = {
      {"admitted", [](AgentFixture &, wire::Attempt &) {}, wire::ATTEMPT_NONE,
       "started"},
      {"for an earlier agent process, whose outcome is unknown",
       [](AgentFixture &, wire::Attempt &It) { It.set_agent_incarnation(4); },
       wire::ATTEMPT_FAILED, "other_incarnation"},
      {"delayed on its way past the stamp",
       [](AgentFixture &, wire::Attempt &It) { It.set_stamp_until_ms(3000); },
       wire::ATTEMPT_NOT_RUN, "stale"},
      {"stamp of a later term, whose leader is not yet known",
       [](AgentFixture &, wire::Attempt &It) { It.set_stamp_term(5); },
       wire::ATTEMPT_NOT_RUN, "stale"},
      {"stamp of an earlier term, long after its end",
       [](AgentFixture &It, wire::Attempt &Attempt) {
         Attempt.set_stamp_term(3);
         It.Now += Millis(900);
       },
       wire::ATTEMPT_NOT_RUN, "stale"},
      {"fence of an earlier replica record",
       [](AgentFixture &, wire::Attempt &It) { It.set_fence(Fence - 1); },
       wire::ATTEMPT_NOT_RUN, "not_loaded"},
      {"row without a replica here",
       [](AgentFixture &, wire::Attempt &It) { It.set_row("m2"); },
       wire::ATTEMPT_NOT_RUN, "not_loaded"},
      {"row that is being unloaded",
       [](AgentFixture &It, wire::Attempt &) {
         It.Phase = wire::PHASE_UNLOADING;
         It.replyToHeartbeat(3600);
       },
       wire::ATTEMPT_NOT_RUN, "not_loaded"},
      {"stopping",
       [](AgentFixture &It, wire::Attempt &) {
         stepAgent(It.State, AgentStop{}, It.Now);
       },
       wire::ATTEMPT_NOT_RUN, "leaving"},
      {"endpoint is leaving",
       [](AgentFixture &It, wire::Attempt &) {
         It.State.Endpoint.IsLeaving = true;
       },
       wire::ATTEMPT_NOT_RUN, "leaving"},
      {"endpoint has ended",
       [](AgentFixture &It, wire::Attempt &) {
         stepAgent(It.State, EndpointGone{}, It.Now);
       },
       wire::ATTEMPT_NOT_RUN, "endpoint_down"},
      {"all slots in use",
       [](AgentFixture &It, wire::Attempt &) {
         It.send(It.attempt("a"));
         It.send(It.attempt("b"));
         It.Started = 0;
       },
       wire::ATTEMPT_NOT_RUN, "busy"},
      {"exclusive attempt of a suspect request while another one runs",
       [](AgentFixture &It, wire::Attempt &Attempt) {
         It.send(It.attempt("a"));
         It.Started = 0;
         Attempt.set_alone(true);
       },
       wire::ATTEMPT_NOT_RUN, "alone"},
  };
  for (const Case &it : cases) {
    INFO(it.What);
    AgentFixture fixture;
    wire::Attempt attempt = fixture.attempt("r");
    it.Change(fixture, attempt);
    wire::AttemptReply attemptReply = fixture.send(attempt);
    CHECK(attemptReply.outcome() == it.Outcome);
    CHECK(attemptReply.reason() == it.Reason);
    CHECK(fixture.Started == (it.Outcome == wire::ATTEMPT_NONE ? 1 : 0));
  }
}

// An agent that was frozen over a change of leader reads what arrived
// meanwhile.
TEST_CASE("attempt of an earlier term is stale once its stamp has passed") {
  AgentFixture fixture;
  for (int i = 0; i < 70; ++i) {
    fixture.Now += Millis(100);
    fixture.announce();
    stepAgent(fixture.State, AgentTick{}, fixture.Now);
  }
  fixture.replyToHeartbeat(9000, 5);
  wire::AttemptReply reply = fixture.send(fixture.attempt("r"));
  CHECK(reply.outcome() == wire::ATTEMPT_NOT_RUN);
  CHECK(reply.reason() == "stale");
  CHECK(fixture.Started == 0);
}

TEST_CASE(
    "agent starts no attempt twice and none that it reported as not run") {
  AgentFixture fixture;
  wire::Attempt refused = fixture.attempt("r");
  refused.set_fence(Fence + 1);
  CHECK(fixture.send(refused).outcome() == wire::ATTEMPT_NOT_RUN);
  // The same attempt again, now with a fence that would be admitted.
  CHECK(fixture.send(fixture.attempt("r")).outcome() == wire::ATTEMPT_NOT_RUN);
  CHECK(fixture.Started == 0);
  fixture.send(fixture.attempt("s"));
  fixture.send(fixture.attempt("s"));
  CHECK(fixture.Started == 1);
  stepAgent(fixture.State, EndpointEnd{{"s", 1}}, fixture.Now);
  CHECK(fixture.send(fixture.attempt("s")).outcome() == wire::ATTEMPT_FAILED);
  CHECK(fixture.Started == 1);
  wire::Envelope message;
  message.mutable_attempt_cancel()->set_request_id("t");
  message.mutable_attempt_cancel()->set_number(1);
  message.mutable_attempt_cancel()->set_agent_incarnation(Self);
  stepAgent(fixture.State, AgentReceived{message}, fixture.Now);
  CHECK(fixture.send(fixture.attempt("t")).outcome() == wire::ATTEMPT_NOT_RUN);
  CHECK(fixture.Started == 1);
}

TEST_CASE("agent probes the endpoint at once after a failed exchange") {
  // A request that kills its endpoint is retried at once, and the death is
  // counted against it only once the agent knows of the death. Without a probe
  // the retry could reach another endpoint first.
  AgentFixture fixture;
  fixture.send(fixture.attempt("r"));
  auto hasProbe = [](const AgentEffects &Effects) {
    return std::any_of(Effects.begin(), Effects.end(), [](const auto &it) {
      return std::holds_alternative<ProbeEndpoint>(it);
    });
  };
  CHECK(hasProbe(
      stepAgent(fixture.State, ExchangeFailed{{"r", 1}, true}, fixture.Now)));
  auto effects = stepAgent(fixture.State, EndpointGone{}, fixture.Now);
  CHECK_FALSE(hasProbe(effects));
  bool isReported =
      std::any_of(effects.begin(), effects.end(), [](const AgentEffect &it) {
        const auto *send = std::get_if<AgentSend>(&it);
        return send && send->Message.heartbeat().deaths_size() == 1;
      });
  CHECK(isReported);
}
