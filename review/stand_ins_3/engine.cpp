// Stand-in of a server: announces itself every 1.2 s, answers health checks and
// runs requests. Its answers have neither a length nor chunks and end with
// their channel.
#include "trial.h"

#include <condition_variable>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>
#include <sys/socket.h>
#include <unistd.h>

namespace trial {

namespace {

struct EngineOptions {
  std::string Id, Service, Zone, Address, RunLog;
  std::vector<std::string> Controls;
  int Pieces = 5;
  int GapMs = 50;
  int Slots = 0; ///< 0: no limit.
  int FirstPingMs = 0;
  std::string Version = "v1";
  bool IsStream = false;
};

/// The slots of a server. Whoever comes first gets the next one, health checks
/// included.
class Slots {
public:
  void take(int Count) {
    std::unique_lock guard(Lock);
    uint64_t ticket = Last++;
    ++Waiting;
    Changed.wait(guard, [&] { return ticket == Next && Running < Count; });
    --Waiting;
    ++Running;
    ++Next;
    Changed.notify_all();
  }
  void give() {
    std::lock_guard guard(Lock);
    --Running;
    Changed.notify_all();
  }
  std::string describe(int Count) {
    std::lock_guard guard(Lock);
    return std::to_string(Running) + "," + std::to_string(Waiting) + "," +
           std::to_string(Count);
  }

private:
  std::mutex Lock;
  std::condition_variable Changed;
  uint64_t Last = 0;
  uint64_t Next = 0;
  int Running = 0;
  int Waiting = 0;
};

Slots TheSlots;

/// A slot for as long as it lives, if the server has a limit.
struct Slot {
  explicit Slot(int Count) : Count(Count) {
    if (Count > 0)
      TheSlots.take(Count);
  }
  ~Slot() {
    if (Count > 0)
      TheSlots.give();
  }
  int Count;
};

std::vector<std::string> splitAtCommas(const std::string &Text) {
  std::vector<std::string> out;
  std::stringstream in(Text);
  for (std::string it; std::getline(in, it, ',');)
    out.push_back(it);
  return out;
}

void announce(const EngineOptions &Options) {
  auto born = std::chrono::duration_cast<std::chrono::milliseconds>(
                  std::chrono::system_clock::now().time_since_epoch())
                  .count();
  std::mt19937 random(std::random_device{}());
  sleepFor(Options.FirstPingMs / 1000.0);
  for (int seq = 1;; ++seq) {
    std::string body =
        "{\"service\":\"" + Options.Service + "\",\"address\":\"" +
        Options.Address + "\",\"zone\":\"" + Options.Zone +
        "\",\"version\":\"" + Options.Version + "\",\"slots\":" +
        std::to_string(Options.Slots > 0 ? Options.Slots : 32) +
        ",\"state\":\"ready\","
        "\"cold-left-ms\":0,\"seq\":" +
        std::to_string(seq) + ",\"born\":" + std::to_string(born) + "}";
    size_t first = random();
    for (size_t i = 0; i < Options.Controls.size(); ++i) {
      HttpCallOptions call;
      call.Timeout = 1;
      call.Body = body;
      call.Fields = {{"Content-Type", "application/json"}};
      const std::string &to =
          Options.Controls[(first + i) % Options.Controls.size()];
      int status =
          callHttp(to, "POST", "/Instances.Heartbeat/" + Options.Id, to, call)
              .Status;
      if (status >= 200 && status < 300)
        break;
    }
    sleepFor(1.2);
  }
}

bool sendAll(int File, const std::string &Bytes) {
  return ::send(File, Bytes.data(), Bytes.size(), MSG_NOSIGNAL) ==
         static_cast<ssize_t>(Bytes.size());
}

std::string fieldOf(const std::string &Head, const std::string &Name) {
  std::istringstream in(Head);
  for (std::string line; std::getline(in, line);) {
    size_t colon = line.find(':');
    if (colon == std::string::npos)
      continue;
    std::string name = line.substr(0, colon);
    for (char &it : name)
      it = static_cast<char>(std::tolower(static_cast<unsigned char>(it)));
    if (name != Name)
      continue;
    std::string value = line.substr(colon + 1);
    value.erase(0, value.find_first_not_of(' '));
    while (!value.empty() && value.back() == '\r')
      value.pop_back();
    return value;
  }
  return {};
}

void logRun(const EngineOptions &Options, const std::string &Line) {
  std::ofstream(Options.RunLog, std::ios::app)
      << Options.Id + " " + Line + "\n";
}

void serve(const EngineOptions &Options, int File) {
  std::string raw;
  for (;;) {
    size_t end = raw.find("\r\n\r\n");
    if (end == std::string::npos) {
      char buf[8192];
      ssize_t n = ::read(File, buf, sizeof buf);
      if (n <= 0)
        break;
      raw.append(buf, static_cast<size_t>(n));
      continue;
    }
    std::string head = raw.substr(0, end);
    raw.erase(0, end + 4);
    size_t length =
        std::strtoul(fieldOf(head, "content-length").c_str(), nullptr, 10);
    bool isOpen = true;
    while (raw.size() < length && isOpen) {
      char buf[8192];
      ssize_t n = ::read(File, buf, sizeof buf);
      isOpen = n > 0;
      if (isOpen)
        raw.append(buf, static_cast<size_t>(n));
    }
    if (!isOpen)
      break;
    raw.erase(0, length);
    std::string id = fieldOf(head, "sassafrasseam-attempt-id");
    std::string expected = fieldOf(head, "sassafrasseam-expect-instance");
    std::string echo = "Sassafrasseam-Attempt-Id: " + id + "\r\n";
    if (!expected.empty() && expected != Options.Id) {
      if (!sendAll(File, "HTTP/1.1 421 Misdirected\r\n" + echo +
                             "Sassafrasseam-Not-Executed: 1\r\n"
                             "Content-Length: 0\r\n\r\n"))
        break;
      continue;
    }
    Slot slot(Options.Slots);
    std::string load =
        Options.Slots > 0
            ? "Sassafrasseam-Server-Load: " + TheSlots.describe(Options.Slots) +
                  "\r\n"
            : "";
    if (head.rfind("GET /health", 0) == 0) {
      if (!sendAll(File, "HTTP/1.1 200 OK\r\nSassafrasseam-Instance-Id: " +
                             Options.Id + "\r\nContent-Length: 0\r\n\r\n"))
        break;
      continue;
    }
    logRun(Options, "runs " + id);
    std::string type = Options.IsStream ? "text/event-stream" : "text/plain";
    bool isWritten = sendAll(File, "HTTP/1.1 200 OK\r\n" + echo +
                                       "Sassafrasseam-Response-Seal: s." + id +
                                       "\r\n" + load + "Content-Type: " + type +
                                       "\r\nConnection: close\r\n\r\n");
    // A short request, whatever the length of the others.
    constexpr int ShortPieces = 2;
    int pieces =
        head.find("/short") < head.find("\r\n") ? ShortPieces : Options.Pieces;
    int first = 1 + std::atoi(fieldOf(head, "last-event-id").c_str());
    int last = 0;
    for (int i = Options.IsStream ? first : 1; isWritten && i <= pieces; ++i) {
      sleepFor(Options.GapMs / 1000.0);
      std::string number = std::to_string(i);
      std::string text = "piece " + number + " of " +
                         std::to_string(Options.Pieces) +
                         (Options.IsStream ? " by " + Options.Version : "");
      isWritten = sendAll(
          File, Options.IsStream ? "id: " + number + "\ndata: " + text + "\n\n"
                                 : text + "\n");
      last = i;
    }
    logRun(Options, "ends " + id + " at piece " + std::to_string(last));
    break;
  }
  ::close(File);
}

} // namespace

int runEngine(const std::vector<std::string> &Arguments) {
  EngineOptions options;
  for (const std::string &it : Arguments) {
    std::string name = it.substr(0, it.find('='));
    std::string value = it.substr(it.find('=') + 1);
    if (name == "id")
      options.Id = value;
    else if (name == "service")
      options.Service = value;
    else if (name == "zone")
      options.Zone = value;
    else if (name == "address")
      options.Address = value;
    else if (name == "controls")
      options.Controls = splitAtCommas(value);
    else if (name == "log")
      options.RunLog = value;
    else if (name == "pieces")
      options.Pieces = std::atoi(value.c_str());
    else if (name == "gap-ms")
      options.GapMs = std::atoi(value.c_str());
    else if (name == "version")
      options.Version = value;
    else if (name == "first-ping-ms")
      options.FirstPingMs = std::atoi(value.c_str());
    else if (name == "slots")
      options.Slots = std::atoi(value.c_str());
    else if (name == "stream")
      options.IsStream = value == "1";
  }
  ::signal(SIGPIPE, SIG_IGN);
  size_t colon = options.Address.rfind(':');
  int listener = listenAt(options.Address.substr(0, colon),
                          std::atoi(options.Address.c_str() + colon + 1));
  if (listener < 0) {
    std::cerr << "cannot listen at " << options.Address << std::endl;
    return 2;
  }
  std::thread([options] { announce(options); }).detach();
  for (;;) {
    int file = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (file >= 0)
      std::thread([options, file] { serve(options, file); }).detach();
  }
}

} // namespace trial
