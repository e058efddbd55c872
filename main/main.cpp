/// \file
/// The daemon: one process of a fleet, in the role its settings name.
#include "agent/agent_shell.h"
#include "control/control_shell.h"
#include "core/metrics.h"
#include "engine_agent/engine_agent_shell.h"
#include "entry/entry_shell.h"
#include "front/front_shell.h"
#include "main/settings_file.h"
#include "main/version.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <caf/all.hpp>

#include <csignal>
#include <cstdio>
#include <fstream>
#include <getopt.h>
#include <sstream>

namespace sassafras {

namespace {

constexpr int ExitOk = 0;
constexpr int ExitFailed = 1;
constexpr int ExitUsage = 2;

constexpr const char *Usage =
    "usage: sassafrasd --settings FILE [--check]\n"
    "  -s, --settings FILE  settings of this process\n"
    "  -c, --check          check the settings and exit\n"
    "  -h, --help           this text\n"
    "  -v, --version        version\n";

struct Options {
  std::string SettingsFile;
  bool IsCheck = false;
};

const option LongOptions[] = {
    {"settings", required_argument, nullptr, 's'},
    {"check", no_argument, nullptr, 'c'},
    {"help", no_argument, nullptr, 'h'},
    {"version", no_argument, nullptr, 'v'},
    {nullptr, 0, nullptr, 0},
};

/// Reads the command line; a value is the code to exit with at once.
std::optional<int> readOptions(int Count, char **Words, Options &Out) {
  int code = 0;
  while ((code = getopt_long(Count, Words, "s:chv", LongOptions, nullptr)) !=
         -1) {
    switch (code) {
    case 's':
      Out.SettingsFile = optarg;
      break;
    case 'c':
      Out.IsCheck = true;
      break;
    case 'h':
      std::fputs(Usage, stdout);
      return ExitOk;
    case 'v':
      std::printf("sassafrasd %s\n", VersionText);
      return ExitOk;
    default:
      std::fputs(Usage, stderr);
      return ExitUsage;
    }
  }
  if (!Out.SettingsFile.empty() && optind == Count)
    return std::nullopt;
  std::fputs(Usage, stderr);
  return ExitUsage;
}

std::shared_ptr<RoleShell> makeShell(const ShellParts &Parts) {
  switch (Parts.Options.Role) {
  case NodeRole::Control:
    return makeControlShell(Parts);
  case NodeRole::Agent:
    return makeAgentShell(Parts);
  case NodeRole::Entry:
    return makeEntryShell(Parts);
  case NodeRole::Front:
    return makeFrontShell(Parts);
  case NodeRole::EngineAgent:
    return makeEngineAgentShell(Parts);
  }
  return nullptr;
}

/// A second signal changes nothing: the stop goes on as it began.
void stopOnSignal(boost::asio::signal_set &Signals, RoleShell &Shell) {
  Signals.async_wait([&](auto ec, int) {
    if (ec)
      return;
    logEvent(LogLevel::Info, "stopping");
    Shell.stop();
    stopOnSignal(Signals, Shell);
  });
}

/// The settings file may change with a signal or without one.
constexpr Millis SettingsPeriod{1'000};

std::string readWhole(const std::string &File) {
  std::ifstream in(File, std::ios::binary);
  std::ostringstream out;
  out << in.rdbuf();
  return out.str();
}

/// Takes over a changed settings file; a bad one changes nothing.
class SettingsWatch {
public:
  SettingsWatch(boost::asio::io_context &Io, std::string File, RoleShell &Shell)
      : File(std::move(File)), Shell(Shell), Timer(Io), Signals(Io, SIGHUP),
        Text(readWhole(this->File)) {}

  void start() {
    wait();
    hear();
  }

private:
  void wait() {
    Timer.expires_after(SettingsPeriod);
    Timer.async_wait([this](auto ec) {
      if (ec)
        return;
      look();
      wait();
    });
  }

  void hear() {
    Signals.async_wait([this](auto ec, int) {
      if (ec)
        return;
      look();
      hear();
    });
  }

  void look() {
    std::string text = readWhole(File);
    if (text == Text || text.empty())
      return;
    Text = text;
    SettingsProblem problem;
    auto settings = readSettings(File, problem);
    if (!settings) {
      logEvent(LogLevel::Error, "reload_refused",
               {{"reason", describe(problem)}});
      return;
    }
    logEvent(LogLevel::Info, "reloaded");
    Shell.reload(*settings);
  }

  std::string File;
  RoleShell &Shell;
  boost::asio::steady_timer Timer;
  boost::asio::signal_set Signals;
  std::string Text;
};

/// Runs the role until it has stopped gracefully.
int runRole(const Settings &Settings, const std::string &File) {
  Metrics counts;
  boost::asio::io_context io;
  caf::actor_system_config config;
  config.set("scheduler.max-threads", 1);
  // One actor a process has nobody to steal work from; the stealing policy
  // polls for it all the same.
  config.set("scheduler.policy", caf::atom("sharing"));
  caf::actor_system system(config);
  auto shell = makeShell({io, system, Settings, counts});
  std::string problem;
  if (!shell->start(problem)) {
    logEvent(LogLevel::Error, "start_failed", {{"reason", problem}});
    return ExitFailed;
  }
  logEvent(LogLevel::Info, "started", {{"version", VersionText}});
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  stopOnSignal(signals, *shell);
  SettingsWatch watch(io, File, *shell);
  watch.start();
  io.run();
  logEvent(LogLevel::Info, "stopped");
  return ExitOk;
}

int start(int Count, char **Words) {
  Options options;
  if (auto code = readOptions(Count, Words, options))
    return *code;
  SettingsProblem problem;
  auto settings = readSettings(options.SettingsFile, problem);
  if (!settings) {
    std::fprintf(stderr, "sassafrasd: %s\n", describe(problem).c_str());
    return ExitUsage;
  }
  if (options.IsCheck) {
    std::puts("settings are good");
    return ExitOk;
  }
  std::signal(SIGPIPE, SIG_IGN);
  startLogging(settings->Level, settings->Node);
  return runRole(*settings, options.SettingsFile);
}

} // namespace

} // namespace sassafras

int main(int Count, char **Words) { return sassafras::start(Count, Words); }
