/// \file
/// Handling of nodes and operators by a control member. Only the leader acts
/// for nodes; the other members reply with its address. Not thread safe.
#ifndef SASSAFRAS_CONTROL_LEADERSHIP_H
#define SASSAFRAS_CONTROL_LEADERSHIP_H

#include "control/control_state.h"

namespace sassafras {

/// Resets the leader's soft state once this member is established as the leader
/// of a new term. Idempotent within a term.
void initLeaderState(ControlState &State, TimePoint Now);
/// Handles a message of a node or an operator; other messages are ignored.
void handleNodeMessage(ControlState &State, const wire::Envelope &Message,
                       TimePoint Now, RaftEffects &Raft, ControlEffects &Out);
/// Periodic work of the leader: endpoint time-outs, placement, pushes of
/// changes and removal of nodes without heartbeats. No effect on other members.
void tickLeader(ControlState &State, TimePoint Now, RaftEffects &Raft,
                ControlEffects &Out);

} // namespace sassafras

#endif
