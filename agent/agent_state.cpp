#include "agent/agent_state.h"

#include "agent/agent_parts.h"
#include "core/timing.h"

namespace sassafras {

namespace {

/// Validity of an announcement; an endpoint without a newer one is not ready.
constexpr Millis AnnouncementLifetime{2000};
/// A gap between events of at least this length means that the process was
/// paused.
constexpr Millis PauseThreshold{1000};
/// Minimum time between the start of a stop and the exit, in which the entries
/// learn that the agent is leaving.
constexpr Millis LeaveNoticePeriod{1500};

bool isAnnounced(const AgentState &State, TimePoint Now) {
  return State.IsEndpointUp && Now - State.LastAnnounce < AnnouncementLifetime;
}

wire::Endpoint describeEndpoint(const AgentState &State, TimePoint Now) {
  const AgentOptions &options = State.Options;
  wire::Endpoint endpoint;
  endpoint.set_name(options.Name);
  endpoint.set_incarnation(options.Incarnation);
  endpoint.set_address(options.Address);
  endpoint.set_zone(options.Zone);
  endpoint.set_is_service(!options.Service.empty());
  endpoint.set_service(options.Service);
  endpoint.set_memory_mb(State.Endpoint.MemoryMb);
  endpoint.set_slots(options.Slots);
  endpoint.set_leaving(State.IsStopping || State.Endpoint.IsLeaving);
  endpoint.set_engine_incarnation(State.Endpoint.Incarnation);
  endpoint.set_ready(isAnnounced(State, Now) &&
                     isEndpointStateKnown(State, Now));
  return endpoint;
}

void sendHeartbeat(AgentState &State, TimePoint Now, AgentEffects &Out) {
  wire::Envelope message;
  wire::Heartbeat &heartbeat = *message.mutable_heartbeat();
  heartbeat.set_is_agent(true);
  *heartbeat.mutable_endpoint() = describeEndpoint(State, Now);
  heartbeat.set_endpoint_gone(State.HasSeenEndpoint && !State.IsEndpointUp);
  for (wire::ReplicaReport &it : buildReplicaReports(State, Now))
    *heartbeat.add_replicas() = std::move(it);
  for (const auto &[name, death] : State.Deaths)
    *heartbeat.add_deaths() = death;
  for (const std::string &it : State.Endpoint.Cached)
    heartbeat.add_cached_rows(it);
  heartbeat.set_has_strangers(!listUnassignedRows(State).empty());
  for (const std::string &it : prepareHeartbeat(State.View, heartbeat, Now))
    Out.push_back(AgentSend{it, message});
}

/// Handles the end of the current endpoint process: records the death, fails
/// all running attempts and clears what was known of the process.
void handleEndpointDeath(AgentState &State, TimePoint Now, AgentEffects &Out) {
  recordDeath(State, State.Endpoint.Incarnation, Now);
  std::vector<AttemptKey> running;
  for (const auto &[key, attempt] : State.Attempts)
    running.push_back(key);
  for (const AttemptKey &it : running) {
    Out.push_back(CancelExchange{it});
    failAttempt(State, {it, true}, Now, Out);
  }
  State.Failures.clear();
  clearEndpointState(State);
  State.Endpoint = EndpointReport();
  State.View.NextHeartbeat = Now;
}

void handleAnnouncement(AgentState &State, const EndpointReport &Report,
                        TimePoint Now, AgentEffects &Out) {
  bool isNewProcess = State.Endpoint.Incarnation != Report.Incarnation;
  if (isNewProcess && State.Endpoint.Incarnation != 0)
    handleEndpointDeath(State, Now, Out);
  bool hasChanged = isNewProcess || !isAnnounced(State, Now) ||
                    State.Endpoint.IsLeaving != Report.IsLeaving;
  applyReport(State, Report, Now);
  if (hasChanged)
    State.View.NextHeartbeat = Now;
}

void handleMessage(AgentState &State, const wire::Envelope &Message,
                   TimePoint Now, AgentEffects &Out) {
  switch (Message.body_case()) {
  case wire::Envelope::kHeartbeatReply:
    for (const std::string &it : Message.heartbeat_reply().deaths_recorded())
      State.Deaths.erase(it);
    if (applyHeartbeatReply(State.View, Message.heartbeat_reply(), Now))
      State.View.NextHeartbeat = Now;
    return;
  case wire::Envelope::kAttempt:
    handleAttempt(State, Message.attempt(), Message.reply_address(), Now, Out);
    return;
  case wire::Envelope::kAttemptCancel:
    cancelAttempt(State, Message.attempt_cancel(), Message.reply_address(), Now,
                  Out);
    return;
  default:
    return;
  }
}

/// Detects that this process was paused. Reports that were queued during the
/// pause are read first after it, so none is trusted until the lag has passed.
void detectPause(AgentState &State, TimePoint Now) {
  bool hasHandledEvent = State.LastEventAt != TimePoint();
  if (hasHandledEvent && Now - State.LastEventAt >= PauseThreshold)
    requireFreshReports(State, Now);
  State.LastEventAt = Now;
}

void beginStop(AgentState &State, TimePoint Now) {
  if (State.IsStopping)
    return;
  State.IsStopping = true;
  State.StoppingSince = Now;
  State.View.NextHeartbeat = Now;
}

void accumulateIdleTime(AgentState &State, TimePoint Now) {
  bool isFirst = State.IdleTimeUpdatedAt == TimePoint();
  std::chrono::duration<double> passed = Now - State.IdleTimeUpdatedAt;
  State.IdleTimeUpdatedAt = Now;
  if (isFirst || State.Endpoint.MemoryMb == 0)
    return;
  for (const wire::Replica *it :
       listReplicasOn(State.View.Items, State.Options.Name)) {
    auto row = State.Rows.find(it->row());
    bool isIdle = row != State.Rows.end() && row->second.IsLoaded &&
                  countRunningAttempts(State, it->row()) == 0;
    if (isIdle)
      State.IdleTime += passed * static_cast<double>(it->memory_mb()) /
                        static_cast<double>(State.Endpoint.MemoryMb);
  }
}

void handleTick(AgentState &State, TimePoint Now, AgentEffects &Out) {
  accumulateIdleTime(State, Now);
  sendProgress(State, Now, Out);
  // Entries need time to learn of the leave before the agent exits.
  bool isDone = State.IsStopping && State.Attempts.empty() &&
                State.Orders.empty() &&
                Now - State.StoppingSince >= LeaveNoticePeriod;
  if (isDone)
    Out.push_back(AgentExit{});
}

} // namespace

AgentEffects stepAgent(AgentState &State, const AgentEvent &Event,
                       TimePoint Now) {
  AgentEffects out;
  detectPause(State, Now);
  if (const auto *received = std::get_if<AgentReceived>(&Event))
    handleMessage(State, received->Message, Now, out);
  else if (const auto *announced = std::get_if<EndpointAnnounced>(&Event))
    handleAnnouncement(State, announced->Report, Now, out);
  else if (std::holds_alternative<EndpointGone>(Event))
    handleEndpointDeath(State, Now, out);
  else if (const auto *head = std::get_if<EndpointHead>(&Event))
    forwardHead(State, *head, out);
  else if (const auto *body = std::get_if<EndpointBody>(&Event))
    forwardBody(State, *body, out);
  else if (const auto *end = std::get_if<EndpointEnd>(&Event))
    completeAttempt(State, end->Key, Now, out);
  else if (const auto *failure = std::get_if<ExchangeFailed>(&Event)) {
    failAttempt(State, *failure, Now, out);
    if (State.IsEndpointUp)
      out.push_back(ProbeEndpoint{});
  } else if (const auto *result = std::get_if<OrderResult>(&Event)) {
    applyOrderResult(State, *result, Now);
    State.View.NextHeartbeat = Now;
  } else if (std::holds_alternative<AgentStop>(Event))
    beginStop(State, Now);
  else
    handleTick(State, Now, out);
  // Response heads and body parts need no reconciliation: at most, a head ends
  // its attempt (unknown row), and the next event takes that into account.
  bool isResponsePart = std::holds_alternative<EndpointBody>(Event) ||
                        std::holds_alternative<EndpointHead>(Event);
  if (!isResponsePart)
    reconcileReplicas(State, Now, out);
  if (isPast(State.View.NextHeartbeat, Now))
    sendHeartbeat(State, Now, out);
  return out;
}

bool isAgentReady(const AgentState &State, TimePoint Now) {
  return !State.IsStopping && isAnnounced(State, Now);
}

} // namespace sassafras
