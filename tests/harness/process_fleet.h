/// \file
/// Starts a fleet of real processes on loopback and talks to it as callers
/// and operators do.
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

/// A caller's view of an answer.
struct CallerResponse {
  unsigned Status = 0; ///< 0 when no head came.
  std::vector<HttpField> Fields;
  std::string Body;
  bool IsComplete = false; ///< The answer ended as HTTP says it should.
};

/// What a command printed and returned.
struct ToolResult {
  int Code = -1;
  std::string Out;
  std::string Errors;
};

/// One blocking request to \p Address.
CallerResponse callHttp(const std::string &Address, const HttpRequest &Request,
                        std::chrono::seconds Limit = std::chrono::seconds(30));

/// One kind of fleet: names of its samples and zones.
struct Deployment {
  std::string Name;
  std::vector<std::string> Zones;
};
Deployment bloomline();
Deployment fixIt();

/// How an engine stand-in is started.
struct EngineOptions {
  uint64_t MemoryMb = 12000;
  bool IgnoresFences = false;
  int TokenMs = 5;
};

class ProcessFleet {
public:
  /// \p LoadTime is what the store takes for one load.
  ProcessFleet(Deployment Kind, Millis LoadTime);
  /// Kills whatever still runs and removes the folder.
  ~ProcessFleet();
  ProcessFleet(const ProcessFleet &) = delete;
  ProcessFleet &operator=(const ProcessFleet &) = delete;

  /// The whole fleet: 3 control, 2 entries, agents and stand-ins.
  void startAll(int Engines, EngineOptions Options);
  void startControl(int Number);
  void startEntry(int Number);
  void startEngine(int Number, EngineOptions Options);
  void startEngineOnly(int Number, EngineOptions Options);
  void startAgentOnly(int Number);
  void startService();
  /// Removes a control member's data folder.
  void loseDisk(int Number);
  /// Takes the folder away, to be put back later.
  void detachDisk(int Number);
  void reattachDisk(int Number);

  void signal(const std::string &Process, int Signal);
  /// Exit code of a process, or -1 when it still runs after \p Limit.
  int waitForExit(const std::string &Process, std::chrono::seconds Limit);
  void kill(const std::string &Process);
  bool isRunning(const std::string &Process);
  pid_t pidOf(const std::string &Process) const {
    return Processes.at(Process);
  }
  std::vector<std::string> running();

  std::string entryAddress(int Number) const {
    return Http.at(entryName(Number));
  }
  std::string httpAddressOf(const std::string &Process) const;
  std::string sampleTable() const;
  std::string folder() const { return Folder; }
  std::string settingsPathOf(const std::string &Process) const;
  ToolResult ctl(const std::vector<std::string> &Words);
  /// Name of the leading control process, or empty.
  std::string leader();
  /// Grants a key and returns it, or empty.
  std::string grantKey(const std::string &Tenant, const std::string &Id);
  /// Value of a metric of a process, 0 when it has none.
  double metric(const std::string &Process, const std::string &Name);
  std::string log(const std::string &Process) const;

  static std::string controlName(int Number);
  static std::string entryName(int Number);
  static std::string engineName(int Number);

private:
  std::string writeSettings(const std::string &Sample, const std::string &Node,
                            const std::string &Zone, const std::string &Inner);
  void spawn(const std::string &Process, std::vector<std::string> Words);
  /// Throws the process' own reason when it does not start.
  void startDaemon(const std::string &Process);

  Deployment Kind;
  std::string Folder;
  std::string Store;
  std::vector<std::string> ControlInner;
  std::map<std::string, std::string> Http;
  std::map<std::string, std::string> Inner;
  std::map<std::string, pid_t> Processes;
};

/// Calls \p Check until it is true; false when it is not within \p Limit.
bool waitUntil(std::chrono::seconds Limit, const std::function<bool()> &Check);

} // namespace sassafras

#endif
