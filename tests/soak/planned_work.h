/// \file
/// Seeded operator of a soak run: stops and restarts fronts, signals changes of
/// their settings, and kills and restarts engine processes of two services and
/// two software versions, in series that overlap.
#ifndef SASSAFRAS_TESTS_SOAK_PLANNED_WORK_H
#define SASSAFRAS_TESTS_SOAK_PLANNED_WORK_H

#include "tests/harness/front_fleet.h"
#include "tests/soak/soak_records.h"

#include <functional>
#include <random>
#include <string>
#include <vector>

namespace sassafras {

class PlannedWorker {
public:
  struct Dependencies {
    FrontFleet &Fleet;
    SoakRecords &Records;
    /// Whether a front has no fault now.
    std::function<bool(const std::string &)> IsFree;
    std::function<void(const std::string &)> Log;
    std::function<void(const std::string &)> AddViolation;
  };

  /// Starts the engine processes. Methods must not be called concurrently.
  /// With \p HasFaults, disks of fronts are full for a while, and half of the
  /// fronts are killed when the engines go over to another version.
  PlannedWorker(Dependencies Parts, uint64_t Seed, bool HasFaults);

  /// Does what is due. Returns after at most the start of half of the fronts.
  void step(TimePoint Now);
  /// Whether \p Process is being stopped, or killed, by this worker.
  bool isBusy(const std::string &Process) const;
  bool hasStops() const { return !Stops.empty(); }
  /// Waits for stops that are under way and starts what is missing.
  void finish();
  /// Runs of all engine processes so far.
  std::vector<EngineRun> readRuns() const;

private:
  struct Stop {
    int Front = 0;
    TimePoint Deadline; ///< After it the process counts as stuck.
    std::vector<std::pair<TimePoint, int>> Signals;
  };
  struct Engine {
    std::string Name;
    std::string Service;
    std::string Version; ///< Of the software, once it runs.
    int Host = 0;
    bool KeepsId = false; ///< At the next start.
    TimePoint StartsAt;   ///< While the process is not running.
    bool IsRunning = false;
    int Starts = 0;
  };
  /// Rest of a settings file that is written later.
  struct HalfFile {
    int Front = 0;
    std::string Text;
    TimePoint WrittenAt;
  };

  int randomInt(int Min, int Max);
  void startEngine(size_t Index);
  void startEngineNow(size_t Index);
  void beginStop(int Front, TimePoint Now);
  void stepStops(TimePoint Now);
  void endStop(const Stop &Ended, int Code);
  void stopEarly(int Front);
  void startFront(int Front);
  void replaceHalfOfFronts();
  void signalFront(int Front, int Signal);
  void changeSettings(int Front, TimePoint Now);
  void writeHalves(TimePoint Now);
  void stepDisks(TimePoint Now);
  void stepEngines(TimePoint Now);
  void replaceEngine(size_t Index, const std::string &Version, Millis Pause);
  void replaceSomeEngine();
  void changeVersion(bool HasFrontsFirst);

  Dependencies Parts;
  std::mt19937_64 Random;
  std::vector<Stop> Stops;
  std::vector<Engine> Engines;
  std::vector<HalfFile> Halves;
  TimePoint NextWorkAt;
  TimePoint NextEngineWorkAt;
  int NextEngineWork; ///< Remainder of 3 chooses the kind.
  bool HasFaults;
  int FullDisk = 0; ///< Front whose disk is full, or 0.
  TimePoint NextDiskAt;
  int SettingsCount = 0;
};

} // namespace sassafras

#endif
