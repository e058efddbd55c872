#include "front/dispatch.h"

#include "core/hash.h"
#include "core/logging.h"
#include "front/crash_notices.h"
#include "front/endpoint_figures.h"
#include "front/quota_loans.h"
#include "front/send_permits.h"
#include "front/stream_origins.h"
#include "front/zone_departure.h"

#include <algorithm>
#include <cmath>

namespace sassafras {

namespace {

/// Longest time between two decisions on a waiting request.
constexpr Millis RecheckPeriod{200};
/// Time from an order to a loaded model in addition to the load itself:
/// messages to the leader and the agent, an unload, and the report back.
constexpr Millis LoadOverhead{300};
/// Time allowed for a forecast while no leader is known: an election, and the
/// steps from there to a forecast.
constexpr Millis LeaderlessForecastTimeout{2'000};
/// Period after which a request for a missing adapter is repeated.
constexpr Millis AdapterRetryPeriod{150};
/// Shortest time between two demand reports for a model.
constexpr Millis DemandReportPeriod{100};
/// A load may exceed its forecast by one part in this many, because of an
/// unload before it or other loads at the same time. A caller that cannot wait
/// that long is refused at once with a time to retry.
constexpr int ForecastMarginDivisor = 10;
/// Retry-After times are extended by a random fraction of up to this, so that
/// refused callers do not all return together.
constexpr double RetryAfterJitter = 0.5;
/// Lower bound of Retry-After times before the random extension.
constexpr Millis MinRetryAfter{200};
/// Retry-After for a service without any usable endpoint; restarts take some
/// seconds.
constexpr Millis NoEndpointRetryAfter{1'000};
/// Pause of an endpoint after it rejected a request: it is full, or loads and
/// unloads models.
constexpr Millis RejectionPause{60};
/// A request waits for quota tokens for at most its latency objective divided
/// by this.
constexpr int QuotaWaitDivisor = 2;
/// How long a request waits for a slot of an endpoint with a limit while
/// another endpoint could take it at once.
constexpr Millis OptionalPermitWait{30};
/// The same for the least urgent request that no other endpoint can take, and
/// the addition for each level of urgency. A request that has waited can wait
/// for longer than one that has just arrived.
constexpr Millis LeastPermitWait{300};
constexpr Millis PermitWaitPerLevel{50};
constexpr uint32_t LeastUrgentLevel = 9;
/// A request waits for endpoints that all have a limit only if it can exceed
/// its estimate by one part in this many: other fronts get slots as well.
constexpr int PacedMarginDivisor = 3;
/// The first room may become free sooner than estimated by one part in this
/// many.
constexpr int QueuedRoomDivisor = 2;
/// A need for a model at one software version is reported for this long after a
/// stream waited for it.
constexpr Millis WantedVersionLifetime{1'000};
/// Limit of the sends of one request, including those that endpoints reject.
constexpr uint32_t MaxSends = 4;

Millis jitterRetryAfter(FrontState &State, Millis After) {
  std::uniform_real_distribution<double> spread(1, 1 + RetryAfterJitter);
  double ms = static_cast<double>(std::max(After, MinRetryAfter).count());
  return Millis(static_cast<int64_t>(ms * spread(State.Random)));
}

FrontRefusal makeRefusal(FrontState &State, RefusalReason Reason,
                         Millis After) {
  return {Reason, jitterRetryAfter(State, After)};
}

/// Endpoints of a request's service that could take it, as seen from here.
struct EndpointSurvey {
  std::vector<EndpointCandidate> Candidates; ///< Could run the request now.
  std::vector<const EngineState *> Engines;  ///< Of the candidates.
  std::vector<const KnownEndpoint *> Endpoints;
  size_t EnginesWithModel = 0;  ///< With or without the adapter.
  bool HasLocalWeights = false; ///< In memory or on disk of some engine.
  size_t UsableCount = 0;
};

bool hasAdapter(const EngineState &Engine, const FrontRequest &Request) {
  auto model = Engine.Models.find(Request.Attributes.Model);
  return model != Engine.Models.end() &&
         (Request.Attributes.Adapter.empty() ||
          model->second.contains(Request.Attributes.Adapter));
}

/// Requests that an endpoint with a limit of \p RequestsPerSecond holds at
/// once.
uint32_t slotsWithinLimit(uint32_t Slots, double RequestsPerSecond,
                          Millis ServiceTime) {
  double held =
      RequestsPerSecond * std::chrono::duration<double>(ServiceTime).count();
  return std::clamp<uint32_t>(
      static_cast<uint32_t>(std::min<double>(std::ceil(held), Slots)), 1,
      Slots);
}

EndpointCandidate makeCandidate(FrontState &State, const FrontRequest &Request,
                                const KnownEndpoint &Known,
                                const EngineState *Engine,
                                const EngineSpec *Spec, TimePoint Now) {
  EndpointCandidate out;
  out.Id = Known.Id;
  out.Zone = Known.Zone;
  out.RequestLimit = requestLimitOf(State, Known, Now);
  out.PausedUntil = pauseEndOf(State, Known);
  out.Slots = out.RequestLimit
                  ? slotsWithinLimit(Known.Slots, *out.RequestLimit,
                                     Engine ? MeanEngineServiceTime
                                            : MeanPlainServiceTime)
                  : Known.Slots;
  out.IsWarmingUp = coldTimeLeft(State, Known, Now) > Millis(0);
  if (!Request.Attributes.PromptHead.empty())
    out.Affinity =
        static_cast<double>(
            checksumOf(Request.Attributes.PromptHead + Known.Id) % 1'000) /
        1'000.0;
  out.Record = &State.Records[Known.Id];
  out.Estimate = estimateEndpoint(
      makeFigures(State, Known, Engine, Spec, out.Slots, Now), sizeOf(Request));
  out.FailsWhenFull = Engine && State.Limits.EnginesFailWhenFull;
  return out;
}

EndpointSurvey surveyEndpoints(FrontState &State, const FrontRequest &Request,
                               bool IsEngine, TimePoint Now) {
  EndpointSurvey out;
  const EngineSpec *spec =
      IsEngine ? findEngineSpec(State, Request.Service) : nullptr;
  for (const auto &[id, known] : State.Directory.Endpoints) {
    if (known.Service != Request.Service || !takesRequests(State, known, Now) ||
        !matchesStream(State, Request, known) ||
        Request.FailedEndpoints.contains(id))
      continue;
    ++out.UsableCount;
    const EngineState *engine =
        IsEngine ? findEngineState(State.Directory, known) : nullptr;
    if (IsEngine) {
      if (!engine || engine->IsSilent)
        continue;
      const std::string &model = Request.Attributes.Model;
      out.HasLocalWeights = out.HasLocalWeights ||
                            engine->OnDisk.contains(model) ||
                            engine->InMemory.contains(model);
      if (!engine->Models.contains(model))
        continue;
      ++out.EnginesWithModel;
    }
    out.Candidates.push_back(
        makeCandidate(State, Request, known, engine, spec, Now));
    out.Engines.push_back(engine);
    out.Endpoints.push_back(&known);
  }
  withholdForOthers(State, Request, out.Candidates, Now);
  return out;
}

/// True if no endpoint can ever run the request.
bool isLargerThanAll(const EndpointSurvey &Found) {
  return !Found.Candidates.empty() &&
         std::all_of(Found.Candidates.begin(), Found.Candidates.end(),
                     [](const EndpointCandidate &it) {
                       return it.Estimate.IsTooLarge;
                     });
}

/// Picks an engine for the adapter among those that have the model loaded.
/// Rendezvous hashing spreads the adapters and keeps each on few engines.
/// Returns nothing while the previous request for it is recent.
std::optional<AdapterLoadRequest> requestAdapter(FrontState &State,
                                                 const FrontRequest &Request,
                                                 const EndpointSurvey &Found,
                                                 TimePoint Now) {
  std::optional<size_t> best;
  uint64_t bestRank = 0;
  for (size_t i = 0; i < Found.Candidates.size(); ++i) {
    const EndpointCandidate &it = Found.Candidates[i];
    bool isFull = estimateLoad(*it.Record, Now) >= it.Slots;
    if (Found.Engines[i]->AgentAddress.empty() || isFull ||
        !isPast(std::max(it.Record->PausedUntil, it.PausedUntil), Now))
      continue;
    uint64_t rank = checksumOf(Request.Attributes.Model + '/' +
                               Request.Attributes.Adapter + '@' + it.Id);
    if (best && rank <= bestRank)
      continue;
    best = i;
    bestRank = rank;
  }
  const EngineSpec *spec = findEngineSpec(State, Request.Service);
  if (!best || !spec)
    return std::nullopt;
  const KnownEndpoint &target = *Found.Endpoints[*best];
  std::string key = target.Id + '/' + Request.Attributes.Model + '/' +
                    Request.Attributes.Adapter;
  TimePoint &next = State.NextAdapterRequests[key];
  if (!isPast(next, Now))
    return std::nullopt;
  next = Now + AdapterRetryPeriod;
  AdapterLoadRequest out;
  out.Agent = Found.Engines[*best]->AgentAddress;
  out.Payload.set_engine_address(target.Address);
  out.Payload.set_endpoint(target.Id);
  out.Payload.set_model(Request.Attributes.Model);
  out.Payload.set_adapter(Request.Attributes.Adapter);
  *out.Payload.mutable_sizes() =
      makeEngineSizes(*spec, *Found.Engines[*best], Request.Attributes.Model);
  return out;
}

void keepEnginesWithAdapter(const FrontRequest &Request,
                            EndpointSurvey &Found) {
  if (Request.Attributes.Adapter.empty())
    return;
  EndpointSurvey remaining = Found;
  remaining.Candidates.clear();
  remaining.Engines.clear();
  remaining.Endpoints.clear();
  for (size_t i = 0; i < Found.Candidates.size(); ++i) {
    if (!hasAdapter(*Found.Engines[i], Request))
      continue;
    remaining.Candidates.push_back(Found.Candidates[i]);
    remaining.Engines.push_back(Found.Engines[i]);
    remaining.Endpoints.push_back(Found.Endpoints[i]);
  }
  Found = std::move(remaining);
}

/// Position of \p Request, which takes \p Needed from its begin until it is of
/// use to its caller.
WaitingRequest waitingRequestOf(const FrontRequest &Request, Millis Needed) {
  WaitingRequest out;
  out.Service = Request.Service;
  out.Caller.Organisation = Request.Organisation;
  out.Caller.Position.Rank = Request.Urgency;
  out.Caller.Position.LatestStart = Request.ObjectiveDeadline - Needed;
  out.Caller.Position.Number = Request.Number;
  return out;
}

/// Time from the begin of \p Request at the fastest candidate until it is of
/// use to its caller: its first piece, or all of it.
Millis neededTime(const FrontRequest &Request, const EndpointSurvey &Found) {
  std::optional<Millis> best;
  bool isStream = Request.Route->Kind == RequestKind::Streaming;
  for (const EndpointCandidate &it : Found.Candidates) {
    Millis needed =
        (isStream ? it.Estimate.FirstPiece : it.Estimate.LastPiece) -
        it.Estimate.Wait;
    best = best ? std::min(*best, needed) : needed;
  }
  return best.value_or(Millis(0));
}

void addWaiting(FrontState &State, ModelUsage &Usage,
                const FrontRequest &Request, const EndpointSurvey &Found,
                TimePoint Now) {
  State.WaitingRequests[Request.Number] =
      waitingRequestOf(Request, neededTime(Request, Found));
  if (Usage.Waiting.empty())
    Usage.WaitingSince = Now;
  if (Usage.Waiting.insert(Request.Number).second)
    Usage.WaitingWorth += Request.Worth;
}

void removeWaiting(ModelUsage &Usage, const FrontRequest &Request) {
  if (Usage.Waiting.erase(Request.Number) > 0)
    Usage.WaitingWorth -= Request.Worth;
  if (Usage.Waiting.empty())
    Usage.WaitingWorth = 0;
}

std::optional<wire::RowDemand> makeDemandReport(const FrontState &State,
                                                ModelUsage &Usage,
                                                const std::string &Model,
                                                TimePoint Now) {
  if (!isPast(Usage.NextDemandReport, Now))
    return std::nullopt;
  Usage.NextDemandReport = Now + DemandReportPeriod;
  wire::RowDemand out;
  out.set_model(Model);
  out.set_waiting(
      static_cast<uint32_t>(std::max<size_t>(Usage.Waiting.size(), 1)));
  out.set_waiting_worth(agedWaitingWorth(Usage, Now));
  out.set_busy(Usage.Open + static_cast<uint32_t>(Usage.Waiting.size()));
  addOpenRequests(Usage, out);
  addBacklog(State, Usage, Now, out);
  addWantedVersions(Usage, Now, out);
  return out;
}

/// True while the leader's forecast for a model may still arrive. Only
/// the leader knows which engines have the weights in memory or on disk.
bool isForecastPending(const FrontState &State, const FrontRequest &Request,
                       TimePoint Now) {
  Millis wait =
      hasLeader(State, Now) ? ForecastTimeout : LeaderlessForecastTimeout;
  return Now - Request.ArrivedAt < wait;
}

/// Time until a model that is not loaded could start this request: the leader's
/// forecast while it is valid; while one is pending, the load time from disk;
/// otherwise an estimate from what this front knows. Millis::max() for a model
/// that the service does not have.
Millis estimateLoadTime(const FrontState &State, const FrontRequest &Request,
                        const EndpointSurvey &Found, const ModelUsage &Usage,
                        TimePoint Now) {
  if (Usage.ForecastAt != TimePoint() &&
      Now - Usage.ForecastAt < ForecastLifetime)
    return std::max(std::chrono::duration_cast<Millis>(Usage.ReadyAt - Now),
                    LoadOverhead);
  const EngineSpec *spec = findEngineSpec(State, Request.Service);
  auto model = spec->Models.find(Request.Attributes.Model);
  if (model == spec->Models.end())
    return Millis::max();
  bool mayBeLocal =
      Found.HasLocalWeights || isForecastPending(State, Request, Now);
  Millis load = mayBeLocal ? model->second.DiskLoad : model->second.StoreLoad;
  Millis waited = std::chrono::duration_cast<Millis>(Now - Request.ArrivedAt);
  return LoadOverhead + (load > waited ? load - waited : Millis(0));
}

/// The model is not loaded: the request waits if a load can complete in time,
/// and is refused otherwise.
DispatchResult waitForModel(FrontState &State, FrontRequest &Request,
                            const EndpointSurvey &Found, TimePoint Now) {
  DispatchResult out;
  ModelUsage &usage = State.ModelUsages[Request.Attributes.Model];
  if (Request.StreamVersion)
    usage.WantedVersions[*Request.StreamVersion] = Now + WantedVersionLifetime;
  Millis left = estimateLoadTime(State, Request, Found, usage, Now);
  if (left == Millis::max()) {
    out.Decision = makeRefusal(State, RefusalReason::NoCapacity, LoadOverhead);
    return out;
  }
  if (Now + left + left / ForecastMarginDivisor > Request.FirstByteDeadline) {
    usage.RetryExpectedUntil =
        Now + std::clamp(left, State.Limits.MinDemandRetention,
                         State.Limits.MaxDemandRetention);
    usage.RetryExpectedWorth = Request.Worth;
    out.DemandReport =
        makeDemandReport(State, usage, Request.Attributes.Model, Now);
    out.Decision = makeRefusal(State, RefusalReason::DeadlineUnreachable, left);
    return out;
  }
  addWaiting(State, usage, Request, Found, Now);
  out.DemandReport =
      makeDemandReport(State, usage, Request.Attributes.Model, Now);
  out.LoadRequest = requestLoadWithoutLeader(State, Request, Now);
  out.Decision = WaitUntil{Now + RecheckPeriod};
  return out;
}

/// When the requests that wait for room can begin.
struct QueueEstimate {
  Millis FirstRoom{0};  ///< Until the first one can begin.
  double PerSecond = 0; ///< Requests that end per second.
  double SlotsTaken = 0;
  double Slots = 0;
  /// All endpoints have a limit or asked for a pause: nothing ends sooner.
  bool IsPaced = false;
};

QueueEstimate estimateQueue(const FrontState &State,
                            const EndpointSurvey &Found, Millis Service,
                            TimePoint Now) {
  QueueEstimate out;
  // Earliest time at which an endpoint with a limit or a pause is open.
  std::optional<Millis> firstSlot;
  std::optional<Millis> firstRoom;
  size_t limited = 0;
  for (const EndpointCandidate &it : Found.Candidates) {
    out.Slots += it.Slots;
    bool isPaused =
        !isPast(it.PausedUntil, Now) || !isPast(it.Record->PausedUntil, Now);
    out.SlotsTaken += isPaused ? it.Slots : it.Slots - it.Estimate.FreeSlots;
    if (!isPast(it.PausedUntil, Now)) {
      Millis wait(toMillis(it.PausedUntil - Now) + 1);
      firstSlot = firstSlot ? std::min(*firstSlot, wait) : wait;
      ++limited;
      continue;
    }
    Millis run = it.Estimate.LastPiece - it.Estimate.Wait;
    double seconds =
        std::chrono::duration<double>(run > Millis(0) ? run : Service).count();
    double most = it.Slots / seconds;
    out.PerSecond +=
        it.RequestLimit
            ? std::min(std::max(*it.RequestLimit, MinSendPace), most)
            : most;
    Millis room = it.Estimate.Wait;
    if (!isPast(it.Record->PausedUntil, Now))
      room = std::max(room, Millis(toMillis(it.Record->PausedUntil - Now) + 1));
    firstRoom = firstRoom ? std::min(*firstRoom, room) : room;
    if (!it.RequestLimit)
      continue;
    ++limited;
    Millis wait = timeUntilPermission(State, it.Id, Now);
    firstSlot = firstSlot ? std::min(*firstSlot, wait) : wait;
  }
  if (out.PerSecond <= 0) {
    out.FirstRoom = firstSlot.value_or(Service);
    out.IsPaced = firstSlot.has_value();
    return out;
  }
  out.FirstRoom = firstRoom.value_or(Millis(0));
  out.IsPaced = limited == Found.Candidates.size();
  if (out.IsPaced)
    out.FirstRoom = *firstSlot;
  return out;
}

/// Time until a request begins behind \p Ahead others.
Millis timeToBegin(const QueueEstimate &Queue, double Ahead) {
  if (Queue.PerSecond <= 0)
    return Queue.FirstRoom;
  // Requests at endpoints with a limit are started in slots, not when others
  // end: those ahead take the slots up to the first free one.
  if (Queue.IsPaced)
    return std::max(
        Queue.FirstRoom,
        Millis(static_cast<int64_t>(1'000 * (Ahead + 1) / Queue.PerSecond)));
  return Queue.FirstRoom +
         Millis(static_cast<int64_t>(1'000 * Ahead / Queue.PerSecond));
}

/// Callers of \p Usage that go before a request, and those of its rank.
struct OwnQueue {
  uint32_t AheadInRank = 0;
  uint32_t InRank = 0; ///< The request itself included, if it waits.
};

OwnQueue ownQueueOf(const FrontState &State, const ModelUsage &Usage,
                    const FrontRequest &Request, Millis Needed, TimePoint Now) {
  std::vector<const WaitingCaller *> others;
  WaitingCaller self = waitingRequestOf(Request, Needed).Caller;
  OwnQueue out;
  auto it = State.WaitingRequests.begin();
  if (!Usage.Waiting.empty())
    it = State.WaitingRequests.lower_bound(*Usage.Waiting.begin());
  // Both are in the order of their numbers.
  for (uint64_t number : Usage.Waiting) {
    while (it != State.WaitingRequests.end() && it->first < number)
      ++it;
    if (it == State.WaitingRequests.end())
      break;
    const WaitingCaller &caller = it->second.Caller;
    if (it->first != number || caller.Position.Rank != Request.Urgency)
      continue;
    ++out.InRank;
    if (number == Request.Number)
      self = caller;
    else
      others.push_back(&caller);
  }
  static const std::map<std::string, uint32_t> none;
  auto open = State.OpenByOrganisation.find(Request.Service);
  out.AheadInRank = countServedBefore(
      self, others,
      open == State.OpenByOrganisation.end() ? none : open->second, Now);
  return out;
}

/// Refusal with the time after which the fleet's backlog leaves room. The
/// caller counts as due back then.
FrontRefusal refuseForRoom(FrontState &State, const FrontRequest &Request,
                           ModelUsage &Usage, const QueueEstimate &Queue,
                           Millis Needed, TimePoint Now) {
  expireReturns(Usage.Returning, Now);
  RankBacklog fleet = fleetBacklogOf(State, Usage, Now);
  ReturnTime when =
      returnTime({static_cast<double>(callersBefore(fleet, Request.Urgency)),
                  Queue.PerSecond, Queue.FirstRoom, Needed,
                  std::chrono::duration_cast<Millis>(Request.Deadline - Now)});
  FrontRefusal out =
      makeRefusal(State,
                  when.IsInTime ? RefusalReason::NoCapacity
                                : RefusalReason::DeadlineUnreachable,
                  when.After);
  if (when.IsInTime)
    recordReturn(Usage.Returning, Now + *out.RetryAfter, Request.Urgency);
  logEvent(
      LogLevel::Info, "room_refused",
      {{"id", Request.Attributes.Id},
       {"rank", std::to_string(Request.Urgency)},
       {"before", std::to_string(callersBefore(fleet, Request.Urgency))},
       {"backlog_age_ms",
        Usage.FleetBacklogAt == TimePoint()
            ? ""
            : std::to_string(toMillis(Now - Usage.FleetBacklogAt))},
       {"ends_per_s", std::to_string(static_cast<int64_t>(Queue.PerSecond))},
       {"first_room_ms", std::to_string(Queue.FirstRoom.count())},
       {"left_ms", std::to_string(toMillis(Request.Deadline - Now))},
       {"slots_taken", std::to_string(static_cast<int64_t>(Queue.SlotsTaken))},
       {"slots", std::to_string(static_cast<int64_t>(Queue.Slots))},
       {"in_time", when.IsInTime ? "yes" : "no"}});
  return out;
}

DispatchResult waitForSlot(FrontState &State, FrontRequest &Request,
                           const EndpointSurvey &Found, bool IsEngine,
                           TimePoint Now) {
  DispatchResult out;
  ModelUsage &usage =
      State.ModelUsages[IsEngine ? Request.Attributes.Model
                                 : "service " + Request.Service];
  bool isQueued = usage.Waiting.contains(Request.Number);
  Millis service = IsEngine ? MeanEngineServiceTime : MeanPlainServiceTime;
  Millis needed = neededTime(Request, Found);
  QueueEstimate queue = estimateQueue(State, Found, service, Now);
  OwnQueue own = ownQueueOf(State, usage, Request, needed, Now);
  RankBacklog fleet = fleetBacklogOf(State, usage, Now);
  double ahead = waitingBefore(fleet, Request.Urgency, !isQueued,
                               own.AheadInRank, own.InRank);
  Millis wait = timeToBegin(queue, ahead);
  // Requests end sooner or later than on average; slots do not. A request that
  // waits is given up only if it is late even when they end sooner.
  if (isQueued && !queue.IsPaced)
    wait = timeToBegin(queue, ahead - std::sqrt(ahead)) -
           queue.FirstRoom / QueuedRoomDivisor;
  else if (!isQueued && queue.IsPaced)
    wait += wait / PacedMarginDivisor;
  bool isMostlyFree = !queue.IsPaced && ahead < 1 &&
                      queue.SlotsTaken < queue.Slots / 2 &&
                      Now < Request.FirstByteDeadline;
  bool isFull =
      !isQueued && usage.Waiting.size() >= State.Limits.MaxWaitingRequests;
  bool isLate =
      Now + wait > Request.FirstByteDeadline ||
      (!queue.IsPaced &&
       Now + wait + (isQueued ? needed / 2 : needed) > Request.Deadline);
  if (isFull || (isLate && !isMostlyFree)) {
    out.Decision = refuseForRoom(State, Request, usage, queue, needed, Now);
    return out;
  }
  addWaiting(State, usage, Request, Found, Now);
  if (IsEngine)
    out.DemandReport =
        makeDemandReport(State, usage, Request.Attributes.Model, Now);
  out.Decision = WaitUntil{Now + RecheckPeriod};
  return out;
}

void logQuotaRefusal(const FrontRequest &Request, const LocalQuota &Quota,
                     const QuotaPosition &Position, Millis Wait,
                     TimePoint Now) {
  auto round = [](double Value) {
    return std::to_string(static_cast<int64_t>(Value));
  };
  logEvent(LogLevel::Info, "quota_refused",
           {{"id", Request.Attributes.Id},
            {"organisation", Request.Organisation},
            {"cost", round(Request.Cost)},
            {"level", round(Quota.Level)},
            {"share_percent", round(100 * Quota.Share)},
            {"share_left_ms", std::to_string(toMillis(Quota.ShareEnd - Now))},
            {"demand_per_s", round(Quota.DemandRate)},
            {"fronts", std::to_string(Position.FrontCount)},
            {"pooled_ms", std::to_string(toMillis(Position.PooledUntil - Now))},
            {"wait_ms", std::to_string(Wait.count())}});
}

QuotaPlace quotaPlaceOf(const FrontRequest &Request) {
  return {Request.Urgency, Request.Number};
}

/// Requests from the leader the tokens that the waiting requests lack, at least
/// those of the first one that lacks some. Returns nothing while a previous
/// request is unanswered.
std::optional<wire::QuotaRequest>
requestTokens(FrontState &State, LocalQuota &Quota, const QuotaLimit &Limit,
              const QuotaPosition &Position, const std::string &Organisation,
              TimePoint Now) {
  if (Quota.PoolRequestedAt != TimePoint())
    return std::nullopt;
  Quota.PoolRequestedAt = Now;
  endLoans(Quota, Limit, Position, Now);
  // In the order in which they are to be served. What is reserved for favoured
  // requests is not requested for others.
  double wanted = 0;
  double least = 0;
  bool isForPreferred = false;
  for (bool isPreferred : {true, false}) {
    for (const auto &[place, charge] : Quota.Waiting) {
      if (isFavoured(Quota, Limit, charge, Position) != isPreferred)
        continue;
      wanted += charge.Cost;
      if (least <= 0)
        least = wanted - Quota.Level;
    }
    isForPreferred = isPreferred;
    if (least > 0)
      break;
  }
  wire::QuotaRequest out;
  out.set_organisation(Organisation);
  least = std::max(1.0, least);
  out.set_wanted(std::max(least, wanted - Quota.Level));
  out.set_least(least);
  out.set_is_favoured(isForPreferred);
  out.set_number(++State.LastQuotaRequest);
  Quota.RequestNumber = out.number();
  Quota.GrantEnd = Now + GrantLifetime;
  return out;
}

/// Requests loans from other fronts. Returns nothing when there are none, or
/// while the last loans may be unspent.
std::optional<wire::QuotaRequest>
requestLoans(FrontState &State, LocalQuota &Quota, const QuotaLimit &Limit,
             const QuotaPosition &Position, const std::string &Organisation,
             TimePoint Now) {
  if (!isPast(Quota.GrantEnd, Now))
    return std::nullopt;
  auto out = requestTokens(State, Quota, Limit, Position, Organisation, Now);
  if (!out || prepareLoans(State, Quota, *out, Now))
    return out;
  Quota.PoolRequestedAt = TimePoint();
  Quota.RequestNumber = 0;
  Quota.GrantEnd = Now;
  return std::nullopt;
}

/// Gives up a token request that the leader did not answer in time. The leader
/// may be down, so none is sent to it for PoolBackoff.
void expireQuotaRequest(FrontState &State, LocalQuota &Quota, TimePoint Now) {
  if (Quota.PoolRequestedAt == TimePoint() ||
      Now - Quota.PoolRequestedAt < PoolRequestTimeout)
    return;
  Quota.PoolRequestedAt = TimePoint();
  if (Quota.RequestNumber == 0)
    return;
  State.PoolUnavailableUntil = Now + PoolBackoff;
  logEvent(LogLevel::Warning, "quota_wish_unanswered",
           {{"leader", State.Leader.Node}});
}

/// Charges the organisation's quota. Returns a decision only if the request
/// must wait or is refused.
std::optional<DispatchDecision>
chargeQuota(FrontState &State, FrontRequest &Request, TimePoint Now,
            std::optional<wire::QuotaRequest> &TokenRequest) {
  if (Request.IsCharged || Request.Organisation.empty())
    return std::nullopt;
  // The limit in force now applies, not the one at arrival.
  const OrganisationSpec *organisation =
      findOrganisation(*State.Table, Request.Attributes.Key);
  if (!organisation)
    return FrontRefusal{RefusalReason::KeyUnknown, {}};
  LocalQuota &quota = State.Quotas[organisation->Name];
  expireQuotaRequest(State, quota, Now);
  QuotaLimit limit = quotaLimitOf(State, *organisation, Now);
  QuotaPosition position = quotaPositionOf(State, Now);
  QuotaCharge charge{Request.Cost, Request.Worth, Request.Urgency};
  if (takeQuota(quota, limit, charge, position, Now)) {
    Request.IsCharged = true;
    quota.Waiting.erase(quotaPlaceOf(Request));
    return std::nullopt;
  }
  Clock::duration maxWait =
      (Request.ObjectiveDeadline - Request.ArrivedAt) / QuotaWaitDivisor;
  TimePoint waitEnd = Request.ArrivedAt + maxWait;
  Millis wait = estimateQuotaWait(quota, limit, charge, position, Now);
  quota.Waiting[quotaPlaceOf(Request)] = charge;
  if (limit.HasPool) {
    bool isPreferred = isFavoured(quota, limit, charge, position);
    TimePoint closedUntil = isPreferred ? quota.PoolEmptyUntil
                                        : std::max(quota.PoolEmptyUntil,
                                                   quota.PoolFavouredOnlyUntil);
    if (isPast(closedUntil, Now) && !isPast(waitEnd, Now)) {
      TokenRequest =
          requestTokens(State, quota, limit, position, organisation->Name, Now);
      return WaitUntil{std::min(waitEnd, Now + PoolRequestTimeout)};
    }
    if (!isPast(closedUntil, Now))
      wait = std::min(wait, std::chrono::ceil<Millis>(closedUntil - Now));
  } else if (TokenRequest = requestLoans(State, quota, limit, position,
                                         organisation->Name, Now);
             TokenRequest && !isPast(waitEnd, Now)) {
    return WaitUntil{std::min(waitEnd, Now + PoolRequestTimeout)};
  } else if (quota.PoolRequestedAt != TimePoint() && !isPast(waitEnd, Now)) {
    wait = std::min(wait, std::chrono::ceil<Millis>(quota.PoolRequestedAt +
                                                    PoolRequestTimeout - Now));
  } else if (!isPast(State.PoolUnavailableUntil, Now)) {
    wait = std::min(
        wait, std::chrono::ceil<Millis>(State.PoolUnavailableUntil - Now));
  }
  if (isPast(waitEnd, Now) || Now + wait > waitEnd) {
    quota.Waiting.erase(quotaPlaceOf(Request));
    ++quota.Tally.Refused;
    logQuotaRefusal(Request, quota, position, wait, Now);
    return makeRefusal(State, RefusalReason::RateExceeded, wait);
  }
  return WaitUntil{Now + wait};
}

void refundQuota(FrontState &State, FrontRequest &Request) {
  if (!Request.IsCharged || Request.Runs > 0)
    return;
  Request.IsCharged = false;
  returnQuota(State.Quotas[Request.Organisation], Request.Cost);
}

bool takeRetryToken(FrontState &State, const FrontRequest &Request,
                    TimePoint Now) {
  return takeRetry(State.Retries[Request.Service], State.Limits.Retries,
                   retryShareOf(State, Now), Now);
}

/// Time until which a request that an endpoint rejected waits for its next send
/// while the retry budget is used up. The budget grows with each arrival.
TimePoint retryWaitEnd(const FrontRequest &Request) {
  return Request.Route->Kind == RequestKind::Streaming
             ? Request.FirstByteDeadline
             : Request.ObjectiveDeadline;
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

/// Refusal after a failed exchange. It says "not run" only if that is certain.
FrontRefusal refusalAfterFailure(FrontState &State, const FrontRequest &Request,
                                 TimePoint Now) {
  if (Request.Runs > 0)
    return {isPast(Request.Deadline, Now) ? RefusalReason::TimeoutRunning
                                          : RefusalReason::EndpointFailed,
            {}};
  return makeRefusal(State, RefusalReason::RetriesExhausted, MinRetryAfter);
}

} // namespace

namespace {

/// The candidates of \p Found that \p IsKept accepts, by index.
template <typename Predicate>
std::optional<size_t> chooseAmong(FrontState &State,
                                  const EndpointSurvey &Found,
                                  const Predicate &IsKept, TimePoint Now) {
  std::vector<EndpointCandidate> kept;
  std::vector<size_t> indices;
  for (size_t i = 0; i < Found.Candidates.size(); ++i) {
    if (!IsKept(i))
      continue;
    kept.push_back(Found.Candidates[i]);
    indices.push_back(i);
  }
  std::uniform_real_distribution<double> draw(0, 1);
  auto chosen =
      chooseEndpoint(kept, State.Self.zone(), draw(State.Random), Now);
  return chosen ? std::optional(indices[*chosen]) : std::nullopt;
}

/// The endpoint to send to, or that permits are to be asked for first.
struct EndpointDecision {
  std::optional<size_t> Chosen; ///< Index in the survey.
  bool NeedsPermit = false;
  bool HasAlternative = false; ///< Another endpoint needs no permit.
  std::optional<CrossingDecision> Crossing;
};

EndpointDecision decideEndpoint(FrontState &State, const FrontRequest &Request,
                                const EndpointSurvey &Found, TimePoint Now) {
  std::vector<SendPermission> permissions;
  for (const KnownEndpoint *it : Found.Endpoints)
    permissions.push_back(checkPermission(State, *it, Now));
  EndpointDecision out;
  ZoneDeparture departure = decideDeparture(
      State, Request, Found.Candidates,
      [&](size_t I) { return permissions[I] != SendPermission::Closed; }, Now);
  out.Crossing = departure.Decision;
  auto isAllowed = [&](size_t I) {
    return departure.IsAllowed.empty() || departure.IsAllowed[I];
  };
  // A permit was obtained for a request that waits; it must not be wasted.
  out.Chosen = chooseAmong(
      State, Found,
      [&](size_t I) {
        return isAllowed(I) && Found.Candidates[I].RequestLimit &&
               permissions[I] == SendPermission::Open;
      },
      Now);
  if (out.Chosen)
    return out;
  out.Chosen = chooseAmong(
      State, Found,
      [&](size_t I) {
        return isAllowed(I) && permissions[I] != SendPermission::Closed;
      },
      Now);
  out.NeedsPermit =
      out.Chosen && permissions[*out.Chosen] == SendPermission::Asking;
  out.HasAlternative =
      out.NeedsPermit && chooseAmong(
                             State, Found,
                             [&](size_t I) {
                               return isAllowed(I) &&
                                      permissions[I] == SendPermission::Open;
                             },
                             Now)
                             .has_value();
  return out;
}

/// The request waits for a permit to be sent to one of the endpoints that can
/// be asked for. It is refused only if others wait already and it cannot start
/// in time.
DispatchResult waitForPermit(FrontState &State, FrontRequest &Request,
                             const EndpointSurvey &Found, bool IsEngine,
                             bool HasAlternative, TimePoint Now) {
  ModelUsage &usage =
      State.ModelUsages[IsEngine ? Request.Attributes.Model
                                 : "service " + Request.Service];
  DispatchResult out;
  if (!usage.Waiting.empty())
    out = waitForSlot(State, Request, Found, IsEngine, Now);
  if (std::holds_alternative<FrontRefusal>(out.Decision))
    return out;
  addWaiting(State, usage, Request, Found, Now);
  out.Decision = WaitUntil{Now + PermitRequestTimeout};
  std::vector<const KnownEndpoint *> endpoints;
  for (const KnownEndpoint *it : Found.Endpoints)
    if (checkPermission(State, *it, Now) == SendPermission::Asking)
      endpoints.push_back(it);
  Clock::duration wait = OptionalPermitWait;
  if (!HasAlternative)
    wait = LeastPermitWait + (Now - Request.ArrivedAt) / 2 +
           PermitWaitPerLevel *
               (LeastUrgentLevel - std::min(Request.Urgency, LeastUrgentLevel));
  out.PermitRequest =
      requestPermits(State, endpoints, usage.Waiting.size(),
                     std::min(Now + wait, Request.FirstByteDeadline), Now);
  return out;
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
  if (auto refusal = checkQuarantine(State, Request, Now)) {
    out.Decision = *refusal;
    return out;
  }
  if (auto result =
          resolveStreamOrigin(State, Request, Now, out.OriginQueries)) {
    if (auto *until = std::get_if<TimePoint>(&*result))
      out.Decision = WaitUntil{*until};
    else
      out.Decision = std::get<FrontRefusal>(*result);
    return out;
  }
  if (Request.StreamVersion && !isStreamVersionServing(State, Request, Now)) {
    out.Decision = makeRefusal(State, RefusalReason::StreamVersionGone,
                               NoEndpointRetryAfter);
    return out;
  }
  if (auto decision = chargeQuota(State, Request, Now, out.PoolQuotaRequest)) {
    out.Decision = *decision;
    return out;
  }
  const EngineSpec *spec = findEngineSpec(State, Request.Service);
  bool isEngine = spec && !Request.Attributes.Model.empty();
  EndpointSurvey found = surveyEndpoints(State, Request, isEngine, Now);
  if (found.UsableCount == 0 && !Request.FailedEndpoints.empty()) {
    // All usable endpoints have failed the request once; all may be tried
    // again.
    Request.FailedEndpoints.clear();
    found = surveyEndpoints(State, Request, isEngine, Now);
  }
  if (found.UsableCount == 0) {
    // A front that has just started may not have discovered the endpoints yet.
    if (!isPast(State.EndpointDiscoveryEnd, Now) &&
        State.EndpointDiscoveryEnd < Request.FirstByteDeadline) {
      if (isEngine)
        out.LoadRequest = requestLoadWithoutLeader(State, Request, Now);
      out.Decision = WaitUntil{Now + RecheckPeriod};
      return out;
    }
    out.Decision =
        makeRefusal(State, RefusalReason::NoCapacity, NoEndpointRetryAfter);
    return out;
  }
  if (isEngine && found.EnginesWithModel == 0)
    return waitForModel(State, Request, found, Now);
  if (isEngine && !Request.Attributes.Adapter.empty()) {
    EndpointSurvey all = found;
    keepEnginesWithAdapter(Request, found);
    if (!chooseEndpoint(found.Candidates, State.Self.zone(), 0, Now))
      if (auto request = requestAdapter(State, Request, all, Now))
        out.AdapterRequests.push_back(std::move(*request));
    if (found.Candidates.empty()) {
      DispatchResult wait = waitForSlot(State, Request, all, isEngine, Now);
      wait.AdapterRequests = std::move(out.AdapterRequests);
      wait.DemandReport.reset();
      return wait;
    }
  }
  if (isLargerThanAll(found)) {
    out.Decision = FrontRefusal{RefusalReason::LargerThanEngine, {}};
    return out;
  }
  EndpointDecision decision = decideEndpoint(State, Request, found, Now);
  if (!decision.Chosen || decision.NeedsPermit) {
    DispatchResult wait =
        decision.NeedsPermit
            ? waitForPermit(State, Request, found, isEngine,
                            decision.HasAlternative, Now)
            : waitForSlot(State, Request, found, isEngine, Now);
    wait.AdapterRequests = std::move(out.AdapterRequests);
    return wait;
  }
  if (Request.NeedsRetryToken && !takeRetryToken(State, Request, Now)) {
    if (isPast(retryWaitEnd(Request), Now))
      out.Decision =
          makeRefusal(State, RefusalReason::RetriesExhausted, MinRetryAfter);
    else
      out.Decision = WaitUntil{Now + RecheckPeriod};
    return out;
  }
  Request.NeedsRetryToken = false;
  const KnownEndpoint &target = *found.Endpoints[*decision.Chosen];
  const EndpointRecord &record = *found.Candidates[*decision.Chosen].Record;
  Millis age =
      record.ReportedAt == TimePoint()
          ? Millis(0)
          : std::chrono::duration_cast<Millis>(Now - record.ReportedAt);
  out.Decision = SendTo{target.Id, target.Address, estimateLoad(record, Now),
                        age, decision.Crossing};
  return out;
}

namespace {

ModelUsage &modelUsageOf(FrontState &State, const FrontRequest &Request) {
  bool isEngine = findEngineSpec(State, Request.Service) != nullptr &&
                  !Request.Attributes.Model.empty();
  return State.ModelUsages[isEngine ? Request.Attributes.Model
                                    : "service " + Request.Service];
}

} // namespace

void recordDispatch(FrontState &State, FrontRequest &Request,
                    const std::string &Endpoint, TimePoint Now) {
  ModelUsage &usage = modelUsageOf(State, Request);
  removeWaiting(usage, Request);
  State.WaitingRequests.erase(Request.Number);
  ++usage.Open;
  ++State.OpenByOrganisation[Request.Service][Request.Organisation];
  ++usage.OpenByEndpoint[Endpoint];
  ++Request.Sends;
  recordSend(State.Records[Endpoint], memoryOf(sizeOf(Request)));
  recordSize(State, Request);
  takePermit(State, Endpoint, Now);
  for (const std::string &it :
       beginTrial(State.Quarantine, Request.Features, Now))
    logEvent(LogLevel::Info, "feature_tried",
             {{"id", Request.Attributes.Id},
              {"feature", it},
              {"endpoint", Endpoint}});
}

void recordExchangeEnd(FrontState &State, const FrontRequest &Request,
                       const std::string &Endpoint) {
  ModelUsage &usage = modelUsageOf(State, Request);
  if (usage.Open > 0)
    --usage.Open;
  auto &byOrganisation = State.OpenByOrganisation[Request.Service];
  auto open = byOrganisation.find(Request.Organisation);
  if (open != byOrganisation.end() && --open->second == 0)
    byOrganisation.erase(open);
  auto at = usage.OpenByEndpoint.find(Endpoint);
  if (at != usage.OpenByEndpoint.end() && --at->second == 0)
    usage.OpenByEndpoint.erase(at);
  recordClose(State.Records[Endpoint], memoryOf(sizeOf(Request)));
}

void applyQuotaGrant(FrontState &State, const wire::QuotaGrant &Grant,
                     TimePoint Now) {
  if (isLoan(Grant)) {
    applyLoan(State, Grant, Now);
    return;
  }
  if (Grant.term() < State.SharesTerm)
    return;
  recordPoolContact(State, Now);
  LocalQuota &quota = State.Quotas[Grant.organisation()];
  // Tokens for a request of the process before this one, or that arrive late,
  // belong to an earlier window.
  if (Grant.number() != quota.RequestNumber || isPast(quota.GrantEnd, Now)) {
    quota.Tally.Late += Grant.granted();
    return;
  }
  quota.PoolRequestedAt = TimePoint();
  quota.RequestNumber = 0;
  if (Grant.granted() > 0) {
    quota.Level += Grant.granted();
    quota.Tally.Granted += Grant.granted();
    return;
  }
  TimePoint &closedUntil =
      Grant.is_favoured() ? quota.PoolEmptyUntil : quota.PoolFavouredOnlyUntil;
  closedUntil = Now + Millis(Grant.wait_ms());
}

void logQuotaTallies(FrontState &State, TimePoint Now) {
  auto round = [](double Value) {
    return std::to_string(static_cast<int64_t>(Value));
  };
  for (auto &[organisation, it] : State.Quotas) {
    const QuotaTally &tally = it.Tally;
    if (tally.Refused > 0 || tally.Late > 0)
      logEvent(
          LogLevel::Info, "quota_spent",
          {{"organisation", organisation},
           {"charged", round(tally.Charged)},
           {"granted", round(tally.Granted)},
           {"borrowed", round(tally.Borrowed)},
           {"lent", round(tally.Lent)},
           {"late", round(tally.Late)},
           {"refused", std::to_string(tally.Refused)},
           {"level", round(it.Level)},
           {"share_percent", round(100 * it.Share)},
           {"fronts", std::to_string(countServingFronts(State, Now))},
           {"pooled_ms", std::to_string(toMillis(poolEndOf(State) - Now))}});
    it.Tally = {};
  }
}

void removeWaitingRequest(FrontState &State, const FrontRequest &Request) {
  if (!Request.Organisation.empty())
    State.Quotas[Request.Organisation].Waiting.erase(quotaPlaceOf(Request));
  State.WaitingRequests.erase(Request.Number);
  removeWaiting(modelUsageOf(State, Request), Request);
}

std::vector<uint64_t> listInOrder(const FrontState &State, TimePoint Now) {
  // Organisations share the room of a service, not that of others.
  std::map<std::string, std::vector<WaitingCaller>> byService;
  for (const auto &[number, it] : State.WaitingRequests)
    byService[it.Service].push_back(it.Caller);
  static const std::map<std::string, uint32_t> none;
  std::vector<WaitingCaller> all;
  for (auto &[service, callers] : byService) {
    auto open = State.OpenByOrganisation.find(service);
    for (WaitingCaller &it : orderCallers(
             std::move(callers),
             open == State.OpenByOrganisation.end() ? none : open->second, Now))
      all.push_back(std::move(it));
  }
  std::sort(all.begin(), all.end(), [&](const auto &A, const auto &B) {
    return isServedBefore(A.Position, B.Position, Now);
  });
  std::vector<uint64_t> out;
  for (const WaitingCaller &it : all)
    out.push_back(it.Position.Number);
  return out;
}

std::vector<uint64_t> listCallersBefore(const FrontState &State,
                                        const FrontRequest &Request,
                                        TimePoint Now) {
  std::vector<WaitingCaller> callers{
      waitingRequestOf(Request, Millis(0)).Caller};
  std::vector<uint64_t> out;
  bool isEngine = findEngineSpec(State, Request.Service) != nullptr &&
                  !Request.Attributes.Model.empty();
  auto usage = State.ModelUsages.find(isEngine ? Request.Attributes.Model
                                               : "service " + Request.Service);
  if (usage == State.ModelUsages.end())
    return out;
  // Those that wait for tokens or another model can't take this room.
  for (uint64_t number : usage->second.Waiting)
    if (auto it = State.WaitingRequests.find(number);
        it != State.WaitingRequests.end() && number != Request.Number)
      callers.push_back(it->second.Caller);
  if (callers.size() == 1)
    return out;
  auto open = State.OpenByOrganisation.find(Request.Service);
  callers = orderCallers(std::move(callers),
                         open == State.OpenByOrganisation.end()
                             ? std::map<std::string, uint32_t>()
                             : open->second,
                         Now);
  for (const WaitingCaller &it : callers) {
    if (it.Position.Number == Request.Number)
      break;
    out.push_back(it.Position.Number);
  }
  return out;
}

bool recordRefusedCaller(FrontState &State, const FrontRequest &Request,
                         TimePoint Now) {
  auto &refused = State.RefusedUntil;
  const std::string &digest = Request.Features.Digest;
  auto it = refused.find(digest);
  bool isAgain = it != refused.end() && !isPast(it->second, Now);
  if (it == refused.end() && refused.size() >= MaxRefusedCallers) {
    std::erase_if(refused,
                  [&](const auto &Old) { return isPast(Old.second, Now); });
    if (refused.size() >= MaxRefusedCallers)
      return false;
  }
  refused[digest] = Request.Deadline;
  return isAgain;
}

void recordWaiting(FrontState &State, const FrontRequest &Request) {
  State.WaitingRequests.try_emplace(Request.Number,
                                    waitingRequestOf(Request, Millis(0)));
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

RetryDecision decideRetry(FrontState &State, FrontRequest &Request,
                          const std::string &Endpoint, ExchangeFailure Failure,
                          bool HasResponse, TimePoint Now) {
  EndpointRecord &record = State.Records[Endpoint];
  bool isRun =
      Failure == ExchangeFailure::Broken || Failure == ExchangeFailure::Error;
  if (Failure == ExchangeFailure::Rejected) {
    record.PausedUntil = std::max(record.PausedUntil, Now + RejectionPause);
  } else {
    recordFailure(record, Failure == ExchangeFailure::Unreachable, Now);
    logPause(Endpoint, record, Now);
    Request.FailedEndpoints.insert(Endpoint);
  }
  Request.Runs += isRun;
  RetryDecision out;
  out.Refusal = refusalAfterFailure(State, Request, Now);
  bool mayRetry = !isRun || Request.IsRepeatable;
  bool hasAttempts =
      Request.Runs < std::max<uint32_t>(Request.Route->MaxAttempts, 1);
  if (!mayRetry || !hasAttempts || Request.Sends >= MaxSends ||
      isPast(Request.Deadline, Now) || (State.IsStopping && HasResponse) ||
      checkQuarantine(State, Request, Now)) {
    refundQuota(State, Request);
    return out;
  }
  // A send that did not reach an endpoint is not charged to the retry budget,
  // as it puts no load on the fleet.
  if (Failure != ExchangeFailure::Unreachable &&
      !takeRetryToken(State, Request, Now)) {
    bool mayWait = Failure == ExchangeFailure::Rejected &&
                   !isPast(retryWaitEnd(Request), Now);
    if (!mayWait) {
      refundQuota(State, Request);
      return out;
    }
    Request.NeedsRetryToken = true;
  }
  out.IsRetry = true;
  out.Why = retryReasonOf(Failure);
  return out;
}

void recordMissingModel(FrontState &State, const FrontRequest &Request,
                        const std::string &Endpoint) {
  auto known = State.Directory.Endpoints.find(Endpoint);
  if (known == State.Directory.Endpoints.end())
    return;
  auto forget = [&](EngineState &Engine) {
    auto model = Engine.Models.find(Request.Attributes.Model);
    if (model == Engine.Models.end())
      return;
    if (Request.Attributes.Adapter.empty())
      Engine.Models.erase(model);
    else
      model->second.erase(Request.Attributes.Adapter);
  };
  auto report = State.Directory.AgentReports.find(known->second.Address);
  if (report != State.Directory.AgentReports.end())
    forget(report->second.State);
  auto announced = State.Directory.Announced.find(Endpoint);
  if (announced != State.Directory.Announced.end())
    forget(announced->second);
}

} // namespace sassafras
