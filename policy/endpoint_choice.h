/// \file
/// Which endpoint a request goes to.
///
/// Load patterns: a busy model on several engines while reports lag by a
/// second and many fronts read the same ones (own sends count first, and each
/// front spreads its requests as if all of them together filled the engines
/// evenly, so that they do not all turn to the one that was least loaded);
/// endpoints that fail or stall while their health looks good (judged by
/// outcomes); costly links between availability zones (a near endpoint first
/// while it has room).
#ifndef SASSAFRAS_POLICY_ENDPOINT_CHOICE_H
#define SASSAFRAS_POLICY_ENDPOINT_CHOICE_H

#include "core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sassafras {

/// An endpoint that failed takes no work for this long; doubles with each
/// further failure in a row up to the most. From the restart time of engines
/// (some seconds).
inline constexpr Millis LeastPause{300};
inline constexpr Millis MostPause{4'000};
/// Weight of the newest outcome in an endpoint's failure share.
inline constexpr double OutcomeWeight = 0.15;
/// Share of slots that a near endpoint may have in use more than a far one
/// before the far one is taken: a crossing costs about as much as a fifth of
/// a slot's wait.
inline constexpr double ZoneLead = 0.2;
/// Requests that come to the candidates from all fronts until newer reports
/// are there, as a part of those that they hold: a report is up to 1.2 s old,
/// and a request is held for about 1.7 s.
inline constexpr double ComingShare = 0.7;
/// Requests beyond its slots that an endpoint may hold, as a share of slots.
/// More wait at the front, where they can still go elsewhere.
inline constexpr double QueueShare = 0.25;

/// A report of an endpoint's load counts in full for the first of these times,
/// then less and less until the second: what it told of has ended by then, and
/// without a send no newer report may come. Of engines, whose requests run for
/// a second or two; of plain services, whose requests take some milliseconds.
struct ReportLifetime {
  Millis Full;
  Millis Most;
};
inline constexpr ReportLifetime EngineReportLifetime{Millis(800),
                                                     Millis(3'000)};
inline constexpr ReportLifetime PlainReportLifetime{Millis(50), Millis(250)};

/// What this front experienced with one endpoint.
struct EndpointRecord {
  uint32_t Open = 0; ///< Own requests under way there.
  uint32_t SentSinceReport = 0;
  uint32_t ReportedLoad = 0; ///< Running and waiting, from all fronts.
  TimePoint ReportedAt;
  TimePoint ReportFullUntil; ///< The report counts in full before this,
  TimePoint ReportEnds;      ///< and for nothing after this.
  double FailureRate = 0;    ///< Smoothed.
  uint32_t ConsecutiveFailures = 0;
  TimePoint PausedUntil;
};

struct EndpointCandidate {
  std::string Id;
  std::string Zone;
  uint32_t Slots = 1;
  bool IsWarmingUp = false; ///< Just started.
  double Affinity = 0;      ///< 0 to 1; breaks ties between equal loads.
  const EndpointRecord *Record = nullptr;
};

/// Requests that the endpoint holds by the best knowledge of this front.
double estimateLoad(const EndpointRecord &Record, TimePoint Now);
/// The endpoint to send to, or nothing when all are full or paused. \p Point
/// is drawn evenly from 0 up to 1; at 0 it is the least loaded. Pure and thread
/// safe.
std::optional<size_t>
chooseEndpoint(const std::vector<EndpointCandidate> &Candidates,
               const std::string &OwnZone, double Point, TimePoint Now);

void recordSend(EndpointRecord &Record);
/// Load figures that an endpoint or its agent gave.
void recordLoadReport(EndpointRecord &Record, uint32_t Load,
                      ReportLifetime Life, TimePoint Now);
void recordSuccess(EndpointRecord &Record);
/// \p IsCertain: nothing can be expected of it for now, as when it refuses
/// connections; else it is paused only after repeated failures.
void recordFailure(EndpointRecord &Record, bool IsCertain, TimePoint Now);
void recordClose(EndpointRecord &Record);

} // namespace sassafras

#endif
