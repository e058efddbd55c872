// Holds requests at sound engines through two fronts, on kept channels, while
// further callers send requests of the kind named by the first argument. Counts
// the requests that a front passed on and whose channel it then closed without
// an answer.
//
// usage: lost_answers header|trace|bodies FOLDER
// Without the disruption (TROUBLE=0), the further requests are ordinary ones.
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
/// `memory-mb` of the deployment's fronts: the platform kills a process that
/// uses more.
constexpr int64_t MemoryMb = 260;
/// Callers that send long bodies at once, and the length: max-body-bytes.
constexpr int BodyCallers = 48;
constexpr size_t LongBody = 4'194'304;
/// The longest body that the deployment's sheet has.
constexpr size_t UsualBody = 28'000;
/// More than this many lost requests break the rule.
constexpr int Excused = 3;

std::string config(int Version, int MaxHeaderBytes) {
  return R"({"version":)" + std::to_string(Version) +
         R"(,"routes":[{"name":"charge","host":"desk.example",)"
         R"("path-prefix":"/charge/","kind":"non_idempotent",)"
         R"("timeout-ms":4000,"slo-ms":300,"priority":2,"service":"desk",)"
         R"("max-attempts":1,"anonymous":true},{"name":"lookup",)"
         R"("host":"desk.example","path-prefix":"/lookup/",)"
         R"("kind":"idempotent","timeout-ms":4000,"slo-ms":300,"priority":2,)"
         R"("service":"desk","max-attempts":2,"anonymous":true}],)"
         R"("services":[{"name":"desk","health-path":"/health",)"
         R"("max-conns":130,"protocol":"h1","tls":false}],"limits":)"
         R"({"max-header-bytes":)" +
         std::to_string(MaxHeaderBytes) +
         R"(,"max-body-bytes":4194304,"header-timeout-ms":3000,)"
         R"("idle-timeout-ms":15000}})";
}

std::string request(const std::string &Method, const std::string &Path,
                    const std::string &Id, const std::string &Fields,
                    const std::string &Body) {
  return Method + " " + Path + " HTTP/1.1\r\nHost: desk.example\r\n" +
         "Sassafrasseam-Attempt-Id: " + Id +
         "\r\nSassafrasseam-Deadline-Ms: 4000\r\n" + Fields +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

/// A Sassafrasseam-Prompt-Prefix field of \p Bytes bytes or a little more: the
/// parts of a long prompt, ID:TOKENS each.
std::string promptField(size_t Bytes) {
  std::string parts;
  for (int i = 0; parts.size() < Bytes; ++i)
    parts += (i ? "," : "") + std::to_string(10000000 + i) + ":2";
  return "Sassafrasseam-Prompt-Prefix: " + parts + "\r\n";
}

struct Caller {
  std::unique_ptr<Channel> Kept;
  std::string Id;
  int Front = 0;
  Answer Got;
  std::thread Thread;
};

std::string describe(const Answer &Answer) {
  if (Answer.IsComplete)
    return "complete answer, status " + std::to_string(Answer.Status);
  return Answer.HasClosed ? "channel closed without a complete answer"
                          : "no answer in time";
}

/// Sends long bodies to \p Front from many callers at once, while the platform
/// watches the memory of the process.
void sendBodies(Fleet &Fronts, int Front, size_t Bytes) {
  std::string body(Bytes, 'x');
  std::atomic<int> answered{0};
  std::vector<std::thread> callers;
  record(std::to_string(BodyCallers) + " callers send " +
         std::to_string(Bytes) + " bytes each to front-" +
         std::to_string(Front));
  for (int i = 0; i < BodyCallers; ++i)
    callers.emplace_back([&, i] {
      Channel channel(Fronts.front(Front));
      channel.send(request("POST", "/lookup/work-3000",
                           "body-" + std::to_string(i), "", body));
      answered += channel.read(6'000).IsComplete;
    });
  int64_t peak = 0;
  for (int64_t end = nowMs() + 5'000; nowMs() < end; sleepMs(10)) {
    int64_t used = Fronts.memoryMb(Front);
    peak = std::max(peak, used);
    if (used > MemoryMb && Fronts.isRunning(Front)) {
      record("platform kills front-" + std::to_string(Front) + " at " +
             std::to_string(used) + " MB of " + std::to_string(MemoryMb));
      Fronts.signal(Front, SIGKILL);
    }
  }
  for (std::thread &it : callers)
    it.join();
  record("most memory of front-" + std::to_string(Front) + ": " +
         std::to_string(peak) + " MB; " + std::to_string(answered) +
         " of these callers got an answer");
}

int run(const std::string &Kind, bool HasTrouble) {
  Fleet fleet(Fronts, Disks);
  for (int host = 1; host <= Fronts; ++host)
    fleet.start(host, true);
  int limit = Kind == "header" ? 131072 : 16384;
  if (!fleet.putConfig(config(1, limit), 20'000)) {
    record("config not confirmed");
    return 2;
  }
  record("config confirmed, max-header-bytes " + std::to_string(limit));
  Engine first("i-1", "desk", fleet.ip(50), fleet.enginePort(), "zone-0");
  Engine second("i-2", "desk", fleet.ip(51), fleet.enginePort(), "zone-1");
  Engine third("i-3", "desk", fleet.ip(52), fleet.enginePort(), "zone-2");
  std::vector<std::string> controls;
  for (int host = 1; host <= Disks; ++host)
    controls.push_back(fleet.control(host));
  first.startPings(controls);
  second.startPings(controls);
  third.startPings(controls);
  if (!fleet.waitReady(15'000)) {
    record("fronts are not ready");
    return 2;
  }
  sleepMs(ContactMs + ConfigMs);

  // Two fronts without a disk: the core stays as it is.
  int targets[] = {4, 5};
  std::vector<Caller> callers;
  for (int front : targets)
    for (int i = 0; i < CallersEach; ++i) {
      Caller caller;
      caller.Front = front;
      caller.Id = "kept-" + std::to_string(front) + "-" + std::to_string(i);
      caller.Kept = std::make_unique<Channel>(fleet.front(front));
      caller.Kept->send(
          request("POST", "/charge/work-5", caller.Id + "-warm", "", "abc"));
      Answer answer = caller.Kept->read(3'000);
      if (answer.Status != 200 || !caller.Kept->isOpen()) {
        record(caller.Id + ": first request failed, " + describe(answer));
        record(fleet.log(front));
        return 2;
      }
      callers.push_back(std::move(caller));
    }
  std::string work =
      Kind == "bodies" ? "/charge/work-3500" : "/charge/work-1500";
  for (Caller &it : callers)
    it.Thread = std::thread([&it, work] {
      it.Kept->send(request("POST", work, it.Id, "", "abc"));
      record("caller sent " + it.Id + " to front-" + std::to_string(it.Front) +
             " on its kept channel");
      it.Got = it.Kept->read(6'000);
      record("caller " + it.Id + ": " + describe(it.Got));
    });
  sleepMs(500);

  // One further caller, and its one retry, which reaches another node.
  std::string further;
  if (Kind == "header")
    further = request("POST", "/lookup/work-5", "further",
                      promptField(HasTrouble ? 66'000 : 60'000), "abc");
  else if (Kind == "trace")
    further = request(HasTrouble ? "TRACE" : "POST", "/lookup/work-5",
                      "further", "", "abc");
  if (Kind == "bodies")
    sendBodies(fleet, targets[0], HasTrouble ? LongBody : UsualBody);
  for (int front : targets) {
    if (Kind == "bodies")
      break;
    record("further caller sends " + std::to_string(further.size()) +
           " bytes, " + further.substr(0, further.find('\r')) + ", to front-" +
           std::to_string(front));
    Answer answer = call(fleet.front(front), further, 3'000);
    record("further caller: " + describe(answer));
    if (answer.IsComplete)
      break;
  }
  for (Caller &it : callers)
    it.Thread.join();
  for (int host = 1; host <= Fronts; ++host) {
    std::string how;
    bool runs = fleet.isRunning(host, &how);
    record("front-" + std::to_string(host) + ": " + how);
    std::string log = fleet.log(host);
    size_t what = log.find("terminate called");
    if (!runs && what != std::string::npos)
      record("  last words: " + log.substr(what));
  }
  int lost = 0;
  int answered = 0;
  std::vector<Run> runs = first.runs();
  for (Engine *engine : {&second, &third})
    for (const Run &it : engine->runs())
      runs.push_back(it);
  for (const Caller &caller : callers) {
    bool isPassedOn = false;
    for (const Run &it : runs)
      isPassedOn = isPassedOn || it.Id == caller.Id;
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
  if (Count != 3)
    return 2;
  openRecord(Arguments[2]);
  const char *trouble = std::getenv("TROUBLE");
  bool hasTrouble = !trouble || std::string(trouble) != "0";
  int result = 2;
  try {
    result = run(Arguments[1], hasTrouble);
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
