/// \file
/// Internal functions of the agent state machine, shared by its source files
/// and used by the tests' fleet driver.
#ifndef SASSAFRAS_AGENT_AGENT_PARTS_H
#define SASSAFRAS_AGENT_AGENT_PARTS_H

#include "agent/agent_state.h"

namespace sassafras {

// orders.cpp

/// Reconciles the endpoint with the fleet view: orders the loads and unloads
/// that the replicas of this endpoint need and unloads unassigned rows. Does
/// nothing for a plain service. While no leader confirms the view, it only
/// unloads rows after a long idle time.
void reconcileReplicas(AgentState &State, TimePoint Now, AgentEffects &Out);
/// Stores the endpoint's report and updates the rows that have no open order
/// and had none within the report lag.
void applyReport(AgentState &State, const EndpointReport &Report,
                 TimePoint Now);
/// Treats the endpoint's state as unknown until the report lag has passed, so
/// that the report in use was made after \p Now. No effect for a plain service.
void requireFreshReports(AgentState &State, TimePoint Now);
/// True when the endpoint is up and its reports are trusted.
bool isEndpointStateKnown(const AgentState &State, TimePoint Now);
/// Closes the open order of the row; ignored when the fence is another one.
void applyOrderResult(AgentState &State, const OrderResult &Result,
                      TimePoint Now);
/// Clears rows and open orders and marks the endpoint as down: a new endpoint
/// process holds nothing of what the old one had loaded.
void clearEndpointState(AgentState &State);
/// Loaded rows for which the view has no replica on this endpoint.
std::vector<std::string> listUnassignedRows(const AgentState &State);
/// Reports on the replicas that the view has on this endpoint, except those
/// with an order in progress or unanswered and those of another endpoint
/// process. Empty while the endpoint's state is unknown.
std::vector<wire::ReplicaReport> buildReplicaReports(const AgentState &State,
                                                     TimePoint Now);
/// Attempts in progress for \p Row.
uint32_t countRunningAttempts(const AgentState &State, const std::string &Row);

// attempts.cpp

/// Admits the attempt and starts its exchange, or refuses it with a reason. A
/// repeated delivery is answered with the attempt's state and starts nothing.
void handleAttempt(AgentState &State, const wire::Attempt &Attempt,
                   const std::string &ReplyAddress, TimePoint Now,
                   AgentEffects &Out);
/// Cancels a running attempt. An unknown one addressed to this process is
/// recorded as not run, so that a later delivery does not start it.
void cancelAttempt(AgentState &State, const wire::AttemptCancel &Cancel,
                   const std::string &ReplyAddress, TimePoint Now,
                   AgentEffects &Out);
/// Forwards a response head to the entry. A 404 of an engine ends the attempt
/// as not run.
void forwardHead(AgentState &State, const EndpointHead &Head,
                 AgentEffects &Out);
/// Forwards a part of the response body with its offset.
void forwardBody(AgentState &State, const EndpointBody &Body,
                 AgentEffects &Out);
/// Ends the attempt after a complete response and tells the entry its length.
void completeAttempt(AgentState &State, const AttemptKey &Key, TimePoint Now,
                     AgentEffects &Out);
/// Ends the attempt after a failed exchange: as not run when the request was
/// never sent, else as failed.
void failAttempt(AgentState &State, const ExchangeFailed &Failure,
                 TimePoint Now, AgentEffects &Out);
/// Confirms running attempts to their entries when due, and drops recent
/// failures that are past the death window.
void sendProgress(AgentState &State, TimePoint Now, AgentEffects &Out);
/// Adds a death report of \p EngineIncarnation with the digests of the running
/// and recently failed attempts. No report when there are none.
void recordDeath(AgentState &State, uint64_t EngineIncarnation, TimePoint Now);

} // namespace sassafras

#endif
