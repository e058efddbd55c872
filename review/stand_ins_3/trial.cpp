#include "trial.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

namespace trial {

namespace {

const Clock::time_point StartedAt = Clock::now();

double left(Clock::time_point End) {
  return std::chrono::duration<double>(End - Clock::now()).count();
}

Clock::time_point in(double Seconds) {
  return Clock::now() +
         std::chrono::microseconds(static_cast<int64_t>(Seconds * 1'000'000));
}

sockaddr_in toSocketAddress(const std::string &Ip, int Port) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<uint16_t>(Port));
  inet_pton(AF_INET, Ip.c_str(), &out.sin_addr);
  return out;
}

/// Reads up to the time. 0: end of the channel, -1: reset, -2: time is over.
ssize_t readSome(int File, char *Out, size_t Size, Clock::time_point End) {
  double seconds = left(End);
  pollfd it{File, POLLIN, 0};
  if (seconds <= 0 || ::poll(&it, 1, static_cast<int>(seconds * 1000) + 1) <= 0)
    return -2;
  ssize_t n = ::read(File, Out, Size);
  return n < 0 ? -1 : n;
}

bool writeAll(int File, const std::string &Bytes) {
  size_t done = 0;
  while (done < Bytes.size()) {
    ssize_t n =
        ::send(File, Bytes.data() + done, Bytes.size() - done, MSG_NOSIGNAL);
    if (n <= 0)
      return false;
    done += static_cast<size_t>(n);
  }
  return true;
}

std::string lower(std::string Text) {
  for (char &it : Text)
    it = static_cast<char>(std::tolower(static_cast<unsigned char>(it)));
  return Text;
}

} // namespace

double secondsSinceStart() {
  return std::chrono::duration<double>(Clock::now() - StartedAt).count();
}

void sleepFor(double Seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(Seconds));
}

std::string numberedAddress(const std::string &Ip, int Port) {
  return Ip + ":" + std::to_string(Port);
}

Record::Record(const std::string &Path) : Path(Path) {
  std::ofstream(Path, std::ios::trunc);
}

void Record::add(const std::string &Line) {
  std::lock_guard guard(Lock);
  char buf[32];
  std::snprintf(buf, sizeof buf, "%8.3f s  ", secondsSinceStart());
  std::ofstream(Path, std::ios::app) << buf << Line << '\n';
  std::printf("%s%s\n", buf, Line.c_str());
  std::fflush(stdout);
}

bool Process::isRunning() { return Pid > 0 && !waitForEnd(0); }

void Process::signal(int Number) {
  if (Pid > 0)
    ::kill(Pid, Number);
}

bool Process::waitForEnd(double Seconds) {
  auto end = in(Seconds);
  while (Pid > 0) {
    int status = 0;
    if (::waitpid(Pid, &status, WNOHANG) != 0) {
      Pid = 0;
      return true;
    }
    if (left(end) <= 0)
      return false;
    sleepFor(0.01);
  }
  return true;
}

void Process::kill() {
  if (Pid <= 0)
    return;
  ::kill(Pid, SIGKILL);
  ::waitpid(Pid, nullptr, 0);
  Pid = 0;
}

Process startProcess(const std::vector<std::string> &Command,
                     const std::string &LogFile) {
  std::vector<char *> arguments;
  for (const std::string &it : Command)
    arguments.push_back(const_cast<char *>(it.c_str()));
  arguments.push_back(nullptr);
  int pid = ::fork();
  if (pid == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    int log = ::open(LogFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC,
                     0600);
    ::dup2(log, 1);
    ::dup2(log, 2);
    for (int i = 3; i < 256; ++i)
      ::fcntl(i, F_SETFD, FD_CLOEXEC);
    ::execv(arguments[0], arguments.data());
    ::_exit(127);
  }
  return {pid};
}

int listenAt(const std::string &Ip, int Port) {
  int file = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;
  ::setsockopt(file, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = toSocketAddress(Ip, Port);
  if (::bind(file, reinterpret_cast<sockaddr *>(&address), sizeof address) !=
          0 ||
      ::listen(file, 128) != 0) {
    ::close(file);
    return -1;
  }
  return file;
}

int connectTo(const std::string &Address, double Timeout) {
  size_t colon = Address.rfind(':');
  sockaddr_in address = toSocketAddress(Address.substr(0, colon),
                                        std::stoi(Address.substr(colon + 1)));
  int file = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  if (::connect(file, reinterpret_cast<sockaddr *>(&address), sizeof address) !=
          0 &&
      errno != EINPROGRESS) {
    ::close(file);
    return -1;
  }
  pollfd it{file, POLLOUT, 0};
  int error = 0;
  socklen_t size = sizeof error;
  if (::poll(&it, 1, static_cast<int>(Timeout * 1000)) <= 0 ||
      ::getsockopt(file, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
      error != 0) {
    ::close(file);
    return -1;
  }
  ::fcntl(file, F_SETFL, ::fcntl(file, F_GETFL) & ~O_NONBLOCK);
  int on = 1;
  ::setsockopt(file, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return file;
}

namespace {

/// Takes the chunks that are complete from \p Raw. True at the last one.
bool takeChunks(std::string &Raw, std::string &Out) {
  for (;;) {
    size_t end = Raw.find("\r\n");
    if (end == std::string::npos)
      return false;
    size_t size = std::strtoul(Raw.c_str(), nullptr, 16);
    if (size == 0)
      return Raw.find("\r\n", end + 2) != std::string::npos;
    if (Raw.size() < end + 2 + size + 2)
      return false;
    Out += Raw.substr(end + 2, size);
    Raw.erase(0, end + 2 + size + 2);
  }
}

} // namespace

HttpAnswer callHttp(const std::string &Address, const std::string &Method,
                    const std::string &Target, const std::string &Host,
                    const HttpCallOptions &Options) {
  HttpAnswer out;
  auto end = in(Options.Timeout);
  int file = connectTo(Address, std::min(1.0, Options.Timeout));
  if (file < 0)
    return out;
  std::string text = Method + " " + Target + " HTTP/1.1\r\nHost: " + Host +
                     "\r\nConnection: close\r\n";
  for (const auto &[name, value] : Options.Fields)
    text += name + ": " + value + "\r\n";
  if (Method != "GET")
    text += "Content-Length: " + std::to_string(Options.Body.size()) + "\r\n";
  writeAll(file, text + "\r\n" + Options.Body);
  std::string raw;
  size_t headEnd = std::string::npos;
  char buf[16384];
  bool isChunked = false;
  long length = -1;
  for (;;) {
    ssize_t n = readSome(file, buf, sizeof buf, end);
    if (n > 0)
      raw.append(buf, static_cast<size_t>(n));
    if (headEnd == std::string::npos) {
      headEnd = raw.find("\r\n\r\n");
      if (headEnd != std::string::npos) {
        std::istringstream head(raw.substr(0, headEnd));
        std::string line;
        std::getline(head, line);
        out.Status = line.size() > 12 ? std::atoi(line.c_str() + 9) : 0;
        while (std::getline(head, line)) {
          size_t colon = line.find(':');
          if (colon == std::string::npos)
            continue;
          std::string value = line.substr(colon + 1);
          value.erase(0, value.find_first_not_of(' '));
          while (!value.empty() && value.back() == '\r')
            value.pop_back();
          out.Fields[lower(line.substr(0, colon))] = value;
        }
        raw.erase(0, headEnd + 4);
        isChunked = out.Fields["transfer-encoding"] == "chunked";
        if (out.Fields.count("content-length"))
          length = std::stol(out.Fields["content-length"]);
      }
    }
    if (headEnd != std::string::npos) {
      size_t before = out.Body.size();
      if (isChunked) {
        out.IsWhole = takeChunks(raw, out.Body);
      } else {
        out.Body += raw;
        raw.clear();
        out.IsWhole = length >= 0 && out.Body.size() >= size_t(length);
      }
      if (Options.OnBody && out.Body.size() > before)
        Options.OnBody(out.Body.substr(before));
      if (out.IsWhole)
        break;
    }
    if (n <= 0) {
      out.IsReset = n == -1;
      if (n == 0 && headEnd != std::string::npos && !isChunked && length < 0)
        out.IsWhole = true;
      break;
    }
  }
  ::close(file);
  return out;
}

namespace {

const char *Zones[] = {"kingston", "may-pen", "mandeville"};

void replaceAll(std::string &Text, const std::string &From,
                const std::string &To) {
  for (size_t at = Text.find(From); at != std::string::npos;
       at = Text.find(From, at + To.size()))
    Text.replace(at, From.size(), To);
}

/// Replaces a section by \p Inside.
void replaceSection(std::string &Text, const std::string &Name,
                    const std::string &Inside) {
  std::string open = "{{#" + Name + "}}";
  std::string close = "{{/" + Name + "}}";
  size_t begin = Text.find(open);
  size_t end = Text.find(close);
  if (begin != std::string::npos && end != std::string::npos)
    Text.replace(begin, end + close.size() - begin, Inside);
}

std::string readText(const std::string &Path) {
  std::ifstream file(Path);
  std::stringstream out;
  out << file.rdbuf();
  return out.str();
}

/// Memory of the fronts of the small deployment.
constexpr const char *MemoryMb = "260";

} // namespace

Fleet::Fleet(std::string Folder, int Members, int Others)
    : Members(Members), Others(Others), Folder(std::move(Folder)) {
  std::random_device source;
  for (int tries = 0; tries < 100; ++tries) {
    Net = 20 + static_cast<int>(source() % 200);
    int base = 20000 + static_cast<int>(source() % 9000);
    bool isFree = true;
    for (int k = 0; k < 4; ++k) {
      Ports[k] = base + 3 * k;
      for (int i = 0; i < count() && isFree; ++i) {
        int file = listenAt(ip(i), Ports[k]);
        isFree = file >= 0;
        if (isFree)
          ::close(file);
      }
    }
    if (isFree)
      break;
  }
  for (int i = 0; i < std::min(3, Members); ++i)
    Seeds.push_back(i);
}

Fleet::~Fleet() {
  for (auto &[index, it] : Processes)
    it.kill();
}

std::string Fleet::ip(int Index) const {
  return "127." + std::to_string(Net) + ".0." + std::to_string(Index + 1);
}
std::string Fleet::frontAddress(int Index) const {
  return numberedAddress(ip(Index), Ports[0]);
}
std::string Fleet::controlAddress(int Index) const {
  return numberedAddress(ip(Index), Ports[2]);
}

void Fleet::start(int Index, bool IsBootstrap, int Disk) {
  std::string text = readText("deploy/front.toml");
  std::string seeds;
  for (int it : Seeds)
    seeds += (seeds.empty() ? "\"" : ",\"") + controlAddress(it) + "\"";
  std::string disk;
  if (Index < Members) {
    disk =
        Folder + "/disk-" + std::to_string(Index) + "-" + std::to_string(Disk);
    ::mkdir(disk.c_str(), 0700);
  }
  replaceSection(text, "seeds", seeds);
  replaceSection(text, "bounds.cold-overshoot", "");
  replaceSection(text, "bounds.cold-slack", "");
  const std::pair<std::string, std::string> values[] = {
      {"node", "front-" + std::to_string(Index + 1)},
      {"zone", Zones[Index % 3]},
      {"ip", ip(Index)},
      {"port-range.0", std::to_string(Ports[3])},
      {"listen.front", frontAddress(Index)},
      {"listen.ready", numberedAddress(ip(Index), Ports[1])},
      {"listen.control", controlAddress(Index)},
      {"bootstrap", IsBootstrap ? "true" : "false"},
      {"data-dir", disk},
      {"bounds.retry-budget-ratio", "0.2"},
      {"bounds.budget-slack", "62"},
      {"bounds.budget-window-s", "10"},
      {"bounds.quota-window-s", "8"},
      {"bounds.quota-overshoot", "0.1"},
      {"bounds.quota-slack", "17000"},
      {"bounds.grace-s", "8"},
  };
  for (const auto &[name, value] : values)
    replaceAll(text, "{{" + name + "}}", value);
  std::string file = Folder + "/front-" + std::to_string(Index + 1) + ".toml";
  std::ofstream(file) << text;
  // The command of deploy/system.toml, with another place of the settings.
  Processes[Index] =
      startProcess({"target/main/sassafrasd", "--settings", file,
                    std::string("--memory-mb=") + MemoryMb},
                   Folder + "/front-" + std::to_string(Index + 1) + ".log");
}

void Fleet::startAll() {
  for (int i = 0; i < count(); ++i)
    start(i, true);
}

HttpAnswer Fleet::callControl(int Index, const std::string &Method,
                              const std::string &Path,
                              const std::string &Body) {
  HttpCallOptions options;
  options.Timeout = 1;
  options.Body = Body;
  if (!Body.empty())
    options.Fields = {{"Content-Type", "application/json"}};
  std::string address = controlAddress(Index);
  HttpAnswer answer;
  // The operator follows a 307 twice.
  for (int i = 0; i < 3; ++i) {
    answer = callHttp(address, Method, Path, address, options);
    if (answer.Status != 307)
      break;
    std::string to = answer.Fields["location"].substr(7);
    address = to.substr(0, to.find('/'));
  }
  return answer;
}

bool Fleet::put(const std::string &Config, const std::vector<int> &Nodes,
                double Seconds) {
  auto end = in(Seconds);
  for (size_t i = 0; left(end) > 0; ++i) {
    HttpAnswer answer =
        callControl(Nodes[i % Nodes.size()], "POST", "/Config.Put", Config);
    if (answer.Status == 200 && answer.IsWhole)
      return true;
    sleepFor(0.2);
  }
  return false;
}

uint64_t Fleet::read(int Index) {
  HttpAnswer answer = callControl(Index, "GET", "/Config.Get", "");
  if (answer.Status != 200 || !answer.IsWhole)
    return 0;
  size_t at = answer.Body.find("\"version\":");
  return at == std::string::npos
             ? 0
             : std::strtoull(answer.Body.c_str() + at + 10, nullptr, 10);
}

std::string makeConfig(uint64_t Version, const std::vector<Route> &Routes,
                       const std::vector<std::string> &Services) {
  std::ostringstream out;
  out << "{\"version\":" << Version << ",\"routes\":[";
  for (size_t i = 0; i < Routes.size(); ++i) {
    const Route &it = Routes[i];
    out << (i ? "," : "") << "{\"name\":\"" << it.Name << "\",\"host\":\""
        << Host << "\",\"path-prefix\":\"" << it.Prefix << "\",\"kind\":\""
        << it.Kind << "\",\"timeout-ms\":" << it.TimeoutMs
        << ",\"slo-ms\":" << it.ObjectiveMs << ",\"priority\":1,\"service\":\""
        << it.Service
        << "\",\"max-attempts\":2,\"anonymous\":true,\"sticky\":false,"
           "\"resumable\":"
        << (it.IsResumable ? "true" : "false") << ",\"gap-target-ms\":300}";
  }
  out << "],\"services\":[";
  for (size_t i = 0; i < Services.size(); ++i)
    out << (i ? "," : "") << "{\"name\":\"" << Services[i]
        << "\",\"health-path\":\"/health\",\"max-conns\":260,"
           "\"protocol\":\"h1\",\"tls\":false}";
  out << "],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,"
         "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},"
         "\"tenants\":[{\"name\":\"t1\",\"api-keys\":[\"k1n9q2\"],"
         "\"priority\":1,\"unit\":\"tokens\",\"plain-tokens\":200,"
         "\"rate-per-s\":83023,\"burst\":83023}]}";
  return out.str();
}

} // namespace trial
