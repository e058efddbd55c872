/// \file
/// sassafrasctl, the operator's tool.
#include "core/logging.h"
#include "ctl/commands.h"
#include "main/settings_file.h"
#include "main/version.h"

#include <charconv>
#include <cstdio>
#include <cstring>
#include <getopt.h>

namespace sassafras {

namespace {

constexpr const char *Usage =
    "usage: sassafrasctl --settings FILE [OPTIONS] COMMAND\n"
    "commands:\n"
    "  table get                print the table as CSV\n"
    "  table put FILE           replace the table with FILE\n"
    "  table diff FILE          list the rows that FILE would change\n"
    "  key grant ORGANISATION   create a key and print it once\n"
    "  key withdraw ID          revoke a key\n"
    "  key list                 list key ids and organisations\n"
    "  evacuate ZONE            send no more requests to an availability zone\n"
    "  evacuate --end ZONE      take the availability zone back\n"
    "  status                   show leader, members, nodes, versions,\n"
    "                           evacuated zones\n"
    "  endpoints                list endpoints and their state\n"
    "  replicas                 list what is loaded on each endpoint\n"
    "  explain ROW              show a row's limits and where it is loaded\n"
    "  explain ID LOG...        print the log lines related to a request;\n"
    "                           - is standard input; needs no settings\n"
    "  check SETTINGS           validate a settings file\n"
    "options:\n"
    "  -s, --settings FILE      settings of any process of the fleet\n"
    "  -j, --json               print JSON\n"
    "  -w, --wait               wait until the change is in force everywhere\n"
    "  -b, --base VERSION       table version that the edit is based on\n"
    "  -o, --operation ID       operation id, which makes resends idempotent\n"
    "  -i, --id ID              id of the key to grant\n"
    "  -e, --end                end the evacuation\n"
    "  -h, --help               print this help and exit\n"
    "  -v, --version            print the version and exit\n"
    "exit codes: 0 done, 1 refused, 2 usage, 3 no leader, 4 conflict\n";

const option LongOptions[] = {
    {"settings", required_argument, nullptr, 's'},
    {"json", no_argument, nullptr, 'j'},
    {"wait", no_argument, nullptr, 'w'},
    {"base", required_argument, nullptr, 'b'},
    {"operation", required_argument, nullptr, 'o'},
    {"id", required_argument, nullptr, 'i'},
    {"end", no_argument, nullptr, 'e'},
    {"help", no_argument, nullptr, 'h'},
    {"version", no_argument, nullptr, 'v'},
    {nullptr, 0, nullptr, 0},
};

struct CommandLine {
  std::string SettingsFile;
  ToolOptions Options;
  std::vector<std::string> Arguments;
};

ToolExit showUsage() {
  std::fputs(Usage, stderr);
  return ToolExit::Usage;
}

bool readVersion(const char *Text, ToolOptions &Out) {
  uint64_t n = 0;
  const char *last = Text + std::strlen(Text);
  auto [end, ec] = std::from_chars(Text, last, n);
  Out.BaseVersion = n;
  return ec == std::errc() && end == last;
}

/// Parses the command line into \p Out. Returns an exit code when the process
/// has to exit at once.
std::optional<ToolExit> readCommandLine(int Argc, char **Argv,
                                        CommandLine &Out) {
  int code = 0;
  while ((code = getopt_long(Argc, Argv, "s:jwb:o:i:ehv", LongOptions,
                             nullptr)) != -1) {
    switch (code) {
    case 's':
      Out.SettingsFile = optarg;
      break;
    case 'j':
      Out.Options.IsJson = true;
      break;
    case 'w':
      Out.Options.WaitsUntilInForce = true;
      break;
    case 'b':
      if (!readVersion(optarg, Out.Options))
        return showUsage();
      break;
    case 'o':
      Out.Options.OperationId = optarg;
      break;
    case 'i':
      Out.Options.KeyId = optarg;
      break;
    case 'e':
      Out.Options.IsEnd = true;
      break;
    case 'h':
      std::fputs(Usage, stdout);
      return ToolExit::Ok;
    case 'v':
      std::printf("sassafrasctl %s\n", VersionText);
      return ToolExit::Ok;
    default:
      return showUsage();
    }
  }
  Out.Arguments.assign(Argv + optind, Argv + Argc);
  return std::nullopt;
}

ToolExit start(int Argc, char **Argv) {
  CommandLine line;
  if (auto code = readCommandLine(Argc, Argv, line))
    return *code;
  bool isCheck = line.Arguments.size() == 2 && line.Arguments[0] == "check";
  if (isCheck)
    line.SettingsFile = line.Arguments[1];
  if (line.Arguments.size() > 2 && line.Arguments[0] == "explain")
    return explainRequest(line.Arguments);
  if (line.SettingsFile.empty() || line.Arguments.empty())
    return showUsage();
  SettingsProblem problem;
  auto settings = readSettings(line.SettingsFile, problem);
  if (!settings) {
    std::fprintf(stderr, "sassafrasctl: %s\n", describe(problem).c_str());
    return ToolExit::Usage;
  }
  if (isCheck) {
    std::puts("settings are valid");
    return ToolExit::Ok;
  }
  startLogging(LogLevel::Error, "ctl");
  return runCommand(*settings, line.Options, line.Arguments);
}

} // namespace

} // namespace sassafras

int main(int Argc, char **Argv) {
  return static_cast<int>(sassafras::start(Argc, Argv));
}
