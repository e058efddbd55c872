/// \file
/// Stops real processes while their disk is slow or hangs, and by signals at
/// any stage: each must end by itself with code 0.
#include "tests/harness/front_fleet.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <thread>

using namespace sassafras;
using std::chrono::seconds;

namespace {

FrontFleetSize slowDisks() {
  FrontFleetSize size;
  size.Fronts = 3;
  size.HasSlowDisks = true;
  return size;
}

/// Waits until the group of the fleet accepts tables.
void awaitGroup(const FrontFleet &Fleet) {
  REQUIRE(waitUntil(seconds(15),
                    [&] { return Fleet.putTable(1, tableText(1)) == 200; }));
}

} // namespace

// The actor of the group called the link after it had been freed.
TEST_CASE("fronts whose disk is slow in their stop end with code 0") {
  FrontFleet fleet(slowDisks());
  awaitGroup(fleet);
  fleet.delayDisks(Millis(400));
  for (int i = 1; i <= 3; ++i)
    fleet.signal(FrontFleet::frontName(i), SIGTERM);
  for (int i = 1; i <= 3; ++i) {
    INFO("front " << i);
    CHECK(fleet.waitForExit(FrontFleet::frontName(i), seconds(12)) == 0);
    CHECK(fleet.log(FrontFleet::frontName(i)).find("event=stopped") !=
          std::string::npos);
  }
}

// The process waited for its actor without limit.
TEST_CASE("fronts whose disk hangs in their stop end with code 0") {
  FrontFleet fleet(slowDisks());
  awaitGroup(fleet);
  fleet.delayDisks(Millis(60'000));
  for (int i = 1; i <= 3; ++i)
    fleet.signal(FrontFleet::frontName(i), SIGTERM);
  for (int i = 1; i <= 3; ++i) {
    INFO("front " << i);
    CHECK(fleet.waitForExit(FrontFleet::frontName(i), seconds(9)) == 0);
    CHECK(fleet.log(FrontFleet::frontName(i)).find("event=stopped") !=
          std::string::npos);
  }
}

// The stop was an event of the actor, which the disk held up, and the process
// waited for that actor without limit.
TEST_CASE("control members whose disk is slow or hangs in their stop end with "
          "code 0") {
  for (Millis it : {Millis(400), Millis(60'000)}) {
    INFO("delay in ms " << it.count());
    ProcessFleet fleet(bloomline(), Millis(100), DiskKind::Slow);
    for (int i = 1; i <= 3; ++i)
      fleet.startControl(i);
    std::string leader = fleet.leader();
    REQUIRE_FALSE(leader.empty());
    fleet.delayDisks(it);
    fleet.kill(leader);
    // The others write their vote in an election.
    std::this_thread::sleep_for(Millis(2'500));
    for (int i = 1; i <= 3; ++i)
      fleet.signal(ProcessFleet::controlName(i), SIGTERM);
    for (int i = 1; i <= 3; ++i) {
      std::string name = ProcessFleet::controlName(i);
      INFO(name);
      if (name != leader)
        CHECK(fleet.waitForExit(name, seconds(9)) == 0);
    }
  }
}

// The default action of a signal ended the process while it closed its links.
TEST_CASE("file size limit that is reached ends no front") {
  FrontFleet fleet({3, 3});
  awaitGroup(fleet);
  for (int i = 1; i <= 3; ++i)
    fleet.limitFileSize(FrontFleet::frontName(i), 0);
  fleet.putTable(1, tableText(2));
  std::this_thread::sleep_for(Millis(500));
  for (int i = 1; i <= 3; ++i) {
    INFO("front " << i);
    CHECK(fleet.isRunning(FrontFleet::frontName(i)));
    fleet.limitFileSize(FrontFleet::frontName(i), std::nullopt);
  }
  CHECK(waitUntil(seconds(15),
                  [&] { return fleet.putTable(1, tableText(3)) == 200; }));
}

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

TEST_CASE("stop signals at any time of the start end a process with code 0") {
  FrontFleet fleet({1, 0});
  for (int i = 0; i < 40; ++i) {
    std::chrono::microseconds delay(i * 1'000);
    INFO("delay in us " << delay.count());
    REQUIRE(fleet.startAgentAndSignal(9, delay, {SIGTERM, SIGHUP, SIGTERM}));
    CHECK(fleet.waitForExit(FrontFleet::agentName(9), seconds(5)) == 0);
  }
}
