#include "agent/agent_parts.h"

#include "core/timing.h"

namespace sassafras {

namespace {

/// Maximum lag of a report behind the endpoint's state; reports that arrive
/// within it after the end of an order are ignored for that row.
constexpr Millis MaxReportLag{2000};
/// Without a leader, an idle replica is unloaded after this time.
constexpr std::chrono::seconds LeaderlessIdleTimeout{120};

bool areReportsCurrent(const RowState &Row, TimePoint Now) {
  return Now - Row.LastOrderEndedAt >= MaxReportLag;
}

void sendOrder(AgentState &State, OrderKind Kind, const wire::Replica &Replica,
               AgentEffects &Out) {
  State.Orders[Replica.row()] = {Kind, Replica.fence()};
  Out.push_back(SendOrder{Kind, Replica.row(), Replica.base(),
                          Replica.is_adapter(), Replica.memory_mb(),
                          Replica.fence(), State.View.Version});
}

/// Memory in MB of all rows but \p Except that are loaded or have an open
/// order, by the agent's own records and the sizes in the view.
uint64_t computeHeldMemory(const AgentState &State, const std::string &Except) {
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
    uint64_t needed =
        computeHeldMemory(State, Replica.row()) + Replica.memory_mb();
    if (needed > State.Endpoint.MemoryMb || !listUnassignedRows(State).empty())
      row.FailedFence = Replica.fence();
    else
      sendOrder(State, OrderKind::Load, Replica, Out);
    return;
  }
  bool mayUnload = Replica.phase() == wire::PHASE_UNLOADING && row.IsLoaded &&
                   countRunningAttempts(State, Replica.row()) == 0;
  if (mayUnload)
    sendOrder(State, OrderKind::Unload, Replica, Out);
}

void unloadRow(AgentState &State, const std::string &Name, AgentEffects &Out) {
  if (State.Orders.contains(Name) || countRunningAttempts(State, Name) > 0)
    return;
  wire::Replica replica;
  replica.set_row(Name);
  replica.set_is_adapter(State.Rows[Name].IsAdapter);
  replica.set_fence(State.View.Version);
  sendOrder(State, OrderKind::Unload, replica, Out);
}

/// Once the view's lease has been expired for LeaderlessIdleTimeout, unloads
/// the rows that have been idle for as long.
void unloadIdleRows(AgentState &State, TimePoint Now, AgentEffects &Out) {
  if (Now - State.View.LeaseEnd < LeaderlessIdleTimeout)
    return;
  for (auto &[name, row] : State.Rows)
    if (row.IsLoaded && Now - row.LastUse >= LeaderlessIdleTimeout)
      unloadRow(State, name, Out);
}

} // namespace

uint32_t countRunningAttempts(const AgentState &State, const std::string &Row) {
  uint32_t n = 0;
  for (const auto &[key, attempt] : State.Attempts)
    n += attempt.Row == Row;
  return n;
}

std::vector<std::string> listUnassignedRows(const AgentState &State) {
  std::vector<std::string> unassigned;
  for (const auto &[name, row] : State.Rows)
    if (row.IsLoaded &&
        !findReplica(State.View.Items, State.Options.Name, name))
      unassigned.push_back(name);
  return unassigned;
}

void reconcileReplicas(AgentState &State, TimePoint Now, AgentEffects &Out) {
  if (!isEndpointStateKnown(State, Now) || !State.Options.Service.empty())
    return;
  // No replica record is acted on until a current leader has confirmed the
  // view of this process.
  if (!isConfirmed(State.View, Now)) {
    unloadIdleRows(State, Now, Out);
    return;
  }
  // Once the endpoint record has this process's incarnation, what an earlier
  // agent process reported of its orders is either recorded or void.
  const wire::Endpoint *own =
      findEndpoint(State.View.Items, State.Options.Name);
  if (!own || own->incarnation() != State.Options.Incarnation)
    return;
  for (const wire::Replica *it :
       listReplicasOn(State.View.Items, State.Options.Name))
    if (it->engine_incarnation() == State.Endpoint.Incarnation)
      reconcile(State, *it, Out);
  for (const std::string &it : listUnassignedRows(State))
    unloadRow(State, it, Out);
}

void requireFreshReports(AgentState &State, TimePoint Now) {
  if (State.Options.Service.empty())
    State.ReportsTrustedFrom = Now + MaxReportLag;
}

bool isEndpointStateKnown(const AgentState &State, TimePoint Now) {
  return State.IsEndpointUp && isPast(State.ReportsTrustedFrom, Now);
}

void applyReport(AgentState &State, const EndpointReport &Report,
                 TimePoint Now) {
  if (!State.HasSeenEndpoint)
    requireFreshReports(State, Now);
  State.HasSeenEndpoint = true;
  State.Endpoint = Report;
  State.IsEndpointUp = true;
  State.LastAnnounce = Now;
  for (const std::string &it : Report.Loaded) {
    auto [known, isNew] = State.Rows.try_emplace(it);
    RowState &row = known->second;
    // The last use under an earlier agent process is not known.
    if (isNew)
      row.LastUse = Now;
    row.IsAdapter = row.IsAdapter || Report.Adapters.contains(it);
  }
  for (auto &[name, row] : State.Rows) {
    if (State.Orders.contains(name) || !areReportsCurrent(row, Now))
      continue;
    row.IsLoaded = Report.Loaded.contains(name);
    row.IsUncertain = row.IsUncertain && Report.Loading.contains(name);
  }
}

void applyOrderResult(AgentState &State, const OrderResult &Result,
                      TimePoint Now) {
  auto order = State.Orders.find(Result.Row);
  if (order == State.Orders.end() || order->second.Fence != Result.Fence)
    return;
  RowState &row = State.Rows[Result.Row];
  row.LastOrderEndedAt = Now;
  row.IsUncertain = !Result.IsAnswered;
  bool isLoad = order->second.Kind == OrderKind::Load;
  if (Result.IsSuccess) {
    row.IsLoaded = isLoad;
    row.LastUse = Now;
  } else if (isLoad && Result.IsAnswered) {
    row.FailedFence = Result.Fence;
  }
  State.Orders.erase(order);
}

void clearEndpointState(AgentState &State) {
  State.Rows.clear();
  State.Orders.clear();
  State.IsEndpointUp = false;
}

std::vector<wire::ReplicaReport> buildReplicaReports(const AgentState &State,
                                                     TimePoint Now) {
  std::vector<wire::ReplicaReport> reports;
  if (!isEndpointStateKnown(State, Now))
    return reports;
  for (const wire::Replica *it :
       listReplicasOn(State.View.Items, State.Options.Name)) {
    auto known = State.Rows.find(it->row());
    bool isPending = State.Orders.contains(it->row()) ||
                     (known != State.Rows.end() && known->second.IsUncertain) ||
                     State.Endpoint.Loading.contains(it->row());
    if (isPending || it->engine_incarnation() != State.Endpoint.Incarnation)
      continue;
    RowState row = known == State.Rows.end() ? RowState() : known->second;
    wire::ReplicaReport report;
    report.set_row(it->row());
    report.set_fence(it->fence());
    if (row.IsLoaded)
      report.set_phase(wire::PHASE_LOADED);
    report.set_failed(!row.IsLoaded && row.FailedFence == it->fence());
    report.set_running(countRunningAttempts(State, it->row()));
    report.set_idle_ms(toMillis(Now - row.LastUse));
    reports.push_back(std::move(report));
  }
  return reports;
}

} // namespace sassafras
