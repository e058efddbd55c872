/// \file
/// Decides which replicas to load or unload next and on which endpoints.
#ifndef SASSAFRAS_POLICY_PLACEMENT_H
#define SASSAFRAS_POLICY_PLACEMENT_H

#include "core/time.h"
#include "fleet/item_store.h"
#include "policy/idling.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace sassafras {

/// Limits of the weight store.
struct StoreLimits {
  uint32_t LoadsPerSecond = 5;
  uint32_t LoadsAtOnce = 4;
  uint32_t AdaptersAtOnce = 32;
};

/// Requests of all entries that wait for a row of the serving table.
struct RowDemand {
  uint32_t Waiting = 0;
  Millis OldestWait{0};
  /// Organisation of the request that has waited longest.
  std::string Organisation;
  /// The requests wait although the row is loaded, the oldest for OldestWait.
  bool IsLoaded = false;
};

/// Last report of an agent about one replica.
struct ReplicaUse {
  uint32_t Running = 0;
  Millis Idle{0};
};

/// State of one endpoint that is known to the leader but not part of its
/// record.
struct EndpointUse {
  bool IsLive = false;
  /// Holds replicas that no placement decision created.
  bool HasUnassignedReplicas = false;
  std::set<std::string> CachedRows;
  std::map<std::string, ReplicaUse> Replicas;
};

struct PlacementInput {
  const ItemStore &Items;
  const std::map<std::string, RowDemand> &Demand;
  const std::map<std::string, EndpointUse> &Endpoints;
  const ArrivalHistory &Idling;
  IdleWeights Weights;
  StoreLimits Store;
  uint32_t LoadsAllowed = 0; ///< Number of model loads that may start now.
};

/// Replicas to load and to unload, as they will be recorded.
struct PlacementDecision {
  std::vector<wire::Replica> Load;
  std::vector<wire::Replica> Unload;
};

/// Decides for the current state. Pure and thread safe. Each decision is
/// validated again when its record is applied.
PlacementDecision decidePlacement(const PlacementInput &Input);

} // namespace sassafras

#endif
