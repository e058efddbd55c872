#include "front/leader_work.h"

#include "core/logging.h"
#include "front/send_permits.h"

#include <algorithm>
#include <limits>

namespace sassafras {

namespace {

/// A new leader collects the fronts' demand and the agents' reports for this
/// long before it decides anything.
constexpr Millis DemandLearnTime{200};
/// Within this time agents and engines report to a new leader which weights
/// each engine has. An engine that has not reported by then, for example
/// because its agent is gone, is no longer waited for.
constexpr Millis WeightsLearnTimeout{2'500};
/// Fraction of the store's permitted load rate that is used; the rest covers
/// loads that an earlier leader ordered.
constexpr double StoreRateFraction = 0.75;
/// Capacity, in loads, of the token bucket that limits the rate of loads from
/// the store.
constexpr double StoreBurst = 2;
/// An order that is not reported as done is abandoned after its load time,
/// times OrderLoadFactor, plus this margin for unloads that wait for running
/// requests.
constexpr Millis OrderSlack{4'000};
/// Margin for concurrent loads, which slow one another.
constexpr int OrderLoadFactor = 3;
/// Overhead of an order beside the load itself: delivery to the engine, an
/// unload before the load, and the report back.
constexpr Millis OrderLatency{150};
/// A newly loaded model is not evicted for this long. In that time fronts learn
/// of it, send the requests that wait for it, and report them with their next
/// heartbeat.
constexpr Millis EvictionProtectionTime{800};
/// A load that is overdue by more than this is forecast as if it started now.
constexpr Millis LateLoadTolerance{500};
/// Least remaining time assumed for a load from the store. Such a load overruns
/// its estimate by about this much, a fraction of its load time for each
/// concurrent load.
constexpr Millis OverdueStoreLoadTime{3'000};
/// Number of low bits of an order number, which count the orders of one term.
/// The bits above them hold the term.
constexpr unsigned OrderTermShift = 24;
/// Models listed in one log line.
constexpr size_t MaxSummarizedModels = 6;
/// Rate shares whose sending times are remembered. Older ones count for nothing
/// once they are acknowledged.
constexpr size_t MaxSharesRemembered = 8;
/// Models whose backlogs the fronts are told; about 50 bytes each.
constexpr size_t MaxBacklogs = 32;
/// A front's demand is counted for this long after its last heartbeat.
constexpr Millis DemandRetention{2'000};

double secondsOf(Clock::duration Span) {
  return std::chrono::duration<double>(Span).count();
}

void refillStoreTokens(LeaderState &Leader, const EngineSpec &Spec,
                       TimePoint Now) {
  if (Leader.StoreTokensFilledAt != TimePoint())
    Leader.StoreTokens =
        std::min(StoreBurst, Leader.StoreTokens +
                                 secondsOf(Now - Leader.StoreTokensFilledAt) *
                                     Spec.LoadsPerSecond * StoreRateFraction);
  Leader.StoreTokensFilledAt = Now;
}

std::map<std::string, ModelDemand> sumDemand(const LeaderState &Leader,
                                             TimePoint Now) {
  std::map<std::string, ModelDemand> out;
  for (const auto &[model, rates] : Leader.Demand.Rates) {
    out[model].WorthPerSecond =
        std::max(readRate(rates.ShortWorth, ShortWindow, Now),
                 readRate(rates.LongWorth, LongWindow, Now));
    out[model].Offered = readRate(rates.ShortArrivals, ShortWindow, Now) *
                         secondsOf(MeanEngineServiceTime);
  }
  for (const auto &[front, report] : Leader.Demand.Fronts) {
    if (Now - report.HeardAt > DemandRetention)
      continue;
    for (const auto &[model, row] : report.Rows) {
      ModelDemand &demand = out[model];
      demand.Busy += row.busy();
      demand.Waiting += row.waiting();
      demand.WaitingWorth += row.waiting_worth();
      demand.Versions.insert(row.software_versions().begin(),
                             row.software_versions().end());
    }
  }
  return out;
}

/// Requests in progress by endpoint and model, summed over all fronts.
std::map<std::string, std::map<std::string, uint32_t>>
sumRunning(const LeaderState &Leader, TimePoint Now) {
  std::map<std::string, std::map<std::string, uint32_t>> out;
  for (const auto &[front, report] : Leader.Demand.Fronts) {
    if (Now - report.HeardAt > DemandRetention)
      continue;
    for (const auto &[model, row] : report.Rows)
      for (const wire::OpenRequests &it : row.open())
        out[it.endpoint()][model] += it.count();
  }
  return out;
}

bool isFinished(const PendingOrder &Order, const EngineState &Engine,
                TimePoint Now) {
  return Engine.OrderDone >= Order.Number || isPast(Order.Expires, Now);
}

/// Drops the orders whose engine is gone. They cannot complete, and until they
/// expire they would count towards the loads that the weight store allows.
void dropLostOrders(LeaderState &Leader, const FrontState &State,
                    TimePoint Now) {
  std::erase_if(Leader.Orders, [&](const auto &it) {
    const PendingOrder &order = it.second;
    auto known = State.Directory.Endpoints.find(order.Endpoint);
    auto holder = State.Directory.IdByAddress.find(it.first);
    bool isPresent = known != State.Directory.Endpoints.end() &&
                     holder != State.Directory.IdByAddress.end() &&
                     holder->second == order.Endpoint &&
                     isServing(known->second, Now);
    if (!isPresent)
      logEvent(LogLevel::Info, "order_lost",
               {{"order", std::to_string(order.Number)},
                {"endpoint", order.Endpoint},
                {"model", order.Model}});
    return !isPresent;
  });
}

/// Updates the expected end of a load once it has started. An unload before it
/// may wait long for running requests, so the load time is counted from the
/// engine's first report that the load is in progress.
void trackProgress(LeaderState &Leader, PendingOrder &Order,
                   const EngineState &Engine, Millis Load) {
  bool isUnloaded = std::none_of(
      Order.Evict.begin(), Order.Evict.end(),
      [&](const std::string &it) { return Engine.Models.contains(it); });
  if (Order.HasStarted || !isUnloaded || !Engine.IsBusy)
    return;
  Order.HasStarted = true;
  Order.LoadStartedAt = Engine.ReadAt;
  if (Order.IsFromStore) {
    Order.ConcurrentStoreLoads = 0;
    for (const auto &[address, it] : Leader.Orders)
      Order.ConcurrentStoreLoads += it.IsFromStore && it.HasStarted;
    Load =
        storeLoadTime(Leader.StoreEstimate, Order.ConcurrentStoreLoads, Load);
  }
  Order.ReadyAt = std::max(Order.ReadyAt, Engine.ReadAt + Load);
}

/// Updates the estimate of the store's concurrency from a finished load.
void recordStoreLoadTime(LeaderState &Leader, const PendingOrder &Order,
                         const EngineState &Engine, const EngineSpec &Spec,
                         TimePoint Now) {
  auto spec = Spec.Models.find(Order.Model);
  if (!Order.IsFromStore || !Order.HasStarted || spec == Spec.Models.end() ||
      !Engine.Models.contains(Order.Model))
    return;
  auto taken =
      std::chrono::duration_cast<Millis>(Engine.ReadAt - Order.LoadStartedAt);
  size_t before = Leader.StoreEstimate.MaxLoads;
  recordStoreLoad(Leader.StoreEstimate, Order.ConcurrentStoreLoads,
                  spec->second.StoreLoad, taken, Now);
  logEvent(LogLevel::Info, "store_load_done",
           {{"order", std::to_string(Order.Number)},
            {"model", Order.Model},
            {"taken_ms", std::to_string(taken.count())},
            {"together", std::to_string(Order.ConcurrentStoreLoads)},
            {"places", std::to_string(Leader.StoreEstimate.MaxLoads)},
            {"before", std::to_string(before)}});
}

/// False while a new leader may not know yet of weights that engines have in
/// memory or on disk. Until then no model is assumed to be in the store only.
bool areWeightsKnown(const LeaderState &Leader, const FrontState &State,
                     TimePoint Now) {
  if (Now - Leader.LeaderSince >= WeightsLearnTimeout)
    return true;
  if (!isPast(State.EndpointDiscoveryEnd, Now))
    return false;
  const auto &endpoints = State.Directory.Endpoints;
  return std::all_of(endpoints.begin(), endpoints.end(), [&](const auto &it) {
    const KnownEndpoint &known = it.second;
    if (!isUsable(known, Now) || !findEngineSpec(State, known.Service))
      return true;
    const EngineState *engine = findEngineState(State.Directory, known);
    return engine && engine->HasWeightLocations;
  });
}

/// True when the engine has the weights of \p Model in memory or on disk.
bool hasWeights(const EngineState &Engine, const std::string &Model) {
  return Engine.OnDisk.contains(Model) || Engine.InMemory.contains(Model);
}

Millis timeLeft(TimePoint At, TimePoint Now) {
  return At > Now ? std::chrono::duration_cast<Millis>(At - Now) : Millis(0);
}

/// Estimated time until an engine under this order can take another one.
Millis timeUntilFree(const PendingOrder &Order, TimePoint Now) {
  Millis left = timeLeft(Order.ReadyAt, Now);
  // The store may also be serving loads that this leader does not know of.
  return Order.IsFromStore ? std::max(left, OverdueStoreLoadTime) : left;
}

/// The engines of one service as input of the planning. Engines, Endpoints and
/// States are parallel.
struct EngineSurvey {
  std::vector<PlanEngine> Engines;
  std::vector<const KnownEndpoint *> Endpoints;
  std::vector<const EngineState *> States;
  size_t LoadsInProgress = 0;
  size_t StoreLoadsInProgress = 0;
};

EngineSurvey surveyEngines(LeaderState &Leader, const FrontState &State,
                           const std::string &Service, const EngineSpec &Spec,
                           TimePoint Now) {
  EngineSurvey out;
  auto running = sumRunning(Leader, Now);
  for (const auto &[id, known] : State.Directory.Endpoints) {
    if (known.Service != Service || known.HasLeft)
      continue;
    const EngineState *engine = findEngineState(State.Directory, known);
    if (!engine)
      continue;
    PlanEngine plan;
    plan.Endpoint = id;
    plan.SoftwareVersion = known.SoftwareVersion;
    plan.IsLeaving = !takesRequests(State, known, Now) || engine->IsSilent;
    plan.AcceptsOrders =
        engine->IsFromAgent && !engine->IsBusy && !plan.IsLeaving;
    plan.LoadShare = static_cast<double>(engine->Active + engine->Queued) /
                     std::max<uint32_t>(known.Slots, 1);
    if (auto limit = statedLimitOf(State, known))
      plan.MaxBusy = *limit * secondsOf(MeanEngineServiceTime);
    for (const auto &[model, adapters] : engine->Models) {
      plan.Models.insert(model);
      auto spec = Spec.Models.find(model);
      if (spec != Spec.Models.end())
        plan.ReservedMb += adapters.size() * spec->second.AdapterMb;
    }
    auto runningHere = running.find(id);
    if (runningHere != running.end())
      plan.Running = runningHere->second;
    plan.InMemory = engine->InMemory;
    plan.OnDisk = engine->OnDisk;
    auto order = Leader.Orders.find(known.Address);
    if (order != Leader.Orders.end()) {
      if (isFinished(order->second, *engine, Now)) {
        recordStoreLoadTime(Leader, order->second, *engine, Spec, Now);
        if (engine->Models.contains(order->second.Model))
          Leader.JustLoadedUntil[{id, order->second.Model}] =
              Now + EvictionProtectionTime;
        Leader.Orders.erase(order);
      } else {
        plan.AcceptsOrders = false;
        plan.Loading = order->second.Model;
        auto spec = Spec.Models.find(plan.Loading);
        if (spec != Spec.Models.end())
          trackProgress(Leader, order->second, *engine,
                        loadTime(plan, spec->second));
        for (const std::string &it : order->second.Evict)
          plan.Models.erase(it);
        plan.TimeUntilFree = timeUntilFree(order->second, Now);
        ++out.LoadsInProgress;
        out.StoreLoadsInProgress += order->second.IsFromStore;
      }
    } else if (!engine->Loading.empty()) {
      // A load that an earlier leader ordered.
      plan.AcceptsOrders = false;
      plan.Loading = engine->Loading;
      auto spec = Spec.Models.find(plan.Loading);
      if (spec != Spec.Models.end())
        plan.TimeUntilFree =
            timeLeft(engine->ReadAt + loadTime(plan, spec->second), Now);
      ++out.LoadsInProgress;
      out.StoreLoadsInProgress += !hasWeights(*engine, engine->Loading);
    }
    for (const std::string &it : plan.Models)
      if (auto justLoaded = Leader.JustLoadedUntil.find({id, it});
          justLoaded != Leader.JustLoadedUntil.end())
        plan.JustLoaded.insert(it);
    out.Engines.push_back(std::move(plan));
    out.Endpoints.push_back(&known);
    out.States.push_back(engine);
  }
  return out;
}

void sendOrder(LeaderState &Leader, const EngineSurvey &Survey,
               const EngineSpec &Spec, const PlannedLoad &Load, TimePoint Now,
               NodeMessages &Out) {
  const KnownEndpoint &target = *Survey.Endpoints[Load.Engine];
  const ModelSpec &model = Spec.Models.at(Load.Model);
  Millis lifetime =
      loadTime(Survey.Engines[Load.Engine], model) * OrderLoadFactor +
      OrderSlack;
  PendingOrder order;
  order.Number = Leader.NextOrderNumber++;
  order.Endpoint = target.Id;
  order.Model = Load.Model;
  order.Evict = Load.Evict;
  order.IsFromStore = Load.IsFromStore;
  order.ReadyAt =
      Now + OrderLatency + loadTime(Survey.Engines[Load.Engine], model);
  order.Expires = Now + lifetime;
  wire::Envelope message;
  wire::EngineOrder &wireOrder = *message.mutable_engine_order();
  wireOrder.set_term(Leader.Term);
  wireOrder.set_number(order.Number);
  wireOrder.set_engine_address(target.Address);
  wireOrder.set_endpoint(target.Id);
  wireOrder.set_load(Load.Model);
  wireOrder.set_may_use_store(Load.IsFromStore);
  for (const std::string &it : Load.Evict)
    wireOrder.add_evict(it);
  *wireOrder.mutable_sizes() =
      makeEngineSizes(Spec, *Survey.States[Load.Engine], Load.Model);
  wireOrder.set_expires_in_ms(static_cast<uint64_t>(lifetime.count()));
  std::string evicted;
  for (const std::string &it : Load.Evict)
    evicted += (evicted.empty() ? "" : ",") + it;
  logEvent(LogLevel::Info, "load_planned",
           {{"model", Load.Model},
            {"endpoint", target.Id},
            {"evict", evicted},
            {"order", std::to_string(order.Number)},
            {"urgent", Load.IsUrgent ? "yes" : "no"},
            {"from_store", Load.IsFromStore ? "yes" : "no"},
            {"report_age_ms", std::to_string(toMillis(
                                  Now - Survey.States[Load.Engine]->ReadAt))}});
  Out.push_back({Survey.States[Load.Engine]->AgentAddress, std::move(message)});
  Leader.Orders[target.Address] = std::move(order);
}

} // namespace

void startLeaderTerm(LeaderState &Leader, uint64_t Term, TimePoint Now) {
  if (Leader.Term == Term)
    return;
  Leader.Term = Term;
  Leader.LeaderSince = Now;
  Leader.Orders.clear();
  Leader.JustLoadedUntil.clear();
  Leader.Pools.clear();
  Leader.Members = {};
  Leader.SharesSentAt.clear();
  // The pools fill only once the fronts have received shares.
  Leader.NextSharesAt = Now;
  Leader.SendSchedules.clear();
  // Higher than all order numbers of earlier terms.
  Leader.NextOrderNumber = (Term << OrderTermShift) + 1;
  Leader.NextSharesNumber = 1;
  Leader.StoreTokens = 0;
  Leader.StoreTokensFilledAt = Now;
}

void recordUnservedDemand(LeaderState &Leader, const std::string &Front,
                          const wire::RowDemand &Row, TimePoint Now) {
  FleetDemand::FrontReport &report = Leader.Demand.Fronts[Front];
  report.HeardAt = Now;
  report.Rows[Row.model()] = Row;
  Leader.NextPlanAt = Now;
}

void planPlacement(LeaderState &Leader, FrontState &State, TimePoint Now,
                   NodeMessages &Out) {
  if (!isPast(Leader.NextPlanAt, Now) ||
      Now - Leader.LeaderSince < DemandLearnTime || !State.Table)
    return;
  Leader.NextPlanAt = Now + PlanPeriod;
  auto demand = sumDemand(Leader, Now);
  dropLostOrders(Leader, State, Now);
  std::erase_if(Leader.JustLoadedUntil,
                [&](const auto &it) { return isPast(it.second, Now); });
  bool mayUseStore = areWeightsKnown(Leader, State, Now);
  for (const auto &[name, service] : State.Table->Services) {
    if (!service.Engine)
      continue;
    const EngineSpec &spec = *service.Engine;
    refillStoreTokens(Leader, spec, Now);
    EngineSurvey survey = surveyEngines(Leader, State, name, spec, Now);
    PlanInput input{spec,
                    demand,
                    survey.Engines,
                    survey.LoadsInProgress,
                    survey.StoreLoadsInProgress,
                    mayUseStore ? static_cast<uint32_t>(Leader.StoreTokens) : 0,
                    Leader.StoreEstimate.MaxLoads};
    for (const PlannedLoad &it : planModels(input)) {
      if (it.IsFromStore)
        Leader.StoreTokens -= 1;
      sendOrder(Leader, survey, spec, it, Now, Out);
    }
  }
}

namespace {

/// Fronts that may be serving, as far as this leader or, shortly after its
/// election, the one before it knows.
size_t countFrontsAsLeader(LeaderState &Leader, const FrontState &State,
                           TimePoint Now) {
  if (Leader.EarlierFrontCountTerm != Leader.Term) {
    Leader.EarlierFrontCountTerm = Leader.Term;
    Leader.EarlierFrontCount = State.FrontCountTold;
    Leader.EarlierFrontCountAt = State.FrontCountToldAt;
  }
  return countServingFronts(State.Roster, Leader.EarlierFrontCount,
                            Leader.EarlierFrontCountAt, Now);
}

/// Adds the time for which fronts left their parts of the rates to this leader.
void updatePoolMembers(LeaderState &Leader, size_t FrontCount, TimePoint Now) {
  for (const auto &[front, report] : Leader.Demand.Fronts) {
    auto sentAt = Leader.SharesSentAt.find(report.SharesNumber);
    if (report.SharesTerm != Leader.Term || sentAt == Leader.SharesSentAt.end())
      continue;
    // The lease of an earlier leader had ended before this one's began.
    recordPoolMember(Leader.Members, front,
                     std::max(Leader.LeaderSince, report.PartUnusedSince),
                     sentAt->second + PoolTimeout);
  }
  countPoolMembers(Leader.Members, FrontCount, Now);
}

} // namespace

void divideRates(LeaderState &Leader, FrontState &State, TimePoint Now,
                 NodeMessages &Out) {
  if (!isPast(Leader.NextSharesAt, Now) || !State.Table)
    return;
  Leader.NextSharesAt = Now + SharePeriod;
  size_t frontCount = countFrontsAsLeader(Leader, State, Now);
  updatePoolMembers(Leader, frontCount, Now);
  std::vector<std::string> fronts{State.Self.name()};
  for (const auto &[name, it] : State.Roster.Nodes)
    // A front that is out of view may still be using its last share.
    if (it.Entry.kind() == wire::NODE_FRONT &&
        Now - it.HeardAt < NodeTimeout + ShareLifetime)
      fronts.push_back(name);
  std::map<std::string, wire::RateShares> shares;
  for (const OrganisationSpec &organisation : State.Table->Organisations) {
    if (organisation.RatePerSecond <= 0)
      continue;
    FrontDemand demand;
    for (const auto &[front, report] : Leader.Demand.Fronts) {
      auto it = report.Organisations.find(organisation.Name);
      if (it != report.Organisations.end())
        demand[front] = it->second;
    }
    for (const auto &[front, share] :
         divideRate(organisation.RatePerSecond, demand, fronts)) {
      wire::RateShare &out = *shares[front].add_shares();
      out.set_organisation(organisation.Name);
      out.set_share(share);
    }
  }
  uint64_t number = Leader.NextSharesNumber++;
  Leader.SharesSentAt[number] = Now;
  if (Leader.SharesSentAt.size() > MaxSharesRemembered)
    Leader.SharesSentAt.erase(Leader.SharesSentAt.begin());
  for (auto &[front, it] : shares) {
    it.set_term(Leader.Term);
    it.set_number(number);
    it.set_front_count(frontCount);
    if (front == State.Self.name()) {
      applyRateShares(State, it, Now);
      continue;
    }
    wire::Envelope message;
    *message.mutable_rate_shares() = it;
    Out.push_back(
        {State.Roster.Nodes[front].Entry.address(), std::move(message)});
  }
}

namespace {

/// Demand of the organisation over all fronts, in tokens per second.
double totalDemandOf(const FleetDemand &Demand, const std::string &Organisation,
                     TimePoint Now) {
  double sum = 0;
  for (const auto &[front, report] : Demand.Fronts) {
    auto it = report.Organisations.find(Organisation);
    if (it != report.Organisations.end() &&
        Now - report.HeardAt < DemandRetention)
      sum += it->second;
  }
  return sum;
}

} // namespace

std::optional<wire::QuotaGrant> grantQuota(LeaderState &Leader,
                                           const FrontState &State,
                                           const wire::QuotaRequest &Request,
                                           TimePoint Now) {
  // The comparisons are written such that NaN is rejected as well.
  bool isValid = Request.least() >= 0 && Request.wanted() >= Request.least();
  if (!State.Table || !isValid)
    return std::nullopt;
  const auto &organisations = State.Table->Organisations;
  auto found = std::find_if(
      organisations.begin(), organisations.end(),
      [&](const auto &it) { return it.Name == Request.organisation(); });
  if (found == organisations.end() || found->RatePerSecond <= 0)
    return std::nullopt;
  bool isOverRate =
      totalDemandOf(Leader.Demand, found->Name, Now) > found->RatePerSecond;
  updatePoolMembers(Leader, countFrontsAsLeader(Leader, State, Now), Now);
  PoolGrant grant =
      drawFromPool(Leader.Pools[found->Name], quotaLimitOf(State, *found, Now),
                   {Request.wanted(), Request.least(), Request.is_favoured()},
                   isOverRate, Leader.Members.FillSeconds);
  wire::QuotaGrant out;
  out.set_number(Request.number());
  out.set_term(Leader.Term);
  out.set_organisation(found->Name);
  out.set_granted(grant.Granted);
  out.set_wait_ms(static_cast<uint64_t>(grant.Wait.count()));
  out.set_is_favoured(Request.is_favoured());
  return out;
}

void logPoolTallies(LeaderState &Leader) {
  for (auto &[organisation, it] : Leader.Pools) {
    if (it.Granted > 0)
      logEvent(LogLevel::Info, "quota_granted",
               {{"organisation", organisation},
                {"term", std::to_string(Leader.Term)},
                {"granted", std::to_string(static_cast<int64_t>(it.Granted))},
                {"level", std::to_string(static_cast<int64_t>(it.Level))}});
    it.Granted = 0;
  }
}

wire::SendPermitReply grantPermits(LeaderState &Leader, const FrontState &State,
                                   const wire::SendPermitRequest &Request,
                                   TimePoint Now) {
  wire::SendPermitReply out;
  out.set_term(Leader.Term);
  out.set_number(Request.number());
  TimePoint latest =
      Now + std::min(Millis(Request.horizon_ms()), MaxPermitHorizon);
  uint32_t count = std::min(Request.count(), MaxPermitsPerRequest);
  for (uint32_t i = 0; i < count; ++i) {
    const wire::EndpointStatement *best = nullptr;
    for (const wire::EndpointStatement &it : Request.endpoints())
      if (!best || nextSlot(Leader.SendSchedules[it.endpoint()], Now) <
                       nextSlot(Leader.SendSchedules[best->endpoint()], Now))
        best = &it;
    if (!best)
      break;
    auto known = State.Directory.Endpoints.find(best->endpoint());
    std::optional<double> limit;
    if (known != State.Directory.Endpoints.end())
      limit = requestLimitOf(State, known->second, Now);
    SendSchedule &schedule = Leader.SendSchedules[best->endpoint()];
    double pace = limit.value_or(best->requests_per_s());
    // The front that asks may know already that the endpoint is cold.
    if (known != State.Directory.Endpoints.end())
      if (auto cold = coldPaceOf(State, known->second))
        pace = std::min(limit ? *limit : std::numeric_limits<double>::max(),
                        std::max(best->requests_per_s(), *cold));
    auto slot = takeSlot(schedule, pace, latest, Now);
    if (!slot) {
      out.set_wait_ms(static_cast<uint32_t>(
          toMillis(nextSlot(schedule, Now) - latest) + 1));
      break;
    }
    wire::SendPermit &permit = *out.add_permits();
    permit.set_endpoint(best->endpoint());
    permit.set_in_ms(static_cast<uint32_t>(toMillis(*slot - Now)));
  }
  return out;
}

namespace {

/// Time until a model that no engine has is loaded from the store, behind the
/// loads already ordered and \p QueuedAhead models of higher worth, with as
/// many concurrent loads as the store is estimated to serve.
Millis timeToLoadFromStore(const LeaderState &Leader, const ModelSpec &Spec,
                           size_t QueuedAhead) {
  size_t queued = QueuedAhead;
  for (const auto &[address, order] : Leader.Orders)
    queued += order.IsFromStore;
  return OrderLatency +
         Spec.StoreLoad *
             static_cast<int64_t>(queued / Leader.StoreEstimate.MaxLoads + 1);
}

/// Time until an engine that has the weights of \p Model can take an order to
/// load it, or nothing when no engine has them.
std::optional<Millis> timeToEngineWithWeights(const LeaderState &Leader,
                                              const FrontState &State,
                                              const std::string &Model,
                                              TimePoint Now) {
  std::optional<Millis> best;
  for (const auto &[id, known] : State.Directory.Endpoints) {
    const EngineState *engine = findEngineState(State.Directory, known);
    if (!engine || !takesRequests(State, known, Now) ||
        !hasWeights(*engine, Model))
      continue;
    auto order = Leader.Orders.find(known.Address);
    Millis wait = order == Leader.Orders.end()
                      ? Millis(0)
                      : timeUntilFree(order->second, Now);
    best = best ? std::min(*best, wait) : wait;
  }
  return best;
}

const ModelSpec *findModelSpec(const FrontState &State,
                               const std::string &Model) {
  if (!State.Table)
    return nullptr;
  for (const auto &[name, service] : State.Table->Services)
    if (service.Engine) {
      auto it = service.Engine->Models.find(Model);
      if (it != service.Engine->Models.end())
        return &it->second;
    }
  return nullptr;
}

using ReadyTimes = std::map<std::string, TimePoint>;

/// Earliest expected end of the loads in progress, by model.
ReadyTimes listLoadsInProgress(const LeaderState &Leader,
                               const FrontState &State, TimePoint Now) {
  ReadyTimes out;
  auto record = [&](const std::string &Model, TimePoint At) {
    auto [it, isNew] = out.emplace(Model, At);
    it->second = std::min(it->second, At);
  };
  for (const auto &[address, order] : Leader.Orders)
    record(order.Model, order.ReadyAt);
  for (const auto &[id, known] : State.Directory.Endpoints) {
    const EngineState *engine = findEngineState(State.Directory, known);
    const ModelSpec *spec = engine && isServing(known, Now)
                                ? findModelSpec(State, engine->Loading)
                                : nullptr;
    if (!spec || Leader.Orders.contains(known.Address))
      continue;
    // Ordered by an earlier leader. The load started before the report that
    // names it, so this is an upper bound.
    bool isLocal = hasWeights(*engine, spec->Name);
    record(spec->Name,
           engine->ReadAt + (isLocal ? spec->DiskLoad : spec->StoreLoad));
  }
  return out;
}

/// Expected time until each model with waiting requests is loaded.
std::map<std::string, Millis> forecastLoads(const LeaderState &Leader,
                                            const FrontState &State,
                                            TimePoint Now) {
  std::vector<std::pair<double, std::string>> wanted;
  for (const auto &[model, demand] : sumDemand(Leader, Now))
    if (demand.Waiting > 0)
      wanted.emplace_back(demand.WaitingWorth, model);
  std::sort(wanted.rbegin(), wanted.rend());
  ReadyTimes inProgress = listLoadsInProgress(Leader, State, Now);
  bool areAllKnown = areWeightsKnown(Leader, State, Now);
  std::map<std::string, Millis> out;
  size_t queuedAhead = 0;
  for (const auto &[worth, model] : wanted) {
    const ModelSpec *spec = findModelSpec(State, model);
    if (!spec)
      continue;
    auto order = inProgress.find(model);
    if (order != inProgress.end() && order->second + LateLoadTolerance > Now) {
      out[model] = Millis(toMillis(order->second - Now));
      continue;
    }
    auto engineWait = timeToEngineWithWeights(Leader, State, model, Now);
    if (!engineWait && !areAllKnown)
      engineWait = Millis(0);
    Millis store = timeToLoadFromStore(Leader, *spec, queuedAhead);
    out[model] =
        engineWait
            ? std::min(OrderLatency + *engineWait + spec->DiskLoad, store)
            : store;
    queuedAhead += !engineWait;
  }
  return out;
}

} // namespace

namespace {

/// Backlogs of the models with the most callers, summed over all fronts.
std::map<std::string, RankBacklog> sumBacklogs(const LeaderState &Leader,
                                               TimePoint Now) {
  std::map<std::string, RankBacklog> sums;
  auto add = [](const auto &Counts, std::array<uint32_t, RankCount> &Sums) {
    for (int i = 0; i < Counts.size() && i < static_cast<int>(RankCount); ++i)
      Sums[static_cast<size_t>(i)] += Counts[i];
  };
  for (const auto &[front, report] : Leader.Demand.Fronts) {
    if (Now - report.HeardAt > DemandRetention)
      continue;
    for (const auto &[model, row] : report.Rows) {
      if (row.waiting_by_rank().empty() && row.returning_by_rank().empty())
        continue;
      RankBacklog &sum = sums[model];
      add(row.waiting_by_rank(), sum.Waiting);
      add(row.returning_by_rank(), sum.Returning);
    }
  }
  if (sums.size() <= MaxBacklogs)
    return sums;
  std::vector<std::pair<uint32_t, std::string>> largest;
  for (const auto &[model, sum] : sums)
    largest.emplace_back(callersBefore(sum, RankCount - 1), model);
  std::sort(largest.rbegin(), largest.rend());
  for (size_t i = MaxBacklogs; i < largest.size(); ++i)
    sums.erase(largest[i].second);
  return sums;
}

void addBacklogs(const std::map<std::string, RankBacklog> &Backlogs,
                 wire::LoadForecast &Out) {
  for (const auto &[model, it] : Backlogs) {
    wire::ModelBacklog &entry = *Out.add_backlogs();
    entry.set_model(model);
    for (uint32_t count : it.Waiting)
      entry.add_waiting_by_rank(count);
    for (uint32_t count : it.Returning)
      entry.add_returning_by_rank(count);
  }
}

} // namespace

void sendForecasts(LeaderState &Leader, FrontState &State, TimePoint Now,
                   NodeMessages &Out) {
  if (!isPast(Leader.NextForecastAt, Now))
    return;
  Leader.NextForecastAt = Now + ForecastPeriod;
  auto loads = forecastLoads(Leader, State, Now);
  auto backlogs = sumBacklogs(Leader, Now);
  for (const auto &[front, report] : Leader.Demand.Fronts) {
    wire::Envelope message;
    wire::LoadForecast &forecast = *message.mutable_load_forecast();
    forecast.set_term(Leader.Term);
    for (const auto &[model, row] : report.Rows) {
      auto load = loads.find(model);
      if (row.waiting() == 0 || load == loads.end())
        continue;
      wire::ModelForecast &entry = *forecast.add_models();
      entry.set_model(model);
      entry.set_ready_in_ms(static_cast<uint64_t>(load->second.count()));
    }
    addBacklogs(backlogs, forecast);
    if (forecast.models_size() == 0 && forecast.backlogs_size() == 0)
      continue;
    auto node = State.Roster.Nodes.find(front);
    if (front == State.Self.name())
      applyForecast(State, forecast, Now);
    else if (node != State.Roster.Nodes.end())
      Out.push_back({node->second.Entry.address(), std::move(message)});
  }
}

void applyForecast(FrontState &State, const wire::LoadForecast &Forecast,
                   TimePoint Now) {
  if (Forecast.term() < State.Leader.Term)
    return;
  for (const wire::ModelForecast &it : Forecast.models()) {
    ModelUsage &usage = State.ModelUsages[it.model()];
    usage.ReadyAt = Now + Millis(it.ready_in_ms());
    usage.ForecastAt = Now;
  }
  for (const wire::ModelBacklog &it : Forecast.backlogs()) {
    ModelUsage &usage = State.ModelUsages[it.model()];
    usage.FleetBacklog = {};
    usage.FleetBacklogAt = Now;
    auto copy = [](const auto &From, std::array<uint32_t, RankCount> &To) {
      for (int i = 0; i < From.size() && i < static_cast<int>(RankCount); ++i)
        To[static_cast<size_t>(i)] = From[i];
    };
    copy(it.waiting_by_rank(), usage.FleetBacklog.Waiting);
    copy(it.returning_by_rank(), usage.FleetBacklog.Returning);
  }
}

std::string summarizeBusyModels(const LeaderState &Leader,
                                const FrontState &State, TimePoint Now) {
  std::map<std::string, size_t> replicas;
  for (const auto &[id, known] : State.Directory.Endpoints) {
    const EngineState *engine = findEngineState(State.Directory, known);
    if (!engine || !takesRequests(State, known, Now))
      continue;
    for (const auto &[model, adapters] : engine->Models)
      ++replicas[model];
  }
  std::vector<std::pair<double, std::string>> busiest;
  for (const auto &[model, demand] : sumDemand(Leader, Now))
    if (demand.Busy > 0)
      busiest.emplace_back(demand.Busy, model);
  std::sort(busiest.rbegin(), busiest.rend());
  busiest.resize(std::min(busiest.size(), MaxSummarizedModels));
  std::string out;
  for (const auto &[busy, model] : busiest)
    out += (out.empty() ? "" : ";") + model + ":" +
           std::to_string(static_cast<int>(busy)) + "/" +
           std::to_string(replicas[model]);
  return out;
}

bool applyRateShares(FrontState &State, const wire::RateShares &Shares,
                     TimePoint Now) {
  bool isOld = Shares.term() < State.SharesTerm ||
               (Shares.term() == State.SharesTerm &&
                Shares.number() <= State.SharesNumber);
  if (isOld)
    return false;
  bool isNewLeader = Shares.term() != State.SharesTerm;
  State.SharesTerm = Shares.term();
  State.SharesNumber = Shares.number();
  recordPoolContact(State, Now);
  State.FrontCountTold = Shares.front_count();
  State.FrontCountToldAt = Now;
  for (const wire::RateShare &it : Shares.shares())
    setShare(State.Quotas[it.organisation()], it.share(), Now);
  return isNewLeader;
}

} // namespace sassafras
