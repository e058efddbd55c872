/// \file
/// Parts of a control member's decisions that its modules share.
#ifndef SASSAFRAS_CONTROL_CONTROL_PARTS_H
#define SASSAFRAS_CONTROL_CONTROL_PARTS_H

#include "control/control_state.h"

namespace sassafras {

// proposals.cpp

/// Time of the fleet: rises with this leader's clock from the last stamp.
uint64_t fleetNow(const ControlState &State, TimePoint Now);
/// Proposes a change that the leader itself decided, unless one for the same
/// item is under way.
void proposeOwn(ControlState &State, const std::string &Item,
                wire::Command Command, TimePoint Now, RaftEffects &Raft);
/// \p Reporter is the agent incarnation whose report asks for the change, or
/// 0 when the leader decided it.
void proposeReplica(ControlState &State, const wire::Replica &Replica,
                    bool Remove, uint64_t Reporter, TimePoint Now,
                    RaftEffects &Raft);
void proposeEndpoint(ControlState &State, const wire::Endpoint &Endpoint,
                     bool Remove, TimePoint Now, RaftEffects &Raft);
/// Takes a proposal of a node or an operator.
void takeProposal(ControlState &State, const wire::Envelope &Message,
                  TimePoint Now, RaftEffects &Raft, ControlEffects &Out);
/// Sends \p Reply to whoever proposed; the leader itself needs none.
void answerProposal(const ControlState &State, const PendingProposal &Proposal,
                    wire::ProposalReply Reply, ControlEffects &Out);

// dissemination.cpp

/// Answers the node's newest heartbeat with all that it lacks.
void replyToNode(ControlState &State, const std::string &Node, NodeInfo &Info,
                 TimePoint Now, ControlEffects &Out);
/// Sends what changed at once, so that heartbeats need only repair.
void pushChanges(ControlState &State, TimePoint Now, ControlEffects &Out);
/// Tells a node that asked this member who leads.
void nameLeader(const ControlState &State, const wire::Envelope &Message,
                ControlEffects &Out);
void answerStatus(const ControlState &State, const wire::Envelope &Message,
                  TimePoint Now, ControlEffects &Out);

// observation.cpp

/// Takes what a node says of itself and answers it.
void takeHeartbeat(ControlState &State, const wire::Envelope &Message,
                   TimePoint Now, RaftEffects &Raft, ControlEffects &Out);
/// Marks silent endpoints as not ready, and writes them off later on.
void checkSilence(ControlState &State, TimePoint Now, RaftEffects &Raft);
/// Decides on loads and unloads by what is known now.
void placeReplicas(ControlState &State, TimePoint Now, RaftEffects &Raft);

void sendMessage(ControlEffects &Out, const std::string &Address,
                 wire::Envelope Message);

} // namespace sassafras

#endif
