// Trials of review/11 to review/15. Usage: trial CASE FOLDER; FOLDER gets
// record.txt. Exit codes: 0 the rule held, 1 it was broken, 2 it could not run.
#include "trial.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <unistd.h>

using namespace trial;

namespace {

constexpr int ExitHeld = 0;
constexpr int ExitBroken = 1;
constexpr int ExitNotRun = 2;

std::string SelfPath;

bool hasTrouble() {
  const char *value = std::getenv("TROUBLE");
  return !value || std::strcmp(value, "0") != 0;
}

/// A temporary folder that is removed at the end.
struct Temporary {
  Temporary() {
    char name[] = "/tmp/trial-XXXXXX";
    Path = ::mkdtemp(name) ? name : "";
  }
  ~Temporary() {
    std::error_code ec;
    if (!Path.empty() && !std::getenv("KEEP_FOLDER"))
      std::filesystem::remove_all(Path, ec);
  }
  std::string Path;
};

/// Servers of one service, each a process of its own.
struct Engines {
  Engines(Fleet &Fronts, std::string Folder, std::string Service, int Count,
          std::vector<std::string> More, int First = 0)
      : Fronts(Fronts), Folder(std::move(Folder)), Service(std::move(Service)),
        More(std::move(More)), First(First),
        Processes(static_cast<size_t>(Count)) {
    choosePort();
  }
  ~Engines() {
    for (Process &it : Processes)
      it.kill();
  }
  void choosePort() {
    bool isFree = false;
    for (Port = 29100; !isFree && Port < 31000; ++Port) {
      isFree = true;
      for (size_t i = 0; i < Processes.size() && isFree; ++i) {
        int file = listenAt(ipOf(static_cast<int>(i)), Port + 1);
        isFree = file >= 0;
        if (isFree)
          ::close(file);
      }
    }
  }
  std::string ipOf(int Index) const {
    return "127." + std::to_string(Fronts.Net) + ".1." +
           std::to_string(First + Index + 1);
  }
  std::string addressOf(int Index) const {
    return numberedAddress(ipOf(Index), Port);
  }
  std::string idOf(int Index) const {
    return "i-" + std::to_string(First + Index);
  }
  std::string logFile() const { return Folder + "/runs.txt"; }
  /// Starts the process, under the id that it had if it ran before.
  void start(int Index, const std::vector<std::string> &Changes = {}) {
    std::string controls;
    const char *zones[] = {"kingston", "may-pen", "mandeville"};
    for (int i = 0; i < Fronts.count(); ++i)
      controls += (controls.empty() ? "" : ",") + Fronts.controlAddress(i);
    std::vector<std::string> command{SelfPath,
                                     "engine",
                                     "id=" + idOf(Index),
                                     "service=" + Service,
                                     std::string("zone=") + zones[Index % 3],
                                     "address=" + addressOf(Index),
                                     "controls=" + controls,
                                     "log=" + logFile()};
    command.insert(command.end(), More.begin(), More.end());
    command.insert(command.end(), Changes.begin(), Changes.end());
    Processes[static_cast<size_t>(Index)] = startProcess(
        command, Folder + "/engine-" + std::to_string(Index) + ".log");
  }
  void startAll() {
    for (size_t i = 0; i < Processes.size(); ++i)
      start(static_cast<int>(i));
  }
  /// Server that runs the request, or -1.
  int findRun(const std::string &Attempt) const {
    std::ifstream in(logFile());
    for (std::string id, verb, attempt, rest; in >> id >> verb >> attempt;) {
      std::getline(in, rest);
      if (attempt == Attempt)
        return std::atoi(id.c_str() + 2);
    }
    return -1;
  }

  Fleet &Fronts;
  std::string Folder;
  std::string Service;
  std::vector<std::string> More;
  int First; ///< Number of the first server.
  std::vector<Process> Processes;
  int Port = 0;
};

/// Requests of clients that are sent at the same time.
struct Requests {
  struct One {
    std::string Attempt;
    HttpAnswer Answer;
    std::thread Thread;
  };
  ~Requests() { join(); }
  void send(const std::string &Front, const std::string &Target,
            const std::string &Attempt, int TimeMs) {
    auto it = std::make_shared<One>();
    it->Attempt = Attempt;
    it->Thread = std::thread([it, Front, Target, TimeMs] {
      HttpCallOptions options;
      options.Timeout = TimeMs / 1000.0;
      options.Fields = {{"Sassafrasseam-Attempt-Id", it->Attempt},
                        {"Sassafrasseam-Deadline-Ms", std::to_string(TimeMs)}};
      options.Body = "body of " + it->Attempt;
      it->Answer = callHttp(Front, "POST", Target, Host, options);
    });
    All.push_back(it);
  }
  void join() {
    for (auto &it : All)
      if (it->Thread.joinable())
        it->Thread.join();
  }
  std::vector<std::shared_ptr<One>> All;
};

std::string makeAttempt(const char *Prefix, int Number) {
  return Prefix + std::to_string(::getpid()) + "-" + std::to_string(Number);
}

// ---- 11 ----

/// A core machine is replaced as planned. Just after the old one has ended, one
/// other machine loses its disk.
int runReplacement(const std::string &Folder, Record &Out) {
  Fleet fleet(Folder, 4, 2);
  const int old = 2, successor = 3, unlucky = 1;
  auto makeVersion = [](uint64_t Version) {
    return makeConfig(Version, {{"lookup", "/lookup/", "idempotent", "desk"}},
                      {"desk"});
  };
  for (int i : {0, 1, 2, 4, 5})
    fleet.start(i, true);
  if (!fleet.put(makeVersion(1), {0, 1, 2, 4, 5}, 10)) {
    Out.add("the first config was not acknowledged");
    return ExitNotRun;
  }
  Out.add("config 1 acknowledged; core: front-1, front-2, front-3");
  sleepFor(4);
  fleet.start(successor, false);
  Out.add("front-4 starts with an empty disk: the successor of front-3");
  sleepFor(6);
  if (!fleet.put(makeVersion(5), {0, 1, 2, 3, 4, 5}, 10)) {
    Out.add("config 5 was not acknowledged");
    return ExitNotRun;
  }
  Out.add("config 5 acknowledged, 6 s after the start of front-4");
  fleet.process(old).signal(SIGTERM);
  Out.add("SIGTERM to front-3");
  if (!fleet.process(old).waitForEnd(8)) {
    fleet.process(old).kill();
    Out.add("front-3 ended by SIGKILL at the end of its grace time");
  } else {
    Out.add("front-3 has ended and stays away");
  }
  sleepFor(1);
  std::vector<int> rest{0, unlucky, successor, 4, 5};
  if (hasTrouble()) {
    fleet.process(unlucky).kill();
    Out.add("front-2 is killed and loses its disk");
    sleepFor(3);
    fleet.start(unlucky, false, 2);
    Out.add("front-2 is back at its address with an empty disk");
  } else {
    sleepFor(3);
  }
  // recover-s is 12 s, contact-ms 3 s.
  sleepFor(16);
  Out.add("16 s later the operator reads the config, at all machines in turn");
  uint64_t newest = 0;
  std::map<uint64_t, int> answers;
  double end = secondsSinceStart() + 10;
  while (secondsSinceStart() < end) {
    for (int it : rest) {
      uint64_t version = fleet.read(it);
      ++answers[version];
      newest = std::max(newest, version);
    }
    sleepFor(0.25);
  }
  for (const auto &[version, n] : answers)
    Out.add(std::to_string(n) + " reads: " +
            (version ? "version " + std::to_string(version)
                     : std::string("no config (5xx or no answer)")));
  bool isAccepted = fleet.put(makeVersion(9), rest, 10);
  Out.add(std::string("config 9, sent for 10 s, is ") +
          (isAccepted ? "acknowledged" : "never acknowledged"));
  return newest == 5 ? ExitHeld : ExitBroken;
}

// ---- 12 ----

/// One server crashes and starts again at once, under its id and with a newer
/// software version. Its first ping is late. Then another server crashes.
int runVersions(const std::string &Folder, Record &Out) {
  Fleet fleet(Folder, 3, 5);
  fleet.startAll();
  constexpr int Pieces = 120;
  Engines engines(
      fleet, Folder, "notes", 6,
      {"stream=1", "pieces=" + std::to_string(Pieces), "gap-ms=80"});
  for (int i = 1; i < 6; ++i)
    engines.start(i);
  std::string config = makeConfig(
      1, {{"note", "/note/", "streaming", "notes", 12000, 400, true}},
      {"notes"});
  if (!fleet.put(config, {0, 1, 2, 3, 4, 5, 6, 7}, 10))
    return ExitNotRun;
  sleepFor(4);
  // Usual traffic, from which the budget of repeats grows.
  Requests before;
  for (int i = 0; i < 240; ++i) {
    before.send(fleet.frontAddress(i % 8), "/note/short", makeAttempt("u", i),
                12000);
    sleepFor(0.02);
  }
  before.join();
  Requests requests;
  for (int i = 0; i < 40; ++i) {
    requests.send(fleet.frontAddress(i % 8), "/note/a", makeAttempt("v", i),
                  12000);
    sleepFor(0.02);
  }
  Out.add("40 streams of " + std::to_string(Pieces) +
          " pieces run at five servers of version v1");
  engines.start(0);
  Out.add("server i-0 is added, of version v1");
  sleepFor(3);
  if (hasTrouble()) {
    engines.Processes[0].kill();
    Out.add("i-0 crashes");
    sleepFor(0.4);
    engines.start(0, {"version=v2", "first-ping-ms=1500"});
    Out.add("i-0 is back under its id, of version v2; its first ping comes "
            "1.5 s later");
    sleepFor(0.5);
    engines.Processes[3].kill();
    Out.add("i-3, in the same zone, crashes");
    sleepFor(4.5);
    engines.start(3);
    Out.add("i-3 is back under its id, of version v1");
  }
  requests.join();
  int joined = 0, whole = 0, other = 0;
  for (auto &it : requests.All) {
    const std::string &body = it->Answer.Body;
    size_t newer = body.find(" by v2");
    bool isWhole = it->Answer.Status == 200 && it->Answer.IsWhole;
    whole += isWhole;
    other += !isWhole;
    if (body.find(" by v1") == std::string::npos || newer == std::string::npos)
      continue;
    ++joined;
    size_t line = body.rfind("data: ", newer) + 6;
    Out.add("stream " + it->Attempt + ": events of v1, from \"" +
            body.substr(line, newer + 6 - line) + "\" on events of v2");
  }
  Out.add(std::to_string(whole) + " streams are complete, " +
          std::to_string(other) + " are not, " + std::to_string(joined) +
          " hold events of both versions");
  // The rule excuses two.
  return joined > 2 ? ExitBroken : ExitHeld;
}

// ---- 13 ----

/// Another writer announces servers of one service, once each, as servers of
/// another one. Its pings lack fields.
int runOtherWriter(const std::string &Folder, Record &Out) {
  Fleet fleet(Folder, 3, 5);
  fleet.startAll();
  Engines desk(fleet, Folder, "desk", 3, {"pieces=2", "gap-ms=20"});
  Engines notes(fleet, Folder, "notes", 3, {"pieces=2", "gap-ms=20"}, 3);
  desk.startAll();
  notes.startAll();
  std::string config =
      makeConfig(1,
                 {{"charge", "/charge/", "non_idempotent", "desk"},
                  {"note", "/note/", "idempotent", "notes"}},
                 {"desk", "notes"});
  if (!fleet.put(config, {0, 1, 2, 3, 4, 5, 6, 7}, 10))
    return ExitNotRun;
  sleepFor(5);
  auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
                 std::chrono::system_clock::now().time_since_epoch())
                 .count();
  for (int i = 0; i < 3 && hasTrouble(); ++i) {
    HttpCallOptions options;
    options.Timeout = 1;
    options.Fields = {{"Content-Type", "application/json"}};
    // No version, no slots and no cold-left-ms.
    options.Body = "{\"service\":\"desk\",\"address\":\"" + notes.addressOf(i) +
                   "\",\"zone\":\"kingston\",\"state\":\"ready\",\"seq\":1,"
                   "\"born\":" +
                   std::to_string(now) + "}";
    std::string to = fleet.controlAddress(i);
    HttpAnswer answer = callHttp(
        to, "POST", "/Instances.Heartbeat/" + notes.idOf(i), to, options);
    Out.add("ping of another writer for " + notes.idOf(i) +
            ", a server of notes: " + options.Body + "; answered " +
            std::to_string(answer.Status));
  }
  sleepFor(3);
  Requests requests;
  for (int i = 0; i < 200; ++i) {
    requests.send(fleet.frontAddress(i % 8), i % 2 ? "/note/a" : "/charge/a",
                  makeAttempt(i % 2 ? "note" : "charge", i), 3000);
    sleepFor(0.1);
  }
  requests.join();
  int foreign = 0;
  std::map<std::string, std::map<int, int>> answers;
  for (auto &it : requests.All) {
    bool isNote = it->Attempt.rfind("note", 0) == 0;
    ++answers[isNote ? "note" : "charge"][it->Answer.Status];
    int server = desk.findRun(it->Attempt);
    if (server < 0 || isNote == (server >= 3))
      continue;
    if (++foreign <= 10)
      Out.add("request " + it->Attempt + " of route " +
              (isNote ? "note" : "charge") + " ran at i-" +
              std::to_string(server) + ", a server of " +
              (server >= 3 ? "notes" : "desk") + "; the client got " +
              std::to_string(it->Answer.Status) + ", seal " +
              it->Answer.Fields["sassafrasseam-response-seal"]);
  }
  for (const auto &[route, counts] : answers)
    for (const auto &[status, n] : counts)
      Out.add("route " + route + ": " + std::to_string(n) +
              " requests with status " + std::to_string(status));
  Out.add(std::to_string(foreign) + " requests ran at servers of a service "
                                    "that no config lets them go to");
  return foreign > 0 ? ExitBroken : ExitHeld;
}

// ---- 14 ----

/// A front is stopped as planned while the slots of all servers are taken.
int runStop(const std::string &Folder, Record &Out) {
  Fleet fleet(Folder, 3, 2);
  fleet.startAll();
  constexpr int Pieces = 30;
  Engines engines(
      fleet, Folder, "notes", 3,
      {"stream=1", "pieces=" + std::to_string(Pieces), "gap-ms=80", "slots=6"});
  engines.startAll();
  std::string config = makeConfig(
      1, {{"note", "/note/", "streaming", "notes", 20000, 3000}}, {"notes"});
  if (!fleet.put(config, {0, 1, 2, 3, 4}, 10))
    return ExitNotRun;
  sleepFor(4);
  const int stopped = 3;
  struct Done {
    std::string Attempt;
    int Front;
    double SentAt, EndedAt;
    HttpAnswer Answer;
  };
  std::mutex lock;
  std::vector<Done> all;
  std::atomic<bool> isOver{false};
  std::atomic<int> number{0};
  std::vector<std::thread> clients;
  // Each client has one request at a time, and more ask than there are slots.
  for (int i = 0; i < 30; ++i)
    clients.emplace_back([&, i] {
      sleepFor(0.05 * i);
      int front = i % 5;
      while (!isOver) {
        std::string attempt = makeAttempt("t", ++number);
        HttpCallOptions options;
        options.Timeout = 20;
        options.Fields = {{"Sassafrasseam-Attempt-Id", attempt},
                          {"Sassafrasseam-Deadline-Ms", "20000"}};
        double sentAt = secondsSinceStart();
        HttpAnswer answer = callHttp(fleet.frontAddress(front), "POST",
                                     "/note/a", Host, options);
        {
          std::lock_guard guard(lock);
          all.push_back({attempt, front, sentAt, secondsSinceStart(), answer});
        }
        if (answer.Status == 0)
          front = (front + 1) % 5;
        if (answer.Status != 200)
          sleepFor(0.3);
      }
    });
  sleepFor(10);
  double stoppedAt = secondsSinceStart();
  if (hasTrouble()) {
    fleet.process(stopped).signal(SIGTERM);
    Out.add("SIGTERM to front-4");
    if (!fleet.process(stopped).waitForEnd(8))
      fleet.process(stopped).kill();
    Out.add("front-4 has ended");
  } else {
    sleepFor(8);
  }
  isOver = true;
  for (std::thread &it : clients)
    it.join();
  int whole = 0, cut = 0, lost = 0, refused = 0;
  for (const Done &it : all) {
    size_t pieces = 0;
    for (size_t at = it.Answer.Body.find("id: "); at != std::string::npos;
         at = it.Answer.Body.find("id: ", at + 1))
      ++pieces;
    bool isWhole = it.Answer.Status == 200 && it.Answer.IsWhole;
    whole += isWhole;
    refused += it.Answer.Status != 200;
    bool isCut = it.Answer.Status == 200 && !it.Answer.IsWhole;
    cut += isCut;
    // Taken by the front that stops, which passed it on; the server has run it
    // to its end.
    bool isPlanned = hasTrouble() && it.Front == stopped &&
                     it.EndedAt > stoppedAt && it.EndedAt < stoppedAt + 9;
    if (!isCut || !isPlanned || pieces < Pieces)
      continue;
    ++lost;
    Out.add("stream " + it.Attempt + ", sent " +
            std::to_string(it.SentAt - stoppedAt) +
            " s after the SIGTERM, has all " + std::to_string(pieces) +
            " pieces, but its channel ends " +
            std::to_string(it.EndedAt - stoppedAt) +
            " s after it without the end of the answer");
  }
  Out.add(std::to_string(all.size()) + " requests: " + std::to_string(whole) +
          " complete, " + std::to_string(refused) + " refused, " +
          std::to_string(cut) + " cut in the answer, " + std::to_string(lost) +
          " of these around the planned stop");
  return lost > 0 ? ExitBroken : ExitHeld;
}

// ---- 15 ----

/// First start of eight fronts, three of which have a disk. The three seeds
/// that all receive are machines without one.
int runSeeds(const std::string &Folder, Record &Out) {
  Fleet fleet(Folder, 3, 5);
  if (hasTrouble())
    fleet.Seeds = {3, 4, 5};
  std::string seeds;
  for (int it : fleet.Seeds)
    seeds += " front-" + std::to_string(it + 1);
  Out.add("front-1, front-2 and front-3 have a disk; the seeds are" + seeds);
  fleet.startAll();
  Engines engines(fleet, Folder, "desk", 3, {"pieces=2", "gap-ms=20"});
  engines.startAll();
  std::string config =
      makeConfig(1, {{"lookup", "/lookup/", "idempotent", "desk"}}, {"desk"});
  bool isAccepted = fleet.put(config, {0, 1, 2, 3, 4, 5, 6, 7}, 40);
  Out.add(std::string("the first config, sent for 40 s at most, is ") +
          (isAccepted ? "acknowledged" : "never acknowledged"));
  sleepFor(4);
  Requests requests;
  for (int i = 0; i < 80; ++i) {
    requests.send(fleet.frontAddress(i % 8), "/lookup/a", makeAttempt("q", i),
                  3000);
    sleepFor(0.05);
  }
  requests.join();
  std::map<int, int> answers;
  for (auto &it : requests.All)
    ++answers[it->Answer.Status];
  for (const auto &[status, n] : answers)
    Out.add(std::to_string(n) + " requests: status " + std::to_string(status));
  return isAccepted && answers[200] > 0 ? ExitHeld : ExitBroken;
}

} // namespace

int main(int Count, char **Arguments) {
  std::vector<std::string> arguments(Arguments + 1, Arguments + Count);
  SelfPath = std::filesystem::read_symlink("/proc/self/exe");
  if (!arguments.empty() && arguments[0] == "engine")
    return runEngine({arguments.begin() + 1, arguments.end()});
  if (arguments.size() != 2)
    return ExitNotRun;
  Record out(arguments[1] + "/record.txt");
  out.add(std::string("TROUBLE=") + (hasTrouble() ? "1" : "0"));
  Temporary folder;
  int code = ExitNotRun;
  if (arguments[0] == "replacement")
    code = runReplacement(folder.Path, out);
  else if (arguments[0] == "versions")
    code = runVersions(folder.Path, out);
  else if (arguments[0] == "seeds")
    code = runSeeds(folder.Path, out);
  else if (arguments[0] == "stop")
    code = runStop(folder.Path, out);
  else if (arguments[0] == "writer")
    code = runOtherWriter(folder.Path, out);
  out.add(code == ExitBroken ? "the rule was broken"
          : code == ExitHeld ? "the rule held"
                             : "the case could not run");
  return code;
}
