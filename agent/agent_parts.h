/// \file
/// Parts of the agent's decisions that its modules share.
#ifndef SASSAFRAS_AGENT_AGENT_PARTS_H
#define SASSAFRAS_AGENT_AGENT_PARTS_H

#include "agent/agent_state.h"

namespace sassafras {

// orders.cpp

/// Brings the endpoint to what the view says: loads, unloads, strangers.
void reconcileReplicas(AgentState &State, TimePoint Now, AgentEffects &Out);
/// Takes the endpoint's report of what it holds.
void takeReport(AgentState &State, const EndpointReport &Report, TimePoint Now);
/// Believes no report before one must have been made after \p Now.
void distrustReports(AgentState &State, TimePoint Now);
/// True when it is known what the endpoint holds.
bool isEndpointKnown(const AgentState &State, TimePoint Now);
void takeOrderDone(AgentState &State, const OrderResult &Done, TimePoint Now);
/// Forgets what the endpoint held: a new process holds nothing of it.
void forgetEndpoint(AgentState &State);
/// Loaded rows that the view does not list.
std::vector<std::string> listUnassignedRows(const AgentState &State);
/// One report for each replica of the view.
std::vector<wire::ReplicaReport> reportReplicas(const AgentState &State,
                                                TimePoint Now);
uint32_t countRunning(const AgentState &State, const std::string &Row);

// attempts.cpp

void takeAttempt(AgentState &State, const wire::Attempt &Attempt,
                 const std::string &ReplyAddress, TimePoint Now,
                 AgentEffects &Out);
void cancelAttempt(AgentState &State, const wire::AttemptCancel &Cancel,
                   const std::string &ReplyAddress, TimePoint Now,
                   AgentEffects &Out);
void passHead(AgentState &State, const EndpointHead &Head, AgentEffects &Out);
void passBody(AgentState &State, const EndpointBody &Body, AgentEffects &Out);
void endAttempt(AgentState &State, const AttemptKey &Key, TimePoint Now,
                AgentEffects &Out);
void breakAttempt(AgentState &State, const ExchangeFailed &Broken,
                  TimePoint Now, AgentEffects &Out);
/// Tells the entries that their attempts still run.
void sendProgress(AgentState &State, TimePoint Now, AgentEffects &Out);
/// Charges the death of \p EngineIncarnation to what ran there.
void recordDeath(AgentState &State, uint64_t EngineIncarnation, TimePoint Now);

} // namespace sassafras

#endif
