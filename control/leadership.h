/// \file
/// What a control member does for the nodes: only the leader acts, the
/// others name it.
#ifndef SASSAFRAS_CONTROL_LEADERSHIP_H
#define SASSAFRAS_CONTROL_LEADERSHIP_H

#include "control/control_state.h"

namespace sassafras {

/// Sets the leader's soft state up when this member has just won a term.
void noteLeadership(ControlState &State, TimePoint Now);
/// Takes a message of a node or an operator.
void receiveFromNode(ControlState &State, const wire::Envelope &Message,
                     TimePoint Now, RaftEffects &Raft, ControlEffects &Out);
/// Leader's periodic work: endpoints' silence, placement, pushes.
void tickLeader(ControlState &State, TimePoint Now, RaftEffects &Raft,
                ControlEffects &Out);

} // namespace sassafras

#endif
