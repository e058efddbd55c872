/// \file
/// How a front that has received a stop signal uses its grace period.
///
/// Load pattern: callers send requests until a balancer has moved its traffic,
/// and endpoints end streams at any time, so that some end just before the
/// process does. Whether such an end is whole is known a moment later only.
#ifndef SASSAFRAS_FRONT_STOP_DEADLINES_H
#define SASSAFRAS_FRONT_STOP_DEADLINES_H

#include "core/time.h"

namespace sassafras {

struct StopDeadlines {
  TimePoint AcceptEnd;   ///< Connections are accepted until then.
  TimePoint StreamEnd;   ///< Events of streams are forwarded until then.
  TimePoint ResponseEnd; ///< Responses of endpoints are read until then.
  /// Ends of streams are checked, and the group is waited for, until then.
  TimePoint CheckEnd;
  TimePoint LinkEnd; ///< Links are closed then at the latest.
};

/// What a stopping front ends. Each stage includes those before it.
enum class StopStage {
  Waiting,   ///< Requests that are not sent to an endpoint.
  Streams,   ///< Streams at their next event.
  Responses, ///< Requests whose responses are not read to their end.
  All,       ///< Also those whose responses are still checked.
};

/// Deadlines of a stop that was requested at \p Now, so that the process has
/// ended after \p Grace. Thread safe, as the function below.
StopDeadlines makeStopDeadlines(TimePoint Now, Millis Grace);
/// Precondition: no more connections are accepted.
StopStage stageOf(const StopDeadlines &Deadlines, TimePoint Now);

} // namespace sassafras

#endif
