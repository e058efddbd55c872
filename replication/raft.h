/// \file
/// Quorum log by the published Raft rules: pre-vote, check-quorum, leader
/// lease, learners, one membership change at a time, leadership transfer.
///
/// Decisions only: the caller persists, sends and applies. Effects must be
/// carried out in order, and everything persisted must be synced before the
/// next send.
#ifndef SASSAFRAS_REPLICATION_RAFT_H
#define SASSAFRAS_REPLICATION_RAFT_H

#include "core/time.h"
#include "core/timing.h"
#include "wire/inner.pb.h"

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace sassafras {

/// Entries sent in one append at most.
inline constexpr size_t MaxAppendEntries = 128;

/// Who a control process is. The identity belongs to its data folder.
struct RaftSelf {
  std::string Name;
  uint64_t Identity = 0;
  std::string Address;
  timing::GroupTiming Timing = {};
};

enum class RaftRole { Blank, Follower, PreCandidate, Candidate, Leader };

/// What the leader knows of one other member.
struct PeerProgress {
  uint64_t NextIndex = 1;
  uint64_t MatchIndex = 0;
  uint64_t AckedRound = 0;
  TimePoint NextSnapshot;
  TimePoint HeardAt; ///< Of its last reply.
};

struct RaftState {
  RaftSelf Self;
  RaftRole Role = RaftRole::Blank;
  uint64_t Term = 0;
  uint64_t VotedFor = 0;
  uint64_t Leader = 0; ///< Identity of the known leader, 0 for none.

  std::deque<wire::LogEntry> Entries; ///< From SnapshotIndex + 1.
  uint64_t SnapshotIndex = 0;
  uint64_t SnapshotTerm = 0;
  std::vector<wire::Member> SnapshotMembers;
  std::vector<wire::Member> Members; ///< Newest in the log.
  uint64_t MembersIndex = 0;
  uint64_t Commit = 0;

  std::map<uint64_t, PeerProgress> Peers;
  std::map<uint64_t, bool> Votes;
  uint64_t Round = 0;
  std::map<uint64_t, TimePoint> RoundSent;
  TimePoint LeaseEnd;
  TimePoint ElectionDeadline;
  TimePoint VoteBarEnd;  ///< No vote against a live leader before this.
  TimePoint PreVoteEnds; ///< Its own round of pre-votes is over by then.
  TimePoint NextAppend;
  std::map<std::string, wire::BlankHello> BlankPeers;
  std::vector<std::string> SeedAddresses; ///< Control addresses of settings.
  /// Where a member without a leader asks to be taken in; the seeds at first.
  std::vector<std::string> ContactAddresses;
  bool MayForm = true;  ///< A blank member may form the first configuration.
  bool MayJoin = false; ///< It may join under a name that is not known.
  TimePoint NextGreeting;
  std::mt19937_64 Random;
};

/// Write this record to the log file.
struct PersistRecord {
  wire::DiskRecord Record;
};
/// Replace all files at once by this snapshot and what follows it.
struct PersistSnapshot {
  wire::Snapshot Snapshot;
  wire::HardState HardState;
  std::vector<wire::LogEntry> Entries;
};
/// Send to an inner address.
struct RaftSend {
  std::string Address;
  wire::Envelope Message;
};
/// The member is too far behind for the log: send it a snapshot of what was
/// applied, completed by fillSnapshotHeader.
struct SnapshotNeeded {
  wire::Member Target;
};
/// Load this snapshot into the state machine.
struct LoadSnapshot {
  wire::Snapshot Snapshot;
};

using RaftEffect = std::variant<PersistRecord, PersistSnapshot, RaftSend,
                                SnapshotNeeded, LoadSnapshot>;
using RaftEffects = std::vector<RaftEffect>;

/// State of a folder without a log.
RaftState makeBlankRaft(RaftSelf Self, std::vector<std::string> SeedAddresses,
                        uint64_t Seed, TimePoint Now);
/// State after a restart from what the disk holds.
RaftState restoreRaft(RaftSelf Self, std::vector<std::string> SeedAddresses,
                      const wire::Snapshot &Snapshot,
                      const wire::HardState &HardState,
                      std::vector<wire::LogEntry> Entries, uint64_t Seed,
                      TimePoint Now);

/// Time has passed.
void tickRaft(RaftState &State, TimePoint Now, RaftEffects &Out);
/// A replication message has come in; others are ignored.
void receiveRaft(RaftState &State, const wire::Envelope &Message, TimePoint Now,
                 RaftEffects &Out);
/// Appends \p Command at the leader and returns its index. Precondition:
/// canPropose.
uint64_t proposeRaft(RaftState &State, wire::Command Command, TimePoint Now,
                     RaftEffects &Out);
/// Removes a voter or learner that has been silent for \p Silence while more
/// than \p LeastVoters voters remain; one at a time. Leader only.
void removeSilentMember(RaftState &State, size_t LeastVoters, Millis Silence,
                        TimePoint Now, RaftEffects &Out);
/// Gives up leadership to the best follower; no effect on others.
void transferLeadership(RaftState &State, TimePoint Now, RaftEffects &Out);
/// \p Snapshot holds the state machine at its index: persist it and drop the
/// log below, but keep \p Tail entries in memory for slow members.
void compactRaft(RaftState &State, wire::Snapshot Snapshot, size_t Tail,
                 RaftEffects &Out);

/// True when this member leads and may act without asking anyone.
bool hasLease(const RaftState &State, TimePoint Now);
/// True when a proposal may be appended.
bool canPropose(const RaftState &State, TimePoint Now);
/// True when the leader has applied-able entries of its own term committed.
bool isTermEstablished(const RaftState &State);
/// Address of the known leader, or empty.
std::string leaderAddress(const RaftState &State);
uint64_t lastIndex(const RaftState &State);
uint64_t termAt(const RaftState &State, uint64_t Index);
/// Entry at \p Index. Precondition: it is in the log.
const wire::LogEntry &entryAt(const RaftState &State, uint64_t Index);
/// Configuration in force at \p Index.
std::vector<wire::Member> membersAt(const RaftState &State, uint64_t Index);
/// Sets index, term and members of a snapshot of state at \p Index.
void fillSnapshotHeader(const RaftState &State, uint64_t Index,
                        wire::Snapshot &Snapshot);

} // namespace sassafras

#endif
