/// \file
/// Loads that a front asks for itself while it hears nothing of a leader.
#ifndef SASSAFRAS_FRONT_LEADERLESS_WISH_H
#define SASSAFRAS_FRONT_LEADERLESS_WISH_H

#include "front/admission.h"

#include <optional>
#include <string>

namespace sassafras {

/// Ask an engine's agent to load a model into free memory.
struct AskForModel {
  std::string Agent; ///< Inner address.
  wire::EngineOrder Order;
};

/// For a request whose model no engine holds: whom to ask for it. Nothing while
/// a leader plans, while an engine loads the model, or where nothing is free.
/// Not thread safe.
std::optional<AskForModel>
askWithoutLeader(FrontState &State, const FrontRequest &Request, TimePoint Now);

} // namespace sassafras

#endif
