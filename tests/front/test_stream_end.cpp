/// \file
/// Which signs decide whether an endpoint has ended a stream or was ended.
#include "fleet/endpoint_directory.h"
#include "front/stream_end.h"

#include <catch2/catch.hpp>

using namespace sassafras;

namespace {

const TimePoint Start = TimePoint() + std::chrono::hours(1);
constexpr uint64_t Born = 5;

/// An endpoint that announced itself before a stream began, which ends at
/// Start.
struct Replay {
  FrontState State;
  StreamEnd End;
  StreamEndEvidence Evidence;

  explicit Replay(uint64_t BornMs = Born) {
    announce(1, Start - Millis(800), BornMs);
    end(Millis(0), BornMs);
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

  /// The end is read \p Delay after it has arrived.
  void end(Millis Delay, uint64_t BornMs = Born) {
    End = makeStreamEnd(State, "i-1", BornMs, Start, Start + Delay);
  }

  void accept(Millis After) { Evidence.AcceptedAt = Start + After; }

  StreamEndSign judge(Millis After) {
    return judgeStreamEnd(State, End, Evidence, Start + After);
  }
};

} // namespace

TEST_CASE("silence and resets of a full endpoint do not end its process") {
  for (auto reply : {InstanceReply::Silent, InstanceReply::Reset}) {
    INFO(nameOf(reply));
    Replay replay;
    replay.accept(Millis(1));
    replay.Evidence.Reply = reply;
    CHECK(replay.judge(Millis(10)) == StreamEndSign::Pending);
    CHECK(replay.judge(Millis(5'000)) == StreamEndSign::Pending);
    SECTION("another connection is open") {
      replay.Evidence.HasOlderConnection = true;
      CHECK(replay.judge(Millis(99)) == StreamEndSign::Pending);
      CHECK(replay.judge(Millis(100)) == StreamEndSign::OlderConnection);
    }
    SECTION("it announces itself") {
      replay.announce(2, Start + Millis(999));
      CHECK(replay.judge(Millis(1'100)) == StreamEndSign::Pending);
      replay.announce(3, Start + Millis(1'000));
      CHECK(replay.judge(Millis(1'100)) == StreamEndSign::Announced);
    }
  }
}

TEST_CASE("connection that an endpoint accepts at once and keeps is a sign of "
          "its process") {
  Replay replay;
  CHECK(replay.judge(Millis(500)) == StreamEndSign::Pending);
  SECTION("at once") {
    replay.accept(Millis(24));
    CHECK(replay.judge(Millis(123)) == StreamEndSign::Pending);
    CHECK(replay.judge(Millis(124)) == StreamEndSign::Accepted);
  }
  SECTION("late, perhaps by a process that has started since") {
    replay.accept(Millis(25));
    CHECK(replay.judge(Millis(2'000)) == StreamEndSign::Pending);
  }
  SECTION("the time of the end is not known") {
    replay.End.EndedAt = TimePoint();
    replay.accept(Millis(1));
    CHECK(replay.judge(Millis(2'000)) == StreamEndSign::Pending);
  }
}

TEST_CASE("endpoint whose address refuses or answers otherwise has ended") {
  Replay replay;
  replay.Evidence.HasOlderConnection = true;
  replay.Evidence.Reply = InstanceReply::Refused;
  CHECK(replay.judge(Millis(1)) == StreamEndSign::Refused);
  replay.Evidence.Reply = InstanceReply::Other;
  CHECK(replay.judge(Millis(1)) == StreamEndSign::OtherInstance);
  replay.Evidence.Reply = InstanceReply::Invalid;
  CHECK(replay.judge(Millis(1)) == StreamEndSign::OtherInstance);
}

TEST_CASE("answer of an instance proves its process only if it cannot have "
          "started since") {
  Replay replay;
  replay.Evidence.Reply = InstanceReply::Instance;
  SECTION("accepted at once") {
    replay.accept(Millis(1));
    CHECK(replay.judge(Millis(2)) == StreamEndSign::Answered);
  }
  SECTION("the front was paused") {
    replay.end(Millis(4'000));
    replay.accept(Millis(4'001));
    CHECK(replay.judge(Millis(4'002)) == StreamEndSign::Pending);
    SECTION("an announcement from before the pause is read after it") {
      replay.announce(2, Start + Millis(4'900));
      CHECK(replay.judge(Millis(4'950)) == StreamEndSign::Pending);
    }
    SECTION("it announces itself") {
      replay.announce(2, Start + Millis(5'000));
      CHECK(replay.judge(Millis(5'100)) == StreamEndSign::Announced);
    }
    SECTION("another process announces itself") {
      replay.announce(1, Start + Millis(4'300), Born + 1);
      CHECK(replay.judge(Millis(4'300)) == StreamEndSign::OtherProcess);
    }
  }
  SECTION("another process was announced before the end was read") {
    replay.announce(1, Start + Millis(3'999), Born + 1);
    replay.end(Millis(4'000));
    replay.accept(Millis(4'001));
    CHECK(replay.judge(Millis(4'100)) == StreamEndSign::OtherProcess);
    replay.announce(2, Start + Millis(5'200), Born + 1);
    CHECK(replay.judge(Millis(5'300)) == StreamEndSign::OtherProcess);
  }
}

TEST_CASE("instance that never states its start is known by its id") {
  Replay replay(0);
  replay.end(Millis(4'000), 0);
  replay.accept(Millis(4'001));
  replay.Evidence.Reply = InstanceReply::Instance;
  CHECK(replay.judge(Millis(4'002)) == StreamEndSign::Answered);
}

TEST_CASE("another process under the id ends a stream in spite of an accepted "
          "connection") {
  Replay replay;
  replay.accept(Millis(20));
  SECTION("announced") { replay.announce(1, Start + Millis(80), Born + 1); }
  SECTION("reported by the agent") {
    wire::EngineReport report;
    report.set_address("10.1.0.1:1");
    report.set_number(1);
    report.set_born_ms(Born + 1);
    REQUIRE(applyReport(replay.State.Directory, report, Start + Millis(80)));
  }
  CHECK(replay.judge(Millis(200)) == StreamEndSign::OtherProcess);
}

// The first announcement of a process may come while its first streams run.
TEST_CASE("process that was announced during its stream has ended it") {
  Replay replay;
  replay.announce(1, Start - Millis(200), Born + 1);
  replay.end(Millis(0));
  replay.accept(Millis(1));
  CHECK(replay.judge(Millis(101)) == StreamEndSign::Accepted);
}
