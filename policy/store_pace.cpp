#include "policy/store_pace.h"

#include <algorithm>
#include <cmath>

namespace sassafras {

void recordStoreLoad(StoreConcurrency &Concurrency, size_t ConcurrentLoads,
                     Millis Alone, Millis Taken, TimePoint Now) {
  if (Alone.count() <= 0 || ConcurrentLoads == 0)
    return;
  double ratio =
      static_cast<double>(Taken.count()) / static_cast<double>(Alone.count());
  if (ratio > SlowLoadRatio) {
    auto limit = static_cast<size_t>(
        std::lround(static_cast<double>(ConcurrentLoads) / ratio));
    Concurrency.MaxLoads =
        std::clamp(limit, MinStoreLoadLimit, MaxStoreLoadLimit);
    Concurrency.ProbeAfter = Now + ProbeBackoff;
    return;
  }
  if (ConcurrentLoads >= Concurrency.MaxLoads &&
      isPast(Concurrency.ProbeAfter, Now))
    Concurrency.MaxLoads = std::min(ConcurrentLoads + 1, MaxStoreLoadLimit);
}

Millis storeLoadTime(const StoreConcurrency &Concurrency,
                     size_t ConcurrentLoads, Millis Alone) {
  double ratio = static_cast<double>(ConcurrentLoads) /
                 static_cast<double>(std::max<size_t>(Concurrency.MaxLoads, 1));
  return Millis(static_cast<int64_t>(static_cast<double>(Alone.count()) *
                                     std::max(1.0, ratio)));
}

} // namespace sassafras
