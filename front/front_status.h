/// \file
/// A front's view of the fleet as reported to operators.
#ifndef SASSAFRAS_FRONT_FRONT_STATUS_H
#define SASSAFRAS_FRONT_FRONT_STATUS_H

#include "front/front_state.h"

namespace sassafras {

/// Fills in this front's name and table version, and the nodes and endpoints
/// that it knows with the age of that information in milliseconds.
void fillFrontStatus(const FrontState &State, TimePoint Now,
                     wire::StatusReply &Out);

} // namespace sassafras

#endif
