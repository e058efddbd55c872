#include "entry/entry_internal.h"

#include "core/timing.h"

#include <algorithm>
#include <charconv>

namespace sassafras {

namespace {

/// An attempt is considered lost when its agent has sent nothing for this time.
constexpr Millis AttemptSilenceTimeout{3000};
/// For this time a request is not sent again to an endpoint that refused it.
constexpr Millis AvoidPeriod{100};
/// Retries added to the budget by each completed response. The budget limits
/// retries to a share of the traffic.
constexpr double RetryBudgetPerResponse = 0.2;
/// Maximum of the budget, in retries.
constexpr double MaxRetryBudget = 20;
/// A chunk that is missing while later ones, or the end of the response, have
/// arrived must arrive within this time.
constexpr Millis GapTimeout{1000};
/// Bytes kept of the end of a forwarded stream, to find its end marker.
constexpr size_t StreamTailBytes = 64;
/// Reason sent by an agent whose incarnation is not the one the attempt names.
constexpr std::string_view OtherIncarnationReason = "other_incarnation";
constexpr std::string_view UsageField = "\"total_tokens\":";
constexpr std::string_view EventPrefix = "data:";
constexpr std::string_view StreamEndMarker = "data: [DONE]";

bool hasClaim(const RequestState &Request) {
  return !Request.ClaimDigest.empty();
}

/// True when the response is a successful stream of a repeatable request. It is
/// forwarded as it arrives; every other response is buffered until complete.
bool isForwardedAsStream(const RequestState &Request) {
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

void sendAttemptCancel(const RequestState &Request, EntryEffects &Out) {
  if (!Request.Attempt)
    return;
  wire::Envelope message;
  message.mutable_attempt_cancel()->set_request_id(Request.Caller.Id);
  message.mutable_attempt_cancel()->set_number(Request.Attempts);
  message.mutable_attempt_cancel()->set_agent_incarnation(
      Request.Attempt->Incarnation);
  Out.push_back(EntrySend{Request.Attempt->Address, std::move(message)});
}

bool consumeRetryBudget(EntryState &State) {
  if (State.RetryBudget < 1)
    return false;
  State.RetryBudget -= 1;
  return true;
}

/// Tokens that are not returned when the response is not completed: the whole
/// charge once an attempt was made.
uint64_t nonRefundableTokens(const RequestState &Request) {
  return Request.Attempts == 0 ? 0 : Request.Charged;
}

/// Returns the tokens that a complete response used: as reported in its usage
/// field, else prompt plus number of streamed events, else the whole charge.
uint64_t usedTokens(const RequestState &Request) {
  size_t at = Request.BufferedBody.rfind(UsageField);
  if (at != std::string::npos) {
    const char *start = Request.BufferedBody.data() + at + UsageField.size();
    const char *end = Request.BufferedBody.data() + Request.BufferedBody.size();
    while (start < end && *start == ' ')
      ++start;
    uint64_t n = 0;
    if (std::from_chars(start, end, n).ec == std::errc())
      return n;
  }
  if (Request.EventCount > 0)
    return Request.Caller.Prompt + Request.EventCount;
  return Request.Charged;
}

void retryOrRefuse(EntryState &State, const std::string &Id, RetryReason Reason,
                   RefusalReason FinalReason, TimePoint Now,
                   EntryEffects &Out) {
  RequestState &request = State.Requests.at(Id);
  endAttempt(State, request);
  bool mayRetry = request.IsRepeatable || !request.MayHaveRun;
  bool isAllowed = mayRetry && !request.IsHeadSent &&
                   !request.IsCallerDisconnected &&
                   request.BrokenAttempts < MaxBrokenAttempts &&
                   !isPast(request.Deadline, Now);
  // A refusal by an agent puts no load on an endpoint, so it is limited neither
  // by MaxAttempts nor by the retry budget, only by the deadline.
  bool needsNoBudget = Reason == RetryReason::AgentRefused;
  isAllowed = isAllowed && (needsNoBudget || (request.Attempts < MaxAttempts &&
                                              consumeRetryBudget(State)));
  if (!isAllowed) {
    refuseRequest(State, Id,
                  {FinalReason, RanState::NotRun, std::chrono::seconds(1), {}},
                  Now, Out);
    return;
  }
  incrementCounter(Out, "retries_total",
                   "reason=\"" + std::string(nameOf(Reason)) + "\"");
  enqueue(State, request, true);
}

void sendResponseHead(RequestState &Request, EntryEffects &Out) {
  Request.IsHeadSent = true;
  Out.push_back(ResponseHead{Request.Caller.Id, Request.Status, Request.Headers,
                             Request.Caller.IsStream});
}

uint64_t countServerSentEvents(std::string_view Bytes) {
  uint64_t n = 0;
  for (size_t at = Bytes.find(EventPrefix); at != std::string_view::npos;
       at = Bytes.find(EventPrefix, at + 1))
    ++n;
  return n;
}

/// Handles a response that cannot be completed: retries the request, or ends it
/// with an error.
void handleBrokenResponse(EntryState &State, const std::string &Id,
                          RetryReason Reason, TimePoint Now,
                          EntryEffects &Out) {
  RequestState &request = State.Requests.at(Id);
  request.MayHaveRun = true;
  request.RunsAlone = true;
  ++request.BrokenAttempts;
  retryOrRefuse(State, Id, Reason, RefusalReason::EndpointFailed, Now, Out);
}

/// Appends the next chunk in order, and forwards it if the response is
/// streamed.
void appendChunk(RequestState &Request, std::string Bytes, EntryEffects &Out) {
  Request.ReceivedBytes += Bytes.size();
  Request.BufferedBody += Bytes;
  if (!isForwardedAsStream(Request))
    return;
  Request.EventCount += countServerSentEvents(Bytes);
  // Keep the last bytes to check that the stream ends with its end marker.
  if (Request.BufferedBody.size() > StreamTailBytes)
    Request.BufferedBody.erase(0,
                               Request.BufferedBody.size() - StreamTailBytes);
  if (!Request.IsHeadSent)
    sendResponseHead(Request, Out);
  Out.push_back(ResponseBody{Request.Caller.Id, std::move(Bytes)});
}

bool isComplete(const RequestState &Request) {
  // A completion's event stream carries its own end marker.
  return !isForwardedAsStream(Request) ||
         Request.BufferedBody.find(StreamEndMarker) != std::string::npos;
}

void finishResponse(EntryState &State, RequestState &Request, TimePoint Now,
                    EntryEffects &Out) {
  if (!isComplete(Request)) {
    handleBrokenResponse(State, Request.Caller.Id, RetryReason::AnswerBroken,
                         Now, Out);
    return;
  }
  endAttempt(State, Request);
  if (!hasClaim(Request)) {
    completeResponse(State, Request, Now, Out);
    return;
  }
  // Record the outcome before responding, so that a resend finds it.
  Request.Stage = RequestStage::Recording;
  Request.Deadline = Now + 4 * timing::ProposalRetry;
  sendClaimProposal(State, Request, Now, Out);
}

/// Appends received chunks in order of offset, since links may reorder
/// messages, and finishes the response once all of it has arrived.
void assembleResponse(EntryState &State, RequestState &Request, TimePoint Now,
                      EntryEffects &Out) {
  while (Request.HasHead && !Request.OutOfOrderChunks.empty()) {
    auto next = Request.OutOfOrderChunks.begin();
    if (next->first > Request.ReceivedBytes)
      break;
    // A chunk below the received offset is a duplicate.
    if (next->first == Request.ReceivedBytes)
      appendChunk(Request, std::move(next->second), Out);
    Request.OutOfOrderChunks.erase(next);
  }
  bool isFullyReceived =
      Request.HasHead && Request.BodyLength == Request.ReceivedBytes;
  if (isFullyReceived)
    finishResponse(State, Request, Now, Out);
}

void handleHead(EntryState &State, RequestState &Request,
                const wire::AttemptReply &Reply, TimePoint Now,
                EntryEffects &Out) {
  if (Request.HasHead)
    return;
  Request.HasHead = true;
  Request.Status = Reply.status();
  Request.Headers.clear();
  for (const wire::Header &it : Reply.headers())
    Request.Headers.push_back({it.name(), it.value()});
  if (Request.IsColdStart)
    Out.push_back(ObserveColdStart{Now - Request.ArrivedAt});
  assembleResponse(State, Request, Now, Out);
}

bool isTooLarge(const RequestState &Request, size_t AddedBytes) {
  size_t outOfOrderBytes = 0;
  for (const auto &[offset, bytes] : Request.OutOfOrderChunks)
    outOfOrderBytes += bytes.size();
  return Request.BufferedBody.size() + outOfOrderBytes + AddedBytes >
         MaxBufferedResponseBytes;
}

void handleBody(EntryState &State, RequestState &Request,
                const wire::AttemptReply &Reply, TimePoint Now,
                EntryEffects &Out) {
  if (Reply.offset() < Request.ReceivedBytes)
    return;
  if (isTooLarge(Request, Reply.body().size())) {
    sendAttemptCancel(Request, Out);
    handleBrokenResponse(State, Request.Caller.Id, RetryReason::AnswerBroken,
                         Now, Out);
    return;
  }
  if (Request.OutOfOrderChunks.empty())
    Request.GapDeadline = Now + GapTimeout;
  Request.OutOfOrderChunks[Reply.offset()] = Reply.body();
  assembleResponse(State, Request, Now, Out);
}

void handleEnd(EntryState &State, RequestState &Request,
               const wire::AttemptReply &Reply, TimePoint Now,
               EntryEffects &Out) {
  if (!Request.BodyLength)
    Request.GapDeadline = Now + GapTimeout;
  Request.BodyLength = Reply.length();
  assembleResponse(State, Request, Now, Out);
}

/// True when a chunk has been missing for so long that it must have been lost.
bool hasLostChunk(const RequestState &Request, TimePoint Now) {
  bool hasGap = !Request.OutOfOrderChunks.empty() || Request.BodyLength;
  return hasGap && isPast(Request.GapDeadline, Now);
}

void handleNotRun(EntryState &State, RequestState &Request,
                  const wire::AttemptReply &Reply, TimePoint Now,
                  EntryEffects &Out) {
  if (Request.IsCallerDisconnected) {
    refuseRequest(State, Request.Caller.Id, {RefusalReason::EndpointFailed},
                  Now, Out);
    return;
  }
  if (Now >= Request.AvoidUntil)
    Request.AvoidedEndpoints.clear();
  Request.AvoidedEndpoints.insert(Request.Attempt->Endpoint);
  Request.AvoidUntil = Now + AvoidPeriod;
  incrementCounter(Out, "agent_refusals_total",
                   "reason=\"" + Reply.reason() + "\"");
  retryOrRefuse(State, Request.Caller.Id, RetryReason::AgentRefused,
                RefusalReason::NoCapacity, Now, Out);
}

/// Handles a reply from an agent that has restarted since the attempt was sent.
void handleOtherIncarnation(EntryState &State, RequestState &Request,
                            TimePoint Now, EntryEffects &Out) {
  Request.MayHaveRun = true;
  Request.AvoidedEndpoints.insert(Request.Attempt->Endpoint);
  Request.AvoidUntil = Now + timing::HeartbeatPeriod;
  retryOrRefuse(State, Request.Caller.Id, RetryReason::EndpointLost,
                RefusalReason::EndpointFailed, Now, Out);
}

/// True when the agent of an attempt is silent, has restarted, or its endpoint
/// is no longer in the view.
bool isAttemptLost(const EntryState &State, const RequestState &Request,
                   TimePoint Now) {
  const RunningAttempt &attempt = *Request.Attempt;
  if (Now - attempt.LastReplyAt >= AttemptSilenceTimeout)
    return true;
  const wire::Endpoint *endpoint =
      findEndpoint(State.View.Items, attempt.Endpoint);
  return !endpoint || endpoint->incarnation() != attempt.Incarnation;
}

void abandonAttempt(EntryState &State, RequestState &Request, TimePoint Now,
                    EntryEffects &Out) {
  sendAttemptCancel(Request, Out);
  Request.MayHaveRun = true;
  Request.RunsAlone = true;
  ++Request.BrokenAttempts;
  retryOrRefuse(State, Request.Caller.Id, RetryReason::EndpointLost,
                RefusalReason::EndpointFailed, Now, Out);
}

/// True when a running attempt must end because its key was withdrawn, or
/// because the view has been unconfirmed for longer than ResponseGrace, so that
/// a withdrawal could not be seen.
bool mustTerminate(const EntryState &State, const RequestState &Request,
                   TimePoint Now) {
  if (Request.Organisation.empty())
    return false;
  if (!isConfirmed(State.View, Now))
    return isPast(State.View.LeaseEnd + timing::ResponseGrace, Now);
  return !isKeyValid(State, Request);
}

} // namespace

void completeResponse(EntryState &State, RequestState &Request, TimePoint Now,
                      EntryEffects &Out) {
  std::string id = Request.Caller.Id;
  if (!Request.IsHeadSent && !Request.IsCallerDisconnected) {
    sendResponseHead(Request, Out);
    if (!Request.BufferedBody.empty())
      Out.push_back(ResponseBody{id, Request.BufferedBody});
  }
  if (Request.IsCallerDisconnected) {
    ++State.Counts.Cancelled;
  } else {
    Out.push_back(ResponseEnd{id});
    ++State.Counts.Answered;
    incrementCounter(Out, "answered_total",
                     "tenant=\"" + Request.Organisation + "\"");
  }
  State.RetryBudget =
      std::min(MaxRetryBudget, State.RetryBudget + RetryBudgetPerResponse);
  closeRequest(State, id, usedTokens(Request), Now);
}

void handleAttemptReply(EntryState &State, const wire::AttemptReply &Reply,
                        TimePoint Now, EntryEffects &Out) {
  auto it = State.Requests.find(Reply.request_id());
  if (it == State.Requests.end())
    return;
  RequestState &request = it->second;
  // Ignore late replies to earlier attempts.
  if (!request.Attempt || request.Attempts != Reply.number())
    return;
  request.Attempt->LastReplyAt = Now;
  request.Attempt->IsAcknowledged = true;
  switch (Reply.outcome()) {
  case wire::ATTEMPT_HEAD:
    return handleHead(State, request, Reply, Now, Out);
  case wire::ATTEMPT_BODY:
    return handleBody(State, request, Reply, Now, Out);
  case wire::ATTEMPT_END:
    return handleEnd(State, request, Reply, Now, Out);
  case wire::ATTEMPT_NOT_RUN:
    return handleNotRun(State, request, Reply, Now, Out);
  case wire::ATTEMPT_FAILED:
    if (Reply.reason() == OtherIncarnationReason)
      return handleOtherIncarnation(State, request, Now, Out);
    return handleBrokenResponse(State, request.Caller.Id,
                                Reply.endpoint_died()
                                    ? RetryReason::EndpointDied
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
    bool isTerminated =
        !hasClaim(request) && mustTerminate(State, request, Now);
    if (isTerminated) {
      sendAttemptCancel(request, Out);
      request.MayHaveRun = true;
      RefusalReason reason = isConfirmed(State.View, Now)
                                 ? RefusalReason::KeyUnknown
                                 : RefusalReason::KeyUnconfirmed;
      refuseRequest(State, it, {reason}, Now, Out);
    } else if (!request.HasHead && isPast(request.Attempt->HeadDeadline, Now)) {
      sendAttemptCancel(request, Out);
      request.MayHaveRun = true;
      refuseRequest(State, it,
                    {RefusalReason::DeadlineUnreachable,
                     RanState::MayHaveRun,
                     std::chrono::seconds(1),
                     {}},
                    Now, Out);
    } else if (hasLostChunk(request, Now)) {
      sendAttemptCancel(request, Out);
      handleBrokenResponse(State, it, RetryReason::AnswerBroken, Now, Out);
    } else if (isAttemptLost(State, request, Now)) {
      abandonAttempt(State, request, Now, Out);
    } else if (isPast(request.Attempt->NextResend, Now) &&
               !request.Attempt->IsAcknowledged) {
      resendAttempt(State, request, Now, Out);
    }
  }
}

void handleCallerLoss(EntryState &State, const std::string &Id, bool IsSlow,
                      TimePoint Now, EntryEffects &Out) {
  auto it = State.Requests.find(Id);
  if (it == State.Requests.end())
    return;
  RequestState &request = it->second;
  // A request with a claim must run at most once. It runs to its end, so that
  // its outcome is recorded.
  bool mustFinish =
      hasClaim(request) &&
      (request.Attempt || request.Stage == RequestStage::Recording);
  if (mustFinish) {
    request.IsCallerDisconnected = true;
    return;
  }
  sendAttemptCancel(request, Out);
  if (!request.MayHaveRun || request.Attempts == 0)
    releaseClaim(State, request);
  ++State.Counts.Cancelled;
  incrementCounter(Out, "cancelled_total",
                   IsSlow ? "reason=\"slow_reader\""
                          : "reason=\"caller_gone\"");
  closeRequest(State, Id, nonRefundableTokens(request), Now);
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
  if (request.IsCallerDisconnected)
    ++State.Counts.Cancelled;
  else
    ++(isFailure ? State.Counts.Failed : State.Counts.Refused);
  incrementCounter(Out, "refusals_total",
                   "reason=\"" + std::string(nameOf(Why.Reason)) + "\"");
  if (!request.Organisation.empty() &&
      Why.Reason == RefusalReason::RateExceeded)
    incrementCounter(Out, "rate_refusals_total",
                     "tenant=\"" + request.Organisation + "\"");
  if (request.IsHeadSent && !request.IsCallerDisconnected)
    Out.push_back(ResponseAbort{Id, std::move(Why)});
  else if (!request.IsCallerDisconnected)
    Out.push_back(RefusalResponse{Id, std::move(Why)});
  closeRequest(State, Id, request.MayHaveRun ? nonRefundableTokens(request) : 0,
               Now);
}

void closeRequest(EntryState &State, const std::string &Id, uint64_t UsedTokens,
                  TimePoint Now) {
  RequestState &request = State.Requests.at(Id);
  endAttempt(State, request);
  dequeue(State, request);
  if (request.Charged > UsedTokens)
    queueRefund(State.Tokens, request.Organisation,
                request.Charged - UsedTokens, request.ChargedAt, Now);
  State.Requests.erase(Id);
}

} // namespace sassafras
