#include "engine_agent/engine_orders.h"

#include <algorithm>

namespace sassafras {

namespace {

const wire::ModelSize *sizeOf(const EngineAgentState &State,
                              const std::string &Model) {
  for (const wire::ModelSize &it : State.Sizes.models())
    if (it.name() == Model)
      return &it;
  return nullptr;
}

const wire::LoadedModel *findModel(const EngineAgentState &State,
                                   const std::string &Model) {
  for (const wire::LoadedModel &it : State.Reading.models())
    if (it.name() == Model)
      return &it;
  return nullptr;
}

bool hasAdapter(const wire::LoadedModel &Model, const std::string &Adapter) {
  return std::find(Model.adapters().begin(), Model.adapters().end(), Adapter) !=
         Model.adapters().end();
}

/// Model and adapter of an entry MODEL/NAME@VERSION.
std::string withoutVersion(const std::string &Incoming) {
  return Incoming.substr(0, Incoming.rfind('@'));
}

bool isIncoming(const EngineAgentState &State, const std::string &Key) {
  return std::any_of(
      State.Reading.incoming().begin(), State.Reading.incoming().end(),
      [&](const std::string &it) { return withoutVersion(it) == Key; });
}

size_t countAdapters(const EngineAgentState &State) {
  auto n = static_cast<size_t>(State.Reading.incoming_size());
  for (const wire::LoadedModel &it : State.Reading.models())
    n += static_cast<size_t>(it.adapters_size());
  return n;
}

EngineDecision makeDecision(const EngineAgentState &State, bool IsLoad,
                            std::string Model, std::string Adapter,
                            std::string Endpoint) {
  return {IsLoad, std::move(Model), std::move(Adapter), std::move(Endpoint),
          State.Reading.order_sequence()};
}

void endGoal(EngineAgentState &State) {
  State.OrderDone = std::max(State.OrderDone, State.Goal->Number);
  State.Goal.reset();
}

/// True where the engine's own memory or disk has the weights; also while it
/// does not say what they have.
bool isNear(const EngineAgentState &State, const std::string &Model) {
  const wire::EngineReport &reading = State.Reading;
  auto has = [&](const auto &List) {
    return std::find(List.begin(), List.end(), Model) != List.end();
  };
  return !reading.has_available() || has(reading.in_memory()) ||
         has(reading.on_disk());
}

std::optional<EngineDecision> pursueGoal(EngineAgentState &State,
                                         TimePoint Now) {
  const ModelGoal &goal = *State.Goal;
  if (State.Reading.is_busy())
    return std::nullopt;
  bool isReached = findModel(State, goal.Load) != nullptr;
  // Another process may have taken the place of one that had the weights.
  bool isAllowed = goal.MayUseStore || isNear(State, goal.Load);
  const wire::ModelSize *size = sizeOf(State, goal.Load);
  auto used = usedMemory(State);
  if (isReached || !isAllowed || isPast(goal.Expires, Now) || !size || !used) {
    endGoal(State);
    return std::nullopt;
  }
  if (*used + size->weights_mb() <= State.Sizes.weights_mb())
    return makeDecision(State, true, goal.Load, {}, goal.Endpoint);
  for (const std::string &it : goal.Evict)
    if (findModel(State, it))
      return makeDecision(State, false, it, {}, goal.Endpoint);
  endGoal(State);
  return std::nullopt;
}

/// Least recently used adapter, of any model.
std::optional<std::pair<std::string, std::string>>
oldestAdapter(const EngineAgentState &State) {
  std::optional<std::pair<std::string, std::string>> best;
  TimePoint bestUse;
  for (const wire::LoadedModel &model : State.Reading.models())
    for (const std::string &adapter : model.adapters()) {
      auto use = State.AdapterUse.find(model.name() + '/' + adapter);
      TimePoint at = use == State.AdapterUse.end() ? TimePoint() : use->second;
      if (best && at >= bestUse)
        continue;
      best = {model.name(), adapter};
      bestUse = at;
    }
  return best;
}

std::optional<EngineDecision> pursueAdapters(EngineAgentState &State,
                                             TimePoint Now) {
  std::set<std::string> leaving = leavingModels(State);
  std::erase_if(State.Adapters, [&](const AdapterGoal &it) {
    const wire::LoadedModel *model = findModel(State, it.Model);
    return isPast(it.Expires, Now) || !model || leaving.contains(it.Model) ||
           hasAdapter(*model, it.Adapter);
  });
  for (const AdapterGoal &it : State.Adapters) {
    if (isIncoming(State, it.Model + '/' + it.Adapter))
      continue;
    if (static_cast<size_t>(State.Reading.incoming_size()) >= MostIncoming)
      return std::nullopt;
    const wire::ModelSize *size = sizeOf(State, it.Model);
    auto used = usedMemory(State);
    if (!size || !used)
      continue;
    bool hasPlace = countAdapters(State) < State.Sizes.adapter_slots();
    bool hasMemory = *used + size->adapter_mb() <= State.Sizes.weights_mb();
    if (hasPlace && hasMemory)
      return makeDecision(State, true, it.Model, it.Adapter, it.Endpoint);
    auto oldest = oldestAdapter(State);
    if (!oldest)
      continue;
    return makeDecision(State, false, oldest->first, oldest->second,
                        it.Endpoint);
  }
  return std::nullopt;
}

} // namespace

namespace {

/// Fronts that hear no leader know little of one another: what one of them
/// asks for must not undo what another one, or the last leader, asked for.
bool mayTakeLeaderless(const EngineAgentState &State,
                       const wire::EngineOrder &Order) {
  return !State.Goal && State.HasReading && !State.Reading.is_busy() &&
         Order.evict().empty();
}

} // namespace

bool takeOrder(EngineAgentState &State, const wire::EngineOrder &Order,
               TimePoint Now) {
  bool isLeaderless = Order.number() == 0;
  if (isLeaderless ? !mayTakeLeaderless(State, Order)
                   : Order.number() <= State.HighestOrder)
    return false;
  State.HighestOrder = std::max(State.HighestOrder, Order.number());
  if (State.Goal)
    endGoal(State);
  State.Sizes = Order.sizes();
  State.Goal = ModelGoal{
      Order.number(),        Order.endpoint(),
      Order.load(),          {Order.evict().begin(), Order.evict().end()},
      Order.may_use_store(), Now + Millis(Order.expires_in_ms())};
  return true;
}

void takeAdapterWish(EngineAgentState &State, const wire::AdapterWish &Wish,
                     TimePoint Now) {
  State.Sizes = Wish.sizes();
  State.AdapterUse[Wish.model() + '/' + Wish.adapter()] = Now;
  for (AdapterGoal &it : State.Adapters)
    if (it.Model == Wish.model() && it.Adapter == Wish.adapter()) {
      it.Expires = Now + AdapterWishLife;
      return;
    }
  State.Adapters.push_back(
      {Wish.endpoint(), Wish.model(), Wish.adapter(), Now + AdapterWishLife});
}

void takeReading(EngineAgentState &State, const wire::EngineReport &Reading) {
  bool isRestarted =
      State.HasReading && Reading.born_ms() != State.Reading.born_ms();
  // What was ordered of the process before is not owed by this one.
  if (isRestarted && State.Goal)
    endGoal(State);
  State.Reading = Reading;
  State.HasReading = true;
}

void loseReading(EngineAgentState &State) {
  State.HasReading = false;
  if (State.Goal)
    endGoal(State);
  State.Adapters.clear();
}

std::optional<EngineDecision> decideOrder(EngineAgentState &State,
                                          TimePoint Now) {
  if (!State.HasReading)
    return std::nullopt;
  if (State.Goal)
    if (auto decision = pursueGoal(State, Now))
      return decision;
  if (State.Reading.is_busy())
    return std::nullopt;
  return pursueAdapters(State, Now);
}

std::optional<uint64_t> usedMemory(const EngineAgentState &State) {
  uint64_t used = 0;
  auto add = [&](const std::string &Model, size_t Weights, size_t Adapters) {
    const wire::ModelSize *size = sizeOf(State, Model);
    if (!size)
      return false;
    used += Weights * size->weights_mb() + Adapters * size->adapter_mb();
    return true;
  };
  for (const wire::LoadedModel &it : State.Reading.models())
    if (!add(it.name(), 1, static_cast<size_t>(it.adapters_size())))
      return std::nullopt;
  for (const std::string &it : State.Reading.incoming())
    if (!add(it.substr(0, it.find('/')), 0, 1))
      return std::nullopt;
  return used;
}

std::set<std::string> leavingModels(const EngineAgentState &State) {
  if (!State.Goal)
    return {};
  return {State.Goal->Evict.begin(), State.Goal->Evict.end()};
}

} // namespace sassafras
