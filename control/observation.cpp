#include "control/control_parts.h"

#include "core/timing.h"

#include <algorithm>

namespace sassafras {

namespace {

bool isSameEndpoint(const wire::Endpoint &A, const wire::Endpoint &B) {
  return A.SerializeAsString() == B.SerializeAsString();
}

void handleEndpointReport(ControlState &State, NodeInfo &Info, TimePoint Now,
                          RaftEffects &Raft) {
  wire::Endpoint reported = Info.LastHeartbeat.endpoint();
  const wire::Endpoint *known =
      findEndpoint(State.Fleet.Items, reported.name());
  bool isReported = reported.engine_incarnation() != 0;
  if (isReported || Info.LastHeartbeat.endpoint_gone())
    Info.EndpointReportedAt = Now;
  if (!known && !isReported)
    return;
  // An agent that has just started does not know its endpoint's state yet. The
  // recorded engine process and memory stay valid until it reports.
  if (!isReported && !Info.LastHeartbeat.endpoint_gone()) {
    reported.set_engine_incarnation(known->engine_incarnation());
    reported.set_memory_mb(known->memory_mb());
  }
  if (!known || !isSameEndpoint(*known, reported))
    proposeEndpoint(State, reported, false, Now, Raft);
}

void handleReplicaReport(ControlState &State, const std::string &Endpoint,
                         const wire::ReplicaReport &Report, uint64_t Reporter,
                         TimePoint Now, RaftEffects &Raft) {
  const wire::Replica *known =
      findReplica(State.Fleet.Items, Endpoint, Report.row());
  // Ignores reports on an earlier replica record; their fence differs.
  if (!known || known->fence() != Report.fence())
    return;
  wire::Replica replica = *known;
  bool isLoaded = Report.phase() == wire::PHASE_LOADED;
  switch (known->phase()) {
  case wire::PHASE_LOADING:
    if (!isLoaded && !Report.failed())
      return;
    replica.set_phase(wire::PHASE_LOADED);
    proposeReplica(State, replica, Report.failed(), Reporter, Now, Raft);
    return;
  case wire::PHASE_UNLOADING:
    if (!isLoaded)
      proposeReplica(State, replica, true, Reporter, Now, Raft);
    return;
  default:
    // The engine unloaded the replica without an order: record an unload, which
    // the next report confirms.
    replica.set_phase(wire::PHASE_UNLOADING);
    if (!isLoaded)
      proposeReplica(State, replica, false, Reporter, Now, Raft);
    return;
  }
}

void proposeDeaths(ControlState &State, const wire::Heartbeat &Received,
                   TimePoint Now, RaftEffects &Raft) {
  for (const wire::DeathReport &it : Received.deaths()) {
    wire::Command command;
    command.set_operation_id("death/" + it.death());
    command.mutable_death()->set_death(it.death());
    *command.mutable_death()->mutable_digests() = it.digests();
    proposeItemChange(State, "death/" + it.death(), std::move(command), Now,
                      Raft);
  }
}

bool isLive(const ControlState &State, const std::string &Node, TimePoint Now) {
  auto it = State.Nodes.find(Node);
  return it != State.Nodes.end() &&
         Now - it->second.LastHeard < timing::EndpointLease;
}

std::map<std::string, RowDemand> sumDemand(const ControlState &State,
                                           TimePoint Now) {
  std::map<std::string, RowDemand> sum;
  for (const auto &[name, info] : State.Nodes) {
    if (Now - info.LastHeard >= timing::EndpointLease)
      continue;
    for (const wire::ModelDemand &it : info.LastHeartbeat.demand()) {
      RowDemand &row = sum[it.row()];
      row.Waiting += it.waiting();
      Millis wait(it.oldest_wait_ms());
      if (wait < row.OldestWait)
        continue;
      row.OldestWait = wait;
      row.IsLoaded = it.loaded();
      row.Organisation = it.tenant();
    }
  }
  return sum;
}

std::map<std::string, EndpointUse> collectEndpointUse(const ControlState &State,
                                                      TimePoint Now) {
  std::map<std::string, EndpointUse> all;
  for (const auto &[name, info] : State.Nodes) {
    if (!info.LastHeartbeat.is_agent())
      continue;
    EndpointUse &use = all[name];
    use.IsLive = isLive(State, name, Now);
    use.HasUnassignedReplicas = info.LastHeartbeat.has_strangers();
    use.CachedRows.insert(info.LastHeartbeat.cached_rows().begin(),
                          info.LastHeartbeat.cached_rows().end());
    for (const wire::ReplicaReport &it : info.LastHeartbeat.replicas())
      use.Replicas[it.row()] = {it.running(), Millis(it.idle_ms())};
  }
  return all;
}

void refillLoadTokens(ControlState &State, TimePoint Now) {
  std::chrono::duration<double> elapsed = Now - State.LoadTokensUpdatedAt;
  State.LoadTokensUpdatedAt = Now;
  double maxTokens = State.Options.Store.LoadsAtOnce;
  State.LoadTokens = std::min(
      maxTokens,
      State.LoadTokens + elapsed.count() * State.Options.Store.LoadsPerSecond);
}

} // namespace

void handleHeartbeat(ControlState &State, const wire::Envelope &Message,
                     TimePoint Now, RaftEffects &Raft, ControlEffects &Out) {
  const wire::Heartbeat &received = Message.heartbeat();
  NodeInfo &info = State.Nodes[Message.from()];
  bool isSameProcess = info.Incarnation == Message.incarnation();
  if (isSameProcess && received.number() < info.LastHeartbeat.number())
    return;
  // Incarnations of a node name increase. A delayed message of an earlier
  // process must not replace the state of the current one, unless that has not
  // been heard for EndpointRemovalTimeout.
  bool isOlderProcess = Message.incarnation() < info.Incarnation &&
                        Now - info.LastHeard < timing::EndpointRemovalTimeout;
  if (isOlderProcess)
    return;
  if (!isSameProcess) {
    TimePoint reportedAt = info.EndpointReportedAt;
    info = NodeInfo();
    info.EndpointReportedAt = reportedAt;
  }
  info.Address = Message.reply_address();
  info.Incarnation = Message.incarnation();
  info.LastHeard = Now;
  info.LastHeartbeat = received;
  for (const wire::ModelDemand &it : received.demand())
    if (it.arrivals() > 0)
      recordArrivals(State.Arrivals, it.row(), Now);
  if (received.is_agent()) {
    handleEndpointReport(State, info, Now, Raft);
    for (const wire::ReplicaReport &it : received.replicas())
      handleReplicaReport(State, Message.from(), it, Message.incarnation(), Now,
                          Raft);
  }
  proposeDeaths(State, received, Now, Raft);
  sendHeartbeatReply(State, Message.from(), info, Now, Out);
}

void checkEndpointTimeouts(ControlState &State, TimePoint Now,
                           RaftEffects &Raft) {
  for (const wire::Endpoint *it : listEndpoints(State.Fleet.Items)) {
    auto node = State.Nodes.find(it->name());
    TimePoint lastReportAt = State.LeaderSince;
    if (node != State.Nodes.end())
      lastReportAt = std::max(lastReportAt, node->second.EndpointReportedAt);
    auto silence = Now - lastReportAt;
    if (silence >= timing::EndpointRemovalTimeout) {
      proposeEndpoint(State, *it, true, Now, Raft);
    } else if (silence >= timing::EndpointLease && it->ready()) {
      wire::Endpoint unready = *it;
      unready.set_ready(false);
      proposeEndpoint(State, unready, false, Now, Raft);
    }
  }
}

void placeReplicas(ControlState &State, TimePoint Now, RaftEffects &Raft) {
  refillLoadTokens(State, Now);
  auto demand = sumDemand(State, Now);
  auto use = collectEndpointUse(State, Now);
  PlacementInput input{State.Fleet.Items,
                       demand,
                       use,
                       State.Arrivals,
                       State.Options.Weights,
                       State.Options.Store,
                       static_cast<uint32_t>(State.LoadTokens)};
  PlacementDecision decision = decidePlacement(input);
  for (const wire::Replica &it : decision.Load) {
    if (!it.is_adapter())
      State.LoadTokens -= 1;
    proposeReplica(State, it, false, 0, Now, Raft);
  }
  for (const wire::Replica &it : decision.Unload)
    proposeReplica(State, it, false, 0, Now, Raft);
}

} // namespace sassafras
