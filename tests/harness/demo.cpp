/// \file
/// Demonstration: starts a fleet, serves every kind of request, causes
/// failures and prints the expected and the actual result of each step.
#include "tests/harness/process_fleet.h"

#include <atomic>
#include <csignal>
#include <cstdio>
#include <cstring>
#include <thread>

using namespace sassafras;
using std::chrono::seconds;

namespace {

/// Names in the sample table of a deployment.
struct SampleNames {
  Deployment Kind;
  std::string Organisation;
  std::string SmallOrganisation;
  std::string Model;
  std::string OtherModel;
  std::string Adapter;
  std::string ServicePath;
};

SampleNames sampleNamesOf(const char *Name) {
  if (std::strcmp(Name, "fixit") == 0)
    return {fixIt(),         "may-pen-cafe", "mandeville-cafe", "repair-note",
            "fault-history", "note-radios",  "/intake/charge"};
  return {bloomline(),    "galle-face-hotel", "dehiwala-council",
          "plaque-draft", "renewal-quote",    "plaque-dehiwala",
          "/crew/charge"};
}

class Demo {
public:
  explicit Demo(SampleNames Names)
      : Names(std::move(Names)), Fleet(this->Names.Kind, Millis(600)) {}
  int run();

private:
  void step(const char *What, const std::string &Expected,
            const std::string &Actual, bool HasPassed);
  CallerResponse sendCompletion(int Entry, const std::string &Key,
                                const std::string &Model,
                                const std::string &Prompt, int Tokens,
                                bool IsStream);
  CallerResponse sendCharge(int Entry, const std::string &Body);
  void startFleet();
  void serveModels();
  void serveService();
  void causeRefusals();
  void withdrawKey();
  void causeFailures();
  void checkEndpointState();
  void stopFleet();

  SampleNames Names;
  ProcessFleet Fleet;
  std::string Key;
  int Steps = 0;
  int Passed = 0;
};

std::string describe(const CallerResponse &Response) {
  return std::to_string(Response.Status) +
         (Response.IsComplete ? " complete" : " truncated");
}

void Demo::step(const char *What, const std::string &Expected,
                const std::string &Actual, bool HasPassed) {
  ++Steps;
  Passed += HasPassed;
  std::printf("%s %2d %s: expected %s; got %s\n", HasPassed ? "ok  " : "FAIL",
              Steps, What, Expected.c_str(), Actual.c_str());
  std::fflush(stdout);
}

CallerResponse Demo::sendCompletion(int Entry, const std::string &UsedKey,
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

CallerResponse Demo::sendCharge(int Entry, const std::string &Body) {
  return callHttp(Fleet.entryAddress(Entry),
                  {"POST", Names.ServicePath, {{"x-api-key", Key}}, Body});
}

void Demo::startFleet() {
  Fleet.startAll(3, {});
  std::string leader = Fleet.leader();
  step("fleet started", "a control leader", leader, !leader.empty());
  ToolResult put = Fleet.ctl({"--wait", "table", "put", Fleet.sampleTable()});
  step("table put", "in force", put.Out + put.Errors, put.Code == 0);
  Key = Fleet.grantKey(Names.Organisation, "first");
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
  CallerResponse cold = sendCompletion(1, Key, Names.Model, "first", 20, true);
  bool isComplete = cold.Status == 200 && cold.IsComplete &&
                    cold.Body.find("t19-") != std::string::npos &&
                    cold.Body.find("[DONE]") != std::string::npos;
  step("cold model, streamed", "200 complete, 20 tokens", describe(cold),
       isComplete);
  CallerResponse warm =
      sendCompletion(2, Key, Names.Model, "second", 20, false);
  step("warm model, other entry", "200 complete", describe(warm),
       warm.Status == 200 && warm.IsComplete);
  CallerResponse adapter =
      sendCompletion(1, Key, Names.Adapter, "third", 10, true);
  step("adapter", "200 complete", describe(adapter),
       adapter.Status == 200 && adapter.IsComplete);
}

void Demo::serveService() {
  CallerResponse first = sendCharge(1, "{\"charge\":1}");
  step("plain service, first charge", "200, executed once",
       describe(first) + " " + first.Body,
       first.Status == 200 &&
           first.Body.find("\"runs\":1") != std::string::npos);
  CallerResponse repeated = sendCharge(2, "{\"charge\":1}");
  step("repeated charge, other entry", "the first response, not executed again",
       describe(repeated) + " " + repeated.Body,
       repeated.Status == 200 && repeated.Body == first.Body);
}

void Demo::causeRefusals() {
  CallerResponse wrong =
      sendCompletion(1, "sk-wrong", Names.Model, "x", 5, false);
  step("wrong key", "401 not_run", describe(wrong),
       wrong.Status == 401 && wrong.Body.find("not_run") != std::string::npos);
  std::string smallKey = Fleet.grantKey(Names.SmallOrganisation, "small");
  std::atomic<int> served{0};
  std::atomic<int> refused{0};
  std::vector<std::thread> callers;
  for (int i = 0; i < 60; ++i)
    callers.emplace_back([&, i] {
      CallerResponse response =
          sendCompletion(1 + i % 2, smallKey, Names.Model,
                         "burst " + std::to_string(i), 500, false);
      served += response.Status == 200;
      refused += response.Status == 429;
    });
  for (std::thread &it : callers)
    it.join();
  step("organisation far above its rate", "only 200 and 429, some of each",
       std::to_string(served) + " with 200, " + std::to_string(refused) +
           " with 429",
       served > 0 && refused > 0 && served + refused == 60);
}

void Demo::withdrawKey() {
  std::string key = Fleet.grantKey(Names.Organisation, "second");
  std::atomic<bool> isStopping{false};
  std::atomic<int> served{0};
  std::thread traffic([&] {
    while (!isStopping)
      served +=
          sendCompletion(1, key, Names.Model, "traffic", 2, false).Status ==
          200;
  });
  waitUntil(seconds(10), [&] { return served > 5; });
  ToolResult result = Fleet.ctl({"--wait", "key", "withdraw", "second"});
  CallerResponse after = sendCompletion(2, key, Names.Model, "after", 2, false);
  isStopping = true;
  traffic.join();
  step("key withdrawn during traffic", "in force, then 401",
       result.Out + describe(after), result.Code == 0 && after.Status == 401);
}

void Demo::causeFailures() {
  ToolResult replicas = Fleet.ctl({"replicas"});
  size_t at = replicas.Out.find(Names.Model + " on engine-");
  std::string engine =
      replicas.Out.substr(at + Names.Model.size() + 4, std::strlen("engine-1"));
  Fleet.kill(engine + "-endpoint");
  CallerResponse failover =
      sendCompletion(1, Key, Names.Model, "after a kill", 10, true);
  step("engine killed", "200 from another engine",
       describe(failover) + " after killing " + engine,
       failover.Status == 200 && failover.IsComplete);
  std::string oldLeader = Fleet.leader();
  Fleet.kill(oldLeader);
  CallerResponse during =
      sendCompletion(2, Key, Names.Model, "leader is gone", 10, true);
  step("control leader killed, warm model", "200 complete", describe(during),
       during.Status == 200 && during.IsComplete);
  CallerResponse cold =
      sendCompletion(1, Key, Names.OtherModel, "new leader", 10, true);
  step("cold model with a new leader", "200 complete",
       describe(cold) + ", leader was " + oldLeader + ", is now " +
           Fleet.leader(),
       cold.Status == 200 && cold.IsComplete);
}

void Demo::checkEndpointState() {
  std::string violations;
  for (const std::string &it : Fleet.processes()) {
    if (it.find("-endpoint") == std::string::npos)
      continue;
    CallerResponse state =
        callHttp(Fleet.httpAddressOf(it), {"GET", "/admin/state", {}, {}});
    bool hasNoViolation =
        state.Body.find("\"overcommits\":0,\"keys_seen\":0,\"strays\":0") !=
        std::string::npos;
    if (!hasNoViolation)
      violations += it + " " + state.Body;
  }
  step("endpoint state",
       "no API key, overcommit or request for an unloaded model",
       violations.empty() ? "none" : violations, violations.empty());
}

void Demo::stopFleet() {
  std::string failedExits;
  for (const std::string &it : Fleet.processes())
    if (it.find("-endpoint") == std::string::npos && it != "store")
      Fleet.signal(it, SIGTERM);
  for (const std::string &it : Fleet.processes())
    if (it.find("-endpoint") == std::string::npos && it != "store" &&
        Fleet.waitForExit(it, seconds(15)) != 0)
      failedExits += it + " ";
  step("graceful stop", "every process exits with code 0",
       failedExits.empty() ? "all with code 0" : failedExits,
       failedExits.empty());
}

int Demo::run() {
  startFleet();
  serveModels();
  serveService();
  causeRefusals();
  withdrawKey();
  causeFailures();
  checkEndpointState();
  stopFleet();
  std::printf("demo: %d of %d steps as expected\n", Passed, Steps);
  return Passed == Steps ? 0 : 1;
}

} // namespace

int main(int Count, char **Arguments) {
  return Demo(sampleNamesOf(Count > 1 ? Arguments[1] : "bloomline")).run();
}
