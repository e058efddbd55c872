#include "entry/entry_state.h"

#include "core/timing.h"
#include "entry/entry_parts.h"

#include <limits>

namespace sassafras {

namespace {

/// A row newly waited for is reported at once, but not more often than this.
constexpr Millis DemandSpacing{50};
/// How far ahead tokens are counted on for waking a model.
constexpr std::chrono::seconds LoadHorizon{10};

/// Tokens that \p Tenant can spend before a load that starts now would end:
/// what waits beyond that must not wake a model, since it could not run.
uint64_t tokensInSight(const EntryState &State, const std::string &Tenant,
                       TimePoint Now) {
  const wire::TableRow *row = findRow(State.View.Items, Tenant);
  if (!row)
    return std::numeric_limits<uint64_t>::max();
  if (!State.Tokens.DepletedOrganisations.contains(Tenant))
    return row->burst();
  return heldTokens(State.Tokens, Tenant, Now) +
         row->rate() * static_cast<uint64_t>(LoadHorizon.count());
}

void addDemand(const EntryState &State, wire::ModelDemand &Row,
               const RequestState &Request, TimePoint Now) {
  Row.set_waiting(Row.waiting() + 1);
  TimePoint since = Request.Arrived;
  auto loaded = State.Index.LoadedSince.find(Request.Row);
  Row.set_loaded(loaded != State.Index.LoadedSince.end());
  if (Row.loaded())
    since = std::max(since, loaded->second);
  uint64_t waited = toMillis(Now - since);
  if (waited < Row.oldest_wait_ms())
    return;
  Row.set_oldest_wait_ms(waited);
  Row.set_tenant(Request.Tenant);
}

std::map<std::string, wire::ModelDemand> sumDemand(const EntryState &State,
                                                   TimePoint Now) {
  std::map<std::string, wire::ModelDemand> sum;
  for (const auto &[row, n] : State.Arrivals)
    sum[row].set_arrivals(n);
  for (const auto &[tenant, queue] : State.Queues) {
    uint64_t inSight = tokensInSight(State, tenant, Now);
    uint64_t ahead = 0;
    for (const std::string &it : queue.Requests) {
      const RequestState &request = State.Requests.at(it);
      ahead += request.Charged > 0 ? 0 : request.Caller.Cost;
      if (ahead > inSight)
        break;
      addDemand(State, sum[request.Row], request, Now);
    }
  }
  return sum;
}

void sendHeartbeat(EntryState &State, TimePoint Now, EntryEffects &Out) {
  wire::Envelope message;
  wire::Heartbeat &beat = *message.mutable_heartbeat();
  State.ReportedDemand.clear();
  for (auto &[row, demand] : sumDemand(State, Now)) {
    demand.set_row(row);
    *beat.add_demand() = demand;
  }
  // Rows that wait for tokens only are no news either.
  for (const auto &[id, request] : State.Requests)
    if (request.Stage == RequestStage::Queued)
      State.ReportedDemand.insert(request.Row);
  State.Arrivals.clear();
  for (const std::string &it : stampHeartbeat(State.View, beat, Now))
    Out.push_back(EntrySend{it, message});
}

/// A cold row's first request does not wait for the next period.
void hastenDemand(EntryState &State, TimePoint Now) {
  for (const auto &[id, request] : State.Requests) {
    bool isNew = request.Stage == RequestStage::Queued &&
                 !State.ReportedDemand.contains(request.Row);
    if (!isNew)
      continue;
    auto last = State.View.NextHeartbeat - timing::HeartbeatPeriod;
    State.View.NextHeartbeat =
        std::min(State.View.NextHeartbeat, std::max(Now, last + DemandSpacing));
    return;
  }
}

void sendGrantRequest(EntryState &State, TimePoint Now, EntryEffects &Out) {
  if (!needsGrantRequest(State.Tokens, Now) || State.View.LeaderAddress.empty())
    return;
  wire::Envelope message;
  *message.mutable_grant_request() = makeGrantRequest(State.Tokens, Now);
  Out.push_back(EntrySend{State.View.LeaderAddress, std::move(message)});
}

/// Everything that may have become possible or due.
void advance(EntryState &State, TimePoint Now, EntryEffects &Out) {
  refreshIndex(State, Now);
  dispatchRequests(State, Now, Out);
  hastenDemand(State, Now);
  sendGrantRequest(State, Now, Out);
  if (isPast(State.View.NextHeartbeat, Now))
    sendHeartbeat(State, Now, Out);
}

void tick(EntryState &State, TimePoint Now, EntryEffects &Out) {
  refreshIndex(State, Now);
  checkAttempts(State, Now, Out);
  refuseOverdue(State, Now, Out);
  repeatClaims(State, Now, Out);
  returnGrants(State.Tokens, State.IsStopping && State.Requests.empty(), Now);
  advance(State, Now, Out);
  bool isDone =
      State.IsStopping && State.Requests.empty() && State.Releases.empty();
  if (isDone)
    Out.push_back(EntryExit{});
}

void receive(EntryState &State, const wire::Envelope &Message, TimePoint Now,
             EntryEffects &Out) {
  switch (Message.body_case()) {
  case wire::Envelope::kHeartbeatReply:
    // What changed is acknowledged at once, so that it is known in force.
    if (applyHeartbeatReply(State.View, Message.heartbeat_reply(), Now))
      State.View.NextHeartbeat = Now;
    break;
  case wire::Envelope::kGrantReply:
    acceptGrants(State.Tokens, Message.grant_reply());
    break;
  case wire::Envelope::kProposalReply:
    takeClaimReply(State, Message.proposal_reply(), Now, Out);
    break;
  case wire::Envelope::kAttemptReply:
    takeAttemptReply(State, Message.attempt_reply(), Now, Out);
    break;
  default:
    return;
  }
  bool mayStart = Message.body_case() != wire::Envelope::kAttemptReply ||
                  Message.attempt_reply().outcome() != wire::ATTEMPT_BODY;
  if (mayStart)
    advance(State, Now, Out);
}

} // namespace

void countEvent(EntryEffects &Out, std::string Name, std::string Labels) {
  Out.push_back(CountEvent{std::move(Name), std::move(Labels)});
}

void sendToControl(EntryState &State, const wire::Envelope &Message,
                   EntryEffects &Out) {
  for (const std::string &it : proposalTargets(State.View))
    Out.push_back(EntrySend{it, Message});
}

EntryEffects stepEntry(EntryState &State, const EntryEvent &Event,
                       TimePoint Now) {
  EntryEffects out;
  if (const auto *received = std::get_if<EntryReceived>(&Event)) {
    receive(State, received->Message, Now, out);
  } else if (const auto *arrived = std::get_if<CallerArrived>(&Event)) {
    refreshIndex(State, Now);
    admitRequest(State, arrived->Request, Now, out);
    advance(State, Now, out);
  } else if (const auto *gone = std::get_if<CallerGone>(&Event)) {
    dropCaller(State, gone->Id, false, Now, out);
  } else if (const auto *slow = std::get_if<CallerTooSlow>(&Event)) {
    dropCaller(State, slow->Id, true, Now, out);
  } else if (std::holds_alternative<EntryStop>(Event)) {
    State.IsStopping = true;
  } else {
    tick(State, Now, out);
  }
  return out;
}

bool isEntryReady(const EntryState &State, TimePoint Now) {
  return !State.IsStopping && isConfirmed(State.View, Now);
}

} // namespace sassafras
