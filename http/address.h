/// \file
/// Network addresses in the form used in settings.
#ifndef SASSAFRAS_HTTP_ADDRESS_H
#define SASSAFRAS_HTTP_ADDRESS_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sassafras {

struct NetAddress {
  std::string Ip;
  uint16_t Port = 0;
};

/// Parses `IP:port`. Returns nullopt when \p Text has another form. Thread
/// safe.
std::optional<NetAddress> parseAddress(std::string_view Text);

/// Returns \p Address with the port of \p PortSource, or an empty string when
/// either is not an address. Used to derive the address of another node, since
/// nodes listen at the same ports on all hosts. Thread safe.
std::string replacePort(std::string_view Address, std::string_view PortSource);

} // namespace sassafras

#endif
