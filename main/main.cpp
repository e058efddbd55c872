/// \file
/// The daemon: one process of a fleet, in the role its settings name.
#include "agent/agent_shell.h"
#include "control/control_shell.h"
#include "core/metrics.h"
#include "entry/entry_shell.h"
#include "main/settings_file.h"
#include "main/version.h"

#include <boost/asio/signal_set.hpp>
#include <caf/all.hpp>

#include <csignal>
#include <cstdio>
#include <getopt.h>

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

/// Runs the role until it has stopped gracefully.
int runRole(const Settings &Settings) {
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
  return runRole(*settings);
}

} // namespace

} // namespace sassafras

int main(int Count, char **Words) { return sassafras::start(Count, Words); }
