#include "tests/soak/planned_work.h"

#include "tests/soak/soak_checks.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <sstream>

namespace sassafras {

using std::chrono::seconds;

namespace {

constexpr int FirstEngineHost = 70;
/// Hosts of an engine, which uses one after the other.
constexpr int HostsPerEngine = 2;
constexpr int MinEngineCount = 4;
constexpr int MaxEngineCount = 6;
constexpr int OtherEngineCount = 2; ///< Of these, of the service OtherRuns.
constexpr int AnnouncementTimes[] = {200, 400, 1'200};
constexpr int EnginePort = 7;
/// Stop grace of a front plus time for a busy machine.
constexpr seconds StopTimeout{10};
/// A full disk keeps a random part of its files, up to this size.
constexpr int MaxRoomBytes = 60'000;

std::string readText(const std::string &Path) {
  std::ifstream in(Path);
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}

void endFaultOf(SoakRecords &Records, const std::string &Target) {
  for (FaultSpan &it : Records.Faults)
    if (it.Target == Target && it.To == TimePoint::max())
      it.To = Clock::now();
}

std::string otherVersion(const std::string &Version) {
  return Version == "v1" ? "v2" : "v1";
}

} // namespace

PlannedWorker::PlannedWorker(Dependencies Parts, uint64_t Seed, bool HasFaults)
    : Parts(std::move(Parts)), Random(Seed),
      NextEngineWork(static_cast<int>(Seed % 3)), HasFaults(HasFaults) {
  Engines.resize(
      static_cast<size_t>(randomInt(MinEngineCount, MaxEngineCount)));
  for (size_t i = 0; i < Engines.size(); ++i) {
    Engines[i].Name = "run-engine-" + std::to_string(i);
    Engines[i].Service = i < OtherEngineCount ? OtherRuns : "runs";
    Engines[i].Version = randomInt(0, 1) ? "v1" : "v2";
    Engines[i].Host = FirstEngineHost + static_cast<int>(i) * HostsPerEngine;
    startEngine(i);
  }
}

int PlannedWorker::randomInt(int Min, int Max) {
  return std::uniform_int_distribution<int>(Min, Max)(Random);
}

bool PlannedWorker::isBusy(const std::string &Process) const {
  for (const Stop &it : Stops)
    if (FrontFleet::frontName(it.Front) == Process)
      return true;
  return std::any_of(Engines.begin(), Engines.end(), [&](const Engine &it) {
    return it.Name == Process && !it.IsRunning;
  });
}

void PlannedWorker::step(TimePoint Now) {
  writeHalves(Now);
  stepEngines(Now);
  stepDisks(Now);
  stepStops(Now);
  if (!isPast(NextWorkAt, Now))
    return;
  // Works come in series.
  NextWorkAt = Now + Millis(randomInt(0, 2) == 0 ? randomInt(300, 1'500)
                                                 : randomInt(0, 120));
  int front = randomInt(1, Parts.Fleet.frontCount());
  std::string name = FrontFleet::frontName(front);
  if (!Parts.IsFree(name) || isBusy(name))
    return;
  bool mayStop = static_cast<int>(Stops.size()) < Parts.Fleet.frontCount() / 2;
  if (mayStop && randomInt(0, 3) == 0)
    beginStop(front, Now);
  else if (randomInt(0, 2) == 0)
    signalFront(front, SIGHUP);
  else
    changeSettings(front, Now);
}

// ---- Stops ----

void PlannedWorker::signalFront(int Front, int Signal) {
  std::string name = FrontFleet::frontName(Front);
  Parts.Records.Works.push_back({Front, Signal, Clock::now()});
  Parts.Log("signal " + std::to_string(Signal) + " " + name);
  Parts.Fleet.signal(name, Signal);
}

void PlannedWorker::beginStop(int Front, TimePoint Now) {
  signalFront(Front, SIGTERM);
  Stop stop{Front, Now + StopTimeout, {}};
  for (int i = randomInt(0, 3); i > 0; --i)
    stop.Signals.emplace_back(Now + Millis(randomInt(1, 5'000)),
                              randomInt(0, 1) ? SIGTERM : SIGHUP);
  Stops.push_back(std::move(stop));
}

void PlannedWorker::stepStops(TimePoint Now) {
  for (size_t i = 0; i < Stops.size();) {
    Stop &stop = Stops[i];
    std::string name = FrontFleet::frontName(stop.Front);
    std::erase_if(stop.Signals, [&](const auto &it) {
      if (!isPast(it.first, Now))
        return false;
      Parts.Log("signal " + std::to_string(it.second) + " again " + name);
      Parts.Fleet.signal(name, it.second);
      return true;
    });
    bool isEnded = !Parts.Fleet.isRunning(name);
    if (!isEnded && !isPast(stop.Deadline, Now)) {
      ++i;
      continue;
    }
    Stop ended = std::move(stop);
    Stops.erase(Stops.begin() + static_cast<std::ptrdiff_t>(i));
    endStop(ended, isEnded ? Parts.Fleet.waitForExit(name, seconds(1)) : -1);
  }
}

void PlannedWorker::endStop(const Stop &Ended, int Code) {
  std::string name = FrontFleet::frontName(Ended.Front);
  Parts.Log("ended " + name + " code " + std::to_string(Code));
  if (Code != 0)
    Parts.AddViolation(name +
                       ": did not exit with code 0 after SIGTERM, code " +
                       std::to_string(Code));
  if (Code == -1)
    Parts.Fleet.kill(name);
  for (int i = randomInt(0, 5); i > 4; --i)
    stopEarly(Ended.Front);
  startFront(Ended.Front);
}

void PlannedWorker::startFront(int Front) {
  try {
    Parts.Fleet.start(Front, false);
  } catch (const std::runtime_error &error) {
    Parts.AddViolation(std::string("restart: ") + error.what());
    Parts.Fleet.kill(FrontFleet::frontName(Front));
    Parts.Fleet.start(Front, false);
  }
}

/// Kills half of the fronts, or those of them that have no fault, and starts
/// them at once.
void PlannedWorker::replaceHalfOfFronts() {
  int count = Parts.Fleet.frontCount();
  int first = randomInt(1, count);
  std::vector<int> killed;
  for (int i = 0; i < count / 2; ++i) {
    int front = 1 + (first + i) % count;
    std::string name = FrontFleet::frontName(front);
    if (!Parts.IsFree(name) || isBusy(name))
      continue;
    Parts.Records.Faults.push_back({name, Clock::now()});
    Parts.Fleet.kill(name);
    Parts.Log("kill " + name + " and start it again");
    killed.push_back(front);
  }
  for (int it : killed) {
    startFront(it);
    endFaultOf(Parts.Records, FrontFleet::frontName(it));
  }
}

/// Starts a front and stops it at once, at any point of its start.
void PlannedWorker::stopEarly(int Front) {
  std::string name = FrontFleet::frontName(Front);
  Millis delay(randomInt(0, 250));
  Parts.Fleet.launchFront(Front);
  std::this_thread::sleep_for(delay);
  signalFront(Front, SIGTERM);
  int code = Parts.Fleet.waitForExit(name, StopTimeout);
  if (code != 0)
    Parts.AddViolation(name + ": SIGTERM " + std::to_string(delay.count()) +
                       " ms after its start: code " + std::to_string(code));
  if (code == -1)
    Parts.Fleet.kill(name);
}

void PlannedWorker::finish() {
  while (hasStops()) {
    stepStops(Clock::now());
    std::this_thread::sleep_for(Millis(20));
  }
  writeHalves(TimePoint::max());
  stepDisks(TimePoint::max());
  stepEngines(TimePoint::max());
}

// ---- Settings ----

void PlannedWorker::changeSettings(int Front, TimePoint Now) {
  bool isHalf =
      std::any_of(Halves.begin(), Halves.end(),
                  [&](const HalfFile &it) { return it.Front == Front; });
  if (isHalf)
    return;
  std::string path = Parts.Fleet.settingsPathOf(FrontFleet::frontName(Front));
  std::string text = readText(path);
  int kind = randomInt(0, 3);
  if (kind > 0) {
    size_t old = text.find("retry_slack");
    if (old != std::string::npos)
      text.erase(old);
    text += "retry_slack = " + std::to_string(60 + ++SettingsCount % 7) + "\n";
  }
  size_t written = text.size();
  if (kind == 2)
    written = static_cast<size_t>(randomInt(0, static_cast<int>(written)));
  std::ofstream(path, std::ios::trunc) << text.substr(0, written);
  if (kind == 2)
    Halves.push_back({Front, text, Now + Millis(randomInt(50, 1'200))});
  Parts.Log("settings of front-" + std::to_string(Front) + " written, kind " +
            std::to_string(kind));
  // A file may also change without a signal.
  if (kind != 3)
    signalFront(Front, SIGHUP);
}

void PlannedWorker::writeHalves(TimePoint Now) {
  std::erase_if(Halves, [&](const HalfFile &it) {
    if (!isPast(it.WrittenAt, Now))
      return false;
    std::string name = FrontFleet::frontName(it.Front);
    std::ofstream(Parts.Fleet.settingsPathOf(name), std::ios::trunc) << it.Text;
    if (!isBusy(name))
      signalFront(it.Front, SIGHUP);
    return true;
  });
}

// ---- Disks ----

void PlannedWorker::stepDisks(TimePoint Now) {
  if (!HasFaults || !isPast(NextDiskAt, Now))
    return;
  if (FullDisk != 0) {
    std::string name = FrontFleet::frontName(FullDisk);
    Parts.Fleet.limitFileSize(name, std::nullopt);
    Parts.Log("disk has room " + name);
    endFaultOf(Parts.Records, name);
    FullDisk = 0;
    NextDiskAt = Clock::now() + Millis(randomInt(500, 4'000));
    return;
  }
  bool isFirst = NextDiskAt == TimePoint();
  NextDiskAt = Now + Millis(randomInt(200, 2'500));
  int front = randomInt(1, Parts.Fleet.diskCount());
  auto room = static_cast<uint64_t>(randomInt(0, MaxRoomBytes));
  std::string name = FrontFleet::frontName(front);
  if (isFirst || Now == TimePoint::max() || !Parts.IsFree(name))
    return;
  FullDisk = front;
  Parts.Records.Faults.push_back({name, Clock::now()});
  Parts.Fleet.limitFileSize(name, room);
  Parts.Log("full disk " + name + " from " + std::to_string(room) + " bytes");
}

// ---- Engines ----

void PlannedWorker::startEngine(size_t Index) {
  Engine &engine = Engines[Index];
  if (!engine.KeepsId)
    ++engine.Starts;
  std::string id = engine.Service + "-" + std::to_string(Index) + "-" +
                   std::to_string(engine.Starts);
  std::string interval = std::to_string(AnnouncementTimes[randomInt(0, 2)]);
  std::vector<std::string> arguments{
      RUN_ENGINE_PROGRAM,
      "-i",
      id,
      "-s",
      engine.Service,
      "-v",
      engine.Version,
      "-a",
      interval,
      "-l",
      Parts.Fleet.addressOf(engine.Host, EnginePort),
      "-j",
      Parts.Fleet.folder() + "/" + engine.Name + ".journal"};
  for (int i = 1; i <= Parts.Fleet.frontCount(); ++i) {
    arguments.emplace_back("-c");
    arguments.push_back(Parts.Fleet.controlAddress(i));
  }
  Parts.Fleet.startProgram(engine.Name, std::move(arguments));
  engine.IsRunning = true;
  Parts.Log("start " + engine.Name + " as " + id + " " + engine.Version +
            (engine.KeepsId ? " again" : "") + ", announced every " + interval +
            " ms");
}

/// Kills an engine. Its next process has \p Version.
void PlannedWorker::replaceEngine(size_t Index, const std::string &Version,
                                  Millis Pause) {
  Engine &engine = Engines[Index];
  engine.KeepsId = randomInt(0, 1) == 0;
  engine.Version = Version;
  bool changesHost = !engine.KeepsId && randomInt(0, 2) == 0;
  if (!engine.IsRunning)
    return;
  if (changesHost)
    engine.Host = FirstEngineHost + static_cast<int>(Index) * HostsPerEngine +
                  randomInt(0, HostsPerEngine - 1);
  Parts.Records.Faults.push_back({engine.Name, Clock::now()});
  Parts.Fleet.kill(engine.Name);
  engine.IsRunning = false;
  engine.StartsAt = Clock::now() + Pause;
  Parts.Log("kill " + engine.Name + " for " + std::to_string(Pause.count()) +
            " ms");
}

void PlannedWorker::replaceSomeEngine() {
  auto index =
      static_cast<size_t>(randomInt(0, static_cast<int>(Engines.size()) - 1));
  const std::string &version = Engines[index].Version;
  replaceEngine(index, randomInt(0, 1) ? version : otherVersion(version),
                Millis(randomInt(50, 1'500)));
}

/// All engines go over to one version. Half of the fronts start anew before
/// them or right behind them.
void PlannedWorker::changeVersion(bool HasFrontsFirst) {
  std::string version = otherVersion(Engines.back().Version);
  Parts.Log("all engines go over to " + version +
            (HasFrontsFirst ? " after the fronts" : ""));
  if (HasFaults && HasFrontsFirst)
    replaceHalfOfFronts();
  for (size_t i = 0; i < Engines.size(); ++i) {
    replaceEngine(i, version, Millis(0));
    if (!Engines[i].IsRunning)
      startEngineNow(i);
  }
  if (HasFaults && !HasFrontsFirst)
    replaceHalfOfFronts();
}

void PlannedWorker::startEngineNow(size_t Index) {
  startEngine(Index);
  endFaultOf(Parts.Records, Engines[Index].Name);
}

void PlannedWorker::stepEngines(TimePoint Now) {
  for (size_t i = 0; i < Engines.size(); ++i)
    if (!Engines[i].IsRunning && isPast(Engines[i].StartsAt, Now))
      startEngineNow(i);
  if (!isPast(NextEngineWorkAt, Now) || Now == TimePoint::max())
    return;
  // The first call only sets the time.
  if (NextEngineWorkAt != TimePoint()) {
    if (NextEngineWork % 3 == 0)
      replaceSomeEngine();
    else
      changeVersion(NextEngineWork % 3 == 1);
    NextEngineWork = std::max(0, randomInt(-2, 2));
  }
  NextEngineWorkAt = Clock::now() + Millis(randomInt(400, 4'000));
}

std::vector<EngineRun> PlannedWorker::readRuns() const {
  std::vector<EngineRun> out;
  for (const Engine &it : Engines)
    for (EngineRun &run : readEngineJournal(
             Parts.Fleet.folder() + "/" + it.Name + ".journal", it.Name))
      out.push_back(std::move(run));
  return out;
}

} // namespace sassafras
