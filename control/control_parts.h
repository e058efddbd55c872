/// \file
/// Internal functions of the control state machine, shared by its source
/// files. Not thread safe.
#ifndef SASSAFRAS_CONTROL_CONTROL_PARTS_H
#define SASSAFRAS_CONTROL_CONTROL_PARTS_H

#include "control/control_state.h"

namespace sassafras {

// proposals.cpp

/// Current fleet time in ms: the latest time stamp among the commands applied
/// before this member became the leader, plus the time on its own clock since
/// then.
uint64_t currentFleetTimeMs(const ControlState &State, TimePoint Now);
/// Proposes a change of \p Item without sending a reply to anyone. Does nothing
/// while another such change of the item is pending, or when this member cannot
/// propose.
void proposeItemChange(ControlState &State, const std::string &Item,
                       wire::Command Command, TimePoint Now, RaftEffects &Raft);
/// Proposes to write or remove a replica record. \p Reporter is the incarnation
/// of the agent whose report caused the change, or 0 for a leader's decision.
void proposeReplica(ControlState &State, const wire::Replica &Replica,
                    bool Remove, uint64_t Reporter, TimePoint Now,
                    RaftEffects &Raft);
/// Proposes to write or remove an endpoint record.
void proposeEndpoint(ControlState &State, const wire::Endpoint &Endpoint,
                     bool Remove, TimePoint Now, RaftEffects &Raft);
/// Proposes the command of a node or an operator, or replies with a refusal:
/// not the leader, a command reserved for the leader, or too many pending.
void handleProposal(ControlState &State, const wire::Envelope &Message,
                    TimePoint Now, RaftEffects &Raft, ControlEffects &Out);
/// Sends \p Reply to the proposer. No effect for the leader's own proposals.
void sendProposalReply(const ControlState &State,
                       const PendingProposal &Proposal,
                       wire::ProposalReply Reply, ControlEffects &Out);

// dissemination.cpp

/// Replies to the node's latest heartbeat with all changes since the version
/// that the node has applied.
void sendHeartbeatReply(ControlState &State, const std::string &Node,
                        NodeInfo &Info, TimePoint Now, ControlEffects &Out);
/// Sends new changes to the nodes they concern without waiting for their next
/// heartbeats; heartbeats only make up for lost messages.
void pushChanges(ControlState &State, TimePoint Now, ControlEffects &Out);
/// Replies to a heartbeat sent to a member that is not the leader: gives the
/// leader's address if it is known.
void sendLeaderAddress(const ControlState &State, const wire::Envelope &Message,
                       ControlEffects &Out);
/// Replies with the status of the group, the nodes and, on request, the items.
void sendStatusReply(const ControlState &State, const wire::Envelope &Message,
                     TimePoint Now, ControlEffects &Out);

// observation.cpp

/// Stores a node's heartbeat, proposes the changes that follow from it, and
/// replies. Delayed heartbeats, also of an earlier process, are ignored.
void handleHeartbeat(ControlState &State, const wire::Envelope &Message,
                     TimePoint Now, RaftEffects &Raft, ControlEffects &Out);
/// Marks endpoints without reports as not ready after EndpointLease and removes
/// their records after EndpointRemovalTimeout.
void checkEndpointTimeouts(ControlState &State, TimePoint Now,
                           RaftEffects &Raft);
/// Proposes loads and unloads by the current demand and use of the endpoints.
void placeReplicas(ControlState &State, TimePoint Now, RaftEffects &Raft);

void sendMessage(ControlEffects &Out, const std::string &Address,
                 wire::Envelope Message);

} // namespace sassafras

#endif
