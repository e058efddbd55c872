/// \file
/// Estimates from load times how many concurrent loads the weight store serves
/// at full speed.
///
/// Load pattern: engines were lost and many models are on none. A load started
/// beyond the store's capacity takes proportionally longer and blocks its
/// engine for other orders until it ends. A load that has not started blocks no
/// engine.
#ifndef SASSAFRAS_POLICY_STORE_PACE_H
#define SASSAFRAS_POLICY_STORE_PACE_H

#include "core/time.h"

#include <cstddef>

namespace sassafras {

/// Limit before the first finished load, and the bounds of the limit.
inline constexpr size_t InitialStoreLoadLimit = 3;
inline constexpr size_t MinStoreLoadLimit = 2;
inline constexpr size_t MaxStoreLoadLimit = 8;
/// A load whose time exceeds its unloaded time by more than this ratio was
/// slowed by other loads. Smaller excesses are due to report lag.
inline constexpr double SlowLoadRatio = 1.15;
/// Minimum time after a slowed load before the limit is raised again. Loads
/// ordered by a previous leader may have slowed it.
inline constexpr Millis ProbeBackoff{30'000};

struct StoreConcurrency {
  /// Estimated number of concurrent loads that the store serves at full speed.
  size_t MaxLoads = InitialStoreLoadLimit;
  TimePoint ProbeAfter; ///< The limit is not raised before this time.
};

/// Adjusts the limit after a load that took \p Taken, would have taken \p Alone
/// without other loads, and was one of \p ConcurrentLoads when it started. Not
/// thread safe.
void recordStoreLoad(StoreConcurrency &Concurrency, size_t ConcurrentLoads,
                     Millis Alone, Millis Taken, TimePoint Now);
/// Estimates the time of a load that starts as one of \p ConcurrentLoads and
/// takes \p Alone without other loads. Thread safe.
Millis storeLoadTime(const StoreConcurrency &Concurrency,
                     size_t ConcurrentLoads, Millis Alone);

} // namespace sassafras

#endif
