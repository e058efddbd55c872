#include "main/settings_file.h"

#include "http/address.h"

#include <toml++/toml.h>

#include <set>

namespace sassafras {

namespace {

constexpr size_t MinSaltLength = 16;
constexpr int64_t MaxCount = 1'000'000;
constexpr int64_t MaxBytes = 1'000'000'000;
constexpr int64_t MsPerSecond = 1000;

/// Reads keys of one TOML table and remembers which were asked for. After
/// the first problem all further reads do nothing.
class Reader {
public:
  Reader(const toml::table &Table, std::string Section,
         SettingsProblem &Problem)
      : Table(Table), Section(std::move(Section)), Problem(Problem) {}

  void text(const char *Key, std::string &Value, bool IsNeeded) {
    const toml::node *node = take(Key, IsNeeded);
    if (!node)
      return;
    auto value = node->value_exact<std::string>();
    if (!value)
      fail(node, quoted(Key) + " must be a string");
    else if (value->empty() && IsNeeded)
      fail(node, quoted(Key) + " must not be empty");
    else
      Value = *value;
  }

  template <class Number>
  void count(const char *Key, Number &Value, int64_t Least, int64_t Most) {
    const toml::node *node = take(Key, false);
    if (!node)
      return;
    auto value = node->value_exact<int64_t>();
    if (!value)
      fail(node, quoted(Key) + " must be a whole number");
    else if (*value < Least || *value > Most)
      fail(node, quoted(Key) + " must be from " + std::to_string(Least) +
                     " to " + std::to_string(Most));
    else
      Value = static_cast<Number>(*value);
  }

  void seconds(const char *Key, Millis &Value) {
    int64_t n = Value.count() / MsPerSecond;
    count(Key, n, 0, MaxCount);
    Value = Millis(n * MsPerSecond);
  }

  void flag(const char *Key, bool &Value) {
    const toml::node *node = take(Key, false);
    if (!node)
      return;
    auto value = node->value_exact<bool>();
    if (!value)
      fail(node, quoted(Key) + " must be true or false");
    else
      Value = *value;
  }

  void price(const char *Key, double &Value) {
    const toml::node *node = take(Key, false);
    if (!node)
      return;
    auto value = node->value<double>();
    if (!value || *value < 0)
      fail(node, quoted(Key) + " must be a number of at least 0");
    else
      Value = *value;
  }

  void address(const char *Key, std::string &Value) {
    text(Key, Value, true);
    if (!isFailed() && !parseAddress(Value))
      fail(Table.get(Key), quoted(Key) + " must be IP:port");
  }

  void addresses(const char *Key, std::vector<std::string> &Values) {
    const toml::node *node = take(Key, true);
    if (!node)
      return;
    const toml::array *array = node->as_array();
    if (!array || array->empty()) {
      fail(node, quoted(Key) + " must be a list of IP:port");
      return;
    }
    for (const toml::node &it : *array) {
      auto value = it.value_exact<std::string>();
      if (!value || !parseAddress(*value)) {
        fail(&it, quoted(Key) + " must be a list of IP:port");
        return;
      }
      Values.push_back(*value);
    }
  }

  const toml::table *section(const char *Key) {
    const toml::node *node = take(Key, false);
    if (!node)
      return nullptr;
    if (!node->as_table())
      fail(node, quoted(Key) + " must be a table");
    return node->as_table();
  }

  /// Reports the first key that nobody asked for.
  void finish() {
    for (const auto &[key, node] : Table)
      if (!Known.contains(std::string(key.str())))
        fail(&node, "unknown key " + quoted(std::string(key.str())));
  }

  void fail(const toml::node *Node, const std::string &Reason) {
    if (isFailed())
      return;
    Problem.Line = Node ? Node->source().begin.line : 0;
    Problem.Reason = Reason;
  }

  bool isFailed() const { return !Problem.Reason.empty(); }
  const toml::node *node(const char *Key) const { return Table.get(Key); }

private:
  std::string quoted(const std::string &Key) const {
    return "'" + (Section.empty() ? Key : Section + "." + Key) + "'";
  }

  const toml::node *take(const char *Key, bool IsNeeded) {
    Known.insert(Key);
    if (isFailed())
      return nullptr;
    const toml::node *node = Table.get(Key);
    if (!node && IsNeeded)
      fail(nullptr, quoted(Key) + " is missing");
    return node;
  }

  const toml::table &Table;
  std::string Section;
  SettingsProblem &Problem;
  std::set<std::string> Known;
};

void readRole(Reader &Root, Settings &Out) {
  std::string role;
  Root.text("role", role, true);
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
    Root.fail(Root.node("role"), "'role' must be entry, control, agent, front "
                                 "or engine_agent");
}

void readLevel(Reader &Root, Settings &Out) {
  std::string level = "info";
  Root.text("log_level", level, false);
  if (level == "debug")
    Out.Level = LogLevel::Debug;
  else if (level == "info")
    Out.Level = LogLevel::Info;
  else if (level == "warning")
    Out.Level = LogLevel::Warning;
  else if (level == "error")
    Out.Level = LogLevel::Error;
  else
    Root.fail(Root.node("log_level"),
              "'log_level' must be debug, info, warning or error");
}

void readControl(const toml::table &Table, ControlSettings &Out,
                 SettingsProblem &Problem) {
  Reader in(Table, "control_role", Problem);
  in.text("data_folder", Out.DataFolder, true);
  in.count("loads_per_second", Out.LoadsPerSecond, 1, MaxCount);
  in.count("loads_at_once", Out.LoadsAtOnce, 1, MaxCount);
  in.count("adapters_at_once", Out.AdaptersAtOnce, 1, MaxCount);
  in.count("snapshot_entries", Out.SnapshotEntries, 10, MaxCount);
  in.seconds("shortest_idle_s", Out.ShortestIdle);
  in.seconds("longest_idle_s", Out.LongestIdle);
  in.seconds("load_time_s", Out.LoadTime);
  in.price("cold_start_price", Out.ColdStartPrice);
  in.finish();
}

void readAgent(const toml::table &Table, AgentSettings &Out,
               SettingsProblem &Problem) {
  Reader in(Table, "agent_role", Problem);
  in.count("slots", Out.Slots, 1, MaxCount);
  in.text("service", Out.Service, false);
  in.finish();
}

void readEntry(const toml::table &Table, EntrySettings &Out,
               SettingsProblem &Problem) {
  Reader in(Table, "entry_role", Problem);
  in.count("head_bytes", Out.HeadBytes, 1024, MaxBytes);
  in.count("body_bytes", Out.BodyBytes, 1024, MaxBytes);
  in.finish();
}

void readFront(const toml::table &Table, FrontSettings &Out,
               SettingsProblem &Problem) {
  Reader in(Table, "front_role", Problem);
  in.address("ready", Out.Ready);
  in.address("control", Out.Control);
  in.addresses("seeds", Out.Seeds);
  in.flag("may_form", Out.MayForm);
  in.text("data_folder", Out.DataFolder, false);
  in.price("retry_ratio", Out.RetryRatio);
  in.price("retry_slack", Out.RetrySlack);
  in.seconds("rate_window_s", Out.RateWindow);
  in.price("rate_overshoot", Out.RateOvershoot);
  in.price("rate_slack", Out.RateSlack);
  in.seconds("stop_grace_s", Out.StopGrace);
  in.finish();
}

void readEngineAgent(const toml::table &Table, EngineAgentSettings &Out,
                     SettingsProblem &Problem) {
  Reader in(Table, "engine_agent_role", Problem);
  in.address("engine", Out.Engine);
  in.addresses("seeds", Out.Seeds);
  in.finish();
}

void readSections(Reader &Root, Settings &Out, SettingsProblem &Problem) {
  const toml::table *control = Root.section("control_role");
  const toml::table *agent = Root.section("agent_role");
  const toml::table *entry = Root.section("entry_role");
  if (Out.Role == NodeRole::Control && !control)
    Root.fail(nullptr, "[control_role] is missing");
  const toml::table *front = Root.section("front_role");
  const toml::table *engineAgent = Root.section("engine_agent_role");
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

void checkTogether(Reader &Root, const Settings &Out) {
  if (Out.KeySalt.size() < MinSaltLength)
    Root.fail(Root.node("key_salt"), "'key_salt' needs at least 16 characters");
  if (Out.Control.size() % 2 == 0)
    Root.fail(Root.node("control"),
              "'control' needs an odd number of addresses");
  if (Out.Role != NodeRole::Control)
    return;
  for (const std::string &it : Out.Control)
    if (it == Out.Listen)
      return;
  Root.fail(Root.node("listen"),
            "'listen' of a control process must be in 'control'");
}

} // namespace

std::string describe(const SettingsProblem &Problem) {
  std::string text = Problem.File;
  if (Problem.Line > 0)
    text += ":" + std::to_string(Problem.Line);
  return text + ": " + Problem.Reason;
}

std::optional<Settings> readSettings(const std::string &File,
                                     SettingsProblem &Problem) {
  Problem.File = File;
  toml::table table;
  try {
    table = toml::parse_file(File);
  } catch (const toml::parse_error &error) {
    Problem.Line = error.source().begin.line;
    Problem.Reason = std::string(error.description());
    return std::nullopt;
  }
  Settings out;
  Reader root(table, "", Problem);
  readRole(root, out);
  root.text("fleet", out.Fleet, true);
  root.text("node", out.Node, true);
  root.text("zone", out.Zone, true);
  root.address("listen", out.Listen);
  root.address("http", out.Http);
  bool isPrepared =
      out.Role == NodeRole::Front || out.Role == NodeRole::EngineAgent;
  if (!isPrepared) {
    root.addresses("control", out.Control);
    root.text("key_salt", out.KeySalt, true);
  }
  readLevel(root, out);
  readSections(root, out, Problem);
  root.finish();
  if (!root.isFailed() && !isPrepared)
    checkTogether(root, out);
  if (root.isFailed())
    return std::nullopt;
  return out;
}

} // namespace sassafras
