/// \file
/// One seeded run of a small fleet of real processes under injected faults,
/// with callers and an operator. The invariants are checked against what
/// callers, the operator and the endpoints observe.
#ifndef SASSAFRAS_TESTS_SOAK_SOAK_RUN_H
#define SASSAFRAS_TESTS_SOAK_SOAK_RUN_H

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace sassafras {

struct SoakOptions {
  uint64_t Seed = 1;
  std::chrono::seconds Duration{12};
  int Fronts = 4;
  int Callers = 10; ///< That keep connections; further ones use them once.
  /// Faults of fronts, agents, links and disks, beside planned work and engine
  /// processes that are killed.
  bool HasFaults = true;
};

struct SoakReport {
  uint64_t Requests = 0;  ///< Without those sent with a wrong key.
  uint64_t Succeeded = 0; ///< Complete responses with status 200.
  /// Complete responses with 429 or 503, which state that the request did not
  /// run.
  uint64_t Refused = 0;
  uint64_t FaultCount = 0;
  uint64_t TablesAcknowledged = 0;
  /// How the requests of kept connections ended, by name of the end, and how
  /// many resumed a stream and were refused (see countResumptions).
  std::map<std::string, uint64_t> Ends;
  std::string Folder; ///< Logs, if KEEP_FLEET_FOLDER is set.
  /// One line for each violated invariant.
  std::vector<std::string> Violations;
  /// Injected faults with their start times.
  std::vector<std::string> FaultLog;
};

/// Injects faults for the given duration, ends them all, and checks the
/// invariants during the faults and after recovery.
SoakReport runSoak(const SoakOptions &Options);

} // namespace sassafras

#endif
