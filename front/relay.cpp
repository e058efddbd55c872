#include "front/relay.h"

#include "core/guard.h"
#include "core/logging.h"
#include "core/metrics.h"
#include "front/crash_notices.h"
#include "front/endpoint_statements.h"
#include "front/process_query.h"
#include "front/stream_end_check.h"
#include "front/stream_origins.h"
#include "front/zone_departure.h"
#include "platform/caller_codec.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>

namespace sassafras {

namespace {

/// Connecting within the fleet takes a few milliseconds, and less than this
/// even when one packet is lost.
constexpr Millis ConnectTimeout{700};
/// Persistent connections that were idle for longer are not used for requests
/// that must not run twice: the endpoint may be closing them.
constexpr Millis MaxIdleNonRepeatable{1'500};
/// The same for requests that may be repeated.
constexpr Millis MaxIdle{8'000};
/// Responses of up to this size in bytes are buffered until they are complete,
/// so that an incomplete one can be replaced by a retry.
constexpr size_t MaxBufferedResponse = 256ULL * 1024;
/// Largest event of a stream, in bytes. An endpoint in trouble may send bytes
/// without an end of an event.
constexpr size_t MaxEventBytes = 256ULL * 1024;
/// Between a question about a process that was reset and the next one.
constexpr Millis QueryPause{100};
/// Bytes of a stream that are read before its process is proved.
constexpr size_t MaxHeldBytes = 256ULL * 1024;
/// Between looks at what is known of a process.
constexpr Millis ProofPollInterval{10};
constexpr unsigned StatusMisdirected = 421;
constexpr unsigned StatusClientClosed = 499; ///< For the log only.
constexpr unsigned StatusInternalError = 500;

bool isSuccess(unsigned Status) { return Status >= 200 && Status < 300; }

/// Statuses that mean that the request has not run.
bool isNotRunStatus(unsigned Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

bool isEventStream(const HttpResponseHead &Head) {
  return fieldOf(Head.Fields, "content-type").starts_with("text/event-stream");
}

/// Other encodings have no end of their own.
bool isChunked(const HttpResponseHead &Head) {
  constexpr std::string_view Chunked = "chunked";
  std::string_view last = fieldOf(Head.Fields, "transfer-encoding");
  if (last.size() < Chunked.size())
    return false;
  last.remove_prefix(last.size() - Chunked.size());
  return boost::beast::iequals(last, Chunked);
}

std::string textOf(const std::optional<uint64_t> &Id) {
  return Id ? std::to_string(*Id) : "";
}

/// Time since \p At in milliseconds; empty if it is zero.
std::string textOfAge(TimePoint At) {
  return At == TimePoint() ? "" : std::to_string(toMillis(Clock::now() - At));
}

std::string refusalBody(const FrontRequest &Request,
                        const FrontRefusal &Refusal) {
  return R"({"error":{"reason":")" + std::string(nameOf(Refusal.Reason)) +
         R"(","ran":")" + (Request.Runs > 0 ? "unknown" : "not_run") +
         R"(","request":")" + Request.Attributes.Id + "\"}}\n";
}

} // namespace

Relay::Relay(FrontCore &Core, FrontRequest Request, HttpRequest Message,
             std::shared_ptr<HttpExchange> Exchange)
    : Core(Core), Request(std::move(Request)), Message(std::move(Message)),
      RequestBody(
          std::make_shared<const std::string>(std::move(this->Message.Body))),
      Exchange(std::move(Exchange)), Timer(Core.Io), BufferCharge(Core.Memory),
      ProofTimer(Core.Io) {}

void Relay::start() {
  Core.Relays[Request.Number] = shared_from_this();
  Core.ByExchange[Exchange.get()] = Request.Number;
  startDeadlineTimer(Request.Deadline);
  dispatch();
}

/// Runs a step of the request. If it fails, the request ends, and with it all
/// that the step may have left half done for it.
template <class Function> void Relay::guard(Function Step) {
  auto keepAlive = shared_from_this();
  if (runGuarded(Core.Counts, "relay", Step) || IsOver)
    return;
  Request.Runs += Call != nullptr;
  runGuarded(Core.Counts, "relay_end", [&] {
    refuse({RefusalReason::EndpointFailed, {}});
  });
}

void Relay::startDeadlineTimer(TimePoint At) {
  Timer.expires_after(At - Clock::now());
  Timer.async_wait([self = shared_from_this()](auto ec) {
    if (!ec && !self->IsOver)
      self->guard([&] { self->handleDeadline(); });
  });
}

void Relay::handleDeadline() {
  if (IsResponseStarted) {
    Core.Counts.count("stream_timeouts_total");
    abortResponse("timeout_streaming");
    return;
  }
  bool isSent = Call != nullptr;
  Request.Runs += isSent;
  refuse({Request.Runs > 0 ? RefusalReason::TimeoutRunning
                           : RefusalReason::TimeoutWaiting,
          {}});
}

void Relay::setWaiting(bool IsNowWaiting) {
  if (IsWaiting == IsNowWaiting)
    return;
  IsWaiting = IsNowWaiting;
  if (IsWaiting)
    recordWaiting(Core.State, Request);
  else
    Core.State.WaitingRequests.erase(Request.Number);
}

bool Relay::dispatch() {
  if (IsOver || Call || EndCheck)
    return true;
  guard(
      [&] { applyResult(decideDispatch(Core.State, Request, Clock::now())); });
  return !IsWaiting;
}

void Relay::applyResult(const DispatchResult &Result) {
  NodeMessages messages;
  for (const AdapterLoadRequest &it : Result.AdapterRequests) {
    wire::Envelope message;
    *message.mutable_adapter_wish() = it.Payload;
    messages.push_back({it.Agent, std::move(message)});
  }
  if (Result.LoadRequest) {
    logEvent(LogLevel::Info, "load_asked",
             {{"id", Request.Attributes.Id},
              {"model", Result.LoadRequest->Order.load()},
              {"engine", Result.LoadRequest->Order.engine_address()},
              {"leader", Core.State.Leader.Node}});
    wire::Envelope message;
    *message.mutable_engine_order() = Result.LoadRequest->Order;
    messages.push_back({Result.LoadRequest->Agent, std::move(message)});
  }
  if (!messages.empty())
    Core.Send(std::move(messages));
  if (Result.DemandReport)
    Core.ReportDemand(*Result.DemandReport);
  if (Result.PoolQuotaRequest)
    Core.RequestTokens(*Result.PoolQuotaRequest);
  if (!Result.OriginQueries.empty()) {
    Core.Counts.count("stream_origin_lookups_total");
    Core.Send(Result.OriginQueries);
  }
  if (Result.PermitRequest)
    Core.RequestPermits(*Result.PermitRequest);
  if (auto *target = std::get_if<SendTo>(&Result.Decision)) {
    setWaiting(false);
    // The event of the caller's close may still be queued behind others. Asked
    // again before the request is sent; this saves the connection.
    if (Exchange->hasCallerLeft())
      abandon();
    else
      send(*target);
  } else if (auto *refusal = std::get_if<FrontRefusal>(&Result.Decision)) {
    setWaiting(false);
    refuse(*refusal);
  } else {
    setWaiting(true);
  }
}

void Relay::send(const SendTo &Chosen) {
  TimePoint now = Clock::now();
  Target = Chosen;
  Endpoint = Chosen.Endpoint;
  SentAt = now;
  AnsweredAt = TimePoint();
  ConnectedAt = TimePoint();
  HasHead = false;
  IsProven = false;
  IsNotRun = false;
  IsStream = false;
  HasOrigin = false;
  IsTailDue = false;
  Times = {};
  Times.LoadBefore = Chosen.Load;
  StatedPace.reset();
  dropProof();
  // Endpoints of other routes do not go on with a stream, whatever its caller
  // asks for.
  beginExchange(Order,
                Request.Route->IsResumable ? Request.LastEvent : std::nullopt);
  Body.clear();
  DiscardedBytes = 0;
  Claim = makeClaim(Core.State, Endpoint,
                    findEngineSpec(Core.State, Request.Service) != nullptr);
  if (Order.LastHad)
    logStreamResumption(Core.State, Request, Endpoint, now);
  recordDispatch(Core.State, Request, Endpoint, now);
  if (Target.Crossing)
    Core.Counts.count("zone_decisions_total",
                      "reason=\"" +
                          std::string(nameOf(Target.Crossing->Reason)) + "\"");
  if (Request.Sends == 1)
    observe("queue_seconds", now - Request.ArrivedAt);
  Millis left = std::chrono::duration_cast<Millis>(Request.Deadline - now);
  platform::EndpointFields fields{left, Endpoint, Request.Organisation,
                                  Request.Urgency, Request.LastEvent};
  HttpRequest message = Message;
  platform::setEndpointFields(message, fields);
  HttpCallbacks callbacks;
  auto self = shared_from_this();
  callbacks.MaySend = [self] {
    if (!self->Exchange->hasCallerLeft())
      return true;
    self->abandon();
    return false;
  };
  callbacks.OnHead = [self](HttpResponseHead Head) {
    self->guard([&] { self->handleHead(std::move(Head)); });
  };
  callbacks.OnBody = [self](std::string_view Bytes) {
    self->guard([&] { self->receiveBody(Bytes); });
  };
  callbacks.OnEnd = [self] { self->guard([&] { self->handleEnd(); }); };
  callbacks.OnFailure = [self](HttpFailure CallFailure) {
    self->guard([&] { self->handleFailure(CallFailure); });
  };
  HttpCallOptions options{std::min(ConnectTimeout, left), left + ConnectTimeout,
                          Request.IsRepeatable ? MaxIdle
                                               : MaxIdleNonRepeatable};
  // A faulty endpoint may write the refusal of the first send again, which has
  // this request's id; on a new connection nothing of it can arrive.
  options.NeedsNewConnection = !SentTo.insert(Target.Address).second;
  Call = Core.Client.start(Target.Address, message, options,
                           std::move(callbacks), RequestBody);
}

/// A response to another request, or a successful one without the endpoint's
/// seal, must not reach the caller.
bool Relay::isTrusted(const HttpResponseHead &Head) const {
  auto fields = platform::readResponseFields(Head.Status, Head.Fields);
  if (fields.IsAmbiguous)
    return false;
  // Without an id, it may respond to an earlier request on the connection.
  if (fields.RequestId != Request.Attributes.Id)
    return fields.RequestId.empty() && Head.IsFirstOnConnection &&
           !isSuccess(Head.Status);
  return fields.IsSealed || !isSuccess(Head.Status);
}

void Relay::handleHead(HttpResponseHead NewHead) {
  if (IsOver)
    return;
  TimePoint now = Clock::now();
  auto fields = platform::readResponseFields(NewHead.Status, NewHead.Fields);
  if (!isTrusted(NewHead)) {
    Core.Counts.count("answers_distrusted_total");
    cancelExchange(ExchangeFailure::Broken);
    return;
  }
  if (fields.HasInvalidLoad)
    recordInvalidLoad(now);
  if (fields.Load)
    recordLoadReport(Core.State.Records[Endpoint],
                     fields.Load->Running + fields.Load->Waiting,
                     findEngineSpec(Core.State, Request.Service)
                         ? EngineReportLifetime
                         : PlainReportLifetime,
                     now);
  if (fields.Load)
    StatedPace = fields.Load->PacePercent;
  if (StatedPace)
    recordPace(Core.State.Records[Endpoint],
               static_cast<double>(*StatedPace) / UsualPacePercent, now);
  // An answer without an id may belong to another request.
  if (!fields.RequestId.empty())
    recordStatements(fields, now);
  AnsweredAt = now;
  ConnectedAt = NewHead.ConnectedAt;
  recordConnection(NewHead, now);
  recordLifeSign(Core.State, Endpoint, ConnectedAt, now);
  HasHead = true;
  IsNotRun = fields.IsNotRun;
  IsUnframed =
      !NewHead.Length && !isChunked(NewHead) && !hasNoContent(NewHead.Status);
  // After the first event only a stream can go on, whatever the status says.
  bool isStreaming = Request.Route->Kind == RequestKind::Streaming &&
                     isSuccess(NewHead.Status) &&
                     (!IsStreamStarted || isEventStream(NewHead));
  // A resumed stream keeps the head from its first endpoint.
  if (!IsResponseStarted)
    Head = std::move(NewHead);
  if (IsNotRun || !isStreaming)
    return;
  if (needsProof())
    startProof();
  else
    startStream();
}

void Relay::recordConnection(const HttpResponseHead &NewHead, TimePoint Now) {
  auto known = Core.State.Directory.Endpoints.find(Endpoint);
  if (!NewHead.IsFirstOnConnection || NewHead.ConnectedAt < SentAt ||
      known == Core.State.Directory.Endpoints.end())
    return;
  recordConnectTime(Core.State, known->second.Zone,
                    NewHead.ConnectedAt - SentAt, Now);
}

void Relay::recordInvalidLoad(TimePoint Now) {
  Core.Counts.count("endpoint_loads_invalid_total");
  if (!isPast(Core.NextInvalidLoadLog, Now))
    return;
  Core.NextInvalidLoadLog = Now + InvalidLoadLogPeriod;
  logEvent(LogLevel::Warning, "endpoint_load_invalid",
           {{"endpoint", Endpoint},
            {"count", std::to_string(
                          Core.Counts.read("endpoint_loads_invalid_total"))}});
}

void Relay::startStream() {
  IsStream = true;
  IsStreamStarted = true;
  startResponse();
}

/// True if the caller has events that must not be joined to those of another
/// software version.
bool Relay::needsProof() const { return Order.LastHad.has_value(); }

/// Finds out whether the exchange runs at the process whose version is known;
/// what it brings is held meanwhile.
void Relay::startProof() {
  beginProof(Core.State, Claim, ConnectedAt, Unproven.contains(Endpoint),
             AnsweredAt);
  IsProofPending = true;
  if (Claim.IsQueried && Claim.BornMs != 0)
    queryProcess();
  continueProof();
}

void Relay::queryProcess() {
  ProofCall = startProcessQuery(
      Core.Client, Target.Address, Endpoint,
      std::min(Request.Deadline, Claim.QueryDeadline),
      [self = shared_from_this()](const ProcessAnswer &Answer) {
        self->guard([&] {
          self->ProofAnswer = Answer;
          self->NextQueryAt = Clock::now() + QueryPause;
          self->continueProof();
        });
      });
}

void Relay::continueProof() {
  if (IsOver || !IsProofPending)
    return;
  ProcessVerdict verdict =
      judgeProcess(Core.State, Claim, ProofAnswer, Clock::now());
  if (verdict != ProcessVerdict::Pending) {
    endProof(verdict);
    return;
  }
  if (ProofAnswer && ProofAnswer->IsReset &&
      isPast(NextQueryAt, Clock::now())) {
    ProofAnswer.reset();
    queryProcess();
  }
  ProofTimer.expires_after(ProofPollInterval);
  ProofTimer.async_wait([self = shared_from_this()](auto ec) {
    if (!ec)
      self->guard([&] { self->continueProof(); });
  });
}

void Relay::endProof(ProcessVerdict Verdict) {
  TimePoint now = Clock::now();
  std::string verdict(nameOf(Verdict));
  Core.Counts.count("stream_processes_checked_total",
                    "process=\"" + verdict + '"');
  logEvent(Verdict == ProcessVerdict::Ended ? LogLevel::Warning
                                            : LogLevel::Info,
           "stream_process_checked",
           {{"id", Request.Attributes.Id},
            {"endpoint", Endpoint},
            {"address", Target.Address},
            {"process", verdict},
            {"born_ms", std::to_string(Claim.BornMs)},
            {"answered", ProofAnswer && ProofAnswer->IsAnswered ? "yes" : "no"},
            {"reset", ProofAnswer && ProofAnswer->IsReset ? "yes" : "no"},
            {"stated_born_ms",
             std::to_string(ProofAnswer ? ProofAnswer->StatedBornMs : 0)},
            {"waited_ms", std::to_string(toMillis(now - Claim.HeadAt))},
            {"last_event", textOf(Request.LastEvent)}});
  std::string bytes = std::move(HeldBytes);
  std::optional<HttpFailure> failure = HeldFailure;
  bool isEnded = IsEndHeld;
  dropProof();
  if (Verdict == ProcessVerdict::Ended) {
    recordConnectionLoss(Core.State, Endpoint, now);
    cancelExchange(ExchangeFailure::Broken);
    return;
  }
  if (Verdict == ProcessVerdict::Unproven)
    Unproven.insert(Endpoint);
  if (Verdict == ProcessVerdict::Same)
    recordSameProcess(Core.State, Endpoint);
  startStream();
  std::shared_ptr<HttpCall> call = Call;
  if (!bytes.empty())
    handleBody(bytes);
  if (IsOver || Call != call)
    return;
  if (failure)
    handleFailure(*failure);
  else if (isEnded)
    handleEnd();
  else if (Exchange->hasRoom())
    Call->resume();
}

void Relay::dropProof() {
  IsProofPending = false;
  ProofTimer.cancel();
  if (ProofCall)
    ProofCall->cancel();
  ProofCall.reset();
  ProofAnswer.reset();
  HeldBytes.clear();
  HeldFailure.reset();
  IsEndHeld = false;
}

/// Records what the endpoint states of itself in a trusted answer.
void Relay::recordStatements(const platform::ResponseFields &Fields,
                             TimePoint Now) {
  if (Fields.IsLeaving)
    recordLeaving(Core.State, Endpoint, Now);
  if (Fields.HasInvalidCold)
    Core.Counts.count("statements_invalid_total", "kind=\"cold\"");
  if (Fields.ColdLeft && *Fields.ColdLeft > Millis(0))
    recordStatedCold(Core.State, Endpoint, *Fields.ColdLeft, Now);
  if (Fields.HasInvalidPause)
    Core.Counts.count("statements_invalid_total", "kind=\"pause\"");
  if (Fields.Pause && Fields.IsNotRun)
    recordPause(Core.State, Endpoint, *Fields.Pause, Now);
  StatedLimit = Fields.RequestLimit.PerSecond;
  if (Fields.RequestLimit.IsInvalid) {
    Core.Counts.count("statements_invalid_total", "kind=\"limit\"");
    return;
  }
  recordStatedLimit(Core.State, Endpoint, StatedLimit, SentAt, Now);
}

void Relay::startResponse() {
  if (IsResponseStarted)
    return;
  IsResponseStarted = true;
  FirstByteAt = Clock::now();
  observe("first_byte_seconds", FirstByteAt - Request.ArrivedAt);
  Exchange->start(Head.Status, Head.Fields,
                  IsStream ? std::nullopt : Head.Length);
}

/// Takes a part of the response from the endpoint.
void Relay::receiveBody(std::string_view Bytes) {
  if (IsOver)
    return;
  // The stream goes on beyond what this process can forward.
  if (IsStream && IsLastExchange)
    endByStop();
  else
    handleBody(Bytes);
}

void Relay::handleBody(std::string_view Bytes) {
  if (IsOver)
    return;
  if (IsProofPending) {
    HeldBytes += Bytes;
    if (!BufferCharge.tryResize(HeldBytes.size()))
      cancelOversized(ExchangeFailure::Broken, HeldBytes.size());
    else if (HeldBytes.size() > MaxHeldBytes)
      Call->pause();
    return;
  }
  if (IsStream) {
    bool isInOrder = forwardEvents(takeCompleteEvents(EventBuffer, Bytes));
    // The caller may have been found to be too slow meanwhile.
    if (IsOver)
      return;
    if (!isInOrder) {
      cancelExchange(ExchangeFailure::Broken);
      return;
    }
    size_t n = EventBuffer.Incomplete.size();
    if (n > MaxEventBytes || !BufferCharge.tryResize(n))
      cancelOversized(ExchangeFailure::Broken, n);
    return;
  }
  // The body of a failed attempt to resume a stream is discarded.
  if (IsStreamStarted) {
    DiscardedBytes += Bytes.size();
    if (DiscardedBytes > MaxBufferedResponse)
      cancelOversized(IsNotRun ? ExchangeFailure::Rejected
                               : ExchangeFailure::Error,
                      DiscardedBytes);
    return;
  }
  if (IsResponseStarted) {
    writeToCaller(std::string(Bytes));
    return;
  }
  Body += Bytes;
  if (Body.size() <= MaxBufferedResponse && BufferCharge.tryResize(Body.size()))
    return;
  if (IsNotRun) {
    cancelOversized(ExchangeFailure::Rejected, Body.size());
    return;
  }
  // Its head would deny a run that the endpoint did not deny.
  if (isNotRunStatus(Head.Status)) {
    cancelOversized(ExchangeFailure::Broken, Body.size());
    return;
  }
  startResponse();
  writeToCaller(std::move(Body));
  Body.clear();
  BufferCharge.set(0);
}

/// Writes a part of the response. While the caller reads slowly, so does the
/// exchange with the endpoint.
void Relay::writeToCaller(std::string Bytes) {
  Exchange->write(std::move(Bytes));
  if (Call && !Exchange->hasRoom())
    Call->pause();
}

void Relay::handleRoom() {
  if (Call && !IsProofPending)
    Call->resume();
}

/// Records, before the first event of an exchange, which version goes on. False
/// if the stream must not go on at this endpoint.
bool Relay::mayForwardEvents() {
  if (HasOrigin)
    return true;
  recordJoint();
  NodeMessages messages;
  HasOrigin =
      recordStreamOrigin(Core.State, Request, Endpoint, Clock::now(), messages);
  Core.Send(std::move(messages));
  if (!HasOrigin) {
    Core.Counts.count("answers_of_other_version_total");
    logEvent(LogLevel::Warning, "answer_of_other_version",
             {{"id", Request.Attributes.Id}, {"endpoint", Endpoint}});
  }
  return HasOrigin;
}

bool Relay::forwardEvents(const SsePieces &Pieces) {
  std::string due = IsTailDue ? Pieces.Tail : "";
  bool isInOrder = true;
  for (const SseEvent &it : Pieces.Events) {
    if (it.IsComment) {
      due += it.Bytes;
      IsTailDue = true;
      continue;
    }
    OrderBreak found = checkEvent(Order, it.Id);
    if (found != OrderBreak::None)
      recordOrderBreak(found, it.Id);
    isInOrder = found == OrderBreak::None && mayForwardEvents();
    IsTailDue = isInOrder;
    if (!isInOrder)
      break;
    due += it.Bytes;
    HasEvents = true;
    ++Times.Count;
    if (it.Id)
      Request.LastEvent = it.Id;
  }
  if (!due.empty())
    writeEvents(std::move(due));
  return isInOrder;
}

/// Records that the exchange does not continue the stream in order.
void Relay::recordOrderBreak(OrderBreak Found,
                             std::optional<uint64_t> Received) {
  std::string reason(nameOf(Found));
  Core.Counts.count("stream_orders_broken_total", "reason=\"" + reason + '"');
  logEvent(LogLevel::Warning, "stream_order_broken",
           {{"id", Request.Attributes.Id},
            {"endpoint", Endpoint},
            {"reason", reason},
            {"last_event", textOf(Request.LastEvent)},
            {"received", textOf(Received)}});
}

/// Records, once for each exchange, where it joins the events before it.
void Relay::recordJoint() {
  if (!Order.LastHad)
    return;
  logEvent(LogLevel::Info, "stream_joined",
           {{"id", Request.Attributes.Id},
            {"endpoint", Endpoint},
            {"last_event", textOf(Order.LastHad)},
            {"first_received", textOf(Order.FirstId)}});
}

void Relay::writeEvents(std::string Events) {
  TimePoint now = Clock::now();
  if (LastEventAt != TimePoint()) {
    observe("gap_seconds", now - LastEventAt);
    LongestGap = std::max(LongestGap, now - LastEventAt);
  }
  LastEventAt = now;
  Times.Last = now;
  if (Times.First == TimePoint())
    Times.First = now;
  recordLifeSign(Core.State, Endpoint, ConnectedAt, now);
  if (now - AnsweredAt >= ProvenRunTime)
    recordProof();
  writeToCaller(std::move(Events));
}

void Relay::recordProof() {
  if (IsProven)
    return;
  IsProven = true;
  recordProvenRun(Core.State, Request, {Endpoint, AnsweredAt, TimePoint()},
                  Clock::now());
}

void Relay::recordBreak(TimePoint AliveAfter) {
  // Who answered a request was there when it was sent.
  if (AnsweredAt != TimePoint())
    AliveAfter = std::max(AliveAfter, SentAt);
  recordBrokenRun(Core.State, Request, {Endpoint, AnsweredAt, AliveAfter},
                  Clock::now());
}

void Relay::handleEnd() {
  if (IsOver)
    return;
  TimePoint endedAt = Call->endedAt();
  if (IsProofPending) {
    IsEndHeld = true;
    // The longer ago the end is, the less shows that its process still runs.
    if (IsUnframed)
      startEndCheck(endedAt);
    return;
  }
  Call.reset();
  recordExchangeEnd(Core.State, Request, Endpoint);
  recordEventTimes(Core.State, Request, Endpoint, Times, Clock::now());
  // Without framing, the end of the connection is the only sign of the end, and
  // an endpoint that fails may close it as well, within an event or before the
  // first one. Nothing follows the last event that a caller may have.
  if (IsStream && IsUnframed &&
      (!EventBuffer.Incomplete.empty() || (!HasOrigin && !Order.LastHad))) {
    recordBreak();
    failExchange(ExchangeFailure::Broken);
    return;
  }
  bool isProof = !IsUnframed && isSuccess(Head.Status);
  if (isProof)
    recordProof();
  bool isInOrder = !IsStream || isOrderWhole();
  if (IsOver)
    return;
  if (!isInOrder) {
    failExchange(ExchangeFailure::Broken);
    return;
  }
  if (IsStream && IsUnframed) {
    if (!EndCheck)
      startEndCheck(endedAt);
    else if (EndSign)
      applyEndSign(*EndSign);
    return;
  }
  if (IsStream) {
    finishStream();
    return;
  }
  if (IsStreamStarted) {
    failExchange(IsNotRun ? ExchangeFailure::Rejected : ExchangeFailure::Error);
    return;
  }
  if (IsNotRun) {
    if (Head.Status == StatusMisdirected)
      recordMissingModel(Core.State, Request, Endpoint);
    failExchange(ExchangeFailure::Rejected);
    return;
  }
  // The status says that the request has not run, but the endpoint did not
  // confirm it: the request may have run.
  if (isNotRunStatus(Head.Status)) {
    failExchange(ExchangeFailure::Broken);
    return;
  }
  if (Head.Status >= 500 && !IsResponseStarted) {
    failExchange(ExchangeFailure::Error);
    return;
  }
  if (Head.Status < 500)
    recordSuccess(Core.State.Records[Endpoint]);
  forwardResponse();
}

/// Forwards what remains of a stream that has ended. False if the exchange is
/// broken.
bool Relay::isOrderWhole() {
  if (!EventBuffer.Incomplete.empty()) {
    SsePieces last;
    last.Events.push_back(takeUnendedEvent(EventBuffer));
    if (!forwardEvents(last))
      return false;
  }
  if (!HasOrigin)
    recordJoint();
  return true;
}

/// Begins to find out whether the endpoint has ended its stream, or was ended
/// itself.
void Relay::startEndCheck(TimePoint EndedAt) {
  auto service = Request.Table->Services.find(Request.Service);
  InstanceCheck check{Target.Address, Endpoint,
                      service == Request.Table->Services.end()
                          ? "/"
                          : service->second.HealthPath,
                      Request.Deadline};
  EndCheck = std::make_shared<StreamEndCheck>(
      Core,
      makeStreamEnd(Core.State, Endpoint, Claim.BornMs, EndedAt, Clock::now()),
      std::move(check), [self = shared_from_this()](StreamEndSign Sign) {
        if (self->IsOver)
          return;
        self->EndSign = Sign;
        if (!self->Call)
          self->guard([&] { self->applyEndSign(Sign); });
      });
  EndCheck->start();
}

void Relay::applyEndSign(StreamEndSign Sign) {
  recordEndCheck(Sign);
  dropEndCheck();
  if (isLifeSign(Sign)) {
    finishStream();
    return;
  }
  recordBreak();
  failExchange(ExchangeFailure::Broken);
}

void Relay::dropEndCheck() {
  if (EndCheck)
    EndCheck->cancel();
  EndCheck.reset();
  EndSign.reset();
}

/// Counts and logs how the check of a stream's end came out.
void Relay::recordEndCheck(StreamEndSign Sign) {
  std::string sign(nameOf(Sign));
  Core.Counts.count("stream_ends_checked_total", "sign=\"" + sign + '"');
  const StreamEnd &end = EndCheck->end();
  TimePoint acceptedAt = EndCheck->evidence().AcceptedAt;
  auto reply = EndCheck->lastReply();
  logEvent(isLifeSign(Sign) ? LogLevel::Info : LogLevel::Warning,
           "stream_end_checked",
           {{"id", Request.Attributes.Id},
            {"endpoint", Endpoint},
            {"address", Target.Address},
            {"sign", sign},
            {"reply", reply ? std::string(nameOf(*reply)) : ""},
            {"ended_ms", textOfAge(end.EndedAt)},
            {"read_ms", textOfAge(end.ReadAt)},
            {"accepted_ms", textOfAge(acceptedAt)},
            {"last_event", textOf(Request.LastEvent)}});
}

/// Ends the response with a stream that is whole.
void Relay::finishStream() {
  recordSuccess(Core.State.Records[Endpoint]);
  Exchange->finish();
  observe("answer_seconds", Clock::now() - Request.ArrivedAt);
  finish("answered", Head.Status);
}

void Relay::observe(const char *Stage, Clock::duration Span) {
  Core.Counts.observe(
      Stage, Span, "kind=\"" + std::string(nameOf(Request.Route->Kind)) + '"');
}

/// Forwards the endpoint's own response to the caller, unchanged.
void Relay::forwardResponse() {
  if (IsResponseStarted) {
    Exchange->finish();
  } else {
    observe("first_byte_seconds", Clock::now() - Request.ArrivedAt);
    if (Message.Method == "HEAD" && Head.Length) {
      // The length that a GET would have; no body follows it.
      Exchange->start(Head.Status, Head.Fields, Head.Length);
      Exchange->finish();
    } else {
      Exchange->respond(Head.Status, Head.Fields, std::move(Body));
    }
  }
  observe("answer_seconds", Clock::now() - Request.ArrivedAt);
  finish(Head.Status < 500 ? "answered" : "endpoint_error", Head.Status);
}

void Relay::handleFailure(HttpFailure CallFailure) {
  if (IsOver)
    return;
  if (IsProofPending) {
    HeldFailure = CallFailure;
    return;
  }
  if (CallFailure.IsRefused || (CallFailure.WasSent && !CallFailure.IsTimeout))
    recordConnectionLoss(Core.State, Endpoint, Clock::now());
  Call.reset();
  recordExchangeEnd(Core.State, Request, Endpoint);
  bool isBroken = CallFailure.WasSent && !CallFailure.IsTimeout && !IsNotRun;
  if (isBroken)
    recordBreak(CallFailure.AliveAfter);
  if (IsNotRun)
    failExchange(ExchangeFailure::Rejected);
  else
    failExchange(CallFailure.WasSent ? ExchangeFailure::Broken
                                     : ExchangeFailure::Unreachable);
}

/// Cancels an exchange whose response is longer than any that an endpoint sends
/// in order.
void Relay::cancelOversized(ExchangeFailure Failure, size_t Bytes) {
  Core.Counts.count("answers_oversized_total");
  logEvent(LogLevel::Warning, "answer_oversized",
           {{"id", Request.Attributes.Id},
            {"endpoint", Endpoint},
            {"bytes", std::to_string(Bytes)}});
  cancelExchange(Failure);
}

/// Cancels an exchange whose response is not trusted.
void Relay::cancelExchange(ExchangeFailure Failure) {
  dropProof();
  if (Call)
    Call->cancel();
  Call.reset();
  recordExchangeEnd(Core.State, Request, Endpoint);
  failExchange(Failure);
}

void Relay::failExchange(ExchangeFailure Failure) {
  dropEndCheck();
  // The resumed stream repeats an event that was interrupted.
  EventBuffer = {};
  bool hasResponse = Failure == ExchangeFailure::Error && !IsResponseStarted;
  RetryDecision after = decideRetry(Core.State, Request, Endpoint, Failure,
                                    hasResponse, Clock::now());
  // Once the response has started, only a resumable stream can be retried, and
  // after its first event only from an event that has an id.
  bool canRetry =
      !IsResponseStarted || (IsStreamStarted && Request.Route->IsResumable &&
                             (!HasEvents || Request.LastEvent));
  if (after.IsRetry && canRetry && IsLastExchange) {
    endByStop();
    return;
  }
  if (after.IsRetry && canRetry) {
    Core.Counts.count("retries_total",
                      "reason=\"" + std::string(nameOf(*after.Why)) + "\"");
    logEvent(LogLevel::Info, "request_retried",
             {{"id", Request.Attributes.Id},
              {"reason", std::string(nameOf(*after.Why))},
              {"endpoint", Endpoint},
              {"address", Target.Address},
              {"sends", std::to_string(Request.Sends)},
              {"runs", std::to_string(Request.Runs)},
              {"status", std::to_string(HasHead ? Head.Status : 0)}});
    dispatch();
    return;
  }
  if (IsResponseStarted)
    abortResponse("answer_broken");
  else if (hasResponse)
    forwardResponse();
  else
    refuse(after.Refusal);
}

void Relay::refuse(const FrontRefusal &Refusal) {
  if (IsOver)
    return;
  if (Call)
    Call->cancel();
  if (Call)
    recordExchangeEnd(Core.State, Request, Endpoint);
  Call.reset();
  if (IsResponseStarted) {
    abortResponse(std::string(nameOf(Refusal.Reason)).c_str());
    return;
  }
  std::vector<HttpField> fields{
      {"content-type", "application/json"},
      platform::makeRequestIdField(Request.Attributes.Id)};
  RetryAfter = Refusal.RetryAfter;
  if (RetryAfter)
    fields.push_back(platform::makeRetryAfterField(*RetryAfter));
  unsigned status = statusOf(Refusal.Reason);
  // Only a request that certainly did not run may be reported as not run.
  if (Request.Runs > 0 && isNotRunStatus(status))
    status = statusOf(RefusalReason::EndpointFailed);
  std::string reason = "reason=\"" + std::string(nameOf(Refusal.Reason)) + "\"";
  Core.Counts.count("refusals_total", reason);
  if (recordRefusedCaller(Core.State, Request, Clock::now()))
    Core.Counts.count("callers_refused_again_total", reason);
  Exchange->respond(status, std::move(fields), refusalBody(Request, Refusal));
  finish(std::string(nameOf(Refusal.Reason)), status);
}

/// Closes a response that has started without its regular end, so that the
/// caller does not take it for complete.
void Relay::abortResponse(const char *Outcome) {
  if (Call) {
    Call->cancel();
    Call.reset();
    recordExchangeEnd(Core.State, Request, Endpoint);
  }
  Core.Counts.count("answers_broken_total");
  Exchange->abort();
  finish(Outcome, Head.Status);
}

void Relay::stop(StopStage Stage) {
  if (IsOver)
    return;
  IsLastExchange = Stage != StopStage::Waiting;
  bool isRead = EndCheck || IsEndHeld;
  if (isRead && Stage != StopStage::All)
    return;
  if (Call && (Stage == StopStage::Waiting || Stage == StopStage::Streams))
    return;
  endByStop();
}

/// Ends the request because the process stops.
void Relay::endByStop() {
  recordStop();
  Request.Runs += Call != nullptr;
  if (Call && HasHead) {
    // While its connection is open, it is a sign of the endpoint's process for
    // the streams that are still checked.
    recordExchangeEnd(Core.State, Request, Endpoint);
    Core.StoppedCalls.push_back(std::move(Call));
    Call.reset();
  }
  refuse({Request.Runs > 0 ? RefusalReason::EndpointFailed
                           : RefusalReason::Stopping,
          StoppingRetryAfter});
}

/// Counts and logs how far a request was that the stop of this process ends.
void Relay::recordStop() {
  const char *stage = EndCheck            ? "end_check"
                      : IsEndHeld         ? "process_check"
                      : IsResponseStarted ? "response"
                      : Call              ? "sent"
                                          : "waiting";
  Core.Counts.count("requests_stopped_total",
                    std::string("stage=\"") + stage + '"');
  TimePoint endedAt = EndCheck ? EndCheck->end().EndedAt : TimePoint();
  logEvent(LogLevel::Info, "request_stopped",
           {{"id", Request.Attributes.Id},
            {"endpoint", Endpoint},
            {"stage", stage},
            {"ended_ms", textOfAge(endedAt)},
            {"last_event", textOf(Request.LastEvent)}});
}

/// Ends a request that was about to be sent to an endpoint: its caller left.
void Relay::abandon() {
  if (Call) {
    Call->cancel();
    Call.reset();
    recordExchangeEnd(Core.State, Request, Endpoint);
  }
  Core.Counts.count("callers_gone_total", "stage=\"before_send\"");
  Exchange->abort();
  finish("caller_gone", StatusClientClosed);
}

void Relay::handleCallerLoss(HttpLoss Loss) {
  if (IsOver)
    return;
  const char *stage = "stage=\"waiting\"";
  if (Call) {
    stage = IsResponseStarted ? "stage=\"response\"" : "stage=\"sent\"";
    Call->cancel();
    Call.reset();
    recordExchangeEnd(Core.State, Request, Endpoint);
  }
  switch (Loss) {
  case HttpLoss::CallerGone:
    Core.Counts.count("callers_gone_total", stage);
    finish("caller_gone", StatusClientClosed);
    return;
  case HttpLoss::SlowReader:
    Core.Counts.count("slow_readers_total");
    finish("slow_reader", StatusClientClosed);
    return;
  case HttpLoss::Failed:
    finish("internal_error", StatusInternalError);
    return;
  }
}

void Relay::finish(const std::string &Outcome, unsigned Status) {
  if (IsOver)
    return;
  IsOver = true;
  Timer.cancel();
  dropProof();
  if (EndCheck)
    recordEndCheck(StreamEndSign::Pending);
  dropEndCheck();
  setWaiting(false);
  removeWaitingRequest(Core.State, Request);
  TimePoint now = Clock::now();
  logEvent(
      LogLevel::Info, "request_done",
      {{"id", Request.Attributes.Id},
       {"outcome", Outcome},
       {"status", std::to_string(Status)},
       {"route", Request.Route->Name},
       {"service", Request.Service},
       {"organisation", Request.Organisation},
       {"model",
        Request.Attributes.Adapter.empty()
            ? Request.Attributes.Model
            : Request.Attributes.Model + "/" + Request.Attributes.Adapter},
       {"endpoint", Endpoint},
       {"address", Target.Address},
       {"software_version", Request.StreamVersion.value_or("")},
       {"resumed", Request.Attributes.ResumedRequest},
       {"last_event", textOf(Request.LastEvent)},
       {"load", std::to_string(static_cast<int>(Target.Load))},
       {"load_age_ms", std::to_string(Target.LoadAge.count())},
       {"zone_reason",
        Target.Crossing ? std::string(nameOf(Target.Crossing->Reason)) : ""},
       {"endpoint_limit", StatedLimit ? std::to_string(*StatedLimit) : ""},
       {"sends", std::to_string(Request.Sends)},
       {"runs", std::to_string(Request.Runs)},
       {"retry_after_ms", std::to_string(RetryAfter ? RetryAfter->count() : 0)},
       {"wait_ms",
        std::to_string(toMillis((SentAt == TimePoint() ? now : SentAt) -
                                Request.ArrivedAt))},
       {"first_ms",
        std::to_string(FirstByteAt == TimePoint()
                           ? 0
                           : toMillis(FirstByteAt - Request.ArrivedAt))},
       {"gap_ms", std::to_string(toMillis(LongestGap))},
       {"events", std::to_string(Times.Count)},
       {"events_ms", std::to_string(toMillis(Times.Last - Times.First))},
       {"answer_ms",
        std::to_string(Times.Count == 0 ? 0 : toMillis(Times.First - SentAt))},
       {"pace_percent", StatedPace ? std::to_string(*StatedPace) : ""},
       {"prompt_tokens", std::to_string(Request.Attributes.PromptTokens)},
       {"output_tokens", std::to_string(Request.Attributes.OutputTokens)},
       {"total_ms", std::to_string(toMillis(now - Request.ArrivedAt))},
       {"left_ms", std::to_string(toMillis(Request.Deadline - now))},
       {"table", std::to_string(Request.Table->Version)}});
  Core.ByExchange.erase(Exchange.get());
  Core.Relays.erase(Request.Number); // May destroy this object.
}

} // namespace sassafras
