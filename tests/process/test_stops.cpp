/// \file
/// Stops real processes by signals at any stage: each must end by itself with
/// code 0.
#include "tests/harness/front_fleet.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <thread>

using namespace sassafras;
using std::chrono::seconds;

namespace {

/// Waits until the group of the fleet accepts tables.
void awaitGroup(const FrontFleet &Fleet) {
  REQUIRE(waitUntil(seconds(15),
                    [&] { return Fleet.putTable(1, tableText(1)) == 200; }));
}

} // namespace

// The default action of a signal ended the process while it closed its links.
TEST_CASE("signals that repeat until a process has ended do not change its "
          "exit code") {
  FrontFleet fleet({3, 3});
  awaitGroup(fleet);
  for (int i = 1; i <= 3; ++i)
    fleet.signal(FrontFleet::frontName(i), SIGTERM);
  bool isRunning = true;
  while (isRunning) {
    isRunning = false;
    for (int i = 1; i <= 3; ++i) {
      std::string name = FrontFleet::frontName(i);
      isRunning = isRunning || fleet.isRunning(name);
      for (int it : {SIGTERM, SIGHUP, SIGINT})
        fleet.signal(name, it);
    }
    std::this_thread::sleep_for(std::chrono::microseconds(200));
  }
  for (int i = 1; i <= 3; ++i) {
    INFO("front " << i);
    CHECK(fleet.waitForExit(FrontFleet::frontName(i), seconds(5)) == 0);
  }
}

// The handler was installed after the start.
TEST_CASE("stop signal while the settings are read ends a process with code "
          "0") {
  for (int it : {SIGTERM, SIGINT}) {
    INFO("signal " << it);
    FrontFleet fleet({1, 0});
    CHECK_FALSE(fleet.startAgentWithEarlySignal(9, it));
    CHECK(fleet.waitForExit(FrontFleet::agentName(9), seconds(5)) == 0);
  }
}
