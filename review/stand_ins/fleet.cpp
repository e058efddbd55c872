#include "fleet.h"

#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

using Steady = std::chrono::steady_clock;
const Steady::time_point Start = Steady::now();
std::mutex RecordMutex;
std::ofstream RecordFile;

bool fillAddress(const std::string &Address, sockaddr_in &Out) {
  size_t colon = Address.rfind(':');
  Out = {};
  Out.sin_family = AF_INET;
  Out.sin_port =
      htons(static_cast<uint16_t>(std::atoi(Address.c_str() + colon + 1)));
  return ::inet_pton(AF_INET, Address.substr(0, colon).c_str(),
                     &Out.sin_addr) == 1;
}

int listenAt(const std::string &Address) {
  sockaddr_in address{};
  if (!fillAddress(Address, address))
    return -1;
  int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;
  ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (::bind(socket, reinterpret_cast<sockaddr *>(&address), sizeof address) ==
          0 &&
      ::listen(socket, 256) == 0)
    return socket;
  ::close(socket);
  return -1;
}

std::string lower(std::string Text) {
  for (char &it : Text)
    it = static_cast<char>(std::tolower(static_cast<unsigned char>(it)));
  return Text;
}

std::string fieldOf(const std::string &Head, const std::string &Name) {
  std::istringstream in(Head);
  std::string line;
  while (std::getline(in, line)) {
    size_t colon = line.find(':');
    if (colon == std::string::npos || lower(line.substr(0, colon)) != Name)
      continue;
    std::string value = line.substr(colon + 1);
    while (!value.empty() && (value.back() == '\r' || value.back() == ' '))
      value.pop_back();
    value.erase(0, value.find_first_not_of(' '));
    return value;
  }
  return {};
}

void replaceAll(std::string &Text, const std::string &From,
                const std::string &To) {
  for (size_t at = Text.find(From); at != std::string::npos;
       at = Text.find(From, at + To.size()))
    Text.replace(at, From.size(), To);
}

} // namespace

int64_t nowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Steady::now() -
                                                               Start)
      .count();
}

void sleepMs(int64_t Ms) {
  if (Ms > 0)
    std::this_thread::sleep_for(std::chrono::milliseconds(Ms));
}

void openRecord(const std::string &Folder) {
  RecordFile.open(Folder + "/record.txt", std::ios::trunc);
}

void record(const std::string &Line) {
  std::lock_guard guard(RecordMutex);
  RecordFile << nowMs() << " ms  " << Line << std::endl;
}

std::string Answer::field(const std::string &Name) const {
  return fieldOf(Head, Name);
}

Channel::Channel(const std::string &Address) {
  sockaddr_in address{};
  if (!fillAddress(Address, address))
    return;
  Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;
  ::setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  timeval limit{1, 0};
  ::setsockopt(Socket, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  if (::connect(Socket, reinterpret_cast<sockaddr *>(&address),
                sizeof address) != 0)
    close();
}

Channel::~Channel() { close(); }

void Channel::close() {
  if (Socket >= 0)
    ::close(Socket);
  Socket = -1;
}

bool Channel::send(const std::string &Bytes) {
  size_t done = 0;
  while (Socket >= 0 && done < Bytes.size()) {
    ssize_t n =
        ::send(Socket, Bytes.data() + done, Bytes.size() - done, MSG_NOSIGNAL);
    if (n <= 0)
      return false;
    done += static_cast<size_t>(n);
  }
  return Socket >= 0;
}

Answer Channel::read(int64_t LimitMs) {
  Answer out;
  int64_t end = nowMs() + LimitMs;
  while (true) {
    size_t head = Buffer.find("\r\n\r\n");
    if (head != std::string::npos) {
      out.Head = Buffer.substr(0, head + 2);
      out.Status = std::atoi(Buffer.c_str() + Buffer.find(' '));
      std::string length = fieldOf(out.Head, "content-length");
      size_t n = std::strtoul(length.c_str(), nullptr, 10);
      if (!length.empty() && Buffer.size() >= head + 4 + n) {
        out.Body = Buffer.substr(head + 4, n);
        Buffer.erase(0, head + 4 + n);
        out.IsComplete = true;
        return out;
      }
    }
    int64_t left = end - nowMs();
    pollfd state{Socket, POLLIN, 0};
    if (Socket < 0 || left <= 0 ||
        ::poll(&state, 1, static_cast<int>(left)) <= 0)
      return out;
    char buf[16384];
    ssize_t n = ::recv(Socket, buf, sizeof buf, 0);
    if (n <= 0) {
      out.HasClosed = true;
      close();
      return out;
    }
    Buffer.append(buf, static_cast<size_t>(n));
  }
}

Answer call(const std::string &Address, const std::string &Request,
            int64_t LimitMs) {
  Channel channel(Address);
  channel.send(Request);
  return channel.read(LimitMs);
}

// ---- Engine ----

Engine::Engine(std::string Id, std::string Service, std::string Ip, int Port,
               std::string Zone)
    : Id(std::move(Id)), Service(std::move(Service)), Ip(std::move(Ip)),
      Zone(std::move(Zone)), Port(Port) {
  BornMs = std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
               .count();
  Listener = listenAt(this->Ip + ":" + std::to_string(Port));
  if (Listener < 0)
    throw std::runtime_error("engine cannot listen");
  Acceptor = std::thread([this] {
    while (!IsStopping) {
      pollfd state{Listener, POLLIN, 0};
      if (::poll(&state, 1, 100) <= 0)
        continue;
      int socket = ::accept4(Listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (socket >= 0)
        std::thread([this, socket] { serve(socket); }).detach();
    }
  });
}

Engine::~Engine() {
  IsStopping = true;
  if (Acceptor.joinable())
    Acceptor.join();
  if (Pings.joinable())
    Pings.join();
  sleepMs(300); // The channels' threads see the end.
  ::close(Listener);
}

void Engine::serve(int Socket) {
  std::string buffer;
  auto readMore = [&] {
    while (!IsStopping) {
      pollfd state{Socket, POLLIN, 0};
      if (::poll(&state, 1, 100) == 0)
        continue;
      char buf[16384];
      ssize_t n = ::recv(Socket, buf, sizeof buf, 0);
      if (n > 0)
        buffer.append(buf, static_cast<size_t>(n));
      return n > 0;
    }
    return false;
  };
  while (true) {
    size_t end = std::string::npos;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos)
      if (!readMore()) {
        ::close(Socket);
        return;
      }
    std::string head = buffer.substr(0, end + 2);
    size_t n =
        std::strtoul(fieldOf(head, "content-length").c_str(), nullptr, 10);
    while (buffer.size() < end + 4 + n)
      if (!readMore()) {
        ::close(Socket);
        return;
      }
    buffer.erase(0, end + 4 + n);
    std::string method = head.substr(0, head.find(' '));
    std::string path =
        head.substr(method.size() + 1,
                    head.find(' ', method.size() + 1) - method.size() - 1);
    std::string attempt = fieldOf(head, "sassafrasseam-attempt-id");
    std::string expected = fieldOf(head, "sassafrasseam-expect-instance");
    std::string answer;
    if (!expected.empty() && expected != Id) {
      answer = "HTTP/1.1 421 Misdirected\r\nSassafrasseam-Not-Executed: 1\r\n"
               "Sassafrasseam-Attempt-Id: " +
               attempt + "\r\nContent-Length: 0\r\n\r\n";
    } else {
      {
        std::lock_guard guard(Mutex);
        Runs.push_back({nowMs(), Id, attempt, method, path});
      }
      record("engine " + Id + " runs " + method + " " + path + " id " +
             attempt);
      size_t work = path.rfind("work-");
      if (work != std::string::npos)
        sleepMs(std::atoi(path.c_str() + work + 5));
      std::string body = "done " + attempt;
      answer = "HTTP/1.1 200 OK\r\nSassafrasseam-Attempt-Id: " + attempt +
               "\r\nSassafrasseam-Response-Seal: seal." + attempt +
               "\r\nContent-Length: " + std::to_string(body.size()) +
               "\r\n\r\n" + body;
    }
    if (::send(Socket, answer.data(), answer.size(), MSG_NOSIGNAL) < 0) {
      ::close(Socket);
      return;
    }
  }
}

void Engine::startPings(std::vector<std::string> Controls) {
  Pings = std::thread([this, Controls = std::move(Controls)] {
    size_t next = 0;
    while (!IsStopping) {
      std::string body =
          R"({"service":")" + Service + R"(","address":")" + Ip + ":" +
          std::to_string(Port) + R"(","zone":")" + Zone +
          R"(","version":"v1","slots":16,"state":"ready","cold-left-ms":0,)" +
          R"("born":)" + std::to_string(BornMs) + R"(,"seq":)" +
          std::to_string(++Sequence) + "}";
      for (size_t i = 0; i < Controls.size(); ++i) {
        Answer answer =
            call(Controls[next % Controls.size()],
                 "POST /Instances.Heartbeat/" + Id +
                     " HTTP/1.1\r\nHost: control\r\nContent-Type: "
                     "application/json\r\nContent-Length: " +
                     std::to_string(body.size()) + "\r\n\r\n" + body,
                 1000);
        if (answer.Status / 100 == 2)
          break;
        ++next;
      }
      for (int i = 0; i < 12 && !IsStopping; ++i)
        sleepMs(100);
    }
  });
}

std::vector<Run> Engine::runs() {
  std::lock_guard guard(Mutex);
  return Runs;
}

// ---- Fleet ----

Fleet::Fleet(int Fronts, int Disks) : Fronts(Fronts), Disks(Disks) {
  std::random_device random;
  for (int attempt = 0; attempt < 50 && BasePort == 0; ++attempt) {
    Subnet = "127." + std::to_string(64 + random() % 128) + "." +
             std::to_string(1 + random() % 250) + ".";
    int base = 20000 + static_cast<int>(random() % 1200) * 8;
    bool isFree = true;
    for (int i = 0; i < 8 && isFree; ++i) {
      int socket = listenAt(Subnet + "1:" + std::to_string(base + i));
      isFree = socket >= 0;
      if (isFree)
        ::close(socket);
    }
    if (isFree)
      BasePort = base;
  }
  const char *temporary = std::getenv("TMPDIR");
  std::string pattern =
      std::string(temporary ? temporary : "/tmp") + "/review-XXXXXX";
  if (BasePort == 0 || !::mkdtemp(pattern.data()))
    throw std::runtime_error("no free ports or no temporary folder");
  Folder = pattern;
}

Fleet::~Fleet() {
  for (auto &[host, pid] : Processes)
    if (pid > 0) {
      ::kill(pid, SIGCONT);
      ::kill(pid, SIGKILL);
      ::waitpid(pid, nullptr, 0);
    }
  std::error_code ec;
  if (!std::getenv("KEEP"))
    std::filesystem::remove_all(Folder, ec);
}

std::string Fleet::ip(int Host) const { return Subnet + std::to_string(Host); }

std::string Fleet::address(int Host, int Offset) const {
  return ip(Host) + ":" + std::to_string(BasePort + Offset);
}

/// Fills in deploy/front.toml as the platform does.
std::string Fleet::settings(int Host, bool IsBootstrap) const {
  std::ifstream in("deploy/front.toml");
  std::ostringstream text;
  text << in.rdbuf();
  std::string out = text.str();
  std::string seeds;
  for (int i = 1; i <= std::min(Fronts, 3); ++i)
    seeds += (i > 1 ? ",\"" : "\"") + control(i) + "\"";
  std::string data =
      Host <= Disks ? Folder + "/data-" + std::to_string(Host) : "";
  for (const auto &[from, to] : std::map<std::string, std::string>{
           {"{{node}}", "front-" + std::to_string(Host)},
           {"{{zone}}", "zone-" + std::to_string((Host - 1) % 3)},
           {"{{ip}}", ip(Host)},
           {"{{port-range.0}}", std::to_string(BasePort)},
           {"{{listen.front}}", front(Host)},
           {"{{listen.ready}}", ready(Host)},
           {"{{listen.control}}", control(Host)},
           {"{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}", seeds},
           {"{{bootstrap}}", IsBootstrap ? "true" : "false"},
           {"{{data-dir}}", data},
           {"{{bounds.retry-budget-ratio}}", "0.2"},
           {"{{bounds.budget-slack}}", "62"},
           {"{{bounds.budget-window-s}}", "10"},
           {"{{bounds.quota-window-s}}", "8"},
           {"{{bounds.quota-overshoot}}", "0.1"},
           {"{{bounds.quota-slack}}", "17000"},
           {"{{bounds.grace-s}}", "8"}})
    replaceAll(out, from, to);
  return out;
}

void Fleet::start(int Host, bool IsBootstrap) {
  std::string path = Folder + "/boot-" + std::to_string(Host);
  std::ofstream(path) << settings(Host, IsBootstrap);
  std::string log = Folder + "/log-" + std::to_string(Host);
  pid_t pid = ::fork();
  if (pid == 0) {
    // No front outlives the script, however that ends.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    int file = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(file, 1);
    ::dup2(file, 2);
    const char *program = "target/main/sassafrasd";
    ::execl(program, program, "--settings", path.c_str(), nullptr);
    ::_exit(127);
  }
  Processes[Host] = pid;
  Ends.erase(Host);
}

void Fleet::signal(int Host, int Signal) {
  if (Processes[Host] > 0)
    ::kill(Processes[Host], Signal);
}

bool Fleet::isRunning(int Host, std::string *How) {
  pid_t &pid = Processes[Host];
  int status = 0;
  if (pid > 0 && ::waitpid(pid, &status, WNOHANG) == pid) {
    pid = 0;
    Ends[Host] = WIFSIGNALED(status)
                     ? "signal " + std::to_string(WTERMSIG(status))
                     : "exit code " + std::to_string(WEXITSTATUS(status));
  }
  if (How)
    *How = Ends.count(Host) ? Ends[Host] : "runs";
  return pid > 0;
}

bool Fleet::isReady(int Host) {
  return call(ready(Host), "GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n", 1000)
             .Status == 200;
}

bool Fleet::waitReady(int64_t LimitMs) {
  int64_t end = nowMs() + LimitMs;
  for (int host = 1; host <= Fronts; ++host)
    while (!isReady(host)) {
      if (nowMs() > end)
        return false;
      sleepMs(100);
    }
  return true;
}

std::string Fleet::log(int Host) const {
  std::ifstream in(Folder + "/log-" + std::to_string(Host));
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}

int64_t Fleet::memoryMb(int Host) {
  if (Processes[Host] <= 0)
    return 0;
  std::ifstream in("/proc/" + std::to_string(Processes[Host]) + "/status");
  std::string line;
  while (std::getline(in, line))
    if (line.rfind("VmRSS:", 0) == 0)
      return std::atoll(line.c_str() + 6) / 1024;
  return 0;
}

bool Fleet::putConfig(const std::string &Json, int64_t LimitMs) {
  std::string tail =
      " HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n"
      "Content-Length: " +
      std::to_string(Json.size()) + "\r\n\r\n" + Json;
  int64_t end = nowMs() + LimitMs;
  for (int host = 1; nowMs() < end; host = host % Fronts + 1) {
    std::string address = control(host);
    for (int hop = 0; hop < 3; ++hop) {
      Answer answer = call(address, "POST /Config.Put" + tail, 1000);
      if (answer.Status == 200)
        return true;
      std::string location = answer.field("location");
      if (answer.Status != 307 || location.rfind("http://", 0) != 0)
        break;
      address = location.substr(7, location.find('/', 7) - 7);
    }
    sleepMs(200);
  }
  return false;
}

} // namespace review
