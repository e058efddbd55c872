/// \file
/// Tests of the Raft rules that each member enforces, and of the time that a
/// restarted group takes to elect a leader.
#include "core/timing.h"
#include "replication/raft.h"

#include <catch2/catch.hpp>

#include <deque>
#include <map>

using namespace sassafras;

namespace {

const TimePoint Start = TimePoint() + std::chrono::hours(1);

wire::Snapshot makeThreeMemberSnapshot() {
  wire::Snapshot snapshot;
  snapshot.set_index(1);
  snapshot.set_term(1);
  for (uint64_t i = 1; i <= 3; ++i) {
    wire::Member &member = *snapshot.add_members();
    member.set_name("c" + std::to_string(i));
    member.set_identity(i);
    member.set_address("c" + std::to_string(i));
    member.set_voter(true);
  }
  return snapshot;
}

RaftState makeRestored(const wire::HardState &HardState, TimePoint Now) {
  return restoreRaft({"c1", 1, "c1"}, {"c1", "c2", "c3"},
                     makeThreeMemberSnapshot(), HardState, {}, 1, Now);
}

wire::Envelope makeVoteRequest(uint64_t Term, uint64_t Candidate) {
  wire::Envelope message;
  wire::VoteRequest &request = *message.mutable_vote_request();
  request.set_term(Term);
  request.set_candidate(Candidate);
  request.set_last_index(9);
  request.set_last_term(9);
  return message;
}

bool hasGrantedVote(const RaftEffects &Effects) {
  for (const RaftEffect &it : Effects)
    if (auto *send = std::get_if<RaftSend>(&it))
      if (send->Message.vote_reply().granted())
        return true;
  return false;
}

bool grantsVote(RaftState &State, const wire::Envelope &Request,
                TimePoint Now) {
  RaftEffects out;
  receiveRaft(State, Request, Now, out);
  return hasGrantedVote(out);
}

const TimePoint VoteUnblockedAt = Start + timing::ElectionTimeoutMin;

/// Simulates voters that restart from their data folders one after the other
/// and are connected by links with a fixed delay.
class RestartedGroup {
public:
  /// The member with the number \p Newest, counted from one, holds one entry
  /// more than the others; 0 for none.
  RestartedGroup(const std::vector<Millis> &StartDelays, uint64_t Seed,
                 uint64_t Newest = 0)
      : Seed(Seed), Newest(Newest) {
    Snapshot.set_index(1);
    Snapshot.set_term(1);
    for (size_t i = 0; i < StartDelays.size(); ++i) {
      wire::Member &member = *Snapshot.add_members();
      member.set_name(nameOf(i));
      member.set_identity(i + 1);
      member.set_address(nameOf(i));
      member.set_voter(true);
      StartTimes[nameOf(i)] = Start + StartDelays[i];
    }
  }

  /// Returns the time from the first start until a member can propose, at most
  /// two seconds.
  Millis timeToLeader() {
    for (TimePoint now = Start; now < Start + Millis(2'000); now += Step) {
      startMembers(now);
      deliver(now);
      for (auto &[name, state] : Members) {
        RaftEffects out;
        tickRaft(state, now, out);
        sendMessages(name, out, now);
        if (canPropose(state, now))
          return std::chrono::duration_cast<Millis>(now - Start);
      }
    }
    return Millis(2'000);
  }

private:
  static constexpr Millis Step{5};
  static constexpr Millis LinkDelay{10};

  struct MessageInFlight {
    TimePoint At;
    std::string To;
    wire::Envelope Message;
  };

  static std::string nameOf(size_t I) { return "c" + std::to_string(I + 1); }

  void startMembers(TimePoint Now) {
    for (const wire::Member &it : Snapshot.members())
      if (!Members.contains(it.name()) && Now >= StartTimes[it.name()])
        Members.emplace(it.name(),
                        restoreRaft({it.name(), it.identity(), it.address(),
                                     timing::LowLatencyGroup},
                                    {}, Snapshot, {}, entriesOf(it.identity()),
                                    Seed * 100 + it.identity(), Now));
  }

  std::vector<wire::LogEntry> entriesOf(uint64_t Identity) const {
    if (Identity != Newest)
      return {};
    wire::LogEntry entry;
    entry.set_term(1);
    entry.set_index(Snapshot.index() + 1);
    return {entry};
  }

  void deliver(TimePoint Now) {
    while (!Links.empty() && Links.front().At <= Now) {
      MessageInFlight it = std::move(Links.front());
      Links.pop_front();
      auto member = Members.find(it.To);
      if (member == Members.end())
        continue;
      RaftEffects out;
      receiveRaft(member->second, it.Message, Now, out);
      sendMessages(it.To, out, Now);
    }
  }

  void sendMessages(const std::string &From, RaftEffects &Effects,
                    TimePoint Now) {
    for (RaftEffect &it : Effects)
      if (auto *send = std::get_if<RaftSend>(&it)) {
        send->Message.set_from(From);
        send->Message.set_reply_address(From);
        Links.push_back({Now + LinkDelay, send->Address, send->Message});
      }
  }

  uint64_t Seed;
  uint64_t Newest;
  wire::Snapshot Snapshot;
  std::map<std::string, TimePoint> StartTimes;
  std::map<std::string, RaftState> Members;
  std::deque<MessageInFlight> Links;
};

} // namespace

TEST_CASE("member votes once in a term, also across a restart") {
  RaftState state = makeRestored({}, Start);
  RaftEffects out;
  receiveRaft(state, makeVoteRequest(3, 2), VoteUnblockedAt, out);
  REQUIRE(hasGrantedVote(out));
  // The vote is persisted before the reply is sent.
  wire::HardState last;
  for (const RaftEffect &it : out) {
    if (auto *record = std::get_if<PersistRecord>(&it))
      last = record->Record.hard_state();
    if (std::holds_alternative<RaftSend>(it))
      CHECK(last.voted_for() == 2);
  }
  CHECK_FALSE(grantsVote(state, makeVoteRequest(3, 3), VoteUnblockedAt));
  RaftState again = makeRestored(last, Start);
  CHECK_FALSE(grantsVote(again, makeVoteRequest(3, 3), VoteUnblockedAt));
  CHECK(grantsVote(again, makeVoteRequest(3, 2), VoteUnblockedAt));
}

TEST_CASE("member with an empty folder never votes and accepts no entries") {
  RaftState state =
      makeBlankRaft({"c1", 1, "c1"}, {"c1", "c2", "c3"}, 1, Start);
  RaftEffects out;
  receiveRaft(state, makeVoteRequest(3, 2), VoteUnblockedAt, out);
  CHECK(out.empty());
  wire::Envelope message;
  message.mutable_append_request()->set_target(1);
  message.mutable_append_request()->set_term(3);
  receiveRaft(state, message, VoteUnblockedAt, out);
  REQUIRE(out.size() == 1);
  CHECK_FALSE(std::get<RaftSend>(out[0]).Message.append_reply().success());
  CHECK(state.Entries.empty());
}

TEST_CASE(
    "member that heard from a leader, or restarted, rejects other candidates") {
  RaftState state = makeRestored({}, Start);
  CHECK_FALSE(
      grantsVote(state, makeVoteRequest(3, 2), VoteUnblockedAt - Millis(1)));
  wire::Envelope append;
  append.mutable_append_request()->set_term(1);
  append.mutable_append_request()->set_leader(2);
  append.mutable_append_request()->set_target(1);
  append.mutable_append_request()->set_previous_index(1);
  append.mutable_append_request()->set_previous_term(1);
  RaftEffects out;
  receiveRaft(state, append, VoteUnblockedAt, out);
  TimePoint end = VoteUnblockedAt + timing::ElectionTimeoutMin;
  CHECK_FALSE(grantsVote(state, makeVoteRequest(3, 3), end - Millis(1)));
  wire::Envelope transfer = makeVoteRequest(3, 3);
  transfer.mutable_vote_request()->set_transfer(true);
  CHECK(grantsVote(state, transfer, end - Millis(1)));
}

TEST_CASE("leader's lease ends before a voter may vote for another candidate") {
  RaftState state = makeRestored({}, Start);
  TimePoint now = Start;
  RaftEffects out;
  while (state.Role != RaftRole::PreCandidate) {
    now += Millis(10);
    tickRaft(state, now, out);
  }
  wire::Envelope vote;
  vote.mutable_vote_reply()->set_term(1);
  vote.mutable_vote_reply()->set_voter(2);
  vote.mutable_vote_reply()->set_granted(true);
  vote.mutable_vote_reply()->set_pre_vote(true);
  receiveRaft(state, vote, now, out);
  vote.mutable_vote_reply()->set_pre_vote(false);
  receiveRaft(state, vote, now, out);
  REQUIRE(state.Role == RaftRole::Leader);
  CHECK_FALSE(hasLease(state, now));
  wire::Envelope reply;
  reply.mutable_append_reply()->set_term(1);
  reply.mutable_append_reply()->set_follower(2);
  reply.mutable_append_reply()->set_success(true);
  reply.mutable_append_reply()->set_match_index(2);
  reply.mutable_append_reply()->set_round(1);
  TimePoint sent = now;
  // The lease starts when the request is sent, however late the reply is.
  now += Millis(1000);
  receiveRaft(state, reply, now, out);
  CHECK(hasLease(state, sent + timing::LeaderLease - Millis(1)));
  CHECK_FALSE(hasLease(state, sent + timing::LeaderLease));
  CHECK(timing::LeaderLease < timing::ElectionTimeoutMin);
  // A leader that resumes after a pause may not propose.
  CHECK_FALSE(canPropose(state, sent + timing::ElectionTimeoutMin));
}

TEST_CASE("group that restarts after a power loss soon has a leader") {
  // Eight voters start within 435 ms. The fifth, which completes a quorum,
  // starts 202 ms after the first. Each withholds its vote for the minimum
  // election timeout after its start.
  const std::vector<Millis> starts{Millis(0),   Millis(53),  Millis(137),
                                   Millis(184), Millis(202), Millis(384),
                                   Millis(404), Millis(435)};
  Millis quorumMayVote =
      Millis(202) + timing::LowLatencyGroup.MinElectionTimeout;
  size_t late = 0;
  for (uint64_t seed = 1; seed <= 200; ++seed) {
    Millis time = RestartedGroup(starts, seed).timeToLeader();
    INFO("seed " << seed << " took " << time.count() << " ms");
    CHECK(time >= quorumMayVote);
    CHECK(time <= quorumMayVote + timing::LowLatencyGroup.MaxElectionTimeout);
    late += time > quorumMayVote + Millis(300);
  }
  // A split vote occurs now and then and takes another round.
  CHECK(late <= 10);
}

TEST_CASE("member that lacks an entry does not delay the election of one that "
          "has it") {
  // One of three members stays down, so both others are needed for a quorum.
  // The one with the lower identity lacks an entry and cannot win, whether it
  // requests pre-votes first or not.
  for (Millis delay : {Millis(0), Millis(200)}) {
    for (uint64_t seed = 1; seed <= 100; ++seed) {
      INFO("seed " << seed << " delay " << delay.count());
      Millis time = RestartedGroup({Millis(0), delay, Millis(60'000)}, seed, 2)
                        .timeToLeader();
      CHECK(time <= delay + timing::LowLatencyGroup.MinElectionTimeout +
                        timing::LowLatencyGroup.MaxElectionTimeout);
    }
  }
}
