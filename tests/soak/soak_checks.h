/// \file
/// Checks of a soak run's records; each returns one line for each violation.
/// Pure functions.
#ifndef SASSAFRAS_TESTS_SOAK_SOAK_CHECKS_H
#define SASSAFRAS_TESTS_SOAK_SOAK_CHECKS_H

#include "tests/soak/soak_records.h"

namespace sassafras {

/// Reads the journal of an engine process (see run_engine.cpp).
std::vector<EngineRun> readEngineJournal(const std::string &Path,
                                         const std::string &Engine);

/// Requests that a front had read and whose connection it ended without a
/// complete response, where neither a fault nor the engine explains it.
std::vector<std::string> findLostRequests(const SoakRecords &Records);

/// Streams with events that are missing, repeated or of runs that do not go on
/// from each other, and those that end as complete before their last event.
std::vector<std::string> findDisorder(const SoakRecords &Records);

/// Streams that hold, over all requests that resume them, events of more than
/// one service or software version.
std::vector<std::string> findJoinedVersions(const SoakRecords &Records);

/// Number of requests that resumed a stream after an event, of those that were
/// refused, and of those refused for each reason that concerns versions.
std::map<std::string, uint64_t> countResumptions(const SoakRecords &Records);

/// Responses of another request or without seal, requests that ran more often
/// than they may, and refused ones that ran.
std::vector<std::string> findUntrueResponses(const SoakRecords &Records);

/// One line for each request, for a trace by hand.
std::string describe(const CallerRecord &Request, const SoakRecords &Records);

} // namespace sassafras

#endif
