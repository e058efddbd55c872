#include "tests/soak/soak_run.h"

#include "tests/harness/front_fleet.h"
#include "tests/soak/fault_proxy.h"

#include <csignal>
#include <functional>
#include <mutex>
#include <random>
#include <set>

namespace sassafras {

namespace {

using std::chrono::seconds;

constexpr int FirstEngineHost = 50;
constexpr int EngineCount = 3;
constexpr int DeskCount = 2;
constexpr int CallerCount = 6;
constexpr int EnginePort = 7;
constexpr int ProxyPort = 6;
constexpr const char *AllFronts = "all fronts";
constexpr seconds CallLimit{6};
constexpr seconds HealLimit{30};
/// A disk is taken at most this often; the group repairs itself meanwhile.
constexpr Millis WipePause{8'000};

std::string soakTable(int Version) {
  std::string version = std::to_string(Version);
  return R"({"version":)" + version +
         R"(,"routes":[{"name":"s","host":"h.example","path-prefix":"/p/",)"
         R"("kind":"streaming","timeout-ms":5000,"slo-ms":1000,"max-attempts":3,)"
         R"("service":"chat"},{"name":"d","host":"h.example",)"
         R"("path-prefix":"/d/","kind":"non_idempotent","timeout-ms":4000,"max-attempts":3,)"
         R"("slo-ms":500,"service":"desk"},{"name":"v","host":"h.example",)"
         R"("path-prefix":"/v)" +
         version +
         R"(/","kind":"non_idempotent","timeout-ms":4000,"slo-ms":500,"max-attempts":3,)"
         R"("service":"desk"}],"services":[{"name":"desk"},{"name":"chat",)"
         R"("engine":{"slots":8,"weights-mb":100,"adapter-slots":2,)"
         R"("loads-per-s":5,"models":[{"name":"warm","weights-mb":30,)"
         R"("load-s":1,"disk-load-s":0.1},{"name":"cold","weights-mb":30,)"
         R"("load-s":1,"disk-load-s":0.1}]}}],"tenants":[{"name":"first",)"
         R"("api-keys":["secret-key"]}]})";
}

std::string wholeBody() {
  std::string out;
  for (int i = 1; i <= 10; ++i)
    out += "id: " + std::to_string(i) + "\ndata: x\n\n";
  return out;
}

/// An endpoint behind a proxy, announcing itself as the platform's do.
struct SoakEndpoint {
  SoakEndpoint(const FrontFleet &Fleet, int Host, const std::string &Service,
               const std::set<std::string> &Models,
               const std::set<std::string> &OnDisk)
      : Engine("i-" + std::to_string(Host), Service, Fleet.at(Host, EnginePort),
               Models, OnDisk),
        Proxy(Fleet.at(Host, ProxyPort), Fleet.at(Host, EnginePort)) {
    Engine.announceAs(Fleet.at(Host, ProxyPort));
    Engine.setPace(Millis(20));
  }

  FakePlatformEngine Engine;
  FaultProxy Proxy;
};

/// What must hold, from what was seen.
class Promises {
public:
  void note(const std::string &Id, const CallerAnswer &Answer) {
    std::lock_guard guard(Lock);
    ++Report.Asked;
    bool isPromise = Answer.Status == 429 || Answer.Status == 503;
    if (isPromise && Answer.IsWhole) {
      ++Report.Refused;
      NotRun.insert(Id);
    }
    if (Answer.Status != 200 || !Answer.IsWhole)
      return;
    ++Report.Answered;
    if (Answer.Body != wholeBody())
      breakOne(Id + ": a body that looks whole is not: " + Answer.Body);
    if (fieldOf(Answer.Fields, "sassafrasseam-attempt-id") != Id)
      breakOne(Id + ": the answer belongs to another request");
    if (fieldOf(Answer.Fields, "sassafrasseam-response-seal") != "seal")
      breakOne(Id + ": a success without its endpoint's seal");
    Served.insert(Id);
  }

  void noteForeign(const CallerAnswer &Answer) {
    std::lock_guard guard(Lock);
    if (Answer.Status == 200)
      breakOne("a request with a wrong key was served");
  }

  void noteTable(int Version) {
    std::lock_guard guard(Lock);
    ++Report.TablesAcknowledged;
    Acknowledged = std::max(Acknowledged, Version);
  }

  /// After the end: what endpoints saw.
  void checkRuns(const std::vector<SeenRequest> &Seen) {
    std::lock_guard guard(Lock);
    std::map<std::string, int> runs;
    for (const SeenRequest &it : Seen) {
      ++runs[it.Id];
      for (const HttpField &field : it.Fields)
        if (field.Value.find("secret-key") != std::string::npos)
          breakOne(it.Id + ": the caller's key reached an endpoint");
    }
    for (const auto &[id, n] : runs) {
      if (n > 1)
        breakOne(id + ": ran " + std::to_string(n) + " times");
      if (NotRun.contains(id))
        breakOne(id + ": was refused as not run, and ran");
    }
    for (const std::string &it : Served)
      if (!runs.contains(it))
        breakOne(it + ": was answered, and no endpoint saw it");
  }

  void check(bool IsKept, const std::string &Promise) {
    std::lock_guard guard(Lock);
    if (!IsKept)
      breakOne(Promise);
  }

  int acknowledged() {
    std::lock_guard guard(Lock);
    return Acknowledged;
  }

  SoakReport Report;

private:
  void breakOne(const std::string &Line) { Report.Broken.push_back(Line); }

  std::mutex Lock;
  std::set<std::string> NotRun;
  std::set<std::string> Served;
  int Acknowledged = 0;
};

CallerAnswer call(const std::string &Address, const std::string &Path,
                  const std::string &Id, const std::string &Model,
                  const std::string &Key) {
  HttpRequest request{"POST",
                      Path,
                      {{"authorization", "Bearer " + Key},
                       {"sassafrasseam-attempt-id", Id},
                       {"sassafrasseam-deadline-ms", "5000"},
                       {"host", "h.example"}},
                      "body"};
  if (!Model.empty())
    request.Fields.push_back({"sassafrasseam-model", Model});
  return callHttp(Address, request, CallLimit);
}

/// A fault that is under way and what ends it.
struct OpenFault {
  TimePoint EndsAt;
  std::string On;
  std::function<void()> End;
};

class Soak {
public:
  explicit Soak(uint64_t Seed) : Random(Seed) {
    for (int i = 0; i < EngineCount; ++i) {
      bool isFirst = i == 0;
      int host = FirstEngineHost + i;
      Endpoints.push_back(std::make_unique<SoakEndpoint>(
          Fleet, host, "chat", std::set<std::string>{isFirst ? "cold" : "warm"},
          std::set<std::string>{isFirst ? "warm" : "cold"}));
      Fleet.startAgent(host, Fleet.at(host, ProxyPort));
    }
    for (int i = 0; i < DeskCount; ++i)
      Endpoints.push_back(std::make_unique<SoakEndpoint>(
          Fleet, FirstEngineHost + EngineCount + i, "desk",
          std::set<std::string>{}, std::set<std::string>{}));
  }

  SoakReport run(seconds Length) {
    bool isUp =
        waitUntil(HealLimit, [&] { return Fleet.put(1, soakTable(1)) == 200; });
    Rules.check(isUp, "the fleet did not take its first table");
    std::vector<std::thread> threads;
    threads.emplace_back([this] { announce(); });
    threads.emplace_back([this] { operate(); });
    for (int i = 0; i < CallerCount; ++i)
      threads.emplace_back([this, i] { ask(i); });
    harm(Clock::now() + Length);
    heal();
    IsOver = true;
    for (std::thread &it : threads)
      it.join();
    std::vector<SeenRequest> seen;
    for (const auto &it : Endpoints)
      for (SeenRequest &request : it->Engine.seen())
        seen.push_back(std::move(request));
    Rules.checkRuns(seen);
    return Rules.Report;
  }

private:
  int draw(int Least, int Most) {
    return std::uniform_int_distribution<int>(Least, Most)(Random);
  }

  void announce() {
    for (int i = 0; !IsOver; ++i) {
      for (const auto &it : Endpoints)
        for (int n = 0; n < 2; ++n)
          if (it->Engine.announce(Fleet.control(1 + (i + n) % Fleet.fronts())))
            break;
      std::this_thread::sleep_for(Millis(200));
    }
  }

  void operate() {
    for (int version = 2; !IsOver; ++version) {
      if (Fleet.put(1 + version % Fleet.fronts(), soakTable(version)) == 200)
        Rules.noteTable(version);
      std::this_thread::sleep_for(Millis(300));
    }
  }

  void ask(int Caller) {
    std::mt19937 random(static_cast<unsigned>(Caller) + 1);
    for (int i = 0; !IsOver; ++i) {
      std::string id = "c" + std::to_string(Caller) + "-" + std::to_string(i);
      std::string front =
          Fleet.callers(1 + static_cast<int>(random() % 4) % Fleet.fronts());
      unsigned kind = random() % 10;
      if (kind == 0)
        Rules.noteForeign(call(front, "/p/x", id, "warm", "wrong-key"));
      else if (kind < 4)
        Rules.note(id, call(front, "/d/x", id, "", "secret-key"));
      else
        Rules.note(id, call(front, "/p/x", id, kind < 6 ? "cold" : "warm",
                            "secret-key"));
      std::this_thread::sleep_for(Millis(10));
    }
  }

  // ---- Faults ----

  void begin(const std::string &Name, const std::string &On, Millis Length,
             std::function<void()> End) {
    ++Rules.Report.Faults;
    Rules.Report.Story.push_back(
        std::to_string(toMillis(Clock::now() - StartedAt)) + " ms: " + Name +
        " " + On + " for " + std::to_string(Length.count()) + " ms");
    Open.push_back({Clock::now() + Length, On, std::move(End)});
  }

  bool isFree(const std::string &Name) const {
    bool isFront = Name.starts_with("front-");
    for (const OpenFault &it : Open)
      if (it.On == Name || (isFront && it.On == AllFronts))
        return false;
    return true;
  }

  void endFaults(bool AreAll) {
    for (size_t i = 0; i < Open.size();) {
      if (!AreAll && !isPast(Open[i].EndsAt, Clock::now())) {
        ++i;
        continue;
      }
      OpenFault fault = std::move(Open[i]);
      Open.erase(Open.begin() + static_cast<std::ptrdiff_t>(i));
      fault.End();
    }
  }

  void harm(TimePoint End) {
    StartedAt = Clock::now();
    while (!isPast(End, Clock::now())) {
      std::this_thread::sleep_for(Millis(draw(100, 900)));
      endFaults(false);
      checkOwnEnds();
      int kind = draw(0, 9);
      if (kind < 3)
        harmEndpoint();
      else if (kind < 4)
        harmAgent();
      else if (kind == 9)
        harmAll();
      else
        harmFront(1 + draw(0, Fleet.fronts() - 1), kind);
    }
  }

  void harmEndpoint() {
    auto index =
        static_cast<size_t>(draw(0, static_cast<int>(Endpoints.size()) - 1));
    std::string name = "endpoint-" + std::to_string(index);
    if (!isFree(name))
      return;
    auto fault = static_cast<ProxyFault>(draw(1, 5));
    FaultProxy &proxy = Endpoints[index]->Proxy;
    proxy.setFault(fault);
    begin("proxy fault " + std::to_string(static_cast<int>(fault)), name,
          Millis(draw(200, 2'500)),
          [&proxy] { proxy.setFault(ProxyFault::None); });
  }

  void harmAgent() {
    int host = FirstEngineHost + draw(0, EngineCount - 1);
    std::string name = FrontFleet::agentName(host);
    if (!isFree(name))
      return;
    Fleet.kill(name);
    begin("kill", name, Millis(draw(100, 1'500)),
          [this, host] { Fleet.startAgent(host, Fleet.at(host, ProxyPort)); });
  }

  void harmFront(int Host, int Kind) {
    std::string name = FrontFleet::frontName(Host);
    if (!isFree(name))
      return;
    Millis length(draw(100, 2'500));
    if (Kind == 4) {
      Fleet.signal(name, SIGSTOP);
      begin("pause", name, length,
            [this, name] { Fleet.signal(name, SIGCONT); });
      return;
    }
    bool isWipe = Kind == 5 && mayWipe(Host);
    if (Kind == 6)
      Fleet.signal(name, SIGTERM);
    else
      Fleet.kill(name);
    if (isWipe) {
      Fleet.loseDisk(Host);
      NextWipe = Clock::now() + WipePause;
    }
    begin(isWipe ? "lost disk" : (Kind == 6 ? "stop" : "kill"), name, length,
          [this, name, Host, Kind] {
            if (Kind == 6)
              endStop(name);
            Fleet.start(Host, false);
          });
  }

  /// The operators' rule: no disk is given up while the group bears no loss.
  bool mayWipe(int Host) {
    if (Host > Fleet.disks() || !isPast(NextWipe, Clock::now()))
      return false;
    return Fleet.ctl("status").Out.find("losses borne now: 1") !=
           std::string::npos;
  }

  void endStop(const std::string &Name) {
    int code = Fleet.waitForExit(Name, seconds(10));
    Rules.check(code == 0, Name + ": did not stop by itself, code " +
                               std::to_string(code));
    if (code == -1)
      Fleet.kill(Name);
  }

  void harmAll() {
    if (!Open.empty())
      return;
    for (int i = 1; i <= Fleet.fronts(); ++i)
      Fleet.kill(FrontFleet::frontName(i));
    begin("kill", AllFronts, Millis(draw(50, 800)), [this] {
      for (int i = 1; i <= Fleet.fronts(); ++i)
        Fleet.start(i, false);
    });
  }

  void checkOwnEnds() {
    for (const std::string &it : Fleet.processes())
      if (isFree(it))
        Rules.check(Fleet.isRunning(it), it + ": ended by itself");
  }

  // ---- The end ----

  void heal() {
    endFaults(true);
    for (int i = 1; i <= Fleet.fronts(); ++i) {
      std::string name = FrontFleet::frontName(i);
      int n = 0;
      bool isServing = waitUntil(HealLimit, [&] {
        std::string id = name + "-healed-" + std::to_string(n++);
        CallerAnswer stream =
            call(Fleet.callers(i), "/p/x", id, "warm", "secret-key");
        Rules.note(id, stream);
        std::string once = id + "-once";
        CallerAnswer desk =
            call(Fleet.callers(i), "/d/x", once, "", "secret-key");
        Rules.note(once, desk);
        return stream.Status == 200 && desk.Status == 200;
      });
      Rules.check(isServing, name + ": does not serve after all is healed");
    }
    bool isKept = waitUntil(
        HealLimit, [&] { return readVersion() >= Rules.acknowledged(); });
    Rules.check(isKept, "table " + std::to_string(Rules.acknowledged()) +
                            " was acknowledged and is gone");
  }

  /// Version of the table as an operator reads it, 0 when nobody tells.
  int readVersion() {
    std::string text = Fleet.readTable(1);
    size_t at = text.find("\"version\":");
    return at == std::string::npos ? 0 : std::atoi(text.c_str() + at + 10);
  }

  std::mt19937_64 Random;
  FrontFleet Fleet;
  std::vector<std::unique_ptr<SoakEndpoint>> Endpoints;
  Promises Rules;
  std::vector<OpenFault> Open;
  TimePoint StartedAt;
  TimePoint NextWipe;
  std::atomic<bool> IsOver{false};
};

} // namespace

SoakReport runSoak(uint64_t Seed, seconds Length) {
  Soak soak(Seed);
  return soak.run(Length);
}

} // namespace sassafras
