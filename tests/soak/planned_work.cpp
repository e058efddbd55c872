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
constexpr int EngineCount = 3;
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

} // namespace

PlannedWorker::PlannedWorker(Dependencies Parts, uint64_t Seed, bool FillsDisks)
    : Parts(std::move(Parts)), Random(Seed), Engines(EngineCount),
      FillsDisks(FillsDisks) {
  for (size_t i = 0; i < Engines.size(); ++i) {
    Engines[i].Name = "run-engine-" + std::to_string(i);
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
  try {
    Parts.Fleet.start(Ended.Front, false);
  } catch (const std::runtime_error &error) {
    Parts.AddViolation(std::string("restart: ") + error.what());
    Parts.Fleet.kill(name);
    Parts.Fleet.start(Ended.Front, false);
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
  if (!FillsDisks || !isPast(NextDiskAt, Now))
    return;
  if (FullDisk != 0) {
    std::string name = FrontFleet::frontName(FullDisk);
    Parts.Fleet.limitFileSize(name, std::nullopt);
    Parts.Log("disk has room " + name);
    for (FaultSpan &it : Parts.Records.Faults)
      if (it.Target == name && it.To == TimePoint::max())
        it.To = Clock::now();
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

std::string PlannedWorker::engineAddress(size_t Index) const {
  return Parts.Fleet.addressOf(FirstEngineHost + static_cast<int>(Index),
                               EnginePort);
}

void PlannedWorker::startEngine(size_t Index) {
  Engine &engine = Engines[Index];
  std::vector<std::string> arguments{
      RUN_ENGINE_PROGRAM,
      "-i",
      engine.Name + "-" + std::to_string(++engine.Starts),
      "-s",
      "runs",
      "-l",
      engineAddress(Index),
      "-j",
      Parts.Fleet.folder() + "/" + engine.Name + ".journal"};
  for (int i = 1; i <= Parts.Fleet.frontCount(); ++i) {
    arguments.emplace_back("-c");
    arguments.push_back(Parts.Fleet.controlAddress(i));
  }
  Parts.Fleet.startProgram(engine.Name, std::move(arguments));
  engine.IsRunning = true;
}

void PlannedWorker::killEngine(TimePoint Now) {
  auto index = static_cast<size_t>(randomInt(0, EngineCount - 1));
  Engine &engine = Engines[index];
  Millis pause(randomInt(50, 1'500));
  if (!engine.IsRunning)
    return;
  Parts.Records.Faults.push_back({engine.Name, Now});
  Parts.Fleet.kill(engine.Name);
  engine.IsRunning = false;
  engine.StartsAt = Now + pause;
  Parts.Log("kill " + engine.Name + " for " + std::to_string(pause.count()) +
            " ms");
}

void PlannedWorker::stepEngines(TimePoint Now) {
  for (size_t i = 0; i < Engines.size(); ++i) {
    if (Engines[i].IsRunning || !isPast(Engines[i].StartsAt, Now))
      continue;
    startEngine(i);
    for (FaultSpan &it : Parts.Records.Faults)
      if (it.Target == Engines[i].Name && it.To == TimePoint::max())
        it.To = Clock::now();
  }
  if (!isPast(NextEngineKillAt, Now) || Now == TimePoint::max())
    return;
  // The first call only sets the time.
  if (NextEngineKillAt != TimePoint())
    killEngine(Now);
  NextEngineKillAt = Now + Millis(randomInt(400, 6'000));
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
