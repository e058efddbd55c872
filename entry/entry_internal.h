/// \file
/// Parts of the entry's decisions that its modules share.
#ifndef SASSAFRAS_ENTRY_ENTRY_INTERNAL_H
#define SASSAFRAS_ENTRY_ENTRY_INTERNAL_H

#include "entry/entry_state.h"

namespace sassafras {

// admission.cpp

/// Checks an arrived request and queues or refuses it.
void admitRequest(EntryState &State, const CallerRequest &Caller, TimePoint Now,
                  EntryEffects &Out);
/// Makes the look-ups anew when the view has changed.
void refreshIndex(EntryState &State, TimePoint Now);
/// True while the key that came with the request is the tenant's.
bool isKeyValid(const EntryState &State, const RequestState &Request);
/// True when the request's digest is barred.
bool isQuarantined(const EntryState &State, const RequestState &Request,
                   TimePoint Now);

// dispatch.cpp

/// Starts what can start: tenants in turn, each by its weight.
void dispatchRequests(EntryState &State, TimePoint Now, EntryEffects &Out);
/// Refuses queued requests whose time is over or whose key is gone.
void refuseExpiredRequests(EntryState &State, TimePoint Now, EntryEffects &Out);
/// Puts a request (back) into its tenant's queue.
void enqueue(EntryState &State, RequestState &Request, bool AtFront);
/// Sends the running attempt again; the agent knows it by its number.
void resendAttempt(EntryState &State, RequestState &Request, TimePoint Now,
                   EntryEffects &Out);
/// Takes a request out of its tenant's queue.
void dequeue(EntryState &State, const RequestState &Request);

// responses.cpp

/// Takes what an agent says of an attempt.
void handleAttemptReply(EntryState &State, const wire::AttemptReply &Reply,
                        TimePoint Now, EntryEffects &Out);
/// Resends, gives up on lost attempts and cuts answers of withdrawn keys.
void checkAttempts(EntryState &State, TimePoint Now, EntryEffects &Out);
/// The caller went away or does not read.
void handleCallerLoss(EntryState &State, const std::string &Id, bool IsSlow,
                      TimePoint Now, EntryEffects &Out);
/// Ends the request with \p Why; says "may have run" when it may.
void refuseRequest(EntryState &State, const std::string &Id, Refusal Why,
                   TimePoint Now, EntryEffects &Out);
/// Forgets the request, its attempt and its charge's unused part.
void closeRequest(EntryState &State, const std::string &Id, uint64_t UsedTokens,
                  TimePoint Now);
/// Gives the caller the whole answer and ends the request.
void completeResponse(EntryState &State, RequestState &Request, TimePoint Now,
                      EntryEffects &Out);

// claims.cpp

/// Sends the request's claim or its outcome to the control leader.
void sendClaimProposal(EntryState &State, RequestState &Request, TimePoint Now,
                       EntryEffects &Out);
/// Takes the leader's answer about a claim or an outcome.
void handleClaimReply(EntryState &State, const wire::ProposalReply &Reply,
                      TimePoint Now, EntryEffects &Out);
/// Notes that a claimed request surely did not run.
void releaseClaim(EntryState &State, const RequestState &Request);
/// Repeats claims, outcomes and releases that were not answered.
void retryClaimProposals(EntryState &State, TimePoint Now, EntryEffects &Out);

/// Sends \p Message to the leader, or to every control process while the
/// leader is unknown.
void sendToControl(EntryState &State, const wire::Envelope &Message,
                   EntryEffects &Out);
void incrementCounter(EntryEffects &Out, std::string Name,
                      std::string Labels = {});

} // namespace sassafras

#endif
