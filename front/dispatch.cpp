#include "front/dispatch.h"

#include "core/hash.h"
#include "core/logging.h"

#include <algorithm>

namespace sassafras {

namespace {

/// A request that waits is looked at again after this time at the latest.
constexpr Millis WaitPeriod{200};
/// From an order to a loaded model beyond the load itself: the way to the
/// leader and the agent, an unload, and the report back.
constexpr Millis LoadOverhead{300};
/// The same while no leader is known: an election, and what follows it.
constexpr Millis ElectionWait{2'000};
/// An adapter that was asked for and is not there is asked for again.
constexpr Millis AdapterRetry{150};
constexpr Millis WishPeriod{100};
/// A load may take this part longer than forecast: an unload before it, others
/// beside it. Who cannot wait so long is better told when to come back.
constexpr int ForecastMarginPart = 10;
/// A running request holds its slot about so long; from the sheets' sizes.
constexpr Millis MeanService{1'700};
constexpr Millis MeanPlainService{80};
/// Callers told to come back are spread over this part more of the time.
constexpr double RetrySpread = 0.5;
constexpr Millis LeastRetryAfter{200};
/// A service without any endpoint has one again after a restart of some
/// seconds.
constexpr Millis NoEndpointRetry{1'000};
/// An endpoint that rejects a request is full or changing its models.
constexpr Millis RejectPause{60};
/// A caller's tokens are waited for no longer than this part of its objective.
constexpr int QuotaWaitPart = 2;
/// Sends of one request, refusals of endpoints included.
constexpr uint32_t MostSends = 4;

Millis spreadRetry(FrontState &State, Millis After) {
  std::uniform_real_distribution<double> spread(1, 1 + RetrySpread);
  double ms = static_cast<double>(std::max(After, LeastRetryAfter).count());
  return Millis(static_cast<int64_t>(ms * spread(State.Random)));
}

FrontRefusal refuse(FrontState &State, RefusalReason Reason, Millis After) {
  return {Reason, spreadRetry(State, After)};
}

/// Everything a request's model needs to know of the endpoints of its service.
struct Field {
  std::vector<EndpointCandidate> Candidates; ///< Could run it now.
  std::vector<const EngineState *> Engines;  ///< Of the candidates.
  std::vector<const KnownEndpoint *> Endpoints;
  size_t ModelHolders = 0; ///< Have the model, with or without the adapter.
  bool IsNear = false;     ///< Some engine has the weights in memory or disk.
  size_t Usable = 0;
};

bool hasAdapter(const EngineState &Engine, const FrontRequest &Request) {
  auto model = Engine.Models.find(Request.Facts.Model);
  return model != Engine.Models.end() &&
         (Request.Facts.Adapter.empty() ||
          model->second.contains(Request.Facts.Adapter));
}

EndpointCandidate makeCandidate(FrontState &State, const FrontRequest &Request,
                                const KnownEndpoint &Known, TimePoint Now) {
  EndpointCandidate out;
  out.Id = Known.Id;
  out.Zone = Known.Zone;
  out.Slots = Known.Slots;
  out.IsWarmingUp = !isPast(Known.SlowUntil, Now);
  if (!Request.Facts.PromptHead.empty())
    out.Affinity =
        static_cast<double>(checksumOf(Request.Facts.PromptHead + Known.Id) %
                            1'000) /
        1'000.0;
  out.Record = &State.Records[Known.Id];
  return out;
}

Field surveyEndpoints(FrontState &State, const FrontRequest &Request,
                      bool IsEngine, TimePoint Now) {
  Field out;
  for (const auto &[id, known] : State.Directory.Endpoints) {
    if (known.Service != Request.Service || !isUsable(known, Now) ||
        Request.Tried.contains(id))
      continue;
    ++out.Usable;
    const EngineState *engine =
        IsEngine ? engineOf(State.Directory, known) : nullptr;
    if (IsEngine) {
      if (!engine || engine->IsSilent)
        continue;
      const std::string &model = Request.Facts.Model;
      out.IsNear = out.IsNear || engine->OnDisk.contains(model) ||
                   engine->InMemory.contains(model);
      if (!engine->Models.contains(model))
        continue;
      ++out.ModelHolders;
    }
    out.Candidates.push_back(makeCandidate(State, Request, known, Now));
    out.Engines.push_back(engine);
    out.Endpoints.push_back(&known);
  }
  return out;
}

/// Picks among the engines that hold the model one for the adapter, spread by
/// rendezvous hashing so that each adapter stays on few engines.
std::optional<AskForAdapter> wishForAdapter(FrontState &State,
                                            const FrontRequest &Request,
                                            const Field &Found, TimePoint Now) {
  std::optional<size_t> best;
  uint64_t bestRank = 0;
  for (size_t i = 0; i < Found.Candidates.size(); ++i) {
    const EndpointCandidate &it = Found.Candidates[i];
    bool isFull = estimateLoad(*it.Record, Now) >= it.Slots;
    if (Found.Engines[i]->Agent.empty() || isFull ||
        !isPast(it.Record->PausedUntil, Now))
      continue;
    uint64_t rank = checksumOf(Request.Facts.Model + '/' +
                               Request.Facts.Adapter + '@' + it.Id);
    if (best && rank <= bestRank)
      continue;
    best = i;
    bestRank = rank;
  }
  const EngineSpec *spec = engineSpecOf(State, Request.Service);
  if (!best || !spec)
    return std::nullopt;
  const KnownEndpoint &target = *Found.Endpoints[*best];
  std::string key =
      target.Id + '/' + Request.Facts.Model + '/' + Request.Facts.Adapter;
  TimePoint &next = State.AdapterWishes[key];
  if (!isPast(next, Now))
    return std::nullopt;
  next = Now + AdapterRetry;
  AskForAdapter out;
  out.Agent = Found.Engines[*best]->Agent;
  out.Wish.set_engine_address(target.Address);
  out.Wish.set_endpoint(target.Id);
  out.Wish.set_model(Request.Facts.Model);
  out.Wish.set_adapter(Request.Facts.Adapter);
  *out.Wish.mutable_sizes() = sizesFor(*spec);
  return out;
}

void keepAdapterHolders(const FrontRequest &Request, Field &Found) {
  if (Request.Facts.Adapter.empty())
    return;
  Field kept = Found;
  kept.Candidates.clear();
  kept.Engines.clear();
  kept.Endpoints.clear();
  for (size_t i = 0; i < Found.Candidates.size(); ++i) {
    if (!hasAdapter(*Found.Engines[i], Request))
      continue;
    kept.Candidates.push_back(Found.Candidates[i]);
    kept.Engines.push_back(Found.Engines[i]);
    kept.Endpoints.push_back(Found.Endpoints[i]);
  }
  Found = std::move(kept);
}

void noteWaiting(RowUse &Row, const FrontRequest &Request, TimePoint Now) {
  if (Row.Waiting.empty())
    Row.WaitingSince = Now;
  if (Row.Waiting.insert(Request.Number).second)
    Row.WaitingWorth += Request.Worth;
}

void noteServed(RowUse &Row, const FrontRequest &Request) {
  if (Row.Waiting.erase(Request.Number) > 0)
    Row.WaitingWorth -= Request.Worth;
  if (Row.Waiting.empty())
    Row.WaitingWorth = 0;
}

std::optional<wire::RowDemand>
wishForModel(RowUse &Row, const std::string &Model, TimePoint Now) {
  if (!isPast(Row.NextWish, Now))
    return std::nullopt;
  Row.NextWish = Now + WishPeriod;
  wire::RowDemand out;
  out.set_model(Model);
  out.set_waiting(
      static_cast<uint32_t>(std::max<size_t>(Row.Waiting.size(), 1)));
  out.set_waiting_worth(agedWaitingWorth(Row, Now));
  out.set_busy(Row.Open + static_cast<uint32_t>(Row.Waiting.size()));
  printOpen(Row, out);
  return out;
}

/// True while the leader has not had time to say when a model will be there.
/// It alone knows which engines have the weights near.
bool isForecastDue(const FrontState &State, const FrontRequest &Request,
                   TimePoint Now) {
  Millis wait = hasLeader(State, Now) ? ForecastWait : ElectionWait;
  return Now - Request.ArrivedAt < wait;
}

/// Time until a model that no engine holds could start this request: as the
/// leader said; while it has not, as if the weights were near; then by what is
/// known here.
Millis predictLoad(const FrontState &State, const FrontRequest &Request,
                   const Field &Found, const RowUse &Row, TimePoint Now) {
  if (Row.ForecastAt != TimePoint() && Now - Row.ForecastAt < ForecastLife)
    return std::max(std::chrono::duration_cast<Millis>(Row.ReadyAt - Now),
                    LoadOverhead);
  const EngineSpec *spec = engineSpecOf(State, Request.Service);
  auto model = spec->Models.find(Request.Facts.Model);
  if (model == spec->Models.end())
    return Millis::max();
  bool mayBeNear = Found.IsNear || isForecastDue(State, Request, Now);
  Millis load = mayBeNear ? model->second.DiskLoad : model->second.StoreLoad;
  Millis waited = std::chrono::duration_cast<Millis>(Now - Request.ArrivedAt);
  return LoadOverhead + (load > waited ? load - waited : Millis(0));
}

/// No engine holds the model: it waits while a load can be over in time.
DispatchResult awaitModel(FrontState &State, FrontRequest &Request,
                          const Field &Found, TimePoint Now) {
  DispatchResult out;
  RowUse &row = State.Rows[Request.Facts.Model];
  Millis left = predictLoad(State, Request, Found, row, Now);
  if (left == Millis::max()) {
    out.Decision = refuse(State, RefusalReason::NoCapacity, LoadOverhead);
    return out;
  }
  if (Now + left + left / ForecastMarginPart > Request.PatienceEnd) {
    row.WantedUntil = Now + std::clamp(left, State.Limits.WishMemory,
                                       State.Limits.MostWishMemory);
    row.WantedWorth = Request.Worth;
    out.Wish = wishForModel(row, Request.Facts.Model, Now);
    out.Decision = refuse(State, RefusalReason::DeadlineUnreachable, left);
    return out;
  }
  noteWaiting(row, Request, Now);
  out.Wish = wishForModel(row, Request.Facts.Model, Now);
  out.Load = askWithoutLeader(State, Request, Now);
  out.Decision = WaitUntil{Now + WaitPeriod};
  return out;
}

/// Time until a slot frees for a request behind \p Ahead others.
Millis predictQueue(const Field &Found, size_t Ahead, Millis Service) {
  double slots = 0;
  for (const EndpointCandidate &it : Found.Candidates)
    slots += it.Slots;
  if (slots <= 0)
    return Service;
  return Millis(static_cast<int64_t>(static_cast<double>(Service.count()) *
                                     static_cast<double>(Ahead + 1) / slots));
}

DispatchResult awaitSlot(FrontState &State, FrontRequest &Request,
                         const Field &Found, bool IsEngine, TimePoint Now) {
  DispatchResult out;
  RowUse &row =
      State.Rows[IsEngine ? Request.Facts.Model : "service " + Request.Service];
  size_t ahead = row.Waiting.size() * countFronts(State, Now);
  Millis wait =
      predictQueue(Found, ahead, IsEngine ? MeanService : MeanPlainService);
  bool isKnown = row.Waiting.contains(Request.Number);
  if ((!isKnown && row.Waiting.size() >= State.Limits.MostWaiting) ||
      Now + (isKnown ? Millis(0) : wait) > Request.PatienceEnd) {
    out.Decision = refuse(State, RefusalReason::NoCapacity, wait);
    return out;
  }
  noteWaiting(row, Request, Now);
  if (IsEngine)
    out.Wish = wishForModel(row, Request.Facts.Model, Now);
  out.Decision = WaitUntil{Now + WaitPeriod};
  return out;
}

void logQuotaRefusal(const FrontRequest &Request, const LocalQuota &Quota,
                     size_t Fronts, Millis Wait, TimePoint Now) {
  auto round = [](double Value) {
    return std::to_string(static_cast<int64_t>(Value));
  };
  logEvent(LogLevel::Info, "quota_refused",
           {{"id", Request.Facts.Id},
            {"organisation", Request.Organisation},
            {"cost", round(Request.Cost)},
            {"level", round(Quota.Level)},
            {"share_percent", round(100 * Quota.Share)},
            {"share_left_ms", std::to_string(toMillis(Quota.ShareEnd - Now))},
            {"demand_per_s", round(Quota.DemandRate)},
            {"fronts", std::to_string(Fronts)},
            {"wait_ms", std::to_string(Wait.count())}});
}

/// Asks the leader for what the requests that wait here are short of, one wish
/// at a time.
std::optional<wire::QuotaWish> wishForTokens(LocalQuota &Quota,
                                             const FrontRequest &Request,
                                             bool IsFavoured, TimePoint Now) {
  Quota.WaitingCosts[Request.Number] = Request.Cost;
  if (Quota.PoolRequestedAt != TimePoint())
    return std::nullopt;
  Quota.PoolRequestedAt = Now;
  double wanted = 0;
  for (const auto &[number, cost] : Quota.WaitingCosts)
    wanted += cost;
  wire::QuotaWish out;
  out.set_organisation(Request.Organisation);
  out.set_wanted(std::max(0.0, wanted - Quota.Level));
  out.set_least(std::max(0.0, Request.Cost - Quota.Level));
  out.set_is_favoured(IsFavoured);
  return out;
}

/// A leader that did not answer the last wish in time may be gone: for a while
/// nobody is asked.
void noteUnanswered(FrontState &State, LocalQuota &Quota, TimePoint Now) {
  if (Quota.PoolRequestedAt == TimePoint() ||
      Now - Quota.PoolRequestedAt < PoolAnswerLimit)
    return;
  Quota.PoolRequestedAt = TimePoint();
  State.PoolLostUntil = Now + PoolRest;
  logEvent(LogLevel::Warning, "quota_wish_unanswered",
           {{"leader", State.Leader.Node}});
}

/// Charges the organisation. A decision only when the request must not go on.
std::optional<DispatchDecision> charge(FrontState &State, FrontRequest &Request,
                                       TimePoint Now,
                                       std::optional<wire::QuotaWish> &Wish) {
  if (Request.IsCharged || Request.Organisation.empty())
    return std::nullopt;
  // The limit in force now, not the one at arrival, is what binds.
  const OrganisationSpec *organisation =
      findOrganisation(*State.Table, Request.Facts.Key);
  if (!organisation)
    return FrontRefusal{RefusalReason::KeyUnknown, {}};
  LocalQuota &quota = State.Quotas[organisation->Name];
  noteUnanswered(State, quota, Now);
  QuotaLimit limit = limitOf(State, *organisation, Now);
  size_t fronts = countFronts(State, Now);
  QuotaCharge claim{Request.Cost, Request.Worth};
  if (takeQuota(quota, limit, claim, fronts, Now)) {
    Request.IsCharged = true;
    quota.WaitingCosts.erase(Request.Number);
    return std::nullopt;
  }
  Clock::duration patience =
      (Request.ObjectiveEnd - Request.ArrivedAt) / QuotaWaitPart;
  TimePoint patienceEnd = Request.ArrivedAt + patience;
  Millis wait = estimateQuotaWait(quota, limit, claim, fronts, Now);
  if (limit.HasPool) {
    bool isFirst = isFavoured(quota, claim);
    TimePoint shut =
        isFirst ? quota.PoolEmptyUntil
                : std::max(quota.PoolEmptyUntil, quota.PoolFavouredOnlyUntil);
    if (isPast(shut, Now) && !isPast(patienceEnd, Now)) {
      Wish = wishForTokens(quota, Request, isFirst, Now);
      return WaitUntil{std::min(patienceEnd, Now + PoolAnswerLimit)};
    }
    if (!isPast(shut, Now))
      wait = std::min(wait, std::chrono::ceil<Millis>(shut - Now));
  }
  quota.WaitingCosts.erase(Request.Number);
  if (isPast(patienceEnd, Now) || Now + wait > patienceEnd) {
    logQuotaRefusal(Request, quota, fronts, wait, Now);
    return refuse(State, RefusalReason::RateExceeded, wait);
  }
  return WaitUntil{Now + wait};
}

void returnCharge(FrontState &State, FrontRequest &Request) {
  if (!Request.IsCharged || Request.Runs > 0)
    return;
  Request.IsCharged = false;
  returnQuota(State.Quotas[Request.Organisation], Request.Cost);
}

bool takeRetryFor(FrontState &State, const FrontRequest &Request,
                  TimePoint Now) {
  return takeRetry(State.Retries[Request.Service], State.Limits.Retries,
                   countFronts(State, Now));
}

/// How long a request that an endpoint rejected waits for its next send while
/// the retry budget is used up. The budget grows with each arrival.
TimePoint retryPatienceEnd(const FrontRequest &Request) {
  return Request.Route->Kind == RequestKind::Streaming ? Request.PatienceEnd
                                                       : Request.ObjectiveEnd;
}

RetryReason retryReasonOf(ExchangeFailure Failure) {
  switch (Failure) {
  case ExchangeFailure::Unreachable:
    return RetryReason::EndpointUnreachable;
  case ExchangeFailure::Rejected:
    return RetryReason::EndpointRejected;
  case ExchangeFailure::Broken:
    return RetryReason::AnswerBroken;
  case ExchangeFailure::Error:
    return RetryReason::EndpointError;
  }
  return RetryReason::AnswerBroken;
}

/// A refusal that says "not run" is given only when that is certain.
FrontRefusal refusalAfter(FrontState &State, const FrontRequest &Request,
                          TimePoint Now) {
  if (Request.Runs > 0)
    return {isPast(Request.Deadline, Now) ? RefusalReason::TimeoutRunning
                                          : RefusalReason::EndpointFailed,
            {}};
  return refuse(State, RefusalReason::RetriesExhausted, LeastRetryAfter);
}

} // namespace

DispatchResult decideDispatch(FrontState &State, FrontRequest &Request,
                              TimePoint Now) {
  DispatchResult out;
  if (isPast(Request.Deadline, Now)) {
    out.Decision =
        FrontRefusal{Request.Runs > 0 ? RefusalReason::TimeoutRunning
                                      : RefusalReason::TimeoutWaiting,
                     {}};
    return out;
  }
  if (auto decision = charge(State, Request, Now, out.QuotaWish)) {
    out.Decision = *decision;
    return out;
  }
  const EngineSpec *spec = engineSpecOf(State, Request.Service);
  bool isEngine = spec && !Request.Facts.Model.empty();
  Field found = surveyEndpoints(State, Request, isEngine, Now);
  if (found.Usable == 0 && !Request.Tried.empty()) {
    // All have failed it once; whichever is there may try again.
    Request.Tried.clear();
    found = surveyEndpoints(State, Request, isEngine, Now);
  }
  if (found.Usable == 0) {
    // A front that has just started has not heard of the endpoints yet.
    if (!isPast(State.EndpointsKnownAt, Now) &&
        State.EndpointsKnownAt < Request.PatienceEnd) {
      if (isEngine)
        out.Load = askWithoutLeader(State, Request, Now);
      out.Decision = WaitUntil{Now + WaitPeriod};
      return out;
    }
    out.Decision = refuse(State, RefusalReason::NoCapacity, NoEndpointRetry);
    return out;
  }
  if (isEngine && found.ModelHolders == 0)
    return awaitModel(State, Request, found, Now);
  if (isEngine && !Request.Facts.Adapter.empty()) {
    Field all = found;
    keepAdapterHolders(Request, found);
    if (!chooseEndpoint(found.Candidates, State.Self.zone(), 0, Now))
      if (auto wish = wishForAdapter(State, Request, all, Now))
        out.Wishes.push_back(std::move(*wish));
    if (found.Candidates.empty()) {
      DispatchResult wait = awaitSlot(State, Request, all, isEngine, Now);
      wait.Wishes = std::move(out.Wishes);
      wait.Wish.reset();
      return wait;
    }
  }
  std::uniform_real_distribution<double> point(0, 1);
  auto chosen = chooseEndpoint(found.Candidates, State.Self.zone(),
                               point(State.Random), Now);
  if (!chosen) {
    DispatchResult wait = awaitSlot(State, Request, found, isEngine, Now);
    wait.Wishes = std::move(out.Wishes);
    return wait;
  }
  if (Request.AwaitsRetry && !takeRetryFor(State, Request, Now)) {
    if (isPast(retryPatienceEnd(Request), Now))
      out.Decision =
          refuse(State, RefusalReason::RetriesExhausted, LeastRetryAfter);
    else
      out.Decision = WaitUntil{Now + WaitPeriod};
    return out;
  }
  Request.AwaitsRetry = false;
  const KnownEndpoint &target = *found.Endpoints[*chosen];
  const EndpointRecord &record = *found.Candidates[*chosen].Record;
  Millis age =
      record.ReportedAt == TimePoint()
          ? Millis(0)
          : std::chrono::duration_cast<Millis>(Now - record.ReportedAt);
  out.Decision =
      SendTo{target.Id, target.Address, estimateLoad(record, Now), age};
  return out;
}

namespace {

RowUse &rowOf(FrontState &State, const FrontRequest &Request) {
  bool isEngine = engineSpecOf(State, Request.Service) != nullptr &&
                  !Request.Facts.Model.empty();
  return State
      .Rows[isEngine ? Request.Facts.Model : "service " + Request.Service];
}

} // namespace

void noteDispatched(FrontState &State, FrontRequest &Request,
                    const std::string &Endpoint) {
  RowUse &row = rowOf(State, Request);
  noteServed(row, Request);
  ++row.Open;
  ++row.OpenAt[Endpoint];
  ++Request.Sends;
  recordSend(State.Records[Endpoint]);
}

void noteExchangeOver(FrontState &State, const FrontRequest &Request,
                      const std::string &Endpoint) {
  RowUse &row = rowOf(State, Request);
  if (row.Open > 0)
    --row.Open;
  auto at = row.OpenAt.find(Endpoint);
  if (at != row.OpenAt.end() && --at->second == 0)
    row.OpenAt.erase(at);
  recordClose(State.Records[Endpoint]);
}

void takeQuotaGrant(FrontState &State, const wire::QuotaGrant &Grant,
                    TimePoint Now) {
  if (Grant.term() < State.SharesTerm)
    return;
  State.PoolHeardAt = Now;
  LocalQuota &quota = State.Quotas[Grant.organisation()];
  quota.PoolRequestedAt = TimePoint();
  if (Grant.granted() > 0) {
    quota.Level += Grant.granted();
    return;
  }
  TimePoint &shut =
      Grant.is_favoured() ? quota.PoolEmptyUntil : quota.PoolFavouredOnlyUntil;
  shut = Now + Millis(Grant.wait_ms());
}

void forgetRequest(FrontState &State, const FrontRequest &Request) {
  if (!Request.Organisation.empty())
    State.Quotas[Request.Organisation].WaitingCosts.erase(Request.Number);
  noteServed(rowOf(State, Request), Request);
}

namespace {

void logPause(const std::string &Endpoint, const EndpointRecord &Record,
              TimePoint Now) {
  if (isPast(Record.PausedUntil, Now))
    return;
  logEvent(LogLevel::Info, "endpoint_paused",
           {{"endpoint", Endpoint},
            {"failures_in_row", std::to_string(Record.ConsecutiveFailures)},
            {"failure_percent",
             std::to_string(static_cast<int>(100 * Record.FailureRate))},
            {"for_ms", std::to_string(toMillis(Record.PausedUntil - Now))}});
}

} // namespace

AfterFailure decideAfterFailure(FrontState &State, FrontRequest &Request,
                                const std::string &Endpoint,
                                ExchangeFailure Failure, bool HasAnswer,
                                TimePoint Now) {
  EndpointRecord &record = State.Records[Endpoint];
  bool isRun =
      Failure == ExchangeFailure::Broken || Failure == ExchangeFailure::Error;
  if (Failure == ExchangeFailure::Rejected) {
    record.PausedUntil = std::max(record.PausedUntil, Now + RejectPause);
  } else {
    recordFailure(record, Failure == ExchangeFailure::Unreachable, Now);
    logPause(Endpoint, record, Now);
    Request.Tried.insert(Endpoint);
  }
  Request.Runs += isRun;
  returnCharge(State, Request);
  AfterFailure out;
  out.Refusal = refusalAfter(State, Request, Now);
  bool mayRepeat = !isRun || Request.IsRepeatable;
  bool hasAttempts =
      Request.Runs < std::max<uint32_t>(Request.Route->MaxAttempts, 1);
  if (!mayRepeat || !hasAttempts || Request.Sends >= MostSends ||
      isPast(Request.Deadline, Now) || (State.IsStopping && HasAnswer))
    return out;
  // A send that never reached an endpoint costs the fleet nothing.
  if (Failure != ExchangeFailure::Unreachable &&
      !takeRetryFor(State, Request, Now)) {
    bool mayWait = Failure == ExchangeFailure::Rejected &&
                   !isPast(retryPatienceEnd(Request), Now);
    if (!mayWait)
      return out;
    Request.AwaitsRetry = true;
  }
  out.IsRetry = true;
  out.Why = retryReasonOf(Failure);
  return out;
}

void noteAbsent(FrontState &State, const FrontRequest &Request,
                const std::string &Endpoint) {
  auto known = State.Directory.Endpoints.find(Endpoint);
  if (known == State.Directory.Endpoints.end())
    return;
  auto forget = [&](EngineState &Engine) {
    auto model = Engine.Models.find(Request.Facts.Model);
    if (model == Engine.Models.end())
      return;
    if (Request.Facts.Adapter.empty())
      Engine.Models.erase(model);
    else
      model->second.erase(Request.Facts.Adapter);
  };
  auto reading = State.Directory.Readings.find(known->second.Address);
  if (reading != State.Directory.Readings.end())
    forget(reading->second.State);
  auto announced = State.Directory.Announced.find(Endpoint);
  if (announced != State.Directory.Announced.end())
    forget(announced->second);
}

} // namespace sassafras
