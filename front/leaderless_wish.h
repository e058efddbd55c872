/// \file
/// Model loads that a front requests from agents itself while no leader plans
/// them.
#ifndef SASSAFRAS_FRONT_LEADERLESS_WISH_H
#define SASSAFRAS_FRONT_LEADERLESS_WISH_H

#include "front/admission.h"

#include <optional>
#include <string>

namespace sassafras {

/// A request to an engine's agent to load a model into free memory.
struct ModelLoadRequest {
  std::string Agent; ///< Link address.
  wire::EngineOrder Order;
};

/// Chooses the agent to ask for the model of \p Request, which no engine has
/// loaded. Returns nothing while a leader plans, when an engine is loading or
/// already has the model, when no engine with its weights has room, and while
/// the last request for the model is recent. Not thread safe.
std::optional<ModelLoadRequest>
requestLoadWithoutLeader(FrontState &State, const FrontRequest &Request,
                         TimePoint Now);

} // namespace sassafras

#endif
