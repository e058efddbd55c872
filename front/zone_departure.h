/// \file
/// Decides, for one request, whether endpoints of the own availability zone or
/// of others may serve it (policy/zone_crossing.h).
///
/// Load pattern: the endpoints of one zone are too few or too slow for its
/// callers at times, while traffic between zones is slower and costly. In force
/// only with terms for it in the settings, and for endpoints that state how
/// long work takes there, as the estimates rest on that.
#ifndef SASSAFRAS_FRONT_ZONE_DEPARTURE_H
#define SASSAFRAS_FRONT_ZONE_DEPARTURE_H

#include "front/admission.h"
#include "policy/zone_crossing.h"

#include <functional>

namespace sassafras {

/// Which of the endpoints that a request could be sent to may serve it.
struct ZoneDeparture {
  /// Absent where leaving the zone is not decided on.
  std::optional<CrossingDecision> Decision;
  std::vector<bool> IsAllowed; ///< By candidate; empty: all.
};

/// Decides among \p Candidates, of which \p IsOpen tells by index whether a
/// request may be sent there now. Updates the model's share that leaves. Not
/// thread safe.
ZoneDeparture decideDeparture(FrontState &State, const FrontRequest &Request,
                              const std::vector<EndpointCandidate> &Candidates,
                              const std::function<bool(size_t)> &IsOpen,
                              TimePoint Now);

/// Records how long a connection to an endpoint of \p Zone took to establish.
/// Not thread safe.
void recordConnectTime(FrontState &State, const std::string &Zone,
                       Clock::duration Taken, TimePoint Now);
/// Network delay to \p Zone, one way, by the connections of the last seconds; 0
/// if there were none. Thread safe while \p State does not change.
Millis delayTo(const FrontState &State, const std::string &Zone, TimePoint Now);

} // namespace sassafras

#endif
