/// \file
/// Runs one daemon of any role on loopback, step by step: its settings file,
/// its start and its end.
#ifndef SASSAFRAS_TESTS_HARNESS_SINGLE_DAEMON_H
#define SASSAFRAS_TESTS_HARNESS_SINGLE_DAEMON_H

#include "tests/harness/process_fleet.h"

#include <string>
#include <sys/types.h>
#include <vector>

namespace sassafras {

class SingleDaemon {
public:
  /// \p Role as in the settings. Starts nothing.
  explicit SingleDaemon(std::string Role);
  /// Kills the process and removes the folder, unless KEEP_FLEET_FOLDER is set.
  ~SingleDaemon();
  SingleDaemon(const SingleDaemon &) = delete;
  SingleDaemon &operator=(const SingleDaemon &) = delete;

  /// Complete and valid settings.
  std::string settings() const;
  std::string settingsPath() const { return Folder + "/settings.toml"; }
  std::string dataFolder() const { return Folder + "/data"; }
  std::string folder() const { return Folder; }
  /// Writes the settings file in place.
  void writeSettings(const std::string &Text) const;
  /// Starts the process. Precondition: it does not run.
  void launch(const std::vector<std::string> &Options = {});
  /// Waits until the process has logged \p Count starts.
  bool waitForStart(std::chrono::seconds Limit, size_t Count = 1) const;
  bool isRunning() const;
  void signal(int Signal) const;
  /// Returns the exit code, -1 if the process still runs after \p Limit, or -2
  /// if a signal terminated it.
  int waitForExit(std::chrono::seconds Limit);
  /// Standard output and errors of all starts.
  std::string log() const;
  size_t countInLog(const std::string &Text) const;
  /// Addresses at which the role listens.
  std::vector<std::string> addresses() const;
  std::string addressOf(int Port) const;

private:
  std::string Role;
  std::string Folder;
  int BasePort = 0;
  pid_t Pid = 0;
};

/// Holds an address as another socket of the host does.
class HeldAddress {
public:
  enum class Kind {
    Listener,
    Connection, ///< An outgoing connection with that address as its own.
  };
  HeldAddress(const std::string &Address, Kind Use);
  ~HeldAddress() { release(); }
  HeldAddress(const HeldAddress &) = delete;
  HeldAddress &operator=(const HeldAddress &) = delete;
  /// Closes the sockets without leaving one in TIME_WAIT.
  void release();

private:
  std::vector<int> Sockets;
};

/// True if a connection to \p Address is accepted.
bool acceptsConnection(const std::string &Address);

} // namespace sassafras

#endif
