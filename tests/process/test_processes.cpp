/// \file
/// Checks the guarantees of the fleet with real processes over loopback:
/// kill -9, SIGSTOP, lost data folders, SIGTERM under load.
#include "tests/harness/process_fleet.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <csignal>
#include <fstream>
#include <thread>

using namespace sassafras;
using std::chrono::seconds;

namespace {

constexpr const char *Table =
    "kind,name,base,memory_mb,max_replicas,weight,rate,burst,longest_wait_s,"
    "path,open,repeatable,repeat_window_s\norganisation,alpha,,,,1,100000,"
    "200000,,,,,\norganisation,beta,,,,1,100000,200000,,,,,\nmodel,m1,,4000,2,"
    "1,,,8,,,,\nmodel,m2,,4000,1,1,,,4,,,,\nservice,crew-booking,,,,1,,,5,/"
    "crew,,no,3600\nservice,open-page,,,,1,,,5,/open,yes,yes,\n";

/// A fleet with the table above and a key of organisation alpha.
class TestFleet {
public:
  explicit TestFleet(int Engines = 2, Millis LoadTime = Millis(100))
      : Fleet(bloomline(), LoadTime) {
    EngineOptions options;
    options.TokenMs = 10;
    Fleet.startAll(Engines, options);
    Fleet.leader();
    std::string path = Fleet.folder() + "/table.csv";
    std::ofstream(path) << Table;
    ToolResult put = Fleet.ctl({"--wait", "table", "put", path});
    INFO(put.Errors);
    REQUIRE(put.Code == 0);
    Key = Fleet.grantKey("alpha", "first");
    REQUIRE_FALSE(Key.empty());
    REQUIRE(waitUntil(seconds(15), [&] {
      std::string list = Fleet.ctl({"endpoints"}).Out;
      return countOccurrences(list, " ready ") == Engines + 1;
    }));
  }

  static int countOccurrences(const std::string &Text,
                              const std::string &Part) {
    int n = 0;
    for (size_t at = Text.find(Part); at != std::string::npos;
         at = Text.find(Part, at + 1))
      ++n;
    return n;
  }

  CallerResponse sendCompletion(int Entry, const std::string &Prompt,
                                int Tokens = 5, bool IsStream = true,
                                const char *Model = "m1") {
    return callHttp(Fleet.entryAddress(Entry),
                    {"POST",
                     "/v1/completions",
                     {{"authorization", "Bearer " + Key}},
                     "{\"model\":\"" + std::string(Model) + "\",\"prompt\":\"" +
                         Prompt +
                         "\",\"max_tokens\":" + std::to_string(Tokens) +
                         ",\"stream\":" + (IsStream ? "true}" : "false}")});
  }

  CallerResponse sendCharge(int Entry, const std::string &Body) {
    return callHttp(
        Fleet.entryAddress(Entry),
        {"POST", "/crew/charge", {{"authorization", "Bearer " + Key}}, Body});
  }

  /// Returns how often the service has run a body, by its own counter.
  int countRuns(const std::string &Body) {
    CallerResponse state = callHttp(Fleet.httpAddressOf("service-1-endpoint"),
                                    {"GET", "/admin/state", {}, {}});
    // Without a response the number of runs is unknown, not 0.
    REQUIRE(state.Status == 200);
    size_t at = state.Body.find("\"" + Body + "\":");
    if (at == std::string::npos)
      return 0;
    return std::atoi(state.Body.c_str() + at + Body.size() + 3);
  }

  ProcessFleet Fleet;
  std::string Key;
};

/// Requests streams through one entry in the background and counts those that
/// were served completely and those that failed.
class Traffic {
public:
  Traffic(TestFleet &Fleet, int Entry, int Callers) {
    for (int i = 0; i < Callers; ++i)
      Threads.emplace_back([this, &Fleet, Entry, i] {
        for (int n = 0; !IsStopped; ++n) {
          CallerResponse response = Fleet.sendCompletion(
              Entry, "traffic " + std::to_string(i * 1000 + n), 40);
          bool isServed = response.Status == 200 && response.IsComplete &&
                          response.Body.find("[DONE]") != std::string::npos;
          // Without a connection there was no request: a load balancer would
          // try another entry.
          if (response.Status == 0)
            std::this_thread::sleep_for(Millis(50));
          else
            ++(isServed ? Served : Failed);
        }
      });
  }
  ~Traffic() { stop(); }
  void stop() {
    IsStopped = true;
    for (std::thread &it : Threads)
      if (it.joinable())
        it.join();
  }

  std::atomic<int> Served{0};
  std::atomic<int> Failed{0};

private:
  std::atomic<bool> IsStopped{false};
  std::vector<std::thread> Threads;
};

bool isSuccess(const CallerResponse &Response) {
  return Response.Status == 200 && Response.IsComplete;
}

} // namespace

TEST_CASE("planned stop of each role interrupts no request") {
  TestFleet test;
  REQUIRE(isSuccess(test.sendCompletion(1, "warm up")));
  Traffic first(test, 1, 4);
  Traffic second(test, 2, 4);
  REQUIRE(waitUntil(seconds(20), [&] { return second.Served > 5; }));
  std::string leader = test.Fleet.leader();
  test.Fleet.signal(leader, SIGTERM);
  CHECK(test.Fleet.waitForExit(leader, seconds(10)) == 0);
  test.Fleet.signal("engine-1", SIGTERM);
  test.Fleet.signal("engine-1", SIGTERM);
  CHECK(test.Fleet.waitForExit("engine-1", seconds(15)) == 0);
  test.Fleet.signal("entry-1", SIGTERM);
  CHECK(test.Fleet.waitForExit("entry-1", seconds(20)) == 0);
  int before = second.Served;
  CHECK(waitUntil(seconds(20), [&] { return second.Served > before + 4; }));
  first.stop();
  second.stop();
  CHECK(first.Failed == 0);
  CHECK(second.Failed == 0);
}

TEST_CASE("withdrawn key is rejected everywhere while the leader is frozen") {
  TestFleet test;
  REQUIRE(isSuccess(test.sendCompletion(1, "warm up")));
  std::string leader = test.Fleet.leader();
  test.Fleet.signal(leader, SIGSTOP);
  ToolResult result = test.Fleet.ctl({"--wait", "key", "withdraw", "first"});
  INFO(result.Errors);
  CHECK(result.Code == 0);
  CHECK(test.sendCompletion(1, "x").Status == 401);
  CHECK(test.sendCompletion(2, "x").Status == 401);
  test.Fleet.signal(leader, SIGCONT);
  // The resumed leader neither issues orders nor restores the key.
  std::this_thread::sleep_for(seconds(2));
  CHECK(test.sendCompletion(1, "y").Status == 401);
  CHECK(test.Fleet.ctl({"key", "list"}).Out.find("first") == std::string::npos);
}

TEST_CASE("withdrawn key aborts a running stream with an error event") {
  TestFleet test;
  REQUIRE(isSuccess(test.sendCompletion(1, "warm up")));
  CallerResponse response;
  std::thread caller([&] { response = test.sendCompletion(1, "long", 1500); });
  std::this_thread::sleep_for(seconds(1));
  CHECK(test.Fleet.ctl({"--wait", "key", "withdraw", "first"}).Code == 0);
  caller.join();
  CHECK(response.Status == 200);
  CHECK_FALSE(response.IsComplete);
  CHECK(response.Body.find("event: error") != std::string::npos);
  CHECK(response.Body.find("key_unknown") != std::string::npos);
}

TEST_CASE("entry cut off from control fails closed for keyed routes") {
  TestFleet test;
  REQUIRE(isSuccess(test.sendCompletion(1, "warm up")));
  for (int i = 1; i <= 3; ++i)
    test.Fleet.signal(ProcessFleet::controlName(i), SIGSTOP);
  CHECK(waitUntil(seconds(10),
                  [&] { return test.sendCompletion(1, "x").Status == 503; }));
  CallerResponse open =
      callHttp(test.Fleet.entryAddress(1), {"GET", "/open/page", {}, {}});
  CHECK(open.Status != 401);
  for (int i = 1; i <= 3; ++i)
    test.Fleet.signal(ProcessFleet::controlName(i), SIGCONT);
  CHECK(waitUntil(seconds(20),
                  [&] { return isSuccess(test.sendCompletion(1, "again")); }));
}

TEST_CASE("nothing accepted is lost when members lose their disks in turn") {
  TestFleet test;
  REQUIRE(test.sendCharge(1, "{\"charge\":7}").Status == 200);
  // What an operator waits for before removing the next disk.
  auto isRepaired = [&] {
    std::string status = test.Fleet.ctl({"status"}).Out;
    return status.find("losses borne now: 1\n") != std::string::npos &&
           TestFleet::countOccurrences(status, " voter") == 3 &&
           TestFleet::countOccurrences(status, " learner") == 0;
  };
  REQUIRE(waitUntil(seconds(20), isRepaired));
  for (int number : {1, 2, 3}) {
    test.Fleet.kill(ProcessFleet::controlName(number));
    test.Fleet.loseDisk(number);
    test.Fleet.startControl(number);
    REQUIRE(waitUntil(seconds(20), isRepaired));
  }
  // Two leaders were lost within the time for which an entry relies on the last
  // leader it heard from: it may refuse requests until the third has replied.
  for (int entry : {1, 2}) {
    CallerResponse again;
    bool isServed = waitUntil(seconds(10), [&] {
      again = test.sendCharge(entry, "{\"charge\":7}");
      return again.Status == 200;
    });
    INFO(again.Body);
    CHECK(isServed);
  }
  CHECK(test.countRuns("{\\\"charge\\\":7}") == 1);
  CHECK(test.Fleet.ctl({"key", "list"}).Out.find("first") != std::string::npos);
  CHECK(isSuccess(test.sendCompletion(1, "still served")));
}

TEST_CASE("group without a quorum says what it waits for and loses nothing") {
  TestFleet test;
  REQUIRE(test.sendCharge(1, "{\"charge\":7}").Status == 200);
  // control-1 loses its disk permanently while control-2 is down: only one of
  // three voters is left, and the empty control-1 cannot join the group.
  for (int number : {1, 2})
    test.Fleet.kill(ProcessFleet::controlName(number));
  test.Fleet.loseDisk(1);
  test.Fleet.detachDisk(2);
  test.Fleet.startControl(1);
  // A leader that has lost its quorum continues to act until its lease ends.
  ToolResult status;
  REQUIRE(waitUntil(seconds(40), [&] {
    status = test.Fleet.ctl({"status"});
    return status.Code == 3;
  }));
  INFO(status.Errors);
  // control-1 is not listed if control-3 was still the leader when the empty
  // member started: control-3 has then begun to remove the lost control-1 from
  // the group, and only control-2 can restore the quorum.
  std::string prefix =
      "control-3 has no leader and waits for 1 of these voters: ";
  bool namesBoth = status.Errors.find(prefix + "control-1, control-2\n") !=
                   std::string::npos;
  bool namesOne =
      status.Errors.find(prefix + "control-2\n") != std::string::npos;
  CHECK((namesBoth || namesOne));
  CHECK(status.Errors.find("control-1 has no leader and waits for a leader to "
                           "add it to the group") != std::string::npos);
  test.Fleet.reattachDisk(2);
  test.Fleet.startControl(2);
  REQUIRE(waitUntil(seconds(30), [&] {
    return test.sendCharge(2, "{\"charge\":7}").Status == 200;
  }));
  CHECK(test.countRuns("{\\\"charge\\\":7}") == 1);
}

TEST_CASE("hundreds of changes survive a kill of all control members") {
  TestFleet test;
  for (int i = 0; i < 260; ++i)
    REQUIRE(test.sendCharge(1 + i % 2, "{\"charge\":" + std::to_string(i) + "}")
                .Status == 200);
  for (int i = 1; i <= 3; ++i)
    test.Fleet.kill(ProcessFleet::controlName(i));
  for (int i = 1; i <= 3; ++i)
    test.Fleet.startControl(i);
  REQUIRE_FALSE(test.Fleet.leader().empty());
  REQUIRE(waitUntil(seconds(20), [&] {
    return test.sendCharge(1, "{\"charge\":0}").Status == 200;
  }));
  for (int i : {1, 100, 259}) {
    std::string body = "{\"charge\":" + std::to_string(i) + "}";
    CHECK(test.sendCharge(2, body).Status == 200);
    CHECK(test.countRuns("{\\\"charge\\\":" + std::to_string(i) + "}") == 1);
  }
}

TEST_CASE(
    "charge whose agent dies is reported as may_have_run and never reruns") {
  TestFleet test;
  CallerResponse response;
  std::thread caller(
      [&] { response = test.sendCharge(1, "{\"charge\":\"SLOW\"}"); });
  REQUIRE(waitUntil(seconds(5), [&] {
    return test.countRuns("{\\\"charge\\\":\\\"SLOW\\\"}") == 1;
  }));
  test.Fleet.kill("service-1");
  caller.join();
  CHECK(response.Status >= 400);
  CHECK(response.Body.find("may_have_run") != std::string::npos);
  test.Fleet.startService();
  CallerResponse again = test.sendCharge(2, "{\"charge\":\"SLOW\"}");
  CHECK(again.Status == 409);
  CHECK(again.Body.find("may_have_run") != std::string::npos);
}

TEST_CASE("request that crashes its endpoint is rejected after two crashes") {
  TestFleet test(3);
  REQUIRE(isSuccess(test.sendCompletion(1, "warm up")));
  CallerResponse first = test.sendCompletion(1, "CRASH", 5, false);
  CHECK(first.Status >= 400);
  auto countCrashes = [&] {
    int n = 0;
    for (int i = 1; i <= 3; ++i)
      n += !test.Fleet.isRunning(ProcessFleet::engineName(i) + "-endpoint");
    return n;
  };
  for (int i = 0; i < 4 && countCrashes() < 2; ++i)
    test.sendCompletion(1 + i % 2, "CRASH", 5, false);
  CHECK(countCrashes() == 2);
  CHECK(waitUntil(seconds(10), [&] {
    return test.sendCompletion(2, "CRASH", 5, false).Status == 422;
  }));
  CHECK(test.sendCompletion(1, "CRASH", 5, false).Status == 422);
  CHECK(countCrashes() == 2);
  CHECK(waitUntil(seconds(20), [&] {
    return isSuccess(test.sendCompletion(1, "bystander"));
  }));
}

TEST_CASE("truncated response is never forwarded as complete") {
  TestFleet test;
  REQUIRE(isSuccess(test.sendCompletion(1, "warm up")));
  CallerResponse truncated = test.sendCompletion(1, "CUT here", 20);
  CHECK_FALSE(isSuccess(truncated));
  CallerResponse stalled = test.sendCompletion(1, "STALL here", 20, true, "m2");
  CHECK(stalled.Status == 503);
  CHECK(stalled.Body.find("may_have_run") != std::string::npos);
}

TEST_CASE("no key reaches an endpoint, a log or a metric") {
  TestFleet test;
  REQUIRE(isSuccess(test.sendCompletion(1, "warm up")));
  struct KeyCase {
    const char *Name;
    HttpRequest Request;
    unsigned Status;
  };
  const std::string &key = test.Key;
  const KeyCase cases[] = {
      {"bearer",
       {"GET", "/crew/a", {{"authorization", "Bearer " + key}}, {}},
       200},
      {"lower case",
       {"GET", "/crew/b", {{"authorization", "bearer " + key}}, {}},
       200},
      {"x-api-key", {"GET", "/crew/c", {{"X-Api-Key", key}}, {}}, 200},
      {"api-key", {"GET", "/crew/d", {{"api-key", key}}, {}}, 200},
      {"query", {"GET", "/crew/e?a=1&api_key=" + key + "&b=2", {}, {}}, 200},
      {"other header too",
       {"GET", "/crew/f", {{"x-api-key", key}, {"x-trace", "k=" + key}}, {}},
       200},
      {"cookie",
       {"GET", "/crew/g", {{"x-api-key", key}, {"cookie", key}}, {}},
       200},
      {"body", {"POST", "/crew/h", {{"x-api-key", key}}, "key=" + key}, 400},
      {"path", {"GET", "/crew/" + key, {{"x-api-key", key}}, {}}, 400},
      {"open route", {"GET", "/open/a", {{"x-api-key", key}}, {}}, 503},
      {"missing", {"GET", "/crew/i", {}, {}}, 401},
      {"wrong", {"GET", "/crew/j", {{"x-api-key", "sk-other"}}, {}}, 401},
  };
  for (const KeyCase &it : cases) {
    INFO(it.Name);
    CHECK(callHttp(test.Fleet.entryAddress(1), it.Request).Status == it.Status);
  }
  CallerResponse state =
      callHttp(test.Fleet.httpAddressOf("service-1-endpoint"),
               {"GET", "/admin/state", {}, {}});
  CHECK(state.Body.find("\"keys_seen\":0") != std::string::npos);
  for (const std::string &it : test.Fleet.processes())
    CHECK(test.Fleet.log(it).find(key) == std::string::npos);
  CallerResponse metrics =
      callHttp(test.Fleet.entryAddress(1), {"GET", "/metrics", {}, {}});
  CHECK(metrics.Body.find("sk-") == std::string::npos);
}

TEST_CASE("concurrent requests at several entries cause only one cold start") {
  TestFleet test(2, Millis(1500));
  std::vector<std::thread> callers;
  std::atomic<int> served{0};
  callers.reserve(12);
  for (int i = 0; i < 12; ++i)
    callers.emplace_back([&, i] {
      served += isSuccess(test.sendCompletion(
          1 + i % 2, "burst " + std::to_string(i), 5, true, "m2"));
    });
  for (std::thread &it : callers)
    it.join();
  CHECK(served == 12);
  double loads = test.Fleet.metric("engine-1", "orders_total{kind=\"load\"}") +
                 test.Fleet.metric("engine-2", "orders_total{kind=\"load\"}");
  CHECK(loads == 1);
}

TEST_CASE("restarted agent keeps the models that its endpoint has loaded") {
  TestFleet test(1);
  REQUIRE(isSuccess(test.sendCompletion(1, "warm up")));
  test.Fleet.kill("engine-1");
  test.Fleet.startAgentOnly(1);
  CHECK(waitUntil(seconds(20),
                  [&] { return isSuccess(test.sendCompletion(1, "again")); }));
  CHECK(test.Fleet.metric("engine-1", "orders_total{kind=\"load\"}") == 0);
  CHECK(test.Fleet.metric("engine-1", "orders_total{kind=\"unload\"}") == 0);
}

TEST_CASE("concurrent and resent table edits of one base version apply once") {
  TestFleet test;
  std::string path = test.Fleet.folder() + "/table.csv";
  std::vector<int> codes(3);
  std::vector<std::thread> operators;
  operators.reserve(3);
  // Each tool run is a separate process; all use the same base version.
  std::vector<std::vector<std::string>> arguments;
  for (int i = 0; i < 3; ++i)
    arguments.push_back({"--base", "1", "--operation", "op" + std::to_string(i),
                         "table", "put", path});
  for (size_t i = 0; i < 3; ++i)
    operators.emplace_back(
        [&, i] { codes[i] = test.Fleet.ctl(arguments[i]).Code; });
  for (std::thread &it : operators)
    it.join();
  CHECK(std::count(codes.begin(), codes.end(), 0) == 1);
  CHECK(std::count(codes.begin(), codes.end(), 4) == 2);
  for (size_t i = 0; i < 3; ++i)
    CHECK(test.Fleet.ctl(arguments[i]).Code == codes[i]);
}
