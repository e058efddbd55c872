#include "tests/harness/free_ports.h"

#include <fstream>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace sassafras {

namespace {

constexpr uint16_t FirstPort = 10'000;
constexpr uint16_t BlockSize = 64;
/// First ephemeral port where the kernel does not report it.
constexpr uint16_t DefaultEphemeralPort = 32'768;

uint16_t firstEphemeralPort() {
  std::ifstream in("/proc/sys/net/ipv4/ip_local_port_range");
  uint16_t first = 0;
  return in >> first ? first : DefaultEphemeralPort;
}

/// Binds \p Port exclusively and returns the socket, or -1 if it is in use.
int bindExclusively(uint16_t Port) {
  int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(Port);
  if (::bind(descriptor, reinterpret_cast<sockaddr *>(&address),
             sizeof(address)) == 0)
    return descriptor;
  ::close(descriptor);
  return -1;
}

bool isFree(uint16_t Port) {
  int descriptor = bindExclusively(Port);
  if (descriptor < 0)
    return false;
  ::close(descriptor);
  return true;
}

/// The rest of the block of ports that this process has reserved.
struct PortBlock {
  uint16_t Next = 0;
  uint16_t End = 0;
};

PortBlock reserveBlock() {
  static uint16_t block = 0;
  uint16_t blockCount = (firstEphemeralPort() - FirstPort) / BlockSize;
  while (block < blockCount) {
    uint16_t first = FirstPort + block * BlockSize;
    ++block;
    // The first port of a block stays bound until the process exits, which
    // shows other processes that the block is reserved.
    if (bindExclusively(first) >= 0)
      return {static_cast<uint16_t>(first + 1),
              static_cast<uint16_t>(first + BlockSize)};
  }
  throw std::runtime_error(
      "no free block of 64 ports below the ephemeral range");
}

} // namespace

uint16_t reservePorts(size_t Count) {
  static PortBlock current;
  size_t consecutive = 0;
  for (;;) {
    if (current.Next == current.End) {
      current = reserveBlock();
      consecutive = 0;
    }
    consecutive = isFree(current.Next++) ? consecutive + 1 : 0;
    if (consecutive == Count)
      return static_cast<uint16_t>(current.Next - Count);
  }
}

std::string reserveAddress() {
  return "127.0.0.1:" + std::to_string(reservePorts(1));
}

} // namespace sassafras
