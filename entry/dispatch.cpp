#include "entry/entry_internal.h"

#include "core/hash.h"
#include "core/timing.h"

#include <algorithm>

namespace sassafras {

namespace {

/// Deficit round robin quantum: tokens added per unit of weight in each round.
constexpr double QuantumTokens = 512;
/// Maximum number of requests of one organisation examined in one round.
constexpr size_t MaxLookAhead = 64;
/// Maximum number of rounds in one step, so that a step stays short.
constexpr int MaxRounds = 64;
/// An unacknowledged attempt is sent again after this time.
constexpr Millis AttemptResendInterval{400};
/// Leading bytes of the body that are hashed for prefix affinity.
constexpr size_t PrefixHashBytes = 512;
/// How many more requests of this entry may be in flight at the endpoint with
/// prefix affinity than at the least loaded one.
constexpr uint32_t PrefixLoadSlack = 2;

/// An endpoint that can take a request, with the criteria for choosing it.
struct Candidate {
  const wire::Endpoint *Endpoint = nullptr;
  uint64_t Fence = 0;
  uint32_t InFlight = 0;
  uint64_t PrefixRank = 0;
  bool IsSameZone = false;
};

uint32_t inFlightAt(const EntryState &State, const std::string &Endpoint) {
  auto it = State.InFlight.find(Endpoint);
  return it == State.InFlight.end() ? 0 : it->second;
}

std::vector<Candidate> listCandidates(const EntryState &State,
                                      const RequestState &Request,
                                      TimePoint Now) {
  std::vector<Candidate> found;
  auto names = State.Index.EndpointsByRow.find(Request.Row);
  if (names == State.Index.EndpointsByRow.end())
    return found;
  std::string prefix = Request.Caller.Body.substr(0, PrefixHashBytes);
  for (const std::string &it : names->second) {
    const wire::Endpoint *endpoint = findEndpoint(State.View.Items, it);
    bool isAvailable = endpoint && endpoint->ready() && !endpoint->leaving();
    if (!isAvailable)
      continue;
    bool isAvoided =
        Now < Request.AvoidUntil && Request.AvoidedEndpoints.contains(it);
    uint32_t inFlight = inFlightAt(State, it);
    if (isAvoided || inFlight >= endpoint->slots() ||
        (Request.RunsAlone && inFlight > 0))
      continue;
    Candidate candidate{endpoint, 0, inFlight, checksumOf(prefix + it),
                        endpoint->zone() == State.Options.Zone};
    if (const wire::Replica *replica =
            findReplica(State.View.Items, it, Request.Row))
      candidate.Fence = replica->fence();
    found.push_back(candidate);
  }
  return found;
}

/// Returns the endpoint with prefix affinity (highest rendezvous hash), or the
/// least loaded one, preferring the own zone, if the former is clearly more
/// loaded or is in another zone while the latter is not. Null without
/// candidates.
const Candidate *chooseCandidate(const std::vector<Candidate> &Candidates) {
  if (Candidates.empty())
    return nullptr;
  const Candidate *least = &Candidates.front();
  const Candidate *affine = &Candidates.front();
  for (const Candidate &it : Candidates) {
    bool isBetter =
        it.InFlight < least->InFlight ||
        (it.InFlight == least->InFlight && it.IsSameZone && !least->IsSameZone);
    if (isBetter)
      least = &it;
    if (it.PrefixRank > affine->PrefixRank)
      affine = &it;
  }
  bool isOtherZone = least->IsSameZone && !affine->IsSameZone;
  bool isLoaded = affine->InFlight > least->InFlight + PrefixLoadSlack;
  return isOtherZone || isLoaded ? least : affine;
}

wire::Envelope makeAttempt(const EntryState &State, const RequestState &Request,
                           TimePoint Now) {
  const RunningAttempt &attempt = *Request.Attempt;
  wire::Envelope message;
  wire::Attempt &out = *message.mutable_attempt();
  out.set_request_id(Request.Caller.Id);
  out.set_number(Request.Attempts);
  out.set_agent_incarnation(attempt.Incarnation);
  out.set_stamp_term(State.View.Term);
  uint64_t leaseLeft = toMillis(State.View.LeaseEnd - Now);
  out.set_stamp_until_ms(fleetTimeMs(State.View, Now) + leaseLeft);
  out.set_remaining_ms(toMillis(attempt.HeadDeadline - Now));
  out.set_row(Request.Row);
  out.set_fence(attempt.Fence);
  out.set_alone(Request.RunsAlone);
  out.set_digest(Request.Digest);
  out.set_method(Request.Caller.Method);
  out.set_target(Request.Caller.Target);
  for (const HttpHeader &it : Request.Caller.Headers) {
    wire::Header &header = *out.add_headers();
    header.set_name(it.Name);
    header.set_value(it.Value);
  }
  out.set_body(Request.Caller.Body);
  return message;
}

void startAttempt(EntryState &State, RequestState &Request,
                  const Candidate &Choice, TimePoint Now, EntryEffects &Out) {
  RunningAttempt attempt;
  attempt.Endpoint = Choice.Endpoint->name();
  attempt.Address = Choice.Endpoint->address();
  attempt.Incarnation = Choice.Endpoint->incarnation();
  attempt.Fence = Choice.Fence;
  attempt.LastReplyAt = Now;
  attempt.HeadDeadline = Now + Request.LongestWait;
  Request.Attempt = attempt;
  Request.Stage = RequestStage::Running;
  ++Request.Attempts;
  Request.HasHead = false;
  Request.ReceivedBytes = 0;
  Request.EventCount = 0;
  Request.BufferedBody.clear();
  Request.OutOfOrderChunks.clear();
  Request.BodyLength.reset();
  ++State.InFlight[attempt.Endpoint];
  resendAttempt(State, Request, Now, Out);
}

/// Charges the request unless an earlier attempt was charged. Returns false,
/// and notes the tokens to be requested, when the organisation holds too few
/// here.
bool charge(EntryState &State, RequestState &Request, TimePoint Now) {
  bool isFree = Request.Organisation.empty() || Request.Caller.Cost == 0;
  if (isFree || Request.Charged > 0)
    return true;
  if (!spendTokens(State.Tokens, Request.Organisation, Request.Caller.Cost,
                   Now)) {
    addTokenDemand(State.Tokens, Request.Organisation, Request.Caller.Cost);
    return false;
  }
  Request.Charged = Request.Caller.Cost;
  Request.ChargedAt = Now;
  return true;
}

enum class StartResult { Started, NoEndpoint, NoTokens, NoView, NoKey };

StartResult tryStart(EntryState &State, RequestState &Request, TimePoint Now,
                     EntryEffects &Out) {
  if (!Request.Organisation.empty() && !isConfirmed(State.View, Now))
    return StartResult::NoView;
  // The key may have been withdrawn since the request was admitted.
  if (!isKeyValid(State, Request))
    return StartResult::NoKey;
  auto candidates = listCandidates(State, Request, Now);
  const Candidate *choice = chooseCandidate(candidates);
  if (!choice) {
    auto names = State.Index.EndpointsByRow.find(Request.Row);
    bool isLoaded = names != State.Index.EndpointsByRow.end();
    Request.IsColdStart |= !isLoaded && Request.Attempts == 0;
    return StartResult::NoEndpoint;
  }
  if (!charge(State, Request, Now))
    return StartResult::NoTokens;
  startAttempt(State, Request, *choice, Now, Out);
  return StartResult::Started;
}

double weightOf(const EntryState &State, const std::string &Organisation) {
  const wire::TableRow *row = findRow(State.View.Items, Organisation);
  return row ? std::max(1U, row->weight()) : 1.0;
}

/// Serves one organisation in one round. Returns true when a further round may
/// start more: a request was started, or the next one costs more than the
/// deficit.
bool serveOrganisation(EntryState &State, const std::string &Organisation,
                       OrganisationQueue &Queue, TimePoint Now,
                       EntryEffects &Out) {
  Queue.Deficit += QuantumTokens * weightOf(State, Organisation);
  bool hasStarted = false;
  bool isBlockedByDeficit = false;
  size_t examined = 0;
  for (auto it = Queue.Requests.begin();
       it != Queue.Requests.end() && examined < MaxLookAhead; ++examined) {
    RequestState &request = State.Requests.at(*it);
    auto cost = static_cast<double>(std::max<uint64_t>(request.Caller.Cost, 1));
    if (cost > Queue.Deficit) {
      isBlockedByDeficit = true;
      break;
    }
    StartResult result = tryStart(State, request, Now, Out);
    if (result == StartResult::NoTokens || result == StartResult::NoView)
      break;
    if (result != StartResult::Started) {
      ++it;
      continue;
    }
    Queue.Deficit -= cost;
    hasStarted = true;
    it = Queue.Requests.erase(it);
  }
  // The deficit is carried over only while the next request costs more than it;
  // otherwise an organisation that cannot use it would accumulate credit.
  if (!isBlockedByDeficit)
    Queue.Deficit = 0;
  return hasStarted || isBlockedByDeficit;
}

std::vector<std::string> organisationsInRoundOrder(const EntryState &State) {
  std::vector<std::string> organisations;
  for (const auto &[organisation, queue] : State.Queues)
    if (!queue.Requests.empty())
      organisations.push_back(organisation);
  auto first = std::lower_bound(organisations.begin(), organisations.end(),
                                State.NextOrganisation);
  std::rotate(organisations.begin(), first, organisations.end());
  return organisations;
}

Refusal expiredRefusal(const EntryState &State, const RequestState &Request,
                       TimePoint Now) {
  Refusal why{
      RefusalReason::NoCapacity, RanState::NotRun, std::chrono::seconds(5), {}};
  if (Request.Stage == RequestStage::Claiming)
    why.Reason = Request.IsClaimHeldByOther ? RefusalReason::Duplicate
                                            : RefusalReason::ClaimUnavailable;
  else if (!Request.Organisation.empty() && !isConfirmed(State.View, Now))
    why.Reason = RefusalReason::KeyUnconfirmed;
  else if (State.Index.EndpointsByRow.contains(Request.Row))
    why.Reason = Request.Charged == 0 && Request.Caller.Cost > 0 &&
                         !Request.Organisation.empty()
                     ? RefusalReason::RateExceeded
                     : RefusalReason::DeadlineUnreachable;
  return why;
}

} // namespace

void enqueue(EntryState &State, RequestState &Request, bool AtFront) {
  Request.Stage = RequestStage::Queued;
  auto &queue = State.Queues[Request.Organisation].Requests;
  if (AtFront)
    queue.push_front(Request.Caller.Id);
  else
    queue.push_back(Request.Caller.Id);
}

void resendAttempt(EntryState &State, RequestState &Request, TimePoint Now,
                   EntryEffects &Out) {
  Request.Attempt->NextResend = Now + AttemptResendInterval;
  Out.push_back(
      EntrySend{Request.Attempt->Address, makeAttempt(State, Request, Now)});
}

void dequeue(EntryState &State, const RequestState &Request) {
  auto queue = State.Queues.find(Request.Organisation);
  if (queue != State.Queues.end())
    std::erase(queue->second.Requests, Request.Caller.Id);
}

void dispatchRequests(EntryState &State, TimePoint Now, EntryEffects &Out) {
  State.Tokens.PendingDemands.clear();
  for (int round = 0; round < MaxRounds; ++round) {
    std::vector<std::string> organisations = organisationsInRoundOrder(State);
    bool needsAnotherRound = false;
    for (const std::string &it : organisations)
      needsAnotherRound |=
          serveOrganisation(State, it, State.Queues[it], Now, Out);
    if (organisations.size() > 1)
      State.NextOrganisation = organisations[1];
    if (!needsAnotherRound)
      return;
    // Only the demands noted in the last round are requested.
    if (round + 1 < MaxRounds)
      State.Tokens.PendingDemands.clear();
  }
}

void refuseExpiredRequests(EntryState &State, TimePoint Now,
                           EntryEffects &Out) {
  std::vector<std::string> waiting;
  for (const auto &[id, request] : State.Requests)
    if (request.Stage == RequestStage::Queued ||
        request.Stage == RequestStage::Claiming)
      waiting.push_back(id);
  for (const std::string &it : waiting) {
    const RequestState &request = State.Requests.at(it);
    if (isConfirmed(State.View, Now) && !isKeyValid(State, request))
      refuseRequest(State, it, {RefusalReason::KeyUnknown}, Now, Out);
    else if (isQuarantined(State, request, Now))
      refuseRequest(State, it, {RefusalReason::Quarantined}, Now, Out);
    else if (isPast(request.Deadline, Now))
      refuseRequest(State, it, expiredRefusal(State, request, Now), Now, Out);
  }
}

} // namespace sassafras
