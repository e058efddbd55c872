#include "entry/entry_state.h"

#include "core/timing.h"
#include "entry/entry_internal.h"

#include <limits>

namespace sassafras {

namespace {

/// A row newly waited for is reported at once, but not more often than this.
constexpr Millis MinDemandReportInterval{50};
/// How far ahead tokens are counted on for waking a model.
constexpr std::chrono::seconds TokenHorizon{10};

/// Tokens that \p Tenant can spend before a load that starts now would end:
/// what waits beyond that must not wake a model, since it could not run.
uint64_t tokensWithinHorizon(const EntryState &State,
                             const std::string &Organisation, TimePoint Now) {
  const wire::TableRow *row = findRow(State.View.Items, Organisation);
  if (!row)
    return std::numeric_limits<uint64_t>::max();
  if (!State.Tokens.Short.contains(Organisation))
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
  // Rows that wait for tokens only are no news either.
  for (const auto &[id, request] : State.Requests)
    if (request.Stage == RequestStage::Queued)
      State.ReportedDemand.insert(request.Row);
  State.Arrivals.clear();
  for (const std::string &it : stampHeartbeat(State.View, heartbeat, Now))
    Out.push_back(EntrySend{it, message});
}

/// A cold row's first request does not wait for the next period.
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

/// Everything that may have become possible or due.
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
    // What changed is acknowledged at once, so that it is known in force.
    if (applyHeartbeatReply(State.View, Message.heartbeat_reply(), Now))
      State.View.NextHeartbeat = Now;
    break;
  case wire::Envelope::kGrantReply:
    takeGrants(State.Tokens, Message.grant_reply());
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
