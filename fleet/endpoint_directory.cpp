#include "fleet/endpoint_directory.h"

#include "core/hash.h"

#include <algorithm>

namespace sassafras {

namespace {

/// True when \p Observation is older than what is known under its id, or is of
/// an earlier process than the one at its address.
bool isOutdated(const EndpointDirectory &Directory,
                const wire::EndpointObservation &Observation) {
  auto known = Directory.Endpoints.find(Observation.id());
  if (known != Directory.Endpoints.end()) {
    const KnownEndpoint &it = known->second;
    // A leave notice may lack both the process's start time and a sequence.
    if (Observation.has_left() && Observation.born_ms() == 0)
      return false;
    if (Observation.born_ms() != it.BornMs)
      return Observation.born_ms() < it.BornMs;
    if (Observation.has_left())
      return false;
    return it.HasLeft || Observation.sequence() < it.Sequence;
  }
  auto owner = Directory.IdByAddress.find(Observation.address());
  if (Observation.address().empty() || owner == Directory.IdByAddress.end())
    return false;
  auto other = Directory.Endpoints.find(owner->second);
  return other != Directory.Endpoints.end() &&
         Observation.born_ms() < other->second.BornMs;
}

void readEngineState(const wire::EndpointObservation &Observation,
                     TimePoint ReadAt, EngineState &Out) {
  Out = {};
  Out.ReadAt = ReadAt;
  for (const wire::LoadedModel &it : Observation.models())
    Out.Models[it.name()] = {it.adapters().begin(), it.adapters().end()};
  Out.InMemory = {Observation.in_memory().begin(),
                  Observation.in_memory().end()};
  Out.OnDisk = {Observation.on_disk().begin(), Observation.on_disk().end()};
  // An announcement passed on by another front may not list weights.
  Out.HasWeightLocations = !Out.InMemory.empty() || !Out.OnDisk.empty();
}

/// Assigns its address to \p Endpoint. A previous process at that address must
/// have ended, so it is marked as left.
void assignAddress(EndpointDirectory &Directory,
                   const KnownEndpoint &Endpoint) {
  std::string &owner = Directory.IdByAddress[Endpoint.Address];
  if (!owner.empty() && owner != Endpoint.Id) {
    auto it = Directory.Endpoints.find(owner);
    if (it != Directory.Endpoints.end() &&
        it->second.Address == Endpoint.Address)
      it->second.HasLeft = true;
  }
  owner = Endpoint.Id;
}

/// False when another process has taken over the endpoint's address since.
/// Such an endpoint is of no use to a node that missed its end.
bool ownsAddress(const EndpointDirectory &Directory,
                 const KnownEndpoint &Endpoint) {
  auto owner = Directory.IdByAddress.find(Endpoint.Address);
  return owner != Directory.IdByAddress.end() && owner->second == Endpoint.Id;
}

ObservationResult applyLeave(EndpointDirectory &Directory,
                             const wire::EndpointObservation &Observation,
                             TimePoint Now) {
  auto it = Directory.Endpoints.find(Observation.id());
  if (it == Directory.Endpoints.end()) {
    KnownEndpoint left;
    left.Id = Observation.id();
    left.BornMs = Observation.born_ms();
    left.HasLeft = true;
    left.HeardAt = Now;
    Directory.Endpoints.emplace(left.Id, left);
    return ObservationResult::Changed;
  }
  bool isNew = !it->second.HasLeft;
  it->second.HasLeft = true;
  if (isNew)
    it->second.HeardAt = Now;
  return isNew ? ObservationResult::Changed : ObservationResult::Refreshed;
}

} // namespace

ObservationResult applyObservation(EndpointDirectory &Directory,
                                   const wire::EndpointObservation &Observation,
                                   TimePoint Now) {
  if (Observation.id().empty())
    return ObservationResult::Ignored;
  TimePoint heardAt = Now - Millis(Observation.heard_ago_ms());
  // An outdated observation tells what has been there, too.
  if (!Observation.has_left())
    recordVersion(Directory, Observation.service(),
                  Observation.software_version(), heardAt);
  if (isOutdated(Directory, Observation))
    return ObservationResult::Ignored;
  if (Observation.has_left())
    return applyLeave(Directory, Observation, Now);
  KnownEndpoint &known = Directory.Endpoints[Observation.id()];
  bool isNew = known.Id.empty() || known.BornMs != Observation.born_ms();
  // The sequence orders the announcements of one process.
  if (!isNew && Observation.sequence() == known.Sequence) {
    known.HeardAt = std::max(known.HeardAt, heardAt);
    return ObservationResult::Ignored;
  }
  if (isNew) {
    KnownEndpoint fresh;
    fresh.PreviousBornMs = known.BornMs;
    fresh.PreviousHeardAt = known.HeardAt;
    known = fresh;
    Directory.Announced.erase(Observation.id());
  }
  bool isChanged = isNew || known.IsDraining != Observation.is_draining() ||
                   known.Address != Observation.address();
  known.Id = Observation.id();
  known.Service = Observation.service();
  known.Address = Observation.address();
  known.Zone = Observation.zone();
  known.SoftwareVersion = Observation.software_version();
  known.BornMs = Observation.born_ms();
  known.Sequence = Observation.sequence();
  known.Slots = std::max<uint32_t>(Observation.slots(), 1);
  known.IsDraining = Observation.is_draining();
  known.HeardAt = std::max(known.HeardAt, heardAt);
  known.WarmingUpUntil = heardAt + Millis(Observation.cold_left_ms());
  if (Observation.remaining_ms() > 0 && known.TerminatesAt == TimePoint())
    known.TerminatesAt = heardAt + Millis(Observation.remaining_ms());
  if (Observation.has_models())
    readEngineState(Observation, heardAt, Directory.Announced[known.Id]);
  assignAddress(Directory, known);
  return isChanged ? ObservationResult::Changed : ObservationResult::Refreshed;
}

bool applyReport(EndpointDirectory &Directory, const wire::EngineReport &Report,
                 TimePoint Now) {
  AgentReport &known = Directory.AgentReports[Report.address()];
  uint64_t incarnation = Report.self().incarnation();
  // An agent restarted after its host's wall clock was set back has a lower
  // incarnation; it is accepted once no recent report is known.
  bool isRecent = Now - known.State.ReadAt < StaleReportWindow;
  bool isOld =
      (incarnation < known.Incarnation && isRecent) ||
      (incarnation == known.Incarnation && Report.number() <= known.Number);
  if (isOld)
    return false;
  if (Report.is_plain() && incarnation != known.Incarnation)
    return false;
  known.Incarnation = incarnation;
  known.Number = Report.number();
  EngineState &state = known.State;
  state.ReadAt = Now;
  state.IsFromAgent = true;
  state.IsBusy = Report.is_busy();
  state.IsSilent = Report.is_silent();
  state.Active = Report.active();
  state.Queued = Report.queued();
  state.KvUsed = Report.kv_used();
  state.KvTotal = Report.kv_total();
  state.PacePercent = Report.pace_percent();
  state.OrderDone = Report.order_done();
  state.AgentAddress = Report.self().address();
  if (Report.is_plain())
    return true;
  known.BornMs = Report.born_ms();
  state.Loading = Report.loading();
  state.Models.clear();
  for (const wire::LoadedModel &it : Report.models())
    state.Models[it.name()] = {it.adapters().begin(), it.adapters().end()};
  if (Report.has_available()) {
    state.HasWeightLocations = true;
    state.InMemory = {Report.in_memory().begin(), Report.in_memory().end()};
    state.OnDisk = {Report.on_disk().begin(), Report.on_disk().end()};
  }
  return true;
}

bool applyLoad(EndpointDirectory &Directory, const wire::EngineLoad &Load,
               TimePoint Now) {
  auto known = Directory.AgentReports.find(Load.address());
  if (known == Directory.AgentReports.end() ||
      known->second.Incarnation != Load.agent_incarnation())
    return false;
  EngineState &state = known->second.State;
  TimePoint readAt = Now - Millis(Load.heard_ago_ms());
  if (readAt <= state.ReadAt)
    return false;
  state.ReadAt = readAt;
  state.Active = Load.active();
  state.Queued = Load.queued();
  state.KvUsed = Load.kv_used();
  state.PacePercent = Load.pace_percent();
  return true;
}

void recordVersion(EndpointDirectory &Directory, const std::string &Service,
                   const std::string &Version, TimePoint SeenAt) {
  SeenVersions &versions = Directory.Versions[Service];
  TimePoint &seenAt = versions[Version];
  seenAt = std::max(seenAt, SeenAt);
  if (versions.size() > MaxSeenVersions)
    versions.erase(std::min_element(
        versions.begin(), versions.end(),
        [](const auto &A, const auto &B) { return A.second < B.second; }));
}

void expireEndpoints(EndpointDirectory &Directory, TimePoint Now) {
  for (auto &[service, versions] : Directory.Versions)
    std::erase_if(versions, [&](const auto &it) {
      return Now - it.second >= VersionRetention;
    });
  std::erase_if(Directory.Versions,
                [](const auto &it) { return it.second.empty(); });
  for (auto it = Directory.Endpoints.begin();
       it != Directory.Endpoints.end();) {
    const KnownEndpoint &known = it->second;
    if (Now - known.HeardAt < EndpointRetention) {
      ++it;
      continue;
    }
    auto owner = Directory.IdByAddress.find(known.Address);
    if (owner != Directory.IdByAddress.end() && owner->second == known.Id) {
      Directory.IdByAddress.erase(owner);
      Directory.AgentReports.erase(known.Address);
    }
    Directory.Announced.erase(known.Id);
    it = Directory.Endpoints.erase(it);
  }
}

bool isServing(const KnownEndpoint &Endpoint, TimePoint Now) {
  bool isTerminated =
      Endpoint.TerminatesAt != TimePoint() && Now >= Endpoint.TerminatesAt;
  return !Endpoint.HasLeft && !isTerminated &&
         Now - Endpoint.HeardAt < EndpointTimeout;
}

bool isUsable(const KnownEndpoint &Endpoint, TimePoint Now) {
  return isServing(Endpoint, Now) && !Endpoint.IsDraining;
}

bool hasNewerProcess(const EndpointDirectory &Directory,
                     const KnownEndpoint &Endpoint) {
  auto report = Directory.AgentReports.find(Endpoint.Address);
  return report != Directory.AgentReports.end() && Endpoint.BornMs != 0 &&
         report->second.BornMs > Endpoint.BornMs;
}

const EngineState *findEngineState(const EndpointDirectory &Directory,
                                   const KnownEndpoint &Endpoint) {
  auto report = Directory.AgentReports.find(Endpoint.Address);
  // A report about an earlier engine process does not apply to this one.
  bool hasReport =
      report != Directory.AgentReports.end() &&
      (report->second.BornMs == 0 || report->second.BornMs == Endpoint.BornMs);
  auto announced = Directory.Announced.find(Endpoint.Id);
  if (announced == Directory.Announced.end())
    return hasReport ? &report->second.State : nullptr;
  // If the agent has stopped reporting, the announcement is more recent.
  if (hasReport && report->second.State.ReadAt + EndpointTimeout / 2 >
                       announced->second.ReadAt)
    return &report->second.State;
  return &announced->second;
}

uint64_t digestEndpoints(const EndpointDirectory &Directory) {
  uint64_t digest = 0;
  for (const auto &[id, it] : Directory.Endpoints) {
    // An endpoint that has left counts the same as one never heard of.
    if (it.HasLeft || !ownsAddress(Directory, it))
      continue;
    std::string text = id + '/' + std::to_string(it.BornMs) +
                       (it.IsDraining ? "/draining" : "/ready");
    digest += checksumOf(text);
  }
  return digest;
}

std::vector<wire::EndpointObservation>
makeObservations(const EndpointDirectory &Directory, TimePoint Now) {
  std::vector<wire::EndpointObservation> out;
  for (const auto &[id, it] : Directory.Endpoints) {
    if (!ownsAddress(Directory, it))
      continue;
    wire::EndpointObservation observation;
    observation.set_id(id);
    observation.set_service(it.Service);
    observation.set_address(it.Address);
    observation.set_zone(it.Zone);
    observation.set_software_version(it.SoftwareVersion);
    observation.set_born_ms(it.BornMs);
    observation.set_sequence(it.Sequence);
    observation.set_slots(it.Slots);
    observation.set_is_draining(it.IsDraining);
    observation.set_has_left(it.HasLeft);
    observation.set_heard_ago_ms(toMillis(Now - it.HeardAt));
    if (it.WarmingUpUntil > it.HeardAt)
      observation.set_cold_left_ms(toMillis(it.WarmingUpUntil - it.HeardAt));
    if (it.TerminatesAt != TimePoint())
      observation.set_remaining_ms(std::max<uint64_t>(
          toMillis(it.TerminatesAt - Now) + observation.heard_ago_ms(), 1));
    auto announced = Directory.Announced.find(id);
    if (announced != Directory.Announced.end()) {
      observation.set_has_models(true);
      for (const auto &[model, adapters] : announced->second.Models) {
        wire::LoadedModel &loaded = *observation.add_models();
        loaded.set_name(model);
        for (const std::string &adapter : adapters)
          loaded.add_adapters(adapter);
      }
    }
    out.push_back(std::move(observation));
  }
  return out;
}

} // namespace sassafras
