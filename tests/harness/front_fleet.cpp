#include "tests/harness/front_fleet.h"

#include "tests/harness/free_ports.h"
#include "tests/harness/slow_disk.h"

#include <algorithm>
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <sys/resource.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace sassafras {

namespace files = std::filesystem;
using std::chrono::seconds;

namespace {

constexpr int PortsPerHost = 8;
/// Host number of the engine of a ServedFleet.
constexpr int EngineHost = 50;

std::string readFile(const std::string &Path) {
  std::ifstream in(Path);
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}

/// True if a process handles stop signals as events, by the text of its
/// /proc/PID/status. Libraries block more signals than these for a moment
/// before main, and take that back.
bool blocksStopSignals(const std::string &Status) {
  const std::string key = "SigBlk:\t";
  size_t at = Status.find(key);
  if (at == std::string::npos)
    return false;
  uint64_t expected = 0;
  for (int it : {SIGHUP, SIGINT, SIGTERM})
    expected |= uint64_t{1} << (it - 1);
  return std::stoull(Status.substr(at + key.size()), nullptr, 16) == expected;
}

} // namespace

FrontFleet::FrontFleet(FrontFleetSize Options) : Size(std::move(Options)) {
  std::string pattern =
      (files::temp_directory_path() / "sassafras-front-XXXXXX").string();
  Folder = mkdtemp(pattern.data());
  BasePort = reservePorts(PortsPerHost);
  for (int i = 1; i <= Size.Fronts; ++i)
    if (std::find(Size.NotStarted.begin(), Size.NotStarted.end(), i) ==
        Size.NotStarted.end())
      start(i, true);
}

FrontFleet::~FrontFleet() {
  for (const std::string &it : processes())
    kill(it);
  if (!std::getenv("KEEP_FLEET_FOLDER"))
    files::remove_all(Folder);
}

std::string FrontFleet::frontName(int Host) {
  return "front-" + std::to_string(Host);
}

std::string FrontFleet::agentName(int Host) {
  return "agent-" + std::to_string(Host);
}

std::string FrontFleet::addressOf(int Host, int Port) const {
  return Subnet + std::to_string(Host) + ":" + std::to_string(BasePort + Port);
}

std::string FrontFleet::frontSettings(int Host, bool IsNew) const {
  std::string name = frontName(Host);
  std::ostringstream toml;
  toml << "role = \"front\"\nfleet = \"test\"\nnode = \"" << name
       << "\"\nzone = \"a\"\nlisten = \"" << addressOf(Host, 0)
       << "\"\nhttp = \"" << callerAddress(Host)
       << "\"\n[front_role]\nready = \"" << addressOf(Host, 2)
       << "\"\ncontrol = \"" << controlAddress(Host) << "\"\nseeds = [";
  for (size_t i = 0; i < Size.Seeds.size(); ++i)
    toml << (i > 0 ? ", " : "") << '"' << controlAddress(Size.Seeds[i]) << '"';
  toml << "]\nmay_form = " << (IsNew ? "true" : "false") << "\ndata_folder = \""
       << (Host <= Size.Disks ? Folder + "/" + name + "-data" : "") << "\"\n";
  return toml.str();
}

void FrontFleet::start(int Host, bool IsNew) {
  spawn(frontName(Host), frontSettings(Host, IsNew));
}

void FrontFleet::launchFront(int Host) {
  std::string name = frontName(Host);
  std::ofstream(settingsPathOf(name)) << frontSettings(Host, false);
  launchDaemon(name);
}

void FrontFleet::startProgram(const std::string &Process,
                              std::vector<std::string> Arguments) {
  launch(Process, std::move(Arguments));
}

std::string FrontFleet::agentSettings(int Host,
                                      const std::string &Engine) const {
  std::ostringstream toml;
  toml << "role = \"engine_agent\"\nfleet = \"test\"\nnode = \"agent-" << Host
       << "\"\nzone = \"a\"\nlisten = \"" << addressOf(Host, 0)
       << "\"\nhttp = \"" << addressOf(Host, 1)
       << "\"\n[engine_agent_role]\nengine = \"" << Engine << "\"\nseeds = [\""
       << controlAddress(1) << "\"]\n";
  return toml.str();
}

void FrontFleet::startAgent(int Host, const std::string &Engine) {
  spawn(agentName(Host), agentSettings(Host, Engine));
}

bool FrontFleet::startAgentWithEarlySignal(int Host, int Signal) {
  std::string name = agentName(Host);
  std::string path = settingsPathOf(name);
  ::mkfifo(path.c_str(), 0600);
  launchDaemon(name);
  // Blocks until the process reads.
  std::ofstream pipe(path);
  signal(name, Signal);
  std::this_thread::sleep_for(Millis(50));
  if (!isRunning(name))
    return false;
  std::string toml = agentSettings(Host, addressOf(Host, 7));
  std::ofstream(path + ".new") << toml;
  files::rename(path + ".new", path);
  pipe << toml;
  pipe.close();
  return waitForStart(name, 0);
}

bool FrontFleet::startAgentAndSignal(int Host, std::chrono::microseconds Delay,
                                     const std::vector<int> &Signals) {
  std::string name = agentName(Host);
  std::ofstream(settingsPathOf(name))
      << agentSettings(Host, addressOf(Host, 7));
  launchDaemon(name);
  std::string path = "/proc/" + std::to_string(Processes[name]) + "/status";
  TimePoint deadline = Clock::now() + seconds(5);
  while (!blocksStopSignals(readFile(path))) {
    if (isPast(deadline, Clock::now()))
      return false;
    std::this_thread::yield();
  }
  std::this_thread::sleep_for(Delay);
  for (int it : Signals)
    signal(name, it);
  return true;
}

void FrontFleet::signal(const std::string &Process, int Signal) {
  auto found = Processes.find(Process);
  if (found != Processes.end())
    ::kill(found->second, Signal);
}

void FrontFleet::limitFileSize(const std::string &Process,
                               std::optional<uint64_t> Bytes) {
  auto found = Processes.find(Process);
  if (found == Processes.end())
    return;
  rlimit limit{};
  ::prlimit(found->second, RLIMIT_FSIZE, nullptr, &limit);
  limit.rlim_cur = Bytes.value_or(limit.rlim_max);
  ::prlimit(found->second, RLIMIT_FSIZE, &limit, nullptr);
}

int FrontFleet::waitForExit(const std::string &Process, seconds Limit) {
  auto found = Processes.find(Process);
  if (found == Processes.end())
    return -1;
  int status = 0;
  if (!waitUntil(Limit, [&] {
        return ::waitpid(found->second, &status, WNOHANG) == found->second;
      }))
    return -1;
  Processes.erase(found);
  return WIFEXITED(status) ? WEXITSTATUS(status) : -2;
}

void FrontFleet::kill(const std::string &Process) {
  signal(Process, SIGKILL);
  waitForExit(Process, seconds(5));
}

void FrontFleet::delayDisks(Millis Delay) const {
  setDiskDelay(Folder + "/disk-delay", Delay);
}

void FrontFleet::loseDisk(int Host) {
  files::remove_all(Folder + "/" + frontName(Host) + "-data");
}

bool FrontFleet::isReady(int Host) const {
  return callHttp(addressOf(Host, 2), {"GET", "/ready", {}, {}}, seconds(2))
             .Status == 200;
}

namespace {

/// Sends a request and follows one redirect to the leader.
CallerResponse callLeader(const std::string &Address,
                          const HttpRequest &Request) {
  CallerResponse response = callHttp(Address, Request, seconds(3));
  if (response.Status != 307)
    return response;
  std::string location(fieldOf(response.Fields, "location"));
  std::string leader = location.substr(7, location.find('/', 7) - 7);
  return callHttp(leader, Request, seconds(3));
}

} // namespace

unsigned FrontFleet::putTable(int Host, const std::string &Text) const {
  return callLeader(controlAddress(Host), {"POST", "/Config.Put", {}, Text})
      .Status;
}

std::string FrontFleet::readTable(int Host) const {
  CallerResponse response =
      callLeader(controlAddress(Host), {"GET", "/Config.Get", {}, {}});
  return response.Status == 200 ? response.Body : std::string();
}

bool FrontFleet::isRunning(const std::string &Process) const {
  auto found = Processes.find(Process);
  if (found == Processes.end())
    return false;
  siginfo_t info{};
  waitid(P_PID, static_cast<id_t>(found->second), &info,
         WEXITED | WNOHANG | WNOWAIT);
  return info.si_pid == 0;
}

uint64_t FrontFleet::peakMemoryMb(const std::string &Process) const {
  auto found = Processes.find(Process);
  if (found == Processes.end())
    return 0;
  std::string status =
      readFile("/proc/" + std::to_string(found->second) + "/status");
  const std::string key = "VmHWM:";
  size_t at = status.find(key);
  return at == std::string::npos
             ? 0
             : std::stoull(status.substr(at + key.size())) / 1024;
}

std::string FrontFleet::logPathOf(const std::string &Process) const {
  return Folder + "/" + Process + ".log";
}

std::string FrontFleet::log(const std::string &Process) const {
  return readFile(logPathOf(Process));
}

std::string FrontFleet::settingsPathOf(const std::string &Process) const {
  return Folder + "/" + Process + ".toml";
}

ToolResult FrontFleet::ctl(const std::string &Arguments) const {
  static std::atomic<int> runCount{0};
  std::string base = Folder + "/ctl-" + std::to_string(runCount++);
  std::string command = std::string(TOOL_PROGRAM) + " --settings " +
                        settingsPathOf(frontName(1)) + " " + Arguments + " >" +
                        base + ".out 2>" + base + ".err";
  int state = std::system(command.c_str());
  return {WEXITSTATUS(state), readFile(base + ".out"), readFile(base + ".err")};
}

std::vector<std::string> FrontFleet::processes() const {
  std::vector<std::string> out;
  for (const auto &[name, pid] : Processes)
    out.push_back(name);
  return out;
}

void FrontFleet::spawn(const std::string &Process, const std::string &Toml) {
  std::string path = settingsPathOf(Process);
  std::ofstream(path) << Toml;
  size_t logStart = log(Process).size();
  launchDaemon(Process);
  if (!waitForStart(Process, logStart))
    throw std::runtime_error(Process +
                             " did not start within 10 s; log output: " +
                             log(Process).substr(logStart));
}

void FrontFleet::launchDaemon(const std::string &Process) {
  launch(Process, {DAEMON_PROGRAM, "--settings", settingsPathOf(Process)});
}

void FrontFleet::launch(const std::string &Process,
                        std::vector<std::string> Arguments) {
  std::string output = logPathOf(Process);
  std::vector<char *> arguments;
  for (std::string &it : Arguments)
    arguments.push_back(it.data());
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, 1, output.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0600);
  std::vector<std::string> variables =
      Size.HasSlowDisks ? makeSlowDiskEnvironment(Folder + "/disk-delay")
                        : copyEnvironment();
  std::vector<char *> environment;
  for (std::string &it : variables)
    environment.push_back(it.data());
  environment.push_back(nullptr);
  pid_t pid = 0;
  int error = posix_spawn(&pid, arguments[0], &actions, nullptr,
                          arguments.data(), environment.data());
  posix_spawn_file_actions_destroy(&actions);
  // Without a process there is no id, and a signal to id 0 reaches the callers
  // of this method.
  if (error != 0)
    throw std::runtime_error(Process +
                             " cannot be started: " + std::strerror(error));
  Processes[Process] = pid;
}

bool FrontFleet::waitForStart(const std::string &Process, size_t LogStart) {
  bool hasStarted = false;
  waitUntil(seconds(10), [&] {
    bool isAlive = isRunning(Process);
    hasStarted =
        log(Process).find("event=started ", LogStart) != std::string::npos;
    return hasStarted || !isAlive;
  });
  return hasStarted;
}

std::string tableText(int Version, const std::string &Prefix,
                      uint64_t RatePerSecond) {
  return R"({"version":)" + std::to_string(Version) +
         R"(,"routes":[{"name":"r","host":"h.example","path-prefix":")" +
         Prefix +
         R"(","kind":"streaming","timeout-ms":8000,"slo-ms":4000,)"
         R"("service":"chat"}],"services":[{"name":"chat","engine":)"
         R"({"slots":8,"weights-mb":100,"adapter-slots":2,"loads-per-s":5,)"
         R"("models":[{"name":"warm","weights-mb":30,"load-s":1,)"
         R"("disk-load-s":0.1},{"name":"cold","weights-mb":30,"load-s":1,)"
         R"("disk-load-s":0.1}]}}],"tenants":[{"name":"first",)"
         R"("rate-per-s":)" +
         std::to_string(RatePerSecond) + R"(,"api-keys":["secret-key"]}]})";
}

CallerResponse sendCallerRequest(const std::string &Address,
                                 const std::string &Id,
                                 const std::string &Model,
                                 const std::string &Key,
                                 const std::string &Path) {
  HttpRequest request{"POST",
                      Path,
                      {{"authorization", "Bearer " + Key},
                       {"sassafrasseam-attempt-id", Id},
                       {"sassafrasseam-model", Model},
                       {"sassafrasseam-deadline-ms", "8000"}},
                      "body"};
  request.Fields.push_back({"host", "h.example"});
  return callHttp(Address, request, seconds(10));
}

ServedFleet::ServedFleet(const std::string &Table)
    : Engine("i-1", "chat", Fleet.addressOf(EngineHost, 7), {"warm"},
             {"cold"}) {
  Fleet.startAgent(EngineHost, Fleet.addressOf(EngineHost, 7));
  bool isAccepted =
      waitUntil(seconds(15), [&] { return Fleet.putTable(1, Table) == 200; });
  if (!isAccepted)
    throw std::runtime_error("no front accepted the table within 15 s");
  Announcer = std::thread([this] {
    for (int i = 0; IsAnnouncing; ++i) {
      Engine.announce(Fleet.controlAddress(1 + i % Fleet.frontCount()));
      std::this_thread::sleep_for(Millis(300));
    }
  });
  for (int i = 1; i <= Fleet.frontCount(); ++i)
    if (!waitUntil(seconds(10), [&] { return Fleet.isReady(i); }))
      throw std::runtime_error(FrontFleet::frontName(i) +
                               " is not ready after 10 s");
}

void ServedFleet::stopAnnouncing() {
  IsAnnouncing = false;
  if (Announcer.joinable())
    Announcer.join();
}

} // namespace sassafras
