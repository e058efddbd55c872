#include "entry/entry_parts.h"

#include "core/hash.h"
#include "core/timing.h"

#include <algorithm>

namespace sassafras {

namespace {

/// Tokens that a weight of one earns in each turn.
constexpr double TurnTokens = 512;
/// Requests of one tenant looked at in one turn.
constexpr size_t MaxLookAhead = 64;
/// Turns in one go, so that a step stays short.
constexpr int MaxTurns = 64;
/// An unacknowledged attempt is sent again after this silence.
constexpr Millis AttemptResend{400};
/// Bytes of the body that stand for its prefix.
constexpr size_t PrefixBytes = 512;
/// Own requests that the prefix's endpoint may have above the least loaded.
constexpr uint32_t PrefixSlack = 2;

/// How one candidate endpoint compares.
struct Candidate {
  const wire::Endpoint *Endpoint = nullptr;
  uint64_t Fence = 0;
  uint32_t InFlight = 0;
  uint64_t PrefixRank = 0;
  bool IsNear = false;
};

uint32_t inFlightAt(const EntryState &State, const std::string &Endpoint) {
  auto it = State.InFlight.find(Endpoint);
  return it == State.InFlight.end() ? 0 : it->second;
}

std::vector<Candidate> listCandidates(const EntryState &State,
                                      const RequestState &Request,
                                      TimePoint Now) {
  std::vector<Candidate> found;
  auto names = State.Index.EndpointsOfRow.find(Request.Row);
  if (names == State.Index.EndpointsOfRow.end())
    return found;
  std::string prefix = Request.Caller.Body.substr(0, PrefixBytes);
  for (const std::string &it : names->second) {
    const wire::Endpoint *endpoint = findEndpoint(State.View.Items, it);
    bool isOpen = endpoint && endpoint->ready() && !endpoint->leaving();
    if (!isOpen)
      continue;
    bool isAvoided = Now < Request.AvoidUntil && Request.Avoid.contains(it);
    uint32_t inFlight = inFlightAt(State, it);
    if (isAvoided || inFlight >= endpoint->slots() ||
        (Request.IsSuspect && inFlight > 0))
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

/// The endpoint of the request's prefix unless it is clearly more loaded;
/// else the least loaded, a near one first.
const Candidate *chooseCandidate(const std::vector<Candidate> &Candidates) {
  if (Candidates.empty())
    return nullptr;
  const Candidate *least = &Candidates.front();
  const Candidate *affine = &Candidates.front();
  for (const Candidate &it : Candidates) {
    bool isBetter =
        it.InFlight < least->InFlight ||
        (it.InFlight == least->InFlight && it.IsNear && !least->IsNear);
    if (isBetter)
      least = &it;
    if (it.PrefixRank > affine->PrefixRank)
      affine = &it;
  }
  bool isFar = least->IsNear && !affine->IsNear;
  bool isLoaded = affine->InFlight > least->InFlight + PrefixSlack;
  return isFar || isLoaded ? least : affine;
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
  out.set_alone(Request.IsSuspect);
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
  attempt.LastHeard = Now;
  attempt.HeadDeadline = Now + Request.LongestWait;
  Request.Attempt = attempt;
  Request.Stage = RequestStage::Running;
  ++Request.Attempts;
  Request.HasHead = false;
  Request.Received = 0;
  Request.Events = 0;
  Request.Held.clear();
  Request.Early.clear();
  Request.Length.reset();
  ++State.InFlight[attempt.Endpoint];
  resendAttempt(State, Request, Now, Out);
}

/// Charges the request unless an earlier attempt was charged. False, with
/// the wish noted, when the tenant's tokens are not at hand.
bool charge(EntryState &State, RequestState &Request, TimePoint Now) {
  bool isFree = Request.Tenant.empty() || Request.Caller.Cost == 0;
  if (isFree || Request.Charged > 0)
    return true;
  if (!spendTokens(State.Tokens, Request.Tenant, Request.Caller.Cost, Now)) {
    addTokenDemand(State.Tokens, Request.Tenant, Request.Caller.Cost);
    return false;
  }
  Request.Charged = Request.Caller.Cost;
  Request.ChargedAt = Now;
  return true;
}

enum class StartResult { Started, NoEndpoint, NoTokens, NoView, NoKey };

StartResult tryStart(EntryState &State, RequestState &Request, TimePoint Now,
                     EntryEffects &Out) {
  if (!Request.Tenant.empty() && !isConfirmed(State.View, Now))
    return StartResult::NoView;
  // The key may have gone since the request was admitted.
  if (!isKeyValid(State, Request))
    return StartResult::NoKey;
  auto candidates = listCandidates(State, Request, Now);
  const Candidate *choice = chooseCandidate(candidates);
  if (!choice) {
    auto names = State.Index.EndpointsOfRow.find(Request.Row);
    bool isLoaded = names != State.Index.EndpointsOfRow.end();
    Request.WasCold |= !isLoaded && Request.Attempts == 0;
    return StartResult::NoEndpoint;
  }
  if (!charge(State, Request, Now))
    return StartResult::NoTokens;
  startAttempt(State, Request, *choice, Now, Out);
  return StartResult::Started;
}

double weightOf(const EntryState &State, const std::string &Tenant) {
  const wire::TableRow *row = findRow(State.View.Items, Tenant);
  return row ? std::max(1U, row->weight()) : 1.0;
}

/// One turn of one tenant; true when something started.
bool takeTurn(EntryState &State, const std::string &Tenant, TenantQueue &Queue,
              TimePoint Now, EntryEffects &Out) {
  Queue.Deficit += TurnTokens * weightOf(State, Tenant);
  bool hasStarted = false;
  bool isHeldByDeficit = false;
  size_t looked = 0;
  for (auto it = Queue.Requests.begin();
       it != Queue.Requests.end() && looked < MaxLookAhead; ++looked) {
    RequestState &request = State.Requests.at(*it);
    auto cost = static_cast<double>(std::max<uint64_t>(request.Caller.Cost, 1));
    if (cost > Queue.Deficit) {
      isHeldByDeficit = true;
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
  // Only a tenant whose next request costs more may save up.
  if (!isHeldByDeficit)
    Queue.Deficit = 0;
  return hasStarted || isHeldByDeficit;
}

std::vector<std::string> tenantsInTurn(const EntryState &State) {
  std::vector<std::string> tenants;
  for (const auto &[tenant, queue] : State.Queues)
    if (!queue.Requests.empty())
      tenants.push_back(tenant);
  auto first =
      std::lower_bound(tenants.begin(), tenants.end(), State.NextTenant);
  std::rotate(tenants.begin(), first, tenants.end());
  return tenants;
}

Refusal overdueRefusal(const EntryState &State, const RequestState &Request,
                       TimePoint Now) {
  Refusal why{
      RefusalReason::NoCapacity, RanState::NotRun, std::chrono::seconds(5), {}};
  if (Request.Stage == RequestStage::Claiming)
    why.Reason = Request.HasTwin ? RefusalReason::Duplicate
                                 : RefusalReason::ClaimUnavailable;
  else if (!Request.Tenant.empty() && !isConfirmed(State.View, Now))
    why.Reason = RefusalReason::KeyUnconfirmed;
  else if (State.Index.EndpointsOfRow.contains(Request.Row))
    why.Reason = Request.Charged == 0 && Request.Caller.Cost > 0 &&
                         !Request.Tenant.empty()
                     ? RefusalReason::RateExceeded
                     : RefusalReason::DeadlineUnreachable;
  return why;
}

} // namespace

void enqueue(EntryState &State, RequestState &Request, bool AtFront) {
  Request.Stage = RequestStage::Queued;
  auto &queue = State.Queues[Request.Tenant].Requests;
  if (AtFront)
    queue.push_front(Request.Caller.Id);
  else
    queue.push_back(Request.Caller.Id);
}

void resendAttempt(EntryState &State, RequestState &Request, TimePoint Now,
                   EntryEffects &Out) {
  Request.Attempt->NextResend = Now + AttemptResend;
  Out.push_back(
      EntrySend{Request.Attempt->Address, makeAttempt(State, Request, Now)});
}

void dequeue(EntryState &State, const RequestState &Request) {
  auto queue = State.Queues.find(Request.Tenant);
  if (queue != State.Queues.end())
    std::erase(queue->second.Requests, Request.Caller.Id);
}

void dispatchRequests(EntryState &State, TimePoint Now, EntryEffects &Out) {
  State.Tokens.PendingDemands.clear();
  for (int turn = 0; turn < MaxTurns; ++turn) {
    std::vector<std::string> tenants = tenantsInTurn(State);
    bool isBusy = false;
    for (const std::string &it : tenants)
      isBusy |= takeTurn(State, it, State.Queues[it], Now, Out);
    if (tenants.size() > 1)
      State.NextTenant = tenants[1];
    if (!isBusy)
      return;
    // The last turn's wishes are the ones that stand.
    if (turn + 1 < MaxTurns)
      State.Tokens.PendingDemands.clear();
  }
}

void refuseOverdue(EntryState &State, TimePoint Now, EntryEffects &Out) {
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
      refuseRequest(State, it, overdueRefusal(State, request, Now), Now, Out);
  }
}

} // namespace sassafras
