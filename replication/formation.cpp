#include "replication/formation.h"

#include <algorithm>

namespace sassafras {

namespace {

FormationBallot readBallot(const wire::FormationBallot &Ballot) {
  return {Ballot.number(), Ballot.proposer()};
}

void writeBallot(const FormationBallot &Ballot, wire::FormationBallot *Out) {
  Out->set_number(Ballot.first);
  Out->set_proposer(Ballot.second);
}

bool isHeard(const FormationProposer::SeedAnswer &Answer, TimePoint Now) {
  return Now - Answer.HeardAt < CandidateLifetime;
}

/// The candidates that the seeds have heard recently, by name.
std::vector<wire::Member> listCandidates(const FormationProposer &State,
                                         TimePoint Now) {
  std::map<std::string, wire::Member> byName;
  for (const auto &[address, it] : State.Seeds)
    if (isHeard(it, Now))
      for (const wire::Member &candidate : it.Candidates)
        byName[candidate.name()] = candidate;
  std::vector<wire::Member> out;
  for (const auto &[name, it] : byName)
    out.push_back(it);
  return out;
}

} // namespace

size_t countHeardSeeds(const FormationProposer &State, TimePoint Now) {
  size_t n = 0;
  for (const auto &[address, it] : State.Seeds)
    n += isHeard(it, Now);
  return n;
}

std::optional<wire::FormationReply>
answerFormation(FormationAcceptor &State, const wire::FormationRequest &Request,
                const std::string &Address, TimePoint Now) {
  if (!State.IsActive)
    return std::nullopt;
  State.Candidates[Request.candidate().name()] = {Request.candidate(), Now};
  std::erase_if(State.Candidates, [&](const auto &it) {
    return Now - it.second.HeardAt >= CandidateLifetime;
  });
  FormationBallot ballot = readBallot(Request.ballot());
  bool isGranted = ballot.first > 0 && ballot >= State.Promised;
  if (isGranted) {
    State.Promised = ballot;
    if (Request.members_size() > 0) {
      State.Accepted = ballot;
      State.AcceptedMembers.assign(Request.members().begin(),
                                   Request.members().end());
    }
  }
  wire::FormationReply reply;
  reply.set_seed(Address);
  *reply.mutable_ballot() = Request.ballot();
  reply.set_is_granted(isGranted);
  writeBallot(State.Promised, reply.mutable_promised());
  writeBallot(State.Accepted, reply.mutable_accepted());
  for (const wire::Member &it : State.AcceptedMembers)
    *reply.add_accepted_members() = it;
  for (const auto &[name, it] : State.Candidates)
    *reply.add_candidates() = it.Member;
  return reply;
}

void advanceFormation(FormationProposer &State, const wire::Member &Self,
                      std::mt19937_64 &Random, TimePoint Now) {
  std::vector<wire::Member> candidates = listCandidates(State, Now);
  std::set<uint64_t> identities;
  for (const wire::Member &it : candidates)
    identities.insert(it.identity());
  bool isComplete =
      State.Quorum > 0 && countHeardSeeds(State, Now) >= State.Quorum;
  if (!isComplete || identities != State.KnownIdentities)
    State.SettledAt = Now + CandidateSettleTime;
  State.KnownIdentities = std::move(identities);
  isComplete =
      isComplete && State.KnownIdentities.contains(Self.identity()) &&
      (candidates.size() >= State.Wanted || isPast(State.SettledAt, Now));
  if (!isComplete) {
    State.NextRound = TimePoint();
    return;
  }
  if (State.NextRound == TimePoint()) {
    auto before =
        std::count_if(candidates.begin(), candidates.end(),
                      [&](const auto &it) { return it.name() < Self.name(); });
    State.NextRound = Now + before * ProposerDelay;
  }
  if (!isPast(State.NextRound, Now))
    return;
  std::uniform_int_distribution<int64_t> spread(0, FormationRoundTime.count());
  State.NextRound = Now + FormationRoundTime + Millis(spread(Random));
  State.Ballot = {++State.HighestNumber, State.Nonce};
  State.IsAccepting = false;
  State.Granted.clear();
  State.NewestAccepted = {};
  State.Members = std::move(candidates);
}

wire::FormationRequest makeFormationRequest(const FormationProposer &State,
                                            const wire::Member &Self) {
  wire::FormationRequest request;
  *request.mutable_candidate() = Self;
  writeBallot(State.Ballot, request.mutable_ballot());
  if (State.IsAccepting)
    for (const wire::Member &it : State.Members)
      *request.add_members() = it;
  return request;
}

std::optional<std::vector<wire::Member>>
receiveFormationReply(FormationProposer &State,
                      const wire::FormationReply &Reply, bool &IsNextPhase,
                      TimePoint Now) {
  IsNextPhase = false;
  State.Seeds[Reply.seed()] = {
      Now, {Reply.candidates().begin(), Reply.candidates().end()}};
  State.HighestNumber =
      std::max(State.HighestNumber, Reply.promised().number());
  if (State.Ballot.first == 0 || readBallot(Reply.ballot()) != State.Ballot ||
      !Reply.is_granted())
    return std::nullopt;
  FormationBallot accepted = readBallot(Reply.accepted());
  // A late answer to the first phase does not count for the second one.
  if (State.IsAccepting && accepted != State.Ballot)
    return std::nullopt;
  State.Granted.insert(Reply.seed());
  if (!State.IsAccepting && accepted > State.NewestAccepted) {
    State.NewestAccepted = accepted;
    State.Members.assign(Reply.accepted_members().begin(),
                         Reply.accepted_members().end());
  }
  if (State.Granted.size() < State.Quorum)
    return std::nullopt;
  State.Granted.clear();
  if (State.IsAccepting)
    return State.Members;
  State.IsAccepting = true;
  IsNextPhase = true;
  return std::nullopt;
}

} // namespace sassafras
