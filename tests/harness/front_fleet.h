/// \file
/// Fronts and engine agents as real processes on loopback, each host with an
/// address of its own, and what a caller and an operator do with them.
#ifndef SASSAFRAS_TESTS_HARNESS_FRONT_FLEET_H
#define SASSAFRAS_TESTS_HARNESS_FRONT_FLEET_H

#include "tests/fakes/fake_platform_engine.h"
#include "tests/harness/process_fleet.h"

#include <atomic>
#include <map>
#include <string>
#include <thread>
#include <vector>

namespace sassafras {

/// How many fronts there are, and how many of them keep the table on a disk.
struct FrontFleetSize {
  int Fronts = 4;
  int Disks = 3;
};

class FrontFleet {
public:
  explicit FrontFleet(FrontFleetSize Size = {});
  /// Kills whatever still runs and removes the folder.
  ~FrontFleet();
  FrontFleet(const FrontFleet &) = delete;
  FrontFleet &operator=(const FrontFleet &) = delete;

  /// Address of a host, and the port of one of its servers. Ports are the same
  /// on all hosts: 0 inner, 1 callers, 2 readiness, 3 operators, 7 an engine.
  std::string addressOf(int Host, int Port) const;
  std::string callerAddress(int Host) const { return addressOf(Host, 1); }
  std::string controlAddress(int Host) const { return addressOf(Host, 3); }
  int frontCount() const { return Size.Fronts; }
  int diskCount() const { return Size.Disks; }

  /// \p IsNew: the fleet starts for the first time.
  void start(int Host, bool IsNew);
  void startAgent(int Host, const std::string &Engine);
  void signal(const std::string &Process, int Signal);
  /// Exit code, -1 when it still runs after \p Limit, -2 when a signal ended
  /// it.
  int waitForExit(const std::string &Process, std::chrono::seconds Limit);
  void kill(const std::string &Process);
  /// Empties the data folder of a front that does not run.
  void loseDisk(int Host);

  bool isReady(int Host) const;
  /// Puts a table at a front, or at the one that it names as the leader; the
  /// answer's status.
  unsigned putTable(int Host, const std::string &Text) const;
  /// The table as operators read it, from \p Host or the leader that it
  /// names; empty when there is none to be had.
  std::string readTable(int Host) const;
  bool isRunning(const std::string &Process) const;
  std::string log(const std::string &Process) const;
  std::string logFile(const std::string &Process) const;
  std::string settingsPathOf(const std::string &Process) const;
  /// Runs the operators' tool with the settings of front 1.
  ToolResult ctl(const std::string &Words) const;
  std::vector<std::string> processes() const;

  static std::string frontName(int Host);
  static std::string agentName(int Host);

private:
  void spawn(const std::string &Process, const std::string &Toml);

  FrontFleetSize Size;
  std::string Folder;
  std::string Net = "127.77.0.";
  int Base = 0;
  std::map<std::string, pid_t> Processes;
};

/// A table of one service of engines with the models "warm" and "cold", one
/// organisation with the key "secret-key", and one streaming route.
std::string tableText(int Version, const std::string &Prefix = "/p/",
                      uint64_t RatePerSecond = 0);

/// One request of a caller with \p Id as its own.
CallerResponse sendCallerRequest(const std::string &Address,
                                 const std::string &Id,
                                 const std::string &Model,
                                 const std::string &Key = "secret-key",
                                 const std::string &Path = "/p/x");

/// A fleet with a table in force and one engine that announces itself.
struct ServedFleet {
  explicit ServedFleet(const std::string &Table = tableText(1));
  ~ServedFleet() { stopAnnouncing(); }
  ServedFleet(const ServedFleet &) = delete;
  ServedFleet &operator=(const ServedFleet &) = delete;

  void stopAnnouncing();

  FrontFleet Fleet;
  FakePlatformEngine Engine;
  std::atomic<bool> IsAnnouncing{true};
  std::thread Announcer;
};

} // namespace sassafras

#endif
