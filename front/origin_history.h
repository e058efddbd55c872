/// \file
/// How far back a front knows at which services and software versions streams
/// can have begun.
///
/// Load pattern: engines and routes are replaced while fronts restart behind
/// them. That a front knows one version is a proof for a stream without a
/// record only if the front would know of any other since the stream began. A
/// front that has just started takes over what a peer knows.
#ifndef SASSAFRAS_FRONT_ORIGIN_HISTORY_H
#define SASSAFRAS_FRONT_ORIGIN_HISTORY_H

#include "front/front_state.h"

#include <set>
#include <string>

namespace sassafras {

/// An origin is kept for this long after the latest event that is known. No
/// stream lasts as long with the retries of its caller.
inline constexpr Millis StreamOriginLifetime{60'000};

/// Begins the history anew: earlier endpoints and routes may be unknown. Not
/// thread safe, as the other functions that change \p State.
void beginOriginHistory(FrontState &State, TimePoint Now);
/// The services at which streams of \p Route may begin. Pure.
std::set<std::string> listServices(const ServingRoute &Route);
/// Begins the history anew while a front that may be serving is out of view,
/// or after a pause of this process. Call at least once in NodeTimeout.
void checkOriginContact(FrontState &State, TimePoint Now);
/// Compares the routes of a table that is about to replace the one in force.
void recordRouteChanges(FrontState &State, const ServingTable &After,
                        TimePoint Now);
/// Applies the change of routes that another front has seen.
void applyHistory(FrontState &State, const wire::NodeHeartbeat &Heartbeat,
                  TimePoint Now);
/// Takes over the history of the sender of a whole update, unless it was meant
/// for an earlier process or the sender has another table.
void adoptHistory(FrontState &State, const wire::EndpointUpdate &Update,
                  TimePoint Now);

/// Adds the history of this front to a heartbeat. Thread safe while \p State
/// does not change, as the functions below.
void addHistory(const FrontState &State, TimePoint Now,
                wire::NodeHeartbeat &Out);
/// Adds the history to a whole update for the sender of \p Heartbeat.
void addHistory(const FrontState &State, const wire::NodeHeartbeat &Heartbeat,
                TimePoint Now, wire::EndpointUpdate &Out);
/// True if the sender of \p Heartbeat lacks history that this front has.
bool lacksHistory(const FrontState &State, const wire::NodeHeartbeat &Heartbeat,
                  TimePoint Now);
/// True if streams that may still be resumed cannot have begun at endpoints or
/// services that this front never knew.
bool isHistoryWhole(const FrontState &State, TimePoint Now);

} // namespace sassafras

#endif
