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
/// A replica is lost together with its engine now and then; two are kept of
/// models with at least so many requests under way.
constexpr double SafeBusy = 4.0;

struct ModelState {
  const ModelSpec *Spec = nullptr;
  ModelDemand Demand;
  size_t Replicas = 0; ///< Loaded or on their way.
  size_t Wanted = 0;
  bool IsNear = false; ///< Its weights lie at an engine that stays.
};

using ModelStates = std::map<std::string, ModelState>;

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
    for (const auto *near : {&engine.Models, &engine.InMemory, &engine.OnDisk})
      for (const std::string &it : *near)
        if (auto found = states.find(it); found != states.end())
          found->second.IsNear = true;
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
};

/// \p Worth is lost for each second of delay.
std::optional<Room> makeRoom(const PlanEngine &Engine,
                             const ModelStates &States, const PlanInput &Input,
                             uint64_t NeededMb, double Worth) {
  struct Victim {
    std::string Name;
    double Value; ///< A second.
    double Delay; ///< Seconds.
    double Cost;
    uint64_t Mb;
  };
  uint64_t used = Engine.ReservedMb;
  std::vector<Victim> victims;
  for (const std::string &it : Engine.Models) {
    auto found = States.find(it);
    if (found == States.end())
      return std::nullopt;
    const ModelState &state = found->second;
    used += state.Spec->WeightsMb;
    double value = lastReplicaValue(state, state.Replicas);
    double delay = unloadDelay(Engine, it);
    victims.push_back({it, value, delay, value * PayBackSeconds + delay * Worth,
                       state.Spec->WeightsMb});
  }
  std::sort(victims.begin(), victims.end(),
            [](const Victim &A, const Victim &B) { return A.Cost < B.Cost; });
  Room room;
  size_t next = 0;
  while (used + NeededMb > Input.Spec.WeightsMb) {
    if (next == victims.size())
      return std::nullopt;
    const Victim &it = victims[next++];
    room.Evict.push_back(it.Name);
    room.LostPerSecond += it.Value;
    room.DelaySeconds = std::max(room.DelaySeconds, it.Delay);
    used -= std::min(used, it.Mb);
  }
  return room;
}

struct Choice {
  PlannedLoad Load;
  double Cost = 0;
};

/// The engine where \p Name costs least: time to load, and what makes room.
std::optional<Choice> cheapest(const std::string &Name, const ModelState &Model,
                               const ModelStates &States,
                               const PlanInput &Input,
                               const std::set<size_t> &Taken,
                               bool IsStoreAllowed) {
  std::optional<Choice> best;
  for (size_t i = 0; i < Input.Engines.size(); ++i) {
    const PlanEngine &engine = Input.Engines[i];
    if (!engine.CanOrder || engine.IsLeaving || Taken.contains(i) ||
        engine.Models.contains(Name))
      continue;
    bool isFromStore =
        !engine.InMemory.contains(Name) && !engine.OnDisk.contains(Name);
    if (isFromStore && !IsStoreAllowed)
      continue;
    double worth =
        std::max(Model.Demand.WorthPerSecond, Model.Demand.WaitingWorth);
    auto room = makeRoom(engine, States, Input, Model.Spec->WeightsMb, worth);
    if (!room)
      continue;
    double seconds = std::min(
        MostLoadSeconds,
        std::chrono::duration<double>(loadTime(engine, *Model.Spec)).count());
    double cost = (seconds + room->DelaySeconds) * worth +
                  room->LostPerSecond * PayBackSeconds +
                  BusyEngineCost * engine.LoadShare;
    if (best && best->Cost <= cost)
      continue;
    best = Choice{{i, Name, std::move(room->Evict), isFromStore, false}, cost};
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
  ModelStates states = gather(Input);
  std::set<size_t> taken;
  size_t underWay = Input.LoadsUnderWay;
  size_t storeUnderWay = Input.StoreLoadsUnderWay;
  uint32_t storeLeft = Input.StoreLoadsAllowed;
  for (const Want &want : listWants(states)) {
    if (!want.IsUrgent && underWay >= MostPlannedLoads)
      continue;
    ModelState &state = states[want.Name];
    size_t places = state.IsNear ? MostSpareStoreLoads : MostStoreLoads;
    bool mayUseStore = storeLeft > 0 && storeUnderWay < places;
    auto choice = cheapest(want.Name, state, states, Input, taken, mayUseStore);
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
      if (states[it].Replicas > 0)
        --states[it].Replicas;
    ++state.Replicas;
    ++underWay;
    taken.insert(choice->Load.Engine);
    out.push_back(std::move(choice->Load));
  }
  return out;
}

} // namespace sassafras
