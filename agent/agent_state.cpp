#include "agent/agent_state.h"

#include "agent/agent_parts.h"
#include "core/timing.h"

namespace sassafras {

namespace {

/// An endpoint that has not announced itself for this long is not ready.
constexpr Millis AnnounceLife{2000};
/// Ticks further apart than this tell that the process was stopped.
constexpr Millis FreezeGap{1000};
/// A stopping agent waits this long for its leave to be known.
constexpr Millis LeaveNotice{1500};

bool isAnnounced(const AgentState &State, TimePoint Now) {
  return State.IsEndpointUp && Now - State.LastAnnounce < AnnounceLife;
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
  endpoint.set_ready(isAnnounced(State, Now) && isEndpointKnown(State, Now));
  return endpoint;
}

void sendHeartbeat(AgentState &State, TimePoint Now, AgentEffects &Out) {
  wire::Envelope message;
  wire::Heartbeat &beat = *message.mutable_heartbeat();
  beat.set_is_agent(true);
  *beat.mutable_endpoint() = describeEndpoint(State, Now);
  beat.set_endpoint_gone(State.HasSeenEndpoint && !State.IsEndpointUp);
  for (wire::ReplicaReport &it : reportReplicas(State, Now))
    *beat.add_replicas() = std::move(it);
  for (const auto &[name, death] : State.Deaths)
    *beat.add_deaths() = death;
  for (const std::string &it : State.Endpoint.Cached)
    beat.add_cached_rows(it);
  beat.set_has_strangers(!listUnassignedRows(State).empty());
  for (const std::string &it : stampHeartbeat(State.View, beat, Now))
    Out.push_back(AgentSend{it, message});
}

/// The present endpoint process has ended.
void buryEndpoint(AgentState &State, TimePoint Now, AgentEffects &Out) {
  recordDeath(State, State.Endpoint.Incarnation, Now);
  std::vector<AttemptKey> broken;
  for (const auto &[key, attempt] : State.Attempts)
    broken.push_back(key);
  for (const AttemptKey &it : broken) {
    Out.push_back(CancelExchange{it});
    breakAttempt(State, {it, true}, Now, Out);
  }
  State.Failures.clear();
  forgetEndpoint(State);
  State.Endpoint = EndpointReport();
  State.View.NextHeartbeat = Now;
}

void announce(AgentState &State, const EndpointReport &Report, TimePoint Now,
              AgentEffects &Out) {
  bool isNewProcess = State.Endpoint.Incarnation != Report.Incarnation;
  if (isNewProcess && State.Endpoint.Incarnation != 0)
    buryEndpoint(State, Now, Out);
  bool hasNews = isNewProcess || !isAnnounced(State, Now) ||
                 State.Endpoint.IsLeaving != Report.IsLeaving;
  takeReport(State, Report, Now);
  if (hasNews)
    State.View.NextHeartbeat = Now;
}

void receive(AgentState &State, const wire::Envelope &Message, TimePoint Now,
             AgentEffects &Out) {
  switch (Message.body_case()) {
  case wire::Envelope::kHeartbeatReply:
    for (const std::string &it : Message.heartbeat_reply().deaths_recorded())
      State.Deaths.erase(it);
    if (applyHeartbeatReply(State.View, Message.heartbeat_reply(), Now))
      State.View.NextHeartbeat = Now;
    return;
  case wire::Envelope::kAttempt:
    takeAttempt(State, Message.attempt(), Message.reply_address(), Now, Out);
    return;
  case wire::Envelope::kAttemptCancel:
    cancelAttempt(State, Message.attempt_cancel(), Message.reply_address(), Now,
                  Out);
    return;
  default:
    return;
  }
}

/// A process that was stopped reads old reports first when it wakes.
void noteFreeze(AgentState &State, TimePoint Now) {
  bool hasRun = State.LastStep != TimePoint();
  if (hasRun && Now - State.LastStep >= FreezeGap)
    distrustReports(State, Now);
  State.LastStep = Now;
}

void stop(AgentState &State, TimePoint Now) {
  if (State.IsStopping)
    return;
  State.IsStopping = true;
  State.StopSince = Now;
  State.View.NextHeartbeat = Now;
}

void countIdle(AgentState &State, TimePoint Now) {
  bool isFirst = State.IdleCountedAt == TimePoint();
  std::chrono::duration<double> passed = Now - State.IdleCountedAt;
  State.IdleCountedAt = Now;
  if (isFirst || State.Endpoint.MemoryMb == 0)
    return;
  for (const wire::Replica *it :
       listReplicasOn(State.View.Items, State.Options.Name)) {
    auto row = State.Rows.find(it->row());
    bool isIdle = row != State.Rows.end() && row->second.IsLoaded &&
                  countRunning(State, it->row()) == 0;
    if (isIdle)
      State.IdleTime += passed * static_cast<double>(it->memory_mb()) /
                        static_cast<double>(State.Endpoint.MemoryMb);
  }
}

void tick(AgentState &State, TimePoint Now, AgentEffects &Out) {
  countIdle(State, Now);
  sendProgress(State, Now, Out);
  // The entries have time to learn of the leave before the door closes.
  bool isDone = State.IsStopping && State.Attempts.empty() &&
                State.Orders.empty() && Now - State.StopSince >= LeaveNotice;
  if (isDone)
    Out.push_back(AgentExit{});
}

} // namespace

AgentEffects stepAgent(AgentState &State, const AgentEvent &Event,
                       TimePoint Now) {
  AgentEffects out;
  noteFreeze(State, Now);
  if (const auto *received = std::get_if<AgentReceived>(&Event))
    receive(State, received->Message, Now, out);
  else if (const auto *announced = std::get_if<EndpointAnnounced>(&Event))
    announce(State, announced->Report, Now, out);
  else if (std::holds_alternative<EndpointGone>(Event))
    buryEndpoint(State, Now, out);
  else if (const auto *head = std::get_if<EndpointHead>(&Event))
    passHead(State, *head, out);
  else if (const auto *body = std::get_if<EndpointBody>(&Event))
    passBody(State, *body, out);
  else if (const auto *end = std::get_if<EndpointEnd>(&Event))
    endAttempt(State, end->Key, Now, out);
  else if (const auto *broken = std::get_if<ExchangeFailed>(&Event)) {
    breakAttempt(State, *broken, Now, out);
    if (State.IsEndpointUp)
      out.push_back(ProbeEndpoint{});
  } else if (const auto *done = std::get_if<OrderResult>(&Event)) {
    takeOrderDone(State, *done, Now);
    State.View.NextHeartbeat = Now;
  } else if (std::holds_alternative<AgentStop>(Event))
    stop(State, Now);
  else
    tick(State, Now, out);
  // Pieces of answers change nothing that orders depend on.
  bool isPiece = std::holds_alternative<EndpointBody>(Event) ||
                 std::holds_alternative<EndpointHead>(Event);
  if (!isPiece)
    reconcileReplicas(State, Now, out);
  if (isPast(State.View.NextHeartbeat, Now))
    sendHeartbeat(State, Now, out);
  return out;
}

bool isAgentReady(const AgentState &State, TimePoint Now) {
  return !State.IsStopping && isAnnounced(State, Now);
}

} // namespace sassafras
