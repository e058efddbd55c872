/// \file
/// The operator's tool.
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
    "  table put FILE           replace the table by FILE\n"
    "  table diff FILE          rows that FILE would change\n"
    "  key grant ORGANISATION   make a key and print it once\n"
    "  key withdraw ID          end a key\n"
    "  key list                 keys by id\n"
    "  status                   leader, members, nodes, versions\n"
    "  endpoints                endpoints and their state\n"
    "  replicas                 what is loaded where\n"
    "  explain ROW              limits of a row and where it is loaded\n"
    "  explain ID LOG...        what the logs tell of a request; - is the\n"
    "                           standard input; needs no settings\n"
    "  check SETTINGS           check a settings file\n"
    "options:\n"
    "  -s, --settings FILE      settings of any process of the fleet\n"
    "  -j, --json               print JSON\n"
    "  -w, --wait               until the change is in force everywhere\n"
    "  -b, --base VERSION       table version that the edit is based on\n"
    "  -o, --operation ID       id of the operation, to resend it safely\n"
    "  -i, --id ID              id for a granted key\n"
    "  -h, --help               this text\n"
    "  -v, --version            version\n"
    "exit codes: 0 done, 1 refused, 2 usage, 3 no leader, 4 conflict\n";

const option LongOptions[] = {
    {"settings", required_argument, nullptr, 's'},
    {"json", no_argument, nullptr, 'j'},
    {"wait", no_argument, nullptr, 'w'},
    {"base", required_argument, nullptr, 'b'},
    {"operation", required_argument, nullptr, 'o'},
    {"id", required_argument, nullptr, 'i'},
    {"help", no_argument, nullptr, 'h'},
    {"version", no_argument, nullptr, 'v'},
    {nullptr, 0, nullptr, 0},
};

struct CommandLine {
  std::string SettingsFile;
  ToolOptions Options;
  std::vector<std::string> Words;
};

ToolExit showUsage() {
  std::fputs(Usage, stderr);
  return ToolExit::Usage;
}

bool readVersion(const char *Text, ToolOptions &Out) {
  uint64_t n = 0;
  const char *last = Text + std::strlen(Text);
  auto [end, ec] = std::from_chars(Text, last, n);
  Out.Base = n;
  return ec == std::errc() && end == last;
}

/// Reads the command line; a value is the code to exit with at once.
std::optional<ToolExit> readLine(int Count, char **Words, CommandLine &Out) {
  int code = 0;
  while ((code = getopt_long(Count, Words, "s:jwb:o:i:hv", LongOptions,
                             nullptr)) != -1) {
    switch (code) {
    case 's':
      Out.SettingsFile = optarg;
      break;
    case 'j':
      Out.Options.IsJson = true;
      break;
    case 'w':
      Out.Options.IsWaiting = true;
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
  Out.Words.assign(Words + optind, Words + Count);
  return std::nullopt;
}

ToolExit start(int Count, char **Words) {
  CommandLine line;
  if (auto code = readLine(Count, Words, line))
    return *code;
  bool isCheck = line.Words.size() == 2 && line.Words[0] == "check";
  if (isCheck)
    line.SettingsFile = line.Words[1];
  if (line.Words.size() > 2 && line.Words[0] == "explain")
    return explainRequest(line.Words);
  if (line.SettingsFile.empty() || line.Words.empty())
    return showUsage();
  SettingsProblem problem;
  auto settings = readSettings(line.SettingsFile, problem);
  if (!settings) {
    std::fprintf(stderr, "sassafrasctl: %s\n", describe(problem).c_str());
    return ToolExit::Usage;
  }
  if (isCheck) {
    std::puts("settings are good");
    return ToolExit::Ok;
  }
  startLogging(LogLevel::Error, "ctl");
  return runCommand(*settings, line.Options, line.Words);
}

} // namespace

} // namespace sassafras

int main(int Count, char **Words) {
  return static_cast<int>(sassafras::start(Count, Words));
}
