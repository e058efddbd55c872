#include "agent/agent_parts.h"

#include "core/timing.h"

namespace sassafras {

namespace {

/// Reports lag: one that comes this soon after an order is not believed.
constexpr Millis ReportLag{2000};
/// Without any leader, a replica that serves nobody goes after this time.
constexpr std::chrono::seconds OrphanIdle{120};

bool isSettled(const RowState &Row, TimePoint Now) {
  return Now - Row.SettledAt >= ReportLag;
}

void giveOrder(AgentState &State, OrderKind Kind, const wire::Replica &Replica,
               AgentEffects &Out) {
  State.Orders[Replica.row()] = {Kind, Replica.fence()};
  Out.push_back(SendOrder{Kind, Replica.row(), Replica.base(),
                          Replica.is_adapter(), Replica.memory_mb(),
                          Replica.fence(), State.View.Version});
}

/// Memory of everything that is or may be loaded, by the agent's own ledger.
uint64_t memoryHeld(const AgentState &State, const std::string &Except) {
  uint64_t sum = 0;
  for (const wire::Replica *it :
       listReplicasOn(State.View.Items, State.Options.Name)) {
    auto row = State.Rows.find(it->row());
    bool isHeld = (row != State.Rows.end() && row->second.IsLoaded) ||
                  State.Orders.contains(it->row());
    if (isHeld && it->row() != Except)
      sum += it->memory_mb();
  }
  return sum;
}

void reconcile(AgentState &State, const wire::Replica &Replica,
               AgentEffects &Out) {
  if (State.Orders.contains(Replica.row()))
    return;
  RowState &row = State.Rows[Replica.row()];
  row.IsAdapter = Replica.is_adapter();
  if (row.IsUncertain)
    return;
  bool mayLoad = Replica.phase() == wire::PHASE_LOADING && !row.IsLoaded &&
                 row.FailedFence != Replica.fence() &&
                 !State.Endpoint.Loading.contains(Replica.row());
  if (mayLoad) {
    uint64_t needed = memoryHeld(State, Replica.row()) + Replica.memory_mb();
    if (needed > State.Endpoint.MemoryMb || !listUnassignedRows(State).empty())
      row.FailedFence = Replica.fence();
    else
      giveOrder(State, OrderKind::Load, Replica, Out);
    return;
  }
  bool mayUnload = Replica.phase() == wire::PHASE_UNLOADING && row.IsLoaded &&
                   countRunning(State, Replica.row()) == 0;
  if (mayUnload)
    giveOrder(State, OrderKind::Unload, Replica, Out);
}

void unloadStranger(AgentState &State, const std::string &Name,
                    AgentEffects &Out) {
  if (State.Orders.contains(Name) || countRunning(State, Name) > 0)
    return;
  wire::Replica stranger;
  stranger.set_row(Name);
  stranger.set_is_adapter(State.Rows[Name].IsAdapter);
  stranger.set_fence(State.View.Version);
  giveOrder(State, OrderKind::Unload, stranger, Out);
}

/// With no leader in sight, what serves nobody does not stay loaded.
void unloadOrphans(AgentState &State, TimePoint Now, AgentEffects &Out) {
  if (Now - State.View.LeaseEnd < OrphanIdle)
    return;
  for (auto &[name, row] : State.Rows)
    if (row.IsLoaded && Now - row.LastUse >= OrphanIdle)
      unloadStranger(State, name, Out);
}

} // namespace

uint32_t countRunning(const AgentState &State, const std::string &Row) {
  uint32_t n = 0;
  for (const auto &[key, attempt] : State.Attempts)
    n += attempt.Row == Row;
  return n;
}

std::vector<std::string> listUnassignedRows(const AgentState &State) {
  std::vector<std::string> strangers;
  for (const auto &[name, row] : State.Rows)
    if (row.IsLoaded &&
        !findReplica(State.View.Items, State.Options.Name, name))
      strangers.push_back(name);
  return strangers;
}

void reconcileReplicas(AgentState &State, TimePoint Now, AgentEffects &Out) {
  if (!isEndpointKnown(State, Now) || !State.Options.Service.empty())
    return;
  // Nobody is obeyed before a current leader has answered this process.
  if (!isConfirmed(State.View, Now)) {
    unloadOrphans(State, Now, Out);
    return;
  }
  // What an earlier process said of its orders has been recorded or is void
  // once the record names this process.
  const wire::Endpoint *own =
      findEndpoint(State.View.Items, State.Options.Name);
  if (!own || own->incarnation() != State.Options.Incarnation)
    return;
  for (const wire::Replica *it :
       listReplicasOn(State.View.Items, State.Options.Name))
    if (it->engine_incarnation() == State.Endpoint.Incarnation)
      reconcile(State, *it, Out);
  for (const std::string &it : listUnassignedRows(State))
    unloadStranger(State, it, Out);
}

void distrustReports(AgentState &State, TimePoint Now) {
  if (State.Options.Service.empty())
    State.TrustFrom = Now + ReportLag;
}

bool isEndpointKnown(const AgentState &State, TimePoint Now) {
  return State.IsEndpointUp && isPast(State.TrustFrom, Now);
}

void takeReport(AgentState &State, const EndpointReport &Report,
                TimePoint Now) {
  if (!State.HasSeenEndpoint)
    distrustReports(State, Now);
  State.HasSeenEndpoint = true;
  State.Endpoint = Report;
  State.IsEndpointUp = true;
  State.LastAnnounce = Now;
  for (const std::string &it : Report.Loaded) {
    auto [known, isNew] = State.Rows.try_emplace(it);
    RowState &row = known->second;
    // Nobody knows when an earlier process saw it used last.
    if (isNew)
      row.LastUse = Now;
    row.IsAdapter = row.IsAdapter || Report.Adapters.contains(it);
  }
  for (auto &[name, row] : State.Rows) {
    if (State.Orders.contains(name) || !isSettled(row, Now))
      continue;
    row.IsLoaded = Report.Loaded.contains(name);
    row.IsUncertain = row.IsUncertain && Report.Loading.contains(name);
  }
}

void takeOrderDone(AgentState &State, const OrderResult &Done, TimePoint Now) {
  auto order = State.Orders.find(Done.Row);
  if (order == State.Orders.end() || order->second.Fence != Done.Fence)
    return;
  RowState &row = State.Rows[Done.Row];
  row.SettledAt = Now;
  row.IsUncertain = !Done.IsAnswered;
  bool isLoad = order->second.Kind == OrderKind::Load;
  if (Done.IsDone) {
    row.IsLoaded = isLoad;
    row.LastUse = Now;
  } else if (isLoad && Done.IsAnswered) {
    row.FailedFence = Done.Fence;
  }
  State.Orders.erase(order);
}

void forgetEndpoint(AgentState &State) {
  State.Rows.clear();
  State.Orders.clear();
  State.IsEndpointUp = false;
}

std::vector<wire::ReplicaReport> reportReplicas(const AgentState &State,
                                                TimePoint Now) {
  std::vector<wire::ReplicaReport> reports;
  if (!isEndpointKnown(State, Now))
    return reports;
  for (const wire::Replica *it :
       listReplicasOn(State.View.Items, State.Options.Name)) {
    auto known = State.Rows.find(it->row());
    bool isOpen = State.Orders.contains(it->row()) ||
                  (known != State.Rows.end() && known->second.IsUncertain) ||
                  State.Endpoint.Loading.contains(it->row());
    if (isOpen || it->engine_incarnation() != State.Endpoint.Incarnation)
      continue;
    RowState row = known == State.Rows.end() ? RowState() : known->second;
    wire::ReplicaReport report;
    report.set_row(it->row());
    report.set_fence(it->fence());
    if (row.IsLoaded)
      report.set_phase(wire::PHASE_LOADED);
    report.set_failed(!row.IsLoaded && row.FailedFence == it->fence());
    report.set_running(countRunning(State, it->row()));
    report.set_idle_ms(toMillis(Now - row.LastUse));
    reports.push_back(std::move(report));
  }
  return reports;
}

} // namespace sassafras
