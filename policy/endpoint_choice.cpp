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

namespace {

/// An endpoint that may be sent to, and what speaks against it in requests:
/// those that it holds, and as many as its other drawbacks are worth.
struct Level {
  size_t Candidate = 0;
  double Height = 0;
};

/// Those that may be sent to, lowest first.
std::vector<Level> listLevels(const std::vector<EndpointCandidate> &Candidates,
                              const std::string &OwnZone, TimePoint Now,
                              double &Held) {
  std::vector<Level> out;
  for (size_t i = 0; i < Candidates.size(); ++i) {
    const EndpointCandidate &it = Candidates[i];
    const EndpointRecord &record = *it.Record;
    double slots = it.Slots;
    double load = estimateLoad(record, Now);
    if (!isPast(record.PausedUntil, Now) || load >= slots * (1 + QueueShare))
      continue;
    double drawbacks = FailureWeight * record.FailureRate +
                       (it.Zone == OwnZone ? 0 : ZoneLead) +
                       (it.IsWarmingUp ? SlowPenalty : 0) -
                       AffinityLead * it.Affinity;
    out.push_back({i, load + slots * drawbacks});
    Held += load;
  }
  std::sort(out.begin(), out.end(),
            [](const Level &A, const Level &B) { return A.Height < B.Height; });
  return out;
}

} // namespace

std::optional<size_t>
chooseEndpoint(const std::vector<EndpointCandidate> &Candidates,
               const std::string &OwnZone, double Point, TimePoint Now) {
  double held = 0;
  std::vector<Level> levels = listLevels(Candidates, OwnZone, Now, held);
  if (levels.empty())
    return std::nullopt;
  double coming = std::max(1.0, held * ComingShare);
  // The lowest are filled up with what comes until they are all level.
  double sum = 0;
  double surface = 0;
  size_t filled = 0;
  while (filled < levels.size()) {
    sum += levels[filled++].Height;
    surface = (sum + coming) / static_cast<double>(filled);
    if (filled < levels.size() && surface <= levels[filled].Height)
      break;
  }
  double left = Point * coming;
  for (size_t i = 0; i < filled; ++i) {
    left -= surface - levels[i].Height;
    if (left < 0)
      return levels[i].Candidate;
  }
  return levels.front().Candidate;
}

void recordSend(EndpointRecord &Record) {
  ++Record.Open;
  ++Record.SentSinceReport;
}

void recordLoadReport(EndpointRecord &Record, uint32_t Load,
                      ReportLifetime Life, TimePoint Now) {
  Record.ReportedLoad = Load;
  Record.SentSinceReport = 0;
  Record.ReportedAt = Now;
  Record.ReportFullUntil = Now + Life.Full;
  Record.ReportEnds = Now + Life.Most;
}

void recordSuccess(EndpointRecord &Record) {
  Record.FailureRate *= 1 - OutcomeWeight;
  Record.ConsecutiveFailures = 0;
}

void recordFailure(EndpointRecord &Record, bool IsCertain, TimePoint Now) {
  Record.FailureRate += (1 - Record.FailureRate) * OutcomeWeight;
  ++Record.ConsecutiveFailures;
  if (!IsCertain && Record.ConsecutiveFailures < PauseAfter)
    return;
  uint32_t doublings = std::min<uint32_t>(Record.ConsecutiveFailures - 1, 4);
  Record.PausedUntil =
      Now + std::min<Millis>(LeastPause * (1 << doublings), MostPause);
}

void recordClose(EndpointRecord &Record) {
  if (Record.Open > 0)
    --Record.Open;
  if (Record.SentSinceReport > 0)
    --Record.SentSinceReport;
  else if (Record.ReportedLoad > 0)
    --Record.ReportedLoad;
}

} // namespace sassafras
