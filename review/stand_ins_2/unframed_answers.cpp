/// \file
/// Case: an engine that sends answers without a length crashes in the middle of
/// one. Exits with 1 if a client got a success whose body is not whole.
#include "review/stand_ins_2/platform.h"

#include <cstdio>
#include <thread>

using namespace review;

namespace {

constexpr int Engines = 4;
constexpr double RunTime = 40;
/// Between two crashes; an engine is back after 4.5 s.
constexpr double CrashInterval = 6;
constexpr double DownTime = 4.5;
constexpr int Clients = 6;
constexpr const char *WorkMs = "60";
/// Engines that send some answers without a length.
constexpr int MixedEngines = 2;

const char *const Config =
    R"({"version":1,"routes":[)"
    R"({"name":"lookup","host":"fixit.example","path-prefix":"/lookup/",)"
    R"("kind":"idempotent","timeout-ms":4000,"slo-ms":300,"priority":1,)"
    R"("service":"ticket-desk","max-attempts":2},)"
    R"({"name":"charge","host":"fixit.example","path-prefix":"/charge/",)"
    R"("kind":"non_idempotent","timeout-ms":4000,"slo-ms":300,"priority":1,)"
    R"("service":"ticket-desk","max-attempts":1}],"services":[)"
    R"({"name":"ticket-desk","health-path":"/health","max-conns":130,)"
    R"("protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,)"
    R"("max-body-bytes":4194304,"header-timeout-ms":3000,)"
    R"("idle-timeout-ms":15000},"tenants":[{"name":"cafe","api-keys":["k1"],)"
    R"("priority":1,"unit":"requests","rate-per-s":0,"burst":0}]})";

void startEngine(Fleet &Hosts, const Record &Lines, int Number, int Life) {
  std::vector<std::string> arguments{
      siblingProgram("engine"),
      Lines.path(),
      "i-" + std::to_string(Number) + "-" + std::to_string(Life),
      "ticket-desk",
      Hosts.engineAddress(Number),
      Fleet::zoneOf(Number),
      WorkMs,
      Number < MixedEngines ? "mixed" : "length"};
  for (const std::string &it : Hosts.controlAddresses())
    arguments.push_back(it);
  Hosts.start("engine-" + std::to_string(Number), arguments);
}

/// Sends requests one after the other until \p End.
void runClient(const Fleet &Hosts, const Record &Lines, int Number, double End,
               std::atomic<int> &Broken, std::atomic<int> &Answered) {
  for (int i = 0; now() < End; ++i) {
    std::string attempt =
        "c" + std::to_string(Number) + "-" + std::to_string(i);
    Request message;
    message.Path = i % 2 == 0 ? "/lookup/x" : "/charge/x";
    message.Fields = {{"Host", "fixit.example"},
                      {"Sassafrasseam-Attempt-Id", attempt},
                      {"Sassafrasseam-Deadline-Ms", "4000"},
                      {"Authorization", "Bearer k1"}};
    message.Body = "ticket";
    Answer answer = call(Hosts.callerAddress(1 + Number % 3), message, 6);
    bool isSuccess = answer.Status >= 200 && answer.Status < 300;
    bool isWhole = answer.Body.size() == 800;
    Lines.write("answer " + attempt + " status " +
                std::to_string(answer.Status) + " bytes " +
                std::to_string(answer.Body.size()) +
                (answer.IsComplete ? " complete" : " broken off") + " seal " +
                answer.Head.field("sassafrasseam-response-seal"));
    Answered += isSuccess && answer.IsComplete && isWhole;
    if (isSuccess && answer.IsComplete && !isWhole) {
      ++Broken;
      Lines.write("MIXED: " + attempt + " got a success with " +
                  std::to_string(answer.Body.size()) + " of 800 bytes");
    }
    sleepFor(0.05);
  }
}

/// Waits until an engine is in the middle of an answer without a length.
/// Returns its number, or -1 after \p Seconds.
int awaitHalfAnswer(const Record &Lines, size_t &Offset, double Seconds) {
  double deadline = now() + Seconds;
  Lines.read(Offset);
  while (now() < deadline) {
    for (const std::string &line : Lines.read(Offset)) {
      size_t at = line.find(" at i-");
      if (line.find(" half ") != std::string::npos && at != std::string::npos)
        return line[at + 6] - '0';
    }
    sleepFor(0.002);
  }
  return -1;
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
  int lives[Engines] = {};
  for (int i = 0; i < Engines; ++i)
    startEngine(hosts, lines, i, lives[i]++);
  sleepFor(3);
  std::atomic<int> broken{0};
  std::atomic<int> answered{0};
  double end = now() + RunTime;
  std::vector<std::thread> clients;
  for (int i = 0; i < Clients; ++i)
    clients.emplace_back(
        [&, i] { runClient(hosts, lines, i, end, broken, answered); });
  size_t offset = 0;
  while (hasTrouble() && now() + CrashInterval < end) {
    sleepFor(CrashInterval - DownTime);
    int number = awaitHalfAnswer(lines, offset, CrashInterval);
    if (number < 0)
      continue;
    std::string engine = "engine-" + std::to_string(number);
    lines.write("trouble: " + engine + " crashes");
    hosts.kill(engine);
    sleepFor(DownTime);
    startEngine(hosts, lines, number, lives[number]++);
  }
  for (std::thread &it : clients)
    it.join();
  lines.write("whole answers " + std::to_string(answered) +
              ", successes that were not whole " + std::to_string(broken));
  if (broken > 0)
    return RuleBroken;
  return answered > 0 ? RuleHeld : CouldNotRun;
}
