/// \file
/// Replays of the messages by which a large fleet keeps its views equal: 70
/// fronts and 120 engines in six zones. Agents and fronts exchange real
/// messages, which arrive at once unless a host is cut off.
#include "engine_agent/report_targets.h"
#include "fleet/zone_relays.h"
#include "front/fleet_view.h"

#include <catch2/catch.hpp>

#include <memory>

using namespace sassafras;

namespace {

const TimePoint Start = TimePoint() + std::chrono::hours(1);
constexpr Millis Step{100};
constexpr size_t Zones = 6;
constexpr size_t Fronts = 70;
constexpr size_t Engines = 120;
/// Limit on what the control of the fleet costs a node, from the size to design
/// for.
constexpr double MaxBytesPerSecond = 18'000;
/// A withdrawn endpoint or a new table is in force within this time.
constexpr Millis InForceTime{3'000};

std::string zoneOf(size_t Number) {
  return "zone-" + std::to_string(Number % Zones);
}

struct Host {
  FrontState State;
  GossipState Gossip;
  FleetDemand Demand;
};

struct Agent {
  wire::NodeEntry Self;
  Roster Fronts;
  std::string Engine;
  uint64_t NextNumber = 1;
};

class Fleet {
public:
  Fleet();
  void run(Millis Time);
  /// All messages from and to the front are lost.
  void cutOff(const std::string &Name) { IsCutOff.insert(Name); }
  /// An agent reports that its engine holds \p Model and \p Active requests.
  void report(size_t Engine, const std::string &Model, uint32_t Active);
  void announce(size_t Engine, bool IsDraining);

  std::vector<std::unique_ptr<Host>> Hosts;
  std::vector<Agent> Agents;
  size_t BytesBetweenZones = 0;
  TimePoint Now = Start;

private:
  void deliver(const std::string &From, const std::string &FromZone,
               const NodeMessages &Messages);
  std::map<std::string, Host *> ByAddress;
  std::set<std::string> IsCutOff;
  std::vector<uint64_t> Sequences = std::vector<uint64_t>(Engines);
};

Fleet::Fleet() {
  for (size_t i = 0; i < Fronts; ++i) {
    auto host = std::make_unique<Host>();
    wire::NodeEntry &self = host->State.Self;
    self.set_name("front-" + std::to_string(i));
    self.set_address("10.1.0." + std::to_string(i) + ":7600");
    self.set_control_address("10.1.0." + std::to_string(i) + ":8229");
    self.set_incarnation(1'777'719'776'044);
    self.set_kind(wire::NODE_FRONT);
    self.set_zone(zoneOf(i));
    host->State.EndpointDiscoveryEnd = Start;
    host->Gossip.Seeds = {"10.1.0.0:7600", "10.1.0.1:7600", "10.1.0.2:7600"};
    ByAddress[self.address()] = host.get();
    Hosts.push_back(std::move(host));
  }
  for (size_t i = 0; i < Engines; ++i) {
    Agent agent;
    agent.Self.set_name("side-" + std::to_string(i));
    agent.Self.set_address("10.2.0." + std::to_string(i) + ":7600");
    agent.Self.set_incarnation(1);
    agent.Self.set_zone(zoneOf(i));
    agent.Engine = "10.2.0." + std::to_string(i) + ":8000";
    Agents.push_back(std::move(agent));
  }
}

void Fleet::deliver(const std::string &From, const std::string &FromZone,
                    const NodeMessages &Messages) {
  for (const NodeMessage &it : Messages) {
    auto target = ByAddress.find(it.Address);
    if (target == ByAddress.end())
      continue;
    Host &host = *target->second;
    if (host.State.Self.zone() != FromZone)
      BytesBetweenZones += it.Message.ByteSizeLong();
    if (IsCutOff.contains(From) || IsCutOff.contains(host.State.Self.name()))
      continue;
    NodeMessages out;
    const wire::Envelope &message = it.Message;
    if (message.has_node_heartbeat())
      handleNodeHeartbeat(host.State, host.Gossip, host.Demand,
                          message.node_heartbeat(), Now, out);
    else if (message.has_roster_update())
      applyRosterUpdate(host.State, message.roster_update(), Now);
    else if (message.has_endpoint_news())
      handleEndpointUpdate(host.State, message.endpoint_news(), Now, out);
    else if (message.has_zone_summary())
      handleZoneSummary(host.State, host.Gossip, message.zone_summary(), Now,
                        out);
    else if (message.has_engine_report())
      handleEngineReport(host.State, message.engine_report(), Now, out);
    deliver(host.State.Self.name(), host.State.Self.zone(), out);
  }
}

void Fleet::announce(size_t Engine, bool IsDraining) {
  Host &host = *Hosts[Engine % Fronts];
  wire::EndpointObservation observation;
  observation.set_id("i-" + std::to_string(Engine));
  observation.set_service("models");
  observation.set_address(Agents[Engine].Engine);
  observation.set_zone(zoneOf(Engine));
  observation.set_born_ms(1);
  observation.set_sequence(++Sequences[Engine]);
  observation.set_slots(12);
  observation.set_is_draining(IsDraining);
  NodeMessages out;
  handleAnnouncement(host.State, host.Gossip, observation, Now, out);
  deliver(host.State.Self.name(), host.State.Self.zone(), out);
}

void Fleet::report(size_t Engine, const std::string &Model, uint32_t Active) {
  Agent &agent = Agents[Engine];
  // The fronts of the agent's zone tell it the roster.
  for (const auto &it : Hosts)
    if (it->State.Self.zone() == agent.Self.zone()) {
      auto update = makeRosterUpdate(it->State.Roster, it->State.Self, Now);
      for (const wire::NodeEntry &node : update.nodes())
        mergeNode(agent.Fronts, node, agent.Self.name(), Now);
      break;
    }
  ReportScope scope = Model.empty() ? ReportScope::Zone : ReportScope::Fleet;
  wire::EngineReport report;
  *report.mutable_self() = agent.Self;
  report.set_address(agent.Engine);
  report.set_born_ms(1);
  report.set_number(agent.NextNumber++);
  report.set_active(Active);
  report.set_is_plain(Model.empty());
  if (!Model.empty())
    report.add_models()->set_name(Model);
  NodeMessages out;
  for (const ReportTarget &it :
       chooseReportTargets(agent.Fronts, agent.Self, "", scope, Now)) {
    wire::Envelope message;
    *message.mutable_engine_report() = report;
    message.mutable_engine_report()->set_pass_on(it.PassesOn);
    out.push_back({it.Address, std::move(message)});
  }
  deliver(agent.Self.name(), agent.Self.zone(), out);
}

void Fleet::run(Millis Time) {
  for (TimePoint end = Now + Time; Now < end; Now += Step) {
    size_t tick = static_cast<size_t>((Now - Start) / Step);
    for (const auto &it : Hosts) {
      if (tick % 3 != 0)
        break;
      NodeMessages out;
      sendHeartbeats(it->State, it->Gossip, false, 0, Now, out);
      sendZoneSummaries(it->State, it->Gossip, Now, out);
      deliver(it->State.Self.name(), it->State.Self.zone(), out);
    }
    for (size_t i = 0; i < Engines; ++i) {
      if (tick % 12 == i % 12)
        announce(i, false);
      if (tick % 5 == i % 5)
        report(i, "", static_cast<uint32_t>(tick % 7));
    }
  }
}

/// Number of pairs of fronts of which the first has the second out of view.
size_t countUnseen(const Fleet &Tested, const std::set<std::string> &Ignored) {
  size_t unseen = 0;
  for (const auto &host : Tested.Hosts)
    for (const auto &other : Tested.Hosts) {
      const std::string &name = other->State.Self.name();
      if (host == other || Ignored.contains(name) ||
          Ignored.contains(host->State.Self.name()))
        continue;
      auto known = host->State.Roster.Nodes.find(name);
      unseen += known == host->State.Roster.Nodes.end() ||
                !isInView(known->second, Tested.Now);
    }
  return unseen;
}

/// Number of fronts that do not know that \p Engine holds \p Model.
size_t countWithoutModel(const Fleet &Tested, size_t Engine,
                         const std::string &Model,
                         const std::set<std::string> &Ignored) {
  size_t n = 0;
  for (const auto &host : Tested.Hosts) {
    if (Ignored.contains(host->State.Self.name()))
      continue;
    const auto &reports = host->State.Directory.AgentReports;
    auto it = reports.find(Tested.Agents[Engine].Engine);
    n += it == reports.end() || !it->second.State.Models.contains(Model);
  }
  return n;
}

std::set<std::string> firstRelayOfEachZone(const Fleet &Tested) {
  FrontsByZone fronts =
      listFrontsByZone(Tested.Hosts[0]->State.Roster, Tested.Now);
  std::set<std::string> out;
  for (const auto &[zone, it] : fronts)
    out.insert(chooseRelays(it, "").front().Name);
  return out;
}

} // namespace

TEST_CASE("control traffic between zones stays within a node's share") {
  Fleet fleet;
  fleet.run(Millis(4'000));
  for (size_t i = 0; i < Engines; ++i)
    fleet.report(i, "model-" + std::to_string(i), 0);
  fleet.run(Millis(2'000));
  REQUIRE(countUnseen(fleet, {}) == 0);
  size_t before = fleet.BytesBetweenZones;
  fleet.run(Millis(6'000));
  double perNode = static_cast<double>(fleet.BytesBetweenZones - before) / 6 /
                   (Fronts + Engines);
  CHECK(perNode < MaxBytesPerSecond / 10);
  CHECK(countUnseen(fleet, {}) == 0);
  for (const auto &host : fleet.Hosts)
    for (size_t i = 0; i < Engines; ++i) {
      const auto &known =
          host->State.Directory.Endpoints.at("i-" + std::to_string(i));
      CHECK(isUsable(known, fleet.Now));
      CHECK(fleet.Now - known.HeardAt < EndpointTimeout / 2);
      const auto &report =
          host->State.Directory.AgentReports.at(fleet.Agents[i].Engine);
      // The load of an engine in another zone is not older than by reports that
      // are stretched to 1.2 s.
      CHECK(fleet.Now - report.State.ReadAt < Millis(1'200));
    }
}

TEST_CASE("loss of one relay in each zone hides no host and no change") {
  Fleet fleet;
  fleet.run(Millis(4'000));
  REQUIRE(countUnseen(fleet, {}) == 0);
  std::set<std::string> lost = firstRelayOfEachZone(fleet);
  REQUIRE(lost.size() == Zones);
  for (const std::string &it : lost)
    fleet.cutOff(it);
  for (int i = 0; i < 10; ++i) {
    fleet.run(Millis(500));
    CHECK(countUnseen(fleet, lost) == 0);
  }
  fleet.report(7, "rare", 1);
  CHECK(countWithoutModel(fleet, 7, "rare", lost) == 0);
}

TEST_CASE("a change of an engine's models reaches all fronts at once") {
  Fleet fleet;
  fleet.run(Millis(4'000));
  for (size_t i = 0; i < Engines; ++i) {
    fleet.report(i, "rare-" + std::to_string(i), 1);
    CHECK(countWithoutModel(fleet, i, "rare-" + std::to_string(i), {}) == 0);
  }
}

TEST_CASE("draining endpoint gets no work from any front in time") {
  Fleet fleet;
  fleet.run(Millis(4'000));
  std::set<std::string> lost = firstRelayOfEachZone(fleet);
  for (const std::string &it : lost)
    fleet.cutOff(it);
  size_t engine = 0;
  while (lost.contains(fleet.Hosts[engine % Fronts]->State.Self.name()))
    ++engine;
  fleet.announce(engine, true);
  fleet.Now += InForceTime;
  for (const auto &host : fleet.Hosts)
    if (!lost.contains(host->State.Self.name()))
      CHECK(host->State.Directory.Endpoints.at("i-" + std::to_string(engine))
                .IsDraining);
}

// The summaries of relays had emptied their demand at a leader that was a relay
// itself, until their next heartbeat.
TEST_CASE("demand of every front stays known to the leader") {
  Fleet fleet;
  fleet.run(Millis(3'000));
  const std::string relay = *firstRelayOfEachZone(fleet).begin();
  auto found =
      std::find_if(fleet.Hosts.begin(), fleet.Hosts.end(), [&](const auto &It) {
        return It->State.Self.name() == relay;
      });
  REQUIRE(found != fleet.Hosts.end());
  Host &leader = **found;
  const wire::NodeEntry &self = leader.State.Self;
  for (const auto &host : fleet.Hosts) {
    host->State.Leader = {self.name(), self.address(), "", 1, fleet.Now};
    host->State.ModelUsages["cold"].Waiting = {1};
  }
  for (int i = 0; i < 20; ++i) {
    fleet.run(Millis(100));
    if (i < 5)
      continue;
    size_t known = 0;
    for (const auto &[front, report] : leader.Demand.Fronts)
      known += report.Rows.contains("cold");
    CHECK(known == Fronts - 1);
  }
}

TEST_CASE("load figures of an earlier agent process are ignored") {
  EndpointDirectory directory;
  wire::EngineReport report;
  report.mutable_self()->set_incarnation(2);
  report.set_address("10.0.0.1:1");
  report.set_number(1);
  report.set_active(3);
  REQUIRE(applyReport(directory, report, Start));
  wire::EngineLoad load;
  load.set_address("10.0.0.1:1");
  load.set_active(9);
  load.set_agent_incarnation(1);
  CHECK_FALSE(applyLoad(directory, load, Start + Millis(100)));
  load.set_agent_incarnation(2);
  load.set_heard_ago_ms(200);
  CHECK_FALSE(applyLoad(directory, load, Start + Millis(100)));
  load.set_heard_ago_ms(50);
  CHECK(applyLoad(directory, load, Start + Millis(100)));
  CHECK(directory.AgentReports.at("10.0.0.1:1").State.Active == 9);
  load.set_address("10.0.0.2:1");
  CHECK_FALSE(applyLoad(directory, load, Start + Millis(200)));
}

TEST_CASE("roster refresh renews only a list of the same nodes") {
  Roster front;
  Roster agent;
  wire::NodeEntry self;
  self.set_name("b");
  self.set_incarnation(1);
  for (const char *name : {"a", "c"}) {
    wire::NodeEntry entry;
    entry.set_name(name);
    entry.set_incarnation(1);
    recordNodeHeartbeat(front, entry, Start);
    mergeNode(agent, entry, "agent", Start);
  }
  mergeNode(agent, self, "agent", Start);
  TimePoint now = Start + Millis(400);
  CHECK(digestRoster(agent, now) == digestRoster(front, self, now));
  front.Nodes["c"].HeardAt = now;
  refreshNodes(agent, makeRosterRefresh(front, self, now), now);
  CHECK(agent.Nodes["a"].HeardAt == Start);
  CHECK(agent.Nodes["b"].HeardAt == now);
  CHECK(agent.Nodes["c"].HeardAt == now);
  agent.Nodes.erase("a");
  CHECK(digestRoster(agent, now) != digestRoster(front, self, now));
  refreshNodes(agent, makeRosterRefresh(front, self, now + Millis(50)),
               now + Millis(50));
  CHECK(agent.Nodes["b"].HeardAt == now);
}
