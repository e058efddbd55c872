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

/// Servers of one service, each behind a link of its own.
struct Engines {
  Engines(Fleet &Fronts, std::string Folder, std::string Service, int Count,
          std::vector<std::string> More, int First = 0)
      : Fronts(Fronts), Folder(std::move(Folder)), Service(std::move(Service)),
        More(std::move(More)), First(First), Links(static_cast<size_t>(Count)),
        Processes(static_cast<size_t>(Count)) {
    choosePorts();
  }
  ~Engines() {
    for (Process &it : Processes)
      it.kill();
  }
  void choosePorts() {
    for (int base = 29100; base < 31000; base += 20) {
      bool isFree = true;
      for (size_t i = 0; i < Links.size(); ++i)
        for (int k = 0; k < 20 && isFree; ++k) {
          int file = listenAt(ipOf(static_cast<int>(i)), base + k);
          isFree = file >= 0;
          if (isFree)
            ::close(file);
        }
      OuterPort = base;
      InnerPort = base + 1;
      ControlPort = base + 2;
      if (isFree)
        return;
    }
  }
  std::string ipOf(int Index) const {
    return "127." + std::to_string(Fronts.Net) + ".1." +
           std::to_string(First + Index + 1);
  }
  std::string idOf(int Index) const {
    return "i-" + std::to_string(First + Index);
  }
  std::string logFile() const { return Folder + "/runs.txt"; }
  /// Starts the process again, under the id that it had.
  void start(int Index) {
    std::string controls;
    const char *zones[] = {"kingston", "may-pen", "mandeville"};
    for (int i = 0; i < Fronts.count(); ++i) {
      std::string to = Fronts.controlAddress(i);
      if (Cut >= 0 && Index == Cut)
        to = numberedAddress(ipOf(Index), ControlPort + i);
      controls += (controls.empty() ? "" : ",") + to;
    }
    std::vector<std::string> command{
        SelfPath,
        "engine",
        "id=" + idOf(Index),
        "service=" + Service,
        std::string("zone=") + zones[Index % 3],
        "listen=" + numberedAddress(ipOf(Index), InnerPort),
        "announced=" + numberedAddress(ipOf(Index), OuterPort),
        "controls=" + controls,
        "log=" + logFile()};
    command.insert(command.end(), More.begin(), More.end());
    Processes[static_cast<size_t>(Index)] = startProcess(
        command, Folder + "/engine-" + std::to_string(Index) + ".log");
  }
  /// Starts all; the links of server \p CutIndex, if it is one, to and from the
  /// fronts can be cut.
  void startAll(int CutIndex) {
    Cut = CutIndex;
    for (size_t i = 0; i < Links.size(); ++i) {
      int index = static_cast<int>(i);
      Links[i] = std::make_unique<Link>(
          ipOf(index), OuterPort, numberedAddress(ipOf(index), InnerPort));
      if (index == Cut)
        for (int k = 0; k < Fronts.count(); ++k)
          Beats.push_back(std::make_unique<Link>(ipOf(index), ControlPort + k,
                                                 Fronts.controlAddress(k)));
      start(index);
    }
  }
  void setCut(bool IsCut) {
    Links[static_cast<size_t>(Cut)]->IsCut = IsCut;
    for (auto &it : Beats)
      it->IsCut = IsCut;
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
  size_t countEnds(const std::string &Attempt) const {
    std::ifstream in(logFile());
    size_t n = 0;
    for (std::string line; std::getline(in, line);)
      n += line.find("ends " + Attempt + " ") != std::string::npos;
    return n;
  }

  Fleet &Fronts;
  std::string Folder;
  std::string Service;
  std::vector<std::string> More;
  int First; ///< Number of the first server.
  std::vector<std::unique_ptr<Link>> Links;
  std::vector<std::unique_ptr<Link>> Beats;
  std::vector<Process> Processes;
  int Cut = -1;
  int OuterPort = 0;
  int InnerPort = 0;
  int ControlPort = 0;
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

/// One of six servers is cut off from all machines, is killed behind the cut
/// and starts again there under its id; then the cut heals.
int runReborn(const std::string &Folder, Record &Out) {
  Fleet fleet(Folder, 3, 2);
  fleet.startAll();
  constexpr int Pieces = 60;
  Engines engines(
      fleet, Folder, "notes", 6,
      {"stream=1", "pieces=" + std::to_string(Pieces), "gap-ms=100"});
  engines.startAll(0);
  std::string config = makeConfig(
      1, {{"note", "/note/", "streaming", "notes", 20000, 2000}}, {"notes"});
  if (!fleet.put(config, {0, 1, 2, 3, 4}, 10))
    return ExitNotRun;
  sleepFor(4);
  Requests requests;
  int onCut = 0;
  for (int i = 0; i < 40 && (i < 15 || onCut < 2); ++i) {
    std::string attempt = makeAttempt("s", i);
    requests.send(fleet.frontAddress(i % 5), "/note/a", attempt, 20000);
    sleepFor(0.05);
    onCut += engines.findRun(attempt) == engines.Cut;
  }
  sleepFor(0.8);
  Out.add(std::to_string(requests.All.size()) + " streams of " +
          std::to_string(Pieces) + " pieces run, " + std::to_string(onCut) +
          " of them at server i-0");
  if (hasTrouble()) {
    engines.setCut(true);
    Out.add("the links of i-0 are cut");
    sleepFor(0.5);
    engines.Processes[0].kill();
    Out.add("i-0 is killed behind the cut");
    sleepFor(1.5);
    engines.start(0);
    Out.add("i-0 starts again behind the cut, under its id");
    sleepFor(2.5);
    engines.setCut(false);
    Out.add("the cut heals, 4.5 s after it began");
  }
  requests.join();
  int broken = 0, whole = 0, cut = 0;
  for (auto &it : requests.All) {
    size_t pieces = 0;
    for (size_t at = it->Answer.Body.find("id: "); at != std::string::npos;
         at = it->Answer.Body.find("id: ", at + 1))
      ++pieces;
    bool isEnded = it->Answer.Status == 200 && it->Answer.IsWhole;
    whole += isEnded && pieces == Pieces;
    cut += !isEnded;
    if (isEnded && pieces < Pieces) {
      ++broken;
      Out.add("stream " + it->Attempt + ": 200, ended as complete after " +
              std::to_string(pieces) + " of " + std::to_string(Pieces) +
              " pieces; ran at i-" +
              std::to_string(engines.findRun(it->Attempt)));
    }
  }
  Out.add(std::to_string(whole) + " streams are complete, " +
          std::to_string(cut) + " are seen to break off, " +
          std::to_string(broken) + " end as complete before their last piece");
  if (onCut == 0 && hasTrouble())
    return ExitNotRun;
  return broken > 0 ? ExitBroken : ExitHeld;
}

// ---- 13 ----

/// One of six servers is killed while it writes answers without a length.
int runCrash(const std::string &Folder, Record &Out) {
  Fleet fleet(Folder, 3, 2);
  fleet.startAll();
  constexpr int Pieces = 8;
  Engines engines(fleet, Folder, "desk", 6,
                  {"pieces=" + std::to_string(Pieces), "gap-ms=40"});
  engines.startAll(-1);
  std::string config =
      makeConfig(1,
                 {{"charge", "/charge/", "non_idempotent", "desk"},
                  {"lookup", "/lookup/", "idempotent", "desk"}},
                 {"desk"});
  if (!fleet.put(config, {0, 1, 2, 3, 4}, 10))
    return ExitNotRun;
  sleepFor(4);
  std::string all;
  for (int i = 1; i <= Pieces; ++i)
    all +=
        "piece " + std::to_string(i) + " of " + std::to_string(Pieces) + "\n";
  Requests requests;
  int number = 0;
  int crashes = 0;
  // A crash each 6 s; the server is back after 4.5 s.
  for (int round = 0; round < 4; ++round) {
    int victim = round;
    std::set<std::string> begun;
    for (int i = 0; i < 36; ++i) {
      std::string attempt = makeAttempt("r", ++number);
      requests.send(fleet.frontAddress(number % 5),
                    number % 2 ? "/charge/a" : "/lookup/a", attempt, 3000);
      sleepFor(0.02);
      if (i != 30 || !hasTrouble())
        continue;
      engines.Processes[static_cast<size_t>(victim)].kill();
      ++crashes;
      Out.add("server " + engines.idOf(victim) + " crashes");
    }
    sleepFor(4.5);
    if (hasTrouble())
      engines.start(victim);
    sleepFor(1.5);
  }
  requests.join();
  int whole = 0, broken = 0, other = 0;
  for (auto &it : requests.All) {
    if (it->Answer.Status != 200 || !it->Answer.IsWhole) {
      ++other;
      continue;
    }
    if (it->Answer.Body == all) {
      ++whole;
      continue;
    }
    ++broken;
    Out.add("request " + it->Attempt + ": 200, seal " +
            it->Answer.Fields["sassafrasseam-response-seal"] +
            ", content-length " + it->Answer.Fields["content-length"] +
            ", but the server's whole body has " + std::to_string(all.size()) +
            " bytes; ran at i-" + std::to_string(engines.findRun(it->Attempt)));
  }
  Out.add(std::to_string(requests.All.size()) + " requests, " +
          std::to_string(crashes) + " crashes: " + std::to_string(whole) +
          " whole answers, " + std::to_string(other) + " failures, " +
          std::to_string(broken) + " successes with part of the body");
  if (whole == 0)
    return ExitNotRun;
  return broken > 0 ? ExitBroken : ExitHeld;
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
  engines.startAll(-1);
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

/// Another writer announces servers of one service, once each, as servers of
/// another one. Its pings lack fields.
int runOtherWriter(const std::string &Folder, Record &Out) {
  Fleet fleet(Folder, 3, 5);
  fleet.startAll();
  Engines desk(fleet, Folder, "desk", 3, {"pieces=2", "gap-ms=20"});
  Engines notes(fleet, Folder, "notes", 3, {"pieces=2", "gap-ms=20"}, 3);
  desk.startAll(-1);
  notes.startAll(-1);
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
    options.Body = "{\"service\":\"desk\",\"address\":\"" +
                   numberedAddress(notes.ipOf(i), notes.OuterPort) +
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
  else if (arguments[0] == "reborn")
    code = runReborn(folder.Path, out);
  else if (arguments[0] == "crash")
    code = runCrash(folder.Path, out);
  else if (arguments[0] == "stop")
    code = runStop(folder.Path, out);
  else if (arguments[0] == "writer")
    code = runOtherWriter(folder.Path, out);
  out.add(code == ExitBroken ? "the rule was broken"
          : code == ExitHeld ? "the rule held"
                             : "the case could not run");
  return code;
}
