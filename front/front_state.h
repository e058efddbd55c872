/// \file
/// State that a front bases its decisions on: serving table, nodes, endpoints,
/// demand and limits. Plain data; not thread safe.
#ifndef SASSAFRAS_FRONT_FRONT_STATE_H
#define SASSAFRAS_FRONT_FRONT_STATE_H

#include "core/time.h"
#include "fleet/endpoint_directory.h"
#include "fleet/evacuations.h"
#include "fleet/roster.h"
#include "fleet/serving_table.h"
#include "policy/caller_order.h"
#include "policy/crash_quarantine.h"
#include "policy/endpoint_choice.h"
#include "policy/endpoint_speed.h"
#include "policy/rate_share.h"
#include "policy/retry_budget.h"
#include "policy/return_time.h"
#include "policy/row_demand.h"
#include "policy/send_pace.h"
#include "policy/zone_crossing.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace sassafras {

/// Mean time for which a running request holds its slot, derived from the
/// prompt and output sizes of the known deployments.
inline constexpr Millis MeanEngineServiceTime{1'700};
/// The same for plain services.
inline constexpr Millis MeanPlainServiceTime{80};

/// Settings that a front's decisions depend on.
struct FrontLimits {
  RetryLimits Retries;
  QuotaTolerance Tolerance;
  /// Demand for a refused model is kept until its callers are due to retry,
  /// within these bounds.
  Millis MinDemandRetention{3'000};
  Millis MaxDemandRetention{10'000};
  /// Limit of waiting requests at one front for each model or service; each
  /// holds its body in memory.
  size_t MaxWaitingRequests = 1'000;
  /// Bounds of how long an endpoint's word keeps it without requests.
  Millis LongestPause{60'000};
  Millis LongestLeaving{600'000};
  /// Engines fail when their requests exceed their memory.
  bool EnginesFailWhenFull = false;
  std::optional<ColdBound> Cold; ///< Nothing if the deployment sets no bound.
  /// Terms of leaving the availability zone; absent: a fixed penalty applies.
  std::optional<CrossingTerms> Crossing;
};

/// Time that connections to a zone took to establish, smoothed.
struct ZoneDelay {
  double RoundTripMs = 0;
  TimePoint MeasuredAt;
};

/// Use of one model or plain service at this front.
struct ModelUsage {
  uint32_t Arrivals = 0;                          ///< Since the last heartbeat.
  double Worth = 0;                               ///< Sum over those arrivals.
  uint32_t Open = 0;                              ///< In progress at endpoints.
  std::map<std::string, uint32_t> OpenByEndpoint; ///< The same by endpoint.
  std::set<uint64_t> Waiting;                     ///< Request numbers.
  double WaitingWorth = 0;
  TimePoint WaitingSince;       ///< Since then, Waiting has not been empty.
  TimePoint RetryExpectedUntil; ///< Refused callers should retry by then.
  double RetryExpectedWorth = 0;
  ReturningCallers Returning; ///< Refused callers that are due back.
  RankBacklog FleetBacklog;   ///< Of all fronts, as the leader told last.
  TimePoint FleetBacklogAt;   ///< When it was received.
  /// Software versions at which streams wait that go on nowhere else, and when
  /// each need ends.
  std::map<std::string, TimePoint> WantedVersions;
  TimePoint NextDemandReport; ///< Limits the rate of reports to the leader.
  TimePoint NextAgentRequest; ///< The same for agents, without a leader.
  TimePoint ReadyAt;    ///< End of the load, by the leader's last forecast.
  TimePoint ForecastAt; ///< When that forecast was received.
};

/// A request that waits at this front.
struct WaitingRequest {
  std::string Service;
  WaitingCaller Caller;
};

/// What the other fronts are to be told of crashes with the next notice.
struct PendingCrashNotices {
  struct Accusation {
    std::vector<std::string> Features; ///< Of one request.
    CrashAccusation Crash;
  };
  std::vector<Accusation> Accusations;
  /// Features, with the start of a request with them that ran well.
  std::map<std::string, TimePoint> Cleared;
};

/// What an endpoint stated of itself (front/endpoint_statements.h).
struct EndpointStatement {
  uint64_t BornMs = 0; ///< Start of the process that stated it.
  /// Requests per second over all fronts; nothing if it states no limit.
  std::optional<double> RequestLimit;
  TimePoint StatedAt; ///< Of the latest answer that was about the limit.
  /// It takes no new requests before this time; it leaves.
  TimePoint LeavingUntil;
  /// It wants no request from this front before this time.
  TimePoint PausedUntil;
  TimePoint ColdUntil;    ///< It is cold before this time.
  TimePoint ColdEndedAt;  ///< End of the latest cold time that is over.
  TimePoint ColdStatedAt; ///< Zero if nothing is known about that.
  TimePoint ColdOwnUntil; ///< The part of it that the process itself stated.
  /// Where the rest is only suspected: a statement made earlier does not end
  /// it.
  TimePoint ColdEndableAt;
};

/// The right to send one request to an endpoint (front/send_permits.h).
struct SendPermit {
  TimePoint ValidFrom;
  TimePoint ExpiresAt;
  bool IsSeen = false; ///< Waiting requests were told that it is valid.
};

/// Permits for one endpoint that states a limit.
struct EndpointPermits {
  std::vector<SendPermit> Held;
  bool IsColdPaced = false; ///< It counted as cold when last looked at.
  /// Replies up to this number are of the time before it became cold.
  uint64_t LastWarmNumber = 0;
  uint64_t AskedWith = 0; ///< Number of the unanswered request; or 0.
  TimePoint ClosedUntil;  ///< The leader has no slot for this front before.
  LeaderlessSchedule Leaderless;
};

struct SendPermits {
  std::map<std::string, EndpointPermits> Endpoints; ///< By id.
  std::map<uint64_t, TimePoint> Unanswered;         ///< Send times, by number.
  uint64_t LastNumber = 0;
  uint64_t Term = 0;            ///< Of the latest reply.
  TimePoint LeaderAskableAt;    ///< Later after a request without a reply.
  size_t FrontsUnderLeader = 0; ///< In view when the leader was last asked.
};

/// Endpoints that may continue a stream (front/stream_origins.h).
struct StreamOrigin {
  std::string Service;
  std::string Version; ///< Of the software.
  TimePoint ExpiresAt;
  std::string Endpoint; ///< The latest one that brought events.
  uint64_t BornMs = 0;  ///< Its process, as the directory had it.
  /// That process may have ended before; holds once it is heard from again.
  bool IsUnsettled = false;
};

/// Replies of other fronts that are waited for.
struct OriginLookup {
  TimePoint Deadline;
  std::set<std::string> Unanswered; ///< Names of fronts.
  uint32_t Queries = 0;
  bool HasForgetful = false; ///< One that answered may have lost its record.
};

struct StreamOrigins {
  /// By the id of the request that brought the stream's first event.
  std::map<std::string, StreamOrigin> Known;
  std::map<std::string, OriginLookup> Lookups; ///< By the same.
  /// Those recorded here for which too few other fronts were known.
  std::set<std::string> Unshared;
  size_t FrontsAtShare = 0;  ///< Other fronts when they were sent last.
  uint64_t DroppedCount = 0; ///< Origins above the limit, not yet logged.
};

/// How far back this front knows where streams can have begun
/// (front/origin_history.h).
struct OriginHistory {
  /// Since then it has known all endpoints and has been in contact with all
  /// fronts.
  TimePoint KnownSince;
  /// Before it, a route of streams led to other services.
  TimePoint RoutesChangedAt;
  TimePoint CheckedAt; ///< Contact to the other fronts was checked last.
  bool WasInContact = false;
  bool HasLostContact = false; ///< After it had been in contact.
  bool IsIsolated = false;     ///< All other fronts were lost.
};

struct KnownLeader {
  std::string Node;
  std::string Address;        ///< Link address.
  std::string ControlAddress; ///< For operators.
  uint64_t Term = 0;
  TimePoint HeardAt;
};

struct FrontState {
  wire::NodeEntry Self;
  FrontLimits Limits;
  ServingTablePtr Table;    ///< Null until the first is received.
  std::string TableContent; ///< In the form in which it is sent to other nodes.
  sassafras::Evacuations Evacuations;
  /// Another front, or the log, has confirmed what this one knows of them.
  bool HasEvacuationWord = false;
  sassafras::Roster Roster;
  EndpointDirectory Directory;
  std::map<std::string, EndpointRecord> Records; ///< By endpoint id.
  SpeedBook Speeds;
  /// Smoothed memory and expected output of a request, in tokens, by service.
  std::map<std::string, double> MeanTokens;
  std::map<std::string, double> MeanOutput;
  std::map<std::string, LocalQuota> Quotas;
  std::map<std::string, RetryBudget> Retries; ///< By service.
  CrashQuarantine Quarantine;
  PendingCrashNotices CrashNotices;
  std::map<std::string, EndpointStatement> Statements; ///< By endpoint id.
  /// Endpoints whose statements the other fronts are to be told.
  std::set<std::string> ChangedStatements;
  SendPermits Permits;
  StreamOrigins Origins;
  OriginHistory History;
  /// By model, or "service NAME" for plain services.
  std::map<std::string, ModelUsage> ModelUsages;
  /// Shares of the requests that leave the zone, by the same names.
  std::map<std::string, CrossingShare> CrossingShares;
  std::map<std::string, ZoneDelay> ZoneDelays; ///< By availability zone.
  /// Callers that wait, by request number.
  std::map<uint64_t, WaitingRequest> WaitingRequests;
  /// Until when the callers of refused requests may return, by digest.
  std::map<std::string, TimePoint> RefusedUntil;
  /// Requests in progress by service and organisation.
  std::map<std::string, std::map<std::string, uint32_t>> OpenByOrganisation;
  /// Time of the next request for an adapter, by "endpoint/model/adapter".
  std::map<std::string, TimePoint> NextAdapterRequests;
  /// All running endpoints have announced themselves by then.
  TimePoint EndpointDiscoveryEnd;
  KnownLeader Leader; ///< Another front; not set by own heartbeats.
  bool IsLeading = false;
  TimePoint StartedAt;            ///< Of this process.
  TimePoint PoolHeardAt;          ///< Time of the leader's last share or grant.
  TimePoint PoolUnavailableUntil; ///< After a quota request without a reply.
  uint64_t SharesTerm = 0;
  uint64_t SharesNumber = 0;
  /// A leader was heard again then, after this front had been without one.
  TimePoint PoolRegainedAt;
  /// Fronts that may be serving, as a leader stated it, and when.
  size_t FrontCountTold = 0;
  TimePoint FrontCountToldAt;
  uint64_t LastQuotaRequest = 0; ///< Number; unique over restarts.
  bool IsStopping = false;
  std::mt19937_64 Random;
};

/// Number of fronts in view, this one included.
size_t countFronts(const FrontState &State, TimePoint Now);
/// Number of fronts that may be serving, this one included: those in view,
/// those that were in view and have not left, or \p Told if a leader stated
/// more at \p ToldAt.
size_t countServingFronts(const Roster &Roster, size_t Told, TimePoint ToldAt,
                          TimePoint Now);
/// The same by what this front was told.
size_t countServingFronts(const FrontState &State, TimePoint Now);
/// For this long after a leader stated the number of fronts, a front without a
/// leader uses its part of the rates itself. Leaders remember it for longer.
inline constexpr Millis FrontCountLifetime = NodeRetention - Millis(5'000);
/// A leader that sent no share or grant for this long is not asked for tokens,
/// and does not count on this front's part of the rates. Several of its sending
/// periods.
inline constexpr Millis PoolTimeout{900};
/// Time-out of a token request to the leader: a round trip, with a margin for a
/// slow host.
inline constexpr Millis PoolRequestTimeout{180};
/// After such a time-out, the front uses only its own share for this long.
inline constexpr Millis PoolBackoff{500};
/// The leader's forecast of a load arrives within this time: two of its periods
/// and the transmission.
inline constexpr Millis ForecastTimeout{500};
/// A forecast is used for this long.
inline constexpr Millis ForecastLifetime{1'000};
/// A backlog that the leader told is used for this long: several periods of its
/// messages. Requests to engines end within one or two seconds.
inline constexpr Millis BacklogLifetime{1'000};

/// True if this front leads, or a leader was heard within NodeTimeout. Pure.
bool hasLeader(const FrontState &State, TimePoint Now);

/// Until then a leader may count on this front's part of the rates. A process
/// that has just started may follow one that had heard the leader.
TimePoint poolEndOf(const FrontState &State);
/// True if a leader, this front included, or another front lately stated how
/// many fronts there are.
bool knowsFrontCount(const FrontState &State, TimePoint Now);
/// This front's part of the retry budgets.
RetryShare retryShareOf(const FrontState &State, TimePoint Now);
/// Records that a leader that grants tokens was heard.
void recordPoolContact(FrontState &State, TimePoint Now);
/// Time since which this front has not used its part of the rates itself.
TimePoint partUnusedSince(const FrontState &State);
/// This front's part of the rates.
QuotaPosition quotaPositionOf(const FrontState &State, TimePoint Now);
/// The quota limit of the organisation in force; its rate is 0 for no limit.
QuotaLimit quotaLimitOf(const FrontState &State,
                        const OrganisationSpec &Organisation, TimePoint Now);
/// Engine parameters of \p Service. Null for plain services, unknown services,
/// and without a table. Valid while the table of \p State is kept.
const EngineSpec *findEngineSpec(const FrontState &State,
                                 const std::string &Service);
/// Worth of the requests that wait for a model, as reported to the leader. It
/// grows with the waiting time, so that several models that are available at
/// only one engine are loaded in turn.
double agedWaitingWorth(const ModelUsage &Usage, TimePoint Now);
/// Callers that wait here or are due back. Without the organisations' parts and
/// the times that are left. Thread safe while \p State does not change.
RankBacklog ownBacklogOf(const FrontState &State, const ModelUsage &Usage,
                         TimePoint Now);
/// The same over all fronts: as the leader told, or this front's times the
/// number of fronts in view once that is too old.
RankBacklog fleetBacklogOf(const FrontState &State, const ModelUsage &Usage,
                           TimePoint Now);
/// Adds the callers of \p Usage that wait or are due back, by rank.
void addBacklog(const FrontState &State, const ModelUsage &Usage, TimePoint Now,
                wire::RowDemand &Out);
/// Adds the number of requests of \p Usage in progress at each endpoint.
void addOpenRequests(const ModelUsage &Usage, wire::RowDemand &Out);
/// Adds the software versions at which streams wait, and drops ended needs.
void addWantedVersions(ModelUsage &Usage, TimePoint Now, wire::RowDemand &Out);
/// Sizes that an agent needs to stay within its engine's memory: those of the
/// models that the engine has loaded and of \p Wanted.
wire::EngineSizes makeEngineSizes(const EngineSpec &Spec,
                                  const EngineState &Engine,
                                  const std::string &Wanted);

} // namespace sassafras

#endif
