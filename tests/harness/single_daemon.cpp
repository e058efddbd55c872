#include "tests/harness/single_daemon.h"

#include "http/address.h"
#include "tests/harness/free_ports.h"

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace sassafras {

namespace files = std::filesystem;

namespace {

constexpr int PortCount = 8;

sockaddr_in makeSocketAddress(const std::string &Address) {
  auto parsed = parseAddress(Address);
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(parsed->Port);
  ::inet_pton(AF_INET, parsed->Ip.c_str(), &out.sin_addr);
  return out;
}

int makeSocket() { return ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0); }

void bindSocket(int Socket, const sockaddr_in &Address) {
  if (::bind(Socket, reinterpret_cast<const sockaddr *>(&Address),
             sizeof Address) != 0)
    throw std::runtime_error("cannot bind a socket");
}

bool connectSocket(int Socket, const sockaddr_in &Address) {
  return ::connect(Socket, reinterpret_cast<const sockaddr *>(&Address),
                   sizeof Address) == 0;
}

} // namespace

SingleDaemon::SingleDaemon(std::string Role) : Role(std::move(Role)) {
  std::string pattern =
      (files::temp_directory_path() / "sassafras-daemon-XXXXXX").string();
  Folder = mkdtemp(pattern.data());
  BasePort = reservePorts(PortCount);
}

SingleDaemon::~SingleDaemon() {
  signal(SIGKILL);
  waitForExit(std::chrono::seconds(5));
  if (!std::getenv("KEEP_FLEET_FOLDER"))
    files::remove_all(Folder);
}

std::string SingleDaemon::addressOf(int Port) const {
  return "127.0.0.1:" + std::to_string(BasePort + Port);
}

std::vector<std::string> SingleDaemon::addresses() const {
  std::vector<std::string> out{addressOf(0), addressOf(1)};
  if (Role == "front") {
    out.push_back(addressOf(2));
    out.push_back(addressOf(3));
  }
  return out;
}

std::string SingleDaemon::settings() const {
  std::ostringstream out;
  out << "role = \"" << Role << "\"\nfleet = \"test\"\nnode = \"single\"\n"
      << "zone = \"a\"\nlisten = \"" << addressOf(0) << "\"\nhttp = \""
      << addressOf(1) << "\"\n";
  if (Role == "front") {
    out << "[front_role]\nready = \"" << addressOf(2) << "\"\ncontrol = \""
        << addressOf(3) << "\"\nseeds = [\"" << addressOf(3)
        << "\"]\nmay_form = true\ndata_folder = \"" << dataFolder() << "\"\n";
    return out.str();
  }
  if (Role == "engine_agent") {
    out << "[engine_agent_role]\nengine = \"" << addressOf(7)
        << "\"\nseeds = [\"" << addressOf(6) << "\"]\n";
    return out.str();
  }
  out << "control = [\"" << addressOf(Role == "control" ? 0 : 5)
      << "\"]\nkey_salt = \"0123456789abcdef\"\n";
  if (Role == "control")
    out << "[control_role]\ndata_folder = \"" << dataFolder() << "\"\n";
  return out.str();
}

void SingleDaemon::writeSettings(const std::string &Text) const {
  std::ofstream(settingsPath()) << Text;
}

void SingleDaemon::launch(const std::vector<std::string> &Options) {
  std::vector<std::string> texts{DAEMON_PROGRAM, "--settings", settingsPath()};
  texts.insert(texts.end(), Options.begin(), Options.end());
  std::vector<char *> arguments;
  for (std::string &it : texts)
    arguments.push_back(it.data());
  arguments.push_back(nullptr);
  std::string output = Folder + "/log";
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, 1, output.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2(&actions, 1, 2);
  if (posix_spawn(&Pid, arguments[0], &actions, nullptr, arguments.data(),
                  environ) != 0)
    Pid = 0;
  posix_spawn_file_actions_destroy(&actions);
}

bool SingleDaemon::waitForStart(std::chrono::seconds Limit,
                                size_t Count) const {
  return waitUntil(Limit,
                   [&] { return countInLog("event=started ") >= Count; });
}

bool SingleDaemon::isRunning() const {
  if (Pid == 0)
    return false;
  siginfo_t info{};
  ::waitid(P_PID, static_cast<id_t>(Pid), &info, WEXITED | WNOHANG | WNOWAIT);
  return info.si_pid == 0;
}

void SingleDaemon::signal(int Signal) const {
  if (Pid != 0)
    ::kill(Pid, Signal);
}

int SingleDaemon::waitForExit(std::chrono::seconds Limit) {
  int status = 0;
  if (Pid == 0 || !waitUntil(Limit, [&] {
        return ::waitpid(Pid, &status, WNOHANG) == Pid;
      }))
    return -1;
  Pid = 0;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -2;
}

std::string SingleDaemon::log() const {
  std::ifstream in(Folder + "/log");
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}

size_t SingleDaemon::countInLog(const std::string &Text) const {
  std::string text = log();
  size_t count = 0;
  for (size_t n = text.find(Text); n != std::string::npos;
       n = text.find(Text, n + 1))
    ++count;
  return count;
}

HeldAddress::HeldAddress(const std::string &Address, Kind Use) {
  sockaddr_in held = makeSocketAddress(Address);
  int holder = makeSocket();
  Sockets.push_back(holder);
  bindSocket(holder, held);
  if (Use == Kind::Listener) {
    ::listen(holder, 1);
    return;
  }
  int peer = makeSocket();
  Sockets.push_back(peer);
  sockaddr_in target = makeSocketAddress("127.0.0.1:0");
  bindSocket(peer, target);
  ::listen(peer, 1);
  socklen_t size = sizeof target;
  ::getsockname(peer, reinterpret_cast<sockaddr *>(&target), &size);
  if (!connectSocket(holder, target))
    throw std::runtime_error("cannot connect a socket");
}

void HeldAddress::release() {
  linger reset{1, 0};
  for (int it : Sockets) {
    ::setsockopt(it, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    ::close(it);
  }
  Sockets.clear();
}

bool acceptsConnection(const std::string &Address) {
  int socket = makeSocket();
  bool isAccepted = connectSocket(socket, makeSocketAddress(Address));
  ::close(socket);
  return isAccepted;
}

} // namespace sassafras
