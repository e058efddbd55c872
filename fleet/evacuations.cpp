#include "fleet/evacuations.h"

#include <algorithm>
#include <string_view>

namespace sassafras {

namespace {

/// Longest time since a change that is told apart.
constexpr uint64_t MaxChangeAgeMs = 30ULL * 24 * 3'600'000;

/// Number of bytes of the UTF-8 character that starts at \p Begin; 0 if there
/// is none, or a longer form than needed, a surrogate or above U+10FFFF.
size_t countCharacterBytes(std::string_view Text, size_t Begin) {
  auto byteAt = [&](size_t At) { return static_cast<unsigned char>(Text[At]); };
  unsigned char first = byteAt(Begin);
  if (first < 0x80)
    return 1;
  size_t size = first < 0xE0 ? 2 : first < 0xF0 ? 3 : 4;
  if (first < 0xC2 || first > 0xF4 || Text.size() - Begin < size)
    return 0;
  for (size_t i = 1; i < size; ++i)
    if ((byteAt(Begin + i) & 0xC0) != 0x80)
      return 0;
  unsigned char second = byteAt(Begin + 1);
  bool isOutside =
      (first == 0xE0 && second < 0xA0) || (first == 0xED && second > 0x9F) ||
      (first == 0xF0 && second < 0x90) || (first == 0xF4 && second > 0x8F);
  return isOutside ? 0 : size;
}

bool isValidUtf8(std::string_view Text) {
  for (size_t i = 0; i < Text.size();) {
    size_t size = countCharacterBytes(Text, i);
    if (size == 0)
      return false;
    i += size;
  }
  return true;
}

/// Keeps the state small when names of zones that do not exist were used.
void dropOldestEnded(wire::EvacuationState &State) {
  auto &zones = *State.mutable_zones();
  auto isEnded = [](const wire::EvacuatedZone &it) { return !it.is_active(); };
  while (std::count_if(zones.begin(), zones.end(), isEnded) >
         MaxEndedEvacuations) {
    auto oldest = std::min_element(
        zones.begin(), zones.end(), [&](const auto &A, const auto &B) {
          return std::pair(A.is_active(), A.version()) <
                 std::pair(B.is_active(), B.version());
        });
    zones.erase(oldest);
  }
}

} // namespace

std::optional<std::string> findZoneNameProblem(const std::string &Zone) {
  if (Zone.empty())
    return "the availability zone is missing";
  if (Zone.size() > MaxZoneNameBytes)
    return "the name of the availability zone is too long";
  bool isPrintable = std::all_of(Zone.begin(), Zone.end(), [](char it) {
    return static_cast<unsigned char>(it) > ' ' && it != '\x7f' && it != '/' &&
           it != '"' && it != '\\';
  });
  // The log holds the name as text: other bytes could not be read back.
  if (!isPrintable || !isValidUtf8(Zone))
    return "the name of the availability zone has invalid characters";
  return std::nullopt;
}

bool isEvacuated(const Evacuations &State, const std::string &Zone) {
  auto it = State.Zones.find(Zone);
  return it != State.Zones.end() && it->second.IsActive;
}

bool isEvacuated(const wire::EvacuationState &State, const std::string &Zone) {
  return std::any_of(
      State.zones().begin(), State.zones().end(),
      [&](const auto &it) { return it.zone() == Zone && it.is_active(); });
}

bool applyEvacuationChange(wire::EvacuationState &State,
                           const wire::EvacuationChange &Change) {
  if (isEvacuated(State, Change.zone()) == Change.is_active())
    return false;
  State.set_version(State.version() + 1);
  auto &zones = *State.mutable_zones();
  auto known = std::find_if(zones.begin(), zones.end(), [&](const auto &it) {
    return it.zone() == Change.zone();
  });
  wire::EvacuatedZone &zone =
      known == zones.end() ? *State.add_zones() : *known;
  zone.set_zone(Change.zone());
  zone.set_is_active(Change.is_active());
  zone.set_version(State.version());
  dropOldestEnded(State);
  return true;
}

std::vector<ZoneChange> mergeEvacuations(Evacuations &State,
                                         const wire::EvacuationState &Newer,
                                         TimePoint Now) {
  std::vector<ZoneChange> out;
  if (Newer.version() <= State.Version)
    return out;
  Evacuations merged;
  merged.Version = Newer.version();
  for (const wire::EvacuatedZone &it : Newer.zones()) {
    Millis age(static_cast<int64_t>(std::min(it.changed_ms(), MaxChangeAgeMs)));
    auto known = State.Zones.find(it.zone());
    bool isSame =
        known != State.Zones.end() && known->second.Version == it.version();
    merged.Zones[it.zone()] = {it.is_active(), it.version(),
                               isSame ? known->second.ChangedAt : Now - age};
    if (isEvacuated(State, it.zone()) != it.is_active())
      out.push_back({it.zone(), it.is_active(), it.version()});
  }
  for (const auto &[zone, it] : State.Zones)
    if (it.IsActive && !merged.Zones.contains(zone))
      out.push_back({zone, false, merged.Version});
  State = std::move(merged);
  return out;
}

wire::EvacuationState makeEvacuationState(const Evacuations &State,
                                          TimePoint Now) {
  wire::EvacuationState out;
  out.set_version(State.Version);
  for (const auto &[name, it] : State.Zones) {
    wire::EvacuatedZone &zone = *out.add_zones();
    zone.set_zone(name);
    zone.set_is_active(it.IsActive);
    zone.set_version(it.Version);
    zone.set_changed_ms(static_cast<uint64_t>(toMillis(Now - it.ChangedAt)));
  }
  return out;
}

TimePoint lastChangeOf(const Evacuations &State) {
  TimePoint out;
  for (const auto &[name, it] : State.Zones)
    out = std::max(out, it.ChangedAt);
  return out;
}

} // namespace sassafras
