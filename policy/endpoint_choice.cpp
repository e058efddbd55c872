#include "policy/endpoint_choice.h"

#include <algorithm>

namespace sassafras {

namespace {

/// Failures in a row after which an endpoint is paused.
constexpr uint32_t PauseAfter = 2;
/// Slots' worth of load that a failure share of one counts as.
constexpr double FailureWeight = 3.0;
constexpr double SlowPenalty = 0.5;
constexpr double AffinityLead = 0.05;

double secondsOf(Clock::duration Span) {
  return std::chrono::duration<double>(Span).count();
}

} // namespace

double estimateLoad(const EndpointRecord &Record, TimePoint Now) {
  double part = 0;
  if (!isPast(Record.ReportFullUntil, Now))
    part = 1;
  else if (!isPast(Record.ReportEnds, Now))
    part = secondsOf(Record.ReportEnds - Now) /
           secondsOf(Record.ReportEnds - Record.ReportFullUntil);
  return std::max<double>(Record.Open,
                          part * Record.ReportedLoad + Record.SentSinceReport);
}

std::optional<size_t>
chooseEndpoint(const std::vector<EndpointCandidate> &Candidates,
               const std::string &OwnZone, TimePoint Now) {
  std::optional<size_t> best;
  double bestScore = 0;
  for (size_t i = 0; i < Candidates.size(); ++i) {
    const EndpointCandidate &it = Candidates[i];
    const EndpointRecord &record = *it.Record;
    double slots = it.Slots;
    double load = estimateLoad(record, Now);
    if (!isPast(record.PausedUntil, Now) || load >= slots * (1 + QueueShare))
      continue;
    double score = load / slots + FailureWeight * record.FailureShare +
                   (it.Zone == OwnZone ? 0 : ZoneLead) +
                   (it.IsSlow ? SlowPenalty : 0) - AffinityLead * it.Affinity;
    if (!best || score < bestScore) {
      best = i;
      bestScore = score;
    }
  }
  return best;
}

void noteSent(EndpointRecord &Record) {
  ++Record.Open;
  ++Record.SentSinceReport;
}

void noteLoad(EndpointRecord &Record, uint32_t Load, ReportLife Life,
              TimePoint Now) {
  Record.ReportedLoad = Load;
  Record.SentSinceReport = 0;
  Record.ReportedAt = Now;
  Record.ReportFullUntil = Now + Life.Full;
  Record.ReportEnds = Now + Life.Most;
}

void noteSuccess(EndpointRecord &Record) {
  Record.FailureShare *= 1 - OutcomeWeight;
  Record.FailuresInRow = 0;
}

void noteFailure(EndpointRecord &Record, bool IsCertain, TimePoint Now) {
  Record.FailureShare += (1 - Record.FailureShare) * OutcomeWeight;
  ++Record.FailuresInRow;
  if (!IsCertain && Record.FailuresInRow < PauseAfter)
    return;
  uint32_t doublings = std::min<uint32_t>(Record.FailuresInRow - 1, 4);
  Record.PausedUntil =
      Now + std::min<Millis>(LeastPause * (1 << doublings), MostPause);
}

void noteClosed(EndpointRecord &Record) {
  if (Record.Open > 0)
    --Record.Open;
  if (Record.SentSinceReport > 0)
    --Record.SentSinceReport;
  else if (Record.ReportedLoad > 0)
    --Record.ReportedLoad;
}

} // namespace sassafras
