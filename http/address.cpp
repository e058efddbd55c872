#include "http/address.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>

namespace sassafras {

std::optional<NetAddress> parseAddress(std::string_view Text) {
  size_t colon = Text.rfind(':');
  if (colon == std::string_view::npos)
    return std::nullopt;
  NetAddress address;
  address.Ip = std::string(Text.substr(0, colon));
  std::string_view port = Text.substr(colon + 1);
  auto [end, error] =
      std::from_chars(port.data(), port.data() + port.size(), address.Port);
  if (error != std::errc() || end != port.data() + port.size())
    return std::nullopt;
  boost::system::error_code ec;
  boost::asio::ip::make_address(address.Ip, ec);
  if (ec)
    return std::nullopt;
  return address;
}

std::string replacePort(std::string_view Address, std::string_view PortSource) {
  auto base = parseAddress(Address);
  auto portSource = parseAddress(PortSource);
  if (!base || !portSource)
    return {};
  return base->Ip + ":" + std::to_string(portSource->Port);
}

} // namespace sassafras
