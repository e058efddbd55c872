#include "front/relay.h"

#include "core/logging.h"
#include "core/metrics.h"
#include "platform/caller_codec.h"

#include <algorithm>

namespace sassafras {

namespace {

/// A connection within the fleet's places is there after some milliseconds;
/// with one lost packet still within this.
constexpr Millis ConnectLimit{700};
/// Kept connections older than this are not used for what may run once only:
/// the endpoint may be closing them.
constexpr Millis MostIdleOnce{1'500};
constexpr Millis MostIdle{8'000};
/// Another front serves a caller at once.
constexpr Millis StoppingRetry{100};
/// Answers up to this size are held back until they are whole, so that a
/// broken one can be replaced. Bytes.
constexpr size_t HeldAnswer = 256ULL * 1024;
constexpr unsigned StatusMisdirected = 421;
constexpr unsigned StatusClientClosed = 499; ///< For the log only.

bool isSuccess(unsigned Status) { return Status >= 200 && Status < 300; }

/// Statuses that promise that a request has not run.
bool isPromise(unsigned Status) {
  return Status == 408 || Status == 421 || Status == 429 || Status == 503;
}

std::string refusalBody(const FrontRequest &Request,
                        const FrontRefusal &Refusal) {
  return R"({"error":{"reason":")" + std::string(nameOf(Refusal.Reason)) +
         R"(","ran":")" + (Request.Runs > 0 ? "unknown" : "not_run") +
         R"(","request":")" + Request.Facts.Id + "\"}}\n";
}

} // namespace

Relay::Relay(FrontCore &Core, FrontRequest Request, HttpRequest Message,
             std::shared_ptr<HttpExchange> Exchange)
    : Core(Core), Request(std::move(Request)), Message(std::move(Message)),
      Exchange(std::move(Exchange)), Timer(Core.Io) {}

void Relay::start() {
  Core.Relays[Request.Number] = shared_from_this();
  Core.ByExchange[Exchange.get()] = Request.Number;
  armDeadline(Request.Deadline);
  dispatch();
}

void Relay::armDeadline(TimePoint At) {
  Timer.expires_after(At - Clock::now());
  Timer.async_wait([self = shared_from_this()](auto ec) {
    if (!ec && !self->IsOver)
      self->reachDeadline();
  });
}

void Relay::reachDeadline() {
  if (IsAnswering) {
    Core.Counts.count("stream_timeouts_total");
    abandon("timeout_streaming");
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
  WaitingKey key{Request.Urgency, Request.Number};
  if (IsWaiting)
    Core.Waiting.insert(key);
  else
    Core.Waiting.erase(key);
}

void Relay::dispatch() {
  if (IsOver || Call)
    return;
  act(decideDispatch(Core.State, Request, Clock::now()));
}

void Relay::act(const DispatchResult &Result) {
  NodeMessages messages;
  for (const AskForAdapter &it : Result.Wishes) {
    wire::Envelope message;
    *message.mutable_adapter_wish() = it.Wish;
    messages.push_back({it.Agent, std::move(message)});
  }
  if (Result.Load) {
    logEvent(LogLevel::Info, "load_asked",
             {{"id", Request.Facts.Id},
              {"model", Result.Load->Order.load()},
              {"engine", Result.Load->Order.engine_address()},
              {"leader", Core.State.Leader.Node}});
    wire::Envelope message;
    *message.mutable_engine_order() = Result.Load->Order;
    messages.push_back({Result.Load->Agent, std::move(message)});
  }
  if (!messages.empty())
    Core.Send(std::move(messages));
  if (Result.Wish)
    Core.Wish(*Result.Wish);
  if (Result.QuotaWish)
    Core.AskForTokens(*Result.QuotaWish);
  if (auto *target = std::get_if<SendTo>(&Result.Decision)) {
    setWaiting(false);
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
  HasHead = false;
  IsNotRun = false;
  IsStream = false;
  Body.clear();
  noteDispatched(Core.State, Request, Endpoint);
  if (Request.Sends == 1)
    observe("queue_seconds", now - Request.ArrivedAt);
  Millis left = std::chrono::duration_cast<Millis>(Request.Deadline - now);
  platform::EndpointFields fields{left, Endpoint, Request.Organisation,
                                  Request.Urgency, Request.LastEvent};
  HttpRequest message = Message;
  platform::setEndpointFields(message, fields);
  HttpCallbacks calls;
  auto self = shared_from_this();
  calls.OnHead = [self](HttpResponseHead Head) {
    self->takeHead(std::move(Head));
  };
  calls.OnBody = [self](std::string_view Bytes) { self->takeBody(Bytes); };
  calls.OnEnd = [self] { self->takeEnd(); };
  calls.OnFailure = [self](HttpFailure Break) { self->takeBreak(Break); };
  HttpCallOptions options{std::min(ConnectLimit, left), left + ConnectLimit,
                          Request.IsRepeatable ? MostIdle : MostIdleOnce};
  Call = Core.Client.start(Target.Address, message, options, std::move(calls));
}

/// An answer to another request, or bytes that no endpoint vouches for, must
/// not reach the caller.
bool Relay::isTrusted(const HttpResponseHead &Head) const {
  auto fields = platform::readResponseFields(Head.Status, Head.Fields);
  if (fields.RequestId != Request.Facts.Id)
    return fields.RequestId.empty() && !isSuccess(Head.Status);
  return fields.IsSealed || !isSuccess(Head.Status);
}

void Relay::takeHead(HttpResponseHead NewHead) {
  if (IsOver)
    return;
  TimePoint now = Clock::now();
  auto fields = platform::readResponseFields(NewHead.Status, NewHead.Fields);
  if (!isTrusted(NewHead)) {
    Core.Counts.count("answers_distrusted_total");
    breakExchange(ExchangeFailure::Broken);
    return;
  }
  if (fields.Load)
    noteLoad(Core.State.Records[Endpoint],
             fields.Load->Running + fields.Load->Waiting,
             engineSpecOf(Core.State, Request.Service) ? EngineReportLife
                                                       : PlainReportLife,
             now);
  HasHead = true;
  IsNotRun = fields.IsNotRun;
  bool isStreaming = Request.Route->Kind == RequestKind::Streaming &&
                     isSuccess(NewHead.Status);
  // A resumed stream keeps the head of its first endpoint.
  if (!IsAnswering)
    Head = std::move(NewHead);
  if (IsNotRun || !isStreaming)
    return;
  IsStream = true;
  startAnswer();
}

void Relay::startAnswer() {
  if (IsAnswering)
    return;
  IsAnswering = true;
  FirstByteAt = Clock::now();
  observe("first_byte_seconds", FirstByteAt - Request.ArrivedAt);
  Exchange->start(Head.Status, Head.Fields,
                  IsStream ? std::nullopt : Head.Length);
}

void Relay::takeBody(std::string_view Bytes) {
  if (IsOver)
    return;
  if (IsStream) {
    std::string events = cutEvents(Cutter, Bytes);
    if (!events.empty())
      writeEvents(std::move(events));
    return;
  }
  if (IsAnswering) {
    // A resumed exchange that fails; its body is of no use.
    if (!Body.empty() || !Request.Route->IsResumable)
      Exchange->write(std::string(Bytes));
    return;
  }
  Body += Bytes;
  if (Body.size() <= HeldAnswer || IsNotRun)
    return;
  startAnswer();
  Exchange->write(std::move(Body));
  Body = " ";
}

void Relay::writeEvents(std::string Events) {
  TimePoint now = Clock::now();
  if (LastEventAt != TimePoint()) {
    observe("gap_seconds", now - LastEventAt);
    LongestGap = std::max(LongestGap, now - LastEventAt);
  }
  LastEventAt = now;
  Exchange->write(std::move(Events));
}

void Relay::takeEnd() {
  if (IsOver)
    return;
  TimePoint now = Clock::now();
  Call.reset();
  noteExchangeOver(Core.State, Request, Endpoint);
  if (IsStream) {
    noteSuccess(Core.State.Records[Endpoint]);
    Exchange->write(std::move(Cutter.Rest));
    Exchange->finish();
    observe("answer_seconds", now - Request.ArrivedAt);
    finish("answered", Head.Status);
    return;
  }
  if (IsAnswering && Request.Route->Kind == RequestKind::Streaming) {
    failExchange(IsNotRun ? ExchangeFailure::Rejected : ExchangeFailure::Error);
    return;
  }
  if (IsNotRun) {
    if (Head.Status == StatusMisdirected)
      noteAbsent(Core.State, Request, Endpoint);
    failExchange(ExchangeFailure::Rejected);
    return;
  }
  // A promise that the endpoint does not back may have run all the same.
  if (isPromise(Head.Status)) {
    failExchange(ExchangeFailure::Broken);
    return;
  }
  if (Head.Status >= 500) {
    failExchange(ExchangeFailure::Error);
    return;
  }
  noteSuccess(Core.State.Records[Endpoint]);
  passOn();
}

void Relay::observe(const char *Stage, Clock::duration Span) {
  Core.Counts.observe(
      Stage, Span, "kind=\"" + std::string(nameOf(Request.Route->Kind)) + '"');
}

/// Gives the caller the endpoint's own answer, unchanged.
void Relay::passOn() {
  if (IsAnswering) {
    Exchange->finish();
  } else {
    observe("first_byte_seconds", Clock::now() - Request.ArrivedAt);
    Exchange->respond(Head.Status, Head.Fields, std::move(Body));
  }
  observe("answer_seconds", Clock::now() - Request.ArrivedAt);
  finish(Head.Status < 500 ? "answered" : "endpoint_error", Head.Status);
}

void Relay::takeBreak(HttpFailure Break) {
  if (IsOver)
    return;
  Call.reset();
  noteExchangeOver(Core.State, Request, Endpoint);
  if (IsNotRun)
    failExchange(ExchangeFailure::Rejected);
  else
    failExchange(Break.WasSent ? ExchangeFailure::Broken
                               : ExchangeFailure::Unreachable);
}

/// Ends an exchange that cannot be trusted any more.
void Relay::breakExchange(ExchangeFailure Failure) {
  if (Call)
    Call->cancel();
  Call.reset();
  noteExchangeOver(Core.State, Request, Endpoint);
  failExchange(Failure);
}

void Relay::failExchange(ExchangeFailure Failure) {
  // What was cut off in the middle of an event comes again with the next run.
  Cutter.Rest.clear();
  if (Cutter.LastId)
    Request.LastEvent = Cutter.LastId;
  bool hasAnswer = Failure == ExchangeFailure::Error && !IsAnswering;
  AfterFailure after = decideAfterFailure(Core.State, Request, Endpoint,
                                          Failure, hasAnswer, Clock::now());
  // A stream whose answer has begun goes on only where it can be resumed.
  bool mayGoOn =
      !IsAnswering || (Request.Route->Kind == RequestKind::Streaming &&
                       Request.Route->IsResumable);
  if (after.IsRetry && mayGoOn) {
    Core.Counts.count("retries_total",
                      "reason=\"" + std::string(nameOf(*after.Why)) + "\"");
    logEvent(LogLevel::Info, "request_retried",
             {{"id", Request.Facts.Id},
              {"reason", std::string(nameOf(*after.Why))},
              {"endpoint", Endpoint},
              {"address", Target.Address},
              {"sends", std::to_string(Request.Sends)},
              {"runs", std::to_string(Request.Runs)},
              {"status", std::to_string(HasHead ? Head.Status : 0)}});
    dispatch();
    return;
  }
  if (IsAnswering)
    abandon("answer_broken");
  else if (hasAnswer)
    passOn();
  else
    refuse(after.Refusal);
}

void Relay::refuse(const FrontRefusal &Refusal) {
  if (IsOver)
    return;
  if (Call)
    Call->cancel();
  if (Call)
    noteExchangeOver(Core.State, Request, Endpoint);
  Call.reset();
  if (IsAnswering) {
    abandon(std::string(nameOf(Refusal.Reason)).c_str());
    return;
  }
  std::vector<HttpField> fields{{"content-type", "application/json"},
                                platform::makeRequestIdField(Request.Facts.Id)};
  RetryAfter = Refusal.RetryAfter;
  if (RetryAfter)
    fields.push_back(platform::makeRetryAfterField(*RetryAfter));
  unsigned status = statusOf(Refusal.Reason);
  // Only what has surely not run may be told so.
  if (Request.Runs > 0 && isPromise(status))
    status = statusOf(RefusalReason::EndpointFailed);
  Core.Counts.count("refusals_total",
                    "reason=\"" + std::string(nameOf(Refusal.Reason)) + "\"");
  Exchange->respond(status, std::move(fields), refusalBody(Request, Refusal));
  finish(std::string(nameOf(Refusal.Reason)), status);
}

/// Breaks an answer that has begun, so that it does not look complete.
void Relay::abandon(const char *Outcome) {
  if (Call) {
    Call->cancel();
    Call.reset();
    noteExchangeOver(Core.State, Request, Endpoint);
  }
  Core.Counts.count("answers_broken_total");
  Exchange->abort();
  finish(Outcome, Head.Status);
}

void Relay::stop(bool IsFinal) {
  if (IsOver || (Call && !IsFinal))
    return;
  Request.Runs += Call != nullptr;
  refuse({Request.Runs > 0 ? RefusalReason::EndpointFailed
                           : RefusalReason::Stopping,
          StoppingRetry});
}

void Relay::loseCaller(HttpLoss Loss) {
  if (IsOver)
    return;
  if (Call) {
    Call->cancel();
    Call.reset();
    noteExchangeOver(Core.State, Request, Endpoint);
  }
  bool isGone = Loss == HttpLoss::CallerGone;
  Core.Counts.count(isGone ? "callers_gone_total" : "slow_readers_total");
  finish(isGone ? "caller_gone" : "slow_reader", StatusClientClosed);
}

void Relay::finish(const std::string &Outcome, unsigned Status) {
  if (IsOver)
    return;
  IsOver = true;
  Timer.cancel();
  setWaiting(false);
  forgetRequest(Core.State, Request);
  TimePoint now = Clock::now();
  logEvent(
      LogLevel::Info, "request_done",
      {{"id", Request.Facts.Id},
       {"outcome", Outcome},
       {"status", std::to_string(Status)},
       {"route", Request.Route->Name},
       {"organisation", Request.Organisation},
       {"model", Request.Facts.Adapter.empty()
                     ? Request.Facts.Model
                     : Request.Facts.Model + "/" + Request.Facts.Adapter},
       {"endpoint", Endpoint},
       {"address", Target.Address},
       {"load", std::to_string(static_cast<int>(Target.Load))},
       {"load_age_ms", std::to_string(Target.LoadAge.count())},
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
       {"total_ms", std::to_string(toMillis(now - Request.ArrivedAt))},
       {"left_ms", std::to_string(toMillis(Request.Deadline - now))},
       {"table", std::to_string(Request.Table->Version)}});
  Core.ByExchange.erase(Exchange.get());
  Core.Relays.erase(Request.Number); // May destroy this.
}

} // namespace sassafras
