/// \file
/// Slows down the disk of processes that a test starts.
#ifndef SASSAFRAS_TESTS_HARNESS_SLOW_DISK_H
#define SASSAFRAS_TESTS_HARNESS_SLOW_DISK_H

#include "core/time.h"

#include <string>
#include <vector>

namespace sassafras {

/// Environment of processes whose disk setDiskDelay slows down, which reads the
/// file \p DelayFile: that of the test and the library slow_disk.
std::vector<std::string> makeSlowDiskEnvironment(const std::string &DelayFile);

/// Environment of the test.
std::vector<std::string> copyEnvironment();

/// From now on each synchronous write of these processes takes \p Delay longer.
void setDiskDelay(const std::string &DelayFile, Millis Delay);

} // namespace sassafras

#endif
