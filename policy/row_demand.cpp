#include "policy/row_demand.h"

#include <cmath>

namespace sassafras {

namespace {

double secondsOf(Clock::duration Span) {
  return std::chrono::duration<double>(Span).count();
}

} // namespace

double readRate(const DecayingRate &Rate, Millis Span, TimePoint Now) {
  if (Rate.At == TimePoint())
    return 0;
  return Rate.PerSecond * std::exp(-secondsOf(Now - Rate.At) / secondsOf(Span));
}

void addToRate(DecayingRate &Rate, double Amount, Millis Span, TimePoint Now) {
  Rate.PerSecond = readRate(Rate, Span, Now) + Amount / secondsOf(Span);
  Rate.At = Now;
}

void recordArrival(ArrivalRates &Rates, double Worth, TimePoint Now) {
  addToRate(Rates.ShortArrivals, 1, ShortWindow, Now);
  addToRate(Rates.ShortWorth, Worth, ShortWindow, Now);
  addToRate(Rates.LongWorth, Worth, LongWindow, Now);
}

} // namespace sassafras
