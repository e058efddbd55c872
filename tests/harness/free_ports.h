/// \file
/// Reserves ports so that concurrent test processes do not use the same ones.
#ifndef SASSAFRAS_TESTS_HARNESS_FREE_PORTS_H
#define SASSAFRAS_TESTS_HARNESS_FREE_PORTS_H

#include <cstddef>
#include <cstdint>
#include <string>

namespace sassafras {

/// Returns the first of \p Count consecutive ports; \p Count must be below the
/// block size of 64. The ports lie below the kernel's ephemeral range, in a
/// block that other test processes do not use until this process exits. Throws
/// std::runtime_error if no block is free. Not thread-safe.
uint16_t reservePorts(size_t Count);
/// Returns 127.0.0.1 with one reserved port. Not thread-safe.
std::string reserveAddress();

} // namespace sassafras

#endif
