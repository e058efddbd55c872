/// \file
/// Requests that came before this front knew the table.
///
/// Load pattern: everything loses power at once, and callers are back some
/// tenths of a second before the table is. Most of them have one try left: a
/// refusal would be their last answer.
#ifndef SASSAFRAS_FRONT_EARLY_REQUESTS_H
#define SASSAFRAS_FRONT_EARLY_REQUESTS_H

#include "core/time.h"
#include "http/message.h"

#include <deque>
#include <memory>

namespace sassafras {

class HttpExchange;

/// A front that has just started learns the table within this: its first
/// messages to the seeds, a connection made anew, and the answer.
inline constexpr Millis TableLearnTimeout{1'500};
/// Requests held at once; each keeps its body in memory.
inline constexpr size_t MostEarlyRequests = 300;

struct EarlyRequest {
  HttpRequest Message;
  std::shared_ptr<HttpExchange> Exchange;
  TimePoint ArrivedAt;
};

struct EarlyRequests {
  TimePoint HoldEnd; ///< From then on nothing is held.
  std::deque<EarlyRequest> Held;
};

/// Keeps a request that came at \p Now. False, with \p Request as it was, when
/// it is to be refused. Not thread safe.
bool holdEarlyRequest(EarlyRequests &Early, EarlyRequest &Request,
                      TimePoint Now);
/// All that are held, in the order in which they came, when the table is there
/// or nothing is held any more; else nothing. Not thread safe.
std::deque<EarlyRequest> releaseEarlyRequests(EarlyRequests &Early,
                                              bool HasTable, TimePoint Now);
/// The caller is gone. False when its request is not held. Not thread safe.
bool dropEarlyRequest(EarlyRequests &Early, const HttpExchange *Exchange);

} // namespace sassafras

#endif
