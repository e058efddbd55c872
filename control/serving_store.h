/// \file
/// Decisions of one member of the group that keeps the serving table: writes,
/// reads, and who belongs to the group.
///
/// A table is acknowledged once it is on a quorum of disks, and only the
/// leader under its lease answers reads, so that no read goes back behind an
/// acknowledged write.
#ifndef SASSAFRAS_CONTROL_SERVING_STORE_H
#define SASSAFRAS_CONTROL_SERVING_STORE_H

#include "replication/raft.h"

#include <string>
#include <variant>
#include <vector>

namespace sassafras {

/// The group keeps at least so many voters: the loss of one is borne.
inline constexpr size_t LeastVoters = 3;
/// A member beyond those that is silent for this long is removed; above the
/// longest ordinary pause of a host, below the time a newcomer needs to count.
inline constexpr Millis MemberSilence{3'500};
/// Log entries after which a snapshot replaces them; a table of tens of
/// kilobytes for each keeps the folder to a few megabytes.
inline constexpr uint64_t StoreSnapshotEntries = 64;
/// Entries kept for members that lag a little.
inline constexpr size_t StoreSnapshotTail = 16;

struct PendingWrite {
  uint64_t Number = 0; ///< Of the caller.
  uint64_t Index = 0;  ///< Answered once this is committed.
};

struct ServingStore {
  RaftState Raft;
  uint64_t Applied = 0;
  wire::ServingTableChange Table; ///< Newest committed.
  uint64_t Published = 0;         ///< Version.
  std::vector<PendingWrite> Pending;
  bool IsStopping = false;
};

struct StoreTick {};
struct StoreReceived {
  wire::Envelope Message;
};
/// An operator's table, checked. Content is compressed.
struct StoreWrite {
  uint64_t Number = 0;
  uint64_t Version = 0;
  std::string Content;
};
struct StoreRead {
  uint64_t Number = 0;
};
/// Other nodes that may know the leader.
struct StoreJoinAddresses {
  std::vector<std::string> Addresses;
};
struct StoreStop {};
/// An operator asks; the group's part of \p Reply is filled in.
struct StoreStatusRequest {
  std::string Address; ///< Inner address of who asks.
  wire::StatusReply Reply;
};
using StoreEvent =
    std::variant<StoreTick, StoreReceived, StoreWrite, StoreRead,
                 StoreJoinAddresses, StoreStop, StoreStatusRequest>;

enum class StoreOutcome { Done, NotLeader, Unavailable };

struct StoreResult {
  uint64_t Number = 0;
  StoreOutcome Outcome = StoreOutcome::Unavailable;
  uint64_t Version = 0;
  std::string Content; ///< Reads.
};
/// A newer table is in force.
struct StorePublish {
  uint64_t Version = 0;
  std::string Content;
};
using StoreEffect = std::variant<PersistRecord, PersistSnapshot, RaftSend,
                                 StoreResult, StorePublish>;
using StoreEffects = std::vector<StoreEffect>;

/// What other parts of the process need to know of the group.
struct StoreView {
  bool IsLeader = false; ///< With a lease.
  uint64_t Term = 0;
  std::string LeaderAddress; ///< Inner address, or empty.
  size_t Voters = 0;
  size_t Members = 0;
};

/// State of a member whose disk held \p Snapshot, or nothing when blank.
ServingStore makeServingStore(RaftState Raft, const wire::Snapshot *Snapshot);
/// Takes one event at \p Now.
StoreEffects stepServingStore(ServingStore &Store, const StoreEvent &Event,
                              TimePoint Now);
StoreView viewOf(const ServingStore &Store, TimePoint Now);

} // namespace sassafras

#endif
