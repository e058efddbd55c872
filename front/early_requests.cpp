#include "front/early_requests.h"

#include <utility>

namespace sassafras {

bool holdEarlyRequest(EarlyRequests &Early, EarlyRequest &Request,
                      TimePoint Now) {
  if (isPast(Early.HoldEnd, Now) || Early.Held.size() >= MaxEarlyRequests)
    return false;
  Early.Held.push_back(std::move(Request));
  return true;
}

std::deque<EarlyRequest> releaseEarlyRequests(EarlyRequests &Early,
                                              bool HasTable, TimePoint Now) {
  if (!HasTable && !isPast(Early.HoldEnd, Now))
    return {};
  return std::exchange(Early.Held, {});
}

bool dropEarlyRequest(EarlyRequests &Early, const HttpExchange *Exchange) {
  return std::erase_if(Early.Held, [&](const EarlyRequest &it) {
           return it.Exchange.get() == Exchange;
         }) > 0;
}

} // namespace sassafras
