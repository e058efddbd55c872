/// \file
/// What only the leader of the serving table's group decides: which engine
/// loads which model, and how each organisation's rate is divided.
#ifndef SASSAFRAS_FRONT_LEADER_WORK_H
#define SASSAFRAS_FRONT_LEADER_WORK_H

#include "front/fleet_view.h"
#include "policy/model_plan.h"
#include "policy/quota_pool.h"

namespace sassafras {

/// Placement is thought over at this pace, and at once when a front tells of
/// a cold model.
inline constexpr Millis PlanPeriod{100};
inline constexpr Millis SharePeriod{300};
inline constexpr Millis ForecastPeriod{150};

/// An order that an agent has not reported as over.
struct OpenOrder {
  uint64_t Number = 0;
  std::string Endpoint;
  std::string Model;
  std::vector<std::string> Evict;
  bool IsFromStore = false;
  bool HasBegun = false; ///< What it evicts is gone; the load is under way.
  TimePoint BegunAt;
  size_t Together = 0; ///< Loads from the store under way then, itself too.
  TimePoint ReadyAt;   ///< As far as it can be told.
  TimePoint Expires;
};

struct LeaderState {
  uint64_t Term = 0; ///< For which this was set up.
  TimePoint LedSince;
  FleetDemand Demand;
  std::map<std::string, QuotaPool> Pools;  ///< By organisation.
  std::map<std::string, OpenOrder> Orders; ///< By engine address.
  /// Until when a model that was just loaded stays, by engine and model.
  std::map<std::pair<std::string, std::string>, TimePoint> FreshUntil;
  uint64_t NextOrder = 1;
  uint64_t NextShares = 1;
  StoreConcurrency Pace;
  double StoreTokens = 0; ///< Loads from the store that may start.
  TimePoint StoreTokensAt;
  TimePoint NextPlan;
  TimePoint NextForecast;
  TimePoint NextShare;
};

/// Starts over for a new term. A leader that regains its lease within a term
/// goes on with the numbers of its orders: agents take rising ones only.
void openLeader(LeaderState &Leader, uint64_t Term, TimePoint Now);
/// A front cannot serve a model; it is planned for at once.
void takeWish(LeaderState &Leader, const std::string &Front,
              const wire::RowDemand &Row, TimePoint Now);
/// Thinks placement over where it is time to, and sends orders.
void planPlacement(LeaderState &Leader, FrontState &State, TimePoint Now,
                   NodeMessages &Out);
/// Divides the rates where it is time to, and tells the fronts.
void divideRates(LeaderState &Leader, FrontState &State, TimePoint Now,
                 NodeMessages &Out);
/// Answers a front that is short of tokens, this one included. Nothing for an
/// organisation that the table does not know, or that has no limit.
std::optional<wire::QuotaGrant> answerQuotaWish(LeaderState &Leader,
                                                const FrontState &State,
                                                const wire::QuotaWish &Wish,
                                                TimePoint Now);
/// Busiest models as name:requests/replicas, for the log.
std::string describeModels(const LeaderState &Leader, const FrontState &State,
                           TimePoint Now);
/// Tells each front when the models that its requests wait for will be there.
void tellForecasts(LeaderState &Leader, FrontState &State, TimePoint Now,
                   NodeMessages &Out);
/// Takes what the leader plans. One of an earlier term changes nothing.
void takeForecast(FrontState &State, const wire::LoadForecast &Forecast,
                  TimePoint Now);
/// Takes the shares that a leader gave. Late ones change nothing.
void takeShares(FrontState &State, const wire::RateShares &Shares,
                TimePoint Now);

} // namespace sassafras

#endif
