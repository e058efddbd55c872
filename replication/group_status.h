/// \file
/// What an operator needs to know of a replicated group: who counts, who is
/// heard, and how many more losses it bears now.
#ifndef SASSAFRAS_REPLICATION_GROUP_STATUS_H
#define SASSAFRAS_REPLICATION_GROUP_STATUS_H

#include "replication/raft.h"

namespace sassafras {

/// Fills in the group's part of \p Out: leader, term, members. The leader
/// adds what it knows of each member and the losses that are borne; a member
/// without a leader adds what it waits for.
void fillGroupStatus(const RaftState &State, TimePoint Now,
                     wire::StatusReply &Out);
/// Voters that may be lost now, those that are silent or lack committed
/// entries counted as lost already. Leader only.
size_t lossesBorne(const RaftState &State, TimePoint Now);
/// What a member without a leader waits for, or empty when it has one.
std::string describeLeaderWait(const RaftState &State);

} // namespace sassafras

#endif
