#include "policy/model_plan.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace sassafras {

namespace {

/// A replica beyond what the load asks for is worth this part of its share.
constexpr double SpareValue = 0.03;
/// Requests at an engine slow a change there: worth lost for a full engine.
constexpr double BusyEngineCost = 4.0;
/// A load from the store is no dearer than this many seconds of its demand:
/// it also brings the weights near for later.
constexpr double MostLoadSeconds = 2.0;
/// An unload waits for running requests: for one about half of its time, for
/// several at once until the last of them.
constexpr double SecondsForRun = 0.7;
constexpr double MostRunsCounted = 5;
/// Replicas and worth a second of a model with adapters before it is asked for.
constexpr size_t AdapterModelReplicas = 2;
constexpr double AdapterModelWorth = 2.0;
/// An engine that is under order for longer than this is no place from which a
/// model can be loaded soon.
constexpr Millis SoonFree{2'500};
/// Models of one engine among which those that give way are chosen by trying
/// all; an engine holds a few.
constexpr size_t MostTried = 8;
/// Steps in which free memory is counted, in MB.
constexpr uint64_t MemoryStep = 100;
/// A replica is lost together with its engine now and then; two are kept of
/// models with at least so many requests under way.
constexpr double SafeBusy = 4.0;

struct ModelState {
  const ModelSpec *Spec = nullptr;
  ModelDemand Demand;
  size_t Replicas = 0; ///< Loaded or on their way.
  size_t Wanted = 0;
  size_t Near = 0; ///< Engines where its weights lie and can be loaded soon.
};

using ModelStates = std::map<std::string, ModelState>;

/// What the parts of one plan share.
struct PlanView {
  const PlanInput &Input;
  ModelStates States;
  /// Of each number of free steps, how many models could fill.
  std::vector<uint64_t> Fillable;
  double WorthPerStep = 0; ///< A second, of memory that a rare model fills.
};

uint64_t stepsOf(uint64_t Mb) { return (Mb + MemoryStep - 1) / MemoryStep; }

/// How much of \p FreeMb models could fill, in steps.
uint64_t fillable(const PlanView &View, uint64_t FreeMb) {
  uint64_t steps =
      std::min<uint64_t>(FreeMb / MemoryStep, View.Fillable.size() - 1);
  return View.Fillable[steps];
}

void fillMemoryTables(PlanView &View) {
  const EngineSpec &spec = View.Input.Spec;
  std::set<uint64_t> sizes;
  double worth = 0;
  uint64_t steps = 0;
  for (const auto &[name, state] : View.States) {
    sizes.insert(stepsOf(state.Spec->WeightsMb));
    if (state.Wanted > 1 || state.Demand.WorthPerSecond <= 0)
      continue;
    worth += state.Demand.WorthPerSecond;
    steps += stepsOf(state.Spec->WeightsMb);
  }
  View.WorthPerStep = steps > 0 ? worth / static_cast<double>(steps) : 0;
  View.Fillable.assign(spec.WeightsMb / MemoryStep + 1, 0);
  for (uint64_t free = 1; free < View.Fillable.size(); ++free)
    for (uint64_t size : sizes)
      if (size > 0 && size <= free)
        View.Fillable[free] =
            std::max(View.Fillable[free], View.Fillable[free - size] + size);
}

/// Worth a second that the last of \p Replicas replicas brings.
double lastReplicaValue(const ModelState &Model, size_t Replicas) {
  double worth = Model.Demand.WorthPerSecond;
  if (Replicas <= 1)
    return worth;
  double part = worth / static_cast<double>(Replicas);
  return Replicas <= Model.Wanted ? part : part * SpareValue;
}

/// Seconds that an unload of \p Model waits for its running requests.
double unloadDelay(const PlanEngine &Engine, const std::string &Model) {
  auto running = Engine.Running.find(Model);
  if (running == Engine.Running.end())
    return 0;
  return SecondsForRun * std::min<double>(running->second, MostRunsCounted);
}

/// Models that the engine holds or has the weights of.
std::set<std::string> modelsNear(const PlanEngine &Engine) {
  std::set<std::string> out = Engine.Models;
  out.insert(Engine.InMemory.begin(), Engine.InMemory.end());
  out.insert(Engine.OnDisk.begin(), Engine.OnDisk.end());
  return out;
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
    // A model with adapters serves many and may become busy within seconds.
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
    if (engine.TimeUntilFree <= SoonFree)
      for (const std::string &it : modelsNear(engine))
        if (auto found = states.find(it); found != states.end())
          ++found->second.Near;
    if (auto found = states.find(engine.Loading); found != states.end())
      if (!engine.Models.contains(engine.Loading))
        ++found->second.Replicas;
  }
  return states;
}

/// What making room at one engine costs.
struct Room {
  std::vector<std::string> Evict;
  double LostPerSecond = 0;
  double DelaySeconds = 0;
  double Cost = 0;  ///< Against what a load brings.
  double Waste = 0; ///< Against other ways to make room.
};

/// A model that may give way.
struct Victim {
  const std::string *Name;
  double Value; ///< A second.
  double Delay; ///< Seconds.
  uint64_t Mb;
};

/// Cost of giving up those of \p Victims that \p Chosen names by bits; nothing
/// when that does not make enough room.
std::optional<Room> tryRoom(const PlanView &View,
                            const std::vector<Victim> &Victims, size_t Chosen,
                            uint64_t UsedMb, uint64_t NeededMb, double Worth) {
  Room room;
  uint64_t after = UsedMb + NeededMb;
  for (size_t i = 0; i < Victims.size(); ++i) {
    if ((Chosen >> i & 1U) == 0)
      continue;
    after -= Victims[i].Mb;
    room.LostPerSecond += Victims[i].Value;
    room.DelaySeconds = std::max(room.DelaySeconds, Victims[i].Delay);
  }
  uint64_t whole = View.Input.Spec.WeightsMb;
  if (after > whole)
    return std::nullopt;
  // Memory that models could fill before, and cannot fill any more.
  auto before =
      static_cast<double>(stepsOf(UsedMb) + fillable(View, whole - UsedMb));
  auto left =
      static_cast<double>(stepsOf(after) + fillable(View, whole - after));
  room.Waste = (before - left) * View.WorthPerStep * PayBackSeconds;
  room.Cost = room.LostPerSecond * PayBackSeconds + room.DelaySeconds * Worth;
  return room;
}

/// The cheapest way to \p NeededMb of free memory. \p Worth is lost for each
/// second of delay.
std::optional<Room> makeRoom(const PlanEngine &Engine, const PlanView &View,
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
  uint64_t whole = View.Input.Spec.WeightsMb;
  if (used > whole)
    return std::nullopt;
  std::sort(victims.begin(), victims.end(),
            [&](const Victim &A, const Victim &B) {
              return A.Value * PayBackSeconds + A.Delay * Worth <
                     B.Value * PayBackSeconds + B.Delay * Worth;
            });
  victims.resize(std::min(victims.size(), MostTried));
  std::optional<Room> best;
  size_t bestChosen = 0;
  for (size_t chosen = 0; chosen < size_t(1) << victims.size(); ++chosen) {
    auto room = tryRoom(View, victims, chosen, used, NeededMb, Worth);
    if (!room || (best && best->Cost + best->Waste <= room->Cost + room->Waste))
      continue;
    best = std::move(room);
    bestChosen = chosen;
  }
  if (best)
    for (size_t i = 0; i < victims.size(); ++i)
      if (bestChosen >> i & 1U)
        best->Evict.push_back(*victims[i].Name);
  return best;
}

/// Worth a second that cannot be had while \p Engine is under order: of models
/// that are short of replicas and could be loaded there, by the number of such
/// engines.
double blockedWorth(const PlanEngine &Engine, const PlanView &View) {
  double sum = 0;
  for (const std::string &it : modelsNear(Engine)) {
    auto found = View.States.find(it);
    if (found == View.States.end() || Engine.Models.contains(it))
      continue;
    const ModelState &state = found->second;
    bool isShort = state.Replicas < std::max<size_t>(state.Wanted, 1);
    if (isShort && state.Near > 0)
      sum += state.Demand.WorthPerSecond / static_cast<double>(state.Near);
  }
  return sum;
}

struct Choice {
  PlannedLoad Load;
  double Cost = 0; ///< Against what the load brings.
  double Rank = 0; ///< The lowest is taken.
};

/// The engine where \p Name costs least: time to load, and what makes room.
std::optional<Choice> cheapest(const std::string &Name, const ModelState &Model,
                               const PlanView &View,
                               const std::set<size_t> &Taken,
                               bool IsStoreAllowed) {
  std::optional<Choice> best;
  const std::vector<PlanEngine> &engines = View.Input.Engines;
  for (size_t i = 0; i < engines.size(); ++i) {
    const PlanEngine &engine = engines[i];
    if (!engine.CanOrder || engine.IsLeaving || Taken.contains(i) ||
        engine.Models.contains(Name))
      continue;
    bool isFromStore =
        !engine.InMemory.contains(Name) && !engine.OnDisk.contains(Name);
    if (isFromStore && !IsStoreAllowed)
      continue;
    double worth =
        std::max(Model.Demand.WorthPerSecond, Model.Demand.WaitingWorth);
    auto room = makeRoom(engine, View, Model.Spec->WeightsMb, worth);
    if (!room)
      continue;
    double load =
        std::chrono::duration<double>(loadTime(engine, *Model.Spec)).count();
    double cost = std::min(MostLoadSeconds, load) * worth + room->Cost +
                  BusyEngineCost * engine.LoadShare;
    double rank = cost + room->Waste;
    if (isFromStore)
      rank += load * blockedWorth(engine, View);
    if (best && best->Rank <= rank)
      continue;
    best = Choice{
        {i, Name, std::move(room->Evict), isFromStore, false}, cost, rank};
  }
  return best;
}

struct Want {
  std::string Name;
  double Gain = 0; ///< Over the time in which a load must pay.
  bool IsUrgent = false;
};

/// Models that lack a replica, by what one more would bring. A busy model with
/// too few replicas and a cold one that is waited for compete by that alone:
/// many rare models asked for at once must not hold up the busy ones.
std::vector<Want> listWants(const ModelStates &States) {
  std::vector<Want> wants;
  for (const auto &[name, state] : States) {
    bool isUrgent = state.Demand.Waiting > 0 && state.Replicas == 0;
    bool isShort = state.Replicas < state.Wanted;
    bool isMissing = state.Replicas == 0 && state.Demand.WorthPerSecond > 0;
    if (!isUrgent && !isShort && !isMissing)
      continue;
    double next =
        state.Demand.WorthPerSecond / static_cast<double>(state.Replicas + 1);
    double gain = next * PayBackSeconds +
                  (isUrgent || isShort ? state.Demand.WaitingWorth : 0);
    wants.push_back({name, gain, isUrgent || isShort});
  }
  std::sort(wants.begin(), wants.end(),
            [](const Want &A, const Want &B) { return A.Gain > B.Gain; });
  return wants;
}

/// True while the replicas of \p Model cannot take what is asked of them.
bool isOverloaded(const ModelState &Model, const EngineSpec &Spec) {
  return Model.Replicas > 0 &&
         Model.Demand.Busy > HeavyUse * static_cast<double>(Spec.Slots) *
                                 static_cast<double>(Model.Replicas);
}

/// Loads from the store that may be under way, one for \p Model among them.
size_t storePlaces(const ModelState &Model, const PlanInput &Input,
                   bool HasLost) {
  if (Model.Near == 0)
    return Input.StorePlaces;
  if (!isOverloaded(Model, Input.Spec))
    return HasLost ? 0 : MostSpareStoreLoads;
  return HasLost ? MostSpareStoreLoads : Input.StorePlaces;
}

} // namespace

size_t wantedReplicas(double Busy, uint32_t Slots) {
  double capacity = TargetUse * std::max<uint32_t>(Slots, 1);
  auto n = static_cast<size_t>(std::ceil(Busy / capacity));
  return Busy >= SafeBusy ? std::max<size_t>(n, 2) : n;
}

Millis loadTime(const PlanEngine &Engine, const ModelSpec &Model) {
  if (Engine.InMemory.contains(Model.Name))
    return Model.MemoryLoad;
  return Engine.OnDisk.contains(Model.Name) ? Model.DiskLoad : Model.StoreLoad;
}

std::vector<PlannedLoad> planModels(const PlanInput &Input) {
  std::vector<PlannedLoad> out;
  PlanView view{Input, gather(Input), {}, 0};
  fillMemoryTables(view);
  std::set<size_t> taken;
  size_t underWay = Input.LoadsUnderWay;
  size_t storeUnderWay = Input.StoreLoadsUnderWay;
  uint32_t storeLeft = Input.StoreLoadsAllowed;
  std::vector<Want> wants = listWants(view.States);
  bool hasLost = std::any_of(wants.begin(), wants.end(), [&](const Want &it) {
    return it.IsUrgent && view.States[it.Name].Near == 0;
  });
  for (const Want &want : wants) {
    if (!want.IsUrgent && underWay >= MostPlannedLoads)
      continue;
    ModelState &state = view.States[want.Name];
    size_t places = storePlaces(state, Input, hasLost);
    bool mayUseStore = storeLeft > 0 && storeUnderWay < places;
    auto choice = cheapest(want.Name, state, view, taken, mayUseStore);
    if (!choice)
      continue;
    double lost = choice->Cost + LoadCost;
    // A cold request that waits is served unless better ones lose by it.
    bool pays = want.IsUrgent ? want.Gain > 0.5 * lost : want.Gain > lost;
    if (!pays)
      continue;
    choice->Load.IsUrgent = want.IsUrgent;
    if (choice->Load.IsFromStore) {
      --storeLeft;
      ++storeUnderWay;
    }
    for (const std::string &it : choice->Load.Evict)
      if (view.States[it].Replicas > 0)
        --view.States[it].Replicas;
    ++state.Replicas;
    ++underWay;
    taken.insert(choice->Load.Engine);
    out.push_back(std::move(choice->Load));
  }
  return out;
}

} // namespace sassafras
