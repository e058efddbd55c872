/// \file
/// The promises on real processes over loopback: kill -9, SIGSTOP, lost data
/// folders, SIGTERM under load.
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
    "kind,name,base,memory_mb,max_replicas,weight,rate,burst,"
    "longest_wait_s,path,open,repeatable,repeat_window_s\n"
    "organisation,alpha,,,,1,100000,200000,,,,,\n"
    "organisation,beta,,,,1,100000,200000,,,,,\n"
    "model,m1,,4000,2,1,,,8,,,,\n"
    "model,m2,,4000,1,1,,,4,,,,\n"
    "service,crew-booking,,,,1,,,5,/crew,,no,3600\n"
    "service,open-page,,,,1,,,5,/open,yes,yes,\n";

/// A fleet with the table above and a key of tenant alpha.
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
      return countOf(list, " ready ") == Engines + 1;
    }));
  }

  static int countOf(const std::string &Text, const std::string &Part) {
    int n = 0;
    for (size_t at = Text.find(Part); at != std::string::npos;
         at = Text.find(Part, at + 1))
      ++n;
    return n;
  }

  CallerResponse complete(int Entry, const std::string &Prompt, int Tokens = 5,
                          bool IsStream = true, const char *Model = "m1") {
    return callHttp(Fleet.entryAddress(Entry),
                    {"POST",
                     "/v1/completions",
                     {{"authorization", "Bearer " + Key}},
                     "{\"model\":\"" + std::string(Model) + "\",\"prompt\":\"" +
                         Prompt +
                         "\",\"max_tokens\":" + std::to_string(Tokens) +
                         ",\"stream\":" + (IsStream ? "true}" : "false}")});
  }

  CallerResponse charge(int Entry, const std::string &Body) {
    return callHttp(
        Fleet.entryAddress(Entry),
        {"POST", "/crew/charge", {{"authorization", "Bearer " + Key}}, Body});
  }

  /// Runs of a body at the service, by its own count.
  int runsOf(const std::string &Body) {
    CallerResponse state = callHttp(Fleet.httpAddressOf("service-1-endpoint"),
                                    {"GET", "/admin/state", {}, {}});
    // No answer is not the same as no run.
    REQUIRE(state.Status == 200);
    size_t at = state.Body.find("\"" + Body + "\":");
    if (at == std::string::npos)
      return 0;
    return std::atoi(state.Body.c_str() + at + Body.size() + 3);
  }

  ProcessFleet Fleet;
  std::string Key;
};

/// Streams through one entry in the background and counts broken ones.
class Traffic {
public:
  Traffic(TestFleet &Fleet, int Entry, int Callers) {
    for (int i = 0; i < Callers; ++i)
      Threads.emplace_back([this, &Fleet, Entry, i] {
        for (int n = 0; !IsOver; ++n) {
          CallerResponse answer = Fleet.complete(
              Entry, "traffic " + std::to_string(i * 1000 + n), 40);
          bool isServed = answer.Status == 200 && answer.IsComplete &&
                          answer.Body.find("[DONE]") != std::string::npos;
          // No connection is no request: the balancer asks another entry.
          if (answer.Status == 0)
            std::this_thread::sleep_for(Millis(50));
          else
            ++(isServed ? Served : Broken);
        }
      });
  }
  ~Traffic() { stop(); }
  void stop() {
    IsOver = true;
    for (std::thread &it : Threads)
      if (it.joinable())
        it.join();
  }

  std::atomic<int> Served{0};
  std::atomic<int> Broken{0};

private:
  std::atomic<bool> IsOver{false};
  std::vector<std::thread> Threads;
};

bool isDone(const CallerResponse &Answer) {
  return Answer.Status == 200 && Answer.IsComplete;
}

} // namespace

TEST_CASE("planned stop of each role cuts no request") {
  TestFleet test;
  REQUIRE(isDone(test.complete(1, "warm up")));
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
  CHECK(first.Broken == 0);
  CHECK(second.Broken == 0);
}

TEST_CASE("withdrawn key stops everywhere though the leader is frozen") {
  TestFleet test;
  REQUIRE(isDone(test.complete(1, "warm up")));
  std::string leader = test.Fleet.leader();
  test.Fleet.signal(leader, SIGSTOP);
  ToolResult result = test.Fleet.ctl({"--wait", "key", "withdraw", "first"});
  INFO(result.Errors);
  CHECK(result.Code == 0);
  CHECK(test.complete(1, "x").Status == 401);
  CHECK(test.complete(2, "x").Status == 401);
  test.Fleet.signal(leader, SIGCONT);
  // The woken leader neither orders nor brings the key back.
  std::this_thread::sleep_for(seconds(2));
  CHECK(test.complete(1, "y").Status == 401);
  CHECK(test.Fleet.ctl({"key", "list"}).Out.find("first") == std::string::npos);
}

TEST_CASE("withdrawn key cuts a running stream openly") {
  TestFleet test;
  REQUIRE(isDone(test.complete(1, "warm up")));
  CallerResponse answer;
  std::thread caller([&] { answer = test.complete(1, "long", 1500); });
  std::this_thread::sleep_for(seconds(1));
  CHECK(test.Fleet.ctl({"--wait", "key", "withdraw", "first"}).Code == 0);
  caller.join();
  CHECK(answer.Status == 200);
  CHECK_FALSE(answer.IsComplete);
  CHECK(answer.Body.find("event: error") != std::string::npos);
  CHECK(answer.Body.find("key_unknown") != std::string::npos);
}

TEST_CASE("entry cut off from control fails closed for keyed routes") {
  TestFleet test;
  REQUIRE(isDone(test.complete(1, "warm up")));
  for (int i = 1; i <= 3; ++i)
    test.Fleet.signal(ProcessFleet::controlName(i), SIGSTOP);
  CHECK(waitUntil(seconds(10),
                  [&] { return test.complete(1, "x").Status == 503; }));
  CallerResponse open =
      callHttp(test.Fleet.entryAddress(1), {"GET", "/open/page", {}, {}});
  CHECK(open.Status != 401);
  for (int i = 1; i <= 3; ++i)
    test.Fleet.signal(ProcessFleet::controlName(i), SIGCONT);
  CHECK(waitUntil(seconds(20),
                  [&] { return isDone(test.complete(1, "again")); }));
}

TEST_CASE("nothing accepted is lost with a disk and then a second one") {
  TestFleet test;
  REQUIRE(test.charge(1, "{\"charge\":7}").Status == 200);
  // What an operator waits for before the next disk may go.
  auto isRepaired = [&] {
    std::string status = test.Fleet.ctl({"status"}).Out;
    return status.find("losses borne now: 1\n") != std::string::npos &&
           TestFleet::countOf(status, " voter") == 3 &&
           TestFleet::countOf(status, " learner") == 0;
  };
  REQUIRE(waitUntil(seconds(20), isRepaired));
  for (int number : {1, 2, 3}) {
    test.Fleet.kill(ProcessFleet::controlName(number));
    test.Fleet.loseDisk(number);
    test.Fleet.startControl(number);
    REQUIRE(waitUntil(seconds(20), isRepaired));
  }
  // Two leaders were lost within the time that an entry relies on the last one
  // heard: it may refuse until the third has answered it.
  for (int entry : {1, 2}) {
    CallerResponse again;
    bool isServed = waitUntil(seconds(10), [&] {
      again = test.charge(entry, "{\"charge\":7}");
      return again.Status == 200;
    });
    INFO(again.Body);
    CHECK(isServed);
  }
  CHECK(test.runsOf("{\\\"charge\\\":7}") == 1);
  CHECK(test.Fleet.ctl({"key", "list"}).Out.find("first") != std::string::npos);
  CHECK(isDone(test.complete(1, "still served")));
}

TEST_CASE("group without a quorum says what it waits for and loses nothing") {
  TestFleet test;
  REQUIRE(test.charge(1, "{\"charge\":7}").Status == 200);
  // One loses its disk for good while another is down: only one of three
  // voters is left, and the blank one cannot be taken in.
  for (int number : {1, 2})
    test.Fleet.kill(ProcessFleet::controlName(number));
  test.Fleet.loseDisk(1);
  test.Fleet.detachDisk(2);
  test.Fleet.startControl(1);
  // One that led acts until its lease ends.
  ToolResult status;
  REQUIRE(waitUntil(seconds(40), [&] {
    status = test.Fleet.ctl({"status"});
    return status.Code == 3;
  }));
  INFO(status.Errors);
  // Without control-1 where control-3 still led when the blank member came: it
  // has begun to take the lost one out of the group. Only control-2 can help.
  std::string waits =
      "control-3 has no leader and waits for 1 of these voters: ";
  bool namesBoth =
      status.Errors.find(waits + "control-1, control-2\n") != std::string::npos;
  bool namesOne =
      status.Errors.find(waits + "control-2\n") != std::string::npos;
  CHECK((namesBoth || namesOne));
  CHECK(status.Errors.find("control-1 has no leader and waits for a leader to "
                           "take it in") != std::string::npos);
  test.Fleet.reattachDisk(2);
  test.Fleet.startControl(2);
  REQUIRE(waitUntil(seconds(30), [&] {
    return test.charge(2, "{\"charge\":7}").Status == 200;
  }));
  CHECK(test.runsOf("{\\\"charge\\\":7}") == 1);
}

TEST_CASE("hundreds of changes survive a kill of all control members") {
  TestFleet test;
  for (int i = 0; i < 260; ++i)
    REQUIRE(test.charge(1 + i % 2, "{\"charge\":" + std::to_string(i) + "}")
                .Status == 200);
  for (int i = 1; i <= 3; ++i)
    test.Fleet.kill(ProcessFleet::controlName(i));
  for (int i = 1; i <= 3; ++i)
    test.Fleet.startControl(i);
  REQUIRE_FALSE(test.Fleet.leader().empty());
  REQUIRE(waitUntil(seconds(20), [&] {
    return test.charge(1, "{\"charge\":0}").Status == 200;
  }));
  for (int i : {1, 100, 259}) {
    std::string body = "{\"charge\":" + std::to_string(i) + "}";
    CHECK(test.charge(2, body).Status == 200);
    CHECK(test.runsOf("{\\\"charge\\\":" + std::to_string(i) + "}") == 1);
  }
}

TEST_CASE("charge whose agent dies is said to may have run and never reruns") {
  TestFleet test;
  CallerResponse answer;
  std::thread caller([&] { answer = test.charge(1, "{\"charge\":\"SLOW\"}"); });
  REQUIRE(waitUntil(seconds(5), [&] {
    return test.runsOf("{\\\"charge\\\":\\\"SLOW\\\"}") == 1;
  }));
  test.Fleet.kill("service-1");
  caller.join();
  CHECK(answer.Status >= 400);
  CHECK(answer.Body.find("may_have_run") != std::string::npos);
  test.Fleet.startService();
  CallerResponse again = test.charge(2, "{\"charge\":\"SLOW\"}");
  CHECK(again.Status == 409);
  CHECK(again.Body.find("may_have_run") != std::string::npos);
}

TEST_CASE("request that crashes its endpoint is barred after two deaths") {
  TestFleet test(3);
  REQUIRE(isDone(test.complete(1, "warm up")));
  CallerResponse first = test.complete(1, "CRASH", 5, false);
  CHECK(first.Status >= 400);
  auto deaths = [&] {
    int n = 0;
    for (int i = 1; i <= 3; ++i)
      n += !test.Fleet.isRunning(ProcessFleet::engineName(i) + "-endpoint");
    return n;
  };
  for (int i = 0; i < 4 && deaths() < 2; ++i)
    test.complete(1 + i % 2, "CRASH", 5, false);
  CHECK(deaths() == 2);
  CHECK(waitUntil(seconds(10), [&] {
    return test.complete(2, "CRASH", 5, false).Status == 422;
  }));
  CHECK(test.complete(1, "CRASH", 5, false).Status == 422);
  CHECK(deaths() == 2);
  CHECK(waitUntil(seconds(20),
                  [&] { return isDone(test.complete(1, "bystander")); }));
}

TEST_CASE("answer that breaks off is never passed on as whole") {
  TestFleet test;
  REQUIRE(isDone(test.complete(1, "warm up")));
  CallerResponse cut = test.complete(1, "CUT here", 20);
  CHECK_FALSE(isDone(cut));
  CallerResponse stalled = test.complete(1, "STALL here", 20, true, "m2");
  CHECK(stalled.Status == 503);
  CHECK(stalled.Body.find("may_have_run") != std::string::npos);
}

TEST_CASE("no endpoint sees a key, nor does a log or a metric") {
  TestFleet test;
  REQUIRE(isDone(test.complete(1, "warm up")));
  struct Place {
    const char *What;
    HttpRequest Request;
    unsigned Status;
  };
  const std::string &key = test.Key;
  const Place cases[] = {
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
  for (const Place &it : cases) {
    INFO(it.What);
    CHECK(callHttp(test.Fleet.entryAddress(1), it.Request).Status == it.Status);
  }
  CallerResponse state =
      callHttp(test.Fleet.httpAddressOf("service-1-endpoint"),
               {"GET", "/admin/state", {}, {}});
  CHECK(state.Body.find("\"keys_seen\":0") != std::string::npos);
  for (const std::string &it : test.Fleet.running())
    CHECK(test.Fleet.log(it).find(key) == std::string::npos);
  CallerResponse metrics =
      callHttp(test.Fleet.entryAddress(1), {"GET", "/metrics", {}, {}});
  CHECK(metrics.Body.find("sk-") == std::string::npos);
}

TEST_CASE("one wake-up however many entries ask at once") {
  TestFleet test(2, Millis(1500));
  std::vector<std::thread> callers;
  std::atomic<int> served{0};
  callers.reserve(12);
  for (int i = 0; i < 12; ++i)
    callers.emplace_back([&, i] {
      served += isDone(test.complete(1 + i % 2, "burst " + std::to_string(i), 5,
                                     true, "m2"));
    });
  for (std::thread &it : callers)
    it.join();
  CHECK(served == 12);
  double loads = test.Fleet.metric("engine-1", "orders_total{kind=\"load\"}") +
                 test.Fleet.metric("engine-2", "orders_total{kind=\"load\"}");
  CHECK(loads == 1);
}

TEST_CASE("agent that restarts keeps what its endpoint holds") {
  TestFleet test(1);
  REQUIRE(isDone(test.complete(1, "warm up")));
  test.Fleet.kill("engine-1");
  test.Fleet.startAgentOnly(1);
  CHECK(waitUntil(seconds(20),
                  [&] { return isDone(test.complete(1, "again")); }));
  CHECK(test.Fleet.metric("engine-1", "orders_total{kind=\"load\"}") == 0);
  CHECK(test.Fleet.metric("engine-1", "orders_total{kind=\"unload\"}") == 0);
}

TEST_CASE("operators race on one version and resend") {
  TestFleet test;
  std::string path = test.Fleet.folder() + "/table.csv";
  std::vector<int> codes(3);
  std::vector<std::thread> operators;
  operators.reserve(3);
  // Each tool run is a process of its own; the base version is the same.
  std::vector<std::vector<std::string>> words;
  for (int i = 0; i < 3; ++i)
    words.push_back({"--base", "1", "--operation", "op" + std::to_string(i),
                     "table", "put", path});
  for (size_t i = 0; i < 3; ++i)
    operators.emplace_back(
        [&, i] { codes[i] = test.Fleet.ctl(words[i]).Code; });
  for (std::thread &it : operators)
    it.join();
  CHECK(std::count(codes.begin(), codes.end(), 0) == 1);
  CHECK(std::count(codes.begin(), codes.end(), 4) == 2);
  for (size_t i = 0; i < 3; ++i)
    CHECK(test.Fleet.ctl(words[i]).Code == codes[i]);
}
