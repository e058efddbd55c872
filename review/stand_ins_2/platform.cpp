#include "review/stand_ins_2/platform.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <cstdio>
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
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

namespace review {

namespace files = std::filesystem;

namespace {

/// Interval of an engine's heartbeats, in seconds (setting heartbeat-ms).
constexpr double HeartbeatInterval = 1.2;
/// Of a new engine, so that all fronts know it soon.
constexpr double FirstInterval = 0.2;
constexpr uint64_t FirstHeartbeats = 4;
/// Memory of a front, in MB, as of the sheet of fixit-ja.
constexpr const char *MemoryMb = "260";

sockaddr_in parseAddress(const std::string &Address) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  size_t colon = Address.rfind(':');
  inet_pton(AF_INET, Address.substr(0, colon).c_str(), &out.sin_addr);
  out.sin_port =
      htons(static_cast<uint16_t>(std::stoi(Address.substr(colon + 1))));
  return out;
}

bool isFree(const std::string &Address) {
  int file = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;
  ::setsockopt(file, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = parseAddress(Address);
  bool out =
      ::bind(file, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0;
  ::close(file);
  return out;
}

std::string quoteList(const std::vector<std::string> &Values) {
  std::string out;
  for (const std::string &it : Values)
    out += (out.empty() ? "\"" : ", \"") + it + "\"";
  return "[" + out + "]";
}

} // namespace

double now() {
  timespec reading{};
  ::clock_gettime(CLOCK_MONOTONIC, &reading);
  return static_cast<double>(reading.tv_sec) +
         static_cast<double>(reading.tv_nsec) / 1e9;
}

void sleepFor(double Seconds) {
  if (Seconds > 0)
    ::usleep(static_cast<useconds_t>(Seconds * 1e6));
}

Record::Record(std::string Path) : Path(std::move(Path)) {
  File = ::open(this->Path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC,
                0644);
}

void Record::write(const std::string &Line) const {
  char time[32];
  std::snprintf(time, sizeof time, "%.3f ", now());
  std::string text = time + Line + "\n";
  if (::write(File, text.data(), text.size()) < 0)
    std::perror("record");
}

std::vector<std::string> Record::read(size_t &Offset) const {
  std::ifstream in(Path);
  in.seekg(static_cast<std::streamoff>(Offset));
  std::vector<std::string> out;
  for (std::string line; std::getline(in, line) && !in.eof();) {
    Offset += line.size() + 1;
    out.push_back(line);
  }
  return out;
}

std::string HttpHead::field(const std::string &Name) const {
  auto it = Fields.find(Name);
  return it == Fields.end() ? std::string() : it->second;
}

Channel::~Channel() {
  if (Socket >= 0)
    ::close(Socket);
}

Channel::Channel(Channel &&Other) noexcept
    : Socket(Other.Socket), Buffer(std::move(Other.Buffer)),
      IsReset(Other.IsReset) {
  Other.Socket = -1;
}

bool Channel::send(const std::string &Bytes) const {
  size_t done = 0;
  while (done < Bytes.size()) {
    ssize_t n =
        ::send(Socket, Bytes.data() + done, Bytes.size() - done, MSG_NOSIGNAL);
    if (n <= 0)
      return false;
    done += static_cast<size_t>(n);
  }
  return true;
}

bool Channel::readMore(double Deadline) {
  int left = static_cast<int>((Deadline - now()) * 1000);
  pollfd state{Socket, POLLIN, 0};
  if (left <= 0 || ::poll(&state, 1, left) <= 0)
    return false;
  char buf[16 * 1024];
  ssize_t n = ::recv(Socket, buf, sizeof buf, 0);
  IsReset = IsReset || (n < 0 && errno == ECONNRESET);
  if (n <= 0)
    return false;
  Buffer.append(buf, static_cast<size_t>(n));
  return true;
}

std::optional<std::string> Channel::readLine(double Deadline) {
  size_t end = 0;
  while ((end = Buffer.find("\r\n")) == std::string::npos)
    if (!readMore(Deadline))
      return std::nullopt;
  std::string out = Buffer.substr(0, end);
  Buffer.erase(0, end + 2);
  return out;
}

std::optional<HttpHead> Channel::readHead(double Deadline) {
  HttpHead out;
  auto line = readLine(Deadline);
  if (!line)
    return std::nullopt;
  out.StartLine = *line;
  while ((line = readLine(Deadline)) && !line->empty()) {
    size_t colon = std::min(line->find(':'), line->size() - 1);
    std::string name = line->substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(), ::tolower);
    size_t value = line->find_first_not_of(" \t", colon + 1);
    out.Fields[name] =
        value == std::string::npos ? std::string() : line->substr(value);
  }
  return line ? std::optional(out) : std::nullopt;
}

std::string Channel::readExactly(size_t Size, double Deadline) {
  while (Buffer.size() < Size && readMore(Deadline))
    ;
  std::string out = Buffer.substr(0, Size);
  Buffer.erase(0, out.size());
  return out;
}

int listenAt(const std::string &Address) {
  int file = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;
  ::setsockopt(file, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = parseAddress(Address);
  if (::bind(file, reinterpret_cast<sockaddr *>(&address), sizeof address) !=
          0 ||
      ::listen(file, 256) != 0) {
    std::perror(Address.c_str());
    std::_Exit(CouldNotRun);
  }
  return file;
}

std::optional<Channel> connectTo(const std::string &Address, double Seconds) {
  int file = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  sockaddr_in address = parseAddress(Address);
  int state =
      ::connect(file, reinterpret_cast<sockaddr *>(&address), sizeof address);
  int error = 0;
  socklen_t size = sizeof error;
  pollfd poll{file, POLLOUT, 0};
  bool isOpen = state == 0 ||
                (errno == EINPROGRESS &&
                 ::poll(&poll, 1, static_cast<int>(Seconds * 1000)) > 0 &&
                 ::getsockopt(file, SOL_SOCKET, SO_ERROR, &error, &size) == 0 &&
                 error == 0);
  if (!isOpen) {
    ::close(file);
    return std::nullopt;
  }
  ::fcntl(file, F_SETFL, ::fcntl(file, F_GETFL) & ~O_NONBLOCK);
  int on = 1;
  ::setsockopt(file, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return Channel(file);
}

namespace {

void readChunks(Channel &From, double Deadline, Answer &Out) {
  for (;;) {
    auto line = From.readLine(Deadline);
    if (!line)
      return;
    size_t size = std::strtoul(line->c_str(), nullptr, 16);
    std::string bytes = From.readExactly(size, Deadline);
    Out.Body += bytes;
    if (bytes.size() < size || !From.readLine(Deadline))
      return;
    if (size == 0) {
      Out.IsComplete = true;
      return;
    }
  }
}

} // namespace

Answer readAnswer(Channel &From, double Deadline) {
  Answer out;
  auto head = From.readHead(Deadline);
  if (!head)
    return out;
  out.Head = *head;
  out.Status = std::atoi(head->StartLine.substr(9, 3).c_str());
  std::string length = head->field("content-length");
  if (head->field("transfer-encoding") == "chunked") {
    readChunks(From, Deadline, out);
  } else if (!length.empty()) {
    size_t size = std::stoul(length);
    out.Body = From.readExactly(size, Deadline);
    out.IsComplete = out.Body.size() == size;
  } else {
    out.Body = From.readExactly(SIZE_MAX, Deadline);
    out.IsComplete = !From.wasReset() && now() < Deadline;
  }
  return out;
}

std::string encode(const Request &Message, bool KeepAlive) {
  std::string out = Message.Method + " " + Message.Path + " HTTP/1.1\r\n";
  bool hasHost = false;
  for (const auto &[name, value] : Message.Fields) {
    out += name + ": " + value + "\r\n";
    hasHost = hasHost || name == "Host";
  }
  if (!hasHost)
    out += "Host: platform\r\n";
  if (!KeepAlive)
    out += "Connection: close\r\n";
  out += "Content-Length: " + std::to_string(Message.Body.size()) + "\r\n\r\n";
  return out + Message.Body;
}

Answer call(const std::string &Address, const Request &Message,
            double Seconds) {
  double deadline = now() + Seconds;
  auto channel = connectTo(Address, std::min(Seconds, 1.0));
  if (!channel || !channel->send(encode(Message, false)))
    return {};
  return readAnswer(*channel, deadline);
}

Announcer::Announcer(std::string Id, std::string Service, std::string Address,
                     std::string Zone, std::vector<std::string> Controls)
    : Id(std::move(Id)), Service(std::move(Service)),
      Address(std::move(Address)), Zone(std::move(Zone)),
      Controls(std::move(Controls)) {
  timespec reading{};
  ::clock_gettime(CLOCK_REALTIME, &reading);
  BornMs = static_cast<uint64_t>(reading.tv_sec) * 1000 +
           static_cast<uint64_t>(reading.tv_nsec) / 1'000'000;
}

void Announcer::beginAt(double At) {
  NextAt = At;
  IsNew = false;
}

void Announcer::announceIfDue() {
  if (now() < NextAt)
    return;
  bool isEarly = IsNew && Sequence < FirstHeartbeats;
  NextAt = now() + (isEarly ? FirstInterval : HeartbeatInterval);
  Request message;
  message.Path = "/Instances.Heartbeat/" + Id;
  message.Fields = {{"Content-Type", "application/json"}};
  message.Body = R"({"service":")" + Service + R"(","address":")" + Address +
                 R"(","zone":")" + Zone +
                 R"(","version":"v1","slots":6,"state":"ready",)"
                 R"("cold-left-ms":0,"seq":)" +
                 std::to_string(++Sequence) + R"(,"born":)" +
                 std::to_string(BornMs) + "}";
  // Without an acknowledgement the next node is called.
  for (size_t i = 0; i < Controls.size(); ++i)
    if (call(Controls[(Sequence + i) % Controls.size()], message, 1).Status ==
        200)
      return;
}

Fleet::Fleet(FleetSize Size, const Record &Lines) : Size(Size), Lines(Lines) {
  std::string pattern =
      (files::temp_directory_path() / "review-XXXXXX").string();
  Folder = ::mkdtemp(pattern.data());
  std::mt19937 random(std::random_device{}());
  for (;;) {
    Subnet = "127." + std::to_string(80 + random() % 100) + "." +
             std::to_string(random() % 250) + ".";
    BasePort = 12'000 + static_cast<int>(random() % 2'000) * 8;
    bool areFree = true;
    for (int host : {1, 2, 3, 100, 101, 102, 103, 104})
      for (int port = 0; port < 7; ++port)
        areFree = areFree && isFree(addressOf(host, port));
    if (areFree)
      return;
  }
}

Fleet::~Fleet() {
  while (!Processes.empty())
    kill(Processes.begin()->first);
  std::error_code ec;
  files::remove_all(Folder, ec);
}

std::string Fleet::addressOf(int Host, int Port) const {
  return Subnet + std::to_string(Host) + ":" + std::to_string(BasePort + Port);
}

std::vector<std::string> Fleet::controlAddresses() const {
  std::vector<std::string> out;
  for (int i = 1; i <= Size.Fronts; ++i)
    out.push_back(controlAddress(i));
  return out;
}

std::string Fleet::zoneOf(int Host) {
  static const char *const zones[] = {"kingston", "may-pen", "mandeville"};
  return zones[Host % 3];
}

/// The settings as deploy/front.toml has them, with the bounds of fixit-ja.
void Fleet::writeSettings(int Front) const {
  std::vector<std::string> seeds;
  for (int i = 1; i <= std::min(Size.Disks, 3); ++i)
    seeds.push_back(controlAddress(i));
  std::string name = "front-" + std::to_string(Front);
  std::ofstream out(Folder + "/" + name + ".toml");
  out << "role = \"front\"\nfleet = \"sassafrasseam\"\nnode = \"" << name
      << "\"\nzone = \"" << zoneOf(Front) << "\"\nlisten = \""
      << addressOf(Front, 0) << "\"\nhttp = \"" << callerAddress(Front)
      << "\"\n\n[front_role]\nready = \"" << addressOf(Front, 2)
      << "\"\ncontrol = \"" << controlAddress(Front)
      << "\"\nseeds = " << quoteList(seeds)
      << "\nmay_form = true\ndata_folder = \""
      << (Front <= Size.Disks ? Folder + "/" + name + "-data" : "")
      << "\"\nretry_ratio = 0.2\nretry_slack = 62\nretry_window_s = 10\n"
         "rate_window_s = 8\nrate_overshoot = 0.1\nrate_slack = 17000\n"
         "stop_grace_s = 8\n";
}

void Fleet::start(const std::string &Name,
                  const std::vector<std::string> &Arguments) {
  std::vector<char *> arguments;
  for (const std::string &it : Arguments)
    arguments.push_back(const_cast<char *>(it.c_str()));
  arguments.push_back(nullptr);
  std::string log = Folder + "/" + Name + ".log";
  pid_t parent = ::getpid();
  pid_t pid = ::fork();
  if (pid == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent)
      ::_exit(CouldNotRun);
    int file = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(file, STDOUT_FILENO);
    ::dup2(file, STDERR_FILENO);
    ::execv(arguments[0], arguments.data());
    ::_exit(CouldNotRun);
  }
  Processes[Name] = pid;
  Lines.write("started " + Name + " pid " + std::to_string(pid));
}

void Fleet::kill(const std::string &Name) {
  auto found = Processes.find(Name);
  if (found == Processes.end())
    return;
  ::kill(found->second, SIGKILL);
  ::waitpid(found->second, nullptr, 0);
  Processes.erase(found);
  Lines.write("killed " + Name);
}

void Fleet::freeze(const std::string &Name) {
  ::kill(Processes.at(Name), SIGSTOP);
  Lines.write("froze " + Name);
}

void Fleet::thaw(const std::string &Name) {
  ::kill(Processes.at(Name), SIGCONT);
  Lines.write("thawed " + Name);
}

bool Fleet::hasEnded(const std::string &Name) {
  auto found = Processes.find(Name);
  if (found == Processes.end())
    return true;
  if (::waitpid(found->second, nullptr, WNOHANG) != found->second)
    return false;
  Processes.erase(found);
  Lines.write("ended " + Name);
  return true;
}

bool Fleet::startFronts(const std::string &Config) {
  double deadline = now() + 30;
  for (int i = 1; i <= Size.Fronts; ++i) {
    writeSettings(i);
    std::string name = "front-" + std::to_string(i);
    start(name, {"target/main/sassafrasd", "--settings",
                 Folder + "/" + name + ".toml",
                 std::string("--memory-mb=") + MemoryMb});
  }
  Request put;
  put.Path = "/Config.Put";
  put.Fields = {{"Content-Type", "application/json"}};
  put.Body = Config;
  int status = 0;
  for (int i = 0; status != 200; ++i) {
    if (now() > deadline)
      return false;
    status = call(controlAddress(1 + i % Size.Fronts), put, 2).Status;
    if (status != 200)
      sleepFor(0.1);
  }
  Lines.write("config acknowledged");
  Request ready;
  ready.Method = "GET";
  ready.Path = "/ready";
  for (int i = 1; i <= Size.Fronts; ++i)
    while (call(addressOf(i, 2), ready, 1).Status != 200) {
      if (now() > deadline)
        return false;
      sleepFor(0.1);
    }
  Lines.write("all fronts are ready");
  return true;
}

void limitRunTime(unsigned Seconds) {
  std::signal(SIGALRM, [](int) { ::_exit(CouldNotRun); });
  std::signal(SIGPIPE, SIG_IGN);
  ::alarm(Seconds);
}

bool hasTrouble() {
  const char *value = std::getenv("TROUBLE");
  return !value || std::strcmp(value, "0") != 0;
}

std::string siblingProgram(const std::string &Name) {
  return (files::read_symlink("/proc/self/exe").parent_path() / Name).string();
}

} // namespace review
