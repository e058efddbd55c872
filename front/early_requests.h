/// \file
/// Holds requests that arrive before this front has a serving table.
///
/// Load pattern: after a power loss of the whole fleet, callers reconnect some
/// tenths of a second before the table is available. Most of them have one
/// attempt left, so a refusal would be final.
#ifndef SASSAFRAS_FRONT_EARLY_REQUESTS_H
#define SASSAFRAS_FRONT_EARLY_REQUESTS_H

#include "core/time.h"
#include "http/message.h"

#include <deque>
#include <memory>

namespace sassafras {

class HttpExchange;

/// Time in which a front learns the table after its start: first messages to
/// the seeds, one reconnection, and the reply.
inline constexpr Millis TableLearnTimeout{1'500};
/// Limit of requests held at once; each keeps its body in memory.
inline constexpr size_t MaxEarlyRequests = 300;

struct EarlyRequest {
  HttpRequest Message;
  std::shared_ptr<HttpExchange> Exchange;
  TimePoint ArrivedAt;
};

struct EarlyRequests {
  TimePoint HoldEnd; ///< From this time on, no request is held.
  std::deque<EarlyRequest> Held;
};

/// Holds a request that arrived at \p Now. Returns false and leaves \p Request
/// unchanged after HoldEnd or when MaxEarlyRequests are held. Not thread safe.
bool holdEarlyRequest(EarlyRequests &Early, EarlyRequest &Request,
                      TimePoint Now);
/// Removes and returns all held requests in order of arrival, once the table is
/// known or HoldEnd has passed; before that returns none. Not thread safe.
std::deque<EarlyRequest> releaseEarlyRequests(EarlyRequests &Early,
                                              bool HasTable, TimePoint Now);
/// Drops the request of a caller that disconnected. Returns false when it is
/// not held. Not thread safe.
bool dropEarlyRequest(EarlyRequests &Early, const HttpExchange *Exchange);

} // namespace sassafras

#endif
