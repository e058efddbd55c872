#include "front/stop_deadlines.h"

#include <algorithm>

namespace sassafras {

namespace {

/// A stopping front accepts connections for this long. A load balancer that
/// polls readiness once per second has moved its traffic after two failed
/// polls; requests accepted later might not finish before the process is ended.
constexpr Millis BalancerDrainTime{2'900};
/// From the last forwarded event to the end of the grace period.
constexpr Millis StreamMargin{400};
/// From the last read of a response to the end of the grace period. Between the
/// two, the end of a stream is read that follows its last event.
constexpr Millis ResponseMargin{360};
/// From the last check of a stream's end to the end of the grace period.
/// Between the two, a running endpoint's connections show that it runs.
constexpr Millis CheckMargin{200};
/// In which the process itself ends.
constexpr Millis LinkMargin{150};

} // namespace

StopDeadlines makeStopDeadlines(TimePoint Now, Millis Grace) {
  TimePoint end = Now + Grace;
  StopDeadlines out;
  out.StreamEnd = end - StreamMargin;
  out.AcceptEnd = std::min(Now + BalancerDrainTime, out.StreamEnd);
  out.ResponseEnd = end - ResponseMargin;
  out.CheckEnd = end - CheckMargin;
  out.LinkEnd = end - LinkMargin;
  return out;
}

StopStage stageOf(const StopDeadlines &Deadlines, TimePoint Now) {
  if (isPast(Deadlines.CheckEnd, Now))
    return StopStage::All;
  if (isPast(Deadlines.ResponseEnd, Now))
    return StopStage::Responses;
  if (isPast(Deadlines.StreamEnd, Now))
    return StopStage::Streams;
  return StopStage::Waiting;
}

} // namespace sassafras
