/// \file
/// Streams that callers resume at a front that did not begin them, while
/// endpoints are replaced by others that make different events. Fronts and
/// engines are real processes.
#include "front/origin_history.h"
#include "tests/harness/front_fleet.h"
#include "tests/soak/soak_caller.h"
#include "tests/soak/soak_checks.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <thread>

using namespace sassafras;
using std::chrono::seconds;

namespace {

constexpr int EnginePort = 7;
constexpr int FirstEngineHost = 70;
constexpr Millis StreamDeadline{10'000};

/// States the parameters of a model engine.
constexpr const char *EngineSpecText =
    R"("engine":{"slots":64,"weights-mb":100,"adapter-slots":2,)"
    R"("loads-per-s":5,"models":[{"name":"warm","weights-mb":30,"load-s":1,)"
    R"("disk-load-s":0.1}]},)";

/// The resumable route "/r/" leads to \p Service. "runs" has model engines
/// with \p EngineText.
std::string tableLeadingTo(const std::string &Service, int Version,
                           const std::string &EngineText = "") {
  return R"({"version":)" + std::to_string(Version) +
         R"(,"routes":[{"name":"r","host":"h.example","path-prefix":"/r/",)"
         R"("kind":"streaming","resumable":true,"timeout-ms":11000,)"
         R"("max-attempts":3,"slo-ms":1000,"service":")" +
         Service + R"("}],"services":[{"name":"runs",)" + EngineText +
         R"("health-path":"/health"},)"
         R"({"name":"others","health-path":"/health"}],"tenants":[)"
         R"({"name":"first","api-keys":["secret-key"]}]})";
}

struct EngineProcess {
  std::string Id;
  std::string Service = "runs";
  std::string Version = "v1";
  int Host = FirstEngineHost;
  /// From the start to the first announcement.
  Millis AnnouncedAfter{0};
  bool HasReport = true; ///< It answers GET /report.
  int ReportResets = 0;  ///< Connections for it that are reset at first.
};

/// Three fronts with disks, and the engines that a test starts.
class ResumeFleet {
public:
  explicit ResumeFleet(const std::string &EngineText = "") {
    REQUIRE(waitUntil(seconds(20), [&] {
      return Fleet.putTable(1, tableLeadingTo("runs", 1, EngineText)) == 200;
    }));
    for (int i = 1; i <= Fleet.frontCount(); ++i)
      waitForFront(i);
  }

  void waitForFront(int Front) {
    REQUIRE(waitUntil(seconds(10), [&] { return Fleet.isReady(Front); }));
  }

  /// Starts an engine process and waits until all fronts know it.
  void startEngine(const EngineProcess &Engine) {
    launchEngine(Engine);
    for (int i = 1; i <= Fleet.frontCount(); ++i)
      REQUIRE(waitUntil(seconds(5), [&] {
        std::string id = "known-" + std::to_string(Probes++);
        return callAt(i, id, "/r/x?n=1", std::nullopt).Status != 503 ||
               Engine.Service != "runs";
      }));
  }

  /// Starts an engine process again, and waits until it takes connections.
  void restartEngine(const EngineProcess &Engine) {
    Fleet.kill(Engine.Id);
    launchEngine(Engine);
    REQUIRE(waitUntil(seconds(5), [&] {
      SoakCaller caller;
      return caller.connect(Fleet.addressOf(Engine.Host, EnginePort));
    }));
  }

  void launchEngine(const EngineProcess &Engine) {
    std::vector<std::string> arguments{
        RUN_ENGINE_PROGRAM,
        "-i",
        Engine.Id,
        "-s",
        Engine.Service,
        "-v",
        Engine.Version,
        "-l",
        Fleet.addressOf(Engine.Host, EnginePort),
        "-j",
        Fleet.folder() + "/" + Engine.Id + ".journal",
        "-d",
        std::to_string(Engine.AnnouncedAfter.count())};
    if (!Engine.HasReport)
      arguments.emplace_back("-q");
    if (Engine.ReportResets > 0) {
      arguments.emplace_back("-r");
      arguments.push_back(std::to_string(Engine.ReportResets));
    }
    for (int i = 1; i <= Fleet.frontCount(); ++i) {
      arguments.emplace_back("-c");
      arguments.push_back(Fleet.controlAddress(i));
    }
    Fleet.startProgram(Engine.Id, std::move(arguments));
  }

  /// Restarts a front that is lost with all that it has in memory.
  void replaceFront(int Front) {
    Fleet.kill(FrontFleet::frontName(Front));
    Fleet.start(Front, false);
    waitForFront(Front);
  }

  CallerRecord callAt(int Front, const std::string &Id,
                      const std::string &Target,
                      std::optional<CallerRecord> Resumed) {
    CallerRecord out;
    out.Id = Id;
    out.StreamId = Resumed ? Resumed->StreamId : Id;
    out.Target = Target;
    out.Front = Front;
    out.IsStream = true;
    out.LastEvent = Resumed ? lastEventOf(*Resumed) : -1;
    out.Deadline = Clock::now() + StreamDeadline;
    SoakCaller caller;
    if (caller.connect(Fleet.callerAddress(Front)))
      caller.send(out, {});
    return out;
  }

  /// Begins a stream at front 1 and kills its only engine after some events.
  CallerRecord breakStream(const std::string &Engine) {
    CallerRecord out;
    std::thread caller(
        [&] { out = callAt(1, "first", "/r/x?n=60&gap=50", std::nullopt); });
    std::this_thread::sleep_for(Millis(500));
    Fleet.kill(Engine);
    caller.join();
    CHECK(out.End == CallerEnd::Broken);
    CHECK(lastEventOf(out) > 0);
    return out;
  }

  CallerRecord resumeAt(int Front, const CallerRecord &Broken) {
    return callAt(Front, "again", Broken.Target, Broken);
  }

  /// Sends enough requests to a front to let it send others again.
  void earnRetries(int Front) {
    for (int i = 0; i < 30; ++i)
      CHECK(
          callAt(Front, "early-" + std::to_string(i), "/r/x?n=1", std::nullopt)
              .Status == 200);
  }

  static int64_t lastEventOf(const CallerRecord &Record) {
    size_t at = Record.Body.rfind("id: ");
    return at == std::string::npos ? -1
                                   : std::atoll(Record.Body.c_str() + at + 4);
  }

  FrontFleet Fleet{{3, 3}};

private:
  int Probes = 0;
};

} // namespace

// A front that starts after the endpoints were replaced at their addresses
// hears of the new ones only. That it knows one version proves nothing.
TEST_CASE("front that has just started joins no run of another version") {
  ResumeFleet fleet;
  fleet.startEngine({.Id = "old"});
  CallerRecord broken = fleet.breakStream("old");
  fleet.startEngine({.Id = "new", .Version = "v2"});
  fleet.replaceFront(3);
  CallerRecord again = fleet.resumeAt(3, broken);
  INFO(fleet.Fleet.log(FrontFleet::frontName(3)));
  CHECK(again.Status != 200);
  CHECK(again.Body.find("new/v2") == std::string::npos);
  CHECK(again.End == CallerEnd::Refused);
}

// The table moves the route to another service while a stream runs.
TEST_CASE("stream is not joined to a run of the service its route moved to") {
  ResumeFleet fleet;
  fleet.startEngine({.Id = "old"});
  fleet.startEngine(
      {.Id = "moved", .Service = "others", .Host = FirstEngineHost + 1});
  CallerRecord broken = fleet.breakStream("old");
  REQUIRE(fleet.Fleet.putTable(1, tableLeadingTo("others", 2)) == 200);
  fleet.replaceFront(3);
  REQUIRE(waitUntil(seconds(5), [&] {
    return fleet.callAt(3, "probe", "/r/x?n=1", std::nullopt).Status == 200;
  }));
  CallerRecord again = fleet.resumeAt(3, broken);
  INFO(fleet.Fleet.log(FrontFleet::frontName(3)));
  CHECK(again.Status != 200);
  CHECK(again.Body.find("moved/") == std::string::npos);
  CHECK(again.End == CallerEnd::Refused);
}

// An engine starts again under its id with another version. Its announcements
// of before still hold at all fronts.
TEST_CASE("stream is not resumed at an engine that started again as another") {
  ResumeFleet fleet(EngineSpecText);
  fleet.startEngine({.Id = "twice"});
  CallerRecord broken = fleet.breakStream("twice");
  fleet.restartEngine(
      {.Id = "twice", .Version = "v2", .AnnouncedAfter = Millis(4'000)});
  for (int i : {3, 1}) {
    CallerRecord again = fleet.resumeAt(i, broken);
    INFO(fleet.Fleet.log(FrontFleet::frontName(i)));
    CHECK(again.Status != 200);
    CHECK(again.Body.find("twice/v2") == std::string::npos);
  }
}

// An engine that states its start in its announcements only.
TEST_CASE("stream is not resumed at an engine that announces another process") {
  ResumeFleet fleet;
  fleet.startEngine({.Id = "twice", .HasReport = false});
  CallerRecord broken = fleet.breakStream("twice");
  fleet.restartEngine({.Id = "twice",
                       .Version = "v2",
                       .AnnouncedAfter = Millis(100),
                       .HasReport = false});
  CallerRecord again = fleet.resumeAt(3, broken);
  INFO(fleet.Fleet.log(FrontFleet::frontName(3)));
  CHECK(again.Status != 200);
  CHECK(again.Body.find("twice/v2") == std::string::npos);
}

// Its announcement comes late, but another version is known to serve.
TEST_CASE("stream is not resumed at an engine without proof beside others") {
  ResumeFleet fleet;
  fleet.startEngine({.Id = "twice", .HasReport = false});
  CallerRecord broken = fleet.breakStream("twice");
  fleet.startEngine({.Id = "other",
                     .Version = "v2",
                     .Host = FirstEngineHost + 1,
                     .HasReport = false});
  fleet.restartEngine({.Id = "twice",
                       .Version = "v2",
                       .AnnouncedAfter = Millis(800),
                       .HasReport = false});
  CallerRecord again = fleet.resumeAt(3, broken);
  INFO(fleet.Fleet.log(FrontFleet::frontName(3)));
  CHECK(again.Status != 200);
  CHECK(again.Body.find("/v2") == std::string::npos);
}

// The same within one response: the front itself goes on with the stream.
TEST_CASE(
    "response does not go on at an engine that started again as another") {
  ResumeFleet fleet(EngineSpecText);
  fleet.startEngine({.Id = "twice"});
  fleet.earnRetries(1);
  CallerRecord first;
  std::thread caller([&] {
    first = fleet.callAt(1, "first", "/r/x?n=60&gap=50", std::nullopt);
  });
  std::this_thread::sleep_for(Millis(500));
  // The front finds out only after the new process listens.
  fleet.Fleet.signal(FrontFleet::frontName(1), SIGSTOP);
  fleet.restartEngine(
      {.Id = "twice", .Version = "v2", .AnnouncedAfter = Millis(4'000)});
  fleet.Fleet.signal(FrontFleet::frontName(1), SIGCONT);
  caller.join();
  INFO(fleet.Fleet.log(FrontFleet::frontName(1)));
  CHECK(ResumeFleet::lastEventOf(first) > 0);
  CHECK(first.Body.find("twice/v2") == std::string::npos);
  CHECK(first.End == CallerEnd::Broken);
}

// A stream that such an engine begins before its first announcement.
TEST_CASE("stream of an engine that started again keeps no earlier version") {
  ResumeFleet fleet(EngineSpecText);
  fleet.startEngine({.Id = "twice"});
  fleet.startEngine({.Id = "old", .Host = FirstEngineHost + 1});
  fleet.Fleet.kill("old");
  fleet.restartEngine(
      {.Id = "twice", .Version = "v2", .AnnouncedAfter = Millis(700)});
  CallerRecord first;
  std::thread caller([&] {
    first = fleet.callAt(1, "first", "/r/x?n=200&gap=50", std::nullopt);
  });
  std::this_thread::sleep_for(Millis(2'000));
  fleet.Fleet.kill("twice");
  fleet.launchEngine({.Id = "old", .Host = FirstEngineHost + 1});
  caller.join();
  CHECK(first.Body.find("twice/v2") != std::string::npos);
  CHECK(first.Body.find("old/v1") == std::string::npos);
  CHECK(first.End == CallerEnd::Broken);
  REQUIRE(waitUntil(seconds(5), [&] {
    return fleet.callAt(3, "probe", "/r/x?n=1", std::nullopt).Status == 200;
  }));
  CallerRecord again = fleet.resumeAt(3, first);
  INFO(fleet.Fleet.log(FrontFleet::frontName(3)));
  CHECK(again.Status != 200);
  CHECK(again.Body.find("old/v1") == std::string::npos);
}

// What has no reports and never starts again is served as before.
TEST_CASE("stream goes on at an engine without reports") {
  ResumeFleet fleet;
  fleet.startEngine({.Id = "old", .HasReport = false});
  fleet.startEngine(
      {.Id = "other", .Host = FirstEngineHost + 1, .HasReport = false});
  fleet.earnRetries(1);
  CallerRecord first =
      fleet.callAt(1, "first", "/r/x?n=60&gap=20&cut=10", std::nullopt);
  INFO(fleet.Fleet.log(FrontFleet::frontName(1)));
  CHECK(first.End == CallerEnd::Whole);
  CHECK(ResumeFleet::lastEventOf(first) == 60);
}

// A reset, as engines send above their limit of connections, was taken for the
// end of the process.
TEST_CASE("stream goes on at an engine that resets the first questions about "
          "its start") {
  ResumeFleet fleet(EngineSpecText);
  fleet.startEngine({.Id = "old", .ReportResets = 3});
  fleet.startEngine(
      {.Id = "other", .Host = FirstEngineHost + 1, .ReportResets = 3});
  fleet.earnRetries(1);
  CallerRecord first =
      fleet.callAt(1, "first", "/r/x?n=60&gap=20&cut=10", std::nullopt);
  INFO(fleet.Fleet.log(FrontFleet::frontName(1)));
  CHECK(first.End == CallerEnd::Whole);
  CHECK(ResumeFleet::lastEventOf(first) == 60);
}

// No front has a record of the stream, and one version has served throughout.
TEST_CASE("stream that nobody recorded goes on once fronts know long enough") {
  ResumeFleet fleet;
  fleet.startEngine({.Id = "old"});
  CallerRecord lost;
  lost.StreamId = "lost";
  lost.Target = "/r/x?n=6";
  lost.Body = "id: 3\n";
  CHECK(fleet.resumeAt(1, lost).End == CallerEnd::Refused);
  std::this_thread::sleep_for(StreamOriginLifetime + Millis(1'000));
  CHECK(fleet.resumeAt(1, lost).End == CallerEnd::Whole);
  // A front that has just started takes over what the others know.
  fleet.replaceFront(3);
  CallerRecord atNewFront = fleet.resumeAt(3, lost);
  INFO(fleet.Fleet.log(FrontFleet::frontName(3)));
  CHECK(atNewFront.End == CallerEnd::Whole);
  // It may have had the record of another one before it started.
  lost.StreamId = "lost with it";
  CHECK(fleet.resumeAt(1, lost).End == CallerEnd::Refused);
}
