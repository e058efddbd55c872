/// \file
/// Idle time-out after which a replica is unloaded.
#ifndef SASSAFRAS_POLICY_IDLING_H
#define SASSAFRAS_POLICY_IDLING_H

#include "core/time.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>

namespace sassafras {

/// Number of histogram buckets for gaps between requests. Widths double.
inline constexpr size_t GapBuckets = 14;
/// Counts are halved once their sum reaches this, so that old gaps lose weight.
inline constexpr double GapDecayThreshold = 64;

/// Cost weights and bounds of the idle time-out for one deployment.
struct IdleWeights {
  Millis Shortest{5'000}; ///< Lower bound while memory is free.
  Millis Longest{600'000};
  Millis LoadTime{10'000}; ///< Delay of a cold start for a caller.
  /// Idle seconds that cost as much as one second of waiting.
  double ColdStartPrice = 3;
};

struct GapHistogram {
  std::array<double, GapBuckets> Counts{};
  double Sum = 0;
  TimePoint LastArrival;
  bool HasArrival = false;
};

/// Histograms of the gaps between arrivals for all rows.
struct ArrivalHistory {
  std::map<std::string, GapHistogram> Rows;
};

/// Records that requests for \p Row arrived at \p Now.
void recordArrivals(ArrivalHistory &State, const std::string &Row,
                    TimePoint Now);
/// Returns the idle time after which \p Row is unloaded: the one that minimises
/// the expected cost of waiting and idling under the row's own gap histogram.
Millis idleTimeout(const ArrivalHistory &State, const std::string &Row,
                   const IdleWeights &Weights);

} // namespace sassafras

#endif
