/// \file
/// Software versions of the endpoints that began streams.
///
/// Load pattern: endpoints of several software versions serve side by side. A
/// stream may go on only at the version that began it, and its caller may take
/// it up again at any front, also after the one that began it was killed. Each
/// front records the version of a stream at two fronts of different zones
/// before it forwards the first event. A front that does not know a stream
/// asks; callers resume rarely, so that this costs less than telling all
/// fronts of each stream. A stream that nobody has a record of goes on only if
/// it can have begun at one service and version (front/origin_history.h).
#ifndef SASSAFRAS_FRONT_STREAM_ORIGINS_H
#define SASSAFRAS_FRONT_STREAM_ORIGINS_H

#include "front/admission.h"
#include "front/fleet_view.h"
#include "front/front_state.h"
#include "front/origin_history.h"

#include <optional>
#include <string>
#include <variant>

namespace sassafras {

/// Replies to a query arrive within this time: a round trip, with a margin for
/// a slow host.
inline constexpr Millis OriginQueryTimeout{250};
/// Limit of the origins that one front keeps.
inline constexpr size_t MaxStreamOrigins = 50'000;

/// Records the endpoint that is about to bring the first event of \p Request
/// and appends the record for the fronts that keep it. Sets the version that
/// the stream may go on at. False if the stream must not go on with this
/// endpoint: another process has taken its place, of another version. Not
/// thread safe.
bool recordStreamOrigin(FrontState &State, FrontRequest &Request,
                        const std::string &Endpoint, TimePoint Now,
                        NodeMessages &Out);
/// Decides where a resumed stream may go on: sets the service and the version
/// of \p Request. Returns a refusal, or a time to wait for replies; nothing if
/// the request can be dispatched. Appends queries. Not thread safe.
std::optional<std::variant<TimePoint, FrontRefusal>>
resolveStreamOrigin(FrontState &State, FrontRequest &Request, TimePoint Now,
                    NodeMessages &Out);
/// True if \p Endpoint may serve \p Request by its version. Thread safe while
/// nothing changes.
bool matchesStream(const FrontState &State, const FrontRequest &Request,
                   const KnownEndpoint &Endpoint);
/// True if an endpoint that serves now has the version of \p Request's stream.
/// Thread safe while \p State does not change.
bool isStreamVersionServing(const FrontState &State,
                            const FrontRequest &Request, TimePoint Now);
/// Logs that \p Request, whose caller has events already, is sent to
/// \p Endpoint, with what the choice rests on. Not thread safe.
void logStreamResumption(const FrontState &State, const FrontRequest &Request,
                         const std::string &Endpoint, TimePoint Now);
/// Keeps the origins that another front recorded. Not thread safe.
void handleStreamOrigins(FrontState &State, const wire::StreamOrigins &Origins,
                         TimePoint Now);
/// Answers another front. Thread safe while \p State does not change.
wire::StreamOriginReply answerOriginQuery(const FrontState &State,
                                          const wire::StreamOriginQuery &Query,
                                          TimePoint Now);
/// Applies the answer of the front named \p From. Not thread safe.
void handleOriginReply(FrontState &State, const std::string &From,
                       const wire::StreamOriginReply &Reply, TimePoint Now);
/// Appends the origins that were recorded while too few other fronts were
/// known, if there are more of them now. Not thread safe.
void shareStreamOrigins(FrontState &State, TimePoint Now, NodeMessages &Out);
/// Appends all origins for other fronts: this one stops. Not thread safe.
void handOverStreamOrigins(FrontState &State, TimePoint Now, NodeMessages &Out);
/// Forgets origins and queries that have ended. Not thread safe.
void expireStreamOrigins(FrontState &State, TimePoint Now);

} // namespace sassafras

#endif
