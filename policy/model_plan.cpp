#include "policy/model_plan.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace sassafras {

namespace {

/// Fraction of its share of the worth that a replica beyond the needed number
/// has.
constexpr double SurplusReplicaFactor = 0.03;
/// Requests in progress slow down a load on the same engine. Worth lost when
/// all slots of the engine are in use.
constexpr double BusyEngineCost = 4.0;
/// Upper bound on the load time that is charged against the demand, in seconds.
/// A load from the store also caches the weights for later loads.
constexpr double MaxChargedLoadSeconds = 2.0;
/// An unload waits for the running requests: on average about half the duration
/// of a single request, for several requests until the last one ends.
constexpr double UnloadSecondsPerRequest = 0.7;
constexpr double MaxCountedRequests = 5;
/// Minimum number of replicas and worth per second of a model with adapters,
/// also before any request for it.
constexpr size_t AdapterModelReplicas = 2;
constexpr double AdapterModelWorth = 2.0;
/// An engine that is blocked by an order for longer than this is not counted as
/// one where a model can be loaded soon.
constexpr Millis MaxWaitForEngine{2'500};
/// Maximum number of models of one engine that are considered for eviction. All
/// subsets are tried; an engine holds only a few models.
constexpr size_t MaxVictims = 8;
/// Granularity in MB of the memory accounting. It is coarser for engines with
/// more than MaxMemorySteps such steps, as the work grows with their number.
constexpr uint64_t MinMemoryStepMb = 100;
constexpr uint64_t MaxMemorySteps = 4096;
/// Engines are lost now and then with the replicas on them. Models with at
/// least this many requests in progress or waiting have two replicas or more.
constexpr double RedundancyThreshold = 4.0;

struct ModelState {
  const ModelSpec *Spec = nullptr;
  ModelDemand Demand;
  size_t Replicas = 0; ///< Loaded or loading.
  size_t Wanted = 0;
  /// Engines that have its weights and can load them soon.
  size_t NearbyEngines = 0;
  /// The limits of its engines allow fewer requests than there are.
  bool IsLimited = false;
};

using ModelStates = std::map<std::string, ModelState>;

/// Data shared by the steps of one planning run.
struct PlanView {
  const PlanInput &Input;
  ModelStates States;
  uint64_t MemoryStepMb = MinMemoryStepMb;
  /// For each number of free memory steps, the largest number of steps that a
  /// combination of models can fill.
  std::vector<uint64_t> FillableSteps = {};
  /// Worth per second of a memory step, averaged over models with at most one
  /// replica wanted.
  double WorthPerStep = 0;
};

uint64_t stepsOf(const PlanView &View, uint64_t Mb) {
  return (Mb + View.MemoryStepMb - 1) / View.MemoryStepMb;
}

/// Returns how much of \p FreeMb models could fill, in memory steps.
uint64_t fillable(const PlanView &View, uint64_t FreeMb) {
  uint64_t steps = std::min<uint64_t>(FreeMb / View.MemoryStepMb,
                                      View.FillableSteps.size() - 1);
  return View.FillableSteps[steps];
}

void buildMemoryTable(PlanView &View) {
  uint64_t totalMb = View.Input.Spec.WeightsMb;
  View.MemoryStepMb = std::max(MinMemoryStepMb, totalMb / MaxMemorySteps + 1);
  std::set<uint64_t> sizes;
  double worth = 0;
  uint64_t steps = 0;
  for (const auto &[name, state] : View.States) {
    uint64_t size = stepsOf(View, state.Spec->WeightsMb);
    sizes.insert(size);
    if (state.Wanted > 1 || state.Demand.WorthPerSecond <= 0)
      continue;
    worth += state.Demand.WorthPerSecond;
    steps += size;
  }
  View.WorthPerStep = steps > 0 ? worth / static_cast<double>(steps) : 0;
  std::vector<uint64_t> &table = View.FillableSteps;
  table.assign(totalMb / View.MemoryStepMb + 1, 0);
  for (uint64_t size : sizes) {
    // A sum of smaller sizes fills nothing that they do not fill.
    if (size == 0 || size >= table.size() || table[size] == size)
      continue;
    for (uint64_t free = size; free < table.size(); ++free)
      table[free] = std::max(table[free], table[free - size] + size);
  }
}

/// Returns the worth per second that the last of \p Replicas replicas adds.
double lastReplicaValue(const ModelState &Model, size_t Replicas) {
  double worth = Model.Demand.WorthPerSecond;
  if (Replicas <= 1)
    return worth;
  double part = worth / static_cast<double>(Replicas);
  return Replicas <= Model.Wanted ? part : part * SurplusReplicaFactor;
}

/// Estimates the seconds that an unload of \p Model waits for its running
/// requests.
double unloadDelay(const PlanEngine &Engine, const std::string &Model) {
  auto running = Engine.Running.find(Model);
  if (running == Engine.Running.end())
    return 0;
  return UnloadSecondsPerRequest *
         std::min<double>(running->second, MaxCountedRequests);
}

/// Lists the models that are loaded on the engine or have their weights there.
std::set<std::string> modelsWithLocalWeights(const PlanEngine &Engine) {
  std::set<std::string> out = Engine.Models;
  out.insert(Engine.InMemory.begin(), Engine.InMemory.end());
  out.insert(Engine.OnDisk.begin(), Engine.OnDisk.end());
  return out;
}

/// Requests in progress that one replica on \p Engine is planned for.
double targetBusy(const PlanEngine &Engine, uint32_t Slots) {
  double target = TargetUtilisation * std::max<uint32_t>(Slots, 1);
  return Engine.MaxBusy ? std::min(*Engine.MaxBusy, target) : target;
}

/// Adds the replicas that are lacking because some are on engines with a limit.
void replaceLimitedReplicas(const PlanInput &Input, ModelStates &States) {
  std::map<std::string, double> planned;
  std::set<std::string> limited;
  for (const PlanEngine &engine : Input.Engines) {
    if (engine.IsLeaving)
      continue;
    std::set<std::string> models = engine.Models;
    if (!engine.Loading.empty())
      models.insert(engine.Loading);
    for (const std::string &it : models) {
      planned[it] += targetBusy(engine, Input.Spec.Slots);
      if (engine.MaxBusy)
        limited.insert(it);
    }
  }
  double target = TargetUtilisation * std::max<uint32_t>(Input.Spec.Slots, 1);
  for (const std::string &it : limited) {
    auto found = States.find(it);
    if (found == States.end())
      continue;
    ModelState &state = found->second;
    double busy = std::max(state.Demand.Busy, state.Demand.Offered);
    double lacking = busy - planned[it];
    if (lacking <= 0)
      continue;
    state.Wanted = std::max(
        state.Wanted,
        state.Replicas + static_cast<size_t>(std::ceil(lacking / target)));
    state.IsLimited = true;
  }
}

ModelStates gather(const PlanInput &Input) {
  ModelStates states;
  for (const auto &[name, spec] : Input.Spec.Models) {
    ModelState &state = states[name];
    state.Spec = &spec;
    auto demand = Input.Demand.find(name);
    if (demand != Input.Demand.end())
      state.Demand = demand->second;
    state.Wanted = wantedReplicas(state.Demand.Busy, Input.Spec.Slots);
    // A model with adapters serves many requests and may become busy within
    // seconds.
    if (spec.AdapterCount > 0) {
      state.Wanted = std::max(state.Wanted, AdapterModelReplicas);
      state.Demand.WorthPerSecond =
          std::max(state.Demand.WorthPerSecond, AdapterModelWorth);
    }
  }
  for (const PlanEngine &engine : Input.Engines) {
    if (engine.IsLeaving)
      continue;
    for (const std::string &it : engine.Models)
      if (auto found = states.find(it); found != states.end())
        ++found->second.Replicas;
    if (engine.TimeUntilFree <= MaxWaitForEngine)
      for (const std::string &it : modelsWithLocalWeights(engine))
        if (auto found = states.find(it); found != states.end())
          ++found->second.NearbyEngines;
    if (auto found = states.find(engine.Loading); found != states.end())
      if (!engine.Models.contains(engine.Loading))
        ++found->second.Replicas;
  }
  replaceLimitedReplicas(Input, states);
  return states;
}

/// Models to evict from one engine and the cost of doing so.
struct EvictionPlan {
  std::vector<std::string> Evict;
  double LostPerSecond = 0;
  double DelaySeconds = 0;
  double Cost = 0;              ///< Compared with the gain of the load.
  double FragmentationCost = 0; ///< Only compared with other eviction plans.
};

/// A model that may be evicted.
struct Victim {
  const std::string *Name;
  double Value; ///< Worth per second.
  double Delay; ///< Seconds.
  uint64_t Mb;
};

/// Evaluates the eviction of those \p Victims whose bits are set in \p Chosen.
/// Returns nothing when that does not free enough memory.
std::optional<EvictionPlan> evaluateEviction(const PlanView &View,
                                             const std::vector<Victim> &Victims,
                                             size_t Chosen, uint64_t UsedMb,
                                             uint64_t NeededMb, double Worth) {
  EvictionPlan eviction;
  uint64_t after = UsedMb + NeededMb;
  for (size_t i = 0; i < Victims.size(); ++i) {
    if ((Chosen >> i & 1U) == 0)
      continue;
    after -= Victims[i].Mb;
    eviction.LostPerSecond += Victims[i].Value;
    eviction.DelaySeconds = std::max(eviction.DelaySeconds, Victims[i].Delay);
  }
  uint64_t totalMb = View.Input.Spec.WeightsMb;
  if (after > totalMb)
    return std::nullopt;
  // Memory that models could fill before and no longer can: fragmentation.
  auto before = static_cast<double>(stepsOf(View, UsedMb) +
                                    fillable(View, totalMb - UsedMb));
  auto left = static_cast<double>(stepsOf(View, after) +
                                  fillable(View, totalMb - after));
  eviction.FragmentationCost =
      (before - left) * View.WorthPerStep * PaybackSeconds;
  eviction.Cost =
      eviction.LostPerSecond * PaybackSeconds + eviction.DelaySeconds * Worth;
  return eviction;
}

/// Finds the cheapest evictions that free \p NeededMb. \p Worth is lost for
/// each second of delay.
std::optional<EvictionPlan> planEviction(const PlanEngine &Engine,
                                         const PlanView &View,
                                         uint64_t NeededMb, double Worth) {
  uint64_t used = Engine.ReservedMb;
  std::vector<Victim> victims;
  for (const std::string &it : Engine.Models) {
    auto found = View.States.find(it);
    if (found == View.States.end())
      return std::nullopt;
    const ModelState &state = found->second;
    used += state.Spec->WeightsMb;
    if (Engine.JustLoaded.contains(it))
      continue;
    victims.push_back({&found->first, lastReplicaValue(state, state.Replicas),
                       unloadDelay(Engine, it), state.Spec->WeightsMb});
  }
  uint64_t totalMb = View.Input.Spec.WeightsMb;
  if (used > totalMb)
    return std::nullopt;
  std::sort(victims.begin(), victims.end(),
            [&](const Victim &A, const Victim &B) {
              return A.Value * PaybackSeconds + A.Delay * Worth <
                     B.Value * PaybackSeconds + B.Delay * Worth;
            });
  victims.resize(std::min(victims.size(), MaxVictims));
  std::optional<EvictionPlan> best;
  size_t bestChosen = 0;
  for (size_t chosen = 0; chosen < size_t(1) << victims.size(); ++chosen) {
    auto eviction =
        evaluateEviction(View, victims, chosen, used, NeededMb, Worth);
    if (!eviction || (best && best->Cost + best->FragmentationCost <=
                                  eviction->Cost + eviction->FragmentationCost))
      continue;
    best = std::move(eviction);
    bestChosen = chosen;
  }
  if (best)
    for (size_t i = 0; i < victims.size(); ++i)
      if (bestChosen >> i & 1U)
        best->Evict.push_back(*victims[i].Name);
  return best;
}

/// Worth per second that is lost while \p Engine is blocked by an order: that
/// of the models that lack replicas and could be loaded there, divided by the
/// number of engines where each could be loaded.
double blockedWorth(const PlanEngine &Engine, const PlanView &View) {
  double sum = 0;
  for (const std::string &it : modelsWithLocalWeights(Engine)) {
    auto found = View.States.find(it);
    if (found == View.States.end() || Engine.Models.contains(it))
      continue;
    const ModelState &state = found->second;
    bool isShort = state.Replicas < std::max<size_t>(state.Wanted, 1);
    if (isShort && state.NearbyEngines > 0)
      sum += state.Demand.WorthPerSecond /
             static_cast<double>(state.NearbyEngines);
  }
  return sum;
}

/// Worth within PaybackSeconds that a replica on \p Engine does not add,
/// because the engine's limit allows fewer requests than a replica is planned
/// for.
double lostToLimit(const PlanEngine &Engine, const ModelState &Model,
                   uint32_t Slots) {
  double target = TargetUtilisation * std::max<uint32_t>(Slots, 1);
  double needed = std::min(
      target, std::max({Model.Demand.Busy, Model.Demand.Offered, 1.0}));
  double part = std::min(targetBusy(Engine, Slots) / needed, 1.0);
  return (1 - part) * Model.Demand.WorthPerSecond * PaybackSeconds;
}

struct LoadOption {
  PlannedLoad Load;
  double Cost = 0; ///< Compared with the gain of the load.
  double Rank = 0; ///< The lowest is chosen.
};

/// Finds the engine where loading \p Name costs least, by load time and
/// evictions. \p Version: only engines of this software version will do.
std::optional<LoadOption>
cheapestLoad(const std::string &Name, const ModelState &Model,
             const PlanView &View, const std::set<size_t> &Taken,
             bool IsStoreAllowed, const std::string *Version) {
  std::optional<LoadOption> best;
  const std::vector<PlanEngine> &engines = View.Input.Engines;
  for (size_t i = 0; i < engines.size(); ++i) {
    const PlanEngine &engine = engines[i];
    if (!engine.AcceptsOrders || engine.IsLeaving || Taken.contains(i) ||
        engine.Models.contains(Name) ||
        (Version && engine.SoftwareVersion != *Version))
      continue;
    bool isFromStore =
        !engine.InMemory.contains(Name) && !engine.OnDisk.contains(Name);
    if (isFromStore && !IsStoreAllowed)
      continue;
    double worth =
        std::max(Model.Demand.WorthPerSecond, Model.Demand.WaitingWorth);
    auto eviction = planEviction(engine, View, Model.Spec->WeightsMb, worth);
    if (!eviction)
      continue;
    double load =
        std::chrono::duration<double>(loadTime(engine, *Model.Spec)).count();
    double cost = std::min(MaxChargedLoadSeconds, load) * worth +
                  eviction->Cost + BusyEngineCost * engine.LoadShare +
                  lostToLimit(engine, Model, View.Input.Spec.Slots);
    double rank = cost + eviction->FragmentationCost;
    if (isFromStore)
      rank += load * blockedWorth(engine, View);
    if (best && best->Rank <= rank)
      continue;
    best = LoadOption{
        {i, Name, std::move(eviction->Evict), isFromStore, false}, cost, rank};
  }
  return best;
}

struct LoadCandidate {
  std::string Name;
  double Gain = 0; ///< Within PaybackSeconds.
  bool IsUrgent = false;
  /// Only engines of this software version will do; nothing: all will.
  std::optional<std::string> Version;
};

/// Lists the versions at which streams wait for a model that no engine of that
/// version has or loads.
std::vector<std::string> listMissingVersions(const PlanInput &Input,
                                             const std::string &Model,
                                             const ModelDemand &Demand) {
  std::vector<std::string> out;
  for (const std::string &version : Demand.Versions) {
    bool isPresent = std::any_of(
        Input.Engines.begin(), Input.Engines.end(), [&](const PlanEngine &it) {
          return !it.IsLeaving && it.SoftwareVersion == version &&
                 (it.Models.contains(Model) || it.Loading == Model);
        });
    if (!isPresent)
      out.push_back(version);
  }
  return out;
}

/// Lists the models that lack a replica by the gain of one more. Busy models
/// with too few replicas and cold models with waiting requests compete by gain
/// alone: many rare models requested at once must not delay the busy ones.
std::vector<LoadCandidate> listLoadCandidates(const PlanInput &Input,
                                              const ModelStates &States) {
  std::vector<LoadCandidate> candidates;
  for (const auto &[name, state] : States) {
    for (const std::string &it : listMissingVersions(Input, name, state.Demand))
      candidates.push_back(
          {name, state.Demand.WorthPerSecond + state.Demand.WaitingWorth, true,
           it});
    bool isUrgent = state.Demand.Waiting > 0 && state.Replicas == 0;
    bool isShort = state.Replicas < state.Wanted;
    bool isMissing = state.Replicas == 0 && state.Demand.WorthPerSecond > 0;
    if (!isUrgent && !isShort && !isMissing)
      continue;
    double next =
        state.Demand.WorthPerSecond / static_cast<double>(state.Replicas + 1);
    double gain = next * PaybackSeconds +
                  (isUrgent || isShort ? state.Demand.WaitingWorth : 0);
    candidates.push_back({name, gain, isUrgent || isShort, std::nullopt});
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const LoadCandidate &A, const LoadCandidate &B) {
              return A.Gain > B.Gain;
            });
  return candidates;
}

/// Returns true while the requests for \p Model exceed OverloadUtilisation of
/// the slots of all its replicas.
bool isOverloaded(const ModelState &Model, const EngineSpec &Spec) {
  if (Model.IsLimited)
    return true;
  return Model.Replicas > 0 &&
         Model.Demand.Busy > OverloadUtilisation *
                                 static_cast<double>(Spec.Slots) *
                                 static_cast<double>(Model.Replicas);
}

/// Loads from the store in progress.
struct StoreLoads {
  size_t All = 0;
  size_t Extra = 0; ///< Of models that are on some engine already.
};

/// Counts the loads from the store. One whose model is not known counts as
/// extra.
StoreLoads countStoreLoads(const PlanInput &Input, const ModelStates &States) {
  StoreLoads out{Input.StoreLoadsInProgress, Input.StoreLoadsInProgress};
  for (const PlanEngine &engine : Input.Engines) {
    auto model = States.find(engine.Loading);
    bool isFromStore = !engine.InMemory.contains(engine.Loading) &&
                       !engine.OnDisk.contains(engine.Loading);
    bool isOnlyReplica = model != States.end() && model->second.Replicas <= 1 &&
                         model->second.NearbyEngines == 0;
    if (isFromStore && isOnlyReplica && out.Extra > 0)
      --out.Extra;
  }
  return out;
}

/// True when one more load from the store may start for \p Model. \p HasLost:
/// requests wait for a model whose weights are on no available engine.
bool mayLoadFromStore(const ModelState &Model, const PlanInput &Input,
                      StoreLoads InProgress, bool HasLost) {
  if (InProgress.All >= Input.StoreLoadLimit)
    return false;
  if (Model.NearbyEngines == 0)
    return true;
  if (!isOverloaded(Model, Input.Spec))
    return !HasLost && InProgress.All < MaxExtraStoreLoads;
  return !HasLost || InProgress.Extra < MaxExtraStoreLoads;
}

} // namespace

size_t wantedReplicas(double Busy, uint32_t Slots) {
  double capacity = TargetUtilisation * std::max<uint32_t>(Slots, 1);
  auto n = static_cast<size_t>(std::ceil(Busy / capacity));
  return Busy >= RedundancyThreshold ? std::max<size_t>(n, 2) : n;
}

Millis loadTime(const PlanEngine &Engine, const ModelSpec &Model) {
  if (Engine.InMemory.contains(Model.Name))
    return Model.MemoryLoad;
  return Engine.OnDisk.contains(Model.Name) ? Model.DiskLoad : Model.StoreLoad;
}

std::vector<PlannedLoad> planModels(const PlanInput &Input) {
  std::vector<PlannedLoad> out;
  if (Input.Engines.empty())
    return out;
  PlanView view{Input, gather(Input)};
  buildMemoryTable(view);
  std::set<size_t> taken;
  size_t loadsInProgress = Input.LoadsInProgress;
  StoreLoads storeLoads = countStoreLoads(Input, view.States);
  uint32_t storeLeft = Input.StoreLoadsAllowed;
  std::vector<LoadCandidate> candidates =
      listLoadCandidates(Input, view.States);
  bool hasLost = std::any_of(
      candidates.begin(), candidates.end(), [&](const LoadCandidate &it) {
        return it.IsUrgent && view.States[it.Name].NearbyEngines == 0;
      });
  for (const LoadCandidate &candidate : candidates) {
    if (!candidate.IsUrgent && loadsInProgress >= MaxProactiveLoads)
      continue;
    ModelState &state = view.States[candidate.Name];
    bool mayUseStore =
        storeLeft > 0 && mayLoadFromStore(state, Input, storeLoads, hasLost);
    auto option =
        cheapestLoad(candidate.Name, state, view, taken, mayUseStore,
                     candidate.Version ? &*candidate.Version : nullptr);
    if (!option)
      continue;
    double lost = option->Cost + LoadCost;
    // Urgent loads need only half the usual gain: a waiting cold request is
    // served unless others would lose clearly more by it.
    bool pays = candidate.IsUrgent ? candidate.Gain > 0.5 * lost
                                   : candidate.Gain > lost;
    if (!pays)
      continue;
    option->Load.IsUrgent = candidate.IsUrgent;
    if (option->Load.IsFromStore) {
      --storeLeft;
      ++storeLoads.All;
      storeLoads.Extra += state.NearbyEngines > 0;
    }
    for (const std::string &it : option->Load.Evict)
      if (view.States[it].Replicas > 0)
        --view.States[it].Replicas;
    ++state.Replicas;
    ++loadsInProgress;
    taken.insert(option->Load.Engine);
    out.push_back(std::move(option->Load));
  }
  return out;
}

} // namespace sassafras
