/// \file
/// The soak's checks find what they are for, and nothing else, in records made
/// by hand.
#include "tests/soak/soak_checks.h"

#include <catch2/catch.hpp>

#include <csignal>

using namespace sassafras;
using std::chrono::seconds;

namespace {

const TimePoint Begin = TimePoint() + std::chrono::hours(1);

TimePoint at(int Ms) { return Begin + Millis(Ms); }

std::string eventsOf(const std::string &Run, int First, int Last) {
  std::string out;
  for (int i = First; i <= Last; ++i)
    out += "id: " + std::to_string(i) + "\ndata: " + Run + " " +
           std::to_string(i) + "\n\n";
  return out;
}

/// A stream of three events from one run, served from 10,000 to 11,000 ms.
SoakRecords wholeStream() {
  SoakRecords out;
  out.Begin = Begin;
  CallerRecord request;
  request.Id = request.StreamId = "a";
  request.Front = 1;
  request.IsStream = true;
  request.EventCount = 3;
  request.StartedAt = request.SentAt = at(10'000);
  request.EndedAt = at(11'000);
  request.Deadline = at(20'000);
  request.End = CallerEnd::Whole;
  request.Status = 200;
  request.ResponseId = "a";
  request.Seal = "seal";
  request.Body = eventsOf("run", 1, 3);
  out.Requests.push_back(request);
  out.Runs.push_back(
      {"a", "run", "engine", -1, 1, at(10'001), at(11'000), "whole"});
  return out;
}

/// The same, cut by its front after two events.
SoakRecords cutStream() {
  SoakRecords out = wholeStream();
  out.Requests[0].End = CallerEnd::Broken;
  out.Requests[0].Body = eventsOf("run", 1, 2);
  out.Runs[0].How = "gone";
  return out;
}

} // namespace

TEST_CASE("records of a whole stream violate nothing") {
  SoakRecords records = wholeStream();
  CHECK(findLostRequests(records).empty());
  CHECK(findDisorder(records).empty());
  CHECK(findUntrueResponses(records).empty());
}

TEST_CASE(
    "request that a front cut is lost unless something else explains it") {
  CHECK(findLostRequests(cutStream()).size() == 1);

  SoakRecords faulty = cutStream();
  faulty.Faults.push_back({"front-1", at(7'500), at(7'600)});
  CHECK(findLostRequests(faulty).empty());
  faulty.Faults[0] = {"front-1", at(6'000), at(6'900)};
  CHECK(findLostRequests(faulty).size() == 1);
  faulty.Faults[0] = {"front-2", at(10'500)};
  CHECK(findLostRequests(faulty).size() == 1);
  faulty.Faults[0] = {AllFronts, at(10'500)};
  CHECK(findLostRequests(faulty).empty());
  faulty.Faults[0] = {"engine", at(10'500)};
  CHECK(findLostRequests(faulty).empty());

  SoakRecords broken = cutStream();
  broken.Runs[0].How = "broke";
  CHECK(findLostRequests(broken).empty());

  SoakRecords late = cutStream();
  late.Requests[0].Deadline = at(11'100);
  CHECK(findLostRequests(late).empty());
}

TEST_CASE("request that reached no engine is lost if it was not cut at once") {
  SoakRecords records = cutStream();
  records.Runs.clear();
  records.Requests[0].End = CallerEnd::ClosedUnanswered;
  CHECK(findLostRequests(records).size() == 1);
  records.Requests[0].EndedAt = at(10'150);
  CHECK(findLostRequests(records).empty());
}

TEST_CASE("request is lost in a stop unless it lasts to the end of the grace") {
  SoakRecords records = cutStream();
  records.Works.push_back({1, SIGTERM, at(8'000)});
  auto lost = findLostRequests(records);
  REQUIRE(lost.size() == 1);
  CHECK(lost[0].find("in a stop begun at 8000 ms") != std::string::npos);
  // Sent 2 s after the signal and cut 7 s after it.
  records.Requests[0].EndedAt = at(15'000);
  records.Runs[0].EndedAt = at(15'000);
  CHECK(findLostRequests(records).empty());
  // Sent 4 s after the signal.
  records.Works[0].At = at(6'000);
  records.Requests[0].EndedAt = at(13'000);
  CHECK(findLostRequests(records).size() == 1);
}

TEST_CASE("stream that ends as complete before its last event is disorder") {
  SoakRecords records = wholeStream();
  records.Requests[0].Body = eventsOf("run", 1, 2);
  CHECK(findDisorder(records).size() == 1);
  records.Requests[0].Body = eventsOf("run", 1, 3) + "id: 4";
  CHECK(findDisorder(records).size() == 1);
}

TEST_CASE("events that are repeated, left out or swapped are disorder") {
  for (const std::string &body :
       {eventsOf("run", 1, 2) + eventsOf("run", 2, 3),
        eventsOf("run", 1, 1) + eventsOf("run", 3, 3),
        eventsOf("run", 2, 2) + eventsOf("run", 1, 1) + eventsOf("run", 3, 3),
        eventsOf("unknown", 1, 3)}) {
    SoakRecords records = wholeStream();
    records.Requests[0].Body = body;
    INFO(body);
    CHECK(findDisorder(records).size() == 1);
  }
}

TEST_CASE("events of two runs are in order only where the second goes on") {
  SoakRecords records = wholeStream();
  records.Requests[0].Body = eventsOf("run", 1, 2) + eventsOf("next", 3, 3);
  records.Runs.push_back(
      {"a", "next", "other", 2, 3, at(10'500), at(11'000), "whole"});
  CHECK(findDisorder(records).empty());
  records.Runs[1].First = 1;
  CHECK(findDisorder(records).size() == 1);
}

TEST_CASE("resumed stream goes on after its Last-Event-Id") {
  SoakRecords records = wholeStream();
  records.Requests[0].LastEvent = 1;
  records.Requests[0].Body = eventsOf("run", 2, 3);
  records.Runs[0].LastEvent = 1;
  records.Runs[0].First = 2;
  CHECK(findDisorder(records).empty());
  records.Requests[0].Body = eventsOf("run", 1, 3);
  records.Runs[0].First = 1;
  CHECK(findDisorder(records).size() == 1);
}

namespace {

/// A stream that \p First began, cut after its first event, and its resumption
/// with events of \p Second.
SoakRecords resumedStream(const std::string &First, const std::string &Second) {
  SoakRecords out = cutStream();
  out.Requests[0].Body = eventsOf(First, 1, 1);
  CallerRecord again = wholeStream().Requests[0];
  again.Id = "b";
  again.LastEvent = 1;
  again.Body = eventsOf(Second, 2, 3);
  out.Requests.push_back(again);
  return out;
}

} // namespace

TEST_CASE("stream of two versions or services is found over its resumptions") {
  const std::string first = "runs-2-1/v1/10/1";
  CHECK(findJoinedVersions(resumedStream(first, "runs-3-4/v1/20/7")).empty());
  CHECK(findJoinedVersions(resumedStream(first, "runs-2-1/v2/20/1")).size() ==
        1);
  CHECK(findJoinedVersions(resumedStream(first, "others-2-1/v1/20/1")).size() ==
        1);

  SoakRecords third = resumedStream(first, first);
  third.Requests.push_back(third.Requests[1]);
  third.Requests[1].Body.clear();
  third.Requests[2].Id = "c";
  third.Requests[2].Body = eventsOf("runs-2-1/v2/20/1", 2, 3);
  CHECK(findJoinedVersions(third).size() == 1);

  SoakRecords other = resumedStream(first, "runs-2-1/v2/20/1");
  other.Requests[1].StreamId = "b";
  CHECK(findJoinedVersions(other).empty());
}

TEST_CASE("stream of two versions is found within one response") {
  SoakRecords records = wholeStream();
  records.Requests[0].Body =
      eventsOf("runs-2-1/v1/10/1", 1, 1) + eventsOf("runs-3-1/v2/10/1", 2, 3);
  CHECK(findJoinedVersions(records).size() == 1);
}

TEST_CASE("stream that begins anew may be of another version") {
  SoakRecords records = resumedStream("runs-2-1/v1/10/1", "runs-2-1/v2/20/1");
  records.Requests[1].LastEvent = -1;
  records.Requests[1].Body = eventsOf("runs-2-1/v2/20/1", 1, 3);
  CHECK(findJoinedVersions(records).empty());
}

TEST_CASE("refusals of resumed streams are counted by reason") {
  SoakRecords records = resumedStream("runs-2-1/v1/10/1", "");
  records.Requests[1].Status = 503;
  records.Requests[1].End = CallerEnd::Refused;
  records.Requests[1].Body = R"({"error":{"reason":"stream_version_gone"}})";
  records.Requests.push_back(records.Requests[1]);
  records.Requests[2].Body = R"({"error":{"reason":"queue_full"}})";
  records.Requests.push_back(records.Requests[1]);
  records.Requests[3].LastEvent = -1;
  CHECK(countResumptions(records) ==
        std::map<std::string, uint64_t>{{"resumed", 2},
                                        {"resumed_refused", 2},
                                        {"stream_version_gone", 1}});
}

TEST_CASE("untrue responses are found") {
  SoakRecords twice = wholeStream();
  twice.Runs.push_back(twice.Runs[0]);
  CHECK(findUntrueResponses(twice).size() == 1);
  twice.Requests[0].MayRepeat = true;
  CHECK(findUntrueResponses(twice).empty());

  SoakRecords refused = wholeStream();
  refused.Requests[0].End = CallerEnd::Refused;
  refused.Requests[0].Status = 503;
  CHECK(findUntrueResponses(refused).size() == 1);

  SoakRecords foreign = wholeStream();
  foreign.Requests[0].ResponseId = "b";
  CHECK(findUntrueResponses(foreign).size() == 1);
}
