#include "engine_agent/report_targets.h"

#include "fleet/zone_relays.h"

#include <algorithm>

namespace sassafras {

std::vector<ReportTarget> chooseReportTargets(const Roster &Fronts,
                                              const wire::NodeEntry &Self,
                                              const std::string &Placer,
                                              ReportScope Scope,
                                              TimePoint Now) {
  FrontsByZone fronts = listFrontsByZone(Fronts, Now);
  size_t n = 0;
  for (const auto &[zone, it] : fronts)
    n += it.size();
  std::vector<ReportTarget> out;
  for (const auto &[zone, it] : fronts) {
    bool isDirect = !usesZoneRelays(n) || zone == Self.zone();
    std::vector<ZoneFront> relays;
    if (!isDirect && Scope == ReportScope::Fleet)
      relays = chooseRelays(it, Self.name());
    for (const ZoneFront &front : it) {
      bool passesOn = std::any_of(
          relays.begin(), relays.end(),
          [&](const ZoneFront &Relay) { return Relay.Name == front.Name; });
      bool placesModels = front.Name == Placer;
      if (isDirect || passesOn || placesModels)
        out.push_back({front.Address, passesOn, placesModels});
    }
  }
  return out;
}

} // namespace sassafras
