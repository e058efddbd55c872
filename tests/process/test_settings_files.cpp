/// \file
/// Settings files of real processes that are missing, half written or replaced,
/// at the start and while the process runs.
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

constexpr seconds StartLimit{5};

/// Content up to and without the first \p Text.
std::string cutBefore(const std::string &Content, const std::string &Text) {
  return Content.substr(0, Content.find(Text));
}

} // namespace

TEST_CASE("process started while its settings are written starts once they are "
          "whole") {
  SingleDaemon daemon("front");
  std::string whole = daemon.settings();
  struct {
    const char *State;
    std::optional<std::string> Text; ///< Nothing: there is no file.
  } const cases[] = {
      {"missing", std::nullopt},
      {"empty", ""},
      {"blank", "\n"},
      {"cut in a value", whole.substr(0, whole.find("ready") + 12)},
      {"cut between two lines", cutBefore(whole, "control =")},
      {"cut before an optional key", cutBefore(whole, "data_folder")},
  };
  auto it = GENERATE_COPY(range(0, 6));
  INFO(cases[it].State);
  if (cases[it].Text)
    daemon.writeSettings(*cases[it].Text);
  daemon.launch();
  std::this_thread::sleep_for(Millis(60));
  daemon.writeSettings(whole);
  INFO(daemon.log());
  REQUIRE(daemon.waitForStart(StartLimit));
  CHECK(waitUntil(StartLimit,
                  [&] { return files::exists(daemon.dataFolder()); }));
  daemon.signal(SIGTERM);
  CHECK(daemon.waitForExit(seconds(10)) == 0);
}

TEST_CASE("process whose settings come late starts and logs that it waits") {
  SingleDaemon daemon("front");
  daemon.launch();
  std::this_thread::sleep_for(Millis(1'500));
  REQUIRE(daemon.isRunning());
  CHECK(daemon.countInLog("event=settings_awaited") == 1);
  daemon.writeSettings(daemon.settings());
  CHECK(daemon.waitForStart(StartLimit));
}

TEST_CASE("settings that stay wrong end the process soon with the reason") {
  SingleDaemon daemon("front");
  daemon.writeSettings(daemon.settings() + "unknown_key = 1\n");
  daemon.launch();
  CHECK(daemon.waitForExit(seconds(3)) == 2);
  CHECK(daemon.log().find("unknown key") != std::string::npos);
  // The file has not changed for a while.
  std::error_code ec;
  files::last_write_time(daemon.settingsPath(),
                         files::file_time_type::clock::now() - seconds(60), ec);
  REQUIRE(!ec);
  TimePoint startedAt = Clock::now();
  daemon.launch();
  CHECK(daemon.waitForExit(seconds(3)) == 2);
  CHECK(Clock::now() - startedAt < Millis(500));
}

TEST_CASE("check of settings that are missing or empty does not wait") {
  SingleDaemon daemon("front");
  bool isEmpty = GENERATE(false, true);
  if (isEmpty)
    daemon.writeSettings("");
  TimePoint startedAt = Clock::now();
  daemon.launch({"--check"});
  CHECK(daemon.waitForExit(seconds(3)) == 2);
  CHECK(Clock::now() - startedAt < Millis(500));
}

TEST_CASE("SIGTERM ends a process that waits for its settings with code 0") {
  SingleDaemon daemon("front");
  daemon.launch();
  std::this_thread::sleep_for(Millis(300));
  daemon.signal(SIGTERM);
  CHECK(daemon.waitForExit(seconds(1)) == 0);
}

TEST_CASE("settings file that is no whole file changes nothing in a running "
          "process") {
  SingleDaemon daemon("front");
  std::string whole = daemon.settings() + "stop_grace_s = 30\n";
  daemon.writeSettings(whole);
  daemon.launch();
  REQUIRE(daemon.waitForStart(StartLimit));
  std::string path = daemon.settingsPath();
  const struct {
    const char *State;
    std::function<void()> Apply;
    bool IsLogged; ///< With one line that names the reason.
  } cases[] = {
      {"empty", [&] { daemon.writeSettings(""); }, true},
      {"cut in a value",
       [&] { daemon.writeSettings(whole.substr(0, whole.find("ready") + 12)); },
       true},
      {"cut between two lines",
       [&] { daemon.writeSettings(cutBefore(whole, "control =")); }, true},
      {"removed", [&] { files::remove(path); }, true},
      {"a directory",
       [&] {
         files::remove(path);
         files::create_directory(path);
       },
       true},
      {"a link to itself",
       [&] {
         files::remove(path);
         files::create_symlink(path, path);
       },
       true},
      {"as it was",
       [&] {
         files::remove(path);
         daemon.writeSettings(whole);
       },
       false},
  };
  for (const auto &it : cases) {
    INFO(it.State);
    size_t refused = daemon.countInLog("event=reload_refused");
    it.Apply();
    for (int i = 0; i < 20; ++i) {
      daemon.signal(SIGHUP);
      std::this_thread::sleep_for(Millis(20));
    }
    INFO(daemon.log());
    REQUIRE(daemon.isRunning());
    CHECK(acceptsConnection(daemon.addressOf(1)));
    CHECK(daemon.countInLog("event=reloaded") == 0);
    CHECK(daemon.countInLog("event=reload_refused") - refused ==
          (it.IsLogged ? 1 : 0));
  }
  daemon.writeSettings(whole + "retry_slack = 2\n");
  daemon.signal(SIGHUP);
  CHECK(waitUntil(StartLimit,
                  [&] { return daemon.countInLog("event=reloaded") == 1; }));
}

TEST_CASE("settings that are being written are not taken in part") {
  SingleDaemon daemon("front");
  std::string whole = daemon.settings() + "stop_grace_s = 30\n";
  daemon.writeSettings(whole);
  daemon.launch();
  REQUIRE(daemon.waitForStart(StartLimit));
  // Valid as it is, with other values than the whole.
  daemon.writeSettings(daemon.settings() + "stop_grace_s = 3");
  daemon.signal(SIGHUP);
  std::this_thread::sleep_for(Millis(30));
  daemon.writeSettings(whole);
  daemon.signal(SIGHUP);
  std::this_thread::sleep_for(Millis(1'500));
  CHECK(daemon.countInLog("event=reloaded") == 0);
}

TEST_CASE("changes of settings with 200 SIGHUPs in a second cost no request") {
  constexpr int Rounds = 200;
  ServedFleet served;
  const std::string front = FrontFleet::frontName(1);
  std::string path = served.Fleet.settingsPathOf(front);
  std::ifstream in(path);
  std::string toml((std::istreambuf_iterator<char>(in)), {});
  std::atomic<bool> isOver{false};
  std::atomic<int> failures{0};
  std::atomic<int> successes{0};
  std::thread caller([&] {
    for (int i = 0; !isOver; ++i) {
      auto response = sendCallerRequest(served.Fleet.callerAddress(1),
                                        "call-" + std::to_string(i), "warm");
      bool isServed = response.Status == 200 && response.IsComplete;
      ++(isServed ? successes : failures);
    }
  });
  for (int i = 0; i < Rounds; ++i) {
    std::string text = toml + "retry_slack = " + std::to_string(i % 7) +
                       "\nlongest_pause_s = " + std::to_string(1 + i % 5) +
                       "\n";
    // In place and by a rename in turn.
    if (i % 2 == 0) {
      std::ofstream(path) << text;
    } else {
      std::ofstream(path + ".new") << text;
      files::rename(path + ".new", path);
    }
    served.Fleet.signal(front, SIGHUP);
    std::this_thread::sleep_for(Millis(5));
  }
  CHECK(waitUntil(StartLimit, [&] {
    return served.Fleet.log(front).find("event=reloaded") != std::string::npos;
  }));
  isOver = true;
  caller.join();
  CHECK(served.Fleet.isRunning(front));
  CHECK(served.Fleet.log(front).find("event=reload_refused") ==
        std::string::npos);
  CHECK(failures == 0);
  CHECK(successes > 10);
}
