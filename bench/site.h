/// \file
/// Single-threaded simulation of one deployment: the production decision code
/// of one control member, entries and agents, fixed service times and seeded
/// arrivals. Without faults; see tests/fleet_run for those.
#ifndef SASSAFRAS_BENCH_SITE_H
#define SASSAFRAS_BENCH_SITE_H

#include "agent/agent_state.h"
#include "control/control_state.h"
#include "entry/entry_state.h"

#include <functional>
#include <map>
#include <random>

namespace sassafras {

/// Parts of the policy that are replaced by simpler ones for comparison.
struct SimulationPolicy {
  const char *Name = "ours";
  bool IsFixedIdle = false; ///< Every row stays loaded for ten minutes.
  /// Placement ignores where checkpoints are cached.
  bool IgnoresCaches = false;
  bool IsLocalBucket = false; ///< Each of n entries has rate/n and burst/n.
};

struct SimulationOptions {
  const char *Deployment = "bloomline";
  int Adapters = 120;
  double ColdStartPrice = 1;
  uint32_t LoadsPerSecond = 5;
  uint64_t Seed = 1;
  std::chrono::seconds Length{1200};
  SimulationPolicy Policy = {};
};

/// Results of one simulation.
struct SimulationResult {
  std::vector<double> ColdSeconds;
  /// Idle accelerator hours, weighted by share of memory.
  double IdleHours = 0;
  /// Smallest ratio over the organisations of served tokens to those that an
  /// ideal shared bucket would serve.
  double WorstShare = 1;
  /// Largest 95th percentile of waiting time over the organisations, in
  /// seconds.
  double WorstP95 = 0;
  uint64_t WithinRateRefusals = 0;
  uint64_t Requests = 0;
  uint64_t Served = 0;
  /// Checksum of all outcomes; equal for equal seeds and options.
  uint64_t Checksum = 0;
};

/// Runs one simulation to its end. Thread safe: nothing is shared.
SimulationResult runSimulation(const SimulationOptions &Options);

} // namespace sassafras

#endif
