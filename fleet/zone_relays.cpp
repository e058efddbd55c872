#include "fleet/zone_relays.h"

#include "core/hash.h"

#include <algorithm>

namespace sassafras {

bool usesZoneRelays(size_t Fronts) { return Fronts > MaxFrontsWithoutRelays; }

FrontsByZone listFrontsByZone(const Roster &Roster, TimePoint Now) {
  FrontsByZone out;
  for (const auto &[name, it] : Roster.Nodes)
    if (it.Entry.kind() == wire::NODE_FRONT && isInView(it, Now) &&
        !it.IsLeaving)
      out[it.Entry.zone()].push_back({name, it.Entry.address()});
  return out;
}

std::vector<ZoneFront> chooseRelays(const std::vector<ZoneFront> &Fronts,
                                    const std::string &Key) {
  std::vector<std::pair<uint64_t, size_t>> ranks;
  for (size_t i = 0; i < Fronts.size(); ++i)
    ranks.emplace_back(checksumOf(Key + '@' + Fronts[i].Name), i);
  size_t n = std::min(RelaysPerZone, ranks.size());
  std::partial_sort(ranks.begin(),
                    ranks.begin() + static_cast<std::ptrdiff_t>(n),
                    ranks.end());
  std::vector<ZoneFront> out;
  for (size_t i = 0; i < n; ++i)
    out.push_back(Fronts[ranks[i].second]);
  return out;
}

} // namespace sassafras
