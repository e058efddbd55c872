#include "entry/entry_parts.h"

#include "core/hash.h"
#include "fleet/table.h"

namespace sassafras {

namespace {

constexpr std::string_view ModelPrefix = "/v1/";

Refusal refusal(RefusalReason Reason, std::string Detail = {}) {
  Refusal why{Reason, RanState::NotRun, std::chrono::seconds(0),
              std::move(Detail)};
  if (isTransient(Reason))
    why.RetryAfter = std::chrono::seconds(1);
  return why;
}

bool isUnder(const std::string &Path, const std::string &Prefix) {
  if (!Path.starts_with(Prefix))
    return false;
  return Path.size() == Prefix.size() || Prefix.ends_with('/') ||
         Path[Prefix.size()] == '/';
}

/// Row that the request is for, or null.
const wire::TableRow *findTarget(const EntryState &State,
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
    if (!isUnder(Caller.Path, path) || path.size() < longest)
      continue;
    longest = path.size();
    best = &name;
  }
  return best ? findRow(State.View.Items, *best) : nullptr;
}

bool isSafeMethod(const std::string &Method) {
  return Method == "GET" || Method == "HEAD" || Method == "OPTIONS";
}

/// Why the key does not open \p Row, if it does not; sets the tenant if so.
std::optional<Refusal> checkKey(const EntryState &State,
                                const wire::TableRow &Row,
                                const CallerRequest &Caller,
                                std::string &Tenant, TimePoint Now) {
  if (Row.open())
    return std::nullopt;
  if (Caller.KeyHash.empty())
    return refusal(RefusalReason::KeyMissing);
  if (!isConfirmed(State.View, Now))
    return refusal(RefusalReason::KeyUnconfirmed);
  auto it = State.Index.TenantOfKey.find(Caller.KeyHash);
  if (it == State.Index.TenantOfKey.end())
    return refusal(RefusalReason::KeyUnknown);
  Tenant = it->second;
  if (!allowsTenant(Row, Tenant))
    return refusal(RefusalReason::OrganisationNotAllowed);
  return std::nullopt;
}

/// Time after which tokens for what is queued here will have come in, at the
/// tenant's whole rate; other entries can only make it longer.
std::optional<Refusal> checkRate(const EntryState &State,
                                 const RequestState &Request,
                                 const wire::TableRow &Row) {
  const wire::TableRow *tenant = findRow(State.View.Items, Request.Tenant);
  if (!tenant || Request.Caller.Cost == 0)
    return std::nullopt;
  if (Request.Caller.Cost > tenant->burst())
    return refusal(RefusalReason::CostAboveBurst,
                   "cost " + std::to_string(Request.Caller.Cost) +
                       " tokens, burst " + std::to_string(tenant->burst()));
  auto queue = State.Queues.find(Request.Tenant);
  if (queue == State.Queues.end())
    return std::nullopt;
  uint64_t ahead = Request.Caller.Cost;
  for (const std::string &it : queue->second.Requests)
    ahead += State.Requests.at(it).Caller.Cost;
  if (ahead <= tenant->burst())
    return std::nullopt;
  uint64_t rate = std::max<uint64_t>(tenant->rate(), 1);
  uint64_t waitMs = (ahead - tenant->burst()) * 1000 / rate;
  if (waitMs <= Row.longest_wait_ms())
    return std::nullopt;
  Refusal why = refusal(RefusalReason::RateExceeded);
  why.RetryAfter =
      std::chrono::seconds((waitMs - Row.longest_wait_ms()) / 1000 + 1);
  return why;
}

void refuseArrival(EntryState &State, const std::string &Id, Refusal Why,
                   EntryEffects &Out) {
  ++State.Counts.Refused;
  countEvent(Out, "refusals_total",
             "reason=\"" + std::string(nameOf(Why.Reason)) + "\"");
  Out.push_back(AnswerRefusal{Id, std::move(Why)});
}

void setClaim(RequestState &Request, const wire::TableRow &Row) {
  const CallerRequest &caller = Request.Caller;
  Request.ClaimWindowMs = Row.repeat_window_ms();
  if (!caller.IdempotencyKey.empty()) {
    Request.ClaimDigest =
        digestOf({"key", Request.Tenant, Row.name(), caller.IdempotencyKey});
    return;
  }
  Request.ClaimDigest = digestOf({"body", Request.Tenant, Row.name(),
                                  caller.Method, caller.Target, caller.Body});
}

RequestState makeRequest(const CallerRequest &Caller, const wire::TableRow &Row,
                         const std::string &Tenant, TimePoint Now) {
  RequestState request;
  request.Caller = Caller;
  request.Tenant = Tenant;
  request.Row = Row.name();
  request.Digest = digestOf({Tenant, Row.name(), Caller.Target, Caller.Body});
  request.IsRepeatable = Row.repeatable() || isSafeMethod(Caller.Method);
  request.Arrived = Now;
  request.LongestWait = Millis(Row.longest_wait_ms());
  request.Deadline = Now + request.LongestWait;
  return request;
}

} // namespace

void refreshIndex(EntryState &State, TimePoint Now) {
  ViewIndex &index = State.Index;
  if (index.Version == State.View.Version)
    return;
  auto loadedSince = std::move(index.LoadedSince);
  index = ViewIndex();
  index.Version = State.View.Version;
  for (const wire::Item *it : State.View.Items.list("key/"))
    index.TenantOfKey[it->key().key_hash()] = it->key().tenant();
  for (const wire::Replica *it : listReplicas(State.View.Items))
    if (it->phase() == wire::PHASE_LOADED)
      index.EndpointsOfRow[it->row()].push_back(it->endpoint());
  for (const wire::Endpoint *it : listEndpoints(State.View.Items))
    if (it->is_service())
      index.EndpointsOfRow[it->service()].push_back(it->name());
  for (const wire::Item *it : State.View.Items.list("row/"))
    if (it->row().kind() == wire::ROW_SERVICE)
      index.Services.emplace_back(it->row().path(), it->row().name());
  for (const auto &[row, endpoints] : index.EndpointsOfRow) {
    auto known = loadedSince.find(row);
    index.LoadedSince[row] = known == loadedSince.end() ? Now : known->second;
  }
}

bool isKeyValid(const EntryState &State, const RequestState &Request) {
  const wire::TableRow *row = findRow(State.View.Items, Request.Row);
  if (!row)
    return false;
  if (Request.Tenant.empty())
    return row->open();
  auto it = State.Index.TenantOfKey.find(Request.Caller.KeyHash);
  return it != State.Index.TenantOfKey.end() && it->second == Request.Tenant &&
         allowsTenant(*row, Request.Tenant);
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
  countEvent(Out, "requests_total");
  if (State.IsStopping)
    return refuseArrival(State, Caller.Id, refusal(RefusalReason::Stopping),
                         Out);
  // Without any view even an open route is unknown.
  if (State.View.Version == 0)
    return refuseArrival(State, Caller.Id,
                         refusal(RefusalReason::KeyUnconfirmed), Out);
  const wire::TableRow *row = findTarget(State, Caller);
  if (!row)
    return refuseArrival(State, Caller.Id, refusal(RefusalReason::RouteUnknown),
                         Out);
  std::string tenant;
  if (auto why = checkKey(State, *row, Caller, tenant, Now))
    return refuseArrival(State, Caller.Id, std::move(*why), Out);
  RequestState request = makeRequest(Caller, *row, tenant, Now);
  if (isQuarantined(State, request, Now))
    return refuseArrival(State, Caller.Id, refusal(RefusalReason::Quarantined),
                         Out);
  if (State.Queues[tenant].Requests.size() >= MaxQueuedRequests)
    return refuseArrival(State, Caller.Id, refusal(RefusalReason::QueueFull),
                         Out);
  if (auto why = checkRate(State, request, *row)) {
    return refuseArrival(State, Caller.Id, std::move(*why), Out);
  }
  request.IsSuspect =
      State.View.Items.find(deathItemName(request.Digest)) != nullptr;
  ++State.Arrivals[request.Row];
  RequestState &kept = State.Requests[Caller.Id] = std::move(request);
  if (kept.IsRepeatable) {
    enqueue(State, kept, false);
    return;
  }
  setClaim(kept, *row);
  kept.Stage = RequestStage::Claiming;
  proposeClaim(State, kept, Now, Out);
}

} // namespace sassafras
