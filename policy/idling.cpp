#include "policy/idling.h"

#include <algorithm>

namespace sassafras {

namespace {

/// Upper bound of bucket \p Index in seconds: 1, 2, 4 and so on.
double upperSeconds(size_t Index) {
  return static_cast<double>(uint64_t{1} << Index);
}

size_t bucketOf(double Seconds) {
  size_t index = 0;
  while (index + 1 < GapBuckets && Seconds > upperSeconds(index))
    ++index;
  return index;
}

double seconds(Millis Span) {
  return std::chrono::duration<double>(Span).count();
}

/// Expected cost, summed over the recorded gaps, if the row is unloaded after
/// \p Limit seconds without a request.
double expectedCost(const GapHistogram &Gaps, double Limit,
                    const IdleWeights &Weights) {
  double cost = 0;
  for (size_t i = 0; i < GapBuckets; ++i) {
    // Uses the upper bound for the whole bucket, so that a gap is never assumed
    // to be shorter than it was.
    double gap = upperSeconds(i);
    if (gap <= Limit)
      cost += Gaps.Counts[i] * gap;
    else
      cost += Gaps.Counts[i] *
              (Limit + Weights.ColdStartPrice * seconds(Weights.LoadTime));
  }
  return cost;
}

} // namespace

void recordArrivals(ArrivalHistory &State, const std::string &Row,
                    TimePoint Now) {
  GapHistogram &gaps = State.Rows[Row];
  if (gaps.HasArrival) {
    std::chrono::duration<double> gap = Now - gaps.LastArrival;
    gaps.Counts[bucketOf(gap.count())] += 1;
    gaps.Sum += 1;
  }
  gaps.HasArrival = true;
  gaps.LastArrival = Now;
  if (gaps.Sum < GapDecayThreshold)
    return;
  for (double &it : gaps.Counts)
    it /= 2;
  gaps.Sum /= 2;
}

Millis idleTimeout(const ArrivalHistory &State, const std::string &Row,
                   const IdleWeights &Weights) {
  // Without enough recorded gaps, the row stays loaded for as long as one cold
  // start is worth.
  Millis unknown{static_cast<int64_t>(
      static_cast<double>(Weights.LoadTime.count()) * Weights.ColdStartPrice)};
  Millis best = std::clamp(unknown, Weights.Shortest, Weights.Longest);
  auto it = State.Rows.find(Row);
  if (it == State.Rows.end() || it->second.Sum < 2)
    return best;
  const GapHistogram &gaps = it->second;
  best = Weights.Shortest;
  double bestCost = expectedCost(gaps, seconds(best), Weights);
  for (size_t i = 0; i < GapBuckets; ++i) {
    Millis limit{static_cast<int64_t>(upperSeconds(i) * 1000)};
    if (limit <= Weights.Shortest || limit > Weights.Longest)
      continue;
    double cost = expectedCost(gaps, seconds(limit), Weights);
    if (cost >= bestCost)
      continue;
    bestCost = cost;
    best = limit;
  }
  return best;
}

} // namespace sassafras
