/// \file
/// Builds the input of the endpoint estimate (policy/endpoint_estimate.h) from
/// what a front knows of an endpoint.
#ifndef SASSAFRAS_FRONT_ENDPOINT_FIGURES_H
#define SASSAFRAS_FRONT_ENDPOINT_FIGURES_H

#include "front/admission.h"
#include "policy/endpoint_estimate.h"

namespace sassafras {

/// Sizes of \p Request. Pure and thread safe.
RequestSize sizeOf(const FrontRequest &Request);
/// Where engines fail when their memory is exceeded: keeps free of each
/// candidate what the other fronts may have sent there since its last report,
/// as if each of them had as many requests for these candidates as this front,
/// this one included. Thread safe while \p State does not change.
void withholdForOthers(const FrontState &State, const FrontRequest &Request,
                       std::vector<EndpointCandidate> &Candidates,
                       TimePoint Now);
/// Records the size of a request that is sent. Not thread safe.
void recordSize(FrontState &State, const FrontRequest &Request);
/// Events of one exchange and the time between its first and its last.
struct EventTimes {
  uint32_t Count = 0;
  TimePoint First;
  TimePoint Last;
  double LoadBefore = 0; ///< Requests at the endpoint when it was chosen.
};

/// Records how fast \p Endpoint brought the events of a complete exchange. Not
/// thread safe.
void recordEventTimes(FrontState &State, const FrontRequest &Request,
                      const std::string &Endpoint, const EventTimes &Times,
                      TimePoint Now);
/// What is known of \p Endpoint. \p Engine and \p Spec are null for plain
/// services. \p Slots are those that requests may use now. Thread safe while
/// \p State does not change.
EndpointFigures makeFigures(const FrontState &State,
                            const KnownEndpoint &Endpoint,
                            const EngineState *Engine, const EngineSpec *Spec,
                            uint32_t Slots, TimePoint Now);

} // namespace sassafras

#endif
