/// \file
/// TCP proxy on loopback that injects faults into the connections it forwards.
#ifndef SASSAFRAS_TESTS_SOAK_FAULT_PROXY_H
#define SASSAFRAS_TESTS_SOAK_FAULT_PROXY_H

#include "core/time.h"

#include <memory>
#include <string>

namespace sassafras {

enum class ProxyFault {
  None,
  Delay,         ///< Each chunk of bytes is forwarded with a delay.
  BlockUpstream, ///< No bytes are forwarded to the target until the fault ends.
  BlockDownstream, ///< No bytes are forwarded from the target until the fault
                   ///< ends.
  BlockBoth, ///< No bytes are forwarded either way; connections stay open.
  Reset,     ///< Open connections are reset, and new ones as soon as accepted.
};

/// Runs on its own thread. All methods are thread-safe.
class FaultProxy {
public:
  /// Listens on \p Address and forwards each connection to \p Target.
  FaultProxy(const std::string &Address, const std::string &Target);
  ~FaultProxy();
  FaultProxy(const FaultProxy &) = delete;
  FaultProxy &operator=(const FaultProxy &) = delete;

  /// Replaces the current fault; it applies to open and new connections.
  void setFault(ProxyFault Fault);

private:
  struct Impl;
  std::unique_ptr<Impl> Data;
};

} // namespace sassafras

#endif
