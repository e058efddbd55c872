#include "front/stream_end_check.h"

#include "core/guard.h"
#include "front/endpoint_statements.h"

#include <utility>

namespace sassafras {

namespace {

constexpr Millis LookPeriod{20};
/// After a longer time without a look, this process was paused: what has
/// arrived meanwhile is read first.
constexpr Millis LongestLookGap{80};
/// Between a health check without an answer and the next one.
constexpr Millis CheckPause{250};

} // namespace

StreamEndCheck::StreamEndCheck(FrontCore &Core, StreamEnd End,
                               InstanceCheck Check,
                               std::function<void(StreamEndSign)> Done)
    : Core(Core), End(std::move(End)), Check(std::move(Check)),
      Done(std::move(Done)), Timer(Core.Io) {}

void StreamEndCheck::start() {
  LookedAt = Clock::now();
  sendCheck();
  scheduleLook();
}

void StreamEndCheck::cancel() {
  IsOver = true;
  Timer.cancel();
  if (Call)
    Call->cancel();
  Call.reset();
}

void StreamEndCheck::sendCheck() {
  Evidence.AcceptedAt = TimePoint();
  Evidence.Reply.reset();
  auto self = shared_from_this();
  Call = startInstanceCheck(
      Core.Client, Check,
      [self](const InstanceAnswer &Answer) { self->handleAnswer(Answer); },
      [self] { self->Evidence.AcceptedAt = Clock::now(); });
}

void StreamEndCheck::handleAnswer(const InstanceAnswer &Answer) {
  if (IsOver)
    return;
  TimePoint now = Clock::now();
  if (Answer.ColdLeft && *Answer.ColdLeft > Millis(0))
    recordStatedCold(Core.State, End.Endpoint, *Answer.ColdLeft, now);
  Evidence.Reply = LastReply = Answer.Reply;
  Call.reset();
  NextCheckAt = now + CheckPause;
  look();
}

void StreamEndCheck::look() {
  if (IsOver)
    return;
  TimePoint now = Clock::now();
  if (now - LookedAt > LongestLookGap)
    End.ReadAt = now;
  LookedAt = now;
  Evidence.HasOlderConnection =
      End.EndedAt != TimePoint() &&
      Core.Client.hasOpenConnection(Check.Address, End.EndedAt);
  StreamEndSign sign = judgeStreamEnd(Core.State, End, Evidence, now);
  if (sign != StreamEndSign::Pending) {
    cancel();
    Done(sign);
    return;
  }
  bool isUnanswered = Evidence.Reply == InstanceReply::Reset ||
                      Evidence.Reply == InstanceReply::Silent;
  if (isUnanswered && isPast(NextCheckAt, now))
    sendCheck();
  scheduleLook();
}

void StreamEndCheck::scheduleLook() {
  Timer.expires_after(LookPeriod);
  Timer.async_wait([self = shared_from_this()](auto ec) {
    if (!ec)
      runGuarded(self->Core.Counts, "stream_end", [&] { self->look(); });
  });
}

} // namespace sassafras
