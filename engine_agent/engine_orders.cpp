#include "engine_agent/engine_orders.h"

#include <algorithm>

namespace sassafras {

namespace {

const wire::ModelSize *findModelSize(const EngineAgentState &State,
                                     const std::string &Model) {
  for (const wire::ModelSize &it : State.Sizes.models())
    if (it.name() == Model)
      return &it;
  return nullptr;
}

const wire::LoadedModel *findModel(const EngineAgentState &State,
                                   const std::string &Model) {
  for (const wire::LoadedModel &it : State.Report.models())
    if (it.name() == Model)
      return &it;
  return nullptr;
}

bool hasAdapter(const wire::LoadedModel &Model, const std::string &Adapter) {
  return std::find(Model.adapters().begin(), Model.adapters().end(), Adapter) !=
         Model.adapters().end();
}

/// Returns MODEL/ADAPTER for an entry MODEL/ADAPTER@VERSION.
std::string stripVersion(const std::string &Incoming) {
  return Incoming.substr(0, Incoming.rfind('@'));
}

bool isIncoming(const EngineAgentState &State, const std::string &Key) {
  return std::any_of(
      State.Report.incoming().begin(), State.Report.incoming().end(),
      [&](const std::string &it) { return stripVersion(it) == Key; });
}

size_t countAdapters(const EngineAgentState &State) {
  auto n = static_cast<size_t>(State.Report.incoming_size());
  for (const wire::LoadedModel &it : State.Report.models())
    n += static_cast<size_t>(it.adapters_size());
  return n;
}

PlannedCommand makeCommand(const EngineAgentState &State, bool IsLoad,
                           std::string Model, std::string Adapter,
                           std::string Endpoint) {
  return {IsLoad, std::move(Model), std::move(Adapter), std::move(Endpoint),
          State.Report.order_sequence()};
}

void endGoal(EngineAgentState &State) {
  State.OrderDone = std::max(State.OrderDone, State.Goal->Number);
  State.Goal.reset();
}

/// True when the engine has the weights in its memory or on its disk, or does
/// not report what it has there.
bool hasLocalWeights(const EngineAgentState &State, const std::string &Model) {
  const wire::EngineReport &report = State.Report;
  auto has = [&](const auto &List) {
    return std::find(List.begin(), List.end(), Model) != List.end();
  };
  return !report.has_available() || has(report.in_memory()) ||
         has(report.on_disk());
}

std::optional<PlannedCommand> advanceModelGoal(EngineAgentState &State,
                                               TimePoint Now) {
  const ModelGoal &goal = *State.Goal;
  if (State.Report.is_busy())
    return std::nullopt;
  bool isReached = findModel(State, goal.Load) != nullptr;
  // The engine may have been replaced by one without the weights.
  bool isSourceAllowed = goal.MayUseStore || hasLocalWeights(State, goal.Load);
  const wire::ModelSize *size = findModelSize(State, goal.Load);
  auto used = computeUsedMemory(State);
  if (isReached || !isSourceAllowed || isPast(goal.Expires, Now) || !size ||
      !used) {
    endGoal(State);
    return std::nullopt;
  }
  if (*used + size->weights_mb() <= State.Sizes.weights_mb())
    return makeCommand(State, true, goal.Load, {}, goal.Endpoint);
  for (const std::string &it : goal.Evict)
    if (findModel(State, it))
      return makeCommand(State, false, it, {}, goal.Endpoint);
  endGoal(State);
  return std::nullopt;
}

/// Model and name of the least recently used adapter of all models.
std::optional<std::pair<std::string, std::string>>
findLeastRecentlyUsedAdapter(const EngineAgentState &State) {
  std::optional<std::pair<std::string, std::string>> best;
  TimePoint bestUse;
  for (const wire::LoadedModel &model : State.Report.models())
    for (const std::string &adapter : model.adapters()) {
      auto use = State.AdapterLastUse.find(model.name() + '/' + adapter);
      TimePoint at =
          use == State.AdapterLastUse.end() ? TimePoint() : use->second;
      if (best && at >= bestUse)
        continue;
      best = {model.name(), adapter};
      bestUse = at;
    }
  return best;
}

std::optional<PlannedCommand> advanceAdapterGoals(EngineAgentState &State,
                                                  TimePoint Now) {
  std::set<std::string> evicting = listEvictingModels(State);
  std::erase_if(State.Adapters, [&](const AdapterGoal &it) {
    const wire::LoadedModel *model = findModel(State, it.Model);
    return isPast(it.Expires, Now) || !model || evicting.contains(it.Model) ||
           hasAdapter(*model, it.Adapter);
  });
  for (const AdapterGoal &it : State.Adapters) {
    if (isIncoming(State, it.Model + '/' + it.Adapter))
      continue;
    if (static_cast<size_t>(State.Report.incoming_size()) >=
        MaxIncomingAdapters)
      return std::nullopt;
    const wire::ModelSize *size = findModelSize(State, it.Model);
    auto used = computeUsedMemory(State);
    if (!size || !used)
      continue;
    bool hasSlot = countAdapters(State) < State.Sizes.adapter_slots();
    bool hasMemory = *used + size->adapter_mb() <= State.Sizes.weights_mb();
    if (hasSlot && hasMemory)
      return makeCommand(State, true, it.Model, it.Adapter, it.Endpoint);
    auto leastRecentlyUsed = findLeastRecentlyUsedAdapter(State);
    if (!leastRecentlyUsed)
      continue;
    return makeCommand(State, false, leastRecentlyUsed->first,
                       leastRecentlyUsed->second, it.Endpoint);
  }
  return std::nullopt;
}

} // namespace

namespace {

/// A sender names only the sizes of models that it knows to be loaded or wants
/// loaded, so those named earlier are kept.
void mergeSizes(wire::EngineSizes &Known, const wire::EngineSizes &Sizes) {
  Known.set_weights_mb(Sizes.weights_mb());
  Known.set_adapter_slots(Sizes.adapter_slots());
  for (const wire::ModelSize &size : Sizes.models()) {
    auto it = std::find_if(
        Known.mutable_models()->begin(), Known.mutable_models()->end(),
        [&](const wire::ModelSize &It) { return It.name() == size.name(); });
    if (it == Known.mutable_models()->end())
      *Known.add_models() = size;
    else
      *it = size;
  }
}

/// Fronts without a leader do not know each other's orders: an order of one
/// must not undo an order of another front or of the last leader.
bool isLeaderlessOrderAllowed(const EngineAgentState &State,
                              const wire::EngineOrder &Order) {
  return !State.Goal && State.HasReport && !State.Report.is_busy() &&
         Order.evict().empty();
}

} // namespace

bool acceptOrder(EngineAgentState &State, const wire::EngineOrder &Order,
                 TimePoint Now) {
  bool isLeaderless = Order.number() == 0;
  if (isLeaderless ? !isLeaderlessOrderAllowed(State, Order)
                   : Order.number() <= State.HighestOrder)
    return false;
  State.HighestOrder = std::max(State.HighestOrder, Order.number());
  if (State.Goal)
    endGoal(State);
  mergeSizes(State.Sizes, Order.sizes());
  State.Goal = ModelGoal{
      Order.number(),        Order.endpoint(),
      Order.load(),          {Order.evict().begin(), Order.evict().end()},
      Order.may_use_store(), Now + Millis(Order.expires_in_ms())};
  return true;
}

void acceptAdapterRequest(EngineAgentState &State,
                          const wire::AdapterRequest &Request, TimePoint Now) {
  mergeSizes(State.Sizes, Request.sizes());
  State.AdapterLastUse[Request.model() + '/' + Request.adapter()] = Now;
  for (AdapterGoal &it : State.Adapters)
    if (it.Model == Request.model() && it.Adapter == Request.adapter()) {
      it.Expires = Now + AdapterRequestLifetime;
      return;
    }
  State.Adapters.push_back({Request.endpoint(), Request.model(),
                            Request.adapter(), Now + AdapterRequestLifetime});
}

void applyEngineReport(EngineAgentState &State,
                       const wire::EngineReport &Report) {
  bool isRestarted =
      State.HasReport && Report.born_ms() != State.Report.born_ms();
  // An order for the previous engine process does not apply to this one.
  if (isRestarted && State.Goal)
    endGoal(State);
  State.Report = Report;
  State.HasReport = true;
}

void clearEngineReport(EngineAgentState &State) {
  State.HasReport = false;
  if (State.Goal)
    endGoal(State);
  State.Adapters.clear();
}

std::optional<PlannedCommand> chooseCommand(EngineAgentState &State,
                                            TimePoint Now) {
  if (!State.HasReport)
    return std::nullopt;
  if (State.Goal)
    if (auto command = advanceModelGoal(State, Now))
      return command;
  if (State.Report.is_busy())
    return std::nullopt;
  return advanceAdapterGoals(State, Now);
}

std::optional<uint64_t> computeUsedMemory(const EngineAgentState &State) {
  uint64_t used = 0;
  auto add = [&](const std::string &Model, size_t Weights, size_t Adapters) {
    const wire::ModelSize *size = findModelSize(State, Model);
    if (!size)
      return false;
    used += Weights * size->weights_mb() + Adapters * size->adapter_mb();
    return true;
  };
  for (const wire::LoadedModel &it : State.Report.models())
    if (!add(it.name(), 1, static_cast<size_t>(it.adapters_size())))
      return std::nullopt;
  for (const std::string &it : State.Report.incoming())
    if (!add(it.substr(0, it.find('/')), 0, 1))
      return std::nullopt;
  return used;
}

std::set<std::string> listEvictingModels(const EngineAgentState &State) {
  if (!State.Goal)
    return {};
  return {State.Goal->Evict.begin(), State.Goal->Evict.end()};
}

} // namespace sassafras
