#include "ctl/commands.h"

#include "core/hash.h"
#include "ctl/client.h"
#include "ctl/log_trace.h"
#include "fleet/item_store.h"
#include "fleet/table.h"

#include <boost/json.hpp>

#include <cstdio>
#include <fstream>
#include <iostream>
#include <map>
#include <sstream>
#include <thread>

namespace sassafras {

namespace {

namespace json = boost::json;

constexpr Millis CallLimit{10'000};
constexpr Millis InForceLimit{20'000};
constexpr Millis InForcePoll{100};

/// What every command works with.
struct Tool {
  const Settings &Config;
  const ToolOptions &Options;
  ControlClient Client;
};

ToolExit fail(ToolExit Code, const std::string &Reason) {
  std::cerr << "sassafrasctl: " << Reason << '\n';
  return Code;
}

/// No leader: each member that answers says what it waits for.
ToolExit unreachable(const Tool &Tool) {
  for (const auto &[node, status] : Tool.Client.others())
    if (!status.waits_for().empty())
      std::cerr << "sassafrasctl: " << node << " has no leader and waits for "
                << status.waits_for() << '\n';
  return fail(ToolExit::Unreachable, "no leader answered in time");
}

std::vector<wire::TableRow> rowsOf(const wire::StatusReply &Reply) {
  std::vector<wire::TableRow> rows;
  for (const wire::Item &it : Reply.items())
    rows.push_back(it.row());
  return rows;
}

void printObject(const json::object &Object) {
  std::cout << json::serialize(Object) << '\n';
}

// ---- Changes ----

/// Waits until every node has the change or its lease has ended.
ToolExit waitInForce(Tool &Tool, uint64_t Version) {
  TimePoint deadline = Clock::now() + InForceLimit;
  std::string missing;
  while (!isPast(deadline, Clock::now())) {
    auto status = Tool.Client.status("");
    if (status && status->in_force_version() >= Version)
      return ToolExit::Ok;
    missing.clear();
    if (status)
      for (const wire::NodeStatus &it : status->nodes())
        if (it.applied_version() < Version)
          missing += " " + it.name();
    std::this_thread::sleep_for(InForcePoll);
  }
  return fail(ToolExit::Unreachable,
              "accepted, but not yet in force; missing:" + missing);
}

ToolExit finishChange(Tool &Tool,
                      const std::optional<wire::ProposalReply> &Reply,
                      json::object Extra) {
  if (!Reply)
    return unreachable(Tool);
  if (Reply->status() == wire::PROPOSAL_CONFLICT)
    return fail(ToolExit::Conflict, Reply->reason());
  if (Reply->status() != wire::PROPOSAL_ACCEPTED)
    return fail(ToolExit::Refused, Reply->reason());
  if (Tool.Options.IsWaiting) {
    ToolExit code = waitInForce(Tool, Reply->version());
    if (code != ToolExit::Ok)
      return code;
  }
  const char *state = Tool.Options.IsWaiting ? "in force" : "accepted";
  if (Tool.Options.IsJson) {
    Extra["state"] = state;
    Extra["version"] = Reply->version();
    Extra["table_version"] = Reply->table_version();
    printObject(Extra);
    return ToolExit::Ok;
  }
  std::cout << state << ", table version " << Reply->table_version() << '\n';
  for (const auto &it : Extra)
    std::cout << std::string_view(it.key().data(), it.key().size()) << ' '
              << it.value().as_string().c_str() << '\n';
  return ToolExit::Ok;
}

wire::Command makeCommand(const Tool &Tool) {
  wire::Command command;
  command.set_operation_id(Tool.Options.OperationId);
  return command;
}

// ---- Table ----

ToolExit getTable(Tool &Tool) {
  auto status = Tool.Client.status("row/");
  if (!status)
    return unreachable(Tool);
  std::string csv = printTable(rowsOf(*status));
  if (!Tool.Options.IsJson) {
    std::cerr << "version " << status->table_version() << '\n';
    std::cout << csv;
    return ToolExit::Ok;
  }
  printObject({{"version", status->table_version()}, {"csv", csv}});
  return ToolExit::Ok;
}

std::optional<std::vector<wire::TableRow>> readTable(const std::string &File,
                                                     std::string &Reason) {
  std::ifstream in(File);
  if (!in) {
    Reason = "cannot read " + File;
    return std::nullopt;
  }
  std::ostringstream csv;
  csv << in.rdbuf();
  TableProblem problem;
  auto rows = parseTable(csv.str(), problem);
  if (rows)
    if (auto bad = checkTable(*rows)) {
      problem = *bad;
      rows.reset();
    }
  if (!rows)
    Reason = File + ": " + describe(problem);
  return rows;
}

ToolExit putTable(Tool &Tool, const std::string &File) {
  std::string reason;
  auto rows = readTable(File, reason);
  if (!rows)
    return fail(ToolExit::Usage, reason);
  uint64_t base = 0;
  if (Tool.Options.Base) {
    base = *Tool.Options.Base;
  } else {
    auto status = Tool.Client.status("");
    if (!status)
      return unreachable(Tool);
    base = status->table_version();
  }
  wire::Command command = makeCommand(Tool);
  command.mutable_table_edit()->set_base_version(base);
  for (const wire::TableRow &it : *rows)
    *command.mutable_table_edit()->add_rows() = it;
  return finishChange(Tool, Tool.Client.propose(std::move(command)), {});
}

ToolExit diffTable(Tool &Tool, const std::string &File) {
  std::string reason;
  auto rows = readTable(File, reason);
  if (!rows)
    return fail(ToolExit::Usage, reason);
  auto status = Tool.Client.status("row/");
  if (!status)
    return unreachable(Tool);
  std::map<std::string, std::string> old;
  for (const wire::TableRow &it : rowsOf(*status))
    old[it.name()] = it.SerializeAsString();
  for (const wire::TableRow &it : *rows) {
    auto known = old.find(it.name());
    if (known == old.end())
      std::cout << "+ " << it.name() << '\n';
    else if (known->second != it.SerializeAsString())
      std::cout << "~ " << it.name() << '\n';
    old.erase(it.name());
  }
  for (const auto &[name, row] : old)
    std::cout << "- " << name << '\n';
  return ToolExit::Ok;
}

// ---- Keys ----

ToolExit grantKey(Tool &Tool, const std::string &Tenant) {
  std::string key = generateKey();
  wire::Command command = makeCommand(Tool);
  wire::KeyGrant &grant = *command.mutable_key_grant();
  grant.set_tenant(Tenant);
  grant.set_key_hash(hashKey(Tool.Config.KeySalt, key));
  std::string id = Tool.Options.KeyId;
  grant.set_key_id(id.empty() ? grant.key_hash().substr(0, 12) : id);
  json::object extra{{"id", grant.key_id()}, {"key", key}};
  return finishChange(Tool, Tool.Client.propose(std::move(command)), extra);
}

ToolExit withdrawKey(Tool &Tool, const std::string &Id) {
  wire::Command command = makeCommand(Tool);
  command.mutable_key_withdraw()->set_key_id(Id);
  return finishChange(Tool, Tool.Client.propose(std::move(command)), {});
}

ToolExit listKeys(Tool &Tool) {
  auto status = Tool.Client.status("key/");
  if (!status)
    return unreachable(Tool);
  json::array list;
  for (const wire::Item &it : status->items()) {
    if (Tool.Options.IsJson)
      list.push_back(
          {{"id", it.key().key_id()}, {"organisation", it.key().tenant()}});
    else
      std::cout << it.key().key_id() << ' ' << it.key().tenant() << '\n';
  }
  if (Tool.Options.IsJson)
    std::cout << json::serialize(list) << '\n';
  return ToolExit::Ok;
}

// ---- Status ----

const char *phaseName(wire::ReplicaPhase Phase) {
  switch (Phase) {
  case wire::PHASE_LOADING:
    return "loading";
  case wire::PHASE_LOADED:
    return "loaded";
  case wire::PHASE_UNLOADING:
    return "unloading";
  default:
    return "unknown";
  }
}

const char *stateOf(const wire::Endpoint &Endpoint) {
  if (Endpoint.leaving())
    return "leaving";
  return Endpoint.ready() ? "ready" : "silent";
}

json::object describeStatus(const wire::StatusReply &Status) {
  json::object out{{"leader", Status.leader_address()},
                   {"term", Status.term()},
                   {"version", Status.version()},
                   {"table_version", Status.table_version()},
                   {"in_force_version", Status.in_force_version()}};
  json::array members;
  for (const wire::MemberStatus &it : Status.member_states())
    members.push_back({{"name", it.member().name()},
                       {"identity", it.member().identity()},
                       {"address", it.member().address()},
                       {"voter", it.member().voter()},
                       {"heard", it.is_heard()},
                       {"silent_ms", it.silent_ms()},
                       {"missing_entries", it.missing()}});
  out["members"] = std::move(members);
  out["losses_borne"] = Status.losses_borne();
  json::array nodes;
  for (const wire::NodeStatus &it : Status.nodes())
    nodes.push_back({{"name", it.name()},
                     {"applied_version", it.applied_version()},
                     {"silent_ms", it.silent_ms()},
                     {"agent", it.is_agent()}});
  out["nodes"] = std::move(nodes);
  return out;
}

void printStatus(const wire::StatusReply &Status) {
  std::cout << "leader " << Status.leader_address() << ", term "
            << Status.term() << ", version " << Status.version()
            << ", table version " << Status.table_version()
            << ", in force from " << Status.in_force_version() << '\n'
            << "losses borne now: " << Status.losses_borne() << '\n';
  for (const wire::MemberStatus &it : Status.member_states())
    std::cout << "member " << it.member().name() << ' ' << it.member().address()
              << ' ' << (it.member().voter() ? "voter" : "learner")
              << " identity " << it.member().identity() << ' '
              << (it.is_heard() ? "heard" : "silent") << ' ' << it.silent_ms()
              << " ms ago, " << it.missing() << " entries missing\n";
  for (const wire::NodeStatus &it : Status.nodes())
    std::cout << "node " << it.name() << ' '
              << (it.is_agent() ? "agent" : "entry") << " at version "
              << it.applied_version() << ", silent for " << it.silent_ms()
              << " ms\n";
}

ToolExit showStatus(Tool &Tool) {
  auto status = Tool.Client.status("");
  if (!status)
    return unreachable(Tool);
  if (Tool.Options.IsJson)
    printObject(describeStatus(*status));
  else
    printStatus(*status);
  return ToolExit::Ok;
}

ToolExit listReplicas(Tool &Tool, const std::string &Row) {
  auto status = Tool.Client.status("replica/");
  if (!status)
    return unreachable(Tool);
  json::array list;
  for (const wire::Item &it : status->items()) {
    const wire::Replica &replica = it.replica();
    if (!Row.empty() && replica.row() != Row && replica.base() != Row)
      continue;
    if (Tool.Options.IsJson)
      list.push_back({{"row", replica.row()},
                      {"endpoint", replica.endpoint()},
                      {"phase", phaseName(replica.phase())},
                      {"memory_mb", replica.memory_mb()},
                      {"fence", replica.fence()}});
    else
      std::cout << replica.row() << " on " << replica.endpoint() << ' '
                << phaseName(replica.phase()) << ' ' << replica.memory_mb()
                << " MB\n";
  }
  if (Tool.Options.IsJson)
    std::cout << json::serialize(list) << '\n';
  return ToolExit::Ok;
}

std::string
joinNames(const google::protobuf::RepeatedPtrField<std::string> &It) {
  std::string out;
  for (const std::string &name : It)
    out += (out.empty() ? "" : ",") + name;
  return out;
}

json::object describeEndpoint(const wire::EndpointStatus &It) {
  return {{"name", It.id()},
          {"service", It.service()},
          {"zone", It.zone()},
          {"address", It.address()},
          {"state", It.state()},
          {"active", It.active()},
          {"queued", It.queued()},
          {"slots", It.slots()},
          {"report_age_ms", It.report_age_ms()},
          {"models", joinNames(It.models())},
          {"in_memory", joinNames(It.in_memory())},
          {"on_disk", joinNames(It.on_disk())}};
}

/// Endpoints as the leading front sees them.
void printFrontEndpoints(const wire::StatusReply &Status, bool IsJson) {
  json::array list;
  for (const wire::EndpointStatus &it : Status.endpoints()) {
    if (IsJson)
      list.push_back(describeEndpoint(it));
    else
      std::cout << it.id() << ' ' << it.service() << ' ' << it.zone() << ' '
                << it.state() << ' ' << it.active() << '+' << it.queued()
                << " of " << it.slots() << ", seen " << it.report_age_ms()
                << " ms ago, models " << joinNames(it.models()) << '\n';
  }
  if (IsJson)
    std::cout << json::serialize(list) << '\n';
}

ToolExit listEndpoints(Tool &Tool) {
  auto status = Tool.Client.status("endpoint/");
  if (!status)
    return unreachable(Tool);
  bool isOfFronts = Tool.Config.Role == NodeRole::Front ||
                    Tool.Config.Role == NodeRole::EngineAgent;
  if (isOfFronts) {
    printFrontEndpoints(*status, Tool.Options.IsJson);
    return ToolExit::Ok;
  }
  json::array list;
  for (const wire::Item &it : status->items()) {
    const wire::Endpoint &endpoint = it.endpoint();
    if (Tool.Options.IsJson)
      list.push_back({{"name", endpoint.name()},
                      {"zone", endpoint.zone()},
                      {"state", stateOf(endpoint)},
                      {"service", endpoint.service()},
                      {"memory_mb", endpoint.memory_mb()}});
    else
      std::cout << endpoint.name() << ' ' << endpoint.zone() << ' '
                << stateOf(endpoint) << ' ' << endpoint.memory_mb() << " MB\n";
  }
  if (Tool.Options.IsJson)
    std::cout << json::serialize(list) << '\n';
  return ToolExit::Ok;
}

/// Why a row is where it is, or why it is nowhere.
ToolExit explainRow(Tool &Tool, const std::string &Row) {
  auto status = Tool.Client.status("row/" + Row);
  if (!status)
    return unreachable(Tool);
  const wire::TableRow *row = nullptr;
  for (const wire::Item &it : status->items())
    if (it.row().name() == Row)
      row = &it.row();
  if (!row)
    return fail(ToolExit::Refused, "the table has no row " + Row);
  if (!Tool.Options.IsJson)
    std::cout << Row << ": at most " << row->max_replicas() << " replicas of "
              << row->memory_mb() << " MB, longest wait "
              << row->longest_wait_ms() << " ms\n";
  return listReplicas(Tool, Row);
}

} // namespace

ToolExit runCommand(const Settings &Settings, const ToolOptions &Options,
                    const std::vector<std::string> &Words) {
  auto is = [&](std::initializer_list<std::string_view> Names, size_t Extra) {
    return Words.size() == Names.size() + Extra &&
           std::equal(Names.begin(), Names.end(), Words.begin());
  };
  Tool tool{Settings, Options, ControlClient(Settings, CallLimit)};
  if (is({"table", "get"}, 0))
    return getTable(tool);
  if (is({"table", "put"}, 1))
    return putTable(tool, Words.back());
  if (is({"table", "diff"}, 1))
    return diffTable(tool, Words.back());
  if (is({"key", "grant"}, 1))
    return grantKey(tool, Words.back());
  if (is({"key", "withdraw"}, 1))
    return withdrawKey(tool, Words.back());
  if (is({"key", "list"}, 0))
    return listKeys(tool);
  if (is({"status"}, 0))
    return showStatus(tool);
  if (is({"endpoints"}, 0))
    return listEndpoints(tool);
  if (is({"replicas"}, 0))
    return listReplicas(tool, "");
  if (is({"explain"}, 1))
    return explainRow(tool, Words.back());
  return fail(ToolExit::Usage, "unknown command; see --help");
}

ToolExit explainRequest(const std::vector<std::string> &Words) {
  std::vector<LogLine> lines;
  for (size_t i = 2; i < Words.size(); ++i) {
    if (Words[i] == "-") {
      readLog(std::cin, lines);
      continue;
    }
    std::ifstream in(Words[i]);
    if (!in)
      return fail(ToolExit::Usage, "cannot read " + Words[i]);
    readLog(in, lines);
  }
  auto trace = traceRequest(lines, Words[1]);
  if (trace.empty())
    return fail(ToolExit::Refused, "no line of " +
                                       std::to_string(lines.size()) +
                                       " tells of request " + Words[1]);
  for (const LogLine &it : trace)
    std::cout << it.Text << '\n';
  return ToolExit::Ok;
}

} // namespace sassafras
