/// \file
/// Tests of the status of a replicated group while members come and go.
#include "replication/group_status.h"

#include <catch2/catch.hpp>

using namespace sassafras;

namespace {

const TimePoint Start{std::chrono::hours(1)};

wire::Member makeMember(uint64_t Identity, bool IsVoter = true) {
  wire::Member out;
  out.set_name("member-" + std::to_string(Identity));
  out.set_identity(Identity);
  out.set_voter(IsVoter);
  return out;
}

/// A leader of three voters with ten entries, all of them committed.
RaftState makeLeader() {
  RaftState state = makeBlankRaft({"member-1", 1, "a:1"}, {}, 7, Start);
  state.Role = RaftRole::Leader;
  state.Leader = 1;
  state.Term = 4;
  for (uint64_t i = 1; i <= 10; ++i) {
    wire::LogEntry entry;
    entry.set_term(4);
    entry.set_index(i);
    state.Entries.push_back(entry);
  }
  state.Commit = 10;
  state.LeaseEnd = Start + std::chrono::hours(1);
  for (uint64_t it : {1, 2, 3})
    state.Members.push_back(makeMember(it));
  for (uint64_t it : {2, 3})
    state.Peers[it] = {11, 10, 0, {}, Start};
  return state;
}

} // namespace

TEST_CASE("tolerated failures count only voters that are heard and have all "
          "committed entries") {
  struct Case {
    const char *Description;
    size_t Failures;
    std::function<void(RaftState &)> Change;
  };
  const Case cases[] = {
      {"all are in sync", 1, [](RaftState &) {}},
      {"one is silent", 0,
       [](RaftState &it) {
         it.Peers[3].HeardAt = Start - std::chrono::seconds(10);
       }},
      {"one lacks a committed entry", 0,
       [](RaftState &it) { it.Peers[3].MatchIndex = 9; }},
      {"one was replaced by a new identity that has not replied yet", 0,
       [](RaftState &it) { it.Members[2] = makeMember(9); }},
      {"a learner does not count", 1,
       [](RaftState &it) {
         it.Members.push_back(makeMember(4, false));
         it.Peers[4] = {11, 10, 0, {}, Start};
       }},
      {"five voters", 2,
       [](RaftState &it) {
         for (uint64_t i : {4, 5}) {
           it.Members.push_back(makeMember(i));
           it.Peers[i] = {11, 10, 0, {}, Start};
         }
       }},
      {"one is stopping", 0,
       [](RaftState &it) { it.Peers[3].IsStopping = true; }},
      {"four voters, one of them silent", 0,
       [](RaftState &it) { it.Members.push_back(makeMember(4)); }},
  };
  for (const Case &it : cases) {
    INFO(it.Description);
    RaftState state = makeLeader();
    it.Change(state);
    CHECK(countToleratedFailures(state, Start) == it.Failures);
  }
}

TEST_CASE("member without a leader says what it waits for") {
  RaftState state = makeLeader();
  CHECK(describeLeaderWait(state).empty());
  state.Role = RaftRole::Follower;
  state.Leader = 0;
  CHECK(describeLeaderWait(state) == "1 of these voters: member-2, member-3");
  // Members are listed by name, also if they joined in another order.
  std::swap(state.Members[1], state.Members[2]);
  CHECK(describeLeaderWait(state) == "1 of these voters: member-2, member-3");
  RaftState blank = makeBlankRaft({"member-1", 1, "a:1"}, {}, 7, Start);
  CHECK(describeLeaderWait(blank).find("data folder was empty") !=
        std::string::npos);
  // The member learned of a leader that failed before it added the member.
  blank.Leader = 3;
  CHECK(describeLeaderWait(blank).find("data folder was empty") !=
        std::string::npos);
}

// A member that returned with an empty data folder was added as a learner by a
// leader that failed before promoting it. The learner must notice the time-out
// and report what it waits for; it used to consider that leader alive for ever.
TEST_CASE("learner whose leader has failed says what it waits for") {
  RaftState state = makeLeader();
  state.Role = RaftRole::Follower;
  state.Leader = state.Members[1].identity();
  state.Members[0].set_voter(false);
  state.ElectionDeadline = Start + Millis(500);
  RaftEffects out;
  tickRaft(state, Start + Millis(400), out);
  CHECK(describeLeaderWait(state).empty());
  tickRaft(state, Start + Millis(600), out);
  CHECK(describeLeaderWait(state) ==
        "a leader to add it to the group; it has no vote yet");
  CHECK(state.Role == RaftRole::Follower);
}

TEST_CASE("member that has started to replace a lost voter waits for the other "
          "voters only") {
  RaftState state = makeLeader();
  state.Entries.back().mutable_command()->mutable_noop();
  wire::Envelope hello;
  hello.set_from("member-2");
  hello.set_reply_address("b:1");
  hello.mutable_blank_hello()->set_name("member-2");
  hello.mutable_blank_hello()->set_address("b:1");
  hello.mutable_blank_hello()->set_identity(22);
  hello.mutable_blank_hello()->set_is_blank(true);
  RaftEffects out;
  receiveRaft(state, hello, Start, out);
  // The leader steps down before the membership change is acknowledged.
  state.Role = RaftRole::Follower;
  state.Leader = 0;
  CHECK(describeLeaderWait(state) == "1 of these voters: member-3");
}
