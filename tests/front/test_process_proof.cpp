#include "front/fleet_view.h"
#include "front/process_proof.h"

#include <catch2/catch.hpp>

using namespace sassafras;

namespace {

const TimePoint Start = TimePoint() + std::chrono::hours(1);
constexpr uint64_t Born = 5;
/// Since the announcement.
constexpr Millis HeadAfter{100};

struct Replay {
  FrontState State;
  ProcessClaim Claim;

  explicit Replay(bool IsQueried, uint64_t BornMs = Born) {
    announce(1, Start, BornMs);
    Claim = makeClaim(State, "i-1", IsQueried);
  }

  void announce(uint64_t Sequence, TimePoint At, uint64_t BornMs = Born) {
    wire::EndpointObservation it;
    it.set_id("i-1");
    it.set_service("chat");
    it.set_address("10.1.0.1:1");
    it.set_born_ms(BornMs);
    it.set_sequence(Sequence);
    applyObservation(State.Directory, it, At);
  }

  void begin(TimePoint ConnectedAt, bool HasWaited = false) {
    beginProof(State, Claim, ConnectedAt, HasWaited, Start + HeadAfter);
  }

  ProcessVerdict judge(Millis After, std::optional<ProcessAnswer> Answer = {}) {
    return judgeProcess(State, Claim, Answer, Start + HeadAfter + After);
  }
};

} // namespace

TEST_CASE("answer about its start proves a process or another one") {
  Replay replay(true);
  replay.begin(Start + HeadAfter);
  CHECK(replay.judge(Millis(0)) == ProcessVerdict::Pending);
  CHECK(replay.judge(Millis(500)) == ProcessVerdict::Pending);
  CHECK(replay.judge(Millis(1'000)) == ProcessVerdict::Ended);
  CHECK(replay.judge(Millis(1), ProcessAnswer{true, true, Born}) ==
        ProcessVerdict::Same);
  CHECK(replay.judge(Millis(1), ProcessAnswer{true, true, Born + 1}) ==
        ProcessVerdict::Ended);
  CHECK(replay.judge(Millis(1), ProcessAnswer{true, false, 0}) ==
        ProcessVerdict::Ended);
  CHECK(replay.judge(Millis(1), ProcessAnswer{false, true, 0}) ==
        ProcessVerdict::Ended);
}

// A full endpoint resets connections above its limit.
TEST_CASE("reset of the question about its start does not end a process") {
  Replay replay(true);
  replay.begin(Start + HeadAfter);
  ProcessAnswer reset{false, true, 0, true};
  CHECK(replay.judge(Millis(1), reset) == ProcessVerdict::Pending);
  CHECK(replay.judge(Millis(999), reset) == ProcessVerdict::Pending);
  CHECK(replay.judge(Millis(1'000), reset) == ProcessVerdict::Ended);
  replay.announce(1, Start + Millis(150), Born + 1);
  CHECK(replay.judge(Millis(60), reset) == ProcessVerdict::Ended);
}

TEST_CASE("process of an endpoint without reports is used unless in doubt") {
  Replay replay(false);
  SECTION("no sign") {
    replay.begin(Start + HeadAfter);
    CHECK(replay.judge(Millis(299)) == ProcessVerdict::Pending);
    CHECK(replay.judge(Millis(300)) == ProcessVerdict::Unproven);
  }
  SECTION("no sign, and the request has waited before") {
    replay.begin(Start + HeadAfter, true);
    CHECK(replay.judge(Millis(0)) == ProcessVerdict::Unproven);
  }
  SECTION("another version serves, too") {
    recordVersion(replay.State.Directory, "chat", "v2", Start);
    replay.begin(Start + HeadAfter, true);
    CHECK(replay.judge(Millis(1'499)) == ProcessVerdict::Pending);
    CHECK(replay.judge(Millis(1'500)) == ProcessVerdict::Ended);
    replay.announce(2, Start + HeadAfter + Millis(400));
    CHECK(replay.judge(Millis(400)) == ProcessVerdict::Same);
  }
  SECTION("a connection was lost") {
    recordConnectionLoss(replay.State, "i-1", Start + Millis(50));
    replay.begin(Start + HeadAfter);
    CHECK(replay.judge(Millis(1'499)) == ProcessVerdict::Pending);
    CHECK(replay.judge(Millis(1'500)) == ProcessVerdict::Ended);
  }
  SECTION("it announces itself again") {
    replay.begin(Start + HeadAfter);
    replay.announce(2, Start + Millis(150));
    CHECK(replay.judge(Millis(60)) == ProcessVerdict::Same);
  }
  SECTION("its last announcement before the head comes late") {
    recordConnectionLoss(replay.State, "i-1", Start + Millis(50));
    replay.begin(Start + HeadAfter);
    replay.announce(2, Start + Millis(20));
    CHECK(replay.judge(Millis(60)) == ProcessVerdict::Pending);
  }
  SECTION("another process announces itself") {
    replay.begin(Start + HeadAfter);
    replay.announce(1, Start + Millis(150), Born + 1);
    CHECK(replay.judge(Millis(60)) == ProcessVerdict::Ended);
  }
  SECTION("the connection is older than the announcement") {
    replay.begin(Start - Millis(1'100));
    CHECK(replay.judge(Millis(0)) == ProcessVerdict::Same);
  }
  SECTION("the connection may be younger than the announcement") {
    replay.begin(Start - Millis(900));
    CHECK(replay.judge(Millis(0)) == ProcessVerdict::Pending);
  }
}

TEST_CASE("endpoint that never states its start is used without a wait") {
  Replay replay(true, 0);
  replay.begin(Start + HeadAfter);
  CHECK(replay.judge(Millis(0)) == ProcessVerdict::Unproven);
}

TEST_CASE("agent's report of a later process ends a claim") {
  Replay replay(true);
  replay.begin(Start + HeadAfter);
  wire::EngineReport report;
  report.set_address("10.1.0.1:1");
  report.set_number(1);
  report.set_born_ms(Born + 1);
  REQUIRE(applyReport(replay.State.Directory, report, Start + Millis(120)));
  CHECK(replay.judge(Millis(50), ProcessAnswer{true, true, Born}) ==
        ProcessVerdict::Ended);
}

TEST_CASE("connection that outlives a lost one shows that the process runs") {
  Replay replay(false);
  const KnownEndpoint &known = replay.State.Directory.Endpoints["i-1"];
  TimePoint lostAt = Start + Millis(50);
  recordConnectionLoss(replay.State, "i-1", lostAt);
  REQUIRE(mayHaveEnded(replay.State, known));
  // What the ended process had sent, and a connection to another process.
  recordLifeSign(replay.State, "i-1", Start, lostAt + Millis(90));
  recordLifeSign(replay.State, "i-1", lostAt + Millis(1), lostAt + Millis(900));
  CHECK(mayHaveEnded(replay.State, known));
  recordLifeSign(replay.State, "i-1", Start, lostAt + Millis(110));
  CHECK_FALSE(mayHaveEnded(replay.State, known));
}

// An announcement waits for the next heartbeat, and its process may end
// meanwhile.
TEST_CASE("passed on announcement says how long ago it was heard") {
  Replay replay(false);
  wire::EndpointObservation it;
  it.set_id("i-1");
  it.set_service("chat");
  it.set_address("10.1.0.1:1");
  it.set_born_ms(Born);
  it.set_sequence(2);
  GossipState gossip;
  gossip.Seeds = {"10.1.0.9:1"};
  gossip.PendingObservations.push_back(it);
  applyObservation(replay.State.Directory, it, Start + Millis(100));
  SECTION("of the latest process") {}
  SECTION("of the process before it") {
    replay.announce(1, Start + Millis(400), Born + 1);
  }
  NodeMessages out;
  sendHeartbeats(replay.State, gossip, false, 0, Start + Millis(800), out);
  REQUIRE_FALSE(out.empty());
  const wire::NodeHeartbeat &sent = out.front().Message.node_heartbeat();
  REQUIRE(sent.alive_size() == 1);
  CHECK(sent.alive(0).heard_ago_ms() == 700);
}
