/// \file
/// Starts of real processes while something that they need is not there yet: an
/// address or a data folder in use.
#include "replication/disk_log.h"
#include "tests/harness/front_fleet.h"
#include "tests/harness/single_daemon.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <thread>

using namespace sassafras;
using std::chrono::seconds;
namespace files = std::filesystem;

namespace {

/// Time for which a process that lacks something is watched, from the line that
/// says that it waits.
constexpr Millis LackTime{300};
constexpr seconds StartLimit{5};

} // namespace

TEST_CASE("process whose address is in use starts once it is free") {
  std::string role =
      GENERATE("front", "engine_agent", "control", "agent", "entry");
  auto use =
      GENERATE(HeldAddress::Kind::Listener, HeldAddress::Kind::Connection);
  SingleDaemon daemon(role);
  std::vector<std::string> addresses = daemon.addresses();
  for (size_t i = 0; i < addresses.size(); ++i) {
    INFO(role << " port " << i
              << (use == HeldAddress::Kind::Listener
                      ? " held by a listener"
                      : " held by a connection"));
    SingleDaemon other(role);
    HeldAddress held(other.addresses()[i], use);
    other.writeSettings(other.settings());
    other.launch();
    REQUIRE(waitUntil(StartLimit, [&] {
      return other.countInLog("event=start_delayed") == 1;
    }));
    std::this_thread::sleep_for(LackTime);
    INFO(other.log());
    REQUIRE(other.isRunning());
    CHECK(other.countInLog("event=start_delayed") == 1);
    CHECK(other.countInLog("event=started ") == 0);
    for (size_t n = 1; n < addresses.size(); ++n)
      if (n != i)
        CHECK_FALSE(acceptsConnection(other.addresses()[n]));
    held.release();
    CHECK(other.waitForStart(StartLimit));
    for (const std::string &it : other.addresses())
      CHECK(acceptsConnection(it));
    if (i > 0)
      continue;
    other.signal(SIGTERM);
    CHECK(other.waitForExit(seconds(10)) == 0);
  }
}

TEST_CASE("address that the host does not have delays the start") {
  SingleDaemon daemon("front");
  std::string toml = daemon.settings();
  std::string address = daemon.addressOf(1);
  // Of the network for documentation.
  toml.replace(toml.find(address), address.size(), "192.0.2.1:7001");
  daemon.writeSettings(toml);
  daemon.launch();
  REQUIRE(waitUntil(StartLimit, [&] {
    return daemon.countInLog("event=start_delayed") == 1;
  }));
  std::this_thread::sleep_for(LackTime);
  CHECK(daemon.isRunning());
  CHECK(daemon.countInLog("event=start_delayed") == 1);
}

TEST_CASE("SIGTERM ends a process that waits for an address with code 0") {
  SingleDaemon daemon("front");
  HeldAddress held(daemon.addressOf(1), HeldAddress::Kind::Listener);
  daemon.writeSettings(daemon.settings());
  daemon.launch();
  REQUIRE(waitUntil(StartLimit, [&] {
    return daemon.countInLog("event=start_delayed") == 1;
  }));
  std::this_thread::sleep_for(LackTime);
  daemon.signal(SIGTERM);
  CHECK(daemon.waitForExit(seconds(1)) == 0);
}

TEST_CASE("control member whose data folder is in use starts once it is free") {
  SingleDaemon daemon("control");
  daemon.writeSettings(daemon.settings());
  auto holder = std::make_unique<DiskLog>(daemon.dataFolder());
  DiskError problem;
  REQUIRE(holder->open(problem));
  daemon.launch();
  REQUIRE(waitUntil(StartLimit, [&] {
    return daemon.countInLog("event=start_delayed") == 1;
  }));
  std::this_thread::sleep_for(LackTime);
  INFO(daemon.log());
  REQUIRE(daemon.isRunning());
  CHECK_FALSE(acceptsConnection(daemon.addressOf(1)));
  holder.reset();
  CHECK(daemon.waitForStart(StartLimit));
}

TEST_CASE("control member whose data folder cannot be created yet starts once "
          "it can") {
  SingleDaemon daemon("control");
  daemon.writeSettings(daemon.settings());
  std::ofstream(daemon.dataFolder()) << "a file in place of the folder";
  daemon.launch();
  REQUIRE(waitUntil(StartLimit, [&] {
    return daemon.countInLog("event=start_delayed") == 1;
  }));
  std::this_thread::sleep_for(LackTime);
  INFO(daemon.log());
  REQUIRE(daemon.isRunning());
  files::remove(daemon.dataFolder());
  CHECK(daemon.waitForStart(StartLimit));
}

TEST_CASE("damaged data folder ends a control member at once") {
  SingleDaemon daemon("control");
  daemon.writeSettings(daemon.settings());
  files::create_directory(daemon.dataFolder());
  std::ofstream(daemon.dataFolder() + "/identity") << "no number";
  daemon.launch();
  CHECK(daemon.waitForExit(seconds(2)) == 1);
  CHECK(daemon.log().find("damaged") != std::string::npos);
}

TEST_CASE("front that starts while the one before drains takes over its data "
          "folder unharmed") {
  SingleDaemon before("front");
  before.writeSettings(before.settings());
  before.launch();
  REQUIRE(before.waitForStart(StartLimit));
  std::string table = tableText(1);
  REQUIRE(waitUntil(seconds(10), [&] {
    return callHttp(before.addressOf(3), {"POST", "/Config.Put", {}, table},
                    seconds(3))
               .Status == 200;
  }));
  SingleDaemon after("front");
  std::string toml = after.settings();
  std::string folder = after.dataFolder();
  toml.replace(toml.find(folder), folder.size(), before.dataFolder());
  after.writeSettings(toml);
  after.launch();
  REQUIRE(after.waitForStart(StartLimit));
  CHECK(waitUntil(StartLimit, [&] {
    return after.log().find("locked by another process") != std::string::npos;
  }));
  CHECK(after.countInLog("event=folder_read") == 0);
  before.signal(SIGTERM);
  CHECK(before.waitForExit(seconds(10)) == 0);
  INFO(after.log());
  CHECK(waitUntil(StartLimit,
                  [&] { return after.countInLog("event=folder_read") == 1; }));
  CHECK(after.countInLog("blank=no") == 1);
  CHECK(waitUntil(seconds(10), [&] {
    auto read = callHttp(after.addressOf(3), {"GET", "/Config.Get", {}, {}},
                         seconds(3));
    return read.Status == 200 && read.Body == table;
  }));
}
