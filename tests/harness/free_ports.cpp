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
/// First port of outgoing connections where the kernel does not tell.
constexpr uint16_t UsualOutgoingPort = 32'768;

uint16_t outgoingPort() {
  std::ifstream in("/proc/sys/net/ipv4/ip_local_port_range");
  uint16_t first = 0;
  return in >> first ? first : UsualOutgoingPort;
}

/// Binds \p Port for this process alone. -1 when somebody has it.
int bindAlone(uint16_t Port) {
  int file = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(Port);
  if (::bind(file, reinterpret_cast<sockaddr *>(&address), sizeof(address)) ==
      0)
    return file;
  ::close(file);
  return -1;
}

bool isFree(uint16_t Port) {
  int file = bindAlone(Port);
  if (file < 0)
    return false;
  ::close(file);
  return true;
}

/// The block in use and its next port.
struct Claim {
  uint16_t Next = 0;
  uint16_t End = 0;
};

Claim claimBlock() {
  static uint16_t block = 0;
  uint16_t blocks = (outgoingPort() - FirstPort) / BlockSize;
  while (block < blocks) {
    uint16_t first = FirstPort + block * BlockSize;
    ++block;
    // The first port of a block is held until the process ends: by it others
    // see that the block is taken.
    if (bindAlone(first) >= 0)
      return {static_cast<uint16_t>(first + 1),
              static_cast<uint16_t>(first + BlockSize)};
  }
  throw std::runtime_error("no block of ports is free");
}

} // namespace

uint16_t claimPorts(size_t Count) {
  static Claim claim;
  size_t run = 0;
  for (;;) {
    if (claim.Next == claim.End) {
      claim = claimBlock();
      run = 0;
    }
    run = isFree(claim.Next++) ? run + 1 : 0;
    if (run == Count)
      return static_cast<uint16_t>(claim.Next - Count);
  }
}

std::string claimAddress() {
  return "127.0.0.1:" + std::to_string(claimPorts(1));
}

} // namespace sassafras
