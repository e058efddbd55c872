/// \file
/// State machine of the Raft consensus algorithm with pre-vote, check-quorum,
/// leader lease, learners, one membership change at a time and leadership
/// transfer.
///
/// The functions do no input or output: they return effects, and the caller
/// persists, sends and applies. Effects must be carried out in order, and
/// everything persisted must be synced before the next message is sent.
#ifndef SASSAFRAS_REPLICATION_RAFT_H
#define SASSAFRAS_REPLICATION_RAFT_H

#include "core/time.h"
#include "core/timing.h"
#include "replication/formation.h"
#include "wire/inner.pb.h"

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace sassafras {

/// Maximum number of entries in one append request.
inline constexpr size_t MaxAppendEntries = 128;

/// Name, address and timing of the local member.
struct RaftSelf {
  std::string Name;
  uint64_t Identity = 0; ///< Generated once for each data folder.
  std::string Address;
  timing::GroupTiming Timing = {};
};

/// A blank member has an empty data folder and belongs to no configuration yet.
enum class RaftRole { Blank, Follower, PreCandidate, Candidate, Leader };

/// Replication progress of one other member, kept by the leader.
struct PeerProgress {
  uint64_t NextIndex = 1;
  uint64_t MatchIndex = 0;
  uint64_t AckedRound = 0; ///< Newest round of appends that it answered.
  TimePoint NextSnapshot;  ///< No snapshot is requested for it before this.
  TimePoint HeardAt;       ///< Time of its last reply.
  bool IsStopping = false; ///< By its last reply.
};

struct RaftState {
  RaftSelf Self;
  RaftRole Role = RaftRole::Blank;
  uint64_t Term = 0;
  uint64_t VotedFor = 0;
  uint64_t Leader = 0; ///< Identity of the known leader, or 0.

  std::deque<wire::LogEntry> Entries; ///< Starting at index SnapshotIndex + 1.
  uint64_t SnapshotIndex = 0;
  uint64_t SnapshotTerm = 0;
  std::vector<wire::Member> SnapshotMembers;
  std::vector<wire::Member> Members; ///< Newest configuration in the log.
  uint64_t MembersIndex = 0;         ///< Log index of that configuration.
  uint64_t Commit = 0;

  std::map<uint64_t, PeerProgress> Peers;
  std::map<uint64_t, bool> Votes;
  uint64_t Round = 0; ///< Number of the newest round of appends.
  std::map<uint64_t, TimePoint> RoundSent;
  TimePoint LeaseEnd;
  TimePoint ElectionDeadline;
  /// Votes are withheld until then, since a leader heard from recently may
  /// still hold its lease.
  TimePoint VoteBlockedUntil;
  TimePoint PreVoteDeadline; ///< End of this member's own round of pre-votes.
  TimePoint NextAppend;
  /// Addresses of the seeds, from the settings.
  std::vector<std::string> SeedAddresses;
  /// Addresses to which a member without a leader sends its requests to join;
  /// initially the seeds.
  std::vector<std::string> ContactAddresses;
  bool MayForm = true; ///< A blank member may form the initial configuration.
  FormationAcceptor Acceptor; ///< Of a member that started blank.
  FormationProposer Proposer; ///< Of a blank member.
  bool MayJoin = false; ///< May join under a name that is new to the group.
  /// The process is about to stop. Replies tell the leader, so that the member
  /// gets no vote and may lose the one that it has.
  bool IsStopping = false;
  TimePoint NextJoinRequest;
  std::mt19937_64 Random;
};

/// Appends a record to the log file.
struct PersistRecord {
  wire::DiskRecord Record;
};
/// Atomically replaces the snapshot and the log by a new generation that holds
/// this snapshot and the entries after it.
struct PersistSnapshot {
  wire::Snapshot Snapshot;
  wire::HardState HardState;
  std::vector<wire::LogEntry> Entries;
};
/// Sends a message to the address of another process.
struct RaftSend {
  std::string Address;
  wire::Envelope Message;
};
/// The log no longer holds the entries that the member lacks. The caller sends
/// it a snapshot of the applied state, completed by fillSnapshotHeader.
struct SnapshotNeeded {
  wire::Member Target;
};
/// Loads a snapshot into the replicated state machine.
struct LoadSnapshot {
  wire::Snapshot Snapshot;
};

enum class MemberChangeKind {
  AddLearner,
  GrantVote,
  WithdrawVote,
  RemoveMember,
};
/// This leader has proposed to change the configuration. For the log only: the
/// change may be lost with the leader.
struct MemberChangeProposed {
  MemberChangeKind Kind = MemberChangeKind::AddLearner;
  std::string Member;
  bool IsStopping = false; ///< The member's process has been told to stop.
  Millis Silence{0};       ///< Since the member's last reply.
};

/// This member has adopted the initial configuration. For the log only.
struct GroupFormed {
  std::vector<wire::Member> Members;
};

using RaftEffect =
    std::variant<PersistRecord, PersistSnapshot, RaftSend, SnapshotNeeded,
                 LoadSnapshot, MemberChangeProposed, GroupFormed>;
using RaftEffects = std::vector<RaftEffect>;

/// Creates the state of a member whose data folder is empty. \p Seed seeds the
/// random election timeouts. The initial configuration is decided by all seeds;
/// see allowSeedMajority.
RaftState makeBlankRaft(RaftSelf Self, std::vector<std::string> SeedAddresses,
                        uint64_t Seed, TimePoint Now);
/// Creates the state of a restarted member from the content of its data folder.
RaftState restoreRaft(RaftSelf Self, std::vector<std::string> SeedAddresses,
                      const wire::Snapshot &Snapshot,
                      const wire::HardState &HardState,
                      std::vector<wire::LogEntry> Entries, uint64_t Seed,
                      TimePoint Now);

/// Lets a majority of the seeds decide on the initial configuration, of
/// \p WantedMembers hosts if there are so many. Precondition: MayForm is set in
/// the first start of the fleet only, so that no seed that restarts takes part.
/// Call before the first tick.
void allowSeedMajority(RaftState &State, size_t WantedMembers);

/// Advances the state to \p Now: starts elections, sends appends and steps down
/// when a deadline has passed.
void tickRaft(RaftState &State, TimePoint Now, RaftEffects &Out);
/// Handles a replication message. Messages of other kinds are ignored.
void receiveRaft(RaftState &State, const wire::Envelope &Message, TimePoint Now,
                 RaftEffects &Out);
/// Appends \p Command to the leader's log and returns its index. Precondition:
/// canPropose().
uint64_t proposeRaft(RaftState &State, wire::Command Command, TimePoint Now,
                     RaftEffects &Out);
/// Proposes to make a learner of a voter that is stopping or has not replied
/// within \p Timeout, while there are more than \p MinRemainingVoters voters.
/// It gets its vote back once it replies and is not stopping. One vote is
/// withdrawn at a time. No effect unless canPropose(). Not thread safe.
void withdrawVote(RaftState &State, size_t MinRemainingVoters, Millis Timeout,
                  TimePoint Now, RaftEffects &Out);
/// Proposes to remove a learner, or a voter while there are more than
/// \p MinRemainingVoters voters, that has not replied within
/// \p Timeout. One member is removed at a time. No effect unless canPropose().
void removeSilentMember(RaftState &State, size_t MinRemainingVoters,
                        Millis Timeout, TimePoint Now, RaftEffects &Out);
/// Steps down and asks another voter to start an election at once: one that is
/// not stopping and is heard, if there is one, with the longest matching log.
/// No effect on members that do not lead, or if there is no other voter.
void transferLeadership(RaftState &State, TimePoint Now, RaftEffects &Out);
/// True if another voter that is heard and not stopping could lead. Pure and
/// thread safe.
bool hasSuccessor(const RaftState &State, TimePoint Now);
/// Persists \p Snapshot, which holds the state machine at its index, and
/// discards the log up to that index, except for the last \p Tail entries,
/// which stay in memory for members that lag behind.
void compactRaft(RaftState &State, wire::Snapshot Snapshot, size_t Tail,
                 RaftEffects &Out);

/// True if this member leads and holds the leader lease, so that it may act
/// without asking a quorum.
bool hasLease(const RaftState &State, TimePoint Now);
/// True if a proposal may be appended: this member holds the lease and has
/// committed an entry of its own term.
bool canPropose(const RaftState &State, TimePoint Now);
/// True if this member leads and has committed an entry of its own term, so
/// that all entries of earlier terms are committed too.
bool isTermEstablished(const RaftState &State);
/// Returns the address of the known leader, or an empty string.
std::string leaderAddress(const RaftState &State);
/// Returns the index of the last entry, or of the snapshot if there is none.
uint64_t lastIndex(const RaftState &State);
/// Returns the term of the entry at \p Index, or 0 if it is not in the log.
uint64_t termAt(const RaftState &State, uint64_t Index);
/// Returns the entry at \p Index. Precondition: it is in the log.
const wire::LogEntry &entryAt(const RaftState &State, uint64_t Index);
/// Returns the configuration that is in effect at \p Index.
std::vector<wire::Member> membersAt(const RaftState &State, uint64_t Index);
/// Sets index, term and members of \p Snapshot, a snapshot of the state machine
/// at \p Index.
void fillSnapshotHeader(const RaftState &State, uint64_t Index,
                        wire::Snapshot &Snapshot);

} // namespace sassafras

#endif
