/// \file
/// Functions shared by the source files of the entry's state machine.
#ifndef SASSAFRAS_ENTRY_ENTRY_INTERNAL_H
#define SASSAFRAS_ENTRY_ENTRY_INTERNAL_H

#include "entry/entry_state.h"

namespace sassafras {

// admission.cpp

/// Checks a received request and queues it, proposes its claim, or refuses it.
void admitRequest(EntryState &State, const CallerRequest &Caller, TimePoint Now,
                  EntryEffects &Out);
/// Rebuilds State.Index if the version of the view has changed.
void refreshIndex(EntryState &State, TimePoint Now);
/// True while the request's key still belongs to its organisation and the row
/// still admits it; for a request without an organisation, while the row is
/// open.
bool isKeyValid(const EntryState &State, const RequestState &Request);
/// True while a quarantine of the request's digest is in force.
bool isQuarantined(const EntryState &State, const RequestState &Request,
                   TimePoint Now);

// dispatch.cpp

/// Starts queued requests by deficit round robin over the organisations,
/// weighted by their table rows.
void dispatchRequests(EntryState &State, TimePoint Now, EntryEffects &Out);
/// Refuses queued and claiming requests that are past their deadline,
/// quarantined, or whose key is no longer valid.
void refuseExpiredRequests(EntryState &State, TimePoint Now, EntryEffects &Out);
/// Adds a request to its organisation's queue; retries go to the front.
void enqueue(EntryState &State, RequestState &Request, bool AtFront);
/// Sends the running attempt to its agent. Safe to repeat: the agent identifies
/// the attempt by its number.
void resendAttempt(EntryState &State, RequestState &Request, TimePoint Now,
                   EntryEffects &Out);
/// Removes a request from its organisation's queue, if it is there.
void dequeue(EntryState &State, const RequestState &Request);

// responses.cpp

/// Handles an agent's message about an attempt. Messages of earlier attempts
/// are ignored.
void handleAttemptReply(EntryState &State, const wire::AttemptReply &Reply,
                        TimePoint Now, EntryEffects &Out);
/// Resends unacknowledged attempts, abandons lost ones, and terminates those
/// past their head deadline or whose key was withdrawn.
void checkAttempts(EntryState &State, TimePoint Now, EntryEffects &Out);
/// Handles a caller that disconnected or, with \p IsSlow, reads too slowly.
void handleCallerLoss(EntryState &State, const std::string &Id, bool IsSlow,
                      TimePoint Now, EntryEffects &Out);
/// Ends the request with \p Why, reported as RanState::MayHaveRun when it may
/// have run. Releases the claim of a request that did not run.
void refuseRequest(EntryState &State, const std::string &Id, Refusal Why,
                   TimePoint Now, EntryEffects &Out);
/// Removes the request with its attempt and returns the tokens charged beyond
/// \p UsedTokens.
void closeRequest(EntryState &State, const std::string &Id, uint64_t UsedTokens,
                  TimePoint Now);
/// Sends what remains of the response to the caller and ends the request.
void completeResponse(EntryState &State, RequestState &Request, TimePoint Now,
                      EntryEffects &Out);

// claims.cpp

/// Proposes the request's claim, or its outcome in the stage Recording, to the
/// control leader.
void sendClaimProposal(EntryState &State, RequestState &Request, TimePoint Now,
                       EntryEffects &Out);
/// Handles the reply to a proposed claim, outcome or release.
void handleClaimReply(EntryState &State, const wire::ProposalReply &Reply,
                      TimePoint Now, EntryEffects &Out);
/// Queues the release of the claim of a request that is known not to have run.
/// Does nothing for a request without a claim.
void releaseClaim(EntryState &State, const RequestState &Request);
/// Proposes claims, outcomes and releases again that were not acknowledged.
void retryClaimProposals(EntryState &State, TimePoint Now, EntryEffects &Out);

/// Sends \p Message to the leader, or to every control process while the
/// leader is unknown.
void sendToControl(EntryState &State, const wire::Envelope &Message,
                   EntryEffects &Out);
/// Adds a CounterIncrement to \p Out.
void incrementCounter(EntryEffects &Out, std::string Name,
                      std::string Labels = {});

} // namespace sassafras

#endif
