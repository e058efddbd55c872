/// \file
/// Agreement on the initial configuration of a group by single-decree Paxos.
///
/// The acceptors are the seeds, with a disk or without: their addresses are the
/// only thing that all processes of a new fleet have in common. The proposers
/// are the hosts with an empty disk, which learn of each other from the seeds.
/// An acceptor keeps its promises in memory, so a process that has restarted
/// must not be one. docs/design/16 says why there is never a second group.
///
/// The functions do no input or output.
#ifndef SASSAFRAS_REPLICATION_FORMATION_H
#define SASSAFRAS_REPLICATION_FORMATION_H

#include "core/time.h"
#include "wire/inner.pb.h"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace sassafras {

/// A candidate counts as present this long after it was last heard.
inline constexpr Millis CandidateLifetime{1'000};
/// A group of fewer members than wanted forms when no further candidate has
/// been heard of for this long. Hosts of a new fleet start within 0.3 s of each
/// other; the rest is for slow starts.
inline constexpr Millis CandidateSettleTime{1'000};
/// The candidates propose one after another in the order of their names, so
/// that they rarely compete.
inline constexpr Millis ProposerDelay{300};
/// A round of proposals without a result is followed by another one after this
/// time at least.
inline constexpr Millis FormationRoundTime{300};

/// Number, and a value that is unique to the proposing process.
using FormationBallot = std::pair<uint64_t, uint64_t>;

/// State of a seed. Not thread safe.
struct FormationAcceptor {
  bool IsActive = false; ///< The process has not started before.
  FormationBallot Promised;
  FormationBallot Accepted;
  std::vector<wire::Member> AcceptedMembers;
  struct Candidate {
    wire::Member Member;
    TimePoint HeardAt;
  };
  std::map<std::string, Candidate> Candidates; ///< By name.
};

/// State of a blank member that may form the group. Not thread safe.
struct FormationProposer {
  size_t Quorum = 0;  ///< Number of seeds that decide.
  size_t Wanted = 0;  ///< Members that are enough for a group.
  uint64_t Nonce = 0; ///< Second part of its ballots.
  struct SeedAnswer {
    TimePoint HeardAt;
    std::vector<wire::Member> Candidates;
  };
  std::map<std::string, SeedAnswer> Seeds; ///< By address.
  std::set<uint64_t> KnownIdentities;
  TimePoint SettledAt;    ///< Candidates are complete unless more are heard of.
  TimePoint NextRound;    ///< Zero while there are too few seeds or candidates.
  FormationBallot Ballot; ///< Of the current round; zero for none.
  bool IsAccepting = false;      ///< In the second phase of the round.
  std::set<std::string> Granted; ///< Seeds that granted the current phase.
  FormationBallot NewestAccepted;
  std::vector<wire::Member> Members; ///< Proposed.
  uint64_t HighestNumber = 0;
};

/// Records the candidate of \p Request and handles its promise or proposal.
/// Returns the answer of the seed at \p Address, or nothing while the acceptor
/// is not active.
std::optional<wire::FormationReply>
answerFormation(FormationAcceptor &State, const wire::FormationRequest &Request,
                const std::string &Address, TimePoint Now);

/// Begins a round of proposals when enough candidates are known, or no more are
/// to come, and the seeds are heard.
void advanceFormation(FormationProposer &State, const wire::Member &Self,
                      std::mt19937_64 &Random, TimePoint Now);
/// Number of seeds that have answered recently. Pure and thread safe.
size_t countHeardSeeds(const FormationProposer &State, TimePoint Now);
/// The message for all seeds in the current phase. Repeat it until the phase
/// has ended.
wire::FormationRequest makeFormationRequest(const FormationProposer &State,
                                            const wire::Member &Self);
/// Handles the answer of a seed. Returns the initial configuration once it is
/// decided; it need not contain this member. \p IsNextPhase is set when the
/// second phase begins and its request is to be sent.
std::optional<std::vector<wire::Member>>
receiveFormationReply(FormationProposer &State,
                      const wire::FormationReply &Reply, bool &IsNextPhase,
                      TimePoint Now);

} // namespace sassafras

#endif
