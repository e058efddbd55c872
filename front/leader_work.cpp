#include "front/leader_work.h"

#include "core/logging.h"

#include <algorithm>

namespace sassafras {

namespace {

/// A new leader learns the fronts' demand and the agents' reports first.
constexpr Millis LearnSpan{200};
/// Agents and engines tell a new leader within this what lies at each engine;
/// one whose agent is gone is waited for no longer.
constexpr Millis WeightsLearnSpan{2'500};
/// Part of the store's allowed loads that is used; the rest covers loads that
/// an earlier leader ordered.
constexpr double StoreMargin = 0.75;
constexpr double StoreBurst = 2;
/// An order that is not reported as over is given up after its load time and
/// this much for unloads that wait for running requests.
constexpr Millis OrderSlack{4'000};
/// A load takes longer while others are under way.
constexpr int OrderLoadFactor = 3;
/// From a plan to the order at the engine, an unload before it, and back.
constexpr Millis OrderWay{150};
/// A model that was just loaded stays for this long: fronts hear of it, send
/// what waits, and tell of it with their next heartbeat.
constexpr Millis FreshSpan{800};
/// A load that is late by more than this is waited for as if it began now.
constexpr Millis LateLoad{500};
/// A load from the store that should be over goes on for about this long: a
/// part of its time for each other one.
constexpr Millis OverdueStoreLoad{3'000};
/// Orders of one term.
constexpr unsigned OrderTermShift = 24;
/// Models in one log line.
constexpr size_t MostDescribed = 6;
/// A front's demand counts for this long after its last heartbeat.
constexpr Millis DemandMemory{2'000};

double secondsOf(Clock::duration Span) {
  return std::chrono::duration<double>(Span).count();
}

void refillStore(LeaderState &Leader, const EngineSpec &Spec, TimePoint Now) {
  if (Leader.StoreTokensAt != TimePoint())
    Leader.StoreTokens = std::min(
        StoreBurst, Leader.StoreTokens + secondsOf(Now - Leader.StoreTokensAt) *
                                             Spec.LoadsPerSecond * StoreMargin);
  Leader.StoreTokensAt = Now;
}

std::map<std::string, ModelDemand> sumDemand(const LeaderState &Leader,
                                             TimePoint Now) {
  std::map<std::string, ModelDemand> out;
  for (const auto &[model, rates] : Leader.Demand.Rates)
    out[model].WorthPerSecond =
        std::max(readRate(rates.ShortWorth, ShortWindow, Now),
                 readRate(rates.LongWorth, LongWindow, Now));
  for (const auto &[front, part] : Leader.Demand.Fronts) {
    if (Now - part.HeardAt > DemandMemory)
      continue;
    for (const auto &[model, row] : part.Rows) {
      ModelDemand &demand = out[model];
      demand.Busy += row.busy();
      demand.Waiting += row.waiting();
      demand.WaitingWorth += row.waiting_worth();
    }
  }
  return out;
}

/// Requests under way by endpoint and model, over all fronts.
std::map<std::string, std::map<std::string, uint32_t>>
sumRunning(const LeaderState &Leader, TimePoint Now) {
  std::map<std::string, std::map<std::string, uint32_t>> out;
  for (const auto &[front, part] : Leader.Demand.Fronts) {
    if (Now - part.HeardAt > DemandMemory)
      continue;
    for (const auto &[model, row] : part.Rows)
      for (const wire::OpenRequests &it : row.open())
        out[it.endpoint()][model] += it.count();
  }
  return out;
}

bool isOver(const OpenOrder &Order, const EngineState &Engine, TimePoint Now) {
  return Engine.OrderDone >= Order.Number || isPast(Order.Expires, Now);
}

/// Forgets orders whose engine is gone: nothing will come of them, and they
/// would hold what the weight store allows until they expire.
void dropLostOrders(LeaderState &Leader, const FrontState &State,
                    TimePoint Now) {
  std::erase_if(Leader.Orders, [&](const auto &it) {
    const OpenOrder &order = it.second;
    auto known = State.Directory.Endpoints.find(order.Endpoint);
    auto holder = State.Directory.IdByAddress.find(it.first);
    bool isThere = known != State.Directory.Endpoints.end() &&
                   holder != State.Directory.IdByAddress.end() &&
                   holder->second == order.Endpoint &&
                   isServing(known->second, Now);
    if (!isThere)
      logEvent(LogLevel::Info, "order_lost",
               {{"order", std::to_string(order.Number)},
                {"endpoint", order.Endpoint},
                {"model", order.Model}});
    return !isThere;
  });
}

/// An unload may wait long for running requests: the load counts from when the
/// engine reports it under way.
void noteProgress(LeaderState &Leader, OpenOrder &Order,
                  const EngineState &Engine, Millis Load) {
  bool isUnloaded = std::none_of(
      Order.Evict.begin(), Order.Evict.end(),
      [&](const std::string &it) { return Engine.Models.contains(it); });
  if (Order.HasBegun || !isUnloaded || !Engine.IsBusy)
    return;
  Order.HasBegun = true;
  Order.BegunAt = Engine.ReadAt;
  if (Order.IsFromStore) {
    Order.Together = 0;
    for (const auto &[address, it] : Leader.Orders)
      Order.Together += it.IsFromStore && it.HasBegun;
    Load = storeLoadTime(Leader.Pace, Order.Together, Load);
  }
  Order.ReadyAt = std::max(Order.ReadyAt, Engine.ReadAt + Load);
}

/// Learns from a load from the store that is over.
void noteStoreTime(LeaderState &Leader, const OpenOrder &Order,
                   const EngineState &Engine, const EngineSpec &Spec,
                   TimePoint Now) {
  auto spec = Spec.Models.find(Order.Model);
  if (!Order.IsFromStore || !Order.HasBegun || spec == Spec.Models.end() ||
      !Engine.Models.contains(Order.Model))
    return;
  auto taken =
      std::chrono::duration_cast<Millis>(Engine.ReadAt - Order.BegunAt);
  size_t before = Leader.Pace.MaxLoads;
  recordStoreLoad(Leader.Pace, Order.Together, spec->second.StoreLoad, taken,
                  Now);
  logEvent(LogLevel::Info, "store_load_done",
           {{"order", std::to_string(Order.Number)},
            {"model", Order.Model},
            {"taken_ms", std::to_string(taken.count())},
            {"together", std::to_string(Order.Together)},
            {"places", std::to_string(Leader.Pace.MaxLoads)},
            {"before", std::to_string(before)}});
}

/// False while a new leader may not have heard of weights that lie near: then
/// no model is taken for one that only the store has.
bool areWeightsKnown(const LeaderState &Leader, const FrontState &State,
                     TimePoint Now) {
  if (Now - Leader.LedSince >= WeightsLearnSpan)
    return true;
  if (!isPast(State.EndpointsKnownAt, Now))
    return false;
  const auto &endpoints = State.Directory.Endpoints;
  return std::all_of(endpoints.begin(), endpoints.end(), [&](const auto &it) {
    const KnownEndpoint &known = it.second;
    if (!isUsable(known, Now) || !engineSpecOf(State, known.Service))
      return true;
    const EngineState *engine = engineOf(State.Directory, known);
    return engine && engine->KnowsWeights;
  });
}

bool isNearAt(const EngineState &Engine, const std::string &Model) {
  return Engine.OnDisk.contains(Model) || Engine.InMemory.contains(Model);
}

Millis timeLeft(TimePoint At, TimePoint Now) {
  return At > Now ? std::chrono::duration_cast<Millis>(At - Now) : Millis(0);
}

/// Until an engine under this order takes another one, as far as is known.
Millis busyFor(const OpenOrder &Order, TimePoint Now) {
  Millis left = timeLeft(Order.ReadyAt, Now);
  // The store serves loads that this leader does not know of.
  return Order.IsFromStore ? std::max(left, OverdueStoreLoad) : left;
}

/// Engines of \p Service as the plan sees them, with their addresses.
struct EngineField {
  std::vector<PlanEngine> Engines;
  std::vector<const KnownEndpoint *> Endpoints;
  std::vector<const EngineState *> States;
  size_t LoadsUnderWay = 0;
  size_t StoreLoadsUnderWay = 0;
};

EngineField surveyEngines(LeaderState &Leader, const FrontState &State,
                          const std::string &Service, const EngineSpec &Spec,
                          TimePoint Now) {
  EngineField out;
  auto running = sumRunning(Leader, Now);
  for (const auto &[id, known] : State.Directory.Endpoints) {
    if (known.Service != Service || known.HasLeft)
      continue;
    const EngineState *engine = engineOf(State.Directory, known);
    if (!engine)
      continue;
    PlanEngine plan;
    plan.Endpoint = id;
    plan.IsLeaving = !isUsable(known, Now) || engine->IsSilent;
    plan.AcceptsOrders =
        engine->IsFromAgent && !engine->IsBusy && !plan.IsLeaving;
    plan.LoadShare = static_cast<double>(engine->Active + engine->Queued) /
                     std::max<uint32_t>(known.Slots, 1);
    for (const auto &[model, adapters] : engine->Models) {
      plan.Models.insert(model);
      auto spec = Spec.Models.find(model);
      if (spec != Spec.Models.end())
        plan.ReservedMb += adapters.size() * spec->second.AdapterMb;
    }
    auto runs = running.find(id);
    if (runs != running.end())
      plan.Running = runs->second;
    plan.InMemory = engine->InMemory;
    plan.OnDisk = engine->OnDisk;
    auto order = Leader.Orders.find(known.Address);
    if (order != Leader.Orders.end()) {
      if (isOver(order->second, *engine, Now)) {
        noteStoreTime(Leader, order->second, *engine, Spec, Now);
        if (engine->Models.contains(order->second.Model))
          Leader.FreshUntil[{id, order->second.Model}] = Now + FreshSpan;
        Leader.Orders.erase(order);
      } else {
        plan.AcceptsOrders = false;
        plan.Loading = order->second.Model;
        auto spec = Spec.Models.find(plan.Loading);
        if (spec != Spec.Models.end())
          noteProgress(Leader, order->second, *engine,
                       loadTime(plan, spec->second));
        for (const std::string &it : order->second.Evict)
          plan.Models.erase(it);
        plan.TimeUntilFree = busyFor(order->second, Now);
        ++out.LoadsUnderWay;
        out.StoreLoadsUnderWay += order->second.IsFromStore;
      }
    } else if (!engine->Loading.empty()) {
      // Ordered by an earlier leader.
      plan.AcceptsOrders = false;
      plan.Loading = engine->Loading;
      auto spec = Spec.Models.find(plan.Loading);
      if (spec != Spec.Models.end())
        plan.TimeUntilFree =
            timeLeft(engine->ReadAt + loadTime(plan, spec->second), Now);
      ++out.LoadsUnderWay;
      out.StoreLoadsUnderWay += !isNearAt(*engine, engine->Loading);
    }
    for (const std::string &it : plan.Models)
      if (auto fresh = Leader.FreshUntil.find({id, it});
          fresh != Leader.FreshUntil.end())
        plan.JustLoaded.insert(it);
    out.Engines.push_back(std::move(plan));
    out.Endpoints.push_back(&known);
    out.States.push_back(engine);
  }
  return out;
}

void giveOrder(LeaderState &Leader, const EngineField &Field,
               const EngineSpec &Spec, const PlannedLoad &Load, TimePoint Now,
               NodeMessages &Out) {
  const KnownEndpoint &target = *Field.Endpoints[Load.Engine];
  const ModelSpec &model = Spec.Models.at(Load.Model);
  Millis life = loadTime(Field.Engines[Load.Engine], model) * OrderLoadFactor +
                OrderSlack;
  OpenOrder order;
  order.Number = Leader.NextOrder++;
  order.Endpoint = target.Id;
  order.Model = Load.Model;
  order.Evict = Load.Evict;
  order.IsFromStore = Load.IsFromStore;
  order.ReadyAt = Now + OrderWay + loadTime(Field.Engines[Load.Engine], model);
  order.Expires = Now + life;
  wire::Envelope message;
  wire::EngineOrder &wire = *message.mutable_engine_order();
  wire.set_term(Leader.Term);
  wire.set_number(order.Number);
  wire.set_engine_address(target.Address);
  wire.set_endpoint(target.Id);
  wire.set_load(Load.Model);
  wire.set_may_use_store(Load.IsFromStore);
  for (const std::string &it : Load.Evict)
    wire.add_evict(it);
  *wire.mutable_sizes() = sizesFor(Spec);
  wire.set_expires_in_ms(static_cast<uint64_t>(life.count()));
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
                                  Now - Field.States[Load.Engine]->ReadAt))}});
  Out.push_back({Field.States[Load.Engine]->Agent, std::move(message)});
  Leader.Orders[target.Address] = std::move(order);
}

} // namespace

void openLeader(LeaderState &Leader, uint64_t Term, TimePoint Now) {
  if (Leader.Term == Term)
    return;
  Leader.Term = Term;
  Leader.LedSince = Now;
  Leader.Orders.clear();
  Leader.FreshUntil.clear();
  Leader.Pools.clear();
  // Numbers of an earlier term are all lower.
  Leader.NextOrder = (Term << OrderTermShift) + 1;
  Leader.NextShares = 1;
  Leader.StoreTokens = 0;
  Leader.StoreTokensAt = Now;
}

void takeWish(LeaderState &Leader, const std::string &Front,
              const wire::RowDemand &Row, TimePoint Now) {
  FleetDemand::FrontPart &part = Leader.Demand.Fronts[Front];
  part.HeardAt = Now;
  part.Rows[Row.model()] = Row;
  Leader.NextPlan = Now;
}

void planPlacement(LeaderState &Leader, FrontState &State, TimePoint Now,
                   NodeMessages &Out) {
  if (!isPast(Leader.NextPlan, Now) || Now - Leader.LedSince < LearnSpan ||
      !State.Table)
    return;
  Leader.NextPlan = Now + PlanPeriod;
  auto demand = sumDemand(Leader, Now);
  dropLostOrders(Leader, State, Now);
  std::erase_if(Leader.FreshUntil,
                [&](const auto &it) { return isPast(it.second, Now); });
  bool mayUseStore = areWeightsKnown(Leader, State, Now);
  for (const auto &[name, service] : State.Table->Services) {
    if (!service.Engine)
      continue;
    const EngineSpec &spec = *service.Engine;
    refillStore(Leader, spec, Now);
    EngineField field = surveyEngines(Leader, State, name, spec, Now);
    PlanInput input{spec,
                    demand,
                    field.Engines,
                    field.LoadsUnderWay,
                    field.StoreLoadsUnderWay,
                    mayUseStore ? static_cast<uint32_t>(Leader.StoreTokens) : 0,
                    Leader.Pace.MaxLoads};
    for (const PlannedLoad &it : planModels(input)) {
      if (it.IsFromStore)
        Leader.StoreTokens -= 1;
      giveOrder(Leader, field, spec, it, Now, Out);
    }
  }
}

void divideRates(LeaderState &Leader, FrontState &State, TimePoint Now,
                 NodeMessages &Out) {
  if (!isPast(Leader.NextShare, Now) || !State.Table ||
      Now - Leader.LedSince < LearnSpan)
    return;
  Leader.NextShare = Now + SharePeriod;
  std::vector<std::string> fronts{State.Self.name()};
  for (const auto &[name, it] : State.Roster.Nodes)
    // One out of view may still use the share that it was given.
    if (it.Entry.kind() == wire::NODE_FRONT &&
        Now - it.HeardAt < NodeSilence + ShareLifetime)
      fronts.push_back(name);
  std::map<std::string, wire::RateShares> shares;
  for (const OrganisationSpec &organisation : State.Table->Organisations) {
    if (organisation.RatePerSecond <= 0)
      continue;
    FrontDemand demand;
    for (const auto &[front, part] : Leader.Demand.Fronts) {
      auto it = part.Organisations.find(organisation.Name);
      if (it != part.Organisations.end())
        demand[front] = it->second;
    }
    for (const auto &[front, share] :
         divideRate(organisation.RatePerSecond, demand, fronts)) {
      wire::RateShare &out = *shares[front].add_shares();
      out.set_organisation(organisation.Name);
      out.set_share(share);
    }
  }
  uint64_t number = Leader.NextShares++;
  for (auto &[front, it] : shares) {
    it.set_term(Leader.Term);
    it.set_number(number);
    if (front == State.Self.name()) {
      takeShares(State, it, Now);
      continue;
    }
    wire::Envelope message;
    *message.mutable_rate_shares() = it;
    Out.push_back(
        {State.Roster.Nodes[front].Entry.address(), std::move(message)});
  }
}

namespace {

/// Tokens a second that all fronts together were asked for.
double demandOf(const FleetDemand &Demand, const std::string &Organisation,
                TimePoint Now) {
  double sum = 0;
  for (const auto &[front, part] : Demand.Fronts) {
    auto it = part.Organisations.find(Organisation);
    if (it != part.Organisations.end() && Now - part.HeardAt < DemandMemory)
      sum += it->second;
  }
  return sum;
}

} // namespace

std::optional<wire::QuotaGrant> answerQuotaWish(LeaderState &Leader,
                                                const FrontState &State,
                                                const wire::QuotaWish &Wish,
                                                TimePoint Now) {
  // Written so that what is not a number is refused as well.
  bool isSound = Wish.least() >= 0 && Wish.wanted() >= Wish.least();
  if (!State.Table || !isSound)
    return std::nullopt;
  const auto &organisations = State.Table->Organisations;
  auto found = std::find_if(
      organisations.begin(), organisations.end(),
      [&](const auto &it) { return it.Name == Wish.organisation(); });
  if (found == organisations.end() || found->RatePerSecond <= 0)
    return std::nullopt;
  bool isBeyond =
      demandOf(Leader.Demand, found->Name, Now) > found->RatePerSecond;
  PoolGrant answer =
      drawFromPool(Leader.Pools[found->Name], limitOf(State, *found, Now),
                   {Wish.wanted(), Wish.least(), Wish.is_favoured()}, isBeyond,
                   Leader.LedSince, Now);
  wire::QuotaGrant out;
  out.set_term(Leader.Term);
  out.set_organisation(found->Name);
  out.set_granted(answer.Granted);
  out.set_wait_ms(static_cast<uint64_t>(answer.Wait.count()));
  out.set_is_favoured(Wish.is_favoured());
  return out;
}

namespace {

/// Time until a model that lies on no engine is there: behind those that are
/// worth more, a few at a time.
Millis storeQueueTime(const LeaderState &Leader, const ModelSpec &Spec,
                      size_t StoreAhead) {
  size_t queued = StoreAhead;
  for (const auto &[address, order] : Leader.Orders)
    queued += order.IsFromStore;
  return OrderWay + Spec.StoreLoad *
                        static_cast<int64_t>(queued / Leader.Pace.MaxLoads + 1);
}

/// Time until an engine that has the weights of \p Model may be ordered to load
/// it; nothing where none has them.
std::optional<Millis> timeToNear(const LeaderState &Leader,
                                 const FrontState &State,
                                 const std::string &Model, TimePoint Now) {
  std::optional<Millis> best;
  for (const auto &[id, known] : State.Directory.Endpoints) {
    const EngineState *engine = engineOf(State.Directory, known);
    if (!engine || !isUsable(known, Now) || !isNearAt(*engine, Model))
      continue;
    auto order = Leader.Orders.find(known.Address);
    Millis wait =
        order == Leader.Orders.end() ? Millis(0) : busyFor(order->second, Now);
    best = best ? std::min(*best, wait) : wait;
  }
  return best;
}

const ModelSpec *findSpec(const FrontState &State, const std::string &Model) {
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

/// When models that are on their way will be there, at the earliest.
ReadyTimes listUnderWay(const LeaderState &Leader, const FrontState &State,
                        TimePoint Now) {
  ReadyTimes out;
  auto note = [&](const std::string &Model, TimePoint At) {
    auto [it, isNew] = out.emplace(Model, At);
    it->second = std::min(it->second, At);
  };
  for (const auto &[address, order] : Leader.Orders)
    note(order.Model, order.ReadyAt);
  for (const auto &[id, known] : State.Directory.Endpoints) {
    const EngineState *engine = engineOf(State.Directory, known);
    const ModelSpec *spec = engine && isServing(known, Now)
                                ? findSpec(State, engine->Loading)
                                : nullptr;
    if (!spec || Leader.Orders.contains(known.Address))
      continue;
    // An earlier leader's order: it began before the report that tells of it.
    bool isNear = isNearAt(*engine, spec->Name);
    note(spec->Name,
         engine->ReadAt + (isNear ? spec->DiskLoad : spec->StoreLoad));
  }
  return out;
}

/// Time until each model that somebody waits for is there.
std::map<std::string, Millis> forecastLoads(const LeaderState &Leader,
                                            const FrontState &State,
                                            TimePoint Now) {
  std::vector<std::pair<double, std::string>> wanted;
  for (const auto &[model, demand] : sumDemand(Leader, Now))
    if (demand.Waiting > 0)
      wanted.emplace_back(demand.WaitingWorth, model);
  std::sort(wanted.rbegin(), wanted.rend());
  ReadyTimes underWay = listUnderWay(Leader, State, Now);
  bool isKnown = areWeightsKnown(Leader, State, Now);
  std::map<std::string, Millis> out;
  size_t storeAhead = 0;
  for (const auto &[worth, model] : wanted) {
    const ModelSpec *spec = findSpec(State, model);
    if (!spec)
      continue;
    auto order = underWay.find(model);
    if (order != underWay.end() && order->second + LateLoad > Now) {
      out[model] = Millis(toMillis(order->second - Now));
      continue;
    }
    auto near = timeToNear(Leader, State, model, Now);
    if (!near && !isKnown)
      near = Millis(0);
    Millis store = storeQueueTime(Leader, *spec, storeAhead);
    out[model] =
        near ? std::min(OrderWay + *near + spec->DiskLoad, store) : store;
    storeAhead += !near;
  }
  return out;
}

} // namespace

void tellForecasts(LeaderState &Leader, FrontState &State, TimePoint Now,
                   NodeMessages &Out) {
  if (!isPast(Leader.NextForecast, Now))
    return;
  Leader.NextForecast = Now + ForecastPeriod;
  auto loads = forecastLoads(Leader, State, Now);
  for (const auto &[front, part] : Leader.Demand.Fronts) {
    wire::Envelope message;
    wire::LoadForecast &forecast = *message.mutable_load_forecast();
    forecast.set_term(Leader.Term);
    for (const auto &[model, row] : part.Rows) {
      auto load = loads.find(model);
      if (row.waiting() == 0 || load == loads.end())
        continue;
      wire::ModelForecast &entry = *forecast.add_models();
      entry.set_model(model);
      entry.set_ready_in_ms(static_cast<uint64_t>(load->second.count()));
    }
    if (forecast.models_size() == 0)
      continue;
    auto node = State.Roster.Nodes.find(front);
    if (front == State.Self.name())
      takeForecast(State, forecast, Now);
    else if (node != State.Roster.Nodes.end())
      Out.push_back({node->second.Entry.address(), std::move(message)});
  }
}

void takeForecast(FrontState &State, const wire::LoadForecast &Forecast,
                  TimePoint Now) {
  if (Forecast.term() < State.Leader.Term)
    return;
  for (const wire::ModelForecast &it : Forecast.models()) {
    RowUse &row = State.Rows[it.model()];
    row.ReadyAt = Now + Millis(it.ready_in_ms());
    row.ForecastAt = Now;
  }
}

std::string describeModels(const LeaderState &Leader, const FrontState &State,
                           TimePoint Now) {
  std::map<std::string, size_t> replicas;
  for (const auto &[id, known] : State.Directory.Endpoints) {
    const EngineState *engine = engineOf(State.Directory, known);
    if (!engine || !isUsable(known, Now))
      continue;
    for (const auto &[model, adapters] : engine->Models)
      ++replicas[model];
  }
  std::vector<std::pair<double, std::string>> busiest;
  for (const auto &[model, demand] : sumDemand(Leader, Now))
    if (demand.Busy > 0)
      busiest.emplace_back(demand.Busy, model);
  std::sort(busiest.rbegin(), busiest.rend());
  busiest.resize(std::min(busiest.size(), MostDescribed));
  std::string out;
  for (const auto &[busy, model] : busiest)
    out += (out.empty() ? "" : ";") + model + ":" +
           std::to_string(static_cast<int>(busy)) + "/" +
           std::to_string(replicas[model]);
  return out;
}

void takeShares(FrontState &State, const wire::RateShares &Shares,
                TimePoint Now) {
  bool isOld = Shares.term() < State.SharesTerm ||
               (Shares.term() == State.SharesTerm &&
                Shares.number() <= State.SharesNumber);
  if (isOld)
    return;
  State.SharesTerm = Shares.term();
  State.SharesNumber = Shares.number();
  State.PoolHeardAt = Now;
  for (const wire::RateShare &it : Shares.shares())
    setShare(State.Quotas[it.organisation()], it.share(), Now);
}

} // namespace sassafras
