/// \file
/// Selects the endpoint for a request.
///
/// Handles these load patterns:
/// - A busy model runs on several engines, load reports lag by a second, and
///   many fronts read the same reports. A front counts its own sends
///   immediately and spreads requests as if all fronts together filled the
///   engines evenly. Otherwise all fronts would pick the engine that was least
///   loaded in the last report.
/// - Endpoints fail or stall while their health checks pass. Endpoints are
///   judged by request outcomes.
/// - Links between availability zones are costly. An endpoint in the same zone
///   is preferred while it has capacity.
#ifndef SASSAFRAS_POLICY_ENDPOINT_CHOICE_H
#define SASSAFRAS_POLICY_ENDPOINT_CHOICE_H

#include "core/time.h"
#include "policy/endpoint_estimate.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sassafras {

/// Pause after a failure. Doubles with each further consecutive failure up to
/// MaxEndpointPause. Based on the restart time of engines (a few seconds).
inline constexpr Millis MinEndpointPause{300};
inline constexpr Millis MaxEndpointPause{4'000};
/// Smoothing factor of the failure rate: weight of the newest outcome.
inline constexpr double OutcomeWeight = 0.15;
/// Penalty for an endpoint in another zone, as a share of its slots. Crossing
/// zones costs about as much as waiting for a fifth of a slot.
inline constexpr double CrossZonePenalty = 0.2;
/// Requests expected to reach the candidates from all fronts before newer load
/// reports arrive, as a share of the requests they hold: a report is up to 1.2
/// s old and a request is held for about 1.7 s.
inline constexpr double ExpectedArrivalShare = 0.7;
/// Requests that an endpoint may hold beyond its slots, as a share of the
/// slots. Further requests wait at the front, where they can still go to
/// another endpoint.
inline constexpr double MaxQueueShare = 0.25;

/// How long a load report is used. It has full weight for Full, then decays
/// linearly to none at Max: the reported requests have ended by then, and no
/// newer report may arrive unless a request is sent. Requests to engines run
/// for one or two seconds, requests to plain services for some milliseconds.
struct ReportLifetime {
  Millis Full;
  Millis Max;
};
inline constexpr ReportLifetime EngineReportLifetime{Millis(800),
                                                     Millis(3'000)};
inline constexpr ReportLifetime PlainReportLifetime{Millis(50), Millis(250)};

/// Load and outcomes of one endpoint as seen by this front.
struct EndpointRecord {
  uint32_t Open = 0; ///< Requests of this front in progress there.
  uint32_t SentSinceReport = 0;
  uint32_t ReportedLoad = 0; ///< Running and waiting requests of all fronts.
  TimePoint ReportedAt;
  TimePoint ReportFullUntil; ///< The report has full weight before this time
  TimePoint ReportExpiresAt; ///< and none after this time.
  /// Memory in tokens: of the own requests in progress, of those sent since the
  /// latest report and between it and the one before, which it may lack, and
  /// what the engine reported as in use.
  double OpenTokens = 0;
  double TokensSinceReport = 0;
  double TokensBeforeReport = 0;
  double ReportedTokens = 0;
  TimePoint MemoryReportedAt;
  double FailureRate = 0; ///< Exponentially smoothed.
  uint32_t ConsecutiveFailures = 0;
  TimePoint PausedUntil;
  TimePoint ConnectionLostAt; ///< The latest one that was refused or broken.
  /// Another process may run there since then, after this one.
  TimePoint MaybeColdSince;
  uint64_t MaybeColdBornMs = 0;
  /// Time that work takes there against the usual, as it stated last.
  std::optional<double> StatedPace;
  TimePoint PaceStatedAt;
  double LearnedPace = 1; ///< The same, smoothed over its statements.
  uint32_t PaceStatements = 0;
};

/// Statement of an endpoint at which work takes the usual time.
inline constexpr double UsualPacePercent = 100;
/// A stated pace counts in full for Full and then less and less until Max; it
/// changes many times a second.
inline constexpr ReportLifetime PaceLifetime{Millis(100), Millis(600)};

struct EndpointCandidate {
  std::string Id;
  std::string Zone;
  uint32_t Slots = 1;
  bool IsWarmingUp = false; ///< Has just started.
  double Affinity = 0; ///< 0 to 1; breaks ties between endpoints of equal load.
  const EndpointRecord *Record = nullptr;
  /// Requests that it starts per second, where it states a limit.
  std::optional<double> RequestLimit = std::nullopt;
  TimePoint PausedUntil = {}; ///< It asked for a pause until then.
  EndpointEstimate Estimate = {};
  /// The endpoint fails when its requests exceed its memory. Others stop some
  /// of them and start them again later.
  bool FailsWhenFull = false;
};

/// Estimates the number of requests that the endpoint holds from its last
/// report and this front's own requests.
double estimateLoad(const EndpointRecord &Record, TimePoint Now);
/// Returns the index of the endpoint to send to, or nothing when all are full
/// or paused. \p Draw is a uniform random number in [0, 1); 0 selects the least
/// loaded endpoint. Pure and thread safe.
std::optional<size_t>
chooseEndpoint(const std::vector<EndpointCandidate> &Candidates,
               const std::string &OwnZone, double Draw, TimePoint Now);

/// Estimates the memory in use there, in tokens, from the last report and this
/// front's own requests. Pure and thread safe.
double estimateMemory(const EndpointRecord &Record, TimePoint Now);
/// Part of it that this front sent and the last report may lack.
double unseenMemory(const EndpointRecord &Record);
/// \p Tokens: memory that the request takes at most.
void recordSend(EndpointRecord &Record, double Tokens = 0);
/// Records the memory in use that an engine or its agent reported, in tokens.
void recordMemoryReport(EndpointRecord &Record, double Tokens, TimePoint Now);
/// Records the load that an endpoint or its agent reported.
void recordLoadReport(EndpointRecord &Record, uint32_t Load,
                      ReportLifetime Life, TimePoint Now);
/// Records the pace that an endpoint stated, as a multiple of the usual time.
void recordPace(EndpointRecord &Record, double Pace, TimePoint Now);
/// Time that work takes at the endpoint now against the usual: what it stated
/// last, and what was learned the longer ago that is. 1 if it never stated any.
/// Pure and thread safe.
double paceOf(const EndpointRecord &Record, TimePoint Now);
void recordSuccess(EndpointRecord &Record);
/// Records a failed request. \p IsCertain: the endpoint is known to be
/// unavailable, for example because it refuses connections, and is paused at
/// once. Otherwise it is paused only after repeated failures.
void recordFailure(EndpointRecord &Record, bool IsCertain, TimePoint Now);
/// Records the end of a request that was sent with \p Tokens.
void recordClose(EndpointRecord &Record, double Tokens = 0);

} // namespace sassafras

#endif
