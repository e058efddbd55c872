#include "fleet/endpoint_directory.h"

#include "core/hash.h"

namespace sassafras {

namespace {

/// True when \p Sighting is of an earlier process, or earlier, than what is
/// known under its id or at its address.
bool isOutdated(const EndpointDirectory &Directory,
                const wire::EndpointSighting &Sighting) {
  auto known = Directory.Endpoints.find(Sighting.id());
  if (known != Directory.Endpoints.end()) {
    const KnownEndpoint &it = known->second;
    // A leave may tell neither its process nor a sequence.
    if (Sighting.has_left() && Sighting.born_ms() == 0)
      return false;
    if (Sighting.born_ms() != it.BornMs)
      return Sighting.born_ms() < it.BornMs;
    if (Sighting.has_left())
      return false;
    return it.HasLeft || Sighting.sequence() < it.Sequence;
  }
  auto holder = Directory.IdByAddress.find(Sighting.address());
  if (Sighting.address().empty() || holder == Directory.IdByAddress.end())
    return false;
  auto other = Directory.Endpoints.find(holder->second);
  return other != Directory.Endpoints.end() &&
         Sighting.born_ms() < other->second.BornMs;
}

void readModels(const wire::EndpointSighting &Sighting, TimePoint ReadAt,
                EngineState &Out) {
  Out = {};
  Out.ReadAt = ReadAt;
  for (const wire::LoadedModel &it : Sighting.models())
    Out.Models[it.name()] = {it.adapters().begin(), it.adapters().end()};
  Out.InMemory = {Sighting.in_memory().begin(), Sighting.in_memory().end()};
  Out.OnDisk = {Sighting.on_disk().begin(), Sighting.on_disk().end()};
  // Not every announcement that is passed on tells of weights.
  Out.HasWeightLocations = !Out.InMemory.empty() || !Out.OnDisk.empty();
}

/// The process that stood at the address before is surely gone.
void takeAddress(EndpointDirectory &Directory, const KnownEndpoint &Endpoint) {
  std::string &holder = Directory.IdByAddress[Endpoint.Address];
  if (!holder.empty() && holder != Endpoint.Id) {
    auto it = Directory.Endpoints.find(holder);
    if (it != Directory.Endpoints.end() &&
        it->second.Address == Endpoint.Address)
      it->second.HasLeft = true;
  }
  holder = Endpoint.Id;
}

/// False for one whose address another process has taken since: a node that
/// did not see it go has no use for it.
bool holdsAddress(const EndpointDirectory &Directory,
                  const KnownEndpoint &Endpoint) {
  auto holder = Directory.IdByAddress.find(Endpoint.Address);
  return holder != Directory.IdByAddress.end() && holder->second == Endpoint.Id;
}

SightingResult applyLeave(EndpointDirectory &Directory,
                          const wire::EndpointSighting &Sighting,
                          TimePoint Now) {
  auto it = Directory.Endpoints.find(Sighting.id());
  if (it == Directory.Endpoints.end()) {
    KnownEndpoint gone;
    gone.Id = Sighting.id();
    gone.BornMs = Sighting.born_ms();
    gone.HasLeft = true;
    gone.HeardAt = Now;
    Directory.Endpoints.emplace(gone.Id, gone);
    return SightingResult::Changed;
  }
  bool isNew = !it->second.HasLeft;
  it->second.HasLeft = true;
  if (isNew)
    it->second.HeardAt = Now;
  return isNew ? SightingResult::Changed : SightingResult::Refreshed;
}

} // namespace

SightingResult applySighting(EndpointDirectory &Directory,
                             const wire::EndpointSighting &Sighting,
                             TimePoint Now) {
  if (Sighting.id().empty() || isOutdated(Directory, Sighting))
    return SightingResult::Ignored;
  if (Sighting.has_left())
    return applyLeave(Directory, Sighting, Now);
  TimePoint heardAt = Now - Millis(Sighting.heard_ago_ms());
  KnownEndpoint &known = Directory.Endpoints[Sighting.id()];
  bool isNew = known.Id.empty() || known.BornMs != Sighting.born_ms();
  // The sequence says which of two announcements is the later one.
  if (!isNew && Sighting.sequence() == known.Sequence) {
    known.HeardAt = std::max(known.HeardAt, heardAt);
    return SightingResult::Ignored;
  }
  if (isNew) {
    known = {};
    Directory.Announced.erase(Sighting.id());
  }
  bool isChanged = isNew || known.IsDraining != Sighting.is_draining() ||
                   known.Address != Sighting.address();
  known.Id = Sighting.id();
  known.Service = Sighting.service();
  known.Address = Sighting.address();
  known.Zone = Sighting.zone();
  known.BornMs = Sighting.born_ms();
  known.Sequence = Sighting.sequence();
  known.Slots = std::max<uint32_t>(Sighting.slots(), 1);
  known.IsDraining = Sighting.is_draining();
  known.HeardAt = std::max(known.HeardAt, heardAt);
  known.WarmingUpUntil = heardAt + Millis(Sighting.cold_left_ms());
  if (Sighting.remaining_ms() > 0 && known.TakenAwayAt == TimePoint())
    known.TakenAwayAt = heardAt + Millis(Sighting.remaining_ms());
  if (Sighting.has_models())
    readModels(Sighting, heardAt, Directory.Announced[known.Id]);
  takeAddress(Directory, known);
  return isChanged ? SightingResult::Changed : SightingResult::Refreshed;
}

bool applyReport(EndpointDirectory &Directory, const wire::EngineReport &Report,
                 TimePoint Now) {
  AgentReading &known = Directory.AgentReports[Report.address()];
  uint64_t incarnation = Report.self().incarnation();
  // An agent whose host's wall clock was set back starts with a lower number.
  bool isRecent = Now - known.State.ReadAt < ReadingMemory;
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

void expireEndpoints(EndpointDirectory &Directory, TimePoint Now) {
  for (auto it = Directory.Endpoints.begin();
       it != Directory.Endpoints.end();) {
    const KnownEndpoint &known = it->second;
    if (Now - known.HeardAt < GoneMemory) {
      ++it;
      continue;
    }
    auto holder = Directory.IdByAddress.find(known.Address);
    if (holder != Directory.IdByAddress.end() && holder->second == known.Id) {
      Directory.IdByAddress.erase(holder);
      Directory.AgentReports.erase(known.Address);
    }
    Directory.Announced.erase(known.Id);
    it = Directory.Endpoints.erase(it);
  }
}

bool isServing(const KnownEndpoint &Endpoint, TimePoint Now) {
  bool isTakenAway =
      Endpoint.TakenAwayAt != TimePoint() && Now >= Endpoint.TakenAwayAt;
  return !Endpoint.HasLeft && !isTakenAway &&
         Now - Endpoint.HeardAt < EndpointTimeout;
}

bool isUsable(const KnownEndpoint &Endpoint, TimePoint Now) {
  return isServing(Endpoint, Now) && !Endpoint.IsDraining;
}

const EngineState *findEngineState(const EndpointDirectory &Directory,
                                   const KnownEndpoint &Endpoint) {
  auto reading = Directory.AgentReports.find(Endpoint.Address);
  // A report of the process before this one says nothing of it.
  bool hasReading = reading != Directory.AgentReports.end() &&
                    (reading->second.BornMs == 0 ||
                     reading->second.BornMs == Endpoint.BornMs);
  auto announced = Directory.Announced.find(Endpoint.Id);
  if (announced == Directory.Announced.end())
    return hasReading ? &reading->second.State : nullptr;
  // An agent that fell silent is older news than the announcement.
  if (hasReading && reading->second.State.ReadAt + EndpointTimeout / 2 >
                        announced->second.ReadAt)
    return &reading->second.State;
  return &announced->second;
}

uint64_t digestEndpoints(const EndpointDirectory &Directory) {
  uint64_t digest = 0;
  for (const auto &[id, it] : Directory.Endpoints) {
    // One that left is as good as one that was never heard of.
    if (it.HasLeft || !holdsAddress(Directory, it))
      continue;
    std::string text = id + '/' + std::to_string(it.BornMs) +
                       (it.IsDraining ? "/draining" : "/ready");
    digest += checksumOf(text);
  }
  return digest;
}

std::vector<wire::EndpointSighting>
makeSightings(const EndpointDirectory &Directory, TimePoint Now) {
  std::vector<wire::EndpointSighting> out;
  for (const auto &[id, it] : Directory.Endpoints) {
    if (!holdsAddress(Directory, it))
      continue;
    wire::EndpointSighting sighting;
    sighting.set_id(id);
    sighting.set_service(it.Service);
    sighting.set_address(it.Address);
    sighting.set_zone(it.Zone);
    sighting.set_born_ms(it.BornMs);
    sighting.set_sequence(it.Sequence);
    sighting.set_slots(it.Slots);
    sighting.set_is_draining(it.IsDraining);
    sighting.set_has_left(it.HasLeft);
    sighting.set_heard_ago_ms(toMillis(Now - it.HeardAt));
    if (it.TakenAwayAt != TimePoint())
      sighting.set_remaining_ms(std::max<uint64_t>(
          toMillis(it.TakenAwayAt - Now) + sighting.heard_ago_ms(), 1));
    auto announced = Directory.Announced.find(id);
    if (announced != Directory.Announced.end()) {
      sighting.set_has_models(true);
      for (const auto &[model, adapters] : announced->second.Models) {
        wire::LoadedModel &loaded = *sighting.add_models();
        loaded.set_name(model);
        for (const std::string &adapter : adapters)
          loaded.add_adapters(adapter);
      }
    }
    out.push_back(std::move(sighting));
  }
  return out;
}

} // namespace sassafras
