/// \file
/// Which replica to load or unload next, and where.
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

/// What the weight store allows.
struct StoreLimits {
  uint32_t LoadsPerSecond = 5;
  uint32_t LoadsAtOnce = 4;
  uint32_t AdaptersAtOnce = 32;
};

/// Requests of all entries that wait for a row.
struct RowDemand {
  uint32_t Waiting = 0;
  Millis OldestWait{0};
  std::string Organisation; ///< Whose request has waited longest.
  /// They wait although the row is loaded, for as long as OldestWait says.
  bool IsLoaded = false;
};

/// What an agent said last of one replica.
struct ReplicaUse {
  uint32_t Running = 0;
  Millis Idle{0};
};

/// What the leader knows of one endpoint beyond its record.
struct EndpointUse {
  bool IsLive = false;
  bool HasUnknownReplicas = false; ///< Holds replicas that nobody decided.
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
  uint32_t LoadsAllowed = 0; ///< Model loads that may start now.
};

/// Replicas to load and to unload, as they shall stand in the record.
struct PlacementDecision {
  std::vector<wire::Replica> Load;
  std::vector<wire::Replica> Unload;
};

/// Decides on the present state. Pure and thread safe. Each decision is
/// checked again when its record is applied.
PlacementDecision decidePlacement(const PlacementInput &Input);

} // namespace sassafras

#endif
