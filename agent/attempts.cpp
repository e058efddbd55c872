#include "agent/agent_parts.h"

#include "core/timing.h"

#include <algorithm>

namespace sassafras {

namespace {

/// Interval at which running attempts are confirmed to their entries.
constexpr Millis ProgressInterval{800};
/// A request whose exchange failed at most this long before the endpoint's
/// death is reported as running at the death.
constexpr Millis DeathWindow{3000};
constexpr unsigned StatusNotFound = 404;
/// Attempts stamped in an earlier term are admitted for at most this long after
/// the agent learned of the current term.
constexpr Millis TermGrace = timing::ViewLease;

void reply(AgentEffects &Out, const std::string &Address, const AttemptKey &Key,
           wire::AttemptReply Reply) {
  Reply.set_request_id(Key.RequestId);
  Reply.set_number(Key.Number);
  wire::Envelope message;
  *message.mutable_attempt_reply() = std::move(Reply);
  Out.push_back(AgentSend{Address, std::move(message)});
}

void replyOutcome(AgentEffects &Out, const std::string &Address,
                  const AttemptKey &Key, wire::AttemptOutcome Outcome,
                  const std::string &Reason) {
  wire::AttemptReply attemptReply;
  attemptReply.set_outcome(Outcome);
  attemptReply.set_reason(Reason);
  reply(Out, Address, Key, std::move(attemptReply));
}

void recordEnd(AgentState &State, const AttemptKey &Key,
               wire::AttemptOutcome Outcome) {
  if (!State.Ended.contains(Key))
    State.EndedKeys.push_back(Key);
  State.Ended[Key] = {Outcome};
  if (State.EndedKeys.size() <= MaxEndedAttempts)
    return;
  State.Ended.erase(State.EndedKeys.front());
  State.EndedKeys.pop_front();
}

/// True when the entry's view lease had expired by the time this attempt
/// arrived: the attempt was delayed on its way, and the checks made before it
/// was sent are no longer valid.
bool isStampStale(const AgentState &State, const wire::Attempt &Attempt,
                  TimePoint Now) {
  // Fleet time of a later term is unknown before its leader has answered.
  if (Attempt.stamp_term() > State.View.Term)
    return true;
  if (Attempt.stamp_term() == State.View.Term)
    return fleetTimeMs(State.View, Now) > Attempt.stamp_until_ms();
  // The agent may learn of the current term late, so the time since then is not
  // enough.
  auto earlier = earlierFleetTimeMs(State.View, Attempt.stamp_term(), Now);
  return Now - State.View.TermSince >= TermGrace || !earlier ||
         *earlier > Attempt.stamp_until_ms();
}

bool hasExclusiveAttempt(const AgentState &State) {
  return std::any_of(State.Attempts.begin(), State.Attempts.end(),
                     [](const auto &it) { return it.second.IsExclusive; });
}

/// Reason why the row cannot serve the attempt here; empty when it can.
std::string checkReplica(const AgentState &State,
                         const wire::Attempt &Attempt) {
  if (!State.Options.Service.empty())
    return Attempt.row() == State.Options.Service ? "" : "wrong_service";
  const wire::Replica *replica =
      findReplica(State.View.Items, State.Options.Name, Attempt.row());
  if (!replica || replica->fence() != Attempt.fence() ||
      replica->phase() == wire::PHASE_UNLOADING)
    return "not_loaded";
  auto row = State.Rows.find(Attempt.row());
  bool isLoaded = row != State.Rows.end() && row->second.IsLoaded &&
                  !State.Orders.contains(Attempt.row());
  return isLoaded ? "" : "not_loaded";
}

/// Reason why the attempt is not admitted; empty when it is.
std::string checkAdmission(const AgentState &State,
                           const wire::Attempt &Attempt, TimePoint Now) {
  if (State.IsStopping || State.Endpoint.IsLeaving)
    return "leaving";
  if (!isEndpointStateKnown(State, Now))
    return "endpoint_down";
  if (isStampStale(State, Attempt, Now))
    return "stale";
  if (State.Attempts.size() >= State.Options.Slots)
    return "busy";
  if (hasExclusiveAttempt(State) ||
      (Attempt.alone() && !State.Attempts.empty()))
    return "alone";
  return checkReplica(State, Attempt);
}

} // namespace

void handleAttempt(AgentState &State, const wire::Attempt &Attempt,
                   const std::string &ReplyAddress, TimePoint Now,
                   AgentEffects &Out) {
  AttemptKey key{Attempt.request_id(), Attempt.number()};
  if (State.Attempts.contains(key)) {
    replyOutcome(Out, ReplyAddress, key, wire::ATTEMPT_NONE, "running");
    return;
  }
  auto ended = State.Ended.find(key);
  if (ended != State.Ended.end()) {
    replyOutcome(Out, ReplyAddress, key, ended->second.Outcome, "ended");
    return;
  }
  // An earlier agent process may have started it, so "not run" cannot be
  // stated.
  if (Attempt.agent_incarnation() != State.Options.Incarnation) {
    replyOutcome(Out, ReplyAddress, key, wire::ATTEMPT_FAILED,
                 "other_incarnation");
    return;
  }
  std::string reason = checkAdmission(State, Attempt, Now);
  if (!reason.empty()) {
    // A refusal is final: a later copy of this attempt is not started either.
    recordEnd(State, key, wire::ATTEMPT_NOT_RUN);
    replyOutcome(Out, ReplyAddress, key, wire::ATTEMPT_NOT_RUN, reason);
    return;
  }
  ActiveAttempt active;
  active.ReplyAddress = ReplyAddress;
  active.Row = Attempt.row();
  active.Digest = Attempt.digest();
  active.IsExclusive = Attempt.alone();
  active.NextProgress = Now + ProgressInterval;
  State.Attempts[key] = std::move(active);
  State.Rows[Attempt.row()].LastUse = Now;
  Out.push_back(StartExchange{key, Attempt});
  replyOutcome(Out, ReplyAddress, key, wire::ATTEMPT_NONE, "started");
}

void cancelAttempt(AgentState &State, const wire::AttemptCancel &Cancel,
                   const std::string &ReplyAddress, TimePoint Now,
                   AgentEffects &Out) {
  AttemptKey key{Cancel.request_id(), Cancel.number()};
  auto active = State.Attempts.find(key);
  if (active != State.Attempts.end()) {
    State.Rows[active->second.Row].LastUse = Now;
    State.Attempts.erase(active);
    recordEnd(State, key, wire::ATTEMPT_FAILED);
    Out.push_back(CancelExchange{key});
    replyOutcome(Out, ReplyAddress, key, wire::ATTEMPT_FAILED, "cancelled");
    return;
  }
  if (Cancel.agent_incarnation() != State.Options.Incarnation)
    return;
  if (!State.Ended.contains(key))
    recordEnd(State, key, wire::ATTEMPT_NOT_RUN);
  replyOutcome(Out, ReplyAddress, key, State.Ended[key].Outcome, "cancelled");
}

void forwardHead(AgentState &State, const EndpointHead &Head,
                 AgentEffects &Out) {
  auto active = State.Attempts.find(Head.Key);
  if (active == State.Attempts.end())
    return;
  // An engine that does not know the row has not executed the request; it may
  // be a new process that has not announced itself yet.
  bool isUnknownRow =
      State.Options.Service.empty() && Head.Status == StatusNotFound;
  if (isUnknownRow) {
    std::string address = active->second.ReplyAddress;
    State.Attempts.erase(active);
    recordEnd(State, Head.Key, wire::ATTEMPT_NOT_RUN);
    Out.push_back(CancelExchange{Head.Key});
    replyOutcome(Out, address, Head.Key, wire::ATTEMPT_NOT_RUN, "unknown_row");
    return;
  }
  active->second.HasHead = true;
  wire::AttemptReply attemptReply;
  attemptReply.set_outcome(wire::ATTEMPT_HEAD);
  attemptReply.set_status(Head.Status);
  for (const wire::Header &it : Head.Headers)
    *attemptReply.add_headers() = it;
  reply(Out, active->second.ReplyAddress, Head.Key, std::move(attemptReply));
}

void forwardBody(AgentState &State, const EndpointBody &Body,
                 AgentEffects &Out) {
  auto active = State.Attempts.find(Body.Key);
  if (active == State.Attempts.end())
    return;
  wire::AttemptReply attemptReply;
  attemptReply.set_outcome(wire::ATTEMPT_BODY);
  attemptReply.set_offset(active->second.Offset);
  attemptReply.set_body(Body.Bytes);
  active->second.Offset += Body.Bytes.size();
  reply(Out, active->second.ReplyAddress, Body.Key, std::move(attemptReply));
}

void completeAttempt(AgentState &State, const AttemptKey &Key, TimePoint Now,
                     AgentEffects &Out) {
  auto active = State.Attempts.find(Key);
  if (active == State.Attempts.end())
    return;
  wire::AttemptReply attemptReply;
  attemptReply.set_outcome(wire::ATTEMPT_END);
  attemptReply.set_length(active->second.Offset);
  reply(Out, active->second.ReplyAddress, Key, std::move(attemptReply));
  State.Rows[active->second.Row].LastUse = Now;
  State.Attempts.erase(active);
  recordEnd(State, Key, wire::ATTEMPT_FAILED);
}

void failAttempt(AgentState &State, const ExchangeFailed &Failure,
                 TimePoint Now, AgentEffects &Out) {
  auto active = State.Attempts.find(Failure.Key);
  if (active == State.Attempts.end())
    return;
  auto outcome = Failure.WasSent ? wire::ATTEMPT_FAILED : wire::ATTEMPT_NOT_RUN;
  if (Failure.WasSent)
    State.Failures.push_back({active->second.Digest, Now});
  std::string address = active->second.ReplyAddress;
  State.Rows[active->second.Row].LastUse = Now;
  State.Attempts.erase(active);
  recordEnd(State, Failure.Key, outcome);
  replyOutcome(Out, address, Failure.Key, outcome, "endpoint_broke");
}

void sendProgress(AgentState &State, TimePoint Now, AgentEffects &Out) {
  for (auto &[key, attempt] : State.Attempts) {
    if (!isPast(attempt.NextProgress, Now))
      continue;
    attempt.NextProgress = Now + ProgressInterval;
    State.Rows[attempt.Row].LastUse = Now;
    replyOutcome(Out, attempt.ReplyAddress, key, wire::ATTEMPT_NONE, "running");
  }
  while (!State.Failures.empty() &&
         Now - State.Failures.front().At > DeathWindow)
    State.Failures.pop_front();
}

void recordDeath(AgentState &State, uint64_t EngineIncarnation, TimePoint Now) {
  std::set<std::string> digests;
  for (const auto &[key, attempt] : State.Attempts)
    digests.insert(attempt.Digest);
  for (const RecentFailure &it : State.Failures)
    if (Now - it.At <= DeathWindow)
      digests.insert(it.Digest);
  State.Failures.clear();
  if (digests.empty())
    return;
  wire::DeathReport report;
  report.set_death(State.Options.Name + "/" +
                   std::to_string(EngineIncarnation));
  for (const std::string &it : digests)
    report.add_digests(it);
  State.Deaths[report.death()] = std::move(report);
}

} // namespace sassafras
