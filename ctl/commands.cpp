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

constexpr Millis CallTimeout{10'000};
constexpr Millis InForceTimeout{20'000};
constexpr Millis InForcePollInterval{100};

/// Settings, options and client that all commands use.
struct CommandContext {
  const Settings &Config;
  const ToolOptions &Options;
  ControlClient Client;
};

ToolExit fail(ToolExit Code, const std::string &Reason) {
  std::cerr << "sassafrasctl: " << Reason << '\n';
  return Code;
}

/// Fails because no leader replied. First prints what each other member that
/// replied is waiting for.
ToolExit failUnreachable(const CommandContext &Context) {
  for (const auto &[node, status] : Context.Client.otherReplies())
    if (!status.waits_for().empty())
      std::cerr << "sassafrasctl: " << node << " has no leader and waits for "
                << status.waits_for() << '\n';
  return fail(ToolExit::Unreachable, "no leader answered in time");
}

std::vector<wire::TableRow> listRows(const wire::StatusReply &Reply) {
  std::vector<wire::TableRow> rows;
  for (const wire::Item &it : Reply.items())
    rows.push_back(it.row());
  return rows;
}

void printObject(const json::object &Object) {
  std::cout << json::serialize(Object) << '\n';
}

// ---- Changes ----

/// Waits until each node has applied \p Version or its lease has expired. On a
/// time-out, prints the nodes that have not applied it.
ToolExit waitInForce(CommandContext &Context, uint64_t Version) {
  TimePoint deadline = Clock::now() + InForceTimeout;
  std::string nodesBehind;
  while (!isPast(deadline, Clock::now())) {
    auto status = Context.Client.status("");
    if (status && status->in_force_version() >= Version)
      return ToolExit::Ok;
    nodesBehind.clear();
    if (status)
      for (const wire::NodeStatus &it : status->nodes())
        if (it.applied_version() < Version)
          nodesBehind += " " + it.name();
    std::this_thread::sleep_for(InForcePollInterval);
  }
  return fail(ToolExit::Unreachable,
              "accepted, but not yet in force; not applied by:" + nodesBehind);
}

ToolExit finishChange(CommandContext &Context,
                      const std::optional<wire::ProposalReply> &Reply,
                      json::object Details) {
  if (!Reply)
    return failUnreachable(Context);
  if (Reply->status() == wire::PROPOSAL_CONFLICT)
    return fail(ToolExit::Conflict, Reply->reason());
  if (Reply->status() != wire::PROPOSAL_ACCEPTED)
    return fail(ToolExit::Refused, Reply->reason());
  if (Context.Options.WaitsUntilInForce) {
    ToolExit code = waitInForce(Context, Reply->version());
    if (code != ToolExit::Ok)
      return code;
  }
  const char *state =
      Context.Options.WaitsUntilInForce ? "in force" : "accepted";
  if (Context.Options.IsJson) {
    Details["state"] = state;
    Details["version"] = Reply->version();
    Details["table_version"] = Reply->table_version();
    printObject(Details);
    return ToolExit::Ok;
  }
  std::cout << state << ", table version " << Reply->table_version() << '\n';
  for (const auto &it : Details)
    std::cout << std::string_view(it.key().data(), it.key().size()) << ' '
              << it.value().as_string().c_str() << '\n';
  return ToolExit::Ok;
}

wire::Command makeCommand(const CommandContext &Context) {
  wire::Command command;
  command.set_operation_id(Context.Options.OperationId);
  return command;
}

// ---- Table ----

ToolExit getTable(CommandContext &Context) {
  auto status = Context.Client.status("row/");
  if (!status)
    return failUnreachable(Context);
  std::string csv = formatTable(listRows(*status));
  if (!Context.Options.IsJson) {
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

ToolExit putTable(CommandContext &Context, const std::string &File) {
  std::string reason;
  auto rows = readTable(File, reason);
  if (!rows)
    return fail(ToolExit::Usage, reason);
  uint64_t base = 0;
  if (Context.Options.BaseVersion) {
    base = *Context.Options.BaseVersion;
  } else {
    auto status = Context.Client.status("");
    if (!status)
      return failUnreachable(Context);
    base = status->table_version();
  }
  wire::Command command = makeCommand(Context);
  command.mutable_table_edit()->set_base_version(base);
  for (const wire::TableRow &it : *rows)
    *command.mutable_table_edit()->add_rows() = it;
  return finishChange(Context, Context.Client.propose(std::move(command)), {});
}

ToolExit diffTable(CommandContext &Context, const std::string &File) {
  std::string reason;
  auto rows = readTable(File, reason);
  if (!rows)
    return fail(ToolExit::Usage, reason);
  auto status = Context.Client.status("row/");
  if (!status)
    return failUnreachable(Context);
  std::map<std::string, std::string> old;
  for (const wire::TableRow &it : listRows(*status))
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

ToolExit grantKey(CommandContext &Context, const std::string &Organisation) {
  std::string key = generateKey();
  wire::Command command = makeCommand(Context);
  wire::KeyGrant &grant = *command.mutable_key_grant();
  grant.set_tenant(Organisation);
  grant.set_key_hash(hashKey(Context.Config.KeySalt, key));
  std::string id = Context.Options.KeyId;
  grant.set_key_id(id.empty() ? grant.key_hash().substr(0, 12) : id);
  json::object details{{"id", grant.key_id()}, {"key", key}};
  return finishChange(Context, Context.Client.propose(std::move(command)),
                      details);
}

ToolExit withdrawKey(CommandContext &Context, const std::string &Id) {
  wire::Command command = makeCommand(Context);
  command.mutable_key_withdraw()->set_key_id(Id);
  return finishChange(Context, Context.Client.propose(std::move(command)), {});
}

ToolExit listKeys(CommandContext &Context) {
  auto status = Context.Client.status("key/");
  if (!status)
    return failUnreachable(Context);
  json::array list;
  for (const wire::Item &it : status->items()) {
    if (Context.Options.IsJson)
      list.push_back(
          {{"id", it.key().key_id()}, {"organisation", it.key().tenant()}});
    else
      std::cout << it.key().key_id() << ' ' << it.key().tenant() << '\n';
  }
  if (Context.Options.IsJson)
    std::cout << json::serialize(list) << '\n';
  return ToolExit::Ok;
}

// ---- Evacuations ----

/// Starts the evacuation of \p Zone, or ends it.
ToolExit evacuate(CommandContext &Context, const std::string &Zone) {
  bool isFrontFleet = Context.Config.Role == NodeRole::Front ||
                      Context.Config.Role == NodeRole::EngineAgent;
  if (!isFrontFleet)
    return fail(ToolExit::Usage, "only fleets of fronts can evacuate a zone");
  wire::Command command = makeCommand(Context);
  command.mutable_evacuation()->set_zone(Zone);
  command.mutable_evacuation()->set_is_active(!Context.Options.IsEnd);
  auto reply = Context.Client.propose(std::move(command));
  if (!reply)
    return failUnreachable(Context);
  if (reply->status() != wire::PROPOSAL_ACCEPTED)
    return fail(ToolExit::Refused, reply->reason());
  if (!reply->reason().empty())
    std::cerr << "sassafrasctl: " << reply->reason() << '\n';
  const char *state = Context.Options.IsEnd ? "taken back" : "evacuated";
  if (Context.Options.IsJson)
    printObject({{"zone", Zone},
                 {"state", state},
                 {"version", reply->version()},
                 {"warning", reply->reason()}});
  else
    std::cout << Zone << ' ' << state << ", version " << reply->version()
              << '\n';
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

const char *endpointState(const wire::Endpoint &Endpoint) {
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
                       {"stopping", it.is_stopping()},
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
  json::array zones;
  for (const wire::EvacuatedZone &it : Status.evacuations().zones())
    zones.push_back({{"zone", it.zone()},
                     {"evacuated", it.is_active()},
                     {"version", it.version()},
                     {"for_ms", it.changed_ms()}});
  out["evacuations"] = std::move(zones);
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
              << " ms ago, " << it.missing() << " entries missing"
              << (it.is_stopping() ? ", stopping" : "") << '\n';
  for (const wire::NodeStatus &it : Status.nodes())
    std::cout << "node " << it.name() << ' '
              << (it.is_agent() ? "agent" : "entry") << " at version "
              << it.applied_version() << ", silent for " << it.silent_ms()
              << " ms\n";
  for (const wire::EvacuatedZone &it : Status.evacuations().zones())
    std::cout << "zone " << it.zone() << ' '
              << (it.is_active() ? "evacuated" : "taken back") << " for "
              << it.changed_ms() << " ms, version " << it.version() << '\n';
}

ToolExit showStatus(CommandContext &Context) {
  auto status = Context.Client.status("");
  if (!status)
    return failUnreachable(Context);
  if (Context.Options.IsJson)
    printObject(describeStatus(*status));
  else
    printStatus(*status);
  return ToolExit::Ok;
}

/// Prints the replicas of \p Row and of the adapters based on it, or all
/// replicas when \p Row is empty.
ToolExit listReplicas(CommandContext &Context, const std::string &Row) {
  auto status = Context.Client.status("replica/");
  if (!status)
    return failUnreachable(Context);
  json::array list;
  for (const wire::Item &it : status->items()) {
    const wire::Replica &replica = it.replica();
    if (!Row.empty() && replica.row() != Row && replica.base() != Row)
      continue;
    if (Context.Options.IsJson)
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
  if (Context.Options.IsJson)
    std::cout << json::serialize(list) << '\n';
  return ToolExit::Ok;
}

std::string
joinNames(const google::protobuf::RepeatedPtrField<std::string> &Values) {
  std::string out;
  for (const std::string &name : Values)
    out += (out.empty() ? "" : ",") + name;
  return out;
}

json::object describeEndpoint(const wire::EndpointStatus &Report) {
  return {{"name", Report.id()},
          {"service", Report.service()},
          {"zone", Report.zone()},
          {"address", Report.address()},
          {"state", Report.state()},
          {"active", Report.active()},
          {"queued", Report.queued()},
          {"slots", Report.slots()},
          {"report_age_ms", Report.report_age_ms()},
          {"models", joinNames(Report.models())},
          {"in_memory", joinNames(Report.in_memory())},
          {"on_disk", joinNames(Report.on_disk())}};
}

/// Prints the endpoints as the leading front reports them.
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

ToolExit listEndpoints(CommandContext &Context) {
  auto status = Context.Client.status("endpoint/");
  if (!status)
    return failUnreachable(Context);
  bool isFrontFleet = Context.Config.Role == NodeRole::Front ||
                      Context.Config.Role == NodeRole::EngineAgent;
  if (isFrontFleet) {
    printFrontEndpoints(*status, Context.Options.IsJson);
    return ToolExit::Ok;
  }
  json::array list;
  for (const wire::Item &it : status->items()) {
    const wire::Endpoint &endpoint = it.endpoint();
    if (Context.Options.IsJson)
      list.push_back({{"name", endpoint.name()},
                      {"zone", endpoint.zone()},
                      {"state", endpointState(endpoint)},
                      {"service", endpoint.service()},
                      {"memory_mb", endpoint.memory_mb()}});
    else
      std::cout << endpoint.name() << ' ' << endpoint.zone() << ' '
                << endpointState(endpoint) << ' ' << endpoint.memory_mb()
                << " MB\n";
  }
  if (Context.Options.IsJson)
    std::cout << json::serialize(list) << '\n';
  return ToolExit::Ok;
}

/// Prints the limits of a row and where it is loaded.
ToolExit explainRow(CommandContext &Context, const std::string &Row) {
  auto status = Context.Client.status("row/" + Row);
  if (!status)
    return failUnreachable(Context);
  const wire::TableRow *row = nullptr;
  for (const wire::Item &it : status->items())
    if (it.row().name() == Row)
      row = &it.row();
  if (!row)
    return fail(ToolExit::Refused, "the table has no row " + Row);
  if (!Context.Options.IsJson)
    std::cout << Row << ": at most " << row->max_replicas() << " replicas of "
              << row->memory_mb() << " MB, longest wait "
              << row->longest_wait_ms() << " ms\n";
  return listReplicas(Context, Row);
}

} // namespace

ToolExit runCommand(const Settings &Settings, const ToolOptions &Options,
                    const std::vector<std::string> &Arguments) {
  auto matches = [&](std::initializer_list<std::string_view> Names,
                     size_t Operands) {
    return Arguments.size() == Names.size() + Operands &&
           std::equal(Names.begin(), Names.end(), Arguments.begin());
  };
  CommandContext context{Settings, Options,
                         ControlClient(Settings, CallTimeout)};
  if (matches({"table", "get"}, 0))
    return getTable(context);
  if (matches({"table", "put"}, 1))
    return putTable(context, Arguments.back());
  if (matches({"table", "diff"}, 1))
    return diffTable(context, Arguments.back());
  if (matches({"key", "grant"}, 1))
    return grantKey(context, Arguments.back());
  if (matches({"key", "withdraw"}, 1))
    return withdrawKey(context, Arguments.back());
  if (matches({"key", "list"}, 0))
    return listKeys(context);
  if (matches({"evacuate"}, 1))
    return evacuate(context, Arguments.back());
  if (matches({"status"}, 0))
    return showStatus(context);
  if (matches({"endpoints"}, 0))
    return listEndpoints(context);
  if (matches({"replicas"}, 0))
    return listReplicas(context, "");
  if (matches({"explain"}, 1))
    return explainRow(context, Arguments.back());
  return fail(ToolExit::Usage, "unknown command; see --help");
}

ToolExit explainRequest(const std::vector<std::string> &Arguments) {
  std::vector<LogLine> lines;
  for (size_t i = 2; i < Arguments.size(); ++i) {
    if (Arguments[i] == "-") {
      readLog(std::cin, lines);
      continue;
    }
    std::ifstream in(Arguments[i]);
    if (!in)
      return fail(ToolExit::Usage, "cannot read " + Arguments[i]);
    readLog(in, lines);
  }
  auto trace = traceRequest(lines, Arguments[1]);
  if (trace.empty())
    return fail(ToolExit::Refused, "none of " + std::to_string(lines.size()) +
                                       " log lines belongs to request " +
                                       Arguments[1]);
  for (const LogLine &it : trace)
    std::cout << it.Text << '\n';
  return ToolExit::Ok;
}

} // namespace sassafras
