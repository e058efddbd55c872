// Holds requests at a sound engine through two fronts, on kept channels, while
// one further caller sends a request of the kind named by the first argument.
// Counts the requests that a front passed on and whose channel it then closed
// without an answer.
//
// usage: lost_answers header|trace FOLDER
// Without the disruption (TROUBLE=0), the further request is an ordinary one.
#include "fleet.h"

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

int run(const std::string &Kind, bool HasTrouble) {
  Fleet fleet(Fronts, Disks);
  for (int host = 1; host <= Fronts; ++host)
    fleet.start(host, true);
  int limit = Kind == "header" ? 131072 : 16384;
  if (!fleet.putConfig(config(1, 16384), 20'000)) {
    record("first config not confirmed");
    return 2;
  }
  Engine first("i-1", "desk", fleet.ip(50), fleet.enginePort(), "zone-0");
  Engine second("i-2", "desk", fleet.ip(51), fleet.enginePort(), "zone-1");
  std::vector<std::string> controls;
  for (int host = 1; host <= Disks; ++host)
    controls.push_back(fleet.control(host));
  first.startPings(controls);
  second.startPings(controls);
  if (!fleet.waitReady(15'000)) {
    record("fronts are not ready");
    return 2;
  }
  if (!fleet.putConfig(config(2, limit), 10'000)) {
    record("second config not confirmed");
    return 2;
  }
  record("config 2 confirmed, max-header-bytes " + std::to_string(limit));
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
      caller.Kept->send(request("POST", "/charge/work-5", caller.Id + "-warm",
                                "", "abc"));
      Answer answer = caller.Kept->read(3'000);
      if (answer.Status != 200 || !caller.Kept->isOpen()) {
        record(caller.Id + ": first request failed, " + describe(answer));
        record(fleet.log(front));
        return 2;
      }
      callers.push_back(std::move(caller));
    }
  for (Caller &it : callers)
    it.Thread = std::thread([&it] {
      it.Kept->send(request("POST", "/charge/work-1500", it.Id, "", "abc"));
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
  else
    further = request(HasTrouble ? "TRACE" : "POST", "/lookup/work-5",
                      "further", "", "abc");
  for (int front : targets) {
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
  for (const Run &it : second.runs())
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
  record(result == 1 ? "LOST is broken" : result == 0 ? "LOST held" : "not run");
  std::cout << (result == 1 ? "broken" : result == 0 ? "held" : "not run")
            << std::endl;
  return result;
}
