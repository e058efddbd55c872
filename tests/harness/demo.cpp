/// \file
/// The demonstration: starts a fleet, serves every kind of request, causes a
/// few failures and says for each step what was expected and what came.
#include "tests/harness/process_fleet.h"

#include <atomic>
#include <csignal>
#include <cstdio>
#include <cstring>
#include <thread>

using namespace sassafras;
using std::chrono::seconds;

namespace {

/// Names from the sample table of a deployment.
struct Sample {
  Deployment Kind;
  std::string Tenant;
  std::string SmallTenant;
  std::string Model;
  std::string OtherModel;
  std::string Adapter;
  std::string ServicePath;
};

Sample sampleOf(const char *Name) {
  if (std::strcmp(Name, "fixit") == 0)
    return {fixIt(),         "may-pen-cafe", "mandeville-cafe", "repair-note",
            "fault-history", "note-radios",  "/intake/charge"};
  return {bloomline(),    "galle-face-hotel", "dehiwala-council",
          "plaque-draft", "renewal-quote",    "plaque-dehiwala",
          "/crew/charge"};
}

class Demo {
public:
  explicit Demo(Sample Names)
      : Names(std::move(Names)), Fleet(this->Names.Kind, Millis(600)) {}
  int run();

private:
  void step(const char *What, const std::string &Expected,
            const std::string &Came, bool IsGood);
  CallerResponse complete(int Entry, const std::string &Key,
                          const std::string &Model, const std::string &Prompt,
                          int Tokens, bool IsStream);
  CallerResponse charge(int Entry, const std::string &Body);
  void startFleet();
  void serveModels();
  void serveService();
  void refuse();
  void withdraw();
  void breakThings();
  void inspect();
  void stopFleet();

  Sample Names;
  ProcessFleet Fleet;
  std::string Key;
  int Steps = 0;
  int Good = 0;
};

std::string say(const CallerResponse &Answer) {
  return std::to_string(Answer.Status) +
         (Answer.IsComplete ? " whole" : " cut");
}

void Demo::step(const char *What, const std::string &Expected,
                const std::string &Came, bool IsGood) {
  ++Steps;
  Good += IsGood;
  std::printf("%s %2d %s: expected %s; came %s\n", IsGood ? "ok  " : "FAIL",
              Steps, What, Expected.c_str(), Came.c_str());
  std::fflush(stdout);
}

CallerResponse Demo::complete(int Entry, const std::string &UsedKey,
                              const std::string &Model,
                              const std::string &Prompt, int Tokens,
                              bool IsStream) {
  std::string body = "{\"model\":\"" + Model + "\",\"prompt\":\"" + Prompt +
                     "\",\"max_tokens\":" + std::to_string(Tokens) +
                     ",\"stream\":" + (IsStream ? "true" : "false") + "}";
  return callHttp(Fleet.entryAddress(Entry),
                  {"POST",
                   "/v1/completions",
                   {{"authorization", "Bearer " + UsedKey}},
                   body},
                  seconds(70));
}

CallerResponse Demo::charge(int Entry, const std::string &Body) {
  return callHttp(Fleet.entryAddress(Entry),
                  {"POST", Names.ServicePath, {{"x-api-key", Key}}, Body});
}

void Demo::startFleet() {
  Fleet.startAll(3, {});
  std::string leader = Fleet.leader();
  step("fleet starts", "a control leader", leader, !leader.empty());
  ToolResult put = Fleet.ctl({"--wait", "table", "put", Fleet.sampleTable()});
  step("table put", "in force", put.Out + put.Errors, put.Code == 0);
  Key = Fleet.grantKey(Names.Tenant, "first");
  step("key granted", "a key", Key.empty() ? "none" : "a key", !Key.empty());
}

void Demo::serveModels() {
  bool isListed = waitUntil(seconds(10), [&] {
    ToolResult list = Fleet.ctl({"endpoints"});
    return list.Out.find("engine-3") != std::string::npos &&
           list.Out.find("service-1") != std::string::npos;
  });
  step("endpoints announce themselves", "4 listed",
       isListed ? "4 listed" : "fewer", isListed);
  CallerResponse cold = complete(1, Key, Names.Model, "first", 20, true);
  bool isWhole = cold.Status == 200 && cold.IsComplete &&
                 cold.Body.find("t19-") != std::string::npos &&
                 cold.Body.find("[DONE]") != std::string::npos;
  step("cold model, streamed", "200 whole, 20 tokens", say(cold), isWhole);
  CallerResponse warm = complete(2, Key, Names.Model, "second", 20, false);
  step("warm model, other entry", "200 whole", say(warm),
       warm.Status == 200 && warm.IsComplete);
  CallerResponse adapter = complete(1, Key, Names.Adapter, "third", 10, true);
  step("adapter", "200 whole", say(adapter),
       adapter.Status == 200 && adapter.IsComplete);
}

void Demo::serveService() {
  CallerResponse first = charge(1, "{\"charge\":1}");
  step("plain service, a charge", "200, run once",
       say(first) + " " + first.Body,
       first.Status == 200 &&
           first.Body.find("\"runs\":1") != std::string::npos);
  CallerResponse again = charge(2, "{\"charge\":1}");
  step("the same charge again, other entry", "the first answer, not run",
       say(again) + " " + again.Body,
       again.Status == 200 && again.Body == first.Body);
}

void Demo::refuse() {
  CallerResponse wrong = complete(1, "sk-wrong", Names.Model, "x", 5, false);
  step("wrong key", "401 not_run", say(wrong),
       wrong.Status == 401 && wrong.Body.find("not_run") != std::string::npos);
  std::string small = Fleet.grantKey(Names.SmallTenant, "small");
  std::atomic<int> served{0};
  std::atomic<int> refused{0};
  std::vector<std::thread> callers;
  for (int i = 0; i < 60; ++i)
    callers.emplace_back([&, i] {
      CallerResponse answer =
          complete(1 + i % 2, small, Names.Model, "burst " + std::to_string(i),
                   500, false);
      served += answer.Status == 200;
      refused += answer.Status == 429;
    });
  for (std::thread &it : callers)
    it.join();
  step("organisation far over its rate", "some 200, some 429, nothing else",
       std::to_string(served) + " of 200, " + std::to_string(refused) +
           " of 429",
       served > 0 && refused > 0 && served + refused == 60);
}

void Demo::withdraw() {
  std::string key = Fleet.grantKey(Names.Tenant, "second");
  std::atomic<bool> isOver{false};
  std::atomic<int> served{0};
  std::thread traffic([&] {
    while (!isOver)
      served +=
          complete(1, key, Names.Model, "traffic", 2, false).Status == 200;
  });
  waitUntil(seconds(10), [&] { return served > 5; });
  ToolResult result = Fleet.ctl({"--wait", "key", "withdraw", "second"});
  CallerResponse after = complete(2, key, Names.Model, "after", 2, false);
  isOver = true;
  traffic.join();
  step("key withdrawn during traffic", "in force, then 401",
       result.Out + say(after), result.Code == 0 && after.Status == 401);
}

void Demo::breakThings() {
  ToolResult where = Fleet.ctl({"replicas"});
  size_t at = where.Out.find(Names.Model + " on engine-");
  std::string engine =
      where.Out.substr(at + Names.Model.size() + 4, std::strlen("engine-1"));
  Fleet.kill(engine + "-endpoint");
  CallerResponse moved =
      complete(1, Key, Names.Model, "after a kill", 10, true);
  step("engine killed", "200 from another", say(moved) + " after " + engine,
       moved.Status == 200 && moved.IsComplete);
  std::string old = Fleet.leader();
  Fleet.kill(old);
  CallerResponse during =
      complete(2, Key, Names.Model, "leader is gone", 10, true);
  step("control leader killed, warm model", "200 whole", say(during),
       during.Status == 200 && during.IsComplete);
  CallerResponse cold =
      complete(1, Key, Names.OtherModel, "new leader", 10, true);
  step("cold model under the new leader", "200 whole",
       say(cold) + ", was " + old + ", is " + Fleet.leader(),
       cold.Status == 200 && cold.IsComplete);
}

void Demo::inspect() {
  std::string found;
  for (const std::string &it : Fleet.running()) {
    if (it.find("-endpoint") == std::string::npos)
      continue;
    CallerResponse state =
        callHttp(Fleet.httpAddressOf(it), {"GET", "/admin/state", {}, {}});
    bool isClean =
        state.Body.find("\"overcommits\":0,\"keys_seen\":0,\"strays\":0") !=
        std::string::npos;
    if (!isClean)
      found += it + " " + state.Body;
  }
  step("endpoints' own records", "no key, no overcommit, no stray request",
       found.empty() ? "none" : found, found.empty());
}

void Demo::stopFleet() {
  std::string unclean;
  for (const std::string &it : Fleet.running())
    if (it.find("-endpoint") == std::string::npos && it != "store")
      Fleet.signal(it, SIGTERM);
  for (const std::string &it : Fleet.running())
    if (it.find("-endpoint") == std::string::npos && it != "store" &&
        Fleet.waitForExit(it, seconds(15)) != 0)
      unclean += it + " ";
  step("graceful stop", "every process ends with 0",
       unclean.empty() ? "all did" : unclean, unclean.empty());
}

int Demo::run() {
  startFleet();
  serveModels();
  serveService();
  refuse();
  withdraw();
  breakThings();
  inspect();
  stopFleet();
  std::printf("demo: %d of %d steps as expected\n", Good, Steps);
  return Good == Steps ? 0 : 1;
}

} // namespace

int main(int Count, char **Words) {
  return Demo(sampleOf(Count > 1 ? Words[1] : "bloomline")).run();
}
