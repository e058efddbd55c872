#include "entry/entry_internal.h"

#include "core/hash.h"
#include "fleet/table.h"

namespace sassafras {

namespace {

constexpr std::string_view ModelPrefix = "/v1/";

Refusal makeRefusal(RefusalReason Reason, std::string Detail = {}) {
  Refusal why{Reason, RanState::NotRun, std::chrono::seconds(0),
              std::move(Detail)};
  if (isTransient(Reason))
    why.RetryAfter = std::chrono::seconds(1);
  return why;
}

bool isUnderPathPrefix(const std::string &Path, const std::string &Prefix) {
  if (!Path.starts_with(Prefix))
    return false;
  return Path.size() == Prefix.size() || Prefix.ends_with('/') ||
         Path[Prefix.size()] == '/';
}

/// Returns the table row that the request is for: a model or adapter under
/// /v1/, else the service with the longest matching path prefix. Null if there
/// is none.
const wire::TableRow *findTargetRow(const EntryState &State,
                                    const CallerRequest &Caller) {
  if (Caller.Path.starts_with(ModelPrefix)) {
    const wire::TableRow *row = findRow(State.View.Items, Caller.Row);
    bool isModel = row && (row->kind() == wire::ROW_MODEL ||
                           row->kind() == wire::ROW_ADAPTER);
    return isModel ? row : nullptr;
  }
  const std::string *best = nullptr;
  size_t longest = 0;
  for (const auto &[path, name] : State.Index.Services) {
    if (!isUnderPathPrefix(Caller.Path, path) || path.size() < longest)
      continue;
    longest = path.size();
    best = &name;
  }
  return best ? findRow(State.View.Items, *best) : nullptr;
}

bool isSafeMethod(const std::string &Method) {
  return Method == "GET" || Method == "HEAD" || Method == "OPTIONS";
}

/// Returns why the caller's key does not give access to \p Row, or nothing if
/// it does. Sets \p Organisation to the key's owner; open rows need no key and
/// leave it unchanged.
std::optional<Refusal> checkKey(const EntryState &State,
                                const wire::TableRow &Row,
                                const CallerRequest &Caller,
                                std::string &Organisation, TimePoint Now) {
  if (Row.open())
    return std::nullopt;
  if (Caller.KeyHash.empty())
    return makeRefusal(RefusalReason::KeyMissing);
  if (!isConfirmed(State.View, Now))
    return makeRefusal(RefusalReason::KeyUnconfirmed);
  auto it = State.Index.OrganisationByKeyHash.find(Caller.KeyHash);
  if (it == State.Index.OrganisationByKeyHash.end())
    return makeRefusal(RefusalReason::KeyUnknown);
  Organisation = it->second;
  if (!allowsOrganisation(Row, Organisation))
    return makeRefusal(RefusalReason::OrganisationNotAllowed);
  return std::nullopt;
}

/// Refuses a request that costs more than the organisation's burst, or whose
/// tokens, after those of its other requests queued here, would not be
/// available within the row's longest wait. Assumes the organisation's whole
/// rate; use of it by other entries can only make the wait longer.
std::optional<Refusal> checkRate(const EntryState &State,
                                 const RequestState &Request,
                                 const wire::TableRow &Row) {
  const wire::TableRow *organisation =
      findRow(State.View.Items, Request.Organisation);
  if (!organisation || Request.Caller.Cost == 0)
    return std::nullopt;
  if (Request.Caller.Cost > organisation->burst())
    return makeRefusal(RefusalReason::CostAboveBurst,
                       "request costs " + std::to_string(Request.Caller.Cost) +
                           " tokens, more than the burst of " +
                           std::to_string(organisation->burst()));
  auto queue = State.Queues.find(Request.Organisation);
  if (queue == State.Queues.end())
    return std::nullopt;
  uint64_t cumulativeCost = Request.Caller.Cost;
  for (const std::string &it : queue->second.Requests)
    cumulativeCost += State.Requests.at(it).Caller.Cost;
  if (cumulativeCost <= organisation->burst())
    return std::nullopt;
  uint64_t rate = std::max<uint64_t>(organisation->rate(), 1);
  uint64_t waitMs = (cumulativeCost - organisation->burst()) * 1000 / rate;
  if (waitMs <= Row.longest_wait_ms())
    return std::nullopt;
  Refusal why = makeRefusal(RefusalReason::RateExceeded);
  why.RetryAfter =
      std::chrono::seconds((waitMs - Row.longest_wait_ms()) / 1000 + 1);
  return why;
}

void refuseOnArrival(EntryState &State, const std::string &Id, Refusal Why,
                     EntryEffects &Out) {
  ++State.Counts.Refused;
  incrementCounter(Out, "refusals_total",
                   "reason=\"" + std::string(nameOf(Why.Reason)) + "\"");
  Out.push_back(RefusalResponse{Id, std::move(Why)});
}

void setClaimDigest(RequestState &Request, const wire::TableRow &Row) {
  const CallerRequest &caller = Request.Caller;
  Request.ClaimWindowMs = Row.repeat_window_ms();
  if (!caller.IdempotencyKey.empty()) {
    Request.ClaimDigest = digestOf(
        {"key", Request.Organisation, Row.name(), caller.IdempotencyKey});
    return;
  }
  Request.ClaimDigest = digestOf({"body", Request.Organisation, Row.name(),
                                  caller.Method, caller.Target, caller.Body});
}

RequestState makeRequestState(const CallerRequest &Caller,
                              const wire::TableRow &Row,
                              const std::string &Organisation, TimePoint Now) {
  RequestState request;
  request.Caller = Caller;
  request.Organisation = Organisation;
  request.Row = Row.name();
  request.Digest =
      digestOf({Organisation, Row.name(), Caller.Target, Caller.Body});
  request.IsRepeatable = Row.repeatable() || isSafeMethod(Caller.Method);
  request.ArrivedAt = Now;
  request.LongestWait = Millis(Row.longest_wait_ms());
  request.Deadline = Now + request.LongestWait;
  return request;
}

} // namespace

void refreshIndex(EntryState &State, TimePoint Now) {
  ViewIndex &index = State.Index;
  if (index.Version == State.View.Version)
    return;
  auto loadedSince = std::move(index.LoadedSinceByRow);
  index = ViewIndex();
  index.Version = State.View.Version;
  for (const wire::Item *it : State.View.Items.list("key/"))
    index.OrganisationByKeyHash[it->key().key_hash()] = it->key().tenant();
  for (const wire::Replica *it : listReplicas(State.View.Items))
    if (it->phase() == wire::PHASE_LOADED)
      index.EndpointsByRow[it->row()].push_back(it->endpoint());
  for (const wire::Endpoint *it : listEndpoints(State.View.Items))
    if (it->is_service())
      index.EndpointsByRow[it->service()].push_back(it->name());
  for (const wire::Item *it : State.View.Items.list("row/"))
    if (it->row().kind() == wire::ROW_SERVICE)
      index.Services.emplace_back(it->row().path(), it->row().name());
  for (const auto &[row, endpoints] : index.EndpointsByRow) {
    auto known = loadedSince.find(row);
    index.LoadedSinceByRow[row] =
        known == loadedSince.end() ? Now : known->second;
  }
}

bool isKeyValid(const EntryState &State, const RequestState &Request) {
  const wire::TableRow *row = findRow(State.View.Items, Request.Row);
  if (!row)
    return false;
  if (Request.Organisation.empty())
    return row->open();
  auto it = State.Index.OrganisationByKeyHash.find(Request.Caller.KeyHash);
  return it != State.Index.OrganisationByKeyHash.end() &&
         it->second == Request.Organisation &&
         allowsOrganisation(*row, Request.Organisation);
}

bool isQuarantined(const EntryState &State, const RequestState &Request,
                   TimePoint Now) {
  const wire::Item *item =
      State.View.Items.find(quarantineItemName(Request.Digest));
  return item && item->quarantine().expires_ms() > fleetTimeMs(State.View, Now);
}

void admitRequest(EntryState &State, const CallerRequest &Caller, TimePoint Now,
                  EntryEffects &Out) {
  ++State.Counts.Accepted;
  incrementCounter(Out, "requests_total");
  if (State.IsStopping)
    return refuseOnArrival(State, Caller.Id,
                           makeRefusal(RefusalReason::Stopping), Out);
  // Before the first view arrives, open routes are unknown too.
  if (State.View.Version == 0)
    return refuseOnArrival(State, Caller.Id,
                           makeRefusal(RefusalReason::KeyUnconfirmed), Out);
  const wire::TableRow *row = findTargetRow(State, Caller);
  if (!row)
    return refuseOnArrival(State, Caller.Id,
                           makeRefusal(RefusalReason::RouteUnknown), Out);
  std::string organisation;
  if (auto why = checkKey(State, *row, Caller, organisation, Now))
    return refuseOnArrival(State, Caller.Id, std::move(*why), Out);
  RequestState request = makeRequestState(Caller, *row, organisation, Now);
  if (isQuarantined(State, request, Now))
    return refuseOnArrival(State, Caller.Id,
                           makeRefusal(RefusalReason::Quarantined), Out);
  if (State.Queues[organisation].Requests.size() >= MaxQueuedRequests)
    return refuseOnArrival(State, Caller.Id,
                           makeRefusal(RefusalReason::QueueFull), Out);
  if (auto why = checkRate(State, request, *row)) {
    return refuseOnArrival(State, Caller.Id, std::move(*why), Out);
  }
  request.RunsAlone =
      State.View.Items.find(deathItemName(request.Digest)) != nullptr;
  ++State.Arrivals[request.Row];
  RequestState &stored = State.Requests[Caller.Id] = std::move(request);
  if (stored.IsRepeatable) {
    enqueue(State, stored, false);
    return;
  }
  setClaimDigest(stored, *row);
  stored.Stage = RequestStage::Claiming;
  sendClaimProposal(State, stored, Now, Out);
}

} // namespace sassafras
