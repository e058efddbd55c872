/// \file
/// Case: a request that crashes each engine that begins to run it comes again
/// and again. Exits with 1 if more than three of its retries reach engines
/// later than contact-ms after it has crashed the third.
///
/// Arguments: RECORD MODE. MODE "quiet": nobody else uses the service. MODE
/// "same-id": others use it all the time, and engines start again under the id
/// that they had.
#include "review/stand_ins_2/platform.h"

#include <cstdio>
#include <cstdlib>
#include <set>
#include <sstream>
#include <thread>

using namespace review;

namespace {

constexpr double RunTime = 45;
/// Bound contact-ms of fixit-ja.
constexpr double ContactTime = 3;
constexpr double DeadlyInterval = 3;
/// An engine that crashed is back after this time.
constexpr double DownTime = 2;
constexpr double SoundInterval = 0.2;
constexpr size_t AllowedRetries = 3;

const char *const Config =
    R"({"version":1,"routes":[)"
    R"({"name":"charge","host":"fixit.example","path-prefix":"/charge/",)"
    R"("kind":"non_idempotent","timeout-ms":3000,"slo-ms":300,"priority":1,)"
    R"("service":"ticket-desk","max-attempts":1},)"
    R"({"name":"lookup","host":"fixit.example","path-prefix":"/lookup/",)"
    R"("kind":"idempotent","timeout-ms":3000,"slo-ms":300,"priority":1,)"
    R"("service":"ticket-desk","max-attempts":2},)"
    R"({"name":"news","host":"fixit.example","path-prefix":"/news/",)"
    R"("kind":"idempotent","timeout-ms":3000,"slo-ms":300,"priority":1,)"
    R"("service":"news-desk","max-attempts":2}],"services":[)"
    R"({"name":"ticket-desk","health-path":"/health","max-conns":130,)"
    R"("protocol":"h1","tls":false},)"
    R"({"name":"news-desk","health-path":"/health","max-conns":130,)"
    R"("protocol":"h1","tls":false}],"limits":{"max-header-bytes":16384,)"
    R"("max-body-bytes":4194304,"header-timeout-ms":3000,)"
    R"("idle-timeout-ms":15000},"tenants":[{"name":"cafe","api-keys":["k1"],)"
    R"("priority":1,"unit":"requests","rate-per-s":0,"burst":0}]})";

struct EngineHost {
  int Number = 0;
  std::string Service;
  int Life = 0;
  double DownUntil = 0; ///< 0: it runs.
};

void startEngine(Fleet &Hosts, const Record &Lines, EngineHost &Engine,
                 bool KeepsId) {
  std::string id = "i-" + std::to_string(Engine.Number);
  if (!KeepsId)
    id += "-" + std::to_string(Engine.Life);
  ++Engine.Life;
  Engine.DownUntil = 0;
  std::vector<std::string> arguments{siblingProgram("engine"),
                                     Lines.path(),
                                     id,
                                     Engine.Service,
                                     Hosts.engineAddress(Engine.Number),
                                     Fleet::zoneOf(Engine.Number),
                                     "60",
                                     "length"};
  for (const std::string &it : Hosts.controlAddresses())
    arguments.push_back(it);
  Hosts.start("engine-" + std::to_string(Engine.Number), arguments);
}

/// Starts engines again some time after they have crashed.
void keepEngines(Fleet &Hosts, const Record &Lines,
                 std::vector<EngineHost> &Engines, bool KeepsId) {
  for (EngineHost &it : Engines) {
    if (it.DownUntil == 0 &&
        Hosts.hasEnded("engine-" + std::to_string(it.Number)))
      it.DownUntil = now() + DownTime;
    else if (it.DownUntil > 0 && now() >= it.DownUntil)
      startEngine(Hosts, Lines, it, KeepsId);
  }
}

Request makeRequest(const std::string &Path, const std::string &Attempt,
                    const std::string &Body) {
  Request out;
  out.Path = Path;
  out.Fields = {{"Host", "fixit.example"},
                {"Sassafrasseam-Attempt-Id", Attempt},
                {"Sassafrasseam-Deadline-Ms", "3000"},
                {"Authorization", "Bearer k1"}};
  out.Body = Body;
  return out;
}

/// Sends sound requests at one front.
void runSoundClient(const Fleet &Hosts, int Front, const std::string &Path,
                    double End, std::atomic<int> &Served) {
  for (int i = 0; now() < End; ++i) {
    std::string attempt =
        "sound-" + std::to_string(Front) + "-" + std::to_string(i);
    Answer answer = call(Hosts.callerAddress(Front),
                         makeRequest(Path, attempt, "sound"), 4);
    Served += answer.Status == 200;
    sleepFor(SoundInterval);
  }
}

struct Findings {
  size_t Crashes = 0;
  std::set<std::string> LateRetries;
};

Findings judge(const Record &Lines) {
  Findings out;
  double third = 0;
  size_t offset = 0;
  for (const std::string &line : Lines.read(offset)) {
    std::istringstream in(line);
    double at = 0;
    std::string event;
    std::string subject;
    in >> at >> event >> subject;
    if (event == "run" && subject.rfind("deadly-", 0) == 0 && third > 0 &&
        at > third + ContactTime)
      out.LateRetries.insert(subject);
    if (event == "crash" && ++out.Crashes == 3)
      third = at;
  }
  return out;
}

} // namespace

int main(int Argc, char **Argv) {
  if (Argc != 3)
    return CouldNotRun;
  std::string mode = Argv[2];
  bool isQuiet = mode == "quiet";
  limitRunTime(110);
  std::remove(Argv[1]);
  Record lines(Argv[1]);
  ::setenv("CRASHES", hasTrouble() ? "1" : "0", 1);
  Fleet hosts({}, lines);
  if (!hosts.startFronts(Config))
    return CouldNotRun;
  std::vector<EngineHost> engines;
  for (int i = 0; i < (isQuiet ? 3 : 2); ++i)
    engines.push_back({i, "ticket-desk"});
  engines.push_back({3, "news-desk"});
  for (EngineHost &it : engines)
    startEngine(hosts, lines, it, !isQuiet);
  sleepFor(4);
  double end = now() + RunTime;
  std::atomic<int> served{0};
  std::vector<std::thread> clients;
  for (int i = 1; i <= hosts.frontCount(); ++i)
    clients.emplace_back([&, i] {
      runSoundClient(hosts, i, isQuiet ? "/news/x" : "/lookup/x", end, served);
    });
  // The client of the deadly request; it comes at one front after the other.
  clients.emplace_back([&] {
    sleepFor(2);
    for (int i = 0; now() < end; ++i) {
      std::string attempt = "deadly-" + std::to_string(i);
      lines.write("sent " + attempt);
      Answer answer = call(hosts.callerAddress(1 + i % hosts.frontCount()),
                           makeRequest("/charge/42", attempt, "deadly"), 4);
      lines.write("answer " + attempt + " status " +
                  std::to_string(answer.Status));
      sleepFor(DeadlyInterval);
    }
  });
  while (now() < end + 1) {
    keepEngines(hosts, lines, engines, !isQuiet);
    sleepFor(0.02);
  }
  for (std::thread &it : clients)
    it.join();
  Findings found = judge(lines);
  lines.write("sound requests served " + std::to_string(served) +
              ", engines crashed " + std::to_string(found.Crashes) +
              ", retries that reached engines later than contact-ms after the "
              "third crash " +
              std::to_string(found.LateRetries.size()));
  if (found.LateRetries.size() > AllowedRetries) {
    lines.write("BUDGET: the request went on to reach engines");
    return RuleBroken;
  }
  return served > 0 ? RuleHeld : CouldNotRun;
}
