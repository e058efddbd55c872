#include "policy/store_pace.h"

#include <algorithm>
#include <cmath>

namespace sassafras {

void recordStoreLoad(StoreConcurrency &Pace, size_t Together, Millis Alone,
                     Millis Taken, TimePoint Now) {
  if (Alone.count() <= 0 || Together == 0)
    return;
  double ratio =
      static_cast<double>(Taken.count()) / static_cast<double>(Alone.count());
  if (ratio > SlowedRatio) {
    auto places =
        static_cast<size_t>(std::lround(static_cast<double>(Together) / ratio));
    Pace.MaxLoads = std::clamp(places, LeastStorePlaces, MostStorePlaces);
    Pace.ProbeAfter = Now + ProbePause;
    return;
  }
  if (Together >= Pace.MaxLoads && isPast(Pace.ProbeAfter, Now))
    Pace.MaxLoads = std::min(Together + 1, MostStorePlaces);
}

Millis storeLoadTime(const StoreConcurrency &Pace, size_t Together,
                     Millis Alone) {
  double ratio = static_cast<double>(Together) /
                 static_cast<double>(std::max<size_t>(Pace.MaxLoads, 1));
  return Millis(static_cast<int64_t>(static_cast<double>(Alone.count()) *
                                     std::max(1.0, ratio)));
}

} // namespace sassafras
