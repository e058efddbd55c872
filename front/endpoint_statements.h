/// \file
/// What endpoints state of themselves in their answers, kept the same at all
/// fronts.
///
/// Load pattern: a front sees the answers of an endpoint every few seconds, and
/// the endpoint expects all fronts to know what it told one of them. A changed
/// statement is sent to all fronts at once, through the relays of other zones;
/// one that missed it learns it from the next heartbeat with another digest,
/// and the agents of engines report it too. A statement ends when the endpoint
/// states otherwise or starts again.
///
/// Load pattern: a zone of endpoints returns at once, cold, while callers wait
/// for it at all fronts. That an endpoint is cold is a statement with an end of
/// its own. A process that has started but is not yet known counts as cold.
#ifndef SASSAFRAS_FRONT_ENDPOINT_STATEMENTS_H
#define SASSAFRAS_FRONT_ENDPOINT_STATEMENTS_H

#include "front/fleet_view.h"
#include "front/front_state.h"

#include <optional>
#include <string>

namespace sassafras {

/// A statement that another front made may replace the end of one only if it is
/// newer by this much, so that two fronts never restore for each other what has
/// ended.
inline constexpr Millis StatementMargin{500};
/// An announcement may be late by this much: one that was heard sooner after an
/// endpoint may have become cold does not say that it is warm.
inline constexpr Millis SuspicionMargin{2'500};
/// An ended statement is remembered for this long, against late notices.
inline constexpr Millis EndedStatementRetention{10'000};

/// Longest cold time that is believed at once; one that lasts longer is stated
/// again.
inline constexpr Millis LongestColdTime{60'000};

/// Request limit that \p Endpoint states, per second over all fronts; nothing
/// if there is none. Thread safe while \p State does not change.
std::optional<double> statedLimitOf(const FrontState &State,
                                    const KnownEndpoint &Endpoint);
/// Time for which \p Endpoint stays cold, as it stated or because a new process
/// may run there; 0 if it is warm. Thread safe while \p State does not change.
Millis coldTimeLeft(const FrontState &State, const KnownEndpoint &Endpoint,
                    TimePoint Now);
/// Request limit of \p Endpoint while it is cold; nothing if its service states
/// none. Thread safe while \p State does not change.
std::optional<double> coldPaceOf(const FrontState &State,
                                 const KnownEndpoint &Endpoint);
/// Request limit of \p Endpoint because it is cold; nothing if it is warm or
/// its service states no rate for cold endpoints. Thread safe while \p State
/// does not change.
std::optional<double> coldLimitOf(const FrontState &State,
                                  const KnownEndpoint &Endpoint, TimePoint Now);
/// Request limit in force for \p Endpoint, per second over all fronts: the
/// lower one of the two above. Nothing if there is none. Thread safe while
/// \p State does not change.
std::optional<double> requestLimitOf(const FrontState &State,
                                     const KnownEndpoint &Endpoint,
                                     TimePoint Now);
/// True while new requests may be sent to \p Endpoint, within its limit: it is
/// usable, its zone is not evacuated and it has not stated that it leaves.
/// Thread safe while \p State does not change.
bool takesRequests(const FrontState &State, const KnownEndpoint &Endpoint,
                   TimePoint Now);
/// End of the pause that \p Endpoint asked this front for; in the past if there
/// is none. Thread safe while \p State does not change.
TimePoint pauseEndOf(const FrontState &State, const KnownEndpoint &Endpoint);
/// Records that \p Endpoint stated in an answer that it leaves. Not thread
/// safe.
void recordLeaving(FrontState &State, const std::string &Endpoint,
                   TimePoint Now);
/// Records that \p Endpoint turned a request of this front away and wants no
/// other one for \p Pause. Other fronts are not told. Not thread safe.
void recordPause(FrontState &State, const std::string &Endpoint, Millis Pause,
                 TimePoint Now);
/// Records the limit, or that there is none, in an answer of \p Endpoint to a
/// request that was sent at \p SentAt. Only an answer to a request sent after a
/// limit was stated ends it: others may have been on their way. Not thread
/// safe.
void recordStatedLimit(FrontState &State, const std::string &Endpoint,
                       std::optional<double> Limit, TimePoint SentAt,
                       TimePoint Now);
/// Records that \p Endpoint stated in an answer that it stays cold for \p Left.
/// Not thread safe.
void recordStatedCold(FrontState &State, const std::string &Endpoint,
                      Millis Left, TimePoint Now);
/// Records that \p Endpoint may have become cold without having said so. It
/// counts as cold for the time that its service's table gives, until it states
/// otherwise SuspicionMargin later. Other fronts are not told. Not thread safe.
void recordSuspectedCold(FrontState &State, const std::string &Endpoint,
                         TimePoint Now);
/// Applies an observation to the directory, and what it says of being cold.
/// \p IsOwn: the endpoint announced itself here, so that the other fronts are
/// to be told if it has become cold. Not thread safe.
ObservationResult
recordObservation(FrontState &State,
                  const wire::EndpointObservation &Observation, bool IsOwn,
                  TimePoint Now);
/// Records that the engine at \p Address answers its agent again: where it is
/// not stated which process that is, it may be a new one. Not thread safe.
void recordRegainedEngine(FrontState &State, const wire::EngineReport &Report,
                          TimePoint Now);
/// Number of endpoints that are cold. Thread safe while \p State does not
/// change.
size_t countColdEndpoints(const FrontState &State, TimePoint Now);
/// Records what the agent of the engine at the report's address read. Not
/// thread safe.
void recordReportedStatements(FrontState &State,
                              const wire::EngineReport &Report, TimePoint Now);
/// Appends the changed statements for the other fronts. Not thread safe.
void flushStatements(FrontState &State, TimePoint Now, NodeMessages &Out);
/// Applies the statements that another front received. A message to be passed
/// on is appended to \p Out for the fronts of the own zone. Not thread safe.
void handleStatements(FrontState &State, const wire::EndpointStatements &Update,
                      TimePoint Now, NodeMessages &Out);
/// All statements in force. Thread safe while \p State does not change.
wire::EndpointStatements makeStatements(const FrontState &State, TimePoint Now);
/// Digest of the statements in force; equal at fronts with the same knowledge,
/// and 0 if there are none. Thread safe while \p State does not change.
uint64_t digestStatements(const FrontState &State);
/// Removes statements that have ended or whose endpoint is forgotten.
void expireStatements(FrontState &State, TimePoint Now);

} // namespace sassafras

#endif
