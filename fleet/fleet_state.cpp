#include "fleet/fleet_state.h"

#include "fleet/table.h"

#include <algorithm>

namespace sassafras {

namespace {

using wire::ProposalReply;

ProposalReply accepted(const FleetState &State, uint64_t Index) {
  ProposalReply reply;
  reply.set_status(wire::PROPOSAL_ACCEPTED);
  reply.set_version(Index);
  reply.set_table_version(State.TableVersion);
  return reply;
}

ProposalReply rejected(const FleetState &State, wire::ProposalStatus Status,
                       const std::string &Reason) {
  ProposalReply reply;
  reply.set_status(Status);
  reply.set_reason(Reason);
  reply.set_version(State.Version);
  reply.set_table_version(State.TableVersion);
  return reply;
}

ProposalReply invalid(const FleetState &State, const std::string &Reason) {
  return rejected(State, wire::PROPOSAL_INVALID, Reason);
}

void eraseKeysWithoutOrganisation(FleetState &State, uint64_t Index) {
  for (const wire::Item *it : State.Items.list("key/")) {
    const wire::TableRow *organisation =
        findRow(State.Items, it->key().tenant());
    if (!organisation || organisation->kind() != wire::ROW_TENANT)
      State.Items.erase(std::string(it->name()), Index);
  }
}

ProposalReply apply(FleetState &State, const wire::TableEdit &Edit,
                    uint64_t Index) {
  if (Edit.base_version() != State.TableVersion)
    return rejected(State, wire::PROPOSAL_CONFLICT,
                    "table is at version " +
                        std::to_string(State.TableVersion));
  std::vector<wire::TableRow> rows(Edit.rows().begin(), Edit.rows().end());
  if (auto problem = checkTable(rows))
    return invalid(State, describe(*problem));
  std::set<std::string> kept;
  for (const wire::TableRow &it : rows) {
    kept.insert(it.name());
    const wire::TableRow *old = findRow(State.Items, it.name());
    if (old && old->SerializeAsString() == it.SerializeAsString())
      continue;
    wire::Item item;
    item.set_name(rowItemName(it.name()));
    *item.mutable_row() = it;
    State.Items.put(std::move(item), Index);
  }
  for (const wire::Item *it : State.Items.list("row/"))
    if (!kept.contains(it->row().name()))
      State.Items.erase(std::string(it->name()), Index);
  eraseKeysWithoutOrganisation(State, Index);
  ++State.TableVersion;
  return accepted(State, Index);
}

ProposalReply apply(FleetState &State, const wire::KeyGrant &Grant,
                    uint64_t Index) {
  const wire::TableRow *organisation = findRow(State.Items, Grant.tenant());
  if (!organisation || organisation->kind() != wire::ROW_TENANT)
    return invalid(State, "unknown organisation " + Grant.tenant());
  if (Grant.key_id().empty() || Grant.key_hash().empty())
    return invalid(State, "key id and key hash are required");
  if (State.Items.find(keyItemName(Grant.key_id())))
    return rejected(State, wire::PROPOSAL_CONFLICT, "key id is already in use");
  for (const wire::Item *it : State.Items.list("key/"))
    if (it->key().key_hash() == Grant.key_hash())
      return rejected(State, wire::PROPOSAL_CONFLICT,
                      "key is already granted as " + it->key().key_id());
  wire::Item item;
  item.set_name(keyItemName(Grant.key_id()));
  item.mutable_key()->set_key_id(Grant.key_id());
  item.mutable_key()->set_key_hash(Grant.key_hash());
  item.mutable_key()->set_tenant(Grant.tenant());
  State.Items.put(std::move(item), Index);
  return accepted(State, Index);
}

ProposalReply apply(FleetState &State, const wire::KeyWithdrawal &Withdrawal,
                    uint64_t Index) {
  std::string name = keyItemName(Withdrawal.key_id());
  if (!State.Items.find(name))
    return invalid(State, "no key " + Withdrawal.key_id());
  State.Items.erase(name, Index);
  return accepted(State, Index);
}

/// Erases the replicas on \p Endpoint that belong to another engine process
/// than \p EngineIncarnation.
void eraseReplicasOf(FleetState &State, const std::string &Endpoint,
                     uint64_t EngineIncarnation, uint64_t Index) {
  for (const wire::Item *it : State.Items.list(replicaItemName(Endpoint, "")))
    if (it->replica().engine_incarnation() != EngineIncarnation)
      State.Items.erase(std::string(it->name()), Index);
}

ProposalReply apply(FleetState &State, const wire::EndpointChange &Change,
                    uint64_t Index) {
  const wire::Endpoint &endpoint = Change.endpoint();
  std::string name = endpointItemName(endpoint.name());
  const wire::Endpoint *old = findEndpoint(State.Items, endpoint.name());
  if (Change.remove()) {
    if (!old || old->incarnation() != endpoint.incarnation())
      return invalid(State,
                     "endpoint is unknown or its incarnation does not match");
    State.Items.erase(name, Index);
    eraseReplicasOf(State, endpoint.name(), 0, Index);
    return accepted(State, Index);
  }
  eraseReplicasOf(State, endpoint.name(), endpoint.engine_incarnation(), Index);
  wire::Item item;
  item.set_name(name);
  *item.mutable_endpoint() = endpoint;
  State.Items.put(std::move(item), Index);
  return accepted(State, Index);
}

/// Reason why \p Replica cannot be created, if any.
std::optional<std::string> checkNewReplica(const FleetState &State,
                                           const wire::Replica &Replica) {
  const wire::Endpoint *endpoint =
      findEndpoint(State.Items, Replica.endpoint());
  if (!endpoint || endpoint->leaving() ||
      endpoint->engine_incarnation() != Replica.engine_incarnation())
    return "endpoint is unknown, leaving or restarted";
  const wire::TableRow *row = findRow(State.Items, Replica.row());
  if (!row)
    return "no row " + Replica.row();
  if (findReplica(State.Items, Replica.endpoint(), Replica.row()))
    return "replica already exists";
  if (countReplicas(State.Items, Replica.row()) >= row->max_replicas())
    return "row has reached max_replicas";
  if (usedMemoryMb(State.Items, Replica.endpoint()) + Replica.memory_mb() >
      endpoint->memory_mb())
    return "not enough free memory on the endpoint";
  if (!Replica.is_adapter())
    return std::nullopt;
  const wire::Replica *base =
      findReplica(State.Items, Replica.endpoint(), Replica.base());
  if (!base || base->phase() != wire::PHASE_LOADED)
    return "base model is not loaded on the endpoint";
  return std::nullopt;
}

/// True when an adapter on the endpoint of \p Model is based on it.
bool hasAdapters(const FleetState &State, const wire::Replica &Model) {
  for (const wire::Replica *it : listReplicasOn(State.Items, Model.endpoint()))
    if (it->is_adapter() && it->base() == Model.row())
      return true;
  return false;
}

ProposalReply createReplica(FleetState &State, const wire::Replica &Replica,
                            uint64_t Index) {
  if (auto reason = checkNewReplica(State, Replica))
    return invalid(State, *reason);
  wire::Item item;
  item.set_name(replicaItemName(Replica.endpoint(), Replica.row()));
  *item.mutable_replica() = Replica;
  item.mutable_replica()->set_fence(Index);
  State.Items.put(std::move(item), Index);
  return accepted(State, Index);
}

ProposalReply apply(FleetState &State, const wire::ReplicaChange &Change,
                    uint64_t Index) {
  const wire::Replica &replica = Change.replica();
  if (!Change.remove() && replica.phase() == wire::PHASE_LOADING)
    return createReplica(State, replica, Index);
  std::string name = replicaItemName(replica.endpoint(), replica.row());
  const wire::Replica *old =
      findReplica(State.Items, replica.endpoint(), replica.row());
  if (!old || old->fence() != replica.fence())
    return invalid(State,
                   "replica is unknown or its fencing token does not match");
  // Reports of an earlier agent process are rejected: a later process may
  // already be using a replica that the earlier one gave up.
  const wire::Endpoint *endpoint =
      findEndpoint(State.Items, replica.endpoint());
  bool isOutdated = Change.reporter() != 0 && endpoint &&
                    endpoint->incarnation() != Change.reporter();
  if (isOutdated)
    return invalid(State, "report is not from the current agent process");
  if (Change.remove()) {
    State.Items.erase(name, Index);
    return accepted(State, Index);
  }
  bool isValidTransition = replica.phase() == wire::PHASE_LOADED
                               ? old->phase() == wire::PHASE_LOADING
                               : old->phase() != wire::PHASE_UNLOADING;
  if (!isValidTransition)
    return invalid(State, "replica phase does not allow this change");
  if (replica.phase() == wire::PHASE_UNLOADING && hasAdapters(State, *old))
    return invalid(State, "adapters on the endpoint depend on this model");
  wire::Item item = *State.Items.find(name);
  item.mutable_replica()->set_phase(replica.phase());
  // An unload order gets a higher fencing token than the load.
  if (replica.phase() == wire::PHASE_UNLOADING)
    item.mutable_replica()->set_fence(Index);
  State.Items.put(std::move(item), Index);
  return accepted(State, Index);
}

void eraseExpiredClaims(FleetState &State, uint64_t Index) {
  for (const wire::Item *it : State.Items.list("claim/"))
    if (it->claim().expires_ms() <= State.FleetTimeMs)
      State.Items.erase(std::string(it->name()), Index);
}

ProposalReply apply(FleetState &State, const wire::ClaimRequest &Request,
                    uint64_t Index) {
  eraseExpiredClaims(State, Index);
  std::string name = claimItemName(Request.digest());
  if (const wire::Item *old = State.Items.find(name)) {
    bool isOwn = old->claim().request_id() == Request.request_id();
    ProposalReply reply = isOwn ? accepted(State, Index)
                                : rejected(State, wire::PROPOSAL_DUPLICATE,
                                           "claim is held by another request");
    *reply.mutable_claim() = old->claim();
    return reply;
  }
  wire::Item item;
  item.set_name(name);
  wire::Claim &claim = *item.mutable_claim();
  claim.set_digest(Request.digest());
  claim.set_tenant(Request.tenant());
  claim.set_request_id(Request.request_id());
  claim.set_expires_ms(State.FleetTimeMs + Request.window_ms());
  ProposalReply reply = accepted(State, Index);
  *reply.mutable_claim() = claim;
  State.Items.put(std::move(item), Index);
  return reply;
}

ProposalReply apply(FleetState &State, const wire::ClaimOutcome &Outcome,
                    uint64_t Index) {
  std::string name = claimItemName(Outcome.digest());
  const wire::Item *old = State.Items.find(name);
  if (!old || old->claim().request_id() != Outcome.request_id())
    return invalid(State, "claim is not held by this request");
  if (Outcome.not_run() && old->claim().finished())
    return invalid(State, "claim already has an outcome");
  if (Outcome.not_run()) {
    State.Items.erase(name, Index);
    return accepted(State, Index);
  }
  wire::Item item = *old;
  wire::Claim &claim = *item.mutable_claim();
  claim.set_finished(true);
  claim.set_status(Outcome.status());
  claim.set_content_type(Outcome.content_type());
  claim.set_body(Outcome.body());
  State.Items.put(std::move(item), Index);
  return accepted(State, Index);
}

void recordDeath(FleetState &State, const std::string &Digest,
                 const std::string &DeathName, uint64_t Index) {
  wire::Item item;
  if (const wire::Item *old = State.Items.find(deathItemName(Digest)))
    if (old->death().expires_ms() > State.FleetTimeMs)
      item = *old;
  item.set_name(deathItemName(Digest));
  wire::DigestDeaths &death = *item.mutable_death();
  const auto &known = death.deaths();
  if (std::find(known.begin(), known.end(), DeathName) != known.end())
    return;
  death.set_digest(Digest);
  death.add_deaths(DeathName);
  death.set_expires_ms(State.FleetTimeMs + QuarantineMs);
  bool reachesLimit = death.deaths_size() >= QuarantineDeaths;
  State.Items.put(std::move(item), Index);
  if (!reachesLimit)
    return;
  wire::Item quarantined;
  quarantined.set_name(quarantineItemName(Digest));
  quarantined.mutable_quarantine()->set_digest(Digest);
  quarantined.mutable_quarantine()->set_expires_ms(State.FleetTimeMs +
                                                   QuarantineMs);
  State.Items.put(std::move(quarantined), Index);
}

ProposalReply apply(FleetState &State, const wire::DeathRecord &Record,
                    uint64_t Index) {
  for (const std::string &it : Record.digests())
    recordDeath(State, it, Record.death(), Index);
  for (const char *prefix : {"quarantine/", "death/"})
    for (const wire::Item *it : State.Items.list(prefix)) {
      uint64_t expires = it->has_death() ? it->death().expires_ms()
                                         : it->quarantine().expires_ms();
      if (expires <= State.FleetTimeMs)
        State.Items.erase(std::string(it->name()), Index);
    }
  return accepted(State, Index);
}

ProposalReply applyChange(FleetState &State, const wire::Command &Command,
                          uint64_t Index) {
  switch (Command.change_case()) {
  case wire::Command::kTableEdit:
    return apply(State, Command.table_edit(), Index);
  case wire::Command::kKeyGrant:
    return apply(State, Command.key_grant(), Index);
  case wire::Command::kKeyWithdraw:
    return apply(State, Command.key_withdraw(), Index);
  case wire::Command::kEndpointChange:
    return apply(State, Command.endpoint_change(), Index);
  case wire::Command::kReplicaChange:
    return apply(State, Command.replica_change(), Index);
  case wire::Command::kClaim:
    return apply(State, Command.claim(), Index);
  case wire::Command::kClaimOutcome:
    return apply(State, Command.claim_outcome(), Index);
  case wire::Command::kDeath:
    return apply(State, Command.death(), Index);
  case wire::Command::kNoop:
  case wire::Command::kMemberChange:
    return accepted(State, Index);
  default:
    return invalid(State, "unknown command");
  }
}

void storeResult(FleetState &State, const std::string &OperationId,
                 const ProposalReply &Reply) {
  State.Operations[OperationId] = Reply;
  State.OperationOrder.push_back(OperationId);
  if (State.OperationOrder.size() <= MaxOperationResults)
    return;
  State.Operations.erase(State.OperationOrder.front());
  State.OperationOrder.pop_front();
}

} // namespace

ProposalReply applyCommand(FleetState &State, const wire::Command &Command,
                           uint64_t Index) {
  State.Version = Index;
  State.FleetTimeMs = std::max(State.FleetTimeMs, Command.fleet_time_ms());
  const std::string &operation = Command.operation_id();
  if (!operation.empty()) {
    auto it = State.Operations.find(operation);
    if (it != State.Operations.end())
      return it->second;
  }
  ProposalReply reply = applyChange(State, Command, Index);
  State.Items.pruneDeletions(MaxDeletions);
  if (!operation.empty())
    storeResult(State, operation, reply);
  return reply;
}

void saveFleet(const FleetState &State, wire::Snapshot &Out) {
  Out.set_table_version(State.TableVersion);
  Out.set_fleet_time_ms(State.FleetTimeMs);
  Out.set_oldest_delta(State.Items.oldestDelta());
  for (const auto &[name, item] : State.Items.all())
    *Out.add_items() = item;
  for (const std::string &it : State.OperationOrder) {
    wire::OperationResult &result = *Out.add_operations();
    result.set_operation_id(it);
    *result.mutable_reply() = State.Operations.at(it);
  }
}

void loadFleet(FleetState &State, const wire::Snapshot &In) {
  State = FleetState();
  State.Version = In.index();
  State.TableVersion = In.table_version();
  State.FleetTimeMs = In.fleet_time_ms();
  for (const wire::Item &it : In.items())
    State.Items.put(it, it.version());
  State.Items.setOldestDelta(In.oldest_delta());
  for (const wire::OperationResult &it : In.operations())
    storeResult(State, it.operation_id(), it.reply());
}

uint64_t usedMemoryMb(const ItemStore &Items, const std::string &Endpoint) {
  uint64_t sum = 0;
  for (const wire::Replica *it : listReplicasOn(Items, Endpoint))
    sum += it->memory_mb();
  return sum;
}

uint32_t countReplicas(const ItemStore &Items, const std::string &Row) {
  uint32_t n = 0;
  for (const wire::Replica *it : listReplicas(Items))
    n += it->row() == Row;
  return n;
}

} // namespace sassafras
