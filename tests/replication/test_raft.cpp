/// \file
/// Rules of the quorum log that a member keeps by itself.
#include "core/timing.h"
#include "replication/raft.h"

#include <catch2/catch.hpp>

using namespace sassafras;

namespace {

const TimePoint Start = TimePoint() + std::chrono::hours(1);

wire::Snapshot threeMembers() {
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

RaftState restored(const wire::HardState &HardState, TimePoint Now) {
  return restoreRaft({"c1", 1, "c1"}, {"c1", "c2", "c3"}, threeMembers(),
                     HardState, {}, 1, Now);
}

wire::Envelope voteRequest(uint64_t Term, uint64_t Candidate) {
  wire::Envelope message;
  wire::VoteRequest &request = *message.mutable_vote_request();
  request.set_term(Term);
  request.set_candidate(Candidate);
  request.set_last_index(9);
  request.set_last_term(9);
  return message;
}

bool isGranted(const RaftEffects &Effects) {
  for (const RaftEffect &it : Effects)
    if (auto *send = std::get_if<RaftSend>(&it))
      if (send->Message.vote_reply().granted())
        return true;
  return false;
}

bool grants(RaftState &State, const wire::Envelope &Request, TimePoint Now) {
  RaftEffects out;
  receiveRaft(State, Request, Now, out);
  return isGranted(out);
}

const TimePoint Free = Start + timing::ElectionMin;

} // namespace

TEST_CASE("member votes once a term, across its restart too") {
  RaftState state = restored({}, Start);
  RaftEffects out;
  receiveRaft(state, voteRequest(3, 2), Free, out);
  REQUIRE(isGranted(out));
  // The vote is persisted before the answer leaves.
  wire::HardState last;
  for (const RaftEffect &it : out) {
    if (auto *record = std::get_if<PersistRecord>(&it))
      last = record->Record.hard_state();
    if (std::holds_alternative<RaftSend>(it))
      CHECK(last.voted_for() == 2);
  }
  CHECK_FALSE(grants(state, voteRequest(3, 3), Free));
  RaftState again = restored(last, Start);
  CHECK_FALSE(grants(again, voteRequest(3, 3), Free));
  CHECK(grants(again, voteRequest(3, 2), Free));
}

TEST_CASE("empty folder never votes and takes no entries") {
  RaftState state =
      makeBlankRaft({"c1", 1, "c1"}, {"c1", "c2", "c3"}, 1, Start);
  RaftEffects out;
  receiveRaft(state, voteRequest(3, 2), Free, out);
  CHECK(out.empty());
  wire::Envelope message;
  message.mutable_append_request()->set_target(1);
  message.mutable_append_request()->set_term(3);
  receiveRaft(state, message, Free, out);
  REQUIRE(out.size() == 1);
  CHECK_FALSE(std::get<RaftSend>(out[0]).Message.append_reply().success());
  CHECK(state.Entries.empty());
}

TEST_CASE("member that heard from a leader, or restarted, helps no rival") {
  RaftState state = restored({}, Start);
  CHECK_FALSE(grants(state, voteRequest(3, 2), Free - Millis(1)));
  wire::Envelope append;
  append.mutable_append_request()->set_term(1);
  append.mutable_append_request()->set_leader(2);
  append.mutable_append_request()->set_target(1);
  append.mutable_append_request()->set_previous_index(1);
  append.mutable_append_request()->set_previous_term(1);
  RaftEffects out;
  receiveRaft(state, append, Free, out);
  TimePoint end = Free + timing::ElectionMin;
  CHECK_FALSE(grants(state, voteRequest(3, 3), end - Millis(1)));
  wire::Envelope transfer = voteRequest(3, 3);
  transfer.mutable_vote_request()->set_transfer(true);
  CHECK(grants(state, transfer, end - Millis(1)));
}

TEST_CASE("leader's lease ends before a voter may help a rival") {
  RaftState state = restored({}, Start);
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
  // However late the answer is, the lease counts from the sending.
  now += Millis(1000);
  receiveRaft(state, reply, now, out);
  CHECK(hasLease(state, sent + timing::LeaderLease - Millis(1)));
  CHECK_FALSE(hasLease(state, sent + timing::LeaderLease));
  CHECK(timing::LeaderLease < timing::ElectionMin);
  // A frozen leader that wakes may not propose.
  CHECK_FALSE(canPropose(state, sent + timing::ElectionMin));
}
