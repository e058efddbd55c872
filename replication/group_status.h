/// \file
/// Status of a replicated group for operators: its members, which of them
/// reply, and how many more voters may fail without loss of the quorum.
#ifndef SASSAFRAS_REPLICATION_GROUP_STATUS_H
#define SASSAFRAS_REPLICATION_GROUP_STATUS_H

#include "replication/raft.h"

namespace sassafras {

/// Sets the fields of \p Out that describe the group: leader, term, members.
/// The leader adds the state of each member and the number of tolerated
/// failures; a member without a leader adds what it waits for.
void fillGroupStatus(const RaftState &State, TimePoint Now,
                     wire::StatusReply &Out);
/// Returns how many more voters may fail now. Voters that are silent or lack
/// committed entries count as failed already. Precondition: this member leads.
size_t countToleratedFailures(const RaftState &State, TimePoint Now);
/// Returns what a member without a leader waits for, or an empty string if it
/// has a leader.
std::string describeLeaderWait(const RaftState &State);
/// Returns what the first group of a new fleet waits for; empty for a member
/// that may not form it. Pure and thread safe.
std::string describeFormation(const RaftState &State, TimePoint Now);

} // namespace sassafras

#endif
