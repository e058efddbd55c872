#include "tests/harness/process_fleet.h"

#include "tests/harness/free_ports.h"
#include "tests/harness/slow_disk.h"

#include "http/address.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <set>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

extern char **environ;

namespace sassafras {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace files = std::filesystem;

constexpr Millis PollInterval{20};
constexpr std::chrono::seconds StartTimeout{10};

std::string readFile(const std::string &Path) {
  std::ifstream in(Path);
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}

/// Replaces the value of the first line of TOML text that assigns \p Key; does
/// nothing if there is none.
void setTomlValue(std::string &Toml, const std::string &Key,
                  const std::string &Value) {
  size_t at = Toml.find("\n" + Key + " = ");
  if (at == std::string::npos)
    return;
  size_t end = Toml.find('\n', at + 1);
  Toml.replace(at + 1, end - at - 1, Key + " = " + Value);
}

std::string quote(const std::string &Text) { return "\"" + Text + "\""; }

/// Reads the response until it ends, the connection fails or \p Limit expires.
void readResponse(beast::tcp_stream &Stream, asio::io_context &Io,
                  CallerResponse &Response, std::chrono::seconds Limit) {
  beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(std::numeric_limits<uint64_t>::max());
  beast::error_code error;
  bool isDone = false;
  Stream.expires_after(Limit);
  http::async_read(Stream, buffer, parser, [&](auto ec, size_t) {
    error = ec;
    isDone = true;
  });
  Io.restart();
  while (!isDone)
    Io.run_one();
  if (!parser.is_header_done())
    return;
  Response.Status = parser.get().result_int();
  for (const auto &it : parser.get()) {
    std::string name(it.name_string());
    for (char &c : name)
      c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    Response.Fields.push_back({name, std::string(it.value())});
  }
  Response.Body = parser.get().body();
  Response.IsComplete = !error && parser.is_done();
}

} // namespace

CallerResponse callHttp(const std::string &Address, const HttpRequest &Request,
                        std::chrono::seconds Limit) {
  CallerResponse response;
  auto address = parseAddress(Address);
  asio::io_context io;
  beast::tcp_stream stream(io);
  beast::error_code ec;
  stream.connect({asio::ip::make_address(address->Ip), address->Port}, ec);
  if (ec)
    return response;
  http::request<http::string_body> message;
  message.method_string(Request.Method);
  message.target(Request.Target);
  message.set(http::field::host, Address);
  for (const HttpField &it : Request.Fields)
    if (it.Name == "host")
      message.set(http::field::host, it.Value);
    else
      message.insert(it.Name, it.Value);
  message.body() = Request.Body;
  message.prepare_payload();
  http::write(stream, message, ec);
  if (!ec)
    readResponse(stream, io, response, Limit);
  return response;
}

bool waitUntil(std::chrono::seconds Limit, const std::function<bool()> &Check) {
  TimePoint deadline = Clock::now() + Limit;
  while (!Check()) {
    if (isPast(deadline, Clock::now()))
      return false;
    std::this_thread::sleep_for(PollInterval);
  }
  return true;
}

Deployment bloomline() {
  return {"bloomline", {"colombo-fort", "dehiwala", "negombo", "kalutara"}};
}

Deployment fixIt() { return {"fixit", {"kingston", "may-pen", "mandeville"}}; }

std::string ProcessFleet::controlName(int Number) {
  return "control-" + std::to_string(Number);
}
std::string ProcessFleet::entryName(int Number) {
  return "entry-" + std::to_string(Number);
}
std::string ProcessFleet::engineName(int Number) {
  return "engine-" + std::to_string(Number);
}

ProcessFleet::ProcessFleet(Deployment Kind, Millis LoadTime, DiskKind Disk)
    : Kind(std::move(Kind)), Disk(Disk) {
  std::string pattern =
      (files::temp_directory_path() / "sassafras-XXXXXX").string();
  Folder = mkdtemp(pattern.data());
  for (int i = 1; i <= 3; ++i)
    ControlAddresses.push_back(reserveAddress());
  StoreAddress = reserveAddress();
  spawn("store", {STORE_PROGRAM, "-l", StoreAddress, "-t",
                  std::to_string(LoadTime.count())});
}

ProcessFleet::~ProcessFleet() {
  for (const std::string &it : processes())
    kill(it);
  if (!std::getenv("KEEP_FLEET_FOLDER"))
    files::remove_all(Folder);
}

void ProcessFleet::spawn(const std::string &Process,
                         std::vector<std::string> Arguments) {
  // Overwriting the entry would leave the old process unmanaged: it would
  // outlive its fleet and send to the next processes that use the same ports.
  if (isRunning(Process))
    throw std::logic_error(Process + " is already running");
  std::vector<char *> arguments;
  for (std::string &it : Arguments)
    arguments.push_back(it.data());
  arguments.push_back(nullptr);
  std::string output = Folder + "/" + Process + ".log";
  std::vector<std::string> variables =
      Disk == DiskKind::Slow ? makeSlowDiskEnvironment(Folder + "/disk-delay")
                             : copyEnvironment();
  std::vector<char *> environment;
  for (std::string &it : variables)
    environment.push_back(it.data());
  environment.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, 1, output.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0600);
  posix_spawn_file_actions_adddup2(&actions, 1, 2);
  pid_t pid = 0;
  posix_spawn(&pid, arguments[0], &actions, nullptr, arguments.data(),
              environment.data());
  posix_spawn_file_actions_destroy(&actions);
  Processes[Process] = pid;
}

void ProcessFleet::startDaemon(const std::string &Process) {
  size_t logStart = log(Process).size();
  spawn(Process, {DAEMON_PROGRAM, "--settings", settingsPathOf(Process)});
  std::string newOutput;
  bool hasResult = waitUntil(StartTimeout, [&] {
    bool isAlive = isRunning(Process);
    newOutput = log(Process).substr(logStart);
    return !isAlive || newOutput.find("event=started ") != std::string::npos;
  });
  if (!hasResult || newOutput.find("event=started ") == std::string::npos)
    throw std::runtime_error(
        Process +
        " exited or did not start within 10 s; log output: " + newOutput);
}

std::string ProcessFleet::writeSettings(const std::string &Sample,
                                        const std::string &Node,
                                        const std::string &Zone,
                                        const std::string &InternalAddress) {
  std::string toml =
      readFile(SAMPLES_FOLDER "/" + Kind.Name + "/" + Sample + ".toml");
  if (!HttpAddresses.contains(Node))
    HttpAddresses[Node] = reserveAddress();
  InternalAddresses[Node] = InternalAddress;
  std::string control = "[";
  for (const std::string &it : ControlAddresses)
    control += (control.size() > 1 ? ", " : "") + quote(it);
  setTomlValue(toml, "node", quote(Node));
  setTomlValue(toml, "zone", quote(Zone));
  setTomlValue(toml, "listen", quote(InternalAddress));
  setTomlValue(toml, "http", quote(HttpAddresses[Node]));
  setTomlValue(toml, "control", control + "]");
  setTomlValue(toml, "data_folder", quote(Folder + "/" + Node + "-data"));
  std::string path = settingsPathOf(Node);
  std::ofstream(path) << toml;
  return path;
}

std::string ProcessFleet::settingsPathOf(const std::string &Process) const {
  return Folder + "/" + Process + ".toml";
}

std::string ProcessFleet::httpAddressOf(const std::string &Process) const {
  return HttpAddresses.at(Process);
}

std::string ProcessFleet::sampleTable() const {
  return SAMPLES_FOLDER "/" + Kind.Name + "/table.csv";
}

void ProcessFleet::startControl(int Number) {
  std::string name = controlName(Number);
  size_t index = static_cast<size_t>(Number) - 1;
  writeSettings("control", name, Kind.Zones[index % Kind.Zones.size()],
                ControlAddresses[index]);
  startDaemon(name);
}

void ProcessFleet::startEntry(int Number) {
  std::string name = entryName(Number);
  if (!InternalAddresses.contains(name))
    InternalAddresses[name] = reserveAddress();
  size_t index = static_cast<size_t>(Number);
  writeSettings("entry", name, Kind.Zones[index % Kind.Zones.size()],
                InternalAddresses[name]);
  startDaemon(name);
}

void ProcessFleet::startAgentOnly(int Number) {
  std::string name = engineName(Number);
  if (!InternalAddresses.contains(name))
    InternalAddresses[name] = reserveAddress();
  size_t index = static_cast<size_t>(Number);
  writeSettings("agent", name, Kind.Zones[index % Kind.Zones.size()],
                InternalAddresses[name]);
  startDaemon(name);
}

void ProcessFleet::startEngineOnly(int Number, EngineOptions Options) {
  std::string name = engineName(Number);
  std::string fake = name + "-endpoint";
  if (!HttpAddresses.contains(fake))
    HttpAddresses[fake] = reserveAddress();
  std::vector<std::string> commandLine{ENDPOINT_PROGRAM,
                                       "-l",
                                       HttpAddresses[fake],
                                       "-a",
                                       HttpAddresses[name],
                                       "-s",
                                       StoreAddress,
                                       "-m",
                                       std::to_string(Options.MemoryMb),
                                       "-t",
                                       std::to_string(Options.TokenMs)};
  if (Options.IgnoresFences)
    commandLine.push_back("-i");
  spawn(fake, std::move(commandLine));
}

void ProcessFleet::startEngine(int Number, EngineOptions Options) {
  startAgentOnly(Number);
  startEngineOnly(Number, Options);
}

void ProcessFleet::startService() {
  std::string name = "service-1";
  if (!InternalAddresses.contains(name))
    InternalAddresses[name] = reserveAddress();
  writeSettings("service_agent", name, Kind.Zones[0], InternalAddresses[name]);
  startDaemon(name);
  std::string fake = name + "-endpoint";
  if (!HttpAddresses.contains(fake))
    HttpAddresses[fake] = reserveAddress();
  if (!isRunning(fake))
    spawn(fake, {ENDPOINT_PROGRAM, "-p", "-l", HttpAddresses[fake], "-a",
                 HttpAddresses[name]});
}

void ProcessFleet::startAll(int Engines, EngineOptions Options) {
  for (int i = 1; i <= 3; ++i)
    startControl(i);
  for (int i = 1; i <= 2; ++i)
    startEntry(i);
  for (int i = 1; i <= Engines; ++i)
    startEngine(i, Options);
  startService();
}

void ProcessFleet::loseDisk(int Number) {
  files::remove_all(Folder + "/" + controlName(Number) + "-data");
}

void ProcessFleet::detachDisk(int Number) {
  std::string data = Folder + "/" + controlName(Number) + "-data";
  files::rename(data, data + "-hidden");
}

void ProcessFleet::reattachDisk(int Number) {
  std::string data = Folder + "/" + controlName(Number) + "-data";
  files::remove_all(data);
  files::rename(data + "-hidden", data);
}

void ProcessFleet::delayDisks(Millis Delay) const {
  setDiskDelay(Folder + "/disk-delay", Delay);
}

void ProcessFleet::signal(const std::string &Process, int Signal) {
  if (Processes.contains(Process))
    ::kill(Processes[Process], Signal);
}

int ProcessFleet::waitForExit(const std::string &Process,
                              std::chrono::seconds Limit) {
  auto it = Processes.find(Process);
  if (it == Processes.end())
    return -1;
  int state = 0;
  bool hasEnded = waitUntil(
      Limit, [&] { return waitpid(it->second, &state, WNOHANG) != 0; });
  if (!hasEnded)
    return -1;
  Processes.erase(it);
  return WIFEXITED(state) ? WEXITSTATUS(state) : 128 + WTERMSIG(state);
}

void ProcessFleet::kill(const std::string &Process) {
  signal(Process, SIGKILL);
  waitForExit(Process, std::chrono::seconds(10));
}

bool ProcessFleet::isRunning(const std::string &Process) {
  auto it = Processes.find(Process);
  if (it == Processes.end())
    return false;
  siginfo_t info{};
  waitid(P_PID, static_cast<id_t>(it->second), &info,
         WEXITED | WNOHANG | WNOWAIT);
  return info.si_pid == 0;
}

std::vector<std::string> ProcessFleet::processes() {
  std::vector<std::string> names;
  for (const auto &[name, pid] : Processes)
    names.push_back(name);
  return names;
}

ToolResult ProcessFleet::ctl(const std::vector<std::string> &Arguments) {
  static int runCount = 0;
  std::string base = Folder + "/ctl-" + std::to_string(runCount++);
  std::string command = std::string(TOOL_PROGRAM) + " --settings " +
                        settingsPathOf(controlName(1));
  for (const std::string &it : Arguments)
    command += " " + it;
  command += " >" + base + ".out 2>" + base + ".err";
  int state = std::system(command.c_str());
  return {WEXITSTATUS(state), readFile(base + ".out"), readFile(base + ".err")};
}

std::string ProcessFleet::leader() {
  std::string found;
  waitUntil(std::chrono::seconds(15), [&] {
    for (int i = 1; i <= 3; ++i) {
      std::string name = controlName(i);
      if (isRunning(name) && metric(name, "control_leader") > 0)
        found = name;
    }
    return !found.empty();
  });
  return found;
}

std::string ProcessFleet::grantKey(const std::string &Organisation,
                                   const std::string &Id) {
  ToolResult result = ctl({"--wait", "--id", Id, "key", "grant", Organisation});
  size_t at = result.Out.find("key sk-");
  if (result.Code != 0 || at == std::string::npos)
    return {};
  size_t end = result.Out.find('\n', at);
  return result.Out.substr(at + 4, end - at - 4);
}

double ProcessFleet::metric(const std::string &Process,
                            const std::string &Name) {
  CallerResponse response =
      callHttp(httpAddressOf(Process), {"GET", "/metrics", {}, {}},
               std::chrono::seconds(2));
  std::istringstream in(response.Body);
  std::string line;
  while (std::getline(in, line))
    if (line.starts_with(Name + " "))
      return std::atof(line.c_str() + Name.size() + 1);
  return 0;
}

std::string ProcessFleet::log(const std::string &Process) const {
  return readFile(Folder + "/" + Process + ".log");
}

} // namespace sassafras
