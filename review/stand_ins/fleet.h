// Stand-ins for the platform, the operator, the engines and the callers, and
// the start of the project's own fronts. Loopback addresses and the real clock
// only. Every blocking call has a time limit.
#ifndef REVIEW_STAND_INS_FLEET_H
#define REVIEW_STAND_INS_FLEET_H

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace review {

/// Milliseconds since the start of the script.
int64_t nowMs();
void sleepMs(int64_t Ms);
/// Appends a line with the time to record.txt. Thread-safe.
void record(const std::string &Line);
/// Starts the record; \p Folder is the folder of the case.
void openRecord(const std::string &Folder);

struct Answer {
  int Status = 0;   ///< 0: the channel ended without a status line.
  std::string Head; ///< Status line and fields.
  std::string Body;
  bool IsComplete = false; ///< The body ended as its framing says.
  bool HasClosed = false;  ///< The channel ended before the answer did.
  std::string field(const std::string &Name) const;
};

/// One channel of a caller, the operator or an engine.
class Channel {
public:
  explicit Channel(const std::string &Address);
  ~Channel();
  Channel(const Channel &) = delete;
  Channel &operator=(const Channel &) = delete;
  bool isOpen() const { return Socket >= 0; }
  bool send(const std::string &Bytes);
  /// Reads one answer; gives up after \p LimitMs.
  Answer read(int64_t LimitMs);
  void close();

private:
  int Socket = -1;
  std::string Buffer;
};

Answer call(const std::string &Address, const std::string &Request,
            int64_t LimitMs);

/// A run of a request at an engine.
struct Run {
  int64_t At = 0;
  std::string Engine;
  std::string Id; ///< Attempt id.
  std::string Method;
  std::string Path;
};

/// An application server of one service. It works on each request for as long
/// as the request's path says (".../work-MS"), answers with its seal, and keeps
/// its channels.
class Engine {
public:
  Engine(std::string Id, std::string Service, std::string Ip, int Port,
         std::string Zone);
  ~Engine();
  /// Sends a ping every 1.2 s to the control addresses in turn, moving on after
  /// a failure, until the end.
  void startPings(std::vector<std::string> Controls);
  std::vector<Run> runs();

private:
  void serve(int Socket);
  std::string Id, Service, Ip, Zone;
  int Port;
  int Listener = -1;
  uint64_t Sequence = 0;
  int64_t BornMs = 0;
  std::atomic<bool> IsStopping{false};
  std::mutex Mutex;
  std::vector<Run> Runs;
  std::thread Acceptor, Pings;
};

/// The project's fronts, with the command and the template of the deploy file.
class Fleet {
public:
  /// \p Disks of the \p Fronts have a disk and are the core.
  Fleet(int Fronts, int Disks);
  ~Fleet();
  std::string address(int Host, int Offset) const;
  std::string front(int Host) const { return address(Host, 1); }
  std::string ready(int Host) const { return address(Host, 2); }
  std::string control(int Host) const { return address(Host, 3); }
  std::string ip(int Host) const;
  int enginePort() const { return BasePort + 7; }
  void start(int Host, bool IsBootstrap);
  void signal(int Host, int Signal);
  /// True while the process runs. \p How tells how it ended.
  bool isRunning(int Host, std::string *How = nullptr);
  bool isReady(int Host);
  /// Waits until all fronts are ready.
  bool waitReady(int64_t LimitMs);
  std::string log(int Host) const;
  /// Memory of the process in megabytes; 0 when it does not run.
  int64_t memoryMb(int Host);
  int frontCount() const { return Fronts; }

  /// Sends a config as the operator does: to any node, following a 307 twice,
  /// again until it is confirmed or the time is over.
  bool putConfig(const std::string &Json, int64_t LimitMs);

private:
  std::string settings(int Host, bool IsBootstrap) const;
  int Fronts, Disks;
  std::string Subnet;
  int BasePort = 0;
  std::string Folder;
  std::map<int, pid_t> Processes;
  std::map<int, std::string> Ends;
};

} // namespace review

#endif
