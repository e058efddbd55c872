/// \file
/// The daemon. Each process of a fleet runs the role that its settings select.
#include "agent/agent_shell.h"
#include "control/control_shell.h"
#include "core/guard.h"
#include "core/metrics.h"
#include "engine_agent/engine_agent_shell.h"
#include "entry/entry_shell.h"
#include "front/front_shell.h"
#include "main/process_signals.h"
#include "main/role_start.h"
#include "main/settings_file.h"
#include "main/start_settings.h"
#include "main/version.h"

#include <boost/asio/steady_timer.hpp>
#include <caf/all.hpp>

#include <charconv>
#include <cinttypes>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <getopt.h>
#include <malloc.h>

namespace sassafras {

namespace {

constexpr int ExitOk = 0;
constexpr int ExitFailed = 1;
constexpr int ExitUsage = 2;

constexpr const char *Usage =
    "usage: sassafrasd --settings FILE [--check]\n"
    "  -s, --settings FILE  settings file of this process\n"
    "  -c, --check          validate the settings and exit\n"
    "  -m, --memory-mb=N    memory that the process may use, in MB (256)\n"
    "  -l, --losses-borne=N hosts with a disk that may be lost at once (1)\n"
    "  -h, --help           print this help and exit\n"
    "  -v, --version        print the version and exit\n";

struct Options {
  std::string SettingsFile;
  bool IsCheck = false;
  uint64_t MemoryMb = 256;
  uint64_t LossesBorne = 1;
};

const option LongOptions[] = {
    {"settings", required_argument, nullptr, 's'},
    {"check", no_argument, nullptr, 'c'},
    {"memory-mb", required_argument, nullptr, 'm'},
    {"losses-borne", required_argument, nullptr, 'l'},
    {"help", no_argument, nullptr, 'h'},
    {"version", no_argument, nullptr, 'v'},
    {nullptr, 0, nullptr, 0},
};

/// Bounds of the option memory-mb.
constexpr uint64_t MinMemoryMb = 16;
constexpr uint64_t MaxMemoryMb = 1'000'000;
/// Largest value of the option losses-borne.
constexpr uint64_t MaxLossesBorne = 100;

/// Reads the value of the option \p Name. An empty one leaves the default.
/// False after a message when it is not a number from \p Min to \p Max.
bool readNumber(const char *Name, std::string_view Text, uint64_t Min,
                uint64_t Max, uint64_t &Out) {
  if (Text.empty())
    return true;
  auto [end, error] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Out);
  if (error == std::errc() && end == Text.data() + Text.size() && Out >= Min &&
      Out <= Max)
    return true;
  std::fprintf(stderr,
               "sassafrasd: --%s must be from %" PRIu64 " to %" PRIu64
               ", not '%s'\n",
               Name, Min, Max, std::string(Text).c_str());
  return false;
}

/// Parses the command line into \p Out. Returns an exit code when the process
/// has to exit at once.
std::optional<int> readOptions(int Argc, char **Argv, Options &Out) {
  int code = 0;
  while ((code = getopt_long(Argc, Argv, "s:cm:l:hv", LongOptions, nullptr)) !=
         -1) {
    switch (code) {
    case 's':
      Out.SettingsFile = optarg;
      break;
    case 'c':
      Out.IsCheck = true;
      break;
    case 'm':
      if (readNumber("memory-mb", optarg, MinMemoryMb, MaxMemoryMb,
                     Out.MemoryMb))
        break;
      return ExitUsage;
    case 'l':
      if (readNumber("losses-borne", optarg, 0, MaxLossesBorne,
                     Out.LossesBorne))
        break;
      return ExitUsage;
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
  if (!Out.SettingsFile.empty() && optind == Argc)
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

/// The settings file is polled at this interval as well as checked on SIGHUP,
/// since it may be replaced without a signal.
constexpr Millis SettingsPollInterval{1'000};
/// Changed content that is younger may be part of what is being written.
constexpr Millis SettingsRestTime{100};

/// Reloads the settings file when its content has changed and is at rest. While
/// the file is unreadable or invalid, which is logged once, the current
/// settings stay in effect.
class SettingsWatcher {
public:
  /// \p Text: content of \p File that the role has started with.
  SettingsWatcher(boost::asio::io_context &Io, std::string File,
                  std::string Text, RoleShell &Shell)
      : File(std::move(File)), Shell(Shell), Timer(Io), RestTimer(Io),
        CurrentText(std::move(Text)), SeenText(CurrentText) {}

  void start() { scheduleCheck(); }

  void reloadIfChanged();

private:
  void scheduleCheck() {
    Timer.expires_after(SettingsPollInterval);
    Timer.async_wait([this](auto ec) {
      if (ec)
        return;
      reloadIfChanged();
      scheduleCheck();
    });
  }

  void scheduleReload() {
    RestTimer.expires_after(SettingsRestTime);
    RestTimer.async_wait([this](auto ec) {
      if (!ec)
        reloadIfChanged();
    });
  }

  std::string File;
  RoleShell &Shell;
  boost::asio::steady_timer Timer;
  boost::asio::steady_timer RestTimer;
  std::string CurrentText;             ///< Of the settings in effect.
  std::optional<std::string> SeenText; ///< As of the last check.
  TimePoint RestEnd;                   ///< The seen text is at rest then.
  bool IsSeenHandled = true;
};

void SettingsWatcher::reloadIfChanged() {
  auto text = readTextFile(File);
  TimePoint now = Clock::now();
  if (text != SeenText) {
    SeenText = std::move(text);
    IsSeenHandled = SeenText == CurrentText;
    RestEnd = now + SettingsRestTime;
    scheduleReload();
    return;
  }
  if (IsSeenHandled || !isPast(RestEnd, now))
    return;
  IsSeenHandled = true;
  SettingsProblem problem{File, 0, "cannot be read"};
  std::optional<Settings> settings;
  if (SeenText) {
    problem = {};
    settings = parseSettings(*SeenText, File, problem);
  }
  if (!settings) {
    logEvent(LogLevel::Error, "reload_refused",
             {{"reason", describe(problem)}});
    return;
  }
  CurrentText = *SeenText;
  logEvent(LogLevel::Info, "reloaded");
  Shell.reload(*settings);
}

/// Freed memory is returned to the system, so that the process stays within its
/// limit after a burst of large messages.
void configureAllocator() {
  constexpr int LargeBlockBytes = 1024 * 1024;
  constexpr int MaxUnusedBytes = 8 * LargeBlockBytes;
  mallopt(M_MMAP_THRESHOLD, LargeBlockBytes);
  mallopt(M_TRIM_THRESHOLD, MaxUnusedBytes);
  mallopt(M_ARENA_MAX, 2);
}

/// Part of the process's memory that requests and responses may occupy; the
/// rest is for its state, its code and the allocator.
MemoryBudgetPtr makeMemoryBudget(uint64_t MemoryMb) {
  constexpr uint64_t BytesPerMb = 1'000'000;
  return std::make_shared<MemoryBudget>(MemoryMb * BytesPerMb / 2);
}

/// Runs \p Shell, which has started, until it has stopped gracefully. Returns
/// the exit code.
int runShell(RoleShell &Shell, boost::asio::io_context &Io, Metrics &Counts,
             const std::string &SettingsText, const Options &Options) {
  logEvent(LogLevel::Info, "started", {{"version", VersionText}});
  SettingsWatcher watcher(Io, Options.SettingsFile, SettingsText, Shell);
  watcher.start();
  // Repeated calls of RoleShell::stop change nothing.
  ProcessSignals signals(Io, [&](int Signal) {
    if (Signal == SIGHUP) {
      watcher.reloadIfChanged();
      return;
    }
    logEvent(LogLevel::Info, "stopping", {{"signal", std::to_string(Signal)}});
    Shell.stop();
  });
  // Each role ends what a failed handler was working on; an exception that gets
  // here has left nothing open that the process knows of.
  while (!runGuarded(Counts, "event_loop", [&] { Io.run(); }))
    ;
  logEvent(LogLevel::Info, "stopped");
  return ExitOk;
}

/// Runs the role until it has stopped gracefully. Returns the exit code.
int runRole(const Settings &Settings, const std::string &SettingsText,
            const Options &Options) {
  Metrics counts;
  caf::actor_system_config config;
  config.set("scheduler.max-threads", 1);
  // With a single actor there is no work to steal, but the default
  // work-stealing policy would still poll for it.
  config.set("scheduler.policy", caf::atom("sharing"));
  caf::actor_system system(config);
  // Handlers that are still queued keep the shell, and with it the owner of an
  // actor, until the context is destroyed, which must precede the system.
  boost::asio::io_context io;
  ShellParts parts{io, system, Settings, counts,
                   makeMemoryBudget(Options.MemoryMb)};
  std::shared_ptr<RoleShell> shell;
  StartOutcome outcome = startRole(
      io, [&] { return makeShell(parts); }, isStopSignalPending, shell);
  if (outcome == StartOutcome::Failed)
    return ExitFailed;
  if (outcome == StartOutcome::Stopped) {
    logEvent(LogLevel::Info, "stopped",
             {{"reason", "signal before the start"}});
    return ExitOk;
  }
  int code = ExitFailed;
  runGuarded(counts, "role", [&] {
    code = runShell(*shell, io, counts, SettingsText, Options);
  });
  if (!shell->isClosed()) {
    // The handler, which the disk holds up, uses the shell and may never
    // return. The kernel releases everything.
    logEvent(LogLevel::Error, "exit_without_teardown",
             {{"code", std::to_string(code)}});
    std::_Exit(code);
  }
  return code;
}

int checkSettings(const std::string &File) {
  SettingsProblem problem;
  if (!readSettings(File, problem)) {
    std::fprintf(stderr, "sassafrasd: %s\n", describe(problem).c_str());
    return ExitUsage;
  }
  std::puts("settings are valid");
  return ExitOk;
}

int start(int Argc, char **Argv) {
  Options options;
  if (auto code = readOptions(Argc, Argv, options))
    return *code;
  if (options.IsCheck)
    return checkSettings(options.SettingsFile);
  blockSignals();
  std::signal(SIGPIPE, SIG_IGN);
  // A write beyond the limit of a file's size fails instead.
  std::signal(SIGXFSZ, SIG_IGN);
  // Until the settings name the node and the level.
  startLogging(LogLevel::Info, "");
  SettingsProblem problem;
  auto settings =
      awaitSettings(options.SettingsFile, isStopSignalPending, problem);
  if (!settings && problem.Reason.empty()) {
    logEvent(LogLevel::Info, "stopped",
             {{"reason", "signal before the start"}});
    return ExitOk;
  }
  if (!settings) {
    std::fprintf(stderr, "sassafrasd: %s\n", describe(problem).c_str());
    return ExitUsage;
  }
  startLogging(settings->Values.Level, settings->Values.Node);
  configureAllocator();
  settings->Values.FrontRole.LossesBorne =
      static_cast<uint32_t>(options.LossesBorne);
  return runRole(settings->Values, settings->Text, options);
}

} // namespace

} // namespace sassafras

int main(int Argc, char **Argv) {
  try {
    return sassafras::start(Argc, Argv);
  } catch (const std::exception &error) {
    std::fprintf(stderr, "sassafrasd: %s\n", error.what());
    return sassafras::ExitFailed;
  }
}
