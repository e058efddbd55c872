/// \file
/// A front's view of its fleet, as an operator asks for it.
#ifndef SASSAFRAS_FRONT_FRONT_STATUS_H
#define SASSAFRAS_FRONT_FRONT_STATUS_H

#include "front/front_state.h"

namespace sassafras {

/// Fills in the nodes and endpoints that this front knows, with the age of
/// what it knows, and its version of the table.
void printFrontStatus(const FrontState &State, TimePoint Now,
                      wire::StatusReply &Out);

} // namespace sassafras

#endif
