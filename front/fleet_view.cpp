#include "front/fleet_view.h"

#include "core/hash.h"

#include <algorithm>

namespace sassafras {

namespace {

/// True when \p Subject may be sent to \p Address again.
bool mayRepair(GossipState &Gossip, const std::string &Address,
               const char *Subject, TimePoint Now) {
  TimePoint &next = Gossip.NextRepair[Address + Subject];
  if (!isPast(next, Now))
    return false;
  next = Now + RepairPeriod;
  return true;
}

void send(NodeMessages &Out, const std::string &Address,
          wire::Envelope Message) {
  if (!Address.empty())
    Out.push_back({Address, std::move(Message)});
}

std::vector<std::string> frontAddresses(const FrontState &State,
                                        TimePoint Now) {
  std::vector<std::string> out;
  for (const auto &[name, it] : State.Roster.Nodes)
    if (it.Entry.kind() == wire::NODE_FRONT &&
        Now - it.HeardAt < 2 * NodeSilence)
      out.push_back(it.Entry.address());
  return out;
}

uint64_t digestModels(const wire::EndpointSighting &Sighting) {
  uint64_t digest = 1;
  for (const wire::LoadedModel &it : Sighting.models())
    digest += checksumOf(it.SerializeAsString());
  return digest;
}

/// Models go on only when they differ from what was told last.
void dropToldModels(GossipState &Gossip, wire::EndpointSighting &Sighting) {
  if (!Sighting.has_models())
    return;
  uint64_t digest = digestModels(Sighting);
  uint64_t &told = Gossip.ToldModels[Sighting.id()];
  if (told == digest) {
    Sighting.clear_models();
    Sighting.clear_in_memory();
    Sighting.clear_on_disk();
    Sighting.set_has_models(false);
  }
  told = digest;
}

bool isNewerLeader(const FrontState &State, const wire::NodeHeartbeat &Beat,
                   TimePoint Now) {
  return Beat.term() >= State.Leader.Term ||
         Now - State.Leader.HeardAt > NodeSilence;
}

} // namespace

void takeOwnDemand(FrontState &State, wire::NodeHeartbeat &Beat,
                   TimePoint Now) {
  for (auto &[name, it] : State.Quotas) {
    recordDemand(it, {}, Now);
    if (it.DemandRate < 1)
      continue;
    wire::OrganisationDemand &demand = *Beat.add_organisations();
    demand.set_organisation(name);
    demand.set_tokens_per_s(static_cast<uint64_t>(it.DemandRate));
  }
  for (auto &[name, it] : State.Rows) {
    bool isWanted = !isPast(it.WantedUntil, Now);
    if (it.Arrivals == 0 && it.Open == 0 && it.Waiting.empty() && !isWanted)
      continue;
    wire::RowDemand &demand = *Beat.add_rows();
    demand.set_model(name);
    demand.set_arrivals(it.Arrivals);
    demand.set_worth(it.Worth);
    demand.set_waiting(static_cast<uint32_t>(
        std::max<size_t>(it.Waiting.size(), isWanted ? 1 : 0)));
    demand.set_waiting_worth(agedWaitingWorth(it, Now));
    demand.set_busy(it.Open + static_cast<uint32_t>(it.Waiting.size()));
    printOpen(it, demand);
    it.Arrivals = 0;
    it.Worth = 0;
  }
}

void noteDemandOf(FleetDemand &Demand, const std::string &Front,
                  const wire::NodeHeartbeat &Beat, TimePoint Now) {
  FleetDemand::FrontPart &part = Demand.Fronts[Front];
  part.HeardAt = Now;
  part.Organisations.clear();
  part.Rows.clear();
  for (const wire::OrganisationDemand &it : Beat.organisations())
    part.Organisations[it.organisation()] =
        static_cast<double>(it.tokens_per_s());
  for (const wire::RowDemand &it : Beat.rows()) {
    part.Rows[it.model()] = it;
    if (it.arrivals() == 0)
      continue;
    ArrivalRates &rates = Demand.Rates[it.model()];
    addToRate(rates.ShortArrivals, it.arrivals(), ShortWindow, Now);
    addToRate(rates.ShortWorth, it.worth(), ShortWindow, Now);
    addToRate(rates.LongWorth, it.worth(), LongWindow, Now);
  }
}

Millis paceToAll(Millis Period, size_t Fronts) {
  auto scaled =
      Period * static_cast<int64_t>(Fronts) / static_cast<int64_t>(FewFronts);
  return std::max(Period, std::min(scaled, MostHeartbeatPace));
}

namespace {

wire::Envelope makeHeartbeat(const FrontState &State, bool IsLeader,
                             uint64_t Term, TimePoint Now) {
  wire::Envelope message;
  wire::NodeHeartbeat &beat = *message.mutable_node_heartbeat();
  *beat.mutable_self() = State.Self;
  beat.set_table_version(State.Table ? State.Table->Version : 0);
  beat.set_roster_digest(digestRoster(State.Roster, State.Self, Now));
  beat.set_endpoint_digest(digestEndpoints(State.Directory));
  beat.set_is_leader(IsLeader);
  beat.set_term(IsLeader ? Term : 0);
  beat.set_is_leaving(State.IsStopping);
  return message;
}

} // namespace

void sendHeartbeats(FrontState &State, GossipState &Gossip, bool IsLeader,
                    uint64_t Term, TimePoint Now, NodeMessages &Out) {
  wire::Envelope message = makeHeartbeat(State, IsLeader, Term, Now);
  bool isToAll = isPast(Gossip.NextToAll, Now);
  if (isToAll) {
    for (wire::EndpointSighting &it : Gossip.Heard) {
      dropToldModels(Gossip, it);
      *message.mutable_node_heartbeat()->add_alive() = it;
    }
    Gossip.Heard.clear();
    Gossip.NextToAll = Now + paceToAll(HeartbeatPace, countFronts(State, Now)) -
                       HeartbeatPace / 2;
  }
  std::set<std::string> told;
  bool hasLeader = !IsLeader && Now - State.Leader.HeardAt < NodeSilence;
  if (hasLeader) {
    wire::Envelope toLeader = message;
    takeOwnDemand(State, *toLeader.mutable_node_heartbeat(), Now);
    told.insert(State.Leader.Address);
    send(Out, State.Leader.Address, std::move(toLeader));
  }
  if (!isToAll)
    return;
  for (const std::string &it : frontAddresses(State, Now))
    if (told.insert(it).second)
      send(Out, it, message);
  // Seeds that were never heard, or were lost, are asked again.
  for (const std::string &it : Gossip.Seeds)
    if (it != State.Self.address() && told.insert(it).second)
      send(Out, it, message);
}

namespace {

/// A new leader has to plan and divide for requests that it knows nothing of.
void tellNewLeader(FrontState &State, TimePoint Now, NodeMessages &Out) {
  wire::Envelope message = makeHeartbeat(State, false, 0, Now);
  takeOwnDemand(State, *message.mutable_node_heartbeat(), Now);
  send(Out, State.Leader.Address, std::move(message));
}

void takeLeader(FrontState &State, const wire::NodeHeartbeat &Beat,
                TimePoint Now, NodeMessages &Out) {
  const wire::NodeEntry &self = Beat.self();
  bool isNew =
      State.Leader.Node != self.name() || State.Leader.Term != Beat.term();
  State.Leader = {self.name(), self.address(), self.control_address(),
                  Beat.term(), Now};
  if (isNew)
    tellNewLeader(State, Now, Out);
}

} // namespace

void takeNodeHeartbeat(FrontState &State, GossipState &Gossip,
                       FleetDemand &Demand, const wire::NodeHeartbeat &Beat,
                       TimePoint Now, NodeMessages &Out) {
  const wire::NodeEntry &self = Beat.self();
  if (self.name() == State.Self.name())
    return;
  if (self.kind() != wire::NODE_FRONT) {
    // An agent asks for the fronts in view; it hears of them in no other way.
    wire::Envelope message;
    *message.mutable_roster_update() =
        printRoster(State.Roster, State.Self, Now);
    send(Out, self.address(), std::move(message));
    return;
  }
  bool isNew = hearNode(State.Roster, self, Now);
  State.Roster.Nodes[self.name()].IsLeaving = Beat.is_leaving();
  if (Beat.is_leader() && isNewerLeader(State, Beat, Now))
    takeLeader(State, Beat, Now, Out);
  noteDemandOf(Demand, self.name(), Beat, Now);
  for (const wire::EndpointSighting &it : Beat.alive())
    applySighting(State.Directory, it, Now);
  uint64_t version = State.Table ? State.Table->Version : 0;
  State.Roster.Nodes[Beat.self().name()].TableVersion = Beat.table_version();
  if (Beat.table_version() > version &&
      mayRepair(Gossip, self.address(), "/table", Now)) {
    wire::Envelope message;
    message.mutable_table_request()->set_known_version(version);
    send(Out, self.address(), std::move(message));
  }
  // A front that has just started knows nothing: it need not ask.
  if (isNew && Beat.table_version() < version)
    sendTable(State, self.address(), Out);
  if (Beat.roster_digest() != digestRoster(State.Roster, State.Self, Now) &&
      mayRepair(Gossip, self.address(), "/roster", Now)) {
    wire::Envelope message;
    *message.mutable_roster_update() =
        printRoster(State.Roster, State.Self, Now);
    send(Out, self.address(), std::move(message));
  }
  if (Beat.endpoint_digest() != digestEndpoints(State.Directory) &&
      mayRepair(Gossip, self.address(), "/endpoints", Now)) {
    wire::Envelope message;
    wire::EndpointNews &news = *message.mutable_endpoint_news();
    news.set_is_whole(true);
    for (wire::EndpointSighting &it : printEndpoints(State.Directory, Now))
      *news.add_endpoints() = std::move(it);
    send(Out, self.address(), std::move(message));
  }
}

void takeRoster(FrontState &State, const wire::RosterUpdate &Update,
                TimePoint Now) {
  for (const wire::NodeEntry &it : Update.nodes())
    learnNode(State.Roster, it, State.Self.name(), Now);
}

void takeNews(FrontState &State, const wire::EndpointNews &News,
              TimePoint Now) {
  for (const wire::EndpointSighting &it : News.endpoints())
    applySighting(State.Directory, it, Now);
}

SightingResult takeAnnouncement(FrontState &State, GossipState &Gossip,
                                const wire::EndpointSighting &Sighting,
                                TimePoint Now, NodeMessages &Out) {
  SightingResult result = applySighting(State.Directory, Sighting, Now);
  if (result == SightingResult::Refreshed)
    Gossip.Heard.push_back(Sighting);
  if (result != SightingResult::Changed)
    return result;
  wire::Envelope message;
  *message.mutable_endpoint_news()->add_endpoints() = Sighting;
  for (const std::string &it : frontAddresses(State, Now))
    send(Out, it, message);
  // Once more with the next heartbeat, should a message be lost.
  Gossip.Heard.push_back(Sighting);
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

void pushTable(const FrontState &State, TimePoint Now, NodeMessages &Out) {
  for (const auto &[name, it] : State.Roster.Nodes)
    if (it.Entry.kind() == wire::NODE_FRONT && !it.Entry.is_voter() &&
        isInView(it, Now))
      sendTable(State, it.Entry.address(), Out);
}

} // namespace sassafras
