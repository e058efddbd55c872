/// \file
/// Runs fronts and engine agents as processes on loopback, with one IP address
/// for each host, and acts as their callers and operators.
#ifndef SASSAFRAS_TESTS_HARNESS_FRONT_FLEET_H
#define SASSAFRAS_TESTS_HARNESS_FRONT_FLEET_H

#include "tests/fakes/fake_platform_engine.h"
#include "tests/harness/process_fleet.h"

#include <atomic>
#include <map>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace sassafras {

/// Number of fronts, and how many of them store the table on a disk.
struct FrontFleetSize {
  int Fronts = 4;
  int Disks = 3;
  bool HasSlowDisks = false;          ///< delayDisks applies to the processes.
  std::vector<int> Seeds = {1, 2, 3}; ///< Hosts that all fronts are told.
  std::vector<int> NotStarted = {};   ///< Hosts that are started later.
};

class FrontFleet {
public:
  explicit FrontFleet(FrontFleetSize Options = {});
  /// Kills the remaining processes and removes the folder, unless
  /// KEEP_FLEET_FOLDER is set.
  ~FrontFleet();
  FrontFleet(const FrontFleet &) = delete;
  FrontFleet &operator=(const FrontFleet &) = delete;

  /// Returns the address and port of one server of a host. \p Port is an offset
  /// and means the same on all hosts: 0 internal, 1 callers, 2 readiness,
  /// 3 operators, 7 engine.
  std::string addressOf(int Host, int Port) const;
  std::string callerAddress(int Host) const { return addressOf(Host, 1); }
  std::string controlAddress(int Host) const { return addressOf(Host, 3); }
  int frontCount() const { return Size.Fronts; }
  int diskCount() const { return Size.Disks; }

  /// Starts a front. \p IsNew lets it form a new group (setting may_form).
  void start(int Host, bool IsNew);
  /// Starts a front like start, but does not wait until it runs.
  void launchFront(int Host);
  /// Starts another program; its output is the log of \p Process.
  void startProgram(const std::string &Process,
                    std::vector<std::string> Arguments);
  /// Starts an agent whose settings file is a pipe, sends it \p Signal while it
  /// reads the settings, and returns whether it starts nevertheless.
  bool startAgentWithEarlySignal(int Host, int Signal);
  /// Starts an agent and sends it \p Signals once \p Delay has passed since it
  /// blocks SIGHUP, SIGINT and SIGTERM, and no others. Returns false if it does
  /// not do so within 5 s.
  bool startAgentAndSignal(int Host, std::chrono::microseconds Delay,
                           const std::vector<int> &Signals);
  void startAgent(int Host, const std::string &Engine);
  void signal(const std::string &Process, int Signal);
  /// Makes writes beyond the first \p Bytes of any file fail, as on a full
  /// disk; without a value, ends that. Lines of the process's log get lost,
  /// too.
  void limitFileSize(const std::string &Process, std::optional<uint64_t> Bytes);
  /// Returns the exit code, -1 if the process is unknown or still runs after
  /// \p Limit, or -2 if a signal terminated it.
  int waitForExit(const std::string &Process, std::chrono::seconds Limit);
  /// Sends SIGKILL and waits up to 5 s for the process to end.
  void kill(const std::string &Process);
  /// From now on each synchronous write of a process takes \p Delay longer.
  void delayDisks(Millis Delay) const;
  /// Deletes the data folder of a front, which must not be running.
  void loseDisk(int Host);

  bool isReady(int Host) const;
  /// Puts a table at a front, following one redirect to the leader; returns the
  /// status of the response.
  unsigned putTable(int Host, const std::string &Text) const;
  /// Returns the table as operators read it, from \p Host or the leader that it
  /// redirects to; empty if the status is not 200.
  std::string readTable(int Host) const;
  bool isRunning(const std::string &Process) const;
  /// Most resident memory of the process since its start, in MB; 0 if it has
  /// ended.
  uint64_t peakMemoryMb(const std::string &Process) const;
  std::string folder() const { return Folder; }
  std::string log(const std::string &Process) const;
  std::string logPathOf(const std::string &Process) const;
  std::string settingsPathOf(const std::string &Process) const;
  /// Runs the operator tool with the settings of front 1.
  ToolResult ctl(const std::string &Arguments) const;
  /// Names of the processes that were started and not yet waited for.
  std::vector<std::string> processes() const;

  static std::string frontName(int Host);
  static std::string agentName(int Host);

private:
  std::string frontSettings(int Host, bool IsNew) const;
  std::string agentSettings(int Host, const std::string &Engine) const;
  void spawn(const std::string &Process, const std::string &Toml);
  void launch(const std::string &Process, std::vector<std::string> Arguments);
  void launchDaemon(const std::string &Process);
  bool waitForStart(const std::string &Process, size_t LogStart);

  FrontFleetSize Size;
  std::string Folder;
  std::string Subnet = "127.77.0.";
  int BasePort = 0;
  std::map<std::string, pid_t> Processes;
};

/// Returns a serving table with one service of engines with the models "warm"
/// and "cold", one organisation with the key "secret-key" and one streaming
/// route.
std::string tableText(int Version, const std::string &Prefix = "/p/",
                      uint64_t RatePerSecond = 0);

/// Sends a caller request with \p Id as its attempt id and waits for the
/// response.
CallerResponse sendCallerRequest(const std::string &Address,
                                 const std::string &Id,
                                 const std::string &Model,
                                 const std::string &Key = "secret-key",
                                 const std::string &Path = "/p/x");

/// A fleet with a table and one engine that sends heartbeats to the fronts in
/// turn, one every 300 ms.
struct ServedFleet {
  /// Waits until all fronts are ready; throws std::runtime_error if the table
  /// is not accepted within 15 s or a front is not ready within 10 s.
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
