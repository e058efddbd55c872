// An operator gives the sizes of a service's models and engines in bytes, where
// the config counts megabytes. Callers keep requests at a sound engine of
// another service meanwhile. The platform watches the memory of the fronts,
// kills one that uses more than it may, and starts it again.
//
// usage: sizes_in_bytes FOLDER
// Without the disruption (TROUBLE=0), the same config has its sizes in
// megabytes.
#include "fleet.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <memory>

using namespace review;

namespace {

constexpr int Fronts = 5;
constexpr int Disks = 3;
constexpr int CallersEach = 6;
constexpr int64_t ContactMs = 3'000;
constexpr int64_t ConfigMs = 2'000;
constexpr int64_t ObservedMs = 15'000;
/// `memory-mb` of the deployment's fronts.
constexpr int64_t MemoryMb = 260;
constexpr int64_t RestartDelayMs = 1'000;
/// More than this many lost requests break the rule.
constexpr int Excused = 3;

std::string config(int Version, bool IsInBytes) {
  std::string unit = IsInBytes ? "000000" : "";
  std::string models;
  for (int i = 0; i < 4; ++i)
    models += std::string(i ? "," : "") + R"({"name":"model-)" +
              std::to_string(i) + R"(","weights-mb":72700)" + unit +
              R"(,"load-s":6.0,"adapters":0,"adapter-mb":66,"warm-s":0.4,)" +
              R"("disk-load-s":0.52})";
  return R"({"version":)" + std::to_string(Version) +
         R"(,"routes":[{"name":"charge","host":"desk.example",)"
         R"("path-prefix":"/charge/","kind":"non_idempotent",)"
         R"("timeout-ms":8000,"slo-ms":300,"priority":2,"service":"desk",)"
         R"("max-attempts":1,"anonymous":true},{"name":"note",)"
         R"("host":"desk.example","path-prefix":"/note/","kind":"streaming",)"
         R"("timeout-ms":12000,"slo-ms":400,"priority":1,"service":"notes",)"
         R"("max-attempts":1,"anonymous":true,"resumable":false,)"
         R"("gap-target-ms":300}],"services":[{"name":"desk",)"
         R"("health-path":"/health","max-conns":130,"protocol":"h1",)"
         R"("tls":false},{"name":"notes","health-path":"/health",)"
         R"("max-conns":260,"protocol":"h1","tls":false,"engine":{"slots":32,)"
         R"("kv-tokens":116981,"weights-mb":200000)" +
         unit + R"(,"adapter-slots":8,"loads-per-s":9.8,"models":[)" + models +
         R"(]}}],"limits":{"max-header-bytes":16384,)"
         R"("max-body-bytes":4194304,"header-timeout-ms":3000,)"
         R"("idle-timeout-ms":15000}})";
}

std::string request(const std::string &Path, const std::string &Id) {
  return "POST " + Path + " HTTP/1.1\r\nHost: desk.example\r\n" +
         "Sassafrasseam-Attempt-Id: " + Id +
         "\r\nSassafrasseam-Deadline-Ms: 8000\r\nContent-Length: 3\r\n\r\nabc";
}

struct Caller {
  std::unique_ptr<Channel> Kept;
  std::string Id;
  int Front = 0;
  Answer Got;
  std::thread Thread;
};

/// Kills fronts over their memory and starts fronts that have ended.
class Platform {
public:
  explicit Platform(Fleet &Watched) : Watched(Watched) {}
  void watch(int64_t Ms) {
    for (int64_t end = nowMs() + Ms; nowMs() < end; sleepMs(5))
      for (int host = 1; host <= Fronts; ++host)
        watchOne(host);
  }
  int ends(int Host) const { return Ends[Host]; }

private:
  void watchOne(int Host) {
    int64_t used = Watched.memoryMb(Host);
    if (used > MemoryMb && RestartAt[Host] == 0) {
      record("platform kills front-" + std::to_string(Host) + " at " +
             std::to_string(used) + " MB of " + std::to_string(MemoryMb));
      Watched.signal(Host, SIGKILL);
    }
    std::string how;
    if (RestartAt[Host] == 0 && !Watched.isRunning(Host, &how)) {
      record("front-" + std::to_string(Host) + " has ended: " + how);
      ++Ends[Host];
      RestartAt[Host] = nowMs() + RestartDelayMs;
    }
    if (RestartAt[Host] != 0 && nowMs() >= RestartAt[Host]) {
      RestartAt[Host] = 0;
      Watched.start(Host, false);
    }
  }

  Fleet &Watched;
  int64_t RestartAt[Fronts + 1] = {};
  int Ends[Fronts + 1] = {};
};

int run(bool HasTrouble) {
  Fleet fleet(Fronts, Disks);
  for (int host = 1; host <= Fronts; ++host)
    fleet.start(host, true);
  if (!fleet.putConfig(config(1, false), 20'000)) {
    record("first config not confirmed");
    return 2;
  }
  Engine first("i-1", "desk", fleet.ip(50), fleet.enginePort(), "zone-0");
  Engine second("i-2", "desk", fleet.ip(51), fleet.enginePort(), "zone-1");
  std::vector<std::string> controls;
  for (int host = 1; host <= Fronts; ++host)
    controls.push_back(fleet.control(host));
  first.startPings(controls);
  second.startPings(controls);
  if (!fleet.waitReady(15'000)) {
    record("fronts are not ready");
    return 2;
  }
  sleepMs(ContactMs + ConfigMs);
  std::vector<Caller> callers;
  for (int front = 1; front <= Disks; ++front)
    for (int i = 0; i < CallersEach; ++i) {
      Caller caller;
      caller.Front = front;
      caller.Id = "kept-" + std::to_string(front) + "-" + std::to_string(i);
      caller.Kept = std::make_unique<Channel>(fleet.front(front));
      caller.Kept->send(request("/charge/work-5", caller.Id + "-warm"));
      Answer answer = caller.Kept->read(3'000);
      if (answer.Status != 200 || !caller.Kept->isOpen()) {
        record(caller.Id + ": first request failed");
        return 2;
      }
      callers.push_back(std::move(caller));
    }
  for (Caller &it : callers)
    it.Thread = std::thread([&it] {
      it.Kept->send(request("/charge/work-4000", it.Id));
      record("caller sent " + it.Id + " to front-" + std::to_string(it.Front) +
             " on its kept channel");
      it.Got = it.Kept->read(10'000);
      record("caller " + it.Id + ": " +
             (it.Got.IsComplete
                  ? "complete answer, status " + std::to_string(it.Got.Status)
              : it.Got.HasClosed ? "channel closed without an answer"
                                 : "no answer in time"));
    });
  sleepMs(500);
  std::thread theOperator([&] {
    bool isConfirmed = fleet.putConfig(config(2, HasTrouble), 3'000);
    record(std::string("config 2, sizes in ") +
           (HasTrouble ? "bytes" : "megabytes") +
           (isConfirmed ? ": confirmed" : ": no confirmation"));
    sleepMs(5'000);
    bool isCorrected = fleet.putConfig(config(3, false), 8'000);
    record(std::string("config 3, sizes in megabytes") +
           (isCorrected ? ": confirmed" : ": no confirmation in 8 s"));
  });
  Platform platform(fleet);
  platform.watch(ObservedMs);
  theOperator.join();
  for (Caller &it : callers)
    it.Thread.join();
  for (int host = 1; host <= Fronts; ++host)
    record("front-" + std::to_string(host) + " ended " +
           std::to_string(platform.ends(host)) + " times");
  int lost = 0;
  int answered = 0;
  std::vector<Run> runs = first.runs();
  for (const Run &it : second.runs())
    runs.push_back(it);
  for (const Caller &caller : callers) {
    bool isPassedOn = std::any_of(runs.begin(), runs.end(), [&](const Run &it) {
      return it.Id == caller.Id;
    });
    lost += isPassedOn && caller.Got.HasClosed && !caller.Got.IsComplete;
    answered += caller.Got.IsComplete;
  }
  record("passed on and closed without an answer: " + std::to_string(lost) +
         " of " + std::to_string(callers.size()) + "; answered " +
         std::to_string(answered) + "; excused " + std::to_string(Excused));
  return lost > Excused ? 1 : 0;
}

} // namespace

int main(int Count, char **Arguments) {
  if (Count != 2)
    return 2;
  openRecord(Arguments[1]);
  const char *trouble = std::getenv("TROUBLE");
  int result = 2;
  try {
    result = run(!trouble || std::string(trouble) != "0");
  } catch (const std::exception &problem) {
    record(std::string("cannot run: ") + problem.what());
  }
  record(result == 1   ? "LOST is broken"
         : result == 0 ? "LOST held"
                       : "not run");
  std::cout << (result == 1   ? "broken"
                : result == 0 ? "held"
                              : "not run")
            << std::endl;
  return result;
}
