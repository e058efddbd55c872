/// \file
/// Decisions of a control member: replication, the fleet's state, and, while
/// it leads, placement, grants, dissemination and claims.
///
/// Drive it with stepControl; carry the effects out in order and sync what
/// is persisted before the next send.
#ifndef SASSAFRAS_CONTROL_CONTROL_STATE_H
#define SASSAFRAS_CONTROL_CONTROL_STATE_H

#include "fleet/fleet_state.h"
#include "policy/idling.h"
#include "policy/placement.h"
#include "policy/token_bank.h"
#include "replication/raft.h"

namespace sassafras {

/// Entries applied between two snapshots.
inline constexpr uint64_t SnapshotEvery = 2000;
/// Log entries kept in memory for slow members after a snapshot.
inline constexpr size_t SnapshotTail = 200;
/// Proposals under way at once; more are refused as overload.
inline constexpr size_t MaxPendingProposals = 10'000;

/// Settings of a control member that its decisions depend on.
struct ControlOptions {
  StoreLimits Store;
  IdleWeights Weights;
  uint64_t SnapshotEntries = SnapshotEvery;
};

/// What the leader last heard from a node.
struct NodeInfo {
  std::string Address;
  uint64_t Incarnation = 0;
  TimePoint LastHeard;
  TimePoint EndpointKnownAt; ///< Agents: when it last knew its endpoint.
  uint64_t LastGrantRequest = 0;
  uint64_t PushedVersion = 0;
  wire::Heartbeat Beat;
};

/// Who waits for a proposal to be applied.
struct PendingProposal {
  std::string Address;
  std::string RequestId;
  std::string OwnItem; ///< Item the leader itself changes, if any.
  uint64_t Term = 0;
};

struct ControlState {
  ControlOptions Options;
  RaftState Raft;
  FleetState Fleet;
  std::map<std::string, NodeInfo> Nodes;
  std::map<uint64_t, PendingProposal> Pending;
  std::set<std::string> PendingItems;
  TokenBuckets Bank;
  ArrivalHistory Idling;
  uint64_t LedTerm = 0; ///< Term for which the soft state was set up.
  TimePoint LedSince;
  uint64_t FleetTimeBaseMs = 0;
  TimePoint FleetTimeBaseAt;
  double LoadTokens = 0;
  TimePoint LoadTokensAt;
  bool IsStopping = false;
};

/// Time has passed; send one at least every 50 ms.
struct ControlTick {};
/// An envelope of the own fleet came in.
struct ControlReceived {
  wire::Envelope Message;
};
/// The process was asked to stop gracefully.
struct ControlStop {};
using ControlEvent = std::variant<ControlTick, ControlReceived, ControlStop>;

/// The process may exit now.
struct ControlExit {};
using ControlEffect =
    std::variant<PersistRecord, PersistSnapshot, RaftSend, ControlExit>;
using ControlEffects = std::vector<ControlEffect>;

/// State of a member whose disk held \p Snapshot, or nothing when blank.
ControlState makeControl(ControlOptions Options, RaftState Raft,
                         const wire::Snapshot *Snapshot);
/// Takes one event at \p Now.
ControlEffects stepControl(ControlState &State, const ControlEvent &Event,
                           TimePoint Now);
/// Oldest version that every live node has applied.
uint64_t inForceVersion(const ControlState &State, TimePoint Now);

} // namespace sassafras

#endif
