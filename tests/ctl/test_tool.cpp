/// \file
/// Tests of sassafrasctl: its exit codes and messages.
#include "tests/harness/process_fleet.h"

#include <catch2/catch.hpp>

#include <fstream>

using namespace sassafras;
using std::chrono::seconds;

namespace {

struct ToolCase {
  const char *Name;
  std::vector<std::string> Arguments;
  int Code;
  const char *Output;
};

} // namespace

TEST_CASE("tool returns the exit code and prints the reason of each case") {
  ProcessFleet fleet(bloomline(), Millis(100));
  fleet.startAll(1, {});
  REQUIRE_FALSE(fleet.leader().empty());
  std::string bad = fleet.folder() + "/bad.csv";
  std::ofstream(bad) << "kind,name,memory_mb\nmodel,m1,many\n";
  std::string dangling = fleet.folder() + "/dangling.csv";
  std::ofstream(dangling) << "kind,name,base,memory_mb\nadapter,a1,nothing,5\n";
  std::string good = fleet.sampleTable();
  const ToolCase cases[] = {
      {"no command", {}, 2, "usage"},
      {"unknown command", {"fly"}, 2, "unknown command"},
      {"unknown option", {"--fly"}, 2, "usage"},
      {"bad base", {"--base", "x", "table", "put", good}, 2, "usage"},
      {"no such file", {"table", "put", "/nowhere.csv"}, 2, "cannot read"},
      {"bad number", {"table", "put", bad}, 2, "row 1, column memory_mb"},
      {"dangling", {"table", "put", dangling}, 2, "row 1, column base"},
      {"good table", {"--wait", "table", "put", good}, 0, "in force"},
      {"stale base", {"--base", "0", "table", "put", good}, 4, "version 1"},
      {"unknown organisation",
       {"key", "grant", "nobody"},
       1,
       "unknown organisation nobody"},
      {"key", {"--id", "k1", "key", "grant", "galle-face-hotel"}, 0, "sk-"},
      {"same id",
       {"--id", "k1", "key", "grant", "colombo-council"},
       4,
       "key id is already in use"},
      {"listed", {"key", "list"}, 0, "k1 galle-face-hotel"},
      {"withdrawn", {"key", "withdraw", "k1"}, 0, "accepted"},
      {"withdrawn again", {"key", "withdraw", "k1"}, 1, "no key k1"},
      {"status", {"status"}, 0, "voter"},
      {"status as JSON", {"--json", "status"}, 0, "\"leader\""},
      {"table", {"table", "get"}, 0, "plaque-draft"},
      {"no difference", {"table", "diff", good}, 0, ""},
      {"explain", {"explain", "plaque-draft"}, 0, "at most 2 replicas"},
      {"explain nothing", {"explain", "nothing"}, 1, "no row"},
      {"check",
       {"check", fleet.settingsPathOf("entry-1")},
       0,
       "settings are valid"},
      {"version", {"--version"}, 0, "sassafrasctl"},
  };
  for (const ToolCase &it : cases) {
    INFO(it.Name);
    ToolResult result = fleet.ctl(it.Arguments);
    INFO(result.Out << result.Errors);
    CHECK(result.Code == it.Code);
    CHECK((result.Out + result.Errors).find(it.Output) != std::string::npos);
  }
  for (int i = 1; i <= 3; ++i)
    fleet.kill(ProcessFleet::controlName(i));
  CHECK(fleet.ctl({"status"}).Code == 3);
}
