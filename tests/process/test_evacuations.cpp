/// \file
/// Evacuates an availability zone of real processes.
#include "tests/harness/front_fleet.h"

#include <catch2/catch.hpp>

#include <csignal>

using namespace sassafras;
using std::chrono::seconds;

namespace {

/// Gives an order at a front, following one redirect to the leader.
CallerResponse order(const FrontFleet &Fleet, int Host,
                     const std::string &Path) {
  CallerResponse response =
      callHttp(Fleet.controlAddress(Host), {"POST", Path, {}, ""}, seconds(3));
  if (response.Status != 307)
    return response;
  std::string location(fieldOf(response.Fields, "location"));
  size_t pathStart = location.find('/', 7);
  CHECK(location.substr(pathStart) == Path);
  return callHttp(location.substr(7, pathStart - 7),
                  {"POST", location.substr(pathStart), {}, ""}, seconds(3));
}

unsigned ask(const FrontFleet &Fleet, int Host, const std::string &Id) {
  return sendCallerRequest(Fleet.callerAddress(Host), Id, "warm").Status;
}

} // namespace

TEST_CASE("acknowledged evacuation holds at every front, also after all lost "
          "power") {
  ServedFleet test;
  const FrontFleet &fleet = test.Fleet;
  for (int i = 1; i <= fleet.frontCount(); ++i)
    REQUIRE(waitUntil(seconds(10), [&] { return ask(fleet, i, "x") == 200; }));
  // A front without a disk redirects with the whole path.
  CallerResponse started;
  REQUIRE(waitUntil(seconds(10), [&] {
    started = order(fleet, 4, "/Evacuations.Start/a");
    return started.Status == 200;
  }));
  CHECK(started.Body.find("no endpoint is left") != std::string::npos);
  std::this_thread::sleep_for(Millis(1'500));
  size_t before = test.Engine.receivedRequests().size();
  for (int i = 1; i <= fleet.frontCount(); ++i)
    CHECK(ask(fleet, i, "evacuated-" + std::to_string(i)) == 503);
  // Resends and odd orders.
  CHECK(order(fleet, 1, "/Evacuations.Start/a").Status == 200);
  CHECK(order(fleet, 2, "/Evacuations.End/nowhere").Status == 200);
  CHECK(order(fleet, 3, "/Evacuations.Start/").Status == 400);
  ToolResult status = fleet.ctl("status");
  CHECK(status.Out.find("zone a evacuated for") != std::string::npos);

  for (int i = 1; i <= fleet.frontCount(); ++i)
    test.Fleet.kill(FrontFleet::frontName(i));
  for (int i = 1; i <= fleet.frontCount(); ++i)
    test.Fleet.start(i, false);
  for (int i = 1; i <= fleet.frontCount(); ++i)
    CHECK(waitUntil(seconds(10), [&] { return fleet.isReady(i); }));
  for (int round = 0; round < 5; ++round)
    for (int i = 1; i <= fleet.frontCount(); ++i)
      CHECK(ask(fleet, i,
                "after-" + std::to_string(round) + "-" + std::to_string(i)) ==
            503);
  CHECK(test.Engine.receivedRequests().size() == before);

  ToolResult ended;
  REQUIRE(waitUntil(seconds(10), [&] {
    ended = test.Fleet.ctl("evacuate --end a");
    return ended.Code == 0;
  }));
  CHECK(ended.Out == "a taken back, version 2\n");
  for (int i = 1; i <= fleet.frontCount(); ++i)
    CHECK(waitUntil(seconds(10), [&] { return ask(fleet, i, "y") == 200; }));
}

TEST_CASE("evacuation whose leader is killed is in force once it is "
          "acknowledged") {
  ServedFleet test;
  REQUIRE(
      waitUntil(seconds(10), [&] { return ask(test.Fleet, 4, "x") == 200; }));
  // The order is on its way while one front after the other is killed, the
  // leader among them.
  for (int round = 1; round <= 3; ++round) {
    std::thread killer([&] {
      std::this_thread::sleep_for(Millis(2 * round));
      test.Fleet.signal(FrontFleet::frontName(round), SIGKILL);
    });
    bool isStart = round % 2 == 1;
    const char *path = isStart ? "/Evacuations.Start/a" : "/Evacuations.End/a";
    CHECK(waitUntil(seconds(10), [&] {
      return order(test.Fleet, 1 + round % 3, path).Status == 200;
    }));
    killer.join();
    test.Fleet.waitForExit(FrontFleet::frontName(round), seconds(2));
    test.Fleet.start(round, false);
    for (int i = 1; i <= test.Fleet.frontCount(); ++i) {
      INFO("round " << round << " front " << i);
      CHECK(waitUntil(seconds(10), [&] {
        return ask(test.Fleet, i, "z") == (isStart ? 503U : 200U);
      }));
    }
  }
}
