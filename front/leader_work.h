/// \file
/// Decisions made only by the leader of the serving table's group: which engine
/// loads which model, and how each organisation's rate is divided.
#ifndef SASSAFRAS_FRONT_LEADER_WORK_H
#define SASSAFRAS_FRONT_LEADER_WORK_H

#include "front/fleet_view.h"
#include "policy/model_plan.h"
#include "policy/quota_pool.h"

namespace sassafras {

/// Interval of placement planning. It also runs at once when a front reports
/// demand for a model that it cannot serve.
inline constexpr Millis PlanPeriod{100};
/// Interval at which the rates are divided over the fronts.
inline constexpr Millis SharePeriod{300};
/// Interval of the forecasts that are sent to the fronts.
inline constexpr Millis ForecastPeriod{150};

/// An order that its agent has not reported as done.
struct PendingOrder {
  uint64_t Number = 0;
  std::string Endpoint;
  std::string Model;
  std::vector<std::string> Evict; ///< Models to unload first.
  bool IsFromStore = false;
  bool HasStarted = false; ///< The evictions are done and the load runs.
  TimePoint LoadStartedAt;
  /// Loads from the store in progress when this one started, itself included.
  size_t ConcurrentStoreLoads = 0;
  TimePoint ReadyAt; ///< Estimated.
  TimePoint Expires;
};

struct LeaderState {
  uint64_t Term = 0; ///< Term that this state belongs to.
  TimePoint LeaderSince;
  FleetDemand Demand;
  std::map<std::string, QuotaPool> Pools; ///< By organisation.
  PoolMembers Members;
  std::map<uint64_t, TimePoint> SharesSentAt; ///< By number, the latest ones.
  /// Number of fronts that an earlier leader stated to this one, and when.
  size_t EarlierFrontCount = 0;
  TimePoint EarlierFrontCountAt;
  uint64_t EarlierFrontCountTerm = 0; ///< Term in which it was noted.
  /// Of endpoints that state a request limit, by id.
  std::map<std::string, SendSchedule> SendSchedules;
  std::map<std::string, PendingOrder> Orders; ///< By engine address.
  /// Until when a newly loaded model is not evicted, by engine and model.
  std::map<std::pair<std::string, std::string>, TimePoint> JustLoadedUntil;
  uint64_t NextOrderNumber = 1;
  uint64_t NextSharesNumber = 1;
  StoreConcurrency StoreEstimate;
  double StoreTokens = 0; ///< Loads from the store that may start now.
  TimePoint StoreTokensFilledAt;
  TimePoint NextPlanAt;
  TimePoint NextForecastAt;
  TimePoint NextSharesAt;
};

/// Resets the state for a new term. A leader that regains its lease within a
/// term keeps its state and its order numbers, as agents accept increasing
/// numbers only.
void startLeaderTerm(LeaderState &Leader, uint64_t Term, TimePoint Now);
/// Records demand for a model that \p Front cannot serve, and makes the next
/// planPlacement run at once.
void recordUnservedDemand(LeaderState &Leader, const std::string &Front,
                          const wire::RowDemand &Row, TimePoint Now);
/// Plans placement when due, and appends the resulting orders to \p Out.
void planPlacement(LeaderState &Leader, FrontState &State, TimePoint Now,
                   NodeMessages &Out);
/// Divides the organisations' rates over the fronts when due, and appends the
/// shares to \p Out. This front's share is applied directly.
void divideRates(LeaderState &Leader, FrontState &State, TimePoint Now,
                 NodeMessages &Out);
/// Answers a request for tokens of a front, this one included. Returns nothing
/// for an organisation that is not in the table or has no limit, and for a
/// request with invalid amounts.
std::optional<wire::QuotaGrant> grantQuota(LeaderState &Leader,
                                           const FrontState &State,
                                           const wire::QuotaRequest &Request,
                                           TimePoint Now);
/// Logs how many tokens each pool has granted since the last call.
void logPoolTallies(LeaderState &Leader);
/// Assigns slots of endpoints that state a limit to the requests of a front,
/// this one included.
wire::SendPermitReply grantPermits(LeaderState &Leader, const FrontState &State,
                                   const wire::SendPermitRequest &Request,
                                   TimePoint Now);
/// The busiest models as "name:requests/replicas", separated by semicolons, for
/// the log.
std::string summarizeBusyModels(const LeaderState &Leader,
                                const FrontState &State, TimePoint Now);
/// When due, sends each front the times at which the models that its requests
/// wait for are expected to be loaded.
void sendForecasts(LeaderState &Leader, FrontState &State, TimePoint Now,
                   NodeMessages &Out);
/// Applies a leader's forecast. One of an earlier term is ignored.
void applyForecast(FrontState &State, const wire::LoadForecast &Forecast,
                   TimePoint Now);
/// Applies the rate shares from a leader. Outdated ones are ignored. Returns
/// true if they are the first of a new leader, which waits for the
/// acknowledgement in this front's next heartbeat.
bool applyRateShares(FrontState &State, const wire::RateShares &Shares,
                     TimePoint Now);

} // namespace sassafras

#endif
