/// \file
/// State machine of one member of the group that replicates the serving table
/// and the evacuations: writes, reads and group membership. It does no I/O.
///
/// A write is acknowledged once it is on the disks of a quorum. Only the leader
/// serves reads, and only under its lease, so no read returns a table older
/// than an acknowledged write.
#ifndef SASSAFRAS_CONTROL_SERVING_STORE_H
#define SASSAFRAS_CONTROL_SERVING_STORE_H

#include "replication/raft.h"

#include <string>
#include <variant>
#include <vector>

namespace sassafras {

/// Minimum number of voters that the group keeps, so that it tolerates the loss
/// of one.
inline constexpr size_t MinVoters = 3;
/// A voter that has not been heard for this long loses its vote, as long as
/// MinVoters remain, so that the loss of another member leaves a quorum. It is
/// cheap to be wrong: the vote is granted again with the next reply.
inline constexpr Millis VoteTimeout{1'000};
/// A member that has not been heard for this long is removed, as long as
/// MinVoters remain. Longer than the longest ordinary pause of a host, shorter
/// than the time that a new member needs to become a voter.
inline constexpr Millis MemberTimeout{3'500};
/// Number of log entries after which a snapshot replaces them. With a table of
/// tens of kilobytes in each, the data folder stays at a few megabytes.
inline constexpr uint64_t StoreSnapshotEntries = 64;
/// Log entries kept after a snapshot for members that lag slightly behind.
inline constexpr size_t StoreSnapshotTail = 16;

/// A write, or the start or end of an evacuation, that is not acknowledged.
struct PendingWrite {
  uint64_t Number = 0; ///< Chosen by the caller, returned in the result.
  uint64_t Index = 0;  ///< Acknowledged once this log index is applied.
  bool IsEvacuation = false;
};

struct ServingStore {
  RaftState Raft;
  uint64_t Applied = 0;              ///< Log index.
  wire::ServingTableChange Table;    ///< Newest committed.
  uint64_t Published = 0;            ///< Version of the last StorePublish.
  wire::EvacuationState Evacuations; ///< Committed.
  uint64_t PublishedEvacuations = 0; ///< Version of the last one published.
  std::vector<PendingWrite> Pending;
  bool IsStopping = false;
};

/// Periodic event.
struct StoreTick {};
/// A message of another member has arrived.
struct StoreReceived {
  wire::Envelope Message;
};
/// Writes an operator's table, which has been validated.
struct StoreWrite {
  uint64_t Number = 0;
  uint64_t Version = 0;
  std::string Content; ///< Compressed.
};
/// Starts or ends the evacuation of a zone. One that holds already is
/// acknowledged once it is committed, and changes nothing.
struct StoreEvacuate {
  uint64_t Number = 0;
  std::string Zone;
  bool IsActive = false;
};
struct StoreRead {
  uint64_t Number = 0;
};
/// Sets the addresses of nodes that may know the leader. A member without a
/// leader asks there to join.
struct StoreJoinAddresses {
  std::vector<std::string> Addresses;
};
/// The process is about to stop: hands over leadership, refuses writes and asks
/// the leader to withdraw its vote, unless the group needs it for MinVoters.
struct StoreStop {};
/// An operator requests the status. The group's part of \c Reply is filled in
/// before it is sent.
struct StoreStatusRequest {
  std::string Address; ///< Link address of the requester.
  wire::StatusReply Reply;
};
using StoreEvent =
    std::variant<StoreTick, StoreReceived, StoreWrite, StoreEvacuate, StoreRead,
                 StoreJoinAddresses, StoreStop, StoreStatusRequest>;

/// NotLeader: another member is known as the leader. Unavailable: no leader is
/// known, this leader is stopping or has no lease or no table, the data folder
/// cannot be used, or leadership or the disk was lost before a write was
/// applied. In these last two cases the write may still take effect.
enum class StoreOutcome { Done, NotLeader, Unavailable };

/// Result of a StoreWrite, StoreEvacuate or StoreRead.
struct StoreResult {
  uint64_t Number = 0;
  StoreOutcome Outcome = StoreOutcome::Unavailable;
  uint64_t Version =
      0;               ///< Current version of the table, or of the evacuations.
  std::string Content; ///< Reads only.
};
/// A newer table has been committed.
struct StorePublish {
  uint64_t Version = 0;
  std::string Content;
};
/// The evacuations have changed by a commit.
struct StorePublishEvacuations {
  wire::EvacuationState State;
};
using StoreEffect = std::variant<PersistRecord, PersistSnapshot, RaftSend,
                                 MemberChangeProposed, GroupFormed, StoreResult,
                                 StorePublish, StorePublishEvacuations>;
using StoreEffects = std::vector<StoreEffect>;

/// State of the group as other parts of the process need it.
struct StoreView {
  bool IsLeader = false; ///< Holds the lease and is not stopping.
  uint64_t Term = 0;
  std::string LeaderAddress; ///< Link address; empty if unknown.
  size_t Voters = 0;
  size_t Members = 0;
};

/// State after a restart. \p Snapshot is the one read from the disk, or null
/// for an empty data folder.
ServingStore makeServingStore(RaftState Raft, const wire::Snapshot *Snapshot);
/// Applies one event at \p Now and returns the effects to execute in order;
/// sync persisted records before each other effect. Not thread safe.
StoreEffects stepServingStore(ServingStore &Store, const StoreEvent &Event,
                              TimePoint Now);
StoreView makeStoreView(const ServingStore &Store, TimePoint Now);

} // namespace sassafras

#endif
