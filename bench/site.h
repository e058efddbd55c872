/// \file
/// A site of one deployment in one thread: the real decisions of one control
/// member, entries and agents, fixed service times and a seeded list of
/// arrivals. No faults; see tests/fleet_run for those.
#ifndef SASSAFRAS_BENCH_SITE_H
#define SASSAFRAS_BENCH_SITE_H

#include "agent/agent_state.h"
#include "control/control_state.h"
#include "entry/entry_state.h"

#include <functional>
#include <map>
#include <random>

namespace sassafras {

/// What differs between the measured policy and the simple ones.
struct SitePolicy {
  const char *Name = "ours";
  bool IsFixedIdle = false;   ///< Every row stays ten minutes.
  bool IsCacheBlind = false;  ///< Checkpoint tiers are not looked at.
  bool IsLocalBucket = false; ///< Each entry has rate/n and burst/n.
};

struct SiteOptions {
  const char *Deployment = "bloomline";
  int Adapters = 120;
  double ColdStartPrice = 1;
  uint32_t LoadsPerSecond = 5;
  uint64_t Seed = 1;
  std::chrono::seconds Length{1200};
  SitePolicy Policy = {};
};

/// The four measures of the brief, with what they are made of.
struct SiteResult {
  std::vector<double> ColdSeconds;
  double IdleHours = 0;  ///< Accelerator hours, by share of memory.
  double WorstShare = 1; ///< Least served share of a tenant's fair due.
  double WorstP95 = 0;   ///< Seconds, of the tenant with the longest.
  uint64_t WithinRateRefusals = 0;
  uint64_t Requests = 0;
  uint64_t Served = 0;
  uint64_t Checksum = 0; ///< Of all outcomes; the same for the same seed.
};

/// Runs one site to its end. Thread safe: nothing is shared.
SiteResult runSite(const SiteOptions &Options);

} // namespace sassafras

#endif
