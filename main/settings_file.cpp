#include "main/settings_file.h"

#include "http/address.h"
#include "platform/deployment_rules.h"

#include <toml++/toml.h>

#include <fstream>
#include <set>
#include <sstream>

namespace sassafras {

namespace {

constexpr size_t MinSaltLength = 16;
constexpr int64_t MaxCount = 1'000'000;
constexpr int64_t MaxBytes = 1'000'000'000;
constexpr int64_t MsPerSecond = 1000;

/// Reads the keys of one TOML table and records which keys were requested, so
/// that unknown ones can be reported. Only the first error is kept; reads after
/// it change nothing.
class TableReader {
public:
  TableReader(const toml::table &Table, std::string Section,
              SettingsProblem &Problem)
      : Table(Table), Section(std::move(Section)), Problem(Problem) {}

  void readString(const char *Key, std::string &Value, bool IsRequired) {
    const toml::node *node = findNode(Key, IsRequired);
    if (!node)
      return;
    auto value = node->value_exact<std::string>();
    if (!value)
      fail(node, quoteKey(Key) + " must be a string");
    else if (value->empty() && IsRequired)
      fail(node, quoteKey(Key) + " must not be empty");
    else
      Value = *value;
  }

  template <class Number>
  void readInteger(const char *Key, Number &Value, int64_t Min, int64_t Max) {
    const toml::node *node = findNode(Key, false);
    if (!node)
      return;
    auto value = node->value_exact<int64_t>();
    if (!value)
      fail(node, quoteKey(Key) + " must be an integer");
    else if (*value < Min || *value > Max)
      fail(node, quoteKey(Key) + " must be from " + std::to_string(Min) +
                     " to " + std::to_string(Max));
    else
      Value = static_cast<Number>(*value);
  }

  /// Reads whole seconds.
  void readSeconds(const char *Key, Millis &Value) {
    int64_t n = Value.count() / MsPerSecond;
    readInteger(Key, n, 0, MaxCount);
    Value = Millis(n * MsPerSecond);
  }

  /// Reads whole milliseconds. \p Value is unchanged without the key.
  void readMillis(const char *Key, std::optional<Millis> &Value) {
    int64_t n = -1;
    readInteger(Key, n, 0, MaxCount);
    if (n >= 0)
      Value = Millis(n);
  }

  void readBool(const char *Key, bool &Value) {
    const toml::node *node = findNode(Key, false);
    if (!node)
      return;
    auto value = node->value_exact<bool>();
    if (!value)
      fail(node, quoteKey(Key) + " must be true or false");
    else
      Value = *value;
  }

  void readNonNegative(const char *Key, double &Value) {
    const toml::node *node = findNode(Key, false);
    if (!node)
      return;
    auto value = node->value<double>();
    if (!value || *value < 0)
      fail(node, quoteKey(Key) + " must be a non-negative number");
    else
      Value = *value;
  }

  void readNonNegative(const char *Key, std::optional<double> &Value) {
    if (!findNode(Key, false))
      return;
    Value = 0;
    readNonNegative(Key, *Value);
  }

  void readAddress(const char *Key, std::string &Value) {
    readString(Key, Value, true);
    if (!isFailed() && !parseAddress(Value))
      fail(Table.get(Key), quoteKey(Key) + " must be IP:port");
  }

  void readAddresses(const char *Key, std::vector<std::string> &Values) {
    const toml::node *node = findNode(Key, true);
    if (!node)
      return;
    const toml::array *array = node->as_array();
    if (!array || array->empty()) {
      fail(node,
           quoteKey(Key) + " must be a non-empty list of IP:port addresses");
      return;
    }
    for (const toml::node &it : *array) {
      auto value = it.value_exact<std::string>();
      if (!value || !parseAddress(*value)) {
        fail(&it,
             quoteKey(Key) + " must be a non-empty list of IP:port addresses");
        return;
      }
      Values.push_back(*value);
    }
  }

  void readStrings(const char *Key, std::vector<std::string> &Values) {
    const toml::node *node = findNode(Key, false);
    if (!node)
      return;
    const toml::array *array = node->as_array();
    if (!array) {
      fail(node, quoteKey(Key) + " must be a list of strings");
      return;
    }
    for (const toml::node &it : *array) {
      auto value = it.value_exact<std::string>();
      if (!value) {
        fail(&it, quoteKey(Key) + " must be a list of strings");
        return;
      }
      Values.push_back(*value);
    }
  }

  const toml::table *readSection(const char *Key) {
    const toml::node *node = findNode(Key, false);
    if (!node)
      return nullptr;
    if (!node->as_table())
      fail(node, quoteKey(Key) + " must be a table");
    return node->as_table();
  }

  /// Fails on the first key in the table that was not requested.
  void checkUnknownKeys() {
    for (const auto &[key, node] : Table)
      if (!RequestedKeys.contains(std::string(key.str())))
        fail(&node, "unknown key " + quoteKey(std::string(key.str())));
  }

  void fail(const toml::node *Node, const std::string &Reason) {
    if (isFailed())
      return;
    Problem.Line = Node ? Node->source().begin.line : 0;
    Problem.Reason = Reason;
  }

  bool isFailed() const { return !Problem.Reason.empty(); }
  const toml::node *getNode(const char *Key) const { return Table.get(Key); }

private:
  std::string quoteKey(const std::string &Key) const {
    return "'" + (Section.empty() ? Key : Section + "." + Key) + "'";
  }

  const toml::node *findNode(const char *Key, bool IsRequired) {
    RequestedKeys.insert(Key);
    if (isFailed())
      return nullptr;
    const toml::node *node = Table.get(Key);
    if (!node && IsRequired)
      fail(nullptr, quoteKey(Key) + " is missing");
    return node;
  }

  const toml::table &Table;
  std::string Section;
  SettingsProblem &Problem;
  std::set<std::string> RequestedKeys;
};

void readRole(TableReader &Root, Settings &Out) {
  std::string role;
  Root.readString("role", role, true);
  if (Root.isFailed())
    return;
  if (role == "entry")
    Out.Role = NodeRole::Entry;
  else if (role == "control")
    Out.Role = NodeRole::Control;
  else if (role == "agent")
    Out.Role = NodeRole::Agent;
  else if (role == "front")
    Out.Role = NodeRole::Front;
  else if (role == "engine_agent")
    Out.Role = NodeRole::EngineAgent;
  else
    Root.fail(Root.getNode("role"),
              "'role' must be entry, control, agent, front "
              "or engine_agent");
}

void readLevel(TableReader &Root, Settings &Out) {
  std::string level = "info";
  Root.readString("log_level", level, false);
  if (level == "debug")
    Out.Level = LogLevel::Debug;
  else if (level == "info")
    Out.Level = LogLevel::Info;
  else if (level == "warning")
    Out.Level = LogLevel::Warning;
  else if (level == "error")
    Out.Level = LogLevel::Error;
  else
    Root.fail(Root.getNode("log_level"),
              "'log_level' must be debug, info, warning or error");
}

void readControl(const toml::table &Table, ControlSettings &Out,
                 SettingsProblem &Problem) {
  TableReader reader(Table, "control_role", Problem);
  reader.readString("data_folder", Out.DataFolder, true);
  reader.readInteger("loads_per_second", Out.LoadsPerSecond, 1, MaxCount);
  reader.readInteger("loads_at_once", Out.LoadsAtOnce, 1, MaxCount);
  reader.readInteger("adapters_at_once", Out.AdaptersAtOnce, 1, MaxCount);
  reader.readInteger("snapshot_entries", Out.SnapshotEntries, 10, MaxCount);
  reader.readSeconds("shortest_idle_s", Out.ShortestIdle);
  reader.readSeconds("longest_idle_s", Out.LongestIdle);
  reader.readSeconds("load_time_s", Out.LoadTime);
  reader.readNonNegative("cold_start_price", Out.ColdStartPrice);
  reader.checkUnknownKeys();
}

void readAgent(const toml::table &Table, AgentSettings &Out,
               SettingsProblem &Problem) {
  TableReader reader(Table, "agent_role", Problem);
  reader.readInteger("slots", Out.Slots, 1, MaxCount);
  reader.readString("service", Out.Service, false);
  reader.checkUnknownKeys();
}

void readEntry(const toml::table &Table, EntrySettings &Out,
               SettingsProblem &Problem) {
  TableReader reader(Table, "entry_role", Problem);
  reader.readInteger("head_bytes", Out.HeadBytes, 1024, MaxBytes);
  reader.readInteger("body_bytes", Out.BodyBytes, 1024, MaxBytes);
  reader.checkUnknownKeys();
}

void readFront(const toml::table &Table, FrontSettings &Out,
               SettingsProblem &Problem) {
  TableReader reader(Table, "front_role", Problem);
  reader.readAddress("ready", Out.Ready);
  reader.readAddress("control", Out.Control);
  reader.readAddresses("seeds", Out.Seeds);
  reader.readBool("may_form", Out.MayForm);
  reader.readString("data_folder", Out.DataFolder, false);
  reader.readNonNegative("retry_ratio", Out.RetryRatio);
  reader.readNonNegative("retry_slack", Out.RetrySlack);
  reader.readSeconds("retry_window_s", Out.RetryWindow);
  reader.readSeconds("rate_window_s", Out.RateWindow);
  reader.readNonNegative("rate_overshoot", Out.RateOvershoot);
  reader.readNonNegative("rate_slack", Out.RateSlack);
  reader.readNonNegative("cold_overshoot", Out.ColdOvershoot);
  reader.readNonNegative("cold_slack", Out.ColdSlack);
  std::vector<std::string> rules;
  reader.readStrings("deployment_rules", rules);
  Out.EnginesFailWhenFull = platform::doEnginesFailWhenFull(rules);
  reader.readSeconds("longest_pause_s", Out.LongestPause);
  reader.readSeconds("longest_leaving_s", Out.LongestLeaving);
  reader.readMillis("crossing_wait_ms_per_mb", Out.CrossingWaitPerMegabyte);
  reader.readSeconds("stop_grace_s", Out.StopGrace);
  reader.checkUnknownKeys();
}

void readEngineAgent(const toml::table &Table, EngineAgentSettings &Out,
                     SettingsProblem &Problem) {
  TableReader reader(Table, "engine_agent_role", Problem);
  reader.readAddress("engine", Out.Engine);
  reader.readAddresses("seeds", Out.Seeds);
  reader.checkUnknownKeys();
}

void readSections(TableReader &Root, Settings &Out, SettingsProblem &Problem) {
  const toml::table *control = Root.readSection("control_role");
  const toml::table *agent = Root.readSection("agent_role");
  const toml::table *entry = Root.readSection("entry_role");
  if (Out.Role == NodeRole::Control && !control)
    Root.fail(nullptr, "[control_role] is missing");
  const toml::table *front = Root.readSection("front_role");
  const toml::table *engineAgent = Root.readSection("engine_agent_role");
  if (Out.Role == NodeRole::Front && !front)
    Root.fail(nullptr, "[front_role] is missing");
  if (Out.Role == NodeRole::EngineAgent && !engineAgent)
    Root.fail(nullptr, "[engine_agent_role] is missing");
  if (front)
    readFront(*front, Out.FrontRole, Problem);
  if (engineAgent)
    readEngineAgent(*engineAgent, Out.EngineAgentRole, Problem);
  if (control)
    readControl(*control, Out.ControlRole, Problem);
  if (agent)
    readAgent(*agent, Out.AgentRole, Problem);
  if (entry)
    readEntry(*entry, Out.EntryRole, Problem);
}

void checkConsistency(TableReader &Root, const Settings &Out) {
  if (Out.KeySalt.size() < MinSaltLength)
    Root.fail(Root.getNode("key_salt"),
              "'key_salt' must have at least 16 characters");
  if (Out.Control.size() % 2 == 0)
    Root.fail(Root.getNode("control"),
              "'control' must list an odd number of addresses");
  if (Out.Role != NodeRole::Control)
    return;
  for (const std::string &it : Out.Control)
    if (it == Out.Listen)
      return;
  Root.fail(Root.getNode("listen"),
            "'listen' of a control process must be in 'control'");
}

} // namespace

std::string describe(const SettingsProblem &Problem) {
  std::string text = Problem.File;
  if (Problem.Line > 0)
    text += ":" + std::to_string(Problem.Line);
  return text + ": " + Problem.Reason;
}

std::optional<std::string> readTextFile(const std::string &File) {
  std::ifstream in(File, std::ios::binary);
  if (!in)
    return std::nullopt;
  std::ostringstream out;
  out << in.rdbuf();
  // An empty file sets only failbit.
  if (out.bad())
    return std::nullopt;
  return out.str();
}

std::optional<Settings> readSettings(const std::string &File,
                                     SettingsProblem &Problem) {
  Problem.File = File;
  auto text = readTextFile(File);
  if (!text) {
    Problem.Reason = "cannot be read";
    return std::nullopt;
  }
  return parseSettings(*text, File, Problem);
}

std::optional<Settings> parseSettings(const std::string &Text,
                                      const std::string &File,
                                      SettingsProblem &Problem) {
  Problem.File = File;
  toml::table table;
  try {
    table = toml::parse(Text, File);
  } catch (const toml::parse_error &error) {
    Problem.Line = error.source().begin.line;
    Problem.Reason = std::string(error.description());
    return std::nullopt;
  }
  Settings out;
  TableReader root(table, "", Problem);
  readRole(root, out);
  root.readString("fleet", out.Fleet, true);
  root.readString("node", out.Node, true);
  root.readString("zone", out.Zone, true);
  root.readAddress("listen", out.Listen);
  root.readAddress("http", out.Http);
  bool isPlatformManaged =
      out.Role == NodeRole::Front || out.Role == NodeRole::EngineAgent;
  if (!isPlatformManaged) {
    root.readAddresses("control", out.Control);
    root.readString("key_salt", out.KeySalt, true);
  }
  readLevel(root, out);
  readSections(root, out, Problem);
  root.checkUnknownKeys();
  if (!root.isFailed() && !isPlatformManaged)
    checkConsistency(root, out);
  if (root.isFailed())
    return std::nullopt;
  return out;
}

} // namespace sassafras
