#include "entry/entry_internal.h"

#include "core/timing.h"
#include "fleet/fleet_state.h"

#include <algorithm>

namespace sassafras {

namespace {

constexpr std::string_view ClaimPrefix = "claim/";
constexpr std::string_view OutcomePrefix = "outcome/";
constexpr std::string_view ReleasePrefix = "release/";
/// How often a duplicate request asks whether the request that holds its claim
/// has ended.
constexpr Millis ClaimHolderPollInterval{1000};

std::string contentTypeOf(const RequestState &Request) {
  for (const HttpHeader &it : Request.Headers)
    if (it.Name == "content-type")
      return it.Value;
  return {};
}

wire::Command makeCommand(const RequestState &Request) {
  wire::Command command;
  if (Request.Stage == RequestStage::Claiming) {
    wire::ClaimRequest &claim = *command.mutable_claim();
    claim.set_digest(Request.ClaimDigest);
    claim.set_tenant(Request.Organisation);
    claim.set_request_id(Request.Caller.Id);
    claim.set_window_ms(Request.ClaimWindowMs);
    return command;
  }
  wire::ClaimOutcome &outcome = *command.mutable_claim_outcome();
  outcome.set_digest(Request.ClaimDigest);
  outcome.set_request_id(Request.Caller.Id);
  outcome.set_status(Request.Status);
  outcome.set_content_type(contentTypeOf(Request));
  // A larger response is not recorded: a resend learns only that the request
  // ran.
  if (Request.BufferedBody.size() <= MaxClaimBody)
    outcome.set_body(Request.BufferedBody);
  return command;
}

void sendRelease(EntryState &State, TimePoint Now, EntryEffects &Out) {
  const wire::ClaimOutcome &release = State.PendingReleases.front();
  wire::Envelope message;
  wire::Proposal &proposal = *message.mutable_proposal();
  proposal.set_request_id(std::string(ReleasePrefix) + release.request_id());
  *proposal.mutable_command()->mutable_claim_outcome() = release;
  State.NextRelease = Now + timing::ProposalRetry;
  sendToControl(State, message, Out);
}

/// Completes the request with the recorded response of the earlier request that
/// held the claim.
void replayResponse(EntryState &State, RequestState &Request,
                    const wire::Claim &Claim, TimePoint Now,
                    EntryEffects &Out) {
  Request.Status = Claim.status();
  Request.BufferedBody = Claim.body();
  Request.Headers = {{"idempotent-replay", "true"}};
  if (!Claim.content_type().empty())
    Request.Headers.push_back({"content-type", Claim.content_type()});
  Request.HasHead = true;
  completeResponse(State, Request, Now, Out);
}

void handleDuplicate(EntryState &State, RequestState &Request,
                     const wire::Claim &Claim, TimePoint Now,
                     EntryEffects &Out) {
  if (Claim.finished()) {
    replayResponse(State, Request, Claim, Now, Out);
    return;
  }
  Request.IsClaimHeldByOther = true;
  Request.MayHaveRun = true;
  Request.NextProposal = Now + ClaimHolderPollInterval;
}

void handleClaimDecision(EntryState &State, RequestState &Request,
                         const wire::ProposalReply &Reply, TimePoint Now,
                         EntryEffects &Out) {
  switch (Reply.status()) {
  case wire::PROPOSAL_ACCEPTED:
    // If another request held the claim before, it is known not to have run.
    Request.IsClaimHeldByOther = false;
    Request.MayHaveRun = false;
    enqueue(State, Request, false);
    return;
  case wire::PROPOSAL_DUPLICATE:
    return handleDuplicate(State, Request, Reply.claim(), Now, Out);
  case wire::PROPOSAL_INVALID:
    refuseRequest(State, Request.Caller.Id,
                  {RefusalReason::ClaimUnavailable, RanState::NotRun,
                   std::chrono::seconds(0), Reply.reason()},
                  Now, Out);
    return;
  default:
    return;
  }
}

/// Handles a claim granted to a request that has ended in the meantime.
/// Releases it only if this process knows that the request did not run.
void releaseOrphanedClaim(EntryState &State, const wire::ProposalReply &Reply) {
  if (Reply.status() != wire::PROPOSAL_ACCEPTED || !Reply.has_claim() ||
      !State.NotRunIds.contains(Reply.claim().request_id()))
    return;
  wire::ClaimOutcome release;
  release.set_digest(Reply.claim().digest());
  release.set_request_id(Reply.claim().request_id());
  release.set_not_run(true);
  State.PendingReleases.push_back(std::move(release));
}

} // namespace

void sendClaimProposal(EntryState &State, RequestState &Request, TimePoint Now,
                       EntryEffects &Out) {
  wire::Envelope message;
  wire::Proposal &proposal = *message.mutable_proposal();
  bool isClaim = Request.Stage == RequestStage::Claiming;
  proposal.set_request_id(std::string(isClaim ? ClaimPrefix : OutcomePrefix) +
                          Request.Caller.Id);
  *proposal.mutable_command() = makeCommand(Request);
  Request.NextProposal = Now + timing::ProposalRetry;
  sendToControl(State, message, Out);
}

void releaseClaim(EntryState &State, const RequestState &Request) {
  if (Request.ClaimDigest.empty())
    return;
  wire::ClaimOutcome release;
  release.set_digest(Request.ClaimDigest);
  release.set_request_id(Request.Caller.Id);
  release.set_not_run(true);
  State.PendingReleases.push_back(std::move(release));
  if (State.NotRunIds.insert(Request.Caller.Id).second)
    State.NotRunOrder.push_back(Request.Caller.Id);
  if (State.NotRunOrder.size() <= MaxNotRunIds)
    return;
  State.NotRunIds.erase(State.NotRunOrder.front());
  State.NotRunOrder.pop_front();
}

void handleClaimReply(EntryState &State, const wire::ProposalReply &Reply,
                      TimePoint Now, EntryEffects &Out) {
  const std::string &id = Reply.request_id();
  bool isDecided = Reply.status() == wire::PROPOSAL_ACCEPTED ||
                   Reply.status() == wire::PROPOSAL_INVALID;
  if (id.starts_with(ReleasePrefix)) {
    bool isFirst = !State.PendingReleases.empty() &&
                   id.substr(ReleasePrefix.size()) ==
                       State.PendingReleases.front().request_id();
    if (isDecided && isFirst) {
      State.PendingReleases.pop_front();
      State.NextRelease = Now;
    }
    return;
  }
  if (id.starts_with(ClaimPrefix)) {
    auto it = State.Requests.find(id.substr(ClaimPrefix.size()));
    if (it == State.Requests.end())
      releaseOrphanedClaim(State, Reply);
    else if (it->second.Stage == RequestStage::Claiming)
      handleClaimDecision(State, it->second, Reply, Now, Out);
    return;
  }
  if (!id.starts_with(OutcomePrefix) || !isDecided)
    return;
  auto it = State.Requests.find(id.substr(OutcomePrefix.size()));
  if (it != State.Requests.end() && it->second.Stage == RequestStage::Recording)
    completeResponse(State, it->second, Now, Out);
}

void retryClaimProposals(EntryState &State, TimePoint Now, EntryEffects &Out) {
  if (!State.PendingReleases.empty() && isPast(State.NextRelease, Now))
    sendRelease(State, Now, Out);
  std::vector<std::string> due;
  for (const auto &[id, request] : State.Requests) {
    bool isProposalPending = request.Stage == RequestStage::Claiming ||
                             request.Stage == RequestStage::Recording;
    if (isProposalPending && isPast(request.NextProposal, Now))
      due.push_back(id);
  }
  for (const std::string &it : due) {
    RequestState &request = State.Requests.at(it);
    bool isLate = request.Stage == RequestStage::Recording &&
                  isPast(request.Deadline, Now);
    // The response is complete, so it is delivered although its outcome is not
    // recorded; a resend is refused with RanState::MayHaveRun.
    if (isLate)
      completeResponse(State, request, Now, Out);
    else
      sendClaimProposal(State, request, Now, Out);
  }
}

} // namespace sassafras
