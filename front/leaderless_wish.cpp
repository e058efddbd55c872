#include "front/leaderless_wish.h"

#include "policy/leaderless_load.h"

namespace sassafras {

namespace {

/// Minimum interval between two requests for the same model. The agents'
/// reports show the effect of an order within this time.
constexpr Millis RequestInterval{250};
/// An engine whose agent has not reported for this long, which is several of
/// its report periods, may have changed and is not considered.
constexpr Millis AgentReportLifetime{2'500};
/// The order expires after the load time plus this margin.
constexpr Millis OrderSlack{1'000};

/// True when no leader plans for \p Request: none is known, or the known one
/// has not sent a current forecast for its model in time.
bool isLeaderless(const FrontState &State, const FrontRequest &Request,
                  const ModelUsage &Usage, TimePoint Now) {
  if (State.IsLeading)
    return false;
  if (!hasLeader(State, Now))
    return true;
  return Now - Request.ArrivedAt > ForecastTimeout &&
         Now - Usage.ForecastAt > ForecastLifetime;
}

/// Free memory of an engine in MB, with loaded adapters counted as used; 0 when
/// it has a model of unknown size.
uint64_t freeMemoryMb(const EngineSpec &Spec, const EngineState &Engine) {
  uint64_t used = 0;
  for (const auto &[model, adapters] : Engine.Models) {
    auto it = Spec.Models.find(model);
    if (it == Spec.Models.end())
      return 0;
    used += it->second.WeightsMb + adapters.size() * it->second.AdapterMb;
  }
  return Spec.WeightsMb > used ? Spec.WeightsMb - used : 0;
}

/// True if the endpoint at \p Address is known to be in such a zone.
bool isInEvacuatedZone(const FrontState &State, const std::string &Address) {
  auto id = State.Directory.IdByAddress.find(Address);
  if (id == State.Directory.IdByAddress.end())
    return false;
  auto known = State.Directory.Endpoints.find(id->second);
  return known != State.Directory.Endpoints.end() &&
         isEvacuated(State.Evacuations, known->second.Zone);
}

} // namespace

std::optional<ModelLoadRequest>
requestLoadWithoutLeader(FrontState &State, const FrontRequest &Request,
                         TimePoint Now) {
  const EngineSpec *spec = findEngineSpec(State, Request.Service);
  const std::string &name = Request.Attributes.Model;
  ModelUsage &usage = State.ModelUsages[name];
  if (!spec || !spec->Models.contains(name) ||
      !isPast(usage.NextAgentRequest, Now) ||
      !isLeaderless(State, Request, usage, Now))
    return std::nullopt;
  const ModelSpec &model = spec->Models.at(name);
  std::vector<FreeEngine> engines;
  std::vector<const EngineState *> states;
  // Iterates the agents' reports and not the endpoints: an agent may report
  // before its engine has announced itself to this front.
  for (const auto &[address, report] : State.Directory.AgentReports) {
    const EngineState &engine = report.State;
    if (engine.IsSilent || Now - engine.ReadAt > AgentReportLifetime ||
        isInEvacuatedZone(State, address))
      continue;
    if (engine.Loading == name || engine.Models.contains(name))
      return std::nullopt;
    bool isInMemory = engine.InMemory.contains(name);
    bool isFree = !engine.IsBusy && engine.Loading.empty();
    if (!isFree || (!isInMemory && !engine.OnDisk.contains(name)))
      continue;
    engines.push_back({address, freeMemoryMb(*spec, engine), isInMemory});
    states.push_back(&engine);
  }
  auto chosen = chooseFreeEngine(name, model.WeightsMb, engines);
  if (!chosen)
    return std::nullopt;
  usage.NextAgentRequest = Now + RequestInterval;
  ModelLoadRequest out;
  out.Agent = states[*chosen]->AgentAddress;
  out.Order.set_engine_address(engines[*chosen].Address);
  out.Order.set_load(name);
  *out.Order.mutable_sizes() = makeEngineSizes(*spec, *states[*chosen], name);
  out.Order.set_expires_in_ms(
      static_cast<uint64_t>((model.DiskLoad + OrderSlack).count()));
  return out;
}

} // namespace sassafras
