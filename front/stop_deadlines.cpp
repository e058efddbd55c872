#include "front/stop_deadlines.h"

#include <algorithm>

namespace sassafras {

namespace {

/// A load balancer that polls readiness once per second has moved its traffic
/// after two failed polls; requests accepted later might not finish before the
/// process is ended.
constexpr Millis BalancerDrainTime{2'900};
// Before the end of the grace period:
constexpr Millis StreamMargin{400};
/// The end of a stream mostly follows its last event at once.
constexpr Millis ResponseMargin{360};
/// Leaves the time in which a running endpoint's connections show that it
/// runs, and some for a busy host.
constexpr Millis CheckMargin{200};
/// For the end of the process itself.
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
