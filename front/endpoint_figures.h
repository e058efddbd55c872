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
/// What is known of \p Endpoint. \p Engine and \p Spec are null for plain
/// services. \p Slots are those that requests may use now. Thread safe while
/// \p State does not change.
EndpointFigures makeFigures(const FrontState &State,
                            const KnownEndpoint &Endpoint,
                            const EngineState *Engine, const EngineSpec *Spec,
                            uint32_t Slots, TimePoint Now);

} // namespace sassafras

#endif
