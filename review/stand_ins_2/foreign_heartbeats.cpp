/// \file
/// Case: heartbeats of another writer have ids that can't be read. Exits with 1
/// if a front handles requests as only an older config allows, later than
/// config-ms after a newer one was confirmed.
#include "review/stand_ins_2/platform.h"

#include <algorithm>
#include <cstdio>
#include <thread>

using namespace review;

namespace {

/// Three fronts with a disk, and one without.
constexpr FleetSize Size{4, 3};
constexpr int Engines = 2;
/// Engines of the other writer. Each calls one front in each interval.
constexpr int ForeignEngines = 60;
constexpr int FirstForeignHost = 120;
/// From the first foreign heartbeat to the new config, in seconds.
constexpr double LeadTime = 10;
/// Bound config-ms of fixit-ja.
constexpr double ConfigTime = 2;
/// Time in which requests are judged, from the confirmation on.
constexpr double JudgedTime = 15;

std::string route(const std::string &Name) {
  return R"({"name":")" + Name +
         R"(","host":"fixit.example","path-prefix":"/)" + Name +
         R"(/","kind":"idempotent","timeout-ms":3000,"slo-ms":300,)"
         R"("priority":1,"service":"ticket-desk","max-attempts":2})";
}

std::string config(int Version, const std::string &Routes) {
  return R"({"version":)" + std::to_string(Version) + R"(,"routes":[)" +
         Routes +
         R"(],"services":[{"name":"ticket-desk","health-path":"/health",)"
         R"("max-conns":130,"protocol":"h1","tls":false}],)"
         R"("limits":{"max-header-bytes":16384,"max-body-bytes":4194304,)"
         R"("header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[{)"
         R"("name":"cafe","api-keys":["k1"],"priority":1,)"
         R"("unit":"requests","rate-per-s":0,"burst":0}]})";
}

void announceForeignEngines(const Fleet &Hosts, double End) {
  std::vector<Announcer> engines;
  for (int i = 0; i < ForeignEngines; ++i) {
    // Latin-1, which isn't valid UTF-8.
    std::vector<std::string> controls = Hosts.controlAddresses();
    std::rotate(controls.begin(), controls.begin() + i % Size.Fronts,
                controls.end());
    engines.emplace_back("caf\xe9-" + std::to_string(i), "andere-dienste",
                         Hosts.addressOf(FirstForeignHost + i, 6), "kingston",
                         controls);
    engines.back().beginAt(now() + 1.2 * i / ForeignEngines);
  }
  while (now() < End) {
    for (Announcer &it : engines)
      it.announceIfDue();
    sleepFor(0.005);
  }
}

struct Findings {
  int Handled = 0; ///< As the newer config wants it.
  int Stale = 0;   ///< As only the older config allows.
};

/// Sends requests on the dropped and on the added route to one front.
Findings judgeFront(const Fleet &Hosts, const Record &Lines, int Front,
                    double ConfirmedAt) {
  Findings out;
  sleepFor(ConfirmedAt + ConfigTime + 0.2 - now());
  for (int i = 0; now() < ConfirmedAt + JudgedTime; ++i) {
    bool isAdded = i % 2 == 0;
    std::string attempt =
        "front" + std::to_string(Front) + "-" + std::to_string(i);
    Request message;
    message.Path = isAdded ? "/added/x" : "/dropped/x";
    message.Fields = {{"Host", "fixit.example"},
                      {"Sassafrasseam-Attempt-Id", attempt},
                      {"Sassafrasseam-Deadline-Ms", "3000"},
                      {"Authorization", "Bearer k1"}};
    message.Body = "ticket";
    double sentAt = now();
    Answer answer = call(Hosts.callerAddress(Front), message, 4);
    bool isStale = answer.Status == (isAdded ? 404 : 200);
    out.Stale += isStale;
    out.Handled += answer.Status == (isAdded ? 200 : 404);
    char age[32];
    std::snprintf(age, sizeof age, "%.1f", sentAt - ConfirmedAt);
    Lines.write("sent " + attempt + " " + message.Path + " " + age +
                " s after the confirmation: status " +
                std::to_string(answer.Status) + (isStale ? " CONFIG" : ""));
    sleepFor(0.4);
  }
  return out;
}

} // namespace

int main(int Argc, char **Argv) {
  if (Argc != 2)
    return CouldNotRun;
  limitRunTime(110);
  std::remove(Argv[1]);
  Record lines(Argv[1]);
  Fleet hosts(Size, lines);
  if (!hosts.startFronts(config(1, route("kept") + "," + route("dropped"))))
    return CouldNotRun;
  for (int i = 0; i < Engines; ++i) {
    std::vector<std::string> arguments{siblingProgram("engine"),
                                       lines.path(),
                                       "i-" + std::to_string(i),
                                       "ticket-desk",
                                       hosts.engineAddress(i),
                                       Fleet::zoneOf(i),
                                       "60",
                                       "length"};
    for (const std::string &it : hosts.controlAddresses())
      arguments.push_back(it);
    hosts.start("engine-" + std::to_string(i), arguments);
  }
  sleepFor(4);
  double end = now() + LeadTime + JudgedTime + 2;
  std::thread foreign([&] {
    if (!hasTrouble())
      return;
    lines.write("trouble: heartbeats of " + std::to_string(ForeignEngines) +
                " foreign engines");
    announceForeignEngines(hosts, end);
  });
  sleepFor(LeadTime);
  Request put;
  put.Path = "/Config.Put";
  put.Fields = {{"Content-Type", "application/json"}};
  put.Body = config(2, route("kept") + "," + route("added"));
  int status = 0;
  for (int i = 0; status != 200 && now() < end; ++i)
    status = call(hosts.controlAddress(1 + i % Size.Fronts), put, 2).Status;
  double confirmedAt = now();
  lines.write("version 2 confirmed, status " + std::to_string(status));
  std::vector<Findings> found(Size.Fronts);
  std::vector<std::thread> clients;
  for (int i = 0; i < Size.Fronts; ++i)
    clients.emplace_back(
        [&, i] { found[i] = judgeFront(hosts, lines, i + 1, confirmedAt); });
  for (std::thread &it : clients)
    it.join();
  foreign.join();
  int stale = 0;
  int handled = 0;
  for (int i = 0; i < Size.Fronts; ++i) {
    stale += found[i].Stale;
    handled += found[i].Handled;
    lines.write(
        "front-" + std::to_string(i + 1) +
        ": handled by version 2: " + std::to_string(found[i].Handled) +
        ", as only version 1 allows: " + std::to_string(found[i].Stale));
  }
  if (stale > 0)
    return RuleBroken;
  return status == 200 && handled > 0 ? RuleHeld : CouldNotRun;
}
