/// \file
/// Traces requests from their id to the cause of their failure with the logs
/// alone, as docs/OPERATIONS.md describes it, for three kinds of failure.
#include "tests/harness/front_fleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <thread>

using namespace sassafras;
using std::chrono::seconds;

namespace {

/// Returns the output of the operator tool for \p Id and all logs of the fleet.
std::string explain(const FrontFleet &Fleet, const std::string &Id) {
  std::string arguments = "explain " + Id;
  for (const std::string &it : Fleet.processes())
    arguments += " " + Fleet.logPathOf(it);
  ToolResult result = Fleet.ctl(arguments);
  INFO(result.Errors);
  CHECK(result.Code == 0);
  return result.Out;
}

/// Returns whether \p Trace has lines that contain these texts, in this order.
bool containsInOrder(const std::string &Trace,
                     const std::vector<std::vector<std::string>> &Lines) {
  size_t at = 0;
  for (const std::vector<std::string> &texts : Lines) {
    bool isFound = false;
    while (!isFound && at < Trace.size()) {
      size_t end = std::min(Trace.find('\n', at), Trace.size());
      std::string line = Trace.substr(at, end - at);
      isFound = true;
      for (const std::string &it : texts)
        isFound = isFound && line.find(it) != std::string::npos;
      at = end + 1;
    }
    if (!isFound)
      return false;
  }
  return true;
}

} // namespace

TEST_CASE("refusal within the rate is traced to a front's share of the rate") {
  ServedFleet test(tableText(1, "/p/", 4));
  REQUIRE(waitUntil(seconds(10), [&] {
    return sendCallerRequest(test.Fleet.callerAddress(1), "first", "warm")
               .Status == 200;
  }));
  // All callers send to one front at once, which has only a share of the rate.
  std::vector<unsigned> statuses(40);
  std::vector<std::thread> callers;
  for (size_t i = 0; i < statuses.size(); ++i)
    callers.emplace_back([&, i] {
      statuses[i] = sendCallerRequest(test.Fleet.callerAddress(1),
                                      "burst-" + std::to_string(i), "warm")
                        .Status;
    });
  for (std::thread &it : callers)
    it.join();
  auto refused = std::find(statuses.begin(), statuses.end(), 429);
  REQUIRE(refused != statuses.end());
  std::string id = "burst-" + std::to_string(refused - statuses.begin());
  std::string trace = explain(test.Fleet, id);
  INFO(trace);
  CHECK(containsInOrder(
      trace, {{"event=quota_refused", "id=" + id, "organisation=first",
               "level=", "share_percent=", "share_left_ms=", "fronts=4"},
              {"event=request_done", "outcome=rate_exceeded", "runs=0"}}));
}

TEST_CASE(
    "failed response to a request that may have run is traced to its engine") {
  ServedFleet test;
  REQUIRE(waitUntil(seconds(10), [&] {
    return sendCallerRequest(test.Fleet.callerAddress(1), "first", "warm")
               .Status == 200;
  }));
  test.Engine.abortResponses(true);
  CallerResponse response =
      sendCallerRequest(test.Fleet.callerAddress(1), "broken-1", "warm");
  CHECK(response.Status == 502);
  test.Engine.stopServer();
  REQUIRE(waitUntil(seconds(10), [&] {
    return test.Fleet.log(FrontFleet::agentName(50)).find("engine_lost") !=
           std::string::npos;
  }));
  std::string trace = explain(test.Fleet, "broken-1");
  INFO(trace);
  CHECK(containsInOrder(trace, {{"event=request_done", "id=broken-1",
                                 "status=502", "endpoint=i-1", "runs=1"},
                                {"event=engine_lost", "engine="}}));
}

TEST_CASE("late response is traced to the load of its model") {
  ServedFleet test;
  REQUIRE(waitUntil(seconds(10), [&] {
    return sendCallerRequest(test.Fleet.callerAddress(1), "first", "warm")
               .Status == 200;
  }));
  test.Engine.setLoadTime(Millis(600));
  REQUIRE(
      sendCallerRequest(test.Fleet.callerAddress(3), "cold-1", "cold").Status ==
      200);
  std::string trace = explain(test.Fleet, "cold-1");
  INFO(trace);
  CHECK(containsInOrder(
      trace, {{"event=load_planned", "model=cold", "endpoint=i-1", "order="},
              {"event=order_received", "load=cold", "taken=yes"},
              {"event=engine_order", "kind=load", "model=cold", "status=202"},
              {"event=order_done"},
              {"event=request_done", "id=cold-1", "outcome=answered",
               "model=cold", "wait_ms="}}));
}
