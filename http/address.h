/// \file
/// IP and port as settings write them.
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

/// Reads `IP:port`; nothing when it is not one. Thread safe.
std::optional<NetAddress> parseAddress(std::string_view Text);

/// Address of the host in \p Host at the port of \p Own; empty when either is
/// not an address. Nodes listen at the same ports on all hosts. Thread safe.
std::string replacePort(std::string_view Host, std::string_view Own);

} // namespace sassafras

#endif
