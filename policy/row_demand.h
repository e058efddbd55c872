/// \file
/// Demand for one model as a front or the leader sees it.
///
/// Load pattern: the busy models fall silent in turn and others rise within
/// seconds, while most models are asked for a few times a minute. A short
/// average follows the former, a long one tells the latter apart.
#ifndef SASSAFRAS_POLICY_ROW_DEMAND_H
#define SASSAFRAS_POLICY_ROW_DEMAND_H

#include "core/time.h"

namespace sassafras {

/// Time constants of the averages. The short one is below the span of a
/// shift of demand (5 s and more), the long one covers a few requests of a
/// rare model.
inline constexpr Millis ShortWindow{2'000};
inline constexpr Millis LongWindow{20'000};

/// Exponentially decaying count.
struct DecayingRate {
  double PerSecond = 0;
  TimePoint At;
};

void addToRate(DecayingRate &Rate, double Amount, Millis Span, TimePoint Now);
double readRate(const DecayingRate &Rate, Millis Span, TimePoint Now);

struct ArrivalRates {
  DecayingRate ShortArrivals;
  DecayingRate ShortWorth;
  DecayingRate LongWorth;
};

void recordArrival(ArrivalRates &Rates, double Worth, TimePoint Now);

} // namespace sassafras

#endif
