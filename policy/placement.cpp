#include "policy/placement.h"

#include "fleet/fleet_state.h"

#include <algorithm>
#include <optional>

namespace sassafras {

namespace {

/// A wait of this length for a loaded row requests a further replica.
constexpr Millis ScaleOutWait{1500};
/// A replica that was used more recently than this is not evicted for another
/// row.
constexpr Millis EvictionIdle{1000};

struct WaitingRow {
  const wire::TableRow *Row = nullptr;
  RowDemand Demand;
  double Urgency = 0;
};

double urgencyOf(const PlacementInput &Input, const wire::TableRow &Row,
                 const RowDemand &Demand) {
  const wire::TableRow *organisation =
      findRow(Input.Items, Demand.Organisation);
  double weight = Row.weight() * (organisation ? organisation->weight() : 1.0);
  return weight * static_cast<double>(Demand.OldestWait.count() + 1);
}

/// Lists the rows with waiting requests by descending urgency.
std::vector<WaitingRow> listWaitingRows(const PlacementInput &Input) {
  std::vector<WaitingRow> waiting;
  for (const auto &[name, demand] : Input.Demand) {
    const wire::TableRow *row = findRow(Input.Items, name);
    bool isLoadable = row && (row->kind() == wire::ROW_MODEL ||
                              row->kind() == wire::ROW_ADAPTER);
    if (isLoadable && demand.Waiting > 0)
      waiting.push_back({row, demand, urgencyOf(Input, *row, demand)});
  }
  std::stable_sort(waiting.begin(), waiting.end(),
                   [](const WaitingRow &A, const WaitingRow &B) {
                     return A.Urgency > B.Urgency;
                   });
  return waiting;
}

/// Makes several decisions in sequence and tracks their effect on a copy of the
/// free memory.
class Planner {
public:
  explicit Planner(const PlacementInput &Input);
  PlacementDecision plan();

private:
  void placeRow(const WaitingRow &WaitingRow);
  void placeModel(const wire::TableRow &Row);
  void placeAdapter(const WaitingRow &WaitingRow);
  void load(const wire::Endpoint &Endpoint, const wire::TableRow &Row);
  void unload(const wire::Replica &Replica);
  bool evictFor(const wire::Endpoint &Endpoint, uint64_t MemoryMb,
                const std::string &KeptRow);
  void unloadIdle();
  bool isUsable(const wire::Endpoint &Endpoint) const;
  bool mayUnload(const wire::Replica &Replica) const;
  bool isWanted(const wire::Replica &Replica) const;
  const ReplicaUse *useOf(const wire::Replica &Replica) const;
  int64_t freeMemory(const wire::Endpoint &Endpoint) const;
  double scoreOf(const wire::Endpoint &Endpoint,
                 const wire::TableRow &Row) const;
  std::vector<const wire::Endpoint *>
  rankEndpoints(const wire::TableRow &Row) const;

  const PlacementInput &Input;
  PlacementDecision Decision;
  std::map<std::string, std::vector<const wire::Replica *>> ByRow;
  std::map<std::string, std::vector<const wire::Replica *>> ByEndpoint;
  std::map<std::string, int64_t> Free;
  std::set<const wire::Replica *> PlannedUnloads;
  uint32_t ModelsLoading = 0;
  uint32_t AdaptersLoading = 0;
  uint32_t LoadsLeft;
};

Planner::Planner(const PlacementInput &Input)
    : Input(Input), LoadsLeft(Input.LoadsAllowed) {
  for (const wire::Endpoint *it : listEndpoints(Input.Items))
    Free[it->name()] = static_cast<int64_t>(it->memory_mb());
  for (const wire::Replica *it : listReplicas(Input.Items)) {
    ByRow[it->row()].push_back(it);
    ByEndpoint[it->endpoint()].push_back(it);
    Free[it->endpoint()] -= static_cast<int64_t>(it->memory_mb());
    if (it->phase() == wire::PHASE_LOADING)
      ++(it->is_adapter() ? AdaptersLoading : ModelsLoading);
  }
}

bool Planner::isUsable(const wire::Endpoint &Endpoint) const {
  auto it = Input.Endpoints.find(Endpoint.name());
  return it != Input.Endpoints.end() && it->second.IsLive &&
         !it->second.HasUnassignedReplicas && Endpoint.ready() &&
         !Endpoint.leaving() && !Endpoint.is_service();
}

const ReplicaUse *Planner::useOf(const wire::Replica &Replica) const {
  auto endpoint = Input.Endpoints.find(Replica.endpoint());
  if (endpoint == Input.Endpoints.end())
    return nullptr;
  auto it = endpoint->second.Replicas.find(Replica.row());
  return it == endpoint->second.Replicas.end() ? nullptr : &it->second;
}

/// Returns true when requests wait for the row or for an adapter based on it.
bool Planner::isWanted(const wire::Replica &Replica) const {
  auto isWaiting = [&](const std::string &Row) {
    auto it = Input.Demand.find(Row);
    return it != Input.Demand.end() && it->second.Waiting > 0;
  };
  if (isWaiting(Replica.row()))
    return true;
  for (const auto &[name, demand] : Input.Demand) {
    const wire::TableRow *row = findRow(Input.Items, name);
    if (row && row->base() == Replica.row() && demand.Waiting > 0)
      return true;
  }
  return false;
}

bool Planner::mayUnload(const wire::Replica &Replica) const {
  const ReplicaUse *use = useOf(Replica);
  return Replica.phase() == wire::PHASE_LOADED && use && use->Running == 0 &&
         !PlannedUnloads.contains(&Replica);
}

int64_t Planner::freeMemory(const wire::Endpoint &Endpoint) const {
  return Free.at(Endpoint.name());
}

/// Higher is better: cached weights first, then enough free memory, then more
/// of it.
double Planner::scoreOf(const wire::Endpoint &Endpoint,
                        const wire::TableRow &Row) const {
  constexpr double CachedBonus = 1e9;
  constexpr double FitsBonus = 1e8;
  double score = static_cast<double>(freeMemory(Endpoint));
  auto it = Input.Endpoints.find(Endpoint.name());
  if (it->second.CachedRows.contains(Row.name()))
    score += CachedBonus;
  if (freeMemory(Endpoint) >= static_cast<int64_t>(Row.memory_mb()))
    score += FitsBonus;
  return score;
}

std::vector<const wire::Endpoint *>
Planner::rankEndpoints(const wire::TableRow &Row) const {
  std::vector<const wire::Endpoint *> ranked;
  for (const wire::Endpoint *it : listEndpoints(Input.Items))
    if (isUsable(*it) && !findReplica(Input.Items, it->name(), Row.name()))
      ranked.push_back(it);
  std::stable_sort(ranked.begin(), ranked.end(),
                   [&](const wire::Endpoint *A, const wire::Endpoint *B) {
                     return scoreOf(*A, Row) > scoreOf(*B, Row);
                   });
  return ranked;
}

void Planner::load(const wire::Endpoint &Endpoint, const wire::TableRow &Row) {
  wire::Replica replica;
  replica.set_row(Row.name());
  replica.set_endpoint(Endpoint.name());
  replica.set_engine_incarnation(Endpoint.engine_incarnation());
  replica.set_phase(wire::PHASE_LOADING);
  replica.set_memory_mb(Row.memory_mb());
  replica.set_is_adapter(Row.kind() == wire::ROW_ADAPTER);
  replica.set_base(Row.base());
  Free[Endpoint.name()] -= static_cast<int64_t>(Row.memory_mb());
  if (replica.is_adapter()) {
    ++AdaptersLoading;
  } else {
    ++ModelsLoading;
    --LoadsLeft;
  }
  Decision.Load.push_back(std::move(replica));
}

void Planner::unload(const wire::Replica &Replica) {
  PlannedUnloads.insert(&Replica);
  wire::Replica order = Replica;
  order.set_phase(wire::PHASE_UNLOADING);
  Decision.Unload.push_back(std::move(order));
}

/// Evicts enough idle replicas, adapters before models and the longest idle
/// first. Returns false when the endpoint cannot free enough memory.
bool Planner::evictFor(const wire::Endpoint &Endpoint, uint64_t MemoryMb,
                       const std::string &KeptRow) {
  int64_t freeMb = freeMemory(Endpoint);
  std::vector<const wire::Replica *> victims;
  for (const wire::Replica *it : ByEndpoint[Endpoint.name()]) {
    if (it->phase() == wire::PHASE_UNLOADING || PlannedUnloads.contains(it))
      freeMb += static_cast<int64_t>(it->memory_mb());
    else if (mayUnload(*it) && it->row() != KeptRow && !isWanted(*it) &&
             useOf(*it)->Idle >= EvictionIdle)
      victims.push_back(it);
  }
  auto needed = static_cast<int64_t>(MemoryMb);
  // Adapters are evicted before models: a model cannot be unloaded while
  // adapters on it are loaded.
  std::stable_sort(victims.begin(), victims.end(),
                   [&](const wire::Replica *A, const wire::Replica *B) {
                     if (A->is_adapter() != B->is_adapter())
                       return A->is_adapter();
                     return useOf(*A)->Idle > useOf(*B)->Idle;
                   });
  std::vector<const wire::Replica *> chosen;
  for (const wire::Replica *it : victims) {
    if (freeMb >= needed)
      break;
    freeMb += static_cast<int64_t>(it->memory_mb());
    chosen.push_back(it);
  }
  if (freeMb < needed)
    return false;
  for (const wire::Replica *it : chosen)
    unload(*it);
  return true;
}

void Planner::placeModel(const wire::TableRow &Row) {
  if (ByRow[Row.name()].size() >= Row.max_replicas())
    return;
  if (LoadsLeft == 0 || ModelsLoading >= Input.Store.LoadsAtOnce)
    return;
  auto ranked = rankEndpoints(Row);
  for (const wire::Endpoint *it : ranked) {
    if (freeMemory(*it) < static_cast<int64_t>(Row.memory_mb()))
      continue;
    load(*it, Row);
    return;
  }
  for (const wire::Endpoint *it : ranked)
    if (evictFor(*it, Row.memory_mb(), Row.name()))
      return;
}

void Planner::placeAdapter(const WaitingRow &WaitingRow) {
  const wire::TableRow &row = *WaitingRow.Row;
  const wire::TableRow *base = findRow(Input.Items, row.base());
  if (!base)
    return;
  const wire::Endpoint *fullEndpoint = nullptr;
  bool isBaseLoading = false;
  for (const wire::Replica *it : ByRow[base->name()]) {
    const wire::Endpoint *endpoint = findEndpoint(Input.Items, it->endpoint());
    if (!endpoint || !isUsable(*endpoint) || PlannedUnloads.contains(it))
      continue;
    isBaseLoading |= it->phase() == wire::PHASE_LOADING;
    if (it->phase() != wire::PHASE_LOADED ||
        findReplica(Input.Items, endpoint->name(), row.name()))
      continue;
    if (freeMemory(*endpoint) >= static_cast<int64_t>(row.memory_mb())) {
      if (AdaptersLoading < Input.Store.AdaptersAtOnce)
        load(*endpoint, row);
      return;
    }
    fullEndpoint = endpoint;
  }
  if (fullEndpoint && evictFor(*fullEndpoint, row.memory_mb(), base->name()))
    return;
  if (!isBaseLoading)
    placeModel(*base);
}

void Planner::placeRow(const WaitingRow &WaitingRow) {
  uint32_t ready = 0;
  uint32_t loading = 0;
  for (const wire::Replica *it : ByRow[WaitingRow.Row->name()]) {
    const wire::Endpoint *endpoint = findEndpoint(Input.Items, it->endpoint());
    bool isLive = endpoint && isUsable(*endpoint);
    ready += isLive && it->phase() == wire::PHASE_LOADED;
    loading += it->phase() == wire::PHASE_LOADING;
  }
  if (loading > 0)
    return;
  // Waits reported before the row was loaded are no reason for a further
  // replica.
  bool isOverloaded = WaitingRow.Demand.IsLoaded &&
                      WaitingRow.Demand.OldestWait >= ScaleOutWait;
  if (ready > 0 && !isOverloaded)
    return;
  if (ByRow[WaitingRow.Row->name()].size() >= WaitingRow.Row->max_replicas())
    return;
  if (WaitingRow.Row->kind() == wire::ROW_ADAPTER)
    placeAdapter(WaitingRow);
  else
    placeModel(*WaitingRow.Row);
}

void Planner::unloadIdle() {
  for (const auto &[endpoint, replicas] : ByEndpoint) {
    std::set<std::string> bases;
    for (const wire::Replica *it : replicas)
      if (it->is_adapter())
        bases.insert(it->base());
    for (const wire::Replica *it : replicas) {
      if (!mayUnload(*it) || isWanted(*it) || bases.contains(it->row()))
        continue;
      bool isRowGone = !findRow(Input.Items, it->row());
      Millis limit = idleTimeout(Input.Idling, it->row(), Input.Weights);
      if (isRowGone || useOf(*it)->Idle >= limit)
        unload(*it);
    }
  }
}

PlacementDecision Planner::plan() {
  for (const WaitingRow &it : listWaitingRows(Input))
    placeRow(it);
  unloadIdle();
  return std::move(Decision);
}

} // namespace

PlacementDecision decidePlacement(const PlacementInput &Input) {
  return Planner(Input).plan();
}

} // namespace sassafras
