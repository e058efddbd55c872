#include "front/front_state.h"

#include <algorithm>

namespace sassafras {

namespace {

/// Requests that have waited for this long count twice; two loads from disk.
constexpr Millis AgingSpan{2'500};
/// They count no more than this much more: what they ask for may be out of
/// reach.
constexpr double MostAging = 3;

} // namespace

size_t countFronts(const FrontState &State, TimePoint Now) {
  return countInView(State.Roster, wire::NODE_FRONT, Now) + 1;
}

bool hasLeader(const FrontState &State, TimePoint Now) {
  return State.IsLeading || (State.Leader.HeardAt != TimePoint() &&
                             Now - State.Leader.HeardAt < NodeSilence);
}

QuotaLimit quotaLimitOf(const FrontState &State,
                        const OrganisationSpec &Organisation, TimePoint Now) {
  bool hasPool = State.PoolHeardAt != TimePoint() &&
                 Now - State.PoolHeardAt < PoolSilence &&
                 isPast(State.PoolLostUntil, Now);
  return {Organisation.RatePerSecond, Organisation.Burst,
          State.Limits.Tolerance, hasPool};
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

double agedWaitingWorth(const ModelUsage &Row, TimePoint Now) {
  double worth = isPast(Row.RetryExpectedUntil, Now) ? 0.0 : Row.WantedWorth;
  if (Row.Waiting.empty())
    return worth;
  double age = std::chrono::duration<double>(Now - Row.WaitingSince) /
               std::chrono::duration<double>(AgingSpan);
  return std::max(worth,
                  Row.WaitingWorth * (1 + std::clamp(age, 0.0, MostAging)));
}

void addOpenRequests(const ModelUsage &Row, wire::RowDemand &Out) {
  for (const auto &[endpoint, count] : Row.OpenAt) {
    wire::OpenRequests &open = *Out.add_open();
    open.set_endpoint(endpoint);
    open.set_count(count);
  }
}

wire::EngineSizes makeEngineSizes(const EngineSpec &Spec) {
  wire::EngineSizes out;
  out.set_weights_mb(Spec.WeightsMb);
  out.set_adapter_slots(Spec.AdapterSlots);
  for (const auto &[name, it] : Spec.Models) {
    wire::ModelSize &size = *out.add_models();
    size.set_name(name);
    size.set_weights_mb(it.WeightsMb);
    size.set_adapter_mb(it.AdapterMb);
  }
  return out;
}

} // namespace sassafras
