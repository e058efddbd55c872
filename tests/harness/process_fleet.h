/// \file
/// Starts a fleet of processes on loopback and acts as its callers and
/// operators.
#ifndef SASSAFRAS_TESTS_HARNESS_PROCESS_FLEET_H
#define SASSAFRAS_TESTS_HARNESS_PROCESS_FLEET_H

#include "core/time.h"
#include "http/message.h"

#include <functional>
#include <map>
#include <string>
#include <sys/types.h>
#include <vector>

namespace sassafras {

/// A response as the caller received it.
struct CallerResponse {
  unsigned Status = 0; ///< 0 if no header was received.
  std::vector<HttpField> Fields;
  std::string Body;
  bool IsComplete = false; ///< The body ended as HTTP framing requires.
};

/// Output and exit code of a command.
struct ToolResult {
  int Code = -1;
  std::string Out;
  std::string Errors;
};

/// Sends a request to \p Address and blocks until the response has been read.
/// \p Limit restricts the time for reading the response.
CallerResponse callHttp(const std::string &Address, const HttpRequest &Request,
                        std::chrono::seconds Limit = std::chrono::seconds(30));

/// A sample deployment: its folder of sample settings and its zones.
struct Deployment {
  std::string Name;
  std::vector<std::string> Zones;
};
Deployment bloomline();
Deployment fixIt();

/// Options of a fake engine.
struct EngineOptions {
  uint64_t MemoryMb = 12000;
  bool IgnoresFences = false;
  int TokenMs = 5; ///< Time to generate one token.
};

/// Whether ProcessFleet::delayDisks applies to the processes.
enum class DiskKind { Normal, Slow };

class ProcessFleet {
public:
  /// Starts the fake store, which takes \p LoadTime for one load.
  ProcessFleet(Deployment Kind, Millis LoadTime,
               DiskKind Disk = DiskKind::Normal);
  /// Kills the remaining processes and removes the folder, unless
  /// KEEP_FLEET_FOLDER is set.
  ~ProcessFleet();
  ProcessFleet(const ProcessFleet &) = delete;
  ProcessFleet &operator=(const ProcessFleet &) = delete;

  /// Starts 3 control members, 2 entries, the agents and the fake endpoints.
  void startAll(int Engines, EngineOptions Options);
  void startControl(int Number);
  void startEntry(int Number);
  void startEngine(int Number, EngineOptions Options);
  void startEngineOnly(int Number, EngineOptions Options);
  void startAgentOnly(int Number);
  void startService();
  /// Deletes the data folder of a control member.
  void loseDisk(int Number);
  /// Moves the data folder of a control member aside until reattachDisk.
  void detachDisk(int Number);
  void reattachDisk(int Number);

  /// From now on each synchronous write of a process takes \p Delay longer.
  void delayDisks(Millis Delay) const;

  void signal(const std::string &Process, int Signal);
  /// Returns the exit code of a process, 128 plus the signal that terminated
  /// it, or -1 if it is unknown or still runs after \p Limit.
  int waitForExit(const std::string &Process, std::chrono::seconds Limit);
  /// Sends SIGKILL and waits up to 10 s for the process to end.
  void kill(const std::string &Process);
  bool isRunning(const std::string &Process);
  pid_t pidOf(const std::string &Process) const {
    return Processes.at(Process);
  }
  /// Names of the processes that were started and not yet waited for.
  std::vector<std::string> processes();

  std::string entryAddress(int Number) const {
    return HttpAddresses.at(entryName(Number));
  }
  std::string httpAddressOf(const std::string &Process) const;
  std::string sampleTable() const;
  std::string folder() const { return Folder; }
  std::string settingsPathOf(const std::string &Process) const;
  /// Runs the operator tool with the settings of control member 1.
  ToolResult ctl(const std::vector<std::string> &Arguments);
  /// Returns the name of the control leader; waits up to 15 s for one. Empty if
  /// there is none.
  std::string leader();
  /// Grants a key and returns it; empty on failure.
  std::string grantKey(const std::string &Organisation, const std::string &Id);
  /// Returns the value of the metric series \p Name, which includes the labels
  /// if there are any; 0 if the process does not report it within 2 s.
  double metric(const std::string &Process, const std::string &Name);
  std::string log(const std::string &Process) const;

  static std::string controlName(int Number);
  static std::string entryName(int Number);
  static std::string engineName(int Number);

private:
  std::string writeSettings(const std::string &Sample, const std::string &Node,
                            const std::string &Zone,
                            const std::string &InternalAddress);
  void spawn(const std::string &Process, std::vector<std::string> Arguments);
  /// Throws std::runtime_error with the process's log output if it exits or has
  /// not started within 10 s.
  void startDaemon(const std::string &Process);

  Deployment Kind;
  DiskKind Disk;
  std::string Folder;
  std::string StoreAddress;
  std::vector<std::string> ControlAddresses;
  std::map<std::string, std::string> HttpAddresses;
  std::map<std::string, std::string> InternalAddresses;
  std::map<std::string, pid_t> Processes;
};

/// Polls \p Check every 20 ms; returns whether it became true within \p Limit.
bool waitUntil(std::chrono::seconds Limit, const std::function<bool()> &Check);

} // namespace sassafras

#endif
