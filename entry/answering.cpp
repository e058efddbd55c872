#include "entry/entry_parts.h"

#include "core/timing.h"

#include <algorithm>
#include <charconv>

namespace sassafras {

namespace {

/// An attempt is taken as lost after this silence of its agent.
constexpr Millis AttemptSilence{3000};
/// An endpoint that refused is left alone for this long.
constexpr Millis AvoidPeriod{100};
/// Retries are a share of the traffic.
constexpr double RetryShare = 0.2;
constexpr double MostRetryBudget = 20;
/// A piece that others have overtaken must come within this time.
constexpr Millis GapLimit{1000};
/// Bytes at the end of a passed-on stream that are kept.
constexpr size_t HeldTail = 64;
/// Reason of an agent that is not the process an attempt was made for.
constexpr std::string_view OtherProcess = "other_incarnation";
constexpr std::string_view UsageField = "\"total_tokens\":";
constexpr std::string_view EventMark = "data:";
constexpr std::string_view StreamEnd = "data: [DONE]";

bool isClaimed(const RequestState &Request) {
  return !Request.ClaimDigest.empty();
}

/// A stream is passed on as it comes; everything else is held until whole.
bool isPassedOn(const RequestState &Request) {
  return Request.Caller.IsStream && Request.IsRepeatable &&
         Request.Status == 200;
}

void endAttempt(EntryState &State, RequestState &Request) {
  if (!Request.Attempt)
    return;
  uint32_t &n = State.InFlight[Request.Attempt->Endpoint];
  n -= n > 0;
  Request.Attempt.reset();
}

void cancelAttempt(const RequestState &Request, EntryEffects &Out) {
  if (!Request.Attempt)
    return;
  wire::Envelope message;
  message.mutable_attempt_cancel()->set_request_id(Request.Caller.Id);
  message.mutable_attempt_cancel()->set_number(Request.Attempts);
  message.mutable_attempt_cancel()->set_agent_incarnation(
      Request.Attempt->Incarnation);
  Out.push_back(EntrySend{Request.Attempt->Address, std::move(message)});
}

bool takeRetry(EntryState &State) {
  if (State.RetryBudget < 1)
    return false;
  State.RetryBudget -= 1;
  return true;
}

/// Tokens that cannot be given back when the answer did not end well.
uint64_t keptCharge(const RequestState &Request) {
  return Request.Attempts == 0 ? 0 : Request.Charged;
}

/// Tokens that the whole answer says it used; all that was charged when it
/// does not say.
uint64_t usedTokens(const RequestState &Request) {
  size_t at = Request.Held.rfind(UsageField);
  if (at != std::string::npos) {
    const char *start = Request.Held.data() + at + UsageField.size();
    const char *end = Request.Held.data() + Request.Held.size();
    while (start < end && *start == ' ')
      ++start;
    uint64_t n = 0;
    if (std::from_chars(start, end, n).ec == std::errc())
      return n;
  }
  if (Request.Events > 0)
    return Request.Caller.Prompt + Request.Events;
  return Request.Charged;
}

void retryOrRefuse(EntryState &State, const std::string &Id, RetryReason Reason,
                   RefusalReason Final, TimePoint Now, EntryEffects &Out) {
  RequestState &request = State.Requests.at(Id);
  endAttempt(State, request);
  bool mayRetry = request.IsRepeatable || !request.MayHaveRun;
  bool isAllowed = mayRetry && !request.IsHeadSent && !request.IsCallerGone &&
                   request.BrokenAttempts < MaxBrokenAttempts &&
                   !isPast(request.Deadline, Now);
  // A refusal by an agent costs no endpoint anything: only the deadline
  // bounds it.
  bool isCheap = Reason == RetryReason::AgentRefused;
  isAllowed = isAllowed &&
              (isCheap || (request.Attempts < MaxAttempts && takeRetry(State)));
  if (!isAllowed) {
    refuseRequest(State, Id,
                  {Final, RanState::NotRun, std::chrono::seconds(1), {}}, Now,
                  Out);
    return;
  }
  countEvent(Out, "retries_total",
             "reason=\"" + std::string(nameOf(Reason)) + "\"");
  enqueue(State, request, true);
}

void passHead(RequestState &Request, EntryEffects &Out) {
  Request.IsHeadSent = true;
  Out.push_back(AnswerHead{Request.Caller.Id, Request.Status, Request.Headers,
                           Request.Caller.IsStream});
}

uint64_t countEvents(std::string_view Bytes) {
  uint64_t n = 0;
  for (size_t at = Bytes.find(EventMark); at != std::string_view::npos;
       at = Bytes.find(EventMark, at + 1))
    ++n;
  return n;
}

/// The answer cannot be completed: try again or end it openly.
void breakAnswer(EntryState &State, const std::string &Id, RetryReason Reason,
                 TimePoint Now, EntryEffects &Out) {
  RequestState &request = State.Requests.at(Id);
  request.MayHaveRun = true;
  request.IsSuspect = true;
  ++request.BrokenAttempts;
  retryOrRefuse(State, Id, Reason, RefusalReason::EndpointFailed, Now, Out);
}

/// Takes the piece that comes next in order.
void appendPiece(RequestState &Request, std::string Bytes, EntryEffects &Out) {
  Request.Received += Bytes.size();
  Request.Held += Bytes;
  if (!isPassedOn(Request))
    return;
  Request.Events += countEvents(Bytes);
  // The last bytes are kept to see whether the stream ended as it should.
  if (Request.Held.size() > HeldTail)
    Request.Held.erase(0, Request.Held.size() - HeldTail);
  if (!Request.IsHeadSent)
    passHead(Request, Out);
  Out.push_back(AnswerBody{Request.Caller.Id, std::move(Bytes)});
}

bool isComplete(const RequestState &Request) {
  // An event stream of completions says itself when it is complete.
  return !isPassedOn(Request) ||
         Request.Held.find(StreamEnd) != std::string::npos;
}

void finishAnswer(EntryState &State, RequestState &Request, TimePoint Now,
                  EntryEffects &Out) {
  if (!isComplete(Request)) {
    breakAnswer(State, Request.Caller.Id, RetryReason::AnswerBroken, Now, Out);
    return;
  }
  endAttempt(State, Request);
  if (!isClaimed(Request)) {
    completeAnswer(State, Request, Now, Out);
    return;
  }
  // The outcome is recorded first, so that a resend finds it.
  Request.Stage = RequestStage::Recording;
  Request.Deadline = Now + 4 * timing::ProposalRetry;
  proposeClaim(State, Request, Now, Out);
}

/// Puts together what has come so far; links may change the order of pieces.
void assemble(EntryState &State, RequestState &Request, TimePoint Now,
              EntryEffects &Out) {
  while (Request.HasHead && !Request.Early.empty()) {
    auto next = Request.Early.begin();
    if (next->first > Request.Received)
      break;
    // What was seen already is a duplicate.
    if (next->first == Request.Received)
      appendPiece(Request, std::move(next->second), Out);
    Request.Early.erase(next);
  }
  bool isWhole = Request.HasHead && Request.Length == Request.Received;
  if (isWhole)
    finishAnswer(State, Request, Now, Out);
}

void takeHead(EntryState &State, RequestState &Request,
              const wire::AttemptReply &Reply, TimePoint Now,
              EntryEffects &Out) {
  if (Request.HasHead)
    return;
  Request.HasHead = true;
  Request.Status = Reply.status();
  Request.Headers.clear();
  for (const wire::Header &it : Reply.headers())
    Request.Headers.push_back({it.name(), it.value()});
  if (Request.WasCold)
    Out.push_back(ObserveCold{Now - Request.Arrived});
  assemble(State, Request, Now, Out);
}

bool isTooLarge(const RequestState &Request, size_t More) {
  size_t early = 0;
  for (const auto &[offset, bytes] : Request.Early)
    early += bytes.size();
  return Request.Held.size() + early + More > MaxHeldAnswer;
}

void takeBody(EntryState &State, RequestState &Request,
              const wire::AttemptReply &Reply, TimePoint Now,
              EntryEffects &Out) {
  if (Reply.offset() < Request.Received)
    return;
  if (isTooLarge(Request, Reply.body().size())) {
    cancelAttempt(Request, Out);
    breakAnswer(State, Request.Caller.Id, RetryReason::AnswerBroken, Now, Out);
    return;
  }
  if (Request.Early.empty())
    Request.GapDeadline = Now + GapLimit;
  Request.Early[Reply.offset()] = Reply.body();
  assemble(State, Request, Now, Out);
}

void takeEnd(EntryState &State, RequestState &Request,
             const wire::AttemptReply &Reply, TimePoint Now,
             EntryEffects &Out) {
  if (!Request.Length)
    Request.GapDeadline = Now + GapLimit;
  Request.Length = Reply.length();
  assemble(State, Request, Now, Out);
}

/// A piece is missing for so long that it must have been lost.
bool hasLostPiece(const RequestState &Request, TimePoint Now) {
  bool hasGap = !Request.Early.empty() || Request.Length;
  return hasGap && isPast(Request.GapDeadline, Now);
}

void takeNotRun(EntryState &State, RequestState &Request,
                const wire::AttemptReply &Reply, TimePoint Now,
                EntryEffects &Out) {
  if (Request.IsCallerGone) {
    refuseRequest(State, Request.Caller.Id, {RefusalReason::EndpointFailed},
                  Now, Out);
    return;
  }
  if (Now >= Request.AvoidUntil)
    Request.Avoid.clear();
  Request.Avoid.insert(Request.Attempt->Endpoint);
  Request.AvoidUntil = Now + AvoidPeriod;
  countEvent(Out, "agent_refusals_total", "reason=\"" + Reply.reason() + "\"");
  retryOrRefuse(State, Request.Caller.Id, RetryReason::AgentRefused,
                RefusalReason::NoCapacity, Now, Out);
}

/// The agent has restarted since the attempt was made for it.
void takeOtherProcess(EntryState &State, RequestState &Request, TimePoint Now,
                      EntryEffects &Out) {
  Request.MayHaveRun = true;
  Request.Avoid.insert(Request.Attempt->Endpoint);
  Request.AvoidUntil = Now + timing::HeartbeatPeriod;
  retryOrRefuse(State, Request.Caller.Id, RetryReason::EndpointLost,
                RefusalReason::EndpointFailed, Now, Out);
}

/// The agent of an attempt is silent or another one now.
bool isAttemptLost(const EntryState &State, const RequestState &Request,
                   TimePoint Now) {
  const RunningAttempt &attempt = *Request.Attempt;
  if (Now - attempt.LastHeard >= AttemptSilence)
    return true;
  const wire::Endpoint *endpoint =
      findEndpoint(State.View.Items, attempt.Endpoint);
  return !endpoint || endpoint->incarnation() != attempt.Incarnation;
}

void giveUpAttempt(EntryState &State, RequestState &Request, TimePoint Now,
                   EntryEffects &Out) {
  cancelAttempt(Request, Out);
  Request.MayHaveRun = true;
  Request.IsSuspect = true;
  ++Request.BrokenAttempts;
  retryOrRefuse(State, Request.Caller.Id, RetryReason::EndpointLost,
                RefusalReason::EndpointFailed, Now, Out);
}

/// A running answer ends when its key is withdrawn, or when the view has
/// been unconfirmed for too long to know.
bool mustCut(const EntryState &State, const RequestState &Request,
             TimePoint Now) {
  if (Request.Tenant.empty())
    return false;
  if (!isConfirmed(State.View, Now))
    return isPast(State.View.LeaseEnd + timing::ResponseGrace, Now);
  return !isKeyValid(State, Request);
}

} // namespace

void completeAnswer(EntryState &State, RequestState &Request, TimePoint Now,
                    EntryEffects &Out) {
  std::string id = Request.Caller.Id;
  if (!Request.IsHeadSent && !Request.IsCallerGone) {
    passHead(Request, Out);
    if (!Request.Held.empty())
      Out.push_back(AnswerBody{id, Request.Held});
  }
  if (Request.IsCallerGone) {
    ++State.Counts.Cancelled;
  } else {
    Out.push_back(AnswerEnd{id});
    ++State.Counts.Answered;
    countEvent(Out, "answered_total", "tenant=\"" + Request.Tenant + "\"");
  }
  State.RetryBudget = std::min(MostRetryBudget, State.RetryBudget + RetryShare);
  closeRequest(State, id, usedTokens(Request), Now);
}

void takeAttemptReply(EntryState &State, const wire::AttemptReply &Reply,
                      TimePoint Now, EntryEffects &Out) {
  auto it = State.Requests.find(Reply.request_id());
  if (it == State.Requests.end())
    return;
  RequestState &request = it->second;
  // Late answers of earlier attempts are not this attempt's.
  if (!request.Attempt || request.Attempts != Reply.number())
    return;
  request.Attempt->LastHeard = Now;
  request.Attempt->IsAcknowledged = true;
  switch (Reply.outcome()) {
  case wire::ATTEMPT_HEAD:
    return takeHead(State, request, Reply, Now, Out);
  case wire::ATTEMPT_BODY:
    return takeBody(State, request, Reply, Now, Out);
  case wire::ATTEMPT_END:
    return takeEnd(State, request, Reply, Now, Out);
  case wire::ATTEMPT_NOT_RUN:
    return takeNotRun(State, request, Reply, Now, Out);
  case wire::ATTEMPT_FAILED:
    if (Reply.reason() == OtherProcess)
      return takeOtherProcess(State, request, Now, Out);
    return breakAnswer(State, request.Caller.Id,
                       Reply.endpoint_died() ? RetryReason::EndpointDied
                                             : RetryReason::AnswerBroken,
                       Now, Out);
  default:
    return;
  }
}

void checkAttempts(EntryState &State, TimePoint Now, EntryEffects &Out) {
  std::vector<std::string> running;
  for (const auto &[id, request] : State.Requests)
    if (request.Attempt)
      running.push_back(id);
  for (const std::string &it : running) {
    RequestState &request = State.Requests.at(it);
    bool isCut = !isClaimed(request) && mustCut(State, request, Now);
    if (isCut) {
      cancelAttempt(request, Out);
      request.MayHaveRun = true;
      RefusalReason reason = isConfirmed(State.View, Now)
                                 ? RefusalReason::KeyUnknown
                                 : RefusalReason::KeyUnconfirmed;
      refuseRequest(State, it, {reason}, Now, Out);
    } else if (!request.HasHead && isPast(request.Attempt->HeadDeadline, Now)) {
      cancelAttempt(request, Out);
      request.MayHaveRun = true;
      refuseRequest(State, it,
                    {RefusalReason::DeadlineUnreachable,
                     RanState::MayHaveRun,
                     std::chrono::seconds(1),
                     {}},
                    Now, Out);
    } else if (hasLostPiece(request, Now)) {
      cancelAttempt(request, Out);
      breakAnswer(State, it, RetryReason::AnswerBroken, Now, Out);
    } else if (isAttemptLost(State, request, Now)) {
      giveUpAttempt(State, request, Now, Out);
    } else if (isPast(request.Attempt->NextResend, Now) &&
               !request.Attempt->IsAcknowledged) {
      resendAttempt(State, request, Now, Out);
    }
  }
}

void dropCaller(EntryState &State, const std::string &Id, bool IsSlow,
                TimePoint Now, EntryEffects &Out) {
  auto it = State.Requests.find(Id);
  if (it == State.Requests.end())
    return;
  RequestState &request = it->second;
  // What may run only once runs to its end, so that its outcome is known.
  bool mustFinish =
      isClaimed(request) &&
      (request.Attempt || request.Stage == RequestStage::Recording);
  if (mustFinish) {
    request.IsCallerGone = true;
    return;
  }
  cancelAttempt(request, Out);
  if (!request.MayHaveRun || request.Attempts == 0)
    releaseClaim(State, request);
  ++State.Counts.Cancelled;
  countEvent(Out, "cancelled_total",
             IsSlow ? "reason=\"slow_reader\"" : "reason=\"caller_gone\"");
  closeRequest(State, Id, keptCharge(request), Now);
}

void refuseRequest(EntryState &State, const std::string &Id, Refusal Why,
                   TimePoint Now, EntryEffects &Out) {
  RequestState &request = State.Requests.at(Id);
  if (request.MayHaveRun)
    Why.Ran = RanState::MayHaveRun;
  if (request.IsHeadSent)
    Why.Reason = RefusalReason::AnswerIncomplete == Why.Reason ||
                         Why.Reason == RefusalReason::EndpointFailed
                     ? RefusalReason::AnswerIncomplete
                     : Why.Reason;
  if (!request.MayHaveRun || request.Attempts == 0)
    releaseClaim(State, request);
  bool isFailure = Why.Reason == RefusalReason::EndpointFailed ||
                   request.IsHeadSent || request.MayHaveRun;
  if (request.IsCallerGone)
    ++State.Counts.Cancelled;
  else
    ++(isFailure ? State.Counts.Failed : State.Counts.Refused);
  countEvent(Out, "refusals_total",
             "reason=\"" + std::string(nameOf(Why.Reason)) + "\"");
  if (!request.Tenant.empty() && Why.Reason == RefusalReason::RateExceeded)
    countEvent(Out, "rate_refusals_total", "tenant=\"" + request.Tenant + "\"");
  if (request.IsHeadSent && !request.IsCallerGone)
    Out.push_back(AnswerAbort{Id, std::move(Why)});
  else if (!request.IsCallerGone)
    Out.push_back(AnswerRefusal{Id, std::move(Why)});
  closeRequest(State, Id, request.MayHaveRun ? keptCharge(request) : 0, Now);
}

void closeRequest(EntryState &State, const std::string &Id, uint64_t UsedTokens,
                  TimePoint Now) {
  RequestState &request = State.Requests.at(Id);
  endAttempt(State, request);
  dequeue(State, request);
  if (request.Charged > UsedTokens)
    returnCharge(State.Tokens, request.Tenant, request.Charged - UsedTokens,
                 request.ChargedAt, Now);
  State.Requests.erase(Id);
}

} // namespace sassafras
