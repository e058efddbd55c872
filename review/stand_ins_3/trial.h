// Tools of the trials in review/11 and later: processes, HTTP and a
// model of a small deployment on loopback addresses.
#ifndef REVIEW_STAND_INS_3_TRIAL_H
#define REVIEW_STAND_INS_3_TRIAL_H

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace trial {

using Clock = std::chrono::steady_clock;

double secondsSinceStart();
void sleepFor(double Seconds);
std::string numberedAddress(const std::string &Ip, int Port);

/// Appends lines with the time to record.txt. Thread safe.
class Record {
public:
  explicit Record(const std::string &Path);
  void add(const std::string &Line);

private:
  std::mutex Lock;
  std::string Path;
};

/// A child process. It dies with its parent.
struct Process {
  int Pid = 0;
  bool isRunning();
  void signal(int Number);
  /// Waits for the end; false if it still runs after the time.
  bool waitForEnd(double Seconds);
  void kill();
};
Process startProcess(const std::vector<std::string> &Command,
                     const std::string &LogFile);

struct HttpAnswer {
  int Status = 0; ///< 0: none.
  std::map<std::string, std::string> Fields;
  std::string Body;
  bool IsWhole = false; ///< Its framing says that nothing is missing.
  bool IsReset = false;
};
struct HttpCallOptions {
  double Timeout = 5;
  std::vector<std::pair<std::string, std::string>> Fields;
  std::string Body;
  /// Bytes of the body as they arrive.
  std::function<void(const std::string &)> OnBody;
};
HttpAnswer callHttp(const std::string &Address, const std::string &Method,
                    const std::string &Target, const std::string &Host,
                    const HttpCallOptions &Options);

int listenAt(const std::string &Ip, int Port);
int connectTo(const std::string &Address, double Timeout);

/// Fronts of a small deployment, started with the command and the template of
/// the deploy file.
class Fleet {
public:
  Fleet(std::string Folder, int Members, int Others);
  ~Fleet();
  std::string ip(int Index) const;
  std::string frontAddress(int Index) const;
  std::string controlAddress(int Index) const;
  int count() const { return Members + Others; }
  /// \p Disk: number of the disk that it is started with.
  void start(int Index, bool IsBootstrap, int Disk = 1);
  void startAll();
  Process &process(int Index) { return Processes[Index]; }
  /// Sends a config as the operator does, to \p Nodes in turn. True once
  /// acknowledged.
  bool put(const std::string &Config, const std::vector<int> &Nodes,
           double Seconds);
  /// Version read at a node; 0 if it answered 5xx or not at all.
  uint64_t read(int Index);
  std::vector<int> Seeds;
  int Members;
  int Others;
  int Net = 0;
  std::string Folder;

private:
  HttpAnswer callControl(int Index, const std::string &Method,
                         const std::string &Path, const std::string &Body);
  std::map<int, Process> Processes;
  int Ports[4] = {};
};

/// A route of a config as JSON.
struct Route {
  std::string Name;
  std::string Prefix;
  std::string Kind;
  std::string Service;
  int TimeoutMs = 3000;
  int ObjectiveMs = 300;
  bool IsResumable = false;
};
std::string makeConfig(uint64_t Version, const std::vector<Route> &Routes,
                       const std::vector<std::string> &Services);

/// Entry point of the server's stand-in (engine.cpp).
int runEngine(const std::vector<std::string> &Arguments);

inline constexpr const char *Host = "h1.example";

} // namespace trial

#endif
