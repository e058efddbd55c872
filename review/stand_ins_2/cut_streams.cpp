/// \file
/// Case: an engine crashes in the middle of a stream without a length and
/// starts again under its id, while the front that forwards the stream is
/// frozen. Exits with 1 if a client got a stream that ends as complete before
/// its last event.
#include "review/stand_ins_2/platform.h"

#include <cstdio>
#include <thread>

using namespace review;

namespace {

constexpr int Engines = 4;
/// Engines that send some streams without a length.
constexpr int MixedEngines = 2;
constexpr int Events = 49;
constexpr double RunTime = 75;
/// Least time between two disturbances.
constexpr double Pause = 8;
/// From the freeze of the front to the crash, and from there on.
constexpr double CrashDelay = 0.2;
constexpr double DownTime = 2;
constexpr double FreezeTime = 4.5;
constexpr int Clients = 12;

const char *const Config =
    R"({"version":1,"routes":[)"
    R"({"name":"note","host":"fixit.example","path-prefix":"/note/",)"
    R"("kind":"streaming","timeout-ms":20000,"slo-ms":2000,"priority":1,)"
    R"("service":"notes","max-attempts":1,"resumable":false,)"
    R"("gap-target-ms":300}],"services":[)"
    R"({"name":"notes","health-path":"/health","max-conns":260,)"
    R"("protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,)"
    R"("max-body-bytes":4194304,"header-timeout-ms":3000,)"
    R"("idle-timeout-ms":15000},"tenants":[{"name":"cafe","api-keys":["k1"],)"
    R"("priority":1,"unit":"requests","rate-per-s":0,"burst":0}]})";

void startEngine(Fleet &Hosts, const Record &Lines, int Number) {
  std::vector<std::string> arguments{siblingProgram("engine"),
                                     Lines.path(),
                                     "i-" + std::to_string(Number),
                                     "notes",
                                     Hosts.engineAddress(Number),
                                     Fleet::zoneOf(Number),
                                     "20",
                                     Number < MixedEngines ? "mixed"
                                                           : "length"};
  for (const std::string &it : Hosts.controlAddresses())
    arguments.push_back(it);
  Hosts.start("engine-" + std::to_string(Number), arguments);
}

int countEvents(const std::string &Body) {
  int out = 0;
  for (size_t at = Body.find("\n\n"); at != std::string::npos;
       at = Body.find("\n\n", at + 2))
    ++out;
  return out;
}

/// Reads one stream after the other at one front. The number of the front is
/// the last digit of each attempt id.
void runClient(const Fleet &Hosts, const Record &Lines, int Number, double End,
               std::atomic<int> &Broken, std::atomic<int> &Whole) {
  int front = 1 + Number % 3;
  for (int i = 0; now() < End; ++i) {
    std::string attempt = "c" + std::to_string(Number) + "-" +
                          std::to_string(i) + "-" + std::to_string(front);
    Request message;
    message.Path = "/note/x";
    message.Fields = {{"Host", "fixit.example"},
                      {"Sassafrasseam-Attempt-Id", attempt},
                      {"Sassafrasseam-Deadline-Ms", "20000"},
                      {"Authorization", "Bearer k1"}};
    message.Body = "note";
    Answer answer = call(Hosts.callerAddress(front), message, 20);
    int events = countEvents(answer.Body);
    bool isComplete = answer.Status == 200 && answer.IsComplete;
    Lines.write("answer " + attempt + " status " +
                std::to_string(answer.Status) + " events " +
                std::to_string(events) +
                (answer.IsComplete ? " complete" : " broken off") + " seal " +
                answer.Head.field("sassafrasseam-response-seal"));
    Whole += isComplete && events == Events;
    if (isComplete && events < Events) {
      ++Broken;
      Lines.write("ORDER: " + attempt + " ended as complete after " +
                  std::to_string(events) + " of " + std::to_string(Events) +
                  " events");
    }
    sleepFor(0.02 * (1 + Number % 5));
  }
}

struct BegunStream {
  int Engine = -1;
  int Front = 0;
};

/// Waits until an engine is in the middle of a stream without a length.
BegunStream awaitBegunStream(const Record &Lines, size_t &Offset,
                             double Deadline) {
  Lines.read(Offset);
  while (now() < Deadline) {
    for (const std::string &line : Lines.read(Offset)) {
      size_t at = line.find(" at i-");
      if (line.find(" half ") != std::string::npos && at != std::string::npos)
        return {line[at + 6] - '0', line[at - 1] - '0'};
    }
    sleepFor(0.002);
  }
  return {};
}

} // namespace

int main(int Argc, char **Argv) {
  if (Argc != 2)
    return CouldNotRun;
  limitRunTime(110);
  std::remove(Argv[1]);
  Record lines(Argv[1]);
  Fleet hosts({}, lines);
  if (!hosts.startFronts(Config))
    return CouldNotRun;
  for (int i = 0; i < Engines; ++i)
    startEngine(hosts, lines, i);
  sleepFor(3);
  std::atomic<int> broken{0};
  std::atomic<int> whole{0};
  double end = now() + RunTime;
  std::vector<std::thread> clients;
  for (int i = 0; i < Clients; ++i)
    clients.emplace_back(
        [&, i] { runClient(hosts, lines, i, end, broken, whole); });
  size_t offset = 0;
  while (hasTrouble() && now() + Pause + FreezeTime < end) {
    sleepFor(Pause);
    BegunStream found = awaitBegunStream(lines, offset, end - FreezeTime);
    if (found.Engine < 0)
      break;
    std::string front = "front-" + std::to_string(found.Front);
    std::string engine = "engine-" + std::to_string(found.Engine);
    double frozenAt = now();
    lines.write("trouble: " + front + " freezes, " + engine + " crashes");
    hosts.freeze(front);
    sleepFor(CrashDelay);
    hosts.kill(engine);
    sleepFor(DownTime);
    startEngine(hosts, lines, found.Engine);
    sleepFor(frozenAt + FreezeTime - now());
    hosts.thaw(front);
  }
  for (std::thread &it : clients)
    it.join();
  lines.write("whole streams " + std::to_string(whole) +
              ", streams that ended as complete too early " +
              std::to_string(broken));
  if (broken > 0)
    return RuleBroken;
  return whole > 0 ? RuleHeld : CouldNotRun;
}
