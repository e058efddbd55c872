#include "control/control_parts.h"

#include "core/timing.h"

#include <algorithm>

namespace sassafras {

namespace {

bool isSameEndpoint(const wire::Endpoint &A, const wire::Endpoint &B) {
  return A.SerializeAsString() == B.SerializeAsString();
}

void takeEndpoint(ControlState &State, NodeInfo &Info, TimePoint Now,
                  RaftEffects &Raft) {
  wire::Endpoint reported = Info.Beat.endpoint();
  const wire::Endpoint *known =
      findEndpoint(State.Fleet.Items, reported.name());
  bool isKnown = reported.engine_incarnation() != 0;
  if (isKnown || Info.Beat.endpoint_gone())
    Info.EndpointKnownAt = Now;
  if (!known && !isKnown)
    return;
  // An agent that has just started does not know its endpoint yet: what the
  // endpoint holds still counts.
  if (!isKnown && !Info.Beat.endpoint_gone()) {
    reported.set_engine_incarnation(known->engine_incarnation());
    reported.set_memory_mb(known->memory_mb());
  }
  if (!known || !isSameEndpoint(*known, reported))
    proposeEndpoint(State, reported, false, Now, Raft);
}

void takeReplicaReport(ControlState &State, const std::string &Endpoint,
                       const wire::ReplicaReport &Report, uint64_t Reporter,
                       TimePoint Now, RaftEffects &Raft) {
  const wire::Replica *known =
      findReplica(State.Fleet.Items, Endpoint, Report.row());
  // Reports about an earlier decision say nothing about this one.
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
    // The engine dropped it by itself: confirm that as an unload.
    replica.set_phase(wire::PHASE_UNLOADING);
    if (!isLoaded)
      proposeReplica(State, replica, false, Reporter, Now, Raft);
    return;
  }
}

void takeDeaths(ControlState &State, const wire::Heartbeat &Beat, TimePoint Now,
                RaftEffects &Raft) {
  for (const wire::DeathReport &it : Beat.deaths()) {
    wire::Command command;
    command.set_operation_id("death/" + it.death());
    command.mutable_death()->set_death(it.death());
    *command.mutable_death()->mutable_digests() = it.digests();
    proposeOwn(State, "death/" + it.death(), std::move(command), Now, Raft);
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
    for (const wire::ModelDemand &it : info.Beat.demand()) {
      RowDemand &row = sum[it.row()];
      row.Waiting += it.waiting();
      Millis wait(it.oldest_wait_ms());
      if (wait < row.OldestWait)
        continue;
      row.OldestWait = wait;
      row.IsLoaded = it.loaded();
      row.Tenant = it.tenant();
    }
  }
  return sum;
}

std::map<std::string, EndpointUse> listUse(const ControlState &State,
                                           TimePoint Now) {
  std::map<std::string, EndpointUse> all;
  for (const auto &[name, info] : State.Nodes) {
    if (!info.Beat.is_agent())
      continue;
    EndpointUse &use = all[name];
    use.IsLive = isLive(State, name, Now);
    use.HasStrangers = info.Beat.has_strangers();
    use.CachedRows.insert(info.Beat.cached_rows().begin(),
                          info.Beat.cached_rows().end());
    for (const wire::ReplicaReport &it : info.Beat.replicas())
      use.Replicas[it.row()] = {it.running(), Millis(it.idle_ms())};
  }
  return all;
}

void refillLoads(ControlState &State, TimePoint Now) {
  std::chrono::duration<double> passed = Now - State.LoadTokensAt;
  State.LoadTokensAt = Now;
  double most = State.Options.Store.LoadsAtOnce;
  State.LoadTokens =
      std::min(most, State.LoadTokens +
                         passed.count() * State.Options.Store.LoadsPerSecond);
}

} // namespace

void takeHeartbeat(ControlState &State, const wire::Envelope &Message,
                   TimePoint Now, RaftEffects &Raft, ControlEffects &Out) {
  const wire::Heartbeat &beat = Message.heartbeat();
  NodeInfo &info = State.Nodes[Message.from()];
  bool isSameProcess = info.Incarnation == Message.incarnation();
  if (isSameProcess && beat.number() < info.Beat.number())
    return;
  // Incarnations of one name rise; a late message of an earlier process must
  // not take the place of the present one.
  bool isEarlier = Message.incarnation() < info.Incarnation &&
                   Now - info.LastHeard < timing::EndpointRemovalTimeout;
  if (isEarlier)
    return;
  if (!isSameProcess) {
    TimePoint knownAt = info.EndpointKnownAt;
    info = NodeInfo();
    info.EndpointKnownAt = knownAt;
  }
  info.Address = Message.reply_address();
  info.Incarnation = Message.incarnation();
  info.LastHeard = Now;
  info.Beat = beat;
  for (const wire::ModelDemand &it : beat.demand())
    if (it.arrivals() > 0)
      recordArrivals(State.Idling, it.row(), Now);
  if (beat.is_agent()) {
    takeEndpoint(State, info, Now, Raft);
    for (const wire::ReplicaReport &it : beat.replicas())
      takeReplicaReport(State, Message.from(), it, Message.incarnation(), Now,
                        Raft);
  }
  takeDeaths(State, beat, Now, Raft);
  replyToNode(State, Message.from(), info, Now, Out);
}

void checkSilence(ControlState &State, TimePoint Now, RaftEffects &Raft) {
  for (const wire::Endpoint *it : listEndpoints(State.Fleet.Items)) {
    auto node = State.Nodes.find(it->name());
    TimePoint heard = State.LedSince;
    if (node != State.Nodes.end())
      heard = std::max(heard, node->second.EndpointKnownAt);
    auto silence = Now - heard;
    if (silence >= timing::EndpointRemovalTimeout) {
      proposeEndpoint(State, *it, true, Now, Raft);
    } else if (silence >= timing::EndpointLease && it->ready()) {
      wire::Endpoint silent = *it;
      silent.set_ready(false);
      proposeEndpoint(State, silent, false, Now, Raft);
    }
  }
}

void placeReplicas(ControlState &State, TimePoint Now, RaftEffects &Raft) {
  refillLoads(State, Now);
  auto demand = sumDemand(State, Now);
  auto use = listUse(State, Now);
  PlacementInput input{State.Fleet.Items,
                       demand,
                       use,
                       State.Idling,
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
