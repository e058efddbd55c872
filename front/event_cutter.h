/// \file
/// Cuts a stream of server-sent events at the bounds of events, so that a
/// stream that breaks within one can go on at another endpoint.
#ifndef SASSAFRAS_FRONT_EVENT_CUTTER_H
#define SASSAFRAS_FRONT_EVENT_CUTTER_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sassafras {

struct EventCutter {
  std::string Rest; ///< Of an event that is not complete.
  std::optional<uint64_t> LastId;
};

/// Adds \p Bytes and returns all whole events.
std::string cutEvents(EventCutter &Cutter, std::string_view Bytes);

} // namespace sassafras

#endif
