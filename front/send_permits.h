/// \file
/// Permits to send requests to endpoints that state a request limit.
///
/// Load pattern: see policy/send_pace.h. Every send to such an endpoint needs a
/// permit: first sends, retries and resumed streams alike. The leader assigns
/// the slots; while it does not answer, a front uses its own part of the limit.
#ifndef SASSAFRAS_FRONT_SEND_PERMITS_H
#define SASSAFRAS_FRONT_SEND_PERMITS_H

#include "front/endpoint_statements.h"

#include <string>
#include <vector>

namespace sassafras {

/// The leader's reply to a permit request arrives within this time: a round
/// trip, with a margin for a slow host.
inline constexpr Millis PermitRequestTimeout{180};
/// After a request without a reply a front uses its own part of the limits for
/// this long before it asks again.
inline constexpr Millis PermitBackoff{500};
/// A permit that is not used within this time after its slot is given up.
inline constexpr Millis PermitLifetime{300};
/// Permits are asked for at most this many waiting requests at once.
inline constexpr uint32_t MaxPermitsPerRequest = 8;
/// Limit of how far ahead the leader assigns slots.
inline constexpr Millis MaxPermitHorizon{1'500};

/// Whether a request may be sent to an endpoint now.
enum class SendPermission {
  Open,   ///< No limit, or there is a permit.
  Asking, ///< Permits can be asked for, or a reply is due.
  Closed, ///< Not before a later time.
};

/// Permission to send to \p Endpoint. Not thread safe.
SendPermission checkPermission(FrontState &State, const KnownEndpoint &Endpoint,
                               TimePoint Now);
/// True if \p Endpoint states a limit and a permit to send to it is held.
/// Thread safe while \p State does not change.
bool holdsPermit(const FrontState &State, const std::string &Endpoint,
                 TimePoint Now);
/// Time until a closed endpoint may be open or asked for.
Millis timeUntilPermission(const FrontState &State, const std::string &Endpoint,
                           TimePoint Now);
/// Uses up a permit for \p Endpoint if it states a limit. Not thread safe.
void takePermit(FrontState &State, const std::string &Endpoint, TimePoint Now);
/// Asks the leader for permits for \p Count requests that may go to any of
/// \p Endpoints and of which the first can wait until \p Latest. Nothing while
/// a request for one of them is unanswered, or if as many permits are held.
/// Not thread safe.
std::optional<wire::SendPermitRequest>
requestPermits(FrontState &State,
               const std::vector<const KnownEndpoint *> &Endpoints,
               size_t Count, TimePoint Latest, TimePoint Now);
/// Applies the leader's reply. Ignores one of an older term, and one that came
/// after the request was given up. Not thread safe.
void applyPermits(FrontState &State, const wire::SendPermitReply &Reply,
                  TimePoint Now);
/// True if a held permit has become valid since the last call. Not thread safe.
bool hasNewPermit(FrontState &State, TimePoint Now);
/// Gives up permits that were not used, and requests without a reply. Returns
/// the number of permits given up. Not thread safe.
size_t expirePermits(FrontState &State, TimePoint Now);

} // namespace sassafras

#endif
