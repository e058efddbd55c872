/// \file
/// The replicated state machine: applies committed commands to the fleet's
/// items. Deterministic, so that every control member reaches the same state.
#ifndef SASSAFRAS_FLEET_FLEET_STATE_H
#define SASSAFRAS_FLEET_FLEET_STATE_H

#include "fleet/item_store.h"

#include <deque>

namespace sassafras {

/// Number of operation results kept to answer resent operations.
inline constexpr size_t MaxOperationResults = 4096;
/// Number of deletions kept for deltas. A node whose view is older than the
/// oldest of them gets the whole view.
inline constexpr size_t MaxDeletions = 4096;
/// A request that was present at this many endpoint deaths is quarantined.
inline constexpr int QuarantineDeaths = 2;
/// Lifetime of a quarantine and of a death record, in fleet time.
inline constexpr uint64_t QuarantineMs = 600'000;
/// Maximum size in bytes of the response body recorded for a claimed request.
inline constexpr size_t MaxClaimBody = 64ULL * 1024;

struct FleetState {
  ItemStore Items;
  uint64_t Version = 0; ///< Log index of the last applied command.
  uint64_t TableVersion = 0;
  uint64_t FleetTimeMs = 0;
  std::map<std::string, wire::ProposalReply> Operations;
  std::deque<std::string> OperationOrder;
};

/// Applies \p Command, committed at log index \p Index, and returns the
/// reply for its proposer. Not thread safe.
wire::ProposalReply applyCommand(FleetState &State,
                                 const wire::Command &Command, uint64_t Index);

/// Writes all of \p State into \p Out, except the log index of the snapshot.
void saveFleet(const FleetState &State, wire::Snapshot &Out);
/// Replaces \p State with the content of \p In.
void loadFleet(FleetState &State, const wire::Snapshot &In);

/// Memory in MB used on \p Endpoint by its replicas in any phase.
uint64_t usedMemoryMb(const ItemStore &Items, const std::string &Endpoint);
/// Number of replicas of \p Row in any phase.
uint32_t countReplicas(const ItemStore &Items, const std::string &Row);

} // namespace sassafras

#endif
