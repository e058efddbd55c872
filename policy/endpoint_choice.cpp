#include "policy/endpoint_choice.h"

#include <algorithm>

namespace sassafras {

namespace {

/// Consecutive failures after which an endpoint is paused.
constexpr uint32_t FailuresBeforePause = 2;
/// Penalty for a failure rate of 1, as a multiple of the endpoint's slots.
constexpr double FailurePenalty = 3.0;
/// Penalty of an endpoint that has just started and bonus for an affinity of 1,
/// in the same unit.
constexpr double WarmUpPenalty = 0.5;
constexpr double AffinityBonus = 0.05;
/// Penalty of an endpoint without memory for the request, in the same unit: it
/// stops other requests for it, which start again later.
constexpr double MemoryPenalty = 0.5;
/// Part of the time of a request that does not depend on the load, as a
/// multiple of the slots: a request at a full endpoint takes as much again.
constexpr double FixedTime = 0.5;
/// Least weight of the newest statement in the learned pace. The first ones all
/// have the same weight.
constexpr double PaceWeight = 0.05;

/// Running engines report at least this often.
constexpr Millis MemoryReportLifetime{12'000};

double secondsOf(Clock::duration Span) {
  return std::chrono::duration<double>(Span).count();
}

} // namespace

double estimateLoad(const EndpointRecord &Record, TimePoint Now) {
  double weight = 0;
  if (!isPast(Record.ReportFullUntil, Now))
    weight = 1;
  else if (!isPast(Record.ReportExpiresAt, Now))
    weight = secondsOf(Record.ReportExpiresAt - Now) /
             secondsOf(Record.ReportExpiresAt - Record.ReportFullUntil);
  return std::max<double>(Record.Open, weight * Record.ReportedLoad +
                                           Record.SentSinceReport);
}

namespace {

/// An available endpoint and its score in requests at an endpoint of pace 1:
/// the time that its estimated load takes, plus its penalties converted to
/// requests. Lower is better. Each further request adds the pace.
struct ScoredEndpoint {
  size_t Candidate = 0;
  double Score = 0;
  double Pace = 1;
};

/// Lists the available endpoints by ascending score. Adds their estimated load
/// to \p TotalLoad.
std::vector<ScoredEndpoint>
rankEndpoints(const std::vector<EndpointCandidate> &Candidates,
              const std::string &OwnZone, TimePoint Now, double &TotalLoad) {
  std::vector<ScoredEndpoint> out;
  for (size_t i = 0; i < Candidates.size(); ++i) {
    const EndpointCandidate &it = Candidates[i];
    const EndpointRecord &record = *it.Record;
    double slots = it.Slots;
    double load = estimateLoad(record, Now);
    if (!isPast(std::max(record.PausedUntil, it.PausedUntil), Now) ||
        load >= slots * (1 + MaxQueueShare) || it.Estimate.IsTooLarge ||
        (it.Estimate.LacksMemory && it.FailsWhenFull))
      continue;
    double penalty = (it.Estimate.LacksMemory ? MemoryPenalty : 0) +
                     FailurePenalty * record.FailureRate +
                     (it.Zone == OwnZone ? 0 : CrossZonePenalty) +
                     (it.IsWarmingUp ? WarmUpPenalty : 0) -
                     AffinityBonus * it.Affinity;
    double pace = it.Estimate.Pace;
    double score = pace * load + slots * ((pace - 1) * FixedTime + penalty);
    out.push_back({i, score, pace});
    TotalLoad += load;
  }
  std::sort(out.begin(), out.end(),
            [](const ScoredEndpoint &A, const ScoredEndpoint &B) {
              return A.Score < B.Score;
            });
  return out;
}

} // namespace

std::optional<size_t>
chooseEndpoint(const std::vector<EndpointCandidate> &Candidates,
               const std::string &OwnZone, double Draw, TimePoint Now) {
  double totalLoad = 0;
  std::vector<ScoredEndpoint> ranked =
      rankEndpoints(Candidates, OwnZone, Now, totalLoad);
  if (ranked.empty())
    return std::nullopt;
  double expected = std::max(1.0, totalLoad * ExpectedArrivalShare);
  // Water-filling: distributes the expected requests over the endpoints with
  // the lowest scores until their scores are equal.
  double sum = 0;
  double width = 0;
  double waterLevel = 0;
  size_t filled = 0;
  while (filled < ranked.size()) {
    sum += ranked[filled].Score / ranked[filled].Pace;
    width += 1 / ranked[filled].Pace;
    ++filled;
    waterLevel = (sum + expected) / width;
    if (filled < ranked.size() && waterLevel <= ranked[filled].Score)
      break;
  }
  double remaining = Draw * expected;
  for (size_t i = 0; i < filled; ++i) {
    remaining -= (waterLevel - ranked[i].Score) / ranked[i].Pace;
    if (remaining < 0)
      return ranked[i].Candidate;
  }
  return ranked.front().Candidate;
}

double unseenMemory(const EndpointRecord &Record) {
  return Record.TokensSinceReport + Record.TokensBeforeReport;
}

double estimateMemory(const EndpointRecord &Record, TimePoint Now) {
  double out = unseenMemory(Record);
  if (Record.MemoryReportedAt != TimePoint() &&
      Now - Record.MemoryReportedAt < MemoryReportLifetime)
    out += Record.ReportedTokens;
  return std::max(out, Record.OpenTokens);
}

void recordSend(EndpointRecord &Record, double Tokens) {
  ++Record.Open;
  ++Record.SentSinceReport;
  Record.OpenTokens += Tokens;
  Record.TokensSinceReport += Tokens;
}

void recordMemoryReport(EndpointRecord &Record, double Tokens, TimePoint Now) {
  Record.ReportedTokens = Tokens;
  Record.TokensBeforeReport = Record.TokensSinceReport;
  Record.TokensSinceReport = 0;
  Record.MemoryReportedAt = Now;
}

void recordLoadReport(EndpointRecord &Record, uint32_t Load,
                      ReportLifetime Life, TimePoint Now) {
  Record.ReportedLoad = Load;
  Record.SentSinceReport = 0;
  Record.ReportedAt = Now;
  Record.ReportFullUntil = Now + Life.Full;
  Record.ReportExpiresAt = Now + Life.Max;
}

void recordPace(EndpointRecord &Record, double Pace, TimePoint Now) {
  ++Record.PaceStatements;
  double weight = std::max(PaceWeight, 1.0 / Record.PaceStatements);
  Record.LearnedPace += (Pace - Record.LearnedPace) * weight;
  Record.StatedPace = Pace;
  Record.PaceStatedAt = Now;
}

double paceOf(const EndpointRecord &Record, TimePoint Now) {
  if (!Record.StatedPace)
    return 1;
  Clock::duration age = Now - Record.PaceStatedAt;
  double fading = secondsOf(PaceLifetime.Max - age) /
                  secondsOf(PaceLifetime.Max - PaceLifetime.Full);
  double weight = std::clamp(fading, 0.0, 1.0);
  return weight * *Record.StatedPace + (1 - weight) * Record.LearnedPace;
}

void recordSuccess(EndpointRecord &Record) {
  Record.FailureRate *= 1 - OutcomeWeight;
  Record.ConsecutiveFailures = 0;
}

void recordFailure(EndpointRecord &Record, bool IsCertain, TimePoint Now) {
  Record.FailureRate += (1 - Record.FailureRate) * OutcomeWeight;
  ++Record.ConsecutiveFailures;
  if (!IsCertain && Record.ConsecutiveFailures < FailuresBeforePause)
    return;
  uint32_t doublings = std::min<uint32_t>(Record.ConsecutiveFailures - 1, 4);
  Record.PausedUntil =
      Now +
      std::min<Millis>(MinEndpointPause * (1 << doublings), MaxEndpointPause);
}

void recordClose(EndpointRecord &Record, double Tokens) {
  // The oldest figure that can hold the request gives its memory back.
  Record.OpenTokens = std::max(0.0, Record.OpenTokens - Tokens);
  for (double *it : {&Record.ReportedTokens, &Record.TokensBeforeReport,
                     &Record.TokensSinceReport}) {
    double part = std::min(*it, Tokens);
    *it -= part;
    Tokens -= part;
  }
  if (Record.Open > 0)
    --Record.Open;
  if (Record.SentSinceReport > 0)
    --Record.SentSinceReport;
  else if (Record.ReportedLoad > 0)
    --Record.ReportedLoad;
}

} // namespace sassafras
