/// \file
/// How long a replica stays loaded after its last request.
#ifndef SASSAFRAS_POLICY_IDLING_H
#define SASSAFRAS_POLICY_IDLING_H

#include "core/time.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>

namespace sassafras {

/// Gaps between requests are counted in buckets that double in width.
inline constexpr size_t GapBuckets = 14;
/// Counts halve once they sum to this, so that old habits fade.
inline constexpr double GapMemory = 64;

/// What a deployment's weights say of idling.
struct IdleWeights {
  Millis Shortest{5'000}; ///< Never unloaded sooner when memory is free.
  Millis Longest{600'000};
  Millis LoadTime{10'000};   ///< What a cold start costs a caller.
  double ColdStartPrice = 3; ///< Idle seconds worth one second of waiting.
};

struct GapHistogram {
  std::array<double, GapBuckets> Counts{};
  double Sum = 0;
  TimePoint LastArrival;
  bool HasArrival = false;
};

/// Gap habits of all rows.
struct ArrivalHistory {
  std::map<std::string, GapHistogram> Rows;
};

/// Requests for \p Row arrived at \p Now.
void recordArrivals(ArrivalHistory &State, const std::string &Row,
                    TimePoint Now);
/// Idle time after which \p Row is unloaded: the time that makes expected
/// waiting and expected idling cheapest under the row's own gaps.
Millis idleLimit(const ArrivalHistory &State, const std::string &Row,
                 const IdleWeights &Weights);

} // namespace sassafras

#endif
