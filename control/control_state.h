/// \file
/// State machine of a control member: replication, the fleet's state, and, on
/// the leader, placement, grants, dissemination and claims. It does no I/O.
///
/// Drive it with stepControl. Execute the effects in order and sync persisted
/// records before the next send.
#ifndef SASSAFRAS_CONTROL_CONTROL_STATE_H
#define SASSAFRAS_CONTROL_CONTROL_STATE_H

#include "fleet/fleet_state.h"
#include "policy/idling.h"
#include "policy/placement.h"
#include "policy/token_bank.h"
#include "replication/raft.h"

namespace sassafras {

/// Default number of entries applied between two snapshots.
inline constexpr uint64_t SnapshotInterval = 2000;
/// Log entries kept in memory after a snapshot for members that lag behind.
inline constexpr size_t SnapshotTail = 200;
/// Maximum number of pending proposals; further ones are refused with
/// PROPOSAL_OVERLOADED.
inline constexpr size_t MaxPendingProposals = 10'000;

/// Settings that the decisions of a control member depend on.
struct ControlOptions {
  StoreLimits Store;
  IdleWeights Weights;
  uint64_t SnapshotEntries = SnapshotInterval;
};

/// The leader's knowledge of a node, from its heartbeats.
struct NodeInfo {
  std::string Address;
  uint64_t Incarnation = 0;
  TimePoint LastHeard;
  /// Agents: last heartbeat that gave the endpoint's state or its end.
  TimePoint EndpointReportedAt;
  uint64_t LastGrantRequest = 0; ///< Number of the last grant request.
  uint64_t PushedVersion = 0;    ///< Changes up to it are sent or irrelevant.
  wire::Heartbeat LastHeartbeat;
};

/// A proposal that has not been applied yet, and where to send the reply.
struct PendingProposal {
  std::string Address; ///< Empty: no reply is sent.
  std::string RequestId;
  std::string ChangedItem; ///< Set by proposeItemChange only.
  uint64_t Term = 0;
};

struct ControlState {
  ControlOptions Options;
  RaftState Raft;
  FleetState Fleet;
  std::map<std::string, NodeInfo> Nodes;
  std::map<uint64_t, PendingProposal> Pending; ///< By log index.
  std::set<std::string> PendingItems; ///< ChangedItem of those in Pending.
  TokenBuckets Buckets;
  ArrivalHistory Arrivals;
  uint64_t SoftStateTerm = 0; ///< Term for which initLeaderState last ran.
  TimePoint LeaderSince;
  uint64_t FleetTimeBaseMs = 0;
  TimePoint FleetTimeBaseAt;
  double LoadTokens = 0; ///< Loads from the weight store that may start.
  TimePoint LoadTokensUpdatedAt;
  bool IsStopping = false;
};

/// Periodic event; must be delivered at least every 50 ms.
struct ControlTick {};
/// A message from a process of the same fleet has arrived.
struct ControlReceived {
  wire::Envelope Message;
};
/// The process shall stop gracefully.
struct ControlStop {};
using ControlEvent = std::variant<ControlTick, ControlReceived, ControlStop>;

/// The process may exit now.
struct ControlExit {};
using ControlEffect =
    std::variant<PersistRecord, PersistSnapshot, RaftSend, ControlExit>;
using ControlEffects = std::vector<ControlEffect>;

/// State after a restart. \p Snapshot is the one read from the disk, or null
/// for an empty data folder.
ControlState makeControl(ControlOptions Options, RaftState Raft,
                         const wire::Snapshot *Snapshot);
/// Applies one event at \p Now and returns the effects to execute. Not thread
/// safe.
ControlEffects stepControl(ControlState &State, const ControlEvent &Event,
                           TimePoint Now);
/// Newest version that all live nodes have applied. 0 during the first
/// ViewLease of a leader, as nodes may hold an older view from the leader
/// before it.
uint64_t inForceVersion(const ControlState &State, TimePoint Now);

} // namespace sassafras

#endif
