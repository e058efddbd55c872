/// \file
/// JSON codec for endpoint announcements and engine orders.
#ifndef SASSAFRAS_AGENT_ANNOUNCEMENT_H
#define SASSAFRAS_AGENT_ANNOUNCEMENT_H

#include "agent/agent_state.h"

#include <optional>
#include <string>
#include <string_view>

namespace sassafras {

/// An endpoint's address (IP:port) and its report.
struct Announcement {
  std::string Address;
  EndpointReport Report;
};

/// Parses an announcement. Returns nothing and sets \p Problem to the reason
/// when it is malformed. Thread safe.
std::optional<Announcement> parseAnnouncement(std::string_view Json,
                                              std::string &Problem);

/// Returns the JSON body of a load or unload order for an engine. Thread safe.
std::string serializeOrder(const SendOrder &Order);

} // namespace sassafras

#endif
