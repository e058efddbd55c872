/// \file
/// How a stopping front divides its grace period.
#include "front/stop_deadlines.h"

#include <catch2/catch.hpp>

using namespace sassafras;

namespace {

const TimePoint Start = TimePoint() + std::chrono::hours(1);
constexpr Millis Grace{8'000};
/// From the end of a stream until an open connection shows that its endpoint
/// runs, and until the next look at it.
constexpr Millis DecisionTime{120};

} // namespace

TEST_CASE("stages of a stop follow each other within the grace period") {
  StopDeadlines it = makeStopDeadlines(Start, Grace);
  CHECK(Start < it.AcceptEnd);
  CHECK(it.AcceptEnd < it.StreamEnd);
  CHECK(it.StreamEnd < it.ResponseEnd);
  CHECK(it.LinkEnd < Start + Grace);
  CHECK(stageOf(it, Start) == StopStage::Waiting);
  CHECK(stageOf(it, it.StreamEnd - Millis(1)) == StopStage::Waiting);
  CHECK(stageOf(it, it.StreamEnd) == StopStage::Streams);
  CHECK(stageOf(it, it.ResponseEnd) == StopStage::Responses);
  CHECK(stageOf(it, it.CheckEnd) == StopStage::All);
}

// The ends of streams that were read last were not decided any more.
TEST_CASE("end that is read last in a stop can still be decided") {
  StopDeadlines it = makeStopDeadlines(Start, Grace);
  CHECK(it.ResponseEnd + DecisionTime < it.CheckEnd);
  CHECK(it.CheckEnd < it.LinkEnd);
}

// Such a front went on for as long as a balancer takes to move its traffic.
TEST_CASE("front whose grace period is short does not outlast it") {
  StopDeadlines it = makeStopDeadlines(Start, Millis(2'000));
  CHECK(it.AcceptEnd <= it.StreamEnd);
}
