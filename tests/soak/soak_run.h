/// \file
/// One seeded run of a small fleet of real processes under injected faults,
/// with callers and an operator. The invariants are checked against what
/// callers, the operator and the endpoints observe.
#ifndef SASSAFRAS_TESTS_SOAK_SOAK_RUN_H
#define SASSAFRAS_TESTS_SOAK_SOAK_RUN_H

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace sassafras {

struct SoakReport {
  uint64_t Requests = 0;  ///< Without those sent with a wrong key.
  uint64_t Succeeded = 0; ///< Complete responses with status 200.
  /// Complete responses with 429 or 503, which state that the request did not
  /// run.
  uint64_t Refused = 0;
  uint64_t FaultCount = 0;
  uint64_t TablesAcknowledged = 0;
  /// One line for each violated invariant.
  std::vector<std::string> Violations;
  /// Injected faults with their start times.
  std::vector<std::string> FaultLog;
};

/// Injects faults for \p Duration, ends them all, and checks the invariants
/// during the faults and after recovery.
SoakReport runSoak(uint64_t Seed, std::chrono::seconds Duration);

} // namespace sassafras

#endif
