/// \file
/// The replicated state machine: applies committed commands to the fleet's
/// items. Deterministic; every control member gets the same result.
#ifndef SASSAFRAS_FLEET_FLEET_STATE_H
#define SASSAFRAS_FLEET_FLEET_STATE_H

#include "fleet/item_store.h"

#include <deque>

namespace sassafras {

/// Answers kept for resent operations.
inline constexpr size_t MaxOperationResults = 4096;
/// Deletions kept for deltas before a whole view is needed.
inline constexpr size_t MaxDeletions = 4096;
/// Deaths with the same request that lead to its quarantine.
inline constexpr int QuarantineDeaths = 2;
/// Life of a quarantine and of a remembered death, in fleet time.
inline constexpr uint64_t QuarantineMs = 600'000;
/// Most bytes of a recorded answer of a claimed request.
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
/// answer for its proposer. Not thread safe.
wire::ProposalReply applyCommand(FleetState &State,
                                 const wire::Command &Command, uint64_t Index);

/// Writes the whole of \p State into \p Out.
void saveFleet(const FleetState &State, wire::Snapshot &Out);
/// Replaces \p State by the content of \p In.
void loadFleet(FleetState &State, const wire::Snapshot &In);

/// Memory taken on \p Endpoint by all its replicas, whatever their phase.
uint64_t memoryTaken(const ItemStore &Items, const std::string &Endpoint);
/// Replicas of \p Row in any phase.
uint32_t countReplicas(const ItemStore &Items, const std::string &Row);

} // namespace sassafras

#endif
