#include "front/fleet_view.h"

#include "core/hash.h"
#include "fleet/zone_relays.h"
#include "front/crash_notices.h"
#include "front/endpoint_statements.h"
#include "front/evacuation_effects.h"
#include "front/origin_history.h"

#include <algorithm>

namespace sassafras {

namespace {

/// True, once per ResyncPeriod, when \p Subject may be synchronised with
/// \p Address again.
bool mayResync(GossipState &Gossip, const std::string &Address,
               const char *Subject, TimePoint Now) {
  TimePoint &next = Gossip.NextResync[Address + Subject];
  if (!isPast(next, Now))
    return false;
  next = Now + ResyncPeriod;
  return true;
}

void send(NodeMessages &Out, const std::string &Address,
          wire::Envelope Message) {
  if (!Address.empty())
    Out.push_back({Address, std::move(Message)});
}

std::vector<std::string> listFrontAddresses(const FrontState &State,
                                            TimePoint Now) {
  std::vector<std::string> out;
  for (const auto &[name, it] : State.Roster.Nodes)
    if (it.Entry.kind() == wire::NODE_FRONT &&
        Now - it.HeardAt < 2 * NodeTimeout)
      out.push_back(it.Entry.address());
  return out;
}

/// Other fronts of the own zone that were heard from recently.
std::vector<std::string> listZoneAddresses(const FrontState &State,
                                           TimePoint Now) {
  std::vector<std::string> out;
  for (const auto &[name, it] : State.Roster.Nodes)
    if (it.Entry.kind() == wire::NODE_FRONT &&
        it.Entry.zone() == State.Self.zone() &&
        Now - it.HeardAt < 2 * NodeTimeout)
      out.push_back(it.Entry.address());
  return out;
}

/// Fronts that a heartbeat goes to.
std::vector<std::string> listHeartbeatAddresses(const FrontState &State,
                                                bool IsLeader, TimePoint Now) {
  return IsLeader || !usesZoneRelays(countFronts(State, Now))
             ? listFrontAddresses(State, Now)
             : listZoneAddresses(State, Now);
}

/// Seeds that heartbeats also go to. With relays, those in view are left out:
/// their zone learns of this front from a summary.
std::vector<std::string> listSeedAddresses(const FrontState &State,
                                           const GossipState &Gossip,
                                           TimePoint Now) {
  std::set<std::string> inView{State.Self.address()};
  if (usesZoneRelays(countFronts(State, Now)))
    for (const auto &[name, it] : State.Roster.Nodes)
      if (isInView(it, Now))
        inView.insert(it.Entry.address());
  std::vector<std::string> out;
  for (const std::string &it : Gossip.Seeds)
    if (!inView.contains(it))
      out.push_back(it);
  return out;
}

uint64_t digestModels(const wire::EndpointObservation &Observation) {
  uint64_t digest = 1;
  for (const wire::LoadedModel &it : Observation.models())
    digest += checksumOf(it.SerializeAsString());
  return digest;
}

/// Removes the models from an observation when they are the same as those sent
/// last for this endpoint.
void dropUnchangedModels(GossipState &Gossip,
                         wire::EndpointObservation &Observation) {
  if (!Observation.has_models())
    return;
  uint64_t digest = digestModels(Observation);
  uint64_t &sentDigest = Gossip.SentModelDigests[Observation.id()];
  if (sentDigest == digest) {
    Observation.clear_models();
    Observation.clear_in_memory();
    Observation.clear_on_disk();
    Observation.set_has_models(false);
  }
  sentDigest = digest;
}

/// Sets how long ago the observed process was last heard from, so that the time
/// that a message waits does not make it look alive later than it was.
void setAge(const FrontState &State, TimePoint Now,
            wire::EndpointObservation &Observation) {
  auto known = State.Directory.Endpoints.find(Observation.id());
  if (known == State.Directory.Endpoints.end())
    return;
  const KnownEndpoint &it = known->second;
  if (it.BornMs == Observation.born_ms())
    Observation.set_heard_ago_ms(toMillis(Now - it.HeardAt));
  else if (it.PreviousBornMs == Observation.born_ms())
    Observation.set_heard_ago_ms(toMillis(Now - it.PreviousHeardAt));
}

bool isNewerLeader(const FrontState &State,
                   const wire::NodeHeartbeat &Heartbeat, TimePoint Now) {
  return Heartbeat.term() >= State.Leader.Term ||
         Now - State.Leader.HeardAt > NodeTimeout;
}

} // namespace

void collectOwnDemand(FrontState &State, wire::NodeHeartbeat &Heartbeat,
                      TimePoint Now) {
  for (auto &[name, it] : State.Quotas) {
    recordDemand(it, {}, Now);
    if (it.DemandRate < 1)
      continue;
    wire::OrganisationDemand &demand = *Heartbeat.add_organisations();
    demand.set_organisation(name);
    demand.set_tokens_per_s(static_cast<uint64_t>(it.DemandRate));
  }
  Heartbeat.set_shares_term(State.SharesTerm);
  Heartbeat.set_shares_number(State.SharesNumber);
  Heartbeat.set_part_unused_ms(
      static_cast<uint64_t>(toMillis(Now - partUnusedSince(State))));
  for (auto &[name, it] : State.ModelUsages) {
    bool isWanted = !isPast(it.RetryExpectedUntil, Now);
    expireReturns(it.Returning, Now);
    if (it.Arrivals == 0 && it.Open == 0 && it.Waiting.empty() &&
        it.Returning.empty() && !isWanted)
      continue;
    wire::RowDemand &demand = *Heartbeat.add_rows();
    demand.set_model(name);
    demand.set_arrivals(it.Arrivals);
    demand.set_worth(it.Worth);
    demand.set_waiting(static_cast<uint32_t>(
        std::max<size_t>(it.Waiting.size(), isWanted ? 1 : 0)));
    demand.set_waiting_worth(agedWaitingWorth(it, Now));
    demand.set_busy(it.Open + static_cast<uint32_t>(it.Waiting.size()));
    addOpenRequests(it, demand);
    addBacklog(State, it, Now, demand);
    addWantedVersions(it, Now, demand);
    it.Arrivals = 0;
    it.Worth = 0;
  }
}

void recordFrontDemand(FleetDemand &Demand, const std::string &Front,
                       const wire::NodeHeartbeat &Heartbeat, TimePoint Now) {
  FleetDemand::FrontReport &report = Demand.Fronts[Front];
  report.HeardAt = Now;
  report.SharesTerm = Heartbeat.shares_term();
  report.SharesNumber = Heartbeat.shares_number();
  report.PartUnusedSince = Now - Millis(Heartbeat.part_unused_ms());
  report.Organisations.clear();
  report.Rows.clear();
  for (const wire::OrganisationDemand &it : Heartbeat.organisations())
    report.Organisations[it.organisation()] =
        static_cast<double>(it.tokens_per_s());
  for (const wire::RowDemand &it : Heartbeat.rows()) {
    report.Rows[it.model()] = it;
    if (it.arrivals() == 0)
      continue;
    ArrivalRates &rates = Demand.Rates[it.model()];
    addToRate(rates.ShortArrivals, it.arrivals(), ShortWindow, Now);
    addToRate(rates.ShortWorth, it.worth(), ShortWindow, Now);
    addToRate(rates.LongWorth, it.worth(), LongWindow, Now);
  }
}

void sendWithinZone(const FrontState &State, const wire::Envelope &Message,
                    TimePoint Now, NodeMessages &Out) {
  for (const std::string &it : listZoneAddresses(State, Now))
    send(Out, it, Message);
}

void broadcast(const FrontState &State, const wire::Envelope &Message,
               const wire::Envelope &Relayed, const std::string &Key,
               TimePoint Now, NodeMessages &Out) {
  if (!usesZoneRelays(countFronts(State, Now))) {
    for (const std::string &it : listFrontAddresses(State, Now))
      send(Out, it, Message);
    return;
  }
  sendWithinZone(State, Message, Now, Out);
  for (const auto &[zone, fronts] : listFrontsByZone(State.Roster, Now))
    if (zone != State.Self.zone())
      for (const ZoneFront &it : chooseRelays(fronts, Key))
        send(Out, it.Address, Relayed);
}

Millis broadcastPeriod(Millis Period, size_t Fronts) {
  auto scaled = Period * static_cast<int64_t>(Fronts) /
                static_cast<int64_t>(MaxFrontsAtFullRate);
  return std::max(Period, std::min(scaled, MaxBroadcastPeriod));
}

namespace {

wire::Envelope makeHeartbeat(const FrontState &State, bool IsLeader,
                             uint64_t Term, TimePoint Now) {
  wire::Envelope message;
  wire::NodeHeartbeat &heartbeat = *message.mutable_node_heartbeat();
  *heartbeat.mutable_self() = State.Self;
  heartbeat.set_table_version(State.Table ? State.Table->Version : 0);
  heartbeat.set_roster_digest(digestRoster(State.Roster, State.Self, Now));
  heartbeat.set_endpoint_digest(digestEndpoints(State.Directory));
  heartbeat.set_quarantine_digest(digestQuarantine(State.Quarantine, Now));
  heartbeat.set_statement_digest(digestStatements(State));
  heartbeat.set_evacuation_version(State.Evacuations.Version);
  heartbeat.set_is_leader(IsLeader);
  heartbeat.set_term(IsLeader ? Term : 0);
  heartbeat.set_is_leaving(State.IsStopping);
  addHistory(State, Now, heartbeat);
  if (State.FrontCountToldAt != TimePoint()) {
    heartbeat.set_front_count(State.FrontCountTold);
    heartbeat.set_front_count_ms(
        static_cast<uint64_t>(toMillis(Now - State.FrontCountToldAt)));
  }
  return message;
}

} // namespace

namespace {

/// Keeps an observation for the next summary. One that lists the models is not
/// replaced by one that does not.
void recordZoneObservation(GossipState &Gossip,
                           const wire::EndpointObservation &Observation) {
  wire::EndpointObservation &kept = Gossip.ZoneObservations[Observation.id()];
  if (kept.has_models() && !Observation.has_models())
    return;
  kept = Observation;
  // The agents report them.
  kept.clear_in_memory();
  kept.clear_on_disk();
}

} // namespace

void sendHeartbeats(FrontState &State, GossipState &Gossip, bool IsLeader,
                    uint64_t Term, TimePoint Now, NodeMessages &Out) {
  wire::Envelope message = makeHeartbeat(State, IsLeader, Term, Now);
  bool isBroadcast = isPast(Gossip.NextBroadcast, Now);
  if (isBroadcast) {
    for (wire::EndpointObservation &it : Gossip.PendingObservations) {
      dropUnchangedModels(Gossip, it);
      setAge(State, Now, it);
      recordZoneObservation(Gossip, it);
      *message.mutable_node_heartbeat()->add_alive() = it;
    }
    Gossip.PendingObservations.clear();
  }
  std::set<std::string> recipients;
  bool hasLeader = !IsLeader && Now - State.Leader.HeardAt < NodeTimeout;
  if (hasLeader) {
    wire::Envelope toLeader = message;
    collectOwnDemand(State, *toLeader.mutable_node_heartbeat(), Now);
    recipients.insert(State.Leader.Address);
    send(Out, State.Leader.Address, std::move(toLeader));
  }
  if (!isBroadcast)
    return;
  bool isFresh = Now - lastChangeOf(State.Evacuations) < EvacuationRepeatTime;
  if (IsLeader && isFresh)
    pushEvacuations(State, Now, Out);
  std::vector<std::string> fronts =
      listHeartbeatAddresses(State, IsLeader, Now);
  Gossip.NextBroadcast = Now +
                         broadcastPeriod(HeartbeatPeriod, fronts.size() + 1) -
                         HeartbeatPeriod / 2;
  for (const std::string &it : fronts)
    if (recipients.insert(it).second)
      send(Out, it, message);
  for (const std::string &it : listSeedAddresses(State, Gossip, Now))
    if (recipients.insert(it).second)
      send(Out, it, message);
}

namespace {

/// Reports demand at once instead of with the next heartbeat: a new leader has
/// no knowledge of the requests it must plan loads and divide rates for.
void sendDemandToNewLeader(FrontState &State, TimePoint Now,
                           NodeMessages &Out) {
  wire::Envelope message = makeHeartbeat(State, false, 0, Now);
  collectOwnDemand(State, *message.mutable_node_heartbeat(), Now);
  send(Out, State.Leader.Address, std::move(message));
}

void setLeader(FrontState &State, const wire::NodeHeartbeat &Heartbeat,
               TimePoint Now, NodeMessages &Out) {
  const wire::NodeEntry &self = Heartbeat.self();
  bool isNew =
      State.Leader.Node != self.name() || State.Leader.Term != Heartbeat.term();
  State.Leader = {self.name(), self.address(), self.control_address(),
                  Heartbeat.term(), Now};
  if (isNew)
    sendDemandToNewLeader(State, Now, Out);
}

} // namespace

namespace {

/// A front without a leader, for example one that has just started, takes the
/// number of fronts from another one that a leader told later.
void adoptFrontCount(FrontState &State, const wire::NodeHeartbeat &Heartbeat,
                     TimePoint Now) {
  TimePoint toldAt = Now - Millis(Heartbeat.front_count_ms());
  bool isInContact =
      State.IsLeading || Now - State.FrontCountToldAt < PoolTimeout;
  if (Heartbeat.front_count() == 0 || isInContact ||
      toldAt <= State.FrontCountToldAt)
    return;
  State.FrontCountTold = Heartbeat.front_count();
  State.FrontCountToldAt = toldAt;
}

} // namespace

void handleNodeHeartbeat(FrontState &State, GossipState &Gossip,
                         FleetDemand &Demand,
                         const wire::NodeHeartbeat &Heartbeat, TimePoint Now,
                         NodeMessages &Out) {
  const wire::NodeEntry &self = Heartbeat.self();
  if (self.name() == State.Self.name())
    return;
  if (self.kind() != wire::NODE_FRONT) {
    // An agent learns the fronts in view only from this reply.
    wire::Envelope message;
    bool isSame = Heartbeat.roster_digest() ==
                  digestRoster(State.Roster, State.Self, Now);
    *message.mutable_roster_update() =
        isSame ? makeRosterRefresh(State.Roster, State.Self, Now)
               : makeRosterUpdate(State.Roster, State.Self, Now);
    send(Out, self.address(), std::move(message));
    return;
  }
  recordNodeHeartbeat(State.Roster, self, Now);
  // Others may have named the process before.
  uint64_t &heard = Gossip.HeardIncarnations[self.name()];
  bool isNew = heard != self.incarnation();
  heard = self.incarnation();
  State.Roster.Nodes[self.name()].IsLeaving = Heartbeat.is_leaving();
  if (Heartbeat.is_leader() && isNewerLeader(State, Heartbeat, Now))
    setLeader(State, Heartbeat, Now, Out);
  recordFrontDemand(Demand, self.name(), Heartbeat, Now);
  adoptFrontCount(State, Heartbeat, Now);
  applyHistory(State, Heartbeat, Now);
  for (const wire::EndpointObservation &it : Heartbeat.alive()) {
    recordObservation(State, it, false, Now);
    if (self.zone() == State.Self.zone())
      recordZoneObservation(Gossip, it);
  }
  // They go out before the table and the endpoints: a front that has just
  // started uses none of these earlier.
  State.Roster.Nodes[self.name()].EvacuationVersion =
      Heartbeat.evacuation_version();
  if (Heartbeat.evacuation_version() <= State.Evacuations.Version)
    State.HasEvacuationWord = true;
  if (Heartbeat.evacuation_version() < State.Evacuations.Version &&
      (isNew || mayResync(Gossip, self.address(), "/evacuations", Now)))
    sendEvacuations(State, self.address(), Now, Out);
  uint64_t version = State.Table ? State.Table->Version : 0;
  State.Roster.Nodes[Heartbeat.self().name()].TableVersion =
      Heartbeat.table_version();
  if (Heartbeat.table_version() > version &&
      mayResync(Gossip, self.address(), "/table", Now)) {
    wire::Envelope message;
    message.mutable_table_request()->set_known_version(version);
    send(Out, self.address(), std::move(message));
  }
  // A newly started front is sent the table without having to request it.
  if (isNew && Heartbeat.table_version() < version)
    sendTable(State, self.address(), Out);
  if (Heartbeat.roster_digest() !=
          digestRoster(State.Roster, State.Self, Now) &&
      mayResync(Gossip, self.address(), "/roster", Now)) {
    wire::Envelope message;
    *message.mutable_roster_update() =
        makeRosterUpdate(State.Roster, State.Self, Now);
    send(Out, self.address(), std::move(message));
  }
  bool isOutdated =
      Heartbeat.endpoint_digest() != digestEndpoints(State.Directory) ||
      lacksHistory(State, Heartbeat, Now);
  if (isOutdated && mayResync(Gossip, self.address(), "/endpoints", Now)) {
    wire::Envelope message;
    wire::EndpointUpdate &update = *message.mutable_endpoint_news();
    update.set_is_whole(true);
    addHistory(State, Heartbeat, Now, update);
    for (wire::EndpointObservation &it : makeObservations(State.Directory, Now))
      *update.add_endpoints() = std::move(it);
    send(Out, self.address(), std::move(message));
  }
  // A newly started front does not know of the crashes before its start.
  if (isNew) {
    wire::Envelope message;
    *message.mutable_crash_notice() = makeAccusationNotice(State, Now);
    if (message.crash_notice().accusations_size() > 0)
      send(Out, self.address(), std::move(message));
  }
  uint64_t quarantine = digestQuarantine(State.Quarantine, Now);
  if (quarantine != 0 && Heartbeat.quarantine_digest() != quarantine &&
      mayResync(Gossip, self.address(), "/quarantine", Now)) {
    wire::Envelope message;
    *message.mutable_crash_notice() = makeQuarantineNotice(State, Now);
    send(Out, self.address(), std::move(message));
  }
  if (!State.Statements.empty() &&
      Heartbeat.statement_digest() != digestStatements(State) &&
      mayResync(Gossip, self.address(), "/statements", Now)) {
    wire::Envelope message;
    *message.mutable_endpoint_statements() = makeStatements(State, Now);
    send(Out, self.address(), std::move(message));
  }
}

namespace {

/// Moves the observations that are due into \p Summary and drops the others.
void takeZoneObservations(const FrontState &State, GossipState &Gossip,
                          TimePoint Now, wire::ZoneSummary &Summary) {
  for (auto &[id, it] : Gossip.ZoneObservations) {
    TimePoint &next = Gossip.NextInSummary[id];
    if (!it.has_models() && !it.has_left() && !isPast(next, Now))
      continue;
    next = Now + SummaryRefreshPeriod;
    setAge(State, Now, it);
    *Summary.add_alive() = std::move(it);
  }
  Gossip.ZoneObservations.clear();
  std::erase_if(Gossip.NextInSummary, [&](const auto &it) {
    return Now - it.second > EndpointRetention;
  });
}

/// Adds the load of each engine in the zone whose agent reports here.
void addZoneLoads(const FrontState &State, TimePoint Now,
                  wire::ZoneSummary &Summary) {
  for (const auto &[address, it] : State.Directory.AgentReports) {
    auto id = State.Directory.IdByAddress.find(address);
    if (id == State.Directory.IdByAddress.end() ||
        Now - it.State.ReadAt > EndpointTimeout)
      continue;
    auto known = State.Directory.Endpoints.find(id->second);
    if (known == State.Directory.Endpoints.end() ||
        known->second.Zone != State.Self.zone())
      continue;
    wire::EngineLoad &load = *Summary.add_loads();
    load.set_address(address);
    load.set_agent_incarnation(it.Incarnation);
    load.set_active(it.State.Active);
    load.set_queued(it.State.Queued);
    load.set_kv_used(it.State.KvUsed);
    load.set_pace_percent(it.State.PacePercent);
    load.set_heard_ago_ms(
        static_cast<uint32_t>(toMillis(Now - it.State.ReadAt)));
  }
}

} // namespace

void sendZoneSummaries(FrontState &State, GossipState &Gossip, TimePoint Now,
                       NodeMessages &Out) {
  if (!isPast(Gossip.NextSummary, Now))
    return;
  Gossip.NextSummary = Now + SummaryPeriod;
  FrontsByZone fronts = listFrontsByZone(State.Roster, Now);
  std::vector<ZoneFront> own = fronts[State.Self.zone()];
  own.push_back({State.Self.name(), State.Self.address()});
  std::vector<ZoneFront> relays = chooseRelays(own, "");
  auto self =
      std::find_if(relays.begin(), relays.end(), [&](const ZoneFront &it) {
        return it.Name == State.Self.name();
      });
  if (!usesZoneRelays(countFronts(State, Now)) || self == relays.end() ||
      State.IsStopping) {
    Gossip.ZoneObservations.clear();
    return;
  }
  wire::Envelope message;
  wire::ZoneSummary &summary = *message.mutable_zone_summary();
  *summary.mutable_heartbeat() =
      makeHeartbeat(State, false, 0, Now).node_heartbeat();
  for (const auto &[name, it] : State.Roster.Nodes) {
    if (it.Entry.kind() != wire::NODE_FRONT || !isInView(it, Now) ||
        it.Entry.zone() != State.Self.zone())
      continue;
    wire::NodeEntry &entry = *summary.add_nodes();
    entry = it.Entry;
    entry.set_heard_ago_ms(toMillis(Now - it.HeardAt));
  }
  takeZoneObservations(State, Gossip, Now, summary);
  addZoneLoads(State, Now, summary);
  // Each relay of this zone sends to another relay of the other zones, so that
  // the two paths share no host.
  auto path = static_cast<size_t>(self - relays.begin());
  for (const auto &[zone, it] : fronts) {
    std::vector<ZoneFront> targets = chooseRelays(it, "");
    if (zone != State.Self.zone() && !targets.empty())
      send(Out, targets[std::min(path, targets.size() - 1)].Address, message);
  }
}

namespace {

/// Load of the engine at \p Address, as the directory has it now.
void recordEngineLoad(FrontState &State, const std::string &Address,
                      TimePoint Now) {
  auto id = State.Directory.IdByAddress.find(Address);
  auto report = State.Directory.AgentReports.find(Address);
  if (id == State.Directory.IdByAddress.end() ||
      report == State.Directory.AgentReports.end())
    return;
  const EngineState &engine = report->second.State;
  EndpointRecord &record = State.Records[id->second];
  recordLoadReport(record, engine.Active + engine.Queued, EngineReportLifetime,
                   Now);
  recordMemoryReport(record, static_cast<double>(engine.KvUsed), Now);
  if (engine.PacePercent > 0)
    recordPace(record, engine.PacePercent / UsualPacePercent, Now);
}

} // namespace

void handleZoneSummary(FrontState &State, GossipState &Gossip,
                       wire::ZoneSummary Summary, TimePoint Now,
                       NodeMessages &Out) {
  const wire::NodeEntry &sender = Summary.heartbeat().self();
  if (sender.zone() == State.Self.zone())
    return;
  // The relay reports its demand to the leader in heartbeats of its own; this
  // one has none, which must not replace it.
  FleetDemand unused;
  if (Summary.is_passed_on())
    mergeNode(State.Roster, sender, State.Self.name(), Now);
  else
    handleNodeHeartbeat(State, Gossip, unused, Summary.heartbeat(), Now, Out);
  for (const wire::NodeEntry &it : Summary.nodes())
    mergeNode(State.Roster, it, State.Self.name(), Now);
  for (const wire::EndpointObservation &it : Summary.alive())
    recordObservation(State, it, false, Now);
  for (const wire::EngineLoad &it : Summary.loads())
    if (applyLoad(State.Directory, it, Now))
      recordEngineLoad(State, it.address(), Now);
  if (Summary.is_passed_on())
    return;
  wire::Envelope message;
  *message.mutable_zone_summary() = std::move(Summary);
  message.mutable_zone_summary()->set_is_passed_on(true);
  sendWithinZone(State, message, Now, Out);
}

bool handleEngineReport(FrontState &State, const wire::EngineReport &Report,
                        TimePoint Now, NodeMessages &Out) {
  if (Report.pass_on()) {
    wire::Envelope message;
    *message.mutable_engine_report() = Report;
    message.mutable_engine_report()->set_pass_on(false);
    sendWithinZone(State, message, Now, Out);
  }
  auto known = State.Directory.AgentReports.find(Report.address());
  bool wasSilent = known != State.Directory.AgentReports.end() &&
                   known->second.State.IsSilent;
  if (!applyReport(State.Directory, Report, Now))
    return false;
  if (wasSilent && !Report.is_silent())
    recordRegainedEngine(State, Report, Now);
  recordReportedStatements(State, Report, Now);
  recordEngineLoad(State, Report.address(), Now);
  return true;
}

void applyRosterUpdate(FrontState &State, const wire::RosterUpdate &Update,
                       TimePoint Now) {
  for (const wire::NodeEntry &it : Update.nodes())
    mergeNode(State.Roster, it, State.Self.name(), Now);
}

void handleEndpointUpdate(FrontState &State, const wire::EndpointUpdate &Update,
                          TimePoint Now, NodeMessages &Out) {
  for (const wire::EndpointObservation &it : Update.endpoints())
    recordObservation(State, it, false, Now);
  if (Update.is_whole())
    adoptHistory(State, Update, Now);
  if (!Update.pass_on())
    return;
  wire::Envelope message;
  *message.mutable_endpoint_news() = Update;
  message.mutable_endpoint_news()->set_pass_on(false);
  sendWithinZone(State, message, Now, Out);
}

ObservationResult
handleAnnouncement(FrontState &State, GossipState &Gossip,
                   const wire::EndpointObservation &Observation, TimePoint Now,
                   NodeMessages &Out) {
  ObservationResult result = recordObservation(State, Observation, true, Now);
  if (result == ObservationResult::Refreshed)
    Gossip.PendingObservations.push_back(Observation);
  if (result != ObservationResult::Changed)
    return result;
  wire::Envelope message;
  *message.mutable_endpoint_news()->add_endpoints() = Observation;
  wire::Envelope relayed = message;
  relayed.mutable_endpoint_news()->set_pass_on(true);
  broadcast(State, message, relayed, Observation.id(), Now, Out);
  // Repeated with the next broadcast heartbeat in case a message is lost.
  Gossip.PendingObservations.push_back(Observation);
  return result;
}

void sendTable(const FrontState &State, const std::string &Address,
               NodeMessages &Out) {
  if (!State.Table)
    return;
  wire::Envelope message;
  message.mutable_table_update()->set_version(State.Table->Version);
  message.mutable_table_update()->set_content(State.TableContent);
  send(Out, Address, std::move(message));
}

void sendEvacuations(const FrontState &State, const std::string &Address,
                     TimePoint Now, NodeMessages &Out) {
  if (State.Evacuations.Version == 0)
    return;
  wire::Envelope message;
  *message.mutable_evacuation_update() =
      makeEvacuationState(State.Evacuations, Now);
  send(Out, Address, std::move(message));
}

void pushEvacuations(const FrontState &State, TimePoint Now,
                     NodeMessages &Out) {
  for (const auto &[name, it] : State.Roster.Nodes)
    if (it.Entry.kind() == wire::NODE_FRONT &&
        it.EvacuationVersion < State.Evacuations.Version &&
        Now - it.HeardAt < 2 * NodeTimeout)
      sendEvacuations(State, it.Entry.address(), Now, Out);
}

void pushTable(const FrontState &State, TimePoint Now, NodeMessages &Out) {
  for (const auto &[name, it] : State.Roster.Nodes)
    if (it.Entry.kind() == wire::NODE_FRONT && !it.Entry.is_voter() &&
        Now - it.HeardAt < 2 * NodeTimeout) {
      sendEvacuations(State, it.Entry.address(), Now, Out);
      sendTable(State, it.Entry.address(), Out);
    }
}

} // namespace sassafras
