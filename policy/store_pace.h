/// \file
/// How many loads the weight store serves at once at full speed, found out from
/// how long loads take.
///
/// Load pattern: engines were lost and many models lie on none. A load that
/// begins beside more than the store serves takes longer in proportion, and
/// keeps its engine from other orders all that time; what is not begun waits
/// without holding anything.
#ifndef SASSAFRAS_POLICY_STORE_PACE_H
#define SASSAFRAS_POLICY_STORE_PACE_H

#include "core/time.h"

#include <cstddef>

namespace sassafras {

/// MaxLoads until anything is known, and the bounds within which they are
/// sought.
inline constexpr size_t FirstStorePlaces = 3;
inline constexpr size_t LeastStorePlaces = 2;
inline constexpr size_t MostStorePlaces = 8;
/// A load that took this much longer than alone was slowed by others; less is
/// the lag of reports.
inline constexpr double SlowedRatio = 1.15;
/// After a slowed load one more place is tried again no sooner than this:
/// loads that an earlier leader ordered may have slowed it.
inline constexpr Millis ProbePause{30'000};

struct StoreConcurrency {
  size_t MaxLoads = FirstStorePlaces;
  TimePoint ProbeAfter;
};

/// A load is over that took \p Taken, would have taken \p Alone by itself, and
/// was one of \p Together when it began. Not thread safe.
void recordStoreLoad(StoreConcurrency &Pace, size_t Together, Millis Alone,
                     Millis Taken, TimePoint Now);
/// Time that a load takes which begins as one of \p Together. Thread safe.
Millis storeLoadTime(const StoreConcurrency &Pace, size_t Together,
                     Millis Alone);

} // namespace sassafras

#endif
