/// \file
/// Tests of reading settings files: each error has a line and a reason.
#include "main/settings_file.h"

#include <catch2/catch.hpp>

#include <cstdio>
#include <filesystem>
#include <fstream>

using namespace sassafras;

namespace {

constexpr const char *ValidSettings = "role = \"control\"\n"
                                      "fleet = \"f\"\n"
                                      "node = \"n\"\n"
                                      "zone = \"z\"\n"
                                      "listen = \"127.0.0.1:1\"\n"
                                      "http = \"127.0.0.1:2\"\n"
                                      "control = [\"127.0.0.1:1\"]\n"
                                      "key_salt = \"0123456789abcdef\"\n"
                                      "[control_role]\n"
                                      "data_folder = \"d\"\n";

struct InvalidCase {
  const char *Name;
  std::string From;
  std::string To;
  uint32_t Line;
  const char *Reason;
};

std::optional<Settings> read(const std::string &Toml,
                             SettingsProblem &Problem) {
  std::string path =
      (std::filesystem::temp_directory_path() / "sassafras-settings-XXXXXX")
          .string();
  int file = mkstemp(path.data());
  REQUIRE(file >= 0);
  std::ofstream(path) << Toml;
  auto settings = readSettings(path, Problem);
  std::remove(path.c_str());
  return settings;
}

} // namespace

TEST_CASE("each invalid settings file is rejected with its line and reason") {
  const InvalidCase cases[] = {
      {"unknown key", "zone =", "zoned = 1\nzone =", 4, "unknown key 'zoned'"},
      {"unknown key in a table", "data_folder", "folder = 1\ndata_folder", 10,
       "unknown key 'control_role.folder'"},
      {"missing zone", "zone = \"z\"\n", "", 0, "'zone' is missing"},
      {"missing role", "role = \"control\"\n", "", 0, "'role' is missing"},
      {"missing table", "[control_role]\ndata_folder = \"d\"\n", "", 0,
       "[control_role] is missing"},
      {"bad role", "\"control\"\nfleet", "\"king\"\nfleet", 1, "'role' must"},
      {"wrong type", "\"n\"", "5", 3, "'node' must be a string"},
      {"empty", "\"n\"", "\"\"", 3, "'node' must not be empty"},
      {"no port", "\"127.0.0.1:1\"\nhttp", "\"127.0.0.1\"\nhttp", 5,
       "'listen' must be IP:port"},
      {"host name", "\"127.0.0.1:2\"", "\"localhost:2\"", 6,
       "'http' must be IP:port"},
      {"bad port", "\"127.0.0.1:2\"", "\"127.0.0.1:99999\"", 6,
       "'http' must be IP:port"},
      {"address in no list", "[\"127.0.0.1:1\"]", "[\"127.0.0.1:9\"]", 5,
       "must be in 'control'"},
      {"even members", "[\"127.0.0.1:1\"]",
       "[\"127.0.0.1:1\", \"127.0.0.1:3\"]", 7, "odd number"},
      {"short salt", "0123456789abcdef", "short", 8, "16 characters"},
      {"out of range", "data_folder", "loads_at_once = 0\ndata_folder", 10,
       "must be from 1"},
      {"not TOML", "zone = ", "zone == ", 4, ""},
  };
  SettingsProblem none;
  REQUIRE(read(ValidSettings, none));
  for (const InvalidCase &it : cases) {
    INFO(it.Name);
    std::string toml = ValidSettings;
    size_t at = toml.find(it.From);
    REQUIRE(at != std::string::npos);
    toml.replace(at, it.From.size(), it.To);
    SettingsProblem problem;
    CHECK_FALSE(read(toml, problem));
    INFO(describe(problem));
    CHECK(problem.Line == it.Line);
    CHECK(problem.Reason.find(it.Reason) != std::string::npos);
  }
}

TEST_CASE("sample settings are valid") {
  for (const char *kind : {"bloomline", "fixit"})
    for (const char *role : {"control", "entry", "agent", "service_agent"}) {
      SettingsProblem problem;
      std::string path =
          std::string(SAMPLES_FOLDER) + "/" + kind + "/" + role + ".toml";
      INFO(path);
      CHECK(readSettings(path, problem));
    }
}

TEST_CASE("rules of the deployment are read, and unknown ones say nothing") {
  std::string front = "role = \"front\"\n"
                      "fleet = \"f\"\n"
                      "node = \"n\"\n"
                      "zone = \"z\"\n"
                      "listen = \"127.0.0.1:1\"\n"
                      "http = \"127.0.0.1:2\"\n"
                      "[front_role]\n"
                      "ready = \"127.0.0.1:3\"\n"
                      "control = \"127.0.0.1:4\"\n"
                      "seeds = [\"127.0.0.1:4\"]\n";
  auto doFail = [&](const std::string &Rules) {
    SettingsProblem problem;
    auto settings = read(front + Rules, problem);
    INFO(describe(problem));
    REQUIRE(settings);
    return settings->FrontRole.EnginesFailWhenFull;
  };
  CHECK_FALSE(doFail(""));
  CHECK_FALSE(doFail("deployment_rules = []\n"));
  CHECK_FALSE(doFail("deployment_rules = [\"other\", \"pressures\"]\n"));
  CHECK(doFail("deployment_rules = [\"other\", \"pressure\"]\n"));
  SettingsProblem problem;
  CHECK_FALSE(read(front + "deployment_rules = [1]\n", problem));
  CHECK(problem.Line == 11);
}
