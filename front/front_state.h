/// \file
/// What a front knows and decides on: table, nodes, endpoints, demand and
/// limits. Plain data; one thread.
#ifndef SASSAFRAS_FRONT_FRONT_STATE_H
#define SASSAFRAS_FRONT_FRONT_STATE_H

#include "core/time.h"
#include "fleet/endpoint_directory.h"
#include "fleet/roster.h"
#include "fleet/serving_table.h"
#include "policy/endpoint_choice.h"
#include "policy/rate_share.h"
#include "policy/retry_budget.h"
#include "policy/row_demand.h"

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace sassafras {

/// Settings that the decisions of a front depend on.
struct FrontLimits {
  RetryLimits Retries;
  QuotaTolerance Tolerance;
  /// A refused model stays wanted until its callers come back: so long at least
  /// and at most.
  Millis WishMemory{3'000};
  Millis MostWishMemory{10'000};
  /// Requests that may wait at one front; each holds its body in memory.
  size_t MostWaiting = 1'000;
};

/// Use of one model at this front.
struct ModelUsage {
  uint32_t Arrivals = 0;                  ///< Since the last heartbeat.
  double Worth = 0;                       ///< Of those arrivals.
  uint32_t Open = 0;                      ///< Under way at endpoints.
  std::map<std::string, uint32_t> OpenAt; ///< By endpoint.
  std::set<uint64_t> Waiting;             ///< Numbers of requests.
  double WaitingWorth = 0;
  TimePoint WaitingSince;       ///< Somebody has waited from then on.
  TimePoint RetryExpectedUntil; ///< A caller was told to come back.
  double WantedWorth = 0;
  TimePoint NextWish; ///< The leader is told at once, but not too often.
  TimePoint NextAgentRequest; ///< The same for agents, while nobody leads.
  TimePoint ReadyAt;          ///< Loaded by then, as the leader planned last.
  TimePoint ForecastAt;       ///< When it said so.
};

struct KnownLeader {
  std::string Node;
  std::string Address;        ///< Inner.
  std::string ControlAddress; ///< Operators'.
  uint64_t Term = 0;
  TimePoint HeardAt;
};

struct FrontState {
  wire::NodeEntry Self;
  FrontLimits Limits;
  ServingTablePtr Table;    ///< Null until one is known.
  std::string TableContent; ///< As it is passed on.
  sassafras::Roster Roster;
  EndpointDirectory Directory;
  std::map<std::string, EndpointRecord> Records; ///< By endpoint id.
  std::map<std::string, LocalQuota> Quotas;
  std::map<std::string, RetryBudget> Retries;    ///< By service.
  std::map<std::string, ModelUsage> ModelUsages; ///< By model.
  /// When an adapter may be asked for again, by engine and adapter.
  std::map<std::string, TimePoint> NextAdapterRequests;
  /// Endpoints that are there have announced themselves by then.
  TimePoint EndpointDiscoveryEnd;
  KnownLeader Leader; ///< Another front; a leader does not hear itself.
  bool IsLeading = false;
  TimePoint PoolHeardAt;   ///< Of the leader's last share or grant.
  TimePoint PoolLostUntil; ///< It left a wish unanswered.
  uint64_t SharesTerm = 0;
  uint64_t SharesNumber = 0;
  bool IsStopping = false;
  std::mt19937_64 Random;
};

/// Fronts in view, this one included.
size_t countFronts(const FrontState &State, TimePoint Now);
/// A leader from which no share came for this long is not asked for tokens;
/// some of its periods.
inline constexpr Millis PoolSilence{1'200};
/// A wish for tokens is answered within this: the way to the leader and back,
/// with room for a slow host.
inline constexpr Millis PoolAnswerLimit{180};
/// After one that was not, the front goes by its own share for this long.
inline constexpr Millis PoolRest{500};

/// The leader's forecast of a load is there within this: two of its periods and
/// the way.
inline constexpr Millis ForecastTimeout{500};
/// What it said counts for this long.
inline constexpr Millis ForecastLifetime{1'000};

/// True while a leader plans: this front, or one that was heard lately. Pure.
bool hasLeader(const FrontState &State, TimePoint Now);

/// Limit of the organisation in force, none when it has none.
QuotaLimit quotaLimitOf(const FrontState &State,
                        const OrganisationSpec &Organisation, TimePoint Now);
/// Engine parameters of \p Service, or null for plain services.
const EngineSpec *findEngineSpec(const FrontState &State,
                                 const std::string &Service);
/// Worth that the leader is told of the requests that wait for a model. It
/// grows with the time for which they have waited, so that several models which
/// lie at one engine only are loaded in turn.
double agedWaitingWorth(const ModelUsage &Row, TimePoint Now);
/// Adds the requests of \p Row under way at each endpoint.
void addOpenRequests(const ModelUsage &Row, wire::RowDemand &Out);
/// Sizes that an agent needs to keep within its engine's memory.
wire::EngineSizes makeEngineSizes(const EngineSpec &Spec);

} // namespace sassafras

#endif
