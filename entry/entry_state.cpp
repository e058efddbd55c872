#include "entry/entry_state.h"

#include "core/timing.h"
#include "entry/entry_internal.h"

#include <limits>

namespace sassafras {

namespace {

/// Minimum interval between the last heartbeat and one that is sent early
/// because requests wait for a row not yet reported.
constexpr Millis MinDemandReportInterval{50};
/// Period for which an organisation's future tokens count when its demand for a
/// model is reported.
constexpr std::chrono::seconds TokenHorizon{10};

/// Tokens that \p Organisation can spend by the time a load that starts now has
/// finished. Requests beyond that must not cause a load, since they could not
/// run. Unlimited for an organisation without a table row; the burst unless its
/// bucket was short when last asked.
uint64_t tokensWithinHorizon(const EntryState &State,
                             const std::string &Organisation, TimePoint Now) {
  const wire::TableRow *row = findRow(State.View.Items, Organisation);
  if (!row)
    return std::numeric_limits<uint64_t>::max();
  if (!State.Tokens.DepletedOrganisations.contains(Organisation))
    return row->burst();
  return heldTokens(State.Tokens, Organisation, Now) +
         row->rate() * static_cast<uint64_t>(TokenHorizon.count());
}

void addDemand(const EntryState &State, wire::ModelDemand &Demand,
               const RequestState &Request, TimePoint Now) {
  Demand.set_waiting(Demand.waiting() + 1);
  TimePoint since = Request.ArrivedAt;
  auto loaded = State.Index.LoadedSinceByRow.find(Request.Row);
  Demand.set_loaded(loaded != State.Index.LoadedSinceByRow.end());
  if (Demand.loaded())
    since = std::max(since, loaded->second);
  uint64_t waited = toMillis(Now - since);
  if (waited < Demand.oldest_wait_ms())
    return;
  Demand.set_oldest_wait_ms(waited);
  Demand.set_tenant(Request.Organisation);
}

std::map<std::string, wire::ModelDemand> sumDemand(const EntryState &State,
                                                   TimePoint Now) {
  std::map<std::string, wire::ModelDemand> sum;
  for (const auto &[row, n] : State.Arrivals)
    sum[row].set_arrivals(n);
  for (const auto &[organisation, queue] : State.Queues) {
    uint64_t withinHorizon = tokensWithinHorizon(State, organisation, Now);
    uint64_t cumulativeCost = 0;
    for (const std::string &it : queue.Requests) {
      const RequestState &request = State.Requests.at(it);
      cumulativeCost += request.Charged > 0 ? 0 : request.Caller.Cost;
      if (cumulativeCost > withinHorizon)
        break;
      addDemand(State, sum[request.Row], request, Now);
    }
  }
  return sum;
}

void sendHeartbeat(EntryState &State, TimePoint Now, EntryEffects &Out) {
  wire::Envelope message;
  wire::Heartbeat &heartbeat = *message.mutable_heartbeat();
  State.ReportedDemand.clear();
  for (auto &[row, demand] : sumDemand(State, Now)) {
    demand.set_row(row);
    *heartbeat.add_demand() = demand;
  }
  // Also covers rows whose requests wait only for tokens and are left out of
  // the demand; otherwise they would cause an early heartbeat again and again.
  for (const auto &[id, request] : State.Requests)
    if (request.Stage == RequestStage::Queued)
      State.ReportedDemand.insert(request.Row);
  State.Arrivals.clear();
  for (const std::string &it : prepareHeartbeat(State.View, heartbeat, Now))
    Out.push_back(EntrySend{it, message});
}

/// Sends the next heartbeat early if a request waits for a row that the last
/// one did not cover, so that a cold start does not wait for the heartbeat
/// period.
void expediteDemandReport(EntryState &State, TimePoint Now) {
  for (const auto &[id, request] : State.Requests) {
    bool isNew = request.Stage == RequestStage::Queued &&
                 !State.ReportedDemand.contains(request.Row);
    if (!isNew)
      continue;
    auto lastHeartbeat = State.View.NextHeartbeat - timing::HeartbeatPeriod;
    State.View.NextHeartbeat =
        std::min(State.View.NextHeartbeat,
                 std::max(Now, lastHeartbeat + MinDemandReportInterval));
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

/// Does everything that may have become possible or due: dispatch, grant
/// request and heartbeat.
void advance(EntryState &State, TimePoint Now, EntryEffects &Out) {
  refreshIndex(State, Now);
  dispatchRequests(State, Now, Out);
  expediteDemandReport(State, Now);
  sendGrantRequest(State, Now, Out);
  if (isPast(State.View.NextHeartbeat, Now))
    sendHeartbeat(State, Now, Out);
}

void handleTick(EntryState &State, TimePoint Now, EntryEffects &Out) {
  refreshIndex(State, Now);
  checkAttempts(State, Now, Out);
  refuseExpiredRequests(State, Now, Out);
  retryClaimProposals(State, Now, Out);
  returnGrants(State.Tokens, State.IsStopping && State.Requests.empty(), Now);
  advance(State, Now, Out);
  bool isDone = State.IsStopping && State.Requests.empty() &&
                State.PendingReleases.empty();
  if (isDone)
    Out.push_back(EntryExit{});
}

void handleMessage(EntryState &State, const wire::Envelope &Message,
                   TimePoint Now, EntryEffects &Out) {
  switch (Message.body_case()) {
  case wire::Envelope::kHeartbeatReply:
    // Acknowledge changed items at once, so that the leader knows that the new
    // version is in force here.
    if (applyHeartbeatReply(State.View, Message.heartbeat_reply(), Now))
      State.View.NextHeartbeat = Now;
    break;
  case wire::Envelope::kGrantReply:
    acceptGrants(State.Tokens, Message.grant_reply());
    break;
  case wire::Envelope::kProposalReply:
    handleClaimReply(State, Message.proposal_reply(), Now, Out);
    break;
  case wire::Envelope::kAttemptReply:
    handleAttemptReply(State, Message.attempt_reply(), Now, Out);
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

void incrementCounter(EntryEffects &Out, std::string Name, std::string Labels) {
  Out.push_back(CounterIncrement{std::move(Name), std::move(Labels)});
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
    handleMessage(State, received->Message, Now, out);
  } else if (const auto *arrived = std::get_if<CallerArrived>(&Event)) {
    refreshIndex(State, Now);
    admitRequest(State, arrived->Request, Now, out);
    advance(State, Now, out);
  } else if (const auto *disconnected =
                 std::get_if<CallerDisconnected>(&Event)) {
    handleCallerLoss(State, disconnected->Id, false, Now, out);
  } else if (const auto *slow = std::get_if<CallerTooSlow>(&Event)) {
    handleCallerLoss(State, slow->Id, true, Now, out);
  } else if (std::holds_alternative<EntryStop>(Event)) {
    State.IsStopping = true;
  } else {
    handleTick(State, Now, out);
  }
  return out;
}

bool isEntryReady(const EntryState &State, TimePoint Now) {
  return !State.IsStopping && isConfirmed(State.View, Now);
}

} // namespace sassafras
