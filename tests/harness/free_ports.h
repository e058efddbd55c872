/// \file
/// Ports for test processes, which no other process can take in between.
#ifndef SASSAFRAS_TESTS_HARNESS_FREE_PORTS_H
#define SASSAFRAS_TESTS_HARNESS_FREE_PORTS_H

#include <cstddef>
#include <cstdint>
#include <string>

namespace sassafras {

/// The first of \p Count ports in a row, fewer than a block has. They lie below
/// those that the kernel gives to outgoing connections, in a block that other
/// test processes leave alone while this one lives. Throws when all are taken.
uint16_t claimPorts(size_t Count);
/// One claimed port at 127.0.0.1.
std::string claimAddress();

} // namespace sassafras

#endif
