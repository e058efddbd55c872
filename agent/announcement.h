/// \file
/// What an endpoint posts about itself, read from JSON.
#ifndef SASSAFRAS_AGENT_ANNOUNCEMENT_H
#define SASSAFRAS_AGENT_ANNOUNCEMENT_H

#include "agent/agent_state.h"

#include <optional>
#include <string>
#include <string_view>

namespace sassafras {

/// An announcement: where the endpoint listens and what it holds.
struct Announcement {
  std::string Address;
  EndpointReport Report;
};

/// Reads an announcement. Nothing, with the reason in \p Problem, when it is
/// not one. Thread safe.
std::optional<Announcement> parseAnnouncement(std::string_view Json,
                                              std::string &Problem);

/// JSON of an order for an engine. Thread safe.
std::string printOrder(const SendOrder &Order);

} // namespace sassafras

#endif
