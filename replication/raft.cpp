#include "replication/raft.h"

#include "core/timing.h"

#include <algorithm>

namespace sassafras {

namespace {

/// The minimum election timeout divided by this is the maximum delay after
/// which a failed round of votes or pre-votes is repeated. Pre-votes are
/// repeated sooner, since a vote syncs disks and raises the term and a pre-vote
/// does neither.
constexpr int VoteRetryDivisor = 1;
constexpr int PreVoteRetryDivisor = 2;
/// The minimum election timeout divided by this is the maximum duration of a
/// round of pre-votes, several times the delay of messages between members.
constexpr int PreVoteDurationDivisor = 10;

const wire::Member *findMember(const RaftState &State, uint64_t Identity) {
  for (const wire::Member &it : State.Members)
    if (it.identity() == Identity)
      return &it;
  return nullptr;
}

bool isVoter(const RaftState &State, uint64_t Identity) {
  const wire::Member *member = findMember(State, Identity);
  return member && member->voter();
}

size_t countVoters(const RaftState &State) {
  return static_cast<size_t>(
      std::count_if(State.Members.begin(), State.Members.end(),
                    [](const wire::Member &it) { return it.voter(); }));
}

size_t quorum(const RaftState &State) { return countVoters(State) / 2 + 1; }

TimePoint randomElectionDeadline(RaftState &State, TimePoint Now) {
  std::uniform_int_distribution<int64_t> spread(
      State.Self.Timing.MinElectionTimeout.count(),
      State.Self.Timing.MaxElectionTimeout.count());
  return Now + Millis(spread(State.Random));
}

/// Returns when a round of votes without a winner is followed by another one.
/// Members that withheld their votes may be free to vote soon after, so waiting
/// for another full election timeout would leave the group without a leader for
/// longer than needed.
TimePoint randomRetryDeadline(RaftState &State, int Divisor, TimePoint Now) {
  Millis longest = State.Self.Timing.MinElectionTimeout / Divisor;
  std::uniform_int_distribution<int64_t> spread(longest.count() / 3,
                                                longest.count());
  return Now + Millis(spread(State.Random));
}

void send(RaftEffects &Out, const std::string &Address,
          wire::Envelope Message) {
  Out.push_back(RaftSend{Address, std::move(Message)});
}

void persistHardState(const RaftState &State, RaftEffects &Out) {
  PersistRecord effect;
  effect.Record.mutable_hard_state()->set_term(State.Term);
  effect.Record.mutable_hard_state()->set_voted_for(State.VotedFor);
  effect.Record.mutable_hard_state()->set_commit(State.Commit);
  Out.push_back(std::move(effect));
}

void persistSnapshot(const RaftState &State, wire::Snapshot Snapshot,
                     RaftEffects &Out) {
  PersistSnapshot effect;
  for (uint64_t i = Snapshot.index() + 1; i <= lastIndex(State); ++i)
    effect.Entries.push_back(entryAt(State, i));
  effect.HardState.set_term(State.Term);
  effect.HardState.set_voted_for(State.VotedFor);
  effect.HardState.set_commit(State.Commit);
  effect.Snapshot = std::move(Snapshot);
  Out.push_back(std::move(effect));
}

void updateMembers(RaftState &State) {
  for (auto it = State.Entries.rbegin(); it != State.Entries.rend(); ++it) {
    if (!it->command().has_member_change())
      continue;
    const auto &members = it->command().member_change().members();
    State.Members.assign(members.begin(), members.end());
    State.MembersIndex = it->index();
    return;
  }
  State.Members = State.SnapshotMembers;
  State.MembersIndex = State.SnapshotIndex;
}

/// Stores \p Entry at its index and discards the entries from that index on.
void storeEntry(RaftState &State, const wire::LogEntry &Entry,
                RaftEffects &Out) {
  bool isTruncating = Entry.index() <= lastIndex(State);
  while (lastIndex(State) >= Entry.index())
    State.Entries.pop_back();
  State.Entries.push_back(Entry);
  if (isTruncating || Entry.command().has_member_change())
    updateMembers(State);
  PersistRecord effect;
  *effect.Record.mutable_entry() = Entry;
  Out.push_back(std::move(effect));
}

void becomeFollower(RaftState &State, uint64_t Term, uint64_t Leader,
                    TimePoint Now, RaftEffects &Out) {
  if (Term > State.Term) {
    State.Term = Term;
    State.VotedFor = 0;
    persistHardState(State, Out);
  }
  State.Role = RaftRole::Follower;
  State.Leader = Leader;
  State.LeaseEnd = TimePoint();
  State.ElectionDeadline = randomElectionDeadline(State, Now);
}

void sendAppend(RaftState &State, const wire::Member &Target, TimePoint Now,
                RaftEffects &Out) {
  PeerProgress &peer = State.Peers[Target.identity()];
  if (peer.NextIndex <= State.SnapshotIndex) {
    if (Now < peer.NextSnapshot)
      return;
    peer.NextSnapshot = Now + 4 * State.Self.Timing.Append;
    Out.push_back(SnapshotNeeded{Target});
    return;
  }
  wire::Envelope message;
  wire::AppendRequest &request = *message.mutable_append_request();
  request.set_term(State.Term);
  request.set_leader(State.Self.Identity);
  request.set_target(Target.identity());
  request.set_previous_index(peer.NextIndex - 1);
  request.set_previous_term(termAt(State, peer.NextIndex - 1));
  request.set_commit(State.Commit);
  request.set_round(State.Round);
  uint64_t last = std::min<uint64_t>(lastIndex(State),
                                     peer.NextIndex + MaxAppendEntries - 1);
  for (uint64_t i = peer.NextIndex; i <= last; ++i)
    *request.add_entries() = entryAt(State, i);
  // Pipelining: entries count as received once sent. A negative reply resets
  // this.
  peer.NextIndex = last + 1;
  send(Out, Target.address(), std::move(message));
}

/// Starts a new round: sends an append request to each other member.
void broadcastAppend(RaftState &State, TimePoint Now, RaftEffects &Out) {
  ++State.Round;
  State.RoundSent[State.Round] = Now;
  State.NextAppend = Now + State.Self.Timing.Append;
  std::vector<wire::Member> members = State.Members;
  for (const wire::Member &it : members)
    if (it.identity() != State.Self.Identity)
      sendAppend(State, it, Now, Out);
}

/// Starts to lead the current term: resets the progress of all members, appends
/// an empty entry, which commits the entries of earlier terms, and sends it.
void becomeLeader(RaftState &State, TimePoint Now, RaftEffects &Out) {
  State.Role = RaftRole::Leader;
  State.Leader = State.Self.Identity;
  State.Peers.clear();
  State.RoundSent.clear();
  State.LeaseEnd = TimePoint();
  // The leader steps down if no quorum has replied by then.
  State.ElectionDeadline = Now + State.Self.Timing.MaxElectionTimeout;
  for (const wire::Member &it : State.Members) {
    State.Peers[it.identity()].NextIndex = lastIndex(State) + 1;
    State.Peers[it.identity()].HeardAt = Now;
  }
  wire::LogEntry entry;
  entry.set_term(State.Term);
  entry.set_index(lastIndex(State) + 1);
  entry.mutable_command()->mutable_noop();
  storeEntry(State, entry, Out);
  broadcastAppend(State, Now, Out);
}

void advanceCommit(RaftState &State) {
  std::vector<uint64_t> matched;
  for (const wire::Member &it : State.Members) {
    if (!it.voter())
      continue;
    matched.push_back(it.identity() == State.Self.Identity
                          ? lastIndex(State)
                          : State.Peers[it.identity()].MatchIndex);
  }
  if (matched.empty())
    return;
  std::sort(matched.begin(), matched.end(), std::greater<>());
  uint64_t index = matched[quorum(State) - 1];
  // Entries of earlier terms are committed only with one of the current term.
  if (index > State.Commit && termAt(State, index) == State.Term)
    State.Commit = index;
}

void renewLease(RaftState &State) {
  std::vector<uint64_t> rounds;
  for (const wire::Member &it : State.Members) {
    if (!it.voter())
      continue;
    rounds.push_back(it.identity() == State.Self.Identity
                         ? State.Round
                         : State.Peers[it.identity()].AckedRound);
  }
  if (rounds.empty())
    return;
  std::sort(rounds.begin(), rounds.end(), std::greater<>());
  uint64_t round = rounds[quorum(State) - 1];
  auto sent = State.RoundSent.find(round);
  if (sent == State.RoundSent.end())
    return;
  State.LeaseEnd =
      std::max(State.LeaseEnd, sent->second + State.Self.Timing.Lease);
  State.ElectionDeadline = sent->second + State.Self.Timing.MaxElectionTimeout;
  State.RoundSent.erase(State.RoundSent.begin(), sent);
}

void requestVotes(RaftState &State, bool IsPreVote, bool IsTransfer,
                  RaftEffects &Out) {
  for (const wire::Member &it : State.Members) {
    if (!it.voter() || it.identity() == State.Self.Identity)
      continue;
    wire::Envelope message;
    wire::VoteRequest &request = *message.mutable_vote_request();
    request.set_term(IsPreVote ? State.Term + 1 : State.Term);
    request.set_candidate(State.Self.Identity);
    request.set_last_index(lastIndex(State));
    request.set_last_term(termAt(State, lastIndex(State)));
    request.set_pre_vote(IsPreVote);
    request.set_transfer(IsTransfer);
    send(Out, it.address(), std::move(message));
  }
}

size_t countVotes(const RaftState &State) {
  size_t n = 0;
  for (const auto &[identity, isGranted] : State.Votes)
    n += isGranted && isVoter(State, identity);
  return n;
}

void startElection(RaftState &State, bool IsTransfer, TimePoint Now,
                   RaftEffects &Out) {
  State.Role = RaftRole::Candidate;
  State.Leader = 0;
  ++State.Term;
  State.VotedFor = State.Self.Identity;
  State.ElectionDeadline = randomRetryDeadline(State, VoteRetryDivisor, Now);
  persistHardState(State, Out);
  State.Votes = {{State.Self.Identity, true}};
  if (countVotes(State) >= quorum(State)) {
    becomeLeader(State, Now, Out);
    return;
  }
  requestVotes(State, false, IsTransfer, Out);
}

void startPreVote(RaftState &State, TimePoint Now, RaftEffects &Out) {
  State.Role = RaftRole::PreCandidate;
  State.Leader = 0;
  State.ElectionDeadline = randomRetryDeadline(State, PreVoteRetryDivisor, Now);
  State.PreVoteDeadline =
      Now + State.Self.Timing.MinElectionTimeout / PreVoteDurationDivisor;
  State.Votes = {{State.Self.Identity, true}};
  if (countVotes(State) >= quorum(State)) {
    startElection(State, false, Now, Out);
    return;
  }
  requestVotes(State, true, false, Out);
}

bool isUpToDate(const RaftState &State, const wire::VoteRequest &Request) {
  uint64_t ownTerm = termAt(State, lastIndex(State));
  if (Request.last_term() != ownTerm)
    return Request.last_term() > ownTerm;
  return Request.last_index() >= lastIndex(State);
}

std::string addressOf(const RaftState &State, uint64_t Identity) {
  const wire::Member *member = findMember(State, Identity);
  return member ? member->address() : std::string();
}

/// True if this member requests pre-votes itself and therefore denies the
/// candidate of \p Request its pre-vote. Of two such members with the same log,
/// only the one with the lower identity goes on, so that they do not split the
/// votes. Once its own round of pre-votes has ended, it grants the other its
/// pre-vote, since it may be unable to win.
bool hasPreVotePriority(const RaftState &State,
                        const wire::VoteRequest &Request, TimePoint Now) {
  bool isSameLog = Request.last_index() == lastIndex(State) &&
                   Request.last_term() == termAt(State, lastIndex(State));
  return State.Role == RaftRole::PreCandidate && isSameLog &&
         !isPast(State.PreVoteDeadline, Now) &&
         State.Self.Identity < Request.candidate();
}

/// Ends this member's own pre-votes and delays its election, so that the
/// candidate that was granted a pre-vote has time for its vote.
void deferElection(RaftState &State, TimePoint Now) {
  if (State.Role == RaftRole::PreCandidate) {
    State.Role = RaftRole::Follower;
    State.Votes.clear();
  }
  State.ElectionDeadline =
      std::max(State.ElectionDeadline,
               randomRetryDeadline(State, PreVoteRetryDivisor, Now));
}

void receive(RaftState &State, const wire::VoteRequest &Request,
             const std::string &ReplyAddress, TimePoint Now, RaftEffects &Out) {
  // A member that recently heard from a leader ignores other candidates, so
  // that the leader's lease ends before another member can win. An election
  // that the leader itself asked for is exempt.
  bool isVoteBlocked = !Request.transfer() &&
                       (Now < State.VoteBlockedUntil || hasLease(State, Now));
  if (isVoteBlocked)
    return;
  if (!Request.pre_vote() && Request.term() > State.Term)
    becomeFollower(State, Request.term(), 0, Now, Out);
  bool isGranted = Request.term() >= State.Term && isUpToDate(State, Request);
  if (Request.pre_vote()) {
    isGranted = isGranted && Request.term() > State.Term &&
                !hasPreVotePriority(State, Request, Now);
    if (isGranted && State.Role != RaftRole::Leader)
      deferElection(State, Now);
  } else {
    isGranted = isGranted &&
                (State.VotedFor == 0 || State.VotedFor == Request.candidate());
    if (isGranted && State.VotedFor == 0) {
      State.VotedFor = Request.candidate();
      State.ElectionDeadline = randomElectionDeadline(State, Now);
      persistHardState(State, Out);
    }
  }
  wire::Envelope message;
  wire::VoteReply &reply = *message.mutable_vote_reply();
  reply.set_term(Request.pre_vote() && isGranted ? Request.term() : State.Term);
  reply.set_voter(State.Self.Identity);
  reply.set_granted(isGranted);
  reply.set_pre_vote(Request.pre_vote());
  std::string address = addressOf(State, Request.candidate());
  send(Out, address.empty() ? ReplyAddress : address, std::move(message));
}

void receive(RaftState &State, const wire::VoteReply &Reply, TimePoint Now,
             RaftEffects &Out) {
  if (!Reply.granted()) {
    if (Reply.term() > State.Term)
      becomeFollower(State, Reply.term(), 0, Now, Out);
    return;
  }
  bool isPreVote = State.Role == RaftRole::PreCandidate && Reply.pre_vote() &&
                   Reply.term() == State.Term + 1;
  bool isVote = State.Role == RaftRole::Candidate && !Reply.pre_vote() &&
                Reply.term() == State.Term;
  if (!isPreVote && !isVote)
    return;
  State.Votes[Reply.voter()] = true;
  if (countVotes(State) < quorum(State))
    return;
  if (isPreVote)
    startElection(State, false, Now, Out);
  else
    becomeLeader(State, Now, Out);
}

void sendAppendReply(const RaftState &State, const std::string &Address,
                     bool Success, uint64_t Match, uint64_t Round,
                     RaftEffects &Out) {
  wire::Envelope message;
  wire::AppendReply &reply = *message.mutable_append_reply();
  reply.set_term(State.Term);
  reply.set_follower(State.Self.Identity);
  reply.set_success(Success);
  reply.set_match_index(Match);
  reply.set_round(Round);
  reply.set_is_stopping(State.IsStopping);
  send(Out, Address, std::move(message));
}

/// Stores the entries that this member lacks. Precondition: the entry before
/// them matches.
void storeEntries(RaftState &State, const wire::AppendRequest &Request,
                  RaftEffects &Out) {
  for (const wire::LogEntry &it : Request.entries()) {
    if (it.index() <= State.SnapshotIndex)
      continue;
    bool isKnown = it.index() <= lastIndex(State) &&
                   termAt(State, it.index()) == it.term();
    if (!isKnown)
      storeEntry(State, it, Out);
  }
}

void receive(RaftState &State, const wire::AppendRequest &Request,
             const std::string &ReplyAddress, TimePoint Now, RaftEffects &Out) {
  if (Request.target() != State.Self.Identity)
    return;
  if (Request.term() < State.Term) {
    sendAppendReply(State, ReplyAddress, false, lastIndex(State), 0, Out);
    return;
  }
  // A blank member needs a snapshot first; its reply requests one.
  if (State.Role == RaftRole::Blank) {
    State.Leader = Request.leader();
    sendAppendReply(State, ReplyAddress, false, 0, 0, Out);
    return;
  }
  becomeFollower(State, Request.term(), Request.leader(), Now, Out);
  State.VoteBlockedUntil = Now + State.Self.Timing.MinElectionTimeout;
  uint64_t previous = Request.previous_index();
  bool isMatching = previous <= State.SnapshotIndex ||
                    (previous <= lastIndex(State) &&
                     termAt(State, previous) == Request.previous_term());
  if (!isMatching) {
    uint64_t hint = std::min(lastIndex(State), previous - 1);
    sendAppendReply(State, ReplyAddress, false, hint, Request.round(), Out);
    return;
  }
  storeEntries(State, Request, Out);
  uint64_t match = previous + static_cast<uint64_t>(Request.entries_size());
  State.Commit = std::max(State.Commit, std::min(Request.commit(), match));
  sendAppendReply(State, ReplyAddress, true, match, Request.round(), Out);
}

void receive(RaftState &State, const wire::AppendReply &Reply, TimePoint Now,
             RaftEffects &Out) {
  if (Reply.term() > State.Term) {
    becomeFollower(State, Reply.term(), 0, Now, Out);
    return;
  }
  if (State.Role != RaftRole::Leader)
    return;
  const wire::Member *member = findMember(State, Reply.follower());
  bool isBlank = !Reply.success() && Reply.match_index() == 0;
  if (!member || (Reply.term() != State.Term && !isBlank))
    return;
  PeerProgress &peer = State.Peers[Reply.follower()];
  peer.AckedRound = std::max(peer.AckedRound, Reply.round());
  peer.HeardAt = Now;
  peer.IsStopping = Reply.is_stopping();
  renewLease(State);
  if (!Reply.success()) {
    peer.NextIndex = std::max(peer.MatchIndex, Reply.match_index()) + 1;
    wire::Member target = *member;
    sendAppend(State, target, Now, Out);
    return;
  }
  peer.MatchIndex = std::max(peer.MatchIndex, Reply.match_index());
  peer.NextIndex = std::max(peer.NextIndex, peer.MatchIndex + 1);
  uint64_t before = State.Commit;
  advanceCommit(State);
  wire::Member target = *member;
  bool hasMore = peer.NextIndex <= lastIndex(State);
  if (State.Commit > before)
    broadcastAppend(State, Now, Out);
  else if (hasMore)
    sendAppend(State, target, Now, Out);
}

void receive(RaftState &State, const wire::InstallSnapshot &Install,
             const std::string &ReplyAddress, TimePoint Now, RaftEffects &Out) {
  if (Install.target() != State.Self.Identity || Install.term() < State.Term)
    return;
  const wire::Snapshot &snapshot = Install.snapshot();
  if (State.Role != RaftRole::Blank && snapshot.index() <= State.Commit) {
    sendAppendReply(State, ReplyAddress, true, State.Commit, 0, Out);
    return;
  }
  // The new generation persists the term, so no separate record is needed.
  if (Install.term() > State.Term) {
    State.Term = Install.term();
    State.VotedFor = 0;
  }
  becomeFollower(State, Install.term(), Install.leader(), Now, Out);
  State.VoteBlockedUntil = Now + State.Self.Timing.MinElectionTimeout;
  State.Entries.clear();
  State.SnapshotIndex = snapshot.index();
  State.SnapshotTerm = snapshot.term();
  State.SnapshotMembers.assign(snapshot.members().begin(),
                               snapshot.members().end());
  State.Commit = snapshot.index();
  updateMembers(State);
  persistSnapshot(State, snapshot, Out);
  Out.push_back(LoadSnapshot{snapshot});
  sendAppendReply(State, ReplyAddress, true, snapshot.index(), Install.round(),
                  Out);
}

void receive(RaftState &State, const wire::TimeoutNow &TransferRequest,
             TimePoint Now, RaftEffects &Out) {
  bool isForSelf = TransferRequest.target() == State.Self.Identity;
  if (isForSelf && TransferRequest.term() == State.Term &&
      State.Role == RaftRole::Follower && isVoter(State, State.Self.Identity))
    startElection(State, true, Now, Out);
}

/// Forms the initial configuration, which every initial member stores as a
/// snapshot at index 1 of term 1.
void formInitialConfiguration(RaftState &State,
                              const std::vector<wire::Member> &Members,
                              TimePoint Now, RaftEffects &Out) {
  State.Role = RaftRole::Follower;
  State.Term = 1;
  State.SnapshotIndex = 1;
  State.SnapshotTerm = 1;
  State.SnapshotMembers = Members;
  State.Commit = 1;
  updateMembers(State);
  State.ElectionDeadline = randomElectionDeadline(State, Now);
  wire::Snapshot snapshot;
  fillSnapshotHeader(State, 1, snapshot);
  persistSnapshot(State, snapshot, Out);
  Out.push_back(LoadSnapshot{snapshot});
  Out.push_back(GroupFormed{Members});
}

wire::BootstrapHello makeHello(const RaftState &State) {
  wire::BootstrapHello hello;
  hello.set_name(State.Self.Name);
  hello.set_identity(State.Self.Identity);
  hello.set_address(State.Self.Address);
  hello.set_is_blank(State.Role == RaftRole::Blank);
  hello.set_is_joining(State.MayJoin);
  // A blank member may adopt the initial configuration by itself only while
  // that is still the group's snapshot.
  if (State.SnapshotIndex == 1)
    for (const wire::Member &it : State.SnapshotMembers)
      *hello.add_members() = it;
  return hello;
}

/// True if \p Member has replied to this leader within \p Timeout.
bool isHeard(const RaftState &State, const wire::Member &Member, Millis Timeout,
             TimePoint Now) {
  auto peer = State.Peers.find(Member.identity());
  return peer != State.Peers.end() && peer->second.HeardAt != TimePoint() &&
         Now - peer->second.HeardAt < Timeout;
}

void proposeMembers(RaftState &State, wire::Command Command,
                    MemberChangeKind Kind, const wire::Member &Member,
                    TimePoint Now, RaftEffects &Out) {
  const PeerProgress &peer = State.Peers[Member.identity()];
  MemberChangeProposed note{Kind, Member.name(), peer.IsStopping, Millis(0)};
  if (peer.HeardAt != TimePoint())
    note.Silence = std::chrono::duration_cast<Millis>(Now - peer.HeardAt);
  Out.push_back(std::move(note));
  proposeRaft(State, std::move(Command), Now, Out);
}

/// Proposes to grant the member at \p Position its vote, or to withdraw it.
void proposeVote(RaftState &State, size_t Position, bool IsVoter, TimePoint Now,
                 RaftEffects &Out) {
  wire::Member member = State.Members[Position];
  wire::Command command;
  for (const wire::Member &it : State.Members)
    *command.mutable_member_change()->add_members() = it;
  command.mutable_member_change()
      ->mutable_members(static_cast<int>(Position))
      ->set_voter(IsVoter);
  proposeMembers(State, std::move(command),
                 IsVoter ? MemberChangeKind::GrantVote
                         : MemberChangeKind::WithdrawVote,
                 member, Now, Out);
}

/// Proposes to add a member as a learner. A member that lost its disk returns
/// under a new identity, which replaces the old one in the configuration. A new
/// host, or one that was removed while it was silent, is added likewise if it
/// asks to join.
void proposeLearner(RaftState &State, const wire::BootstrapHello &Hello,
                    TimePoint Now, RaftEffects &Out) {
  if (!canPropose(State, Now) || State.MembersIndex > State.Commit)
    return;
  wire::Command command;
  bool isKnownName = false;
  for (const wire::Member &it : State.Members) {
    if (it.identity() == Hello.identity())
      return;
    if (it.name() == Hello.name())
      isKnownName = true;
    else
      *command.mutable_member_change()->add_members() = it;
  }
  if (!isKnownName && !Hello.is_joining())
    return;
  wire::Member &learner = *command.mutable_member_change()->add_members();
  learner.set_name(Hello.name());
  learner.set_identity(Hello.identity());
  learner.set_address(Hello.address());
  State.Peers[Hello.identity()].HeardAt = Now;
  wire::Member added = learner;
  proposeMembers(State, std::move(command), MemberChangeKind::AddLearner, added,
                 Now, Out);
}

wire::Member selfMember(const RaftState &State) {
  wire::Member member;
  member.set_name(State.Self.Name);
  member.set_identity(State.Self.Identity);
  member.set_address(State.Self.Address);
  member.set_voter(true);
  return member;
}

/// Sends the decided configuration to its members, and adopts it if this member
/// is one of them.
void adoptDecision(RaftState &State, const std::vector<wire::Member> &Members,
                   TimePoint Now, RaftEffects &Out) {
  bool isMember =
      std::any_of(Members.begin(), Members.end(), [&](const wire::Member &it) {
        return it.identity() == State.Self.Identity;
      });
  if (isMember)
    formInitialConfiguration(State, Members, Now, Out);
  // Another process is to propose no more; it joins the group.
  State.Proposer.Ballot = {};
  wire::Envelope message;
  wire::BootstrapHello &hello = *message.mutable_blank_hello();
  hello.set_name(State.Self.Name);
  hello.set_identity(State.Self.Identity);
  hello.set_address(State.Self.Address);
  for (const wire::Member &it : Members)
    *hello.add_members() = it;
  for (const wire::Member &it : Members)
    if (it.identity() != State.Self.Identity)
      send(Out, it.address(), message);
}

bool isSeed(const RaftState &State, const std::string &Address) {
  return std::find(State.SeedAddresses.begin(), State.SeedAddresses.end(),
                   Address) != State.SeedAddresses.end();
}

void receive(RaftState &State, const wire::FormationReply &Reply, TimePoint Now,
             RaftEffects &Out);

/// Sends the request of the current phase to each seed, which may be this
/// member.
void sendFormationRequest(RaftState &State, TimePoint Now, RaftEffects &Out) {
  wire::FormationRequest request =
      makeFormationRequest(State.Proposer, selfMember(State));
  for (const std::string &it : State.SeedAddresses) {
    if (it == State.Self.Address)
      continue;
    wire::Envelope message;
    *message.mutable_formation_request() = request;
    send(Out, it, std::move(message));
  }
  if (!isSeed(State, State.Self.Address))
    return;
  if (auto reply =
          answerFormation(State.Acceptor, request, State.Self.Address, Now))
    receive(State, *reply, Now, Out);
}

void receive(RaftState &State, const wire::FormationReply &Reply, TimePoint Now,
             RaftEffects &Out) {
  if (State.Role != RaftRole::Blank || !State.MayForm ||
      !isSeed(State, Reply.seed()))
    return;
  bool isNextPhase = false;
  if (auto members =
          receiveFormationReply(State.Proposer, Reply, isNextPhase, Now))
    adoptDecision(State, *members, Now, Out);
  else if (isNextPhase)
    sendFormationRequest(State, Now, Out);
}

void receive(RaftState &State, const wire::BootstrapHello &Hello,
             const std::string &From, TimePoint Now, RaftEffects &Out) {
  if (State.Role != RaftRole::Blank) {
    bool isJoinRequest = Hello.is_blank() || Hello.is_joining();
    if (Hello.is_diskless() || !isJoinRequest)
      return;
    // Followers forward to the leader only what came from the new member
    // itself, not what another follower forwarded.
    std::string leader = addressOf(State, State.Leader);
    if (State.Role != RaftRole::Leader && !leader.empty() &&
        From == Hello.name()) {
      wire::Envelope forward;
      *forward.mutable_blank_hello() = Hello;
      send(Out, leader, std::move(forward));
    }
    if (Hello.is_blank()) {
      wire::Envelope message;
      *message.mutable_blank_hello() = makeHello(State);
      message.mutable_blank_hello()->set_is_joining(false);
      send(Out, Hello.address(), std::move(message));
    }
    proposeLearner(State, Hello, Now, Out);
    return;
  }
  // The peer knows the initial configuration, which may include this member.
  if (Hello.is_blank())
    return;
  for (const wire::Member &it : Hello.members()) {
    if (it.identity() != State.Self.Identity)
      continue;
    formInitialConfiguration(
        State, {Hello.members().begin(), Hello.members().end()}, Now, Out);
    return;
  }
}

void sendBootstrapHello(RaftState &State, TimePoint Now, RaftEffects &Out) {
  if (Now < State.NextAppend)
    return;
  State.NextAppend = Now + State.Self.Timing.Append;
  wire::Envelope message;
  *message.mutable_blank_hello() = makeHello(State);
  for (const std::string &it : State.ContactAddresses)
    if (it != State.Self.Address)
      send(Out, it, message);
  if (!State.MayForm)
    return;
  State.Acceptor.IsActive = true;
  // Where no hosts may join, the seeds are all members that there will be.
  if (!State.MayJoin && !isSeed(State, State.Self.Address))
    return;
  advanceFormation(State.Proposer, selfMember(State), State.Random, Now);
  sendFormationRequest(State, Now, Out);
}

/// Asks to join the group again. A member that hears no leader may have been
/// removed while it was silent.
void requestRejoin(RaftState &State, TimePoint Now, RaftEffects &Out) {
  if (!State.MayJoin || Now < State.NextJoinRequest ||
      Now < State.VoteBlockedUntil)
    return;
  State.NextJoinRequest = Now + 2 * State.Self.Timing.Append;
  wire::Envelope message;
  *message.mutable_blank_hello() = makeHello(State);
  for (const std::string &it : State.ContactAddresses)
    if (it != State.Self.Address)
      send(Out, it, message);
}

/// True if \p Member is heard and not stopping.
bool canSucceed(const RaftState &State, const wire::Member &Member,
                TimePoint Now) {
  return isHeard(State, Member, State.Self.Timing.MinElectionTimeout, Now) &&
         !State.Peers.at(Member.identity()).IsStopping;
}

/// Proposes to make a voter of the first learner that holds all committed
/// entries, is heard and not stopping. One membership change is in progress at
/// a time.
void promoteLearners(RaftState &State, TimePoint Now, RaftEffects &Out) {
  if (State.MembersIndex > State.Commit || !canPropose(State, Now))
    return;
  for (size_t i = 0; i < State.Members.size(); ++i) {
    const wire::Member &member = State.Members[i];
    const PeerProgress &peer = State.Peers[member.identity()];
    if (member.voter() || peer.MatchIndex < State.Commit || peer.IsStopping ||
        !isHeard(State, member, State.Self.Timing.MinElectionTimeout, Now))
      continue;
    proposeVote(State, i, true, Now, Out);
    return;
  }
}

} // namespace

RaftState makeBlankRaft(RaftSelf Self, std::vector<std::string> SeedAddresses,
                        uint64_t Seed, TimePoint Now) {
  RaftState state;
  state.Self = std::move(Self);
  std::sort(SeedAddresses.begin(), SeedAddresses.end());
  SeedAddresses.erase(std::unique(SeedAddresses.begin(), SeedAddresses.end()),
                      SeedAddresses.end());
  state.SeedAddresses = std::move(SeedAddresses);
  state.ContactAddresses = state.SeedAddresses;
  state.Random.seed(Seed);
  state.Proposer.Quorum = state.SeedAddresses.size();
  state.Proposer.Wanted = state.SeedAddresses.size();
  state.Proposer.Nonce = state.Random();
  state.NextAppend = Now;
  return state;
}

RaftState restoreRaft(RaftSelf Self, std::vector<std::string> SeedAddresses,
                      const wire::Snapshot &Snapshot,
                      const wire::HardState &HardState,
                      std::vector<wire::LogEntry> Entries, uint64_t Seed,
                      TimePoint Now) {
  RaftState state =
      makeBlankRaft(std::move(Self), std::move(SeedAddresses), Seed, Now);
  state.Role = RaftRole::Follower;
  state.Term = HardState.term();
  state.VotedFor = HardState.voted_for();
  state.SnapshotIndex = Snapshot.index();
  state.SnapshotTerm = Snapshot.term();
  state.SnapshotMembers.assign(Snapshot.members().begin(),
                               Snapshot.members().end());
  state.Commit = Snapshot.index();
  state.Entries.assign(Entries.begin(), Entries.end());
  state.Commit =
      std::max(state.Commit, std::min(HardState.commit(), lastIndex(state)));
  updateMembers(state);
  state.ElectionDeadline = randomElectionDeadline(state, Now);
  // The member may have heard from a leader just before it stopped.
  state.VoteBlockedUntil = Now + state.Self.Timing.MinElectionTimeout;
  return state;
}

void allowSeedMajority(RaftState &State, size_t WantedMembers) {
  State.Proposer.Quorum = State.SeedAddresses.size() / 2 + 1;
  State.Proposer.Wanted = WantedMembers;
}

void tickRaft(RaftState &State, TimePoint Now, RaftEffects &Out) {
  if (State.Role == RaftRole::Blank) {
    sendBootstrapHello(State, Now, Out);
    return;
  }
  if (State.Role == RaftRole::Leader) {
    if (isPast(State.ElectionDeadline, Now) && quorum(State) > 1) {
      becomeFollower(State, State.Term, 0, Now, Out);
      return;
    }
    if (quorum(State) == 1)
      State.LeaseEnd = Now + State.Self.Timing.Lease;
    if (!isPast(State.NextAppend, Now))
      return;
    // Entries without a reply are sent again with the next round.
    for (auto &[identity, peer] : State.Peers)
      peer.NextIndex =
          peer.MatchIndex == 0 ? peer.NextIndex : peer.MatchIndex + 1;
    broadcastAppend(State, Now, Out);
    advanceCommit(State);
    promoteLearners(State, Now, Out);
    return;
  }
  requestRejoin(State, Now, Out);
  if (!isPast(State.ElectionDeadline, Now))
    return;
  if (isVoter(State, State.Self.Identity))
    startPreVote(State, Now, Out);
  else
    // A learner starts no election, but its leader has timed out.
    State.Leader = 0;
}

void receiveRaft(RaftState &State, const wire::Envelope &Message, TimePoint Now,
                 RaftEffects &Out) {
  const std::string &address = Message.reply_address();
  bool isBlank = State.Role == RaftRole::Blank;
  switch (Message.body_case()) {
  case wire::Envelope::kVoteRequest:
    // A member with an empty data folder never votes.
    if (!isBlank)
      receive(State, Message.vote_request(), address, Now, Out);
    return;
  case wire::Envelope::kVoteReply:
    if (!isBlank)
      receive(State, Message.vote_reply(), Now, Out);
    return;
  case wire::Envelope::kAppendRequest:
    receive(State, Message.append_request(), address, Now, Out);
    return;
  case wire::Envelope::kAppendReply:
    if (!isBlank)
      receive(State, Message.append_reply(), Now, Out);
    return;
  case wire::Envelope::kInstallSnapshot:
    receive(State, Message.install_snapshot(), address, Now, Out);
    return;
  case wire::Envelope::kTimeoutNow:
    receive(State, Message.timeout_now(), Now, Out);
    return;
  case wire::Envelope::kFormationRequest:
    if (auto reply =
            answerFormation(State.Acceptor, Message.formation_request(),
                            State.Self.Address, Now)) {
      wire::Envelope answer;
      *answer.mutable_formation_reply() = std::move(*reply);
      send(Out, Message.formation_request().candidate().address(),
           std::move(answer));
    }
    return;
  case wire::Envelope::kFormationReply:
    receive(State, Message.formation_reply(), Now, Out);
    return;
  case wire::Envelope::kBlankHello:
    receive(State, Message.blank_hello(), Message.from(), Now, Out);
    return;
  default:
    return;
  }
}

uint64_t proposeRaft(RaftState &State, wire::Command Command, TimePoint Now,
                     RaftEffects &Out) {
  wire::LogEntry entry;
  entry.set_term(State.Term);
  entry.set_index(lastIndex(State) + 1);
  *entry.mutable_command() = std::move(Command);
  storeEntry(State, entry, Out);
  broadcastAppend(State, Now, Out);
  advanceCommit(State);
  return entry.index();
}

void withdrawVote(RaftState &State, size_t MinRemainingVoters, Millis Timeout,
                  TimePoint Now, RaftEffects &Out) {
  if (!canPropose(State, Now) || State.MembersIndex > State.Commit ||
      countVoters(State) <= MinRemainingVoters)
    return;
  for (size_t i = 0; i < State.Members.size(); ++i) {
    const wire::Member &member = State.Members[i];
    if (!member.voter() || member.identity() == State.Self.Identity)
      continue;
    const PeerProgress &peer = State.Peers[member.identity()];
    bool isSilent =
        peer.HeardAt != TimePoint() && !isHeard(State, member, Timeout, Now);
    if (!peer.IsStopping && !isSilent)
      continue;
    proposeVote(State, i, false, Now, Out);
    return;
  }
}

void removeSilentMember(RaftState &State, size_t MinRemainingVoters,
                        Millis Timeout, TimePoint Now, RaftEffects &Out) {
  if (!canPropose(State, Now) || State.MembersIndex > State.Commit)
    return;
  for (const wire::Member &silent : State.Members) {
    TimePoint heardAt = State.Peers[silent.identity()].HeardAt;
    bool isSilent = silent.identity() != State.Self.Identity &&
                    heardAt != TimePoint() && Now - heardAt > Timeout;
    if (!isSilent ||
        (silent.voter() && countVoters(State) <= MinRemainingVoters))
      continue;
    wire::Command command;
    command.mutable_member_change();
    for (const wire::Member &it : State.Members)
      if (it.identity() != silent.identity())
        *command.mutable_member_change()->add_members() = it;
    wire::Member removed = silent;
    proposeMembers(State, std::move(command), MemberChangeKind::RemoveMember,
                   removed, Now, Out);
    return;
  }
}

bool hasSuccessor(const RaftState &State, TimePoint Now) {
  return std::any_of(
      State.Members.begin(), State.Members.end(), [&](const wire::Member &it) {
        return it.voter() && it.identity() != State.Self.Identity &&
               canSucceed(State, it, Now);
      });
}

void transferLeadership(RaftState &State, TimePoint Now, RaftEffects &Out) {
  if (State.Role != RaftRole::Leader)
    return;
  const wire::Member *best = nullptr;
  auto rankOf = [&](const wire::Member &Member) {
    return std::pair(canSucceed(State, Member, Now),
                     State.Peers[Member.identity()].MatchIndex);
  };
  for (const wire::Member &it : State.Members) {
    if (!it.voter() || it.identity() == State.Self.Identity)
      continue;
    if (!best || rankOf(it) > rankOf(*best))
      best = &it;
  }
  if (!best)
    return;
  wire::Envelope message;
  message.mutable_timeout_now()->set_term(State.Term);
  message.mutable_timeout_now()->set_target(best->identity());
  // Stepping down ends the lease before another member can win.
  std::string address = best->address();
  becomeFollower(State, State.Term, 0, Now, Out);
  send(Out, address, std::move(message));
}

void compactRaft(RaftState &State, wire::Snapshot Snapshot, size_t Tail,
                 RaftEffects &Out) {
  uint64_t index = Snapshot.index();
  persistSnapshot(State, std::move(Snapshot), Out);
  uint64_t keepFrom = index > Tail ? index - Tail : 0;
  if (keepFrom <= State.SnapshotIndex)
    return;
  std::vector<wire::Member> members = membersAt(State, keepFrom);
  State.SnapshotTerm = termAt(State, keepFrom);
  State.SnapshotMembers = std::move(members);
  State.Entries.erase(State.Entries.begin(),
                      State.Entries.begin() +
                          static_cast<int64_t>(keepFrom - State.SnapshotIndex));
  State.SnapshotIndex = keepFrom;
}

bool hasLease(const RaftState &State, TimePoint Now) {
  return State.Role == RaftRole::Leader && Now < State.LeaseEnd;
}

bool canPropose(const RaftState &State, TimePoint Now) {
  return hasLease(State, Now) && isTermEstablished(State);
}

bool isTermEstablished(const RaftState &State) {
  return State.Role == RaftRole::Leader &&
         termAt(State, State.Commit) == State.Term;
}

std::string leaderAddress(const RaftState &State) {
  return addressOf(State, State.Leader);
}

uint64_t lastIndex(const RaftState &State) {
  return State.SnapshotIndex + State.Entries.size();
}

uint64_t termAt(const RaftState &State, uint64_t Index) {
  if (Index == State.SnapshotIndex)
    return State.SnapshotTerm;
  if (Index < State.SnapshotIndex || Index > lastIndex(State))
    return 0;
  return entryAt(State, Index).term();
}

const wire::LogEntry &entryAt(const RaftState &State, uint64_t Index) {
  return State.Entries[Index - State.SnapshotIndex - 1];
}

std::vector<wire::Member> membersAt(const RaftState &State, uint64_t Index) {
  for (uint64_t i = std::min(Index, lastIndex(State)); i > State.SnapshotIndex;
       --i) {
    const wire::Command &command = entryAt(State, i).command();
    if (command.has_member_change())
      return {command.member_change().members().begin(),
              command.member_change().members().end()};
  }
  return State.SnapshotMembers;
}

void fillSnapshotHeader(const RaftState &State, uint64_t Index,
                        wire::Snapshot &Snapshot) {
  Snapshot.set_index(Index);
  Snapshot.set_term(termAt(State, Index));
  for (const wire::Member &it : membersAt(State, Index))
    *Snapshot.add_members() = it;
}

} // namespace sassafras
