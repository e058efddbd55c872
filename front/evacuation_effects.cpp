#include "front/evacuation_effects.h"

#include "core/logging.h"
#include "front/endpoint_statements.h"

#include <algorithm>

namespace sassafras {

namespace {

void logChange(const FrontState &State, const ZoneChange &Change,
               const char *Source, TimePoint Now) {
  ZoneSummary zone = summarizeZone(State, Change.Zone, Now);
  bool isLast = Change.IsActive && zone.Endpoints > 0 && zone.Remaining == 0;
  logEvent(isLast ? LogLevel::Warning : LogLevel::Info,
           Change.IsActive ? "evacuation_started" : "evacuation_ended",
           {{"evacuated_zone", Change.Zone},
            {"version", std::to_string(Change.Version)},
            {"source", Source},
            {"endpoints", std::to_string(zone.Endpoints)},
            {"remaining", std::to_string(zone.Remaining)},
            {"open_here", std::to_string(zone.OpenHere)}});
}

} // namespace

ZoneSummary summarizeZone(const FrontState &State, const std::string &Zone,
                          TimePoint Now) {
  ZoneSummary out;
  out.IsKnown =
      State.Self.zone() == Zone || State.Evacuations.Zones.contains(Zone);
  for (const auto &[name, it] : State.Roster.Nodes)
    out.IsKnown = out.IsKnown || it.Entry.zone() == Zone;
  for (const auto &[id, it] : State.Directory.Endpoints) {
    out.IsKnown = out.IsKnown || it.Zone == Zone;
    if (!isServing(it, Now))
      continue;
    out.Endpoints += it.Zone == Zone;
    out.Remaining +=
        it.Zone != Zone && !isEvacuated(State.Evacuations, it.Zone);
  }
  for (const auto &[name, usage] : State.ModelUsages)
    for (const auto &[id, count] : usage.OpenByEndpoint) {
      auto it = State.Directory.Endpoints.find(id);
      if (it != State.Directory.Endpoints.end() && it->second.Zone == Zone)
        out.OpenHere += count;
    }
  return out;
}

std::vector<ZoneChange> applyEvacuations(FrontState &State,
                                         const wire::EvacuationState &Newer,
                                         const char *Source, TimePoint Now) {
  if (Newer.version() >= State.Evacuations.Version)
    State.HasEvacuationWord = true;
  auto changes = mergeEvacuations(State.Evacuations, Newer, Now);
  for (const ZoneChange &it : changes) {
    logChange(State, it, Source, Now);
    if (!it.IsActive)
      suspectCold(State, it.Zone, Now);
  }
  return changes;
}

void suspectCold(FrontState &State, const std::string &Zone, TimePoint Now) {
  logEvent(LogLevel::Info, "zone_may_be_cold",
           {{"returned_zone", Zone},
            {"endpoints",
             std::to_string(summarizeZone(State, Zone, Now).Endpoints)}});
  for (const auto &[id, it] : State.Directory.Endpoints)
    if (it.Zone == Zone && isServing(it, Now))
      recordSuspectedCold(State, id, Now);
}

bool knowsEvacuations(const FrontState &State, TimePoint Now) {
  return State.HasEvacuationWord || State.IsLeading ||
         isPast(State.StartedAt + EvacuationLearnTime, Now);
}

} // namespace sassafras
