/// \file
/// Relays one caller's request: dispatch, exchanges with endpoints, and the
/// response. Each request ends with exactly one outcome.
#ifndef SASSAFRAS_FRONT_RELAY_H
#define SASSAFRAS_FRONT_RELAY_H

#include "front/admission.h"
#include "front/dispatch.h"
#include "front/endpoint_figures.h"
#include "front/event_order.h"
#include "front/front_core.h"
#include "front/process_proof.h"
#include "front/sse_buffer.h"
#include "front/stop_deadlines.h"
#include "front/stream_end.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <set>
#include <string>

namespace sassafras {

namespace platform {
struct ResponseFields;
} // namespace platform

class StreamEndCheck;

/// Retry-After while this front stops: another front can serve the caller
/// immediately.
inline constexpr Millis StoppingRetryAfter{100};

/// Interval of the log lines on endpoints' loads that are not valid.
inline constexpr Millis InvalidLoadLogPeriod{5'000};

/// Not thread safe: all methods run on the io_context's thread.
class Relay : public std::enable_shared_from_this<Relay> {
public:
  Relay(FrontCore &Core, FrontRequest Request, HttpRequest Message,
        std::shared_ptr<HttpExchange> Exchange);

  /// Registers the request and dispatches it. Call once.
  void start();
  /// Decides again on a waiting request. True if it waits no longer.
  bool dispatch();
  /// Called while the process stops: ends the request if \p Stage includes it.
  /// A waiting request is refused; another front can serve it.
  void stop(StopStage Stage);
  /// Ends the request: the caller closed its connection or does not read.
  void handleCallerLoss(HttpLoss Loss);
  /// Reads on from the endpoint: the caller has read enough of its response.
  void handleRoom();

private:
  template <class Function> void guard(Function Step);
  void startDeadlineTimer(TimePoint At);
  void handleDeadline();
  void applyResult(const DispatchResult &Result);
  void send(const SendTo &Chosen);
  void setWaiting(bool IsWaiting);
  void handleHead(HttpResponseHead Head);
  void handleBody(std::string_view Bytes);
  void handleEnd();
  void handleFailure(HttpFailure CallFailure);
  bool isTrusted(const HttpResponseHead &Head) const;
  bool mayForwardEvents();
  /// Forwards the events that are due. False if the exchange is broken.
  bool forwardEvents(const SsePieces &Pieces);
  void writeEvents(std::string Events);
  void recordOrderBreak(OrderBreak Found, std::optional<uint64_t> Received);
  void recordJoint();
  bool isOrderWhole();
  /// Begins to forward the events of the exchange.
  void startStream();
  /// Records how long a new connection took to establish.
  void recordConnection(const HttpResponseHead &NewHead, TimePoint Now);
  /// Counts a load with figures that are not valid; logs one for all endpoints
  /// in each period.
  void recordInvalidLoad(TimePoint Now);
  bool needsProof() const;
  void startProof();
  void queryProcess();
  void continueProof();
  void endProof(ProcessVerdict Verdict);
  void dropProof();
  void startEndCheck(TimePoint EndedAt);
  void applyEndSign(StreamEndSign Sign);
  void dropEndCheck();
  void recordEndCheck(StreamEndSign Sign);
  void receiveBody(std::string_view Bytes);
  void endByStop();
  void recordStop();
  void finishStream();
  void writeToCaller(std::string Bytes);
  /// Records the duration of a stage in the histogram of the request's kind.
  void observe(const char *Stage, Clock::duration Span);
  /// Records, once for each exchange, that an endpoint can run the request.
  void recordProof();
  /// Records that the endpoint broke off this exchange.
  /// \p AliveAfter: see HttpFailure; zero when that is not known.
  void recordBreak(TimePoint AliveAfter = {});
  void recordStatements(const platform::ResponseFields &Fields, TimePoint Now);
  void startResponse();
  void cancelOversized(ExchangeFailure Failure, size_t Bytes);
  void cancelExchange(ExchangeFailure Failure);
  void failExchange(ExchangeFailure Failure);
  void forwardResponse();
  void refuse(const FrontRefusal &Refusal);
  void abortResponse(const char *Outcome);
  void abandon();
  void finish(const std::string &Outcome, unsigned Status);

  FrontCore &Core;
  FrontRequest Request;
  HttpRequest Message; ///< Without its body.
  std::shared_ptr<const std::string> RequestBody;
  std::shared_ptr<HttpExchange> Exchange;
  boost::asio::steady_timer Timer;
  std::shared_ptr<HttpCall> Call;
  std::string Endpoint; ///< Of the current or last exchange.
  SendTo Target;        ///< Endpoint and the load that it was chosen by.
  std::set<std::string> SentTo; ///< Addresses of all sends.
  /// Request limit that the endpoint stated in the latest answer.
  std::optional<double> StatedLimit;
  std::optional<Millis> RetryAfter; ///< Sent with a refusal.
  HttpResponseHead
      Head; ///< Of the latest response; a resumed stream keeps the first.
  std::string Body; ///< Buffered until the response is complete.
  SseBuffer EventBuffer;
  EventOrder Order;
  std::shared_ptr<StreamEndCheck> EndCheck; ///< Of a stream without framing.
  std::optional<StreamEndSign> EndSign;     ///< What it has found.
  MemoryCharge BufferCharge;                ///< For the two above.
  size_t DiscardedBytes = 0;                ///< Of this exchange's response.
  /// Process that a resumed stream is sent to.
  ProcessClaim Claim;
  std::shared_ptr<HttpCall> ProofCall;
  std::optional<ProcessAnswer> ProofAnswer;
  TimePoint NextQueryAt; ///< After an answer that was a reset.
  boost::asio::steady_timer ProofTimer;
  std::string HeldBytes; ///< Read before the process was proved.
  std::optional<HttpFailure> HeldFailure;
  bool IsEndHeld = false;
  bool IsProofPending = false;
  std::set<std::string> Unproven; ///< Endpoints that were used without a proof.
  TimePoint SentAt;
  TimePoint ConnectedAt; ///< Connection of this exchange; or zero.
  TimePoint AnsweredAt;  ///< Head of this exchange's response; or zero.
  TimePoint FirstByteAt;
  TimePoint LastEventAt;
  Clock::duration LongestGap{0};      ///< Between forwarded events.
  EventTimes Times;                   ///< Of this exchange.
  std::optional<uint32_t> StatedPace; ///< In percent, in the latest answer.
  bool HasHead = false;
  bool IsProven = false;   ///< This exchange has shown that it can be run.
  bool IsNotRun = false;   ///< The endpoint stated that it did not run it.
  bool IsUnframed = false; ///< The response ends with its connection.
  bool IsStream = false;   ///< This exchange's response is forwarded in pieces.
  bool HasEvents = false;  ///< Events were forwarded, in any exchange.
  bool IsTailDue = false;  ///< The latest event of this exchange was forwarded.
  bool HasOrigin = false;  ///< The version of this exchange is recorded.
  bool IsResponseStarted = false; ///< The head was sent to the caller.
  bool IsStreamStarted = false;   ///< That head began a stream.
  bool IsWaiting = false;
  bool IsLastExchange = false; ///< The process stops before another can end.
  bool IsOver = false;
};

} // namespace sassafras

#endif
