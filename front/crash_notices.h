/// \file
/// Keeps the quarantine of requests that crash endpoints the same at all
/// fronts.
///
/// Load pattern: such requests arrive at any front, so that each front sees few
/// of the crashes. Every accusation is sent to all fronts at once, through the
/// relays of other zones, and each front decides by itself. Fronts that missed
/// a notice learn the features in quarantine from the next heartbeat with
/// another digest.
#ifndef SASSAFRAS_FRONT_CRASH_NOTICES_H
#define SASSAFRAS_FRONT_CRASH_NOTICES_H

#include "front/admission.h"
#include "front/fleet_view.h"
#include "front/front_state.h"

namespace sassafras {

/// An exchange with an endpoint.
struct EndpointRun {
  std::string Endpoint;
  TimePoint AnsweredAt; ///< Head of the response; zero before it.
  /// The process that broke it off ran then or later; zero when that is not
  /// known.
  TimePoint AliveAfter;
};

/// Records that the endpoint broke off the connection of \p Run. Not thread
/// safe.
void recordBrokenRun(FrontState &State, const FrontRequest &Request,
                     const EndpointRun &Run, TimePoint Now);
/// Records that \p Run is complete, or that its answer has gone on for longer
/// than ProvenRunTime. Not thread safe.
void recordProvenRun(FrontState &State, const FrontRequest &Request,
                     const EndpointRun &Run, TimePoint Now);
/// Refusal of a request with a feature in quarantine; nothing if it has none.
/// Thread safe while \p State does not change.
std::optional<FrontRefusal> checkQuarantine(const FrontState &State,
                                            const FrontRequest &Request,
                                            TimePoint Now);
/// Appends the pending notices for the other fronts. Not thread safe.
void flushCrashNotices(FrontState &State, TimePoint Now, NodeMessages &Out);
/// Applies the notice of another front. One to be passed on is appended to
/// \p Out for the fronts of the own zone. Not thread safe.
void handleCrashNotice(FrontState &State, const wire::CrashNotice &Notice,
                       TimePoint Now, NodeMessages &Out);
/// Notice of the crashes that accuse features which are not in quarantine, for
/// a front that has just started. Without accusations if there are none. Thread
/// safe while \p State does not change.
wire::CrashNotice makeAccusationNotice(const FrontState &State, TimePoint Now);
/// Notice of all features in quarantine. Thread safe while \p State does not
/// change.
wire::CrashNotice makeQuarantineNotice(const FrontState &State, TimePoint Now);

} // namespace sassafras

#endif
