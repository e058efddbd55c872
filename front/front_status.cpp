#include "front/front_status.h"

#include "front/endpoint_statements.h"

namespace sassafras {

namespace {

const char *endpointState(const FrontState &State,
                          const KnownEndpoint &Endpoint,
                          const EngineState *Engine, TimePoint Now) {
  if (Endpoint.HasLeft || Endpoint.IsDraining)
    return "leaving";
  if (!isUsable(Endpoint, Now) || (Engine && Engine->IsSilent))
    return "silent";
  if (isEvacuated(State.Evacuations, Endpoint.Zone))
    return "evacuated";
  return coldTimeLeft(State, Endpoint, Now) > Millis(0) ? "slow" : "usable";
}

void fillEngineStatus(const EngineState &Engine, TimePoint Now,
                      wire::EndpointStatus &Out) {
  Out.set_active(Engine.Active);
  Out.set_queued(Engine.Queued);
  Out.set_report_age_ms(toMillis(Now - Engine.ReadAt));
  for (const auto &[model, adapters] : Engine.Models) {
    Out.add_models(model);
    for (const std::string &it : adapters)
      Out.add_models(std::string(model).append("/").append(it));
  }
  for (const std::string &it : Engine.InMemory)
    Out.add_in_memory(it);
  for (const std::string &it : Engine.OnDisk)
    Out.add_on_disk(it);
}

} // namespace

void fillFrontStatus(const FrontState &State, TimePoint Now,
                     wire::StatusReply &Out) {
  Out.set_node(State.Self.name());
  Out.set_table_version(State.Table ? State.Table->Version : 0);
  *Out.mutable_evacuations() = makeEvacuationState(State.Evacuations, Now);
  for (const auto &[name, it] : State.Roster.Nodes) {
    wire::NodeStatus &node = *Out.add_nodes();
    node.set_name(name);
    node.set_silent_ms(toMillis(Now - it.HeardAt));
    node.set_is_agent(it.Entry.kind() != wire::NODE_FRONT);
    node.set_applied_version(it.TableVersion);
  }
  for (const auto &[id, known] : State.Directory.Endpoints) {
    const EngineState *engine = findEngineState(State.Directory, known);
    wire::EndpointStatus &endpoint = *Out.add_endpoints();
    endpoint.set_id(id);
    endpoint.set_service(known.Service);
    endpoint.set_zone(known.Zone);
    endpoint.set_address(known.Address);
    endpoint.set_state(endpointState(State, known, engine, Now));
    endpoint.set_slots(known.Slots);
    endpoint.set_report_age_ms(toMillis(Now - known.HeardAt));
    if (engine)
      fillEngineStatus(*engine, Now, endpoint);
  }
}

} // namespace sassafras
