#include "replication/group_status.h"

#include <algorithm>
#include <set>
#include <string>

namespace sassafras {

namespace {

wire::MemberStatus describeMember(const RaftState &State,
                                  const wire::Member &Member, TimePoint Now) {
  wire::MemberStatus out;
  *out.mutable_member() = Member;
  if (Member.identity() == State.Self.Identity) {
    out.set_is_heard(true);
    return out;
  }
  auto peer = State.Peers.find(Member.identity());
  if (peer == State.Peers.end() || peer->second.HeardAt == TimePoint()) {
    out.set_missing(lastIndex(State));
    return out;
  }
  Clock::duration silence = Now - peer->second.HeardAt;
  out.set_silent_ms(toMillis(silence));
  out.set_is_heard(silence < State.Self.Timing.MaxElectionTimeout);
  out.set_missing(lastIndex(State) -
                  std::min(lastIndex(State), peer->second.MatchIndex));
  out.set_is_stopping(peer->second.IsStopping);
  return out;
}

/// True if \p Member could vote at once for a leader that holds all
/// acknowledged entries: it is a voter, is heard, is not stopping and has all
/// committed entries.
bool isInSync(const RaftState &State, const wire::MemberStatus &Member) {
  return Member.member().voter() && Member.is_heard() &&
         !Member.is_stopping() &&
         lastIndex(State) - Member.missing() >= State.Commit;
}

size_t countVoters(const RaftState &State) {
  size_t n = 0;
  for (const wire::Member &it : State.Members)
    n += it.voter();
  return n;
}

/// True if this member is a voter in the newest configuration that it knows.
bool hasVote(const RaftState &State) {
  return std::any_of(
      State.Members.begin(), State.Members.end(), [&](const wire::Member &it) {
        return it.voter() && it.identity() == State.Self.Identity;
      });
}

} // namespace

size_t countToleratedFailures(const RaftState &State, TimePoint Now) {
  size_t inSync = 0;
  for (const wire::Member &it : State.Members)
    inSync += isInSync(State, describeMember(State, it, Now));
  size_t quorum = countVoters(State) / 2 + 1;
  return inSync > quorum ? inSync - quorum : 0;
}

std::string describeFormation(const RaftState &State, TimePoint Now) {
  if (State.Role != RaftRole::Blank || !State.MayForm)
    return {};
  const FormationProposer &proposer = State.Proposer;
  return "the first group: " + std::to_string(countHeardSeeds(proposer, Now)) +
         " seeds are heard and " + std::to_string(proposer.Quorum) + " of " +
         std::to_string(State.SeedAddresses.size()) + " decide; " +
         std::to_string(proposer.KnownIdentities.size()) +
         " hosts with an empty data folder are known";
}

std::string describeLeaderWait(const RaftState &State) {
  // A blank member learns of leaders, but follows none until one has added it
  // to the group.
  if (State.Role == RaftRole::Blank)
    return "a leader to add it to the group; its data folder was empty";
  if (State.Leader != 0)
    return {};
  if (!hasVote(State))
    return "a leader to add it to the group; it has no vote yet";
  // Sorted by name, since the order of members is that in which they joined.
  std::set<std::string> names;
  for (const wire::Member &it : State.Members)
    if (it.voter() && it.identity() != State.Self.Identity)
      names.insert(it.name());
  std::string list;
  for (const std::string &it : names)
    list += (list.empty() ? "" : ", ") + it;
  return std::to_string(countVoters(State) / 2) + " of these voters: " + list;
}

void fillGroupStatus(const RaftState &State, TimePoint Now,
                     wire::StatusReply &Out) {
  Out.set_is_leader(canPropose(State, Now));
  Out.set_leader_address(leaderAddress(State));
  Out.set_term(State.Term);
  std::string waitsFor = describeLeaderWait(State);
  if (std::string formation = describeFormation(State, Now); !formation.empty())
    waitsFor += ", or for " + formation;
  Out.set_waits_for(waitsFor);
  for (const wire::Member &it : State.Members)
    *Out.add_members() = it;
  if (!Out.is_leader())
    return;
  for (const wire::Member &it : State.Members)
    *Out.add_member_states() = describeMember(State, it, Now);
  Out.set_losses_borne(
      static_cast<uint32_t>(countToleratedFailures(State, Now)));
}

} // namespace sassafras
