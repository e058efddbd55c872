/// \file
/// Stand-ins of the platform around the fronts: starts processes on loopback
/// addresses, speaks HTTP to them and records what was seen. For the cases of
/// the second review only.
#ifndef SASSAFRAS_REVIEW_STAND_INS_2_PLATFORM_H
#define SASSAFRAS_REVIEW_STAND_INS_2_PLATFORM_H

#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace review {

/// Seconds of a clock that all processes of the host share.
double now();
void sleepFor(double Seconds);

/// Appends lines to a file. Several processes may write to the same file.
/// Thread safe.
class Record {
public:
  explicit Record(std::string Path);
  void write(const std::string &Line) const;
  const std::string &path() const { return Path; }
  /// The lines that were written from byte \p Offset on, by all processes.
  /// Moves \p Offset behind them.
  std::vector<std::string> read(size_t &Offset) const;

private:
  std::string Path;
  int File = -1;
};

struct HttpHead {
  std::string StartLine;
  std::map<std::string, std::string> Fields; ///< Names are lower case.

  std::string field(const std::string &Name) const;
};

/// One connection. Not thread safe.
class Channel {
public:
  explicit Channel(int Socket) : Socket(Socket) {}
  ~Channel();
  Channel(Channel &&Other) noexcept;
  Channel(const Channel &) = delete;
  Channel &operator=(const Channel &) = delete;

  /// False when the peer has closed the connection.
  bool send(const std::string &Bytes) const;
  std::optional<HttpHead> readHead(double Deadline);
  /// Reads \p Size bytes; fewer if the connection ends before.
  std::string readExactly(size_t Size, double Deadline);
  /// Reads up to the next line end, which is removed.
  std::optional<std::string> readLine(double Deadline);
  /// True if the connection ended with a reset.
  bool wasReset() const { return IsReset; }

private:
  bool readMore(double Deadline);

  int Socket = -1;
  std::string Buffer;
  bool IsReset = false;
};

/// Listens at IP:port. Returns the socket; ends the program on failure.
int listenAt(const std::string &Address);
std::optional<Channel> connectTo(const std::string &Address, double Seconds);

struct Answer {
  int Status = 0; ///< 0: no head was received.
  HttpHead Head;
  std::string Body;
  bool IsComplete = false; ///< By the framing of its body.
};
/// Reads one answer as HTTP/1.1 frames it.
Answer readAnswer(Channel &From, double Deadline);

struct Request {
  std::string Method = "POST";
  std::string Path;
  std::vector<std::pair<std::string, std::string>> Fields;
  std::string Body;
};
std::string encode(const Request &Message, bool KeepAlive);
/// Sends a request on a new connection and reads the answer.
Answer call(const std::string &Address, const Request &Message,
            double Seconds = 3);

/// Announces an engine to the fronts in turn, as PROTOCOL.md says. Call often;
/// sends one heartbeat in each interval.
class Announcer {
public:
  Announcer(std::string Id, std::string Service, std::string Address,
            std::string Zone, std::vector<std::string> Controls);
  void announceIfDue();
  /// Sends the first heartbeat at \p At, and all others an interval apart, as
  /// an engine does that has run for long.
  void beginAt(double At);

private:
  std::string Id;
  std::string Service;
  std::string Address;
  std::string Zone;
  std::vector<std::string> Controls;
  uint64_t BornMs = 0;
  uint64_t Sequence = 0;
  double NextAt = 0;
  bool IsNew = true;
};

struct FleetSize {
  int Fronts = 3;
  int Disks = 3; ///< The first fronts have one.
};

/// Fronts of a small deployment, started with the command of the deploy file.
/// Each host has a loopback address of its own. Ends all processes that it
/// started.
class Fleet {
public:
  Fleet(FleetSize Size, const Record &Lines);
  ~Fleet();
  Fleet(const Fleet &) = delete;
  Fleet &operator=(const Fleet &) = delete;

  std::string addressOf(int Host, int Port) const;
  std::string callerAddress(int Front) const { return addressOf(Front, 1); }
  std::string controlAddress(int Front) const { return addressOf(Front, 3); }
  std::string engineAddress(int Engine) const {
    return addressOf(100 + Engine, 6);
  }
  std::vector<std::string> controlAddresses() const;
  static std::string zoneOf(int Host);
  int frontCount() const { return Size.Fronts; }
  std::string folder() const { return Folder; }

  /// Starts a program under \p Name.
  void start(const std::string &Name,
             const std::vector<std::string> &Arguments);
  /// Sends SIGKILL to a process and waits for its end.
  void kill(const std::string &Name);
  /// Stops a process (SIGSTOP), or lets it go on.
  void freeze(const std::string &Name);
  void thaw(const std::string &Name);
  /// True once a process has ended by itself.
  bool hasEnded(const std::string &Name);
  /// Starts all fronts, puts \p Config and waits until all are ready. False if
  /// that takes longer than 30 s.
  bool startFronts(const std::string &Config);

private:
  void writeSettings(int Front) const;

  FleetSize Size;
  const Record &Lines;
  std::string Folder;
  std::string Subnet;
  int BasePort = 0;
  std::map<std::string, pid_t> Processes;
};

/// Ends the program with \p Code once \p Seconds have passed.
void limitRunTime(unsigned Seconds);
/// False if the environment has TROUBLE=0.
bool hasTrouble();
/// Path of a program in the same folder as this one.
std::string siblingProgram(const std::string &Name);

/// Exit codes of a case.
inline constexpr int RuleHeld = 0;
inline constexpr int RuleBroken = 1;
inline constexpr int CouldNotRun = 2;

} // namespace review

#endif
