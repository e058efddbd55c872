/// \file
/// Tests of the owner of a role's actor: what holds when it is closed while a
/// handler runs.
#include "core/role_actor.h"

#include <catch2/catch.hpp>

#include <future>
#include <thread>
#include <vector>

using namespace sassafras;

namespace {

struct ActorSetup {
  caf::actor_system_config Config;
  caf::actor_system System{Config};
  boost::asio::io_context Io;
};

constexpr int TickEvent = 0;
constexpr Millis LongPeriod{60'000};

} // namespace

TEST_CASE("closed actor completes its handler and drops queued events") {
  ActorSetup setup;
  RoleActor<int> role(setup.Io, setup.System, "test");
  std::promise<void> isRunning;
  std::vector<std::string> calls; // Used on the thread of Io only.
  std::atomic<int> handled{0};
  std::atomic<int> dropped{0};
  auto handle = [&](int &it) {
    if (it == TickEvent)
      return;
    ++handled;
    isRunning.set_value();
    std::this_thread::sleep_for(Millis(200));
    boost::asio::post(setup.Io, [&] { calls.push_back("sent"); });
  };
  role.start(handle, TickEvent, LongPeriod, [&](int &) { ++dropped; });
  role.post(1);
  isRunning.get_future().wait();
  role.post(2);
  role.close(Clock::now() + std::chrono::seconds(5), [&](bool IsClosed) {
    calls.push_back(IsClosed ? "closed" : "abandoned");
  });
  role.post(3);
  CHECK_FALSE(role.isClosed());
  setup.Io.run();
  CHECK(calls == std::vector<std::string>{"sent", "closed"});
  CHECK(role.isClosed());
  CHECK(handled == 1);
  CHECK(dropped == 2);
}

TEST_CASE("handler that hangs is abandoned at the deadline of the close") {
  ActorSetup setup;
  RoleActor<int> role(setup.Io, setup.System, "test");
  std::promise<void> isRunning;
  std::promise<void> release;
  auto handle = [&](int &it) {
    if (it == TickEvent)
      return;
    isRunning.set_value();
    release.get_future().wait();
  };
  role.start(handle, TickEvent, LongPeriod);
  role.post(1);
  isRunning.get_future().wait();
  TimePoint start = Clock::now();
  std::vector<bool> results;
  role.close(start + Millis(100),
             [&](bool IsClosed) { results.push_back(IsClosed); });
  setup.Io.run();
  CHECK(results == std::vector<bool>{false});
  CHECK(Clock::now() - start >= Millis(100));
  CHECK_FALSE(role.isClosed());
  release.set_value();
}

TEST_CASE("actor whose handler throws anything counts as closed") {
  ActorSetup setup;
  RoleActor<int> role(setup.Io, setup.System, "test");
  role.start(
      [](int &it) {
        if (it != TickEvent)
          throw it;
      },
      TickEvent, LongPeriod);
  role.post(1);
  std::vector<bool> results;
  role.close(Clock::now() + std::chrono::seconds(5),
             [&](bool IsClosed) { results.push_back(IsClosed); });
  setup.Io.run();
  CHECK(results == std::vector<bool>{true});
}

TEST_CASE("actor that was never started is closed") {
  ActorSetup setup;
  RoleActor<int> role(setup.Io, setup.System, "test");
  CHECK(role.isClosed());
  role.post(1);
  std::vector<bool> results;
  role.close(Clock::now() + std::chrono::seconds(5),
             [&](bool IsClosed) { results.push_back(IsClosed); });
  setup.Io.run();
  CHECK(results == std::vector<bool>{true});
}
