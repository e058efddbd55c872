/// \file
/// One seeded run of a small fleet of real processes under faults from
/// outside, with callers, an operator and the promises checked from what they
/// and the endpoints see.
#ifndef SASSAFRAS_TESTS_SOAK_SOAK_RUN_H
#define SASSAFRAS_TESTS_SOAK_SOAK_RUN_H

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace sassafras {

struct SoakReport {
  uint64_t Asked = 0;
  uint64_t Answered = 0; ///< Whole successes.
  uint64_t Refused = 0;  ///< With the promise that they did not run.
  uint64_t Faults = 0;
  uint64_t TablesAcknowledged = 0;
  std::vector<std::string> Broken; ///< One line for each broken promise.
  std::vector<std::string> Story;  ///< Faults with their times.
};

/// Runs faults for \p Length, heals all, and checks what must hold then too.
SoakReport runSoak(uint64_t Seed, std::chrono::seconds Length);

} // namespace sassafras

#endif
