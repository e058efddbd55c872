/// \file
/// Arrival rates of one model as seen by a front or the leader.
///
/// Load pattern: demand moves from some busy models to others within seconds,
/// while most models are requested a few times a minute. A short average
/// follows the shifts, a long average distinguishes the rare models.
#ifndef SASSAFRAS_POLICY_ROW_DEMAND_H
#define SASSAFRAS_POLICY_ROW_DEMAND_H

#include "core/time.h"

namespace sassafras {

/// Time constants of the averages. The short one is below the duration of a
/// demand shift (5 s or more), the long one covers a few requests of a rare
/// model.
inline constexpr Millis ShortWindow{2'000};
inline constexpr Millis LongWindow{20'000};

/// Exponentially decaying rate.
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
