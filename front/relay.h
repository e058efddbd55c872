/// \file
/// Carries one caller's request to its end: dispatch, exchanges with
/// endpoints, and the answer. Each request ends with exactly one outcome.
#ifndef SASSAFRAS_FRONT_RELAY_H
#define SASSAFRAS_FRONT_RELAY_H

#include "front/admission.h"
#include "front/dispatch.h"
#include "front/event_cutter.h"
#include "front/front_core.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace sassafras {

/// All methods on the context's thread.
class Relay : public std::enable_shared_from_this<Relay> {
public:
  Relay(FrontCore &Core, FrontRequest Request, HttpRequest Message,
        std::shared_ptr<HttpExchange> Exchange);

  /// Registers the request and dispatches it. Call once.
  void start();
  /// Decides anew for a request that waits.
  void dispatch();
  /// The process stops: what waits is refused, as it can be served elsewhere;
  /// with \p IsFinal what runs is broken off too.
  void stop(bool IsFinal);
  /// The caller has closed its connection, or does not read.
  void loseCaller(HttpLoss Loss);

private:
  void armDeadline(TimePoint At);
  void reachDeadline();
  void act(const DispatchResult &Result);
  void send(const SendTo &Chosen);
  void setWaiting(bool IsWaiting);
  void takeHead(HttpResponseHead Head);
  void takeBody(std::string_view Bytes);
  void takeEnd();
  void takeBreak(HttpFailure Break);
  bool isTrusted(const HttpResponseHead &Head) const;
  void writeEvents(std::string Events);
  /// Records the time of a stage in the histogram of the request's kind.
  void observe(const char *Stage, Clock::duration Span);
  void startAnswer();
  void breakExchange(ExchangeFailure Failure);
  void failExchange(ExchangeFailure Failure);
  void passOn();
  void refuse(const FrontRefusal &Refusal);
  void abandon(const char *Outcome);
  void finish(const std::string &Outcome, unsigned Status);

  FrontCore &Core;
  FrontRequest Request;
  HttpRequest Message;
  std::shared_ptr<HttpExchange> Exchange;
  boost::asio::steady_timer Timer;
  std::shared_ptr<HttpCall> Call;
  std::string Endpoint;             ///< Of the exchange under way.
  SendTo Target;                    ///< With what decided for it.
  std::optional<Millis> RetryAfter; ///< Told with a refusal.
  HttpResponseHead Head;            ///< Of the newest answer.
  std::string Body;                 ///< Held back until it is whole.
  EventCutter Cutter;
  TimePoint SentAt;
  TimePoint FirstByteAt;
  TimePoint LastEventAt;
  Clock::duration LongestGap{0}; ///< Between events passed on.
  bool HasHead = false;
  bool IsNotRun = false;    ///< The endpoint said so.
  bool IsStream = false;    ///< This exchange's answer is passed on in pieces.
  bool IsAnswering = false; ///< The caller has the head.
  bool IsWaiting = false;
  bool IsOver = false;
};

} // namespace sassafras

#endif
