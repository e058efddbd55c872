#include "front/front_state.h"

#include <algorithm>

namespace sassafras {

namespace {

/// Requests that have waited for this long count twice. It is about the time of
/// two loads from disk.
constexpr Millis AgingPeriod{2'500};
/// Limit of the increase, as a multiple of the worth: the model may not be
/// loadable at all.
constexpr double MaxAging = 3;

} // namespace

size_t countFronts(const FrontState &State, TimePoint Now) {
  return countInView(State.Roster, wire::NODE_FRONT, Now) + 1;
}

size_t countServingFronts(const Roster &Roster, size_t Told, TimePoint ToldAt,
                          TimePoint Now) {
  size_t n = 1;
  for (const auto &[name, it] : Roster.Nodes)
    n += it.Entry.kind() == wire::NODE_FRONT &&
         (isInView(it, Now) || !it.IsLeaving);
  bool isTold = ToldAt != TimePoint() && Now - ToldAt < FrontCountLifetime;
  return isTold ? std::max(n, Told) : n;
}

size_t countServingFronts(const FrontState &State, TimePoint Now) {
  return countServingFronts(State.Roster, State.FrontCountTold,
                            State.FrontCountToldAt, Now);
}

bool hasLeader(const FrontState &State, TimePoint Now) {
  return State.IsLeading || (State.Leader.HeardAt != TimePoint() &&
                             Now - State.Leader.HeardAt < NodeTimeout);
}

TimePoint poolEndOf(const FrontState &State) {
  return std::max(State.StartedAt, State.PoolHeardAt) + PoolTimeout;
}

bool knowsFrontCount(const FrontState &State, TimePoint Now) {
  TimePoint told = std::max(State.FrontCountToldAt, State.PoolHeardAt);
  return told != TimePoint() && Now - told < FrontCountLifetime;
}

RetryShare retryShareOf(const FrontState &State, TimePoint Now) {
  return {knowsFrontCount(State, Now) ? countServingFronts(State, Now) : 0,
          State.StartedAt};
}

void recordPoolContact(FrontState &State, TimePoint Now) {
  if (isPast(poolEndOf(State), Now))
    State.PoolRegainedAt = Now;
  State.PoolHeardAt = Now;
}

TimePoint partUnusedSince(const FrontState &State) {
  return std::max(State.StartedAt, State.PoolRegainedAt);
}

QuotaPosition quotaPositionOf(const FrontState &State, TimePoint Now) {
  QuotaPosition out;
  out.FrontCount = countServingFronts(State, Now);
  out.Since = State.StartedAt;
  out.PooledUntil = poolEndOf(State);
  TimePoint told = std::max(State.FrontCountToldAt, State.PoolHeardAt);
  if (told != TimePoint())
    out.AloneUntil = told + FrontCountLifetime;
  return out;
}

QuotaLimit quotaLimitOf(const FrontState &State,
                        const OrganisationSpec &Organisation, TimePoint Now) {
  TimePoint heardAt = std::max(State.PoolHeardAt, State.Leader.HeardAt);
  bool hasPool = State.IsLeading ||
                 (heardAt != TimePoint() && Now - heardAt < PoolTimeout);
  return {Organisation.RatePerSecond, Organisation.Burst,
          State.Limits.Tolerance,
          hasPool && isPast(State.PoolUnavailableUntil, Now)};
}

const EngineSpec *findEngineSpec(const FrontState &State,
                                 const std::string &Service) {
  if (!State.Table)
    return nullptr;
  auto it = State.Table->Services.find(Service);
  if (it == State.Table->Services.end() || !it->second.Engine)
    return nullptr;
  return &*it->second.Engine;
}

double agedWaitingWorth(const ModelUsage &Usage, TimePoint Now) {
  double worth =
      isPast(Usage.RetryExpectedUntil, Now) ? 0.0 : Usage.RetryExpectedWorth;
  if (Usage.Waiting.empty())
    return worth;
  double age = std::chrono::duration<double>(Now - Usage.WaitingSince) /
               std::chrono::duration<double>(AgingPeriod);
  return std::max(worth,
                  Usage.WaitingWorth * (1 + std::clamp(age, 0.0, MaxAging)));
}

RankBacklog ownBacklogOf(const FrontState &State, const ModelUsage &Usage,
                         TimePoint Now) {
  RankBacklog out;
  auto it = State.WaitingRequests.begin();
  if (!Usage.Waiting.empty())
    it = State.WaitingRequests.lower_bound(*Usage.Waiting.begin());
  // Both are in the order of their numbers.
  for (uint64_t number : Usage.Waiting) {
    while (it != State.WaitingRequests.end() && it->first < number)
      ++it;
    if (it == State.WaitingRequests.end())
      break;
    if (it->first == number && it->second.Caller.Position.Rank < RankCount)
      ++out.Waiting[it->second.Caller.Position.Rank];
  }
  for (const auto &[at, rank] : Usage.Returning)
    if (!isPast(at, Now) && rank < RankCount)
      ++out.Returning[rank];
  return out;
}

RankBacklog fleetBacklogOf(const FrontState &State, const ModelUsage &Usage,
                           TimePoint Now) {
  RankBacklog own = ownBacklogOf(State, Usage, Now);
  bool isTold = Usage.FleetBacklogAt != TimePoint() &&
                Now - Usage.FleetBacklogAt < BacklogLifetime;
  if (!isTold)
    return scaled(own, countFronts(State, Now));
  RankBacklog out = Usage.FleetBacklog;
  // This front's own callers count from the first moment.
  for (size_t i = 0; i < RankCount; ++i) {
    out.Waiting[i] = std::max(out.Waiting[i], own.Waiting[i]);
    out.Returning[i] = std::max(out.Returning[i], own.Returning[i]);
  }
  return out;
}

void addBacklog(const FrontState &State, const ModelUsage &Usage, TimePoint Now,
                wire::RowDemand &Out) {
  RankBacklog own = ownBacklogOf(State, Usage, Now);
  auto add = [](const std::array<uint32_t, RankCount> &Counts, auto &&Add) {
    size_t size = RankCount;
    while (size > 0 && Counts[size - 1] == 0)
      --size;
    for (size_t i = 0; i < size; ++i)
      Add(Counts[i]);
  };
  add(own.Waiting, [&](uint32_t N) { Out.add_waiting_by_rank(N); });
  add(own.Returning, [&](uint32_t N) { Out.add_returning_by_rank(N); });
}

void addOpenRequests(const ModelUsage &Usage, wire::RowDemand &Out) {
  for (const auto &[endpoint, count] : Usage.OpenByEndpoint) {
    wire::OpenRequests &open = *Out.add_open();
    open.set_endpoint(endpoint);
    open.set_count(count);
  }
}

void addWantedVersions(ModelUsage &Usage, TimePoint Now, wire::RowDemand &Out) {
  std::erase_if(Usage.WantedVersions,
                [&](const auto &it) { return isPast(it.second, Now); });
  for (const auto &[version, until] : Usage.WantedVersions)
    Out.add_software_versions(version);
}

wire::EngineSizes makeEngineSizes(const EngineSpec &Spec,
                                  const EngineState &Engine,
                                  const std::string &Wanted) {
  wire::EngineSizes out;
  out.set_weights_mb(Spec.WeightsMb);
  out.set_adapter_slots(Spec.AdapterSlots);
  std::set<std::string> models{Wanted};
  for (const auto &[name, adapters] : Engine.Models)
    models.insert(name);
  for (const std::string &it : models) {
    auto spec = Spec.Models.find(it);
    if (spec == Spec.Models.end())
      continue;
    wire::ModelSize &size = *out.add_models();
    size.set_name(it);
    size.set_weights_mb(spec->second.WeightsMb);
    size.set_adapter_mb(spec->second.AdapterMb);
  }
  return out;
}

} // namespace sassafras
