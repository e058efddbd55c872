/// \file
/// Decides which events of a stream reach the caller, so that it gets each of
/// them once and in order.
///
/// Load pattern: endpoints break off streams, and others go on with them by the
/// id of the last event that was forwarded. One that does not go on there
/// starts over, leaves events out or sends another stream.
#ifndef SASSAFRAS_FRONT_EVENT_ORDER_H
#define SASSAFRAS_FRONT_EVENT_ORDER_H

#include <cstdint>
#include <optional>
#include <string_view>

namespace sassafras {

enum class EventVerdict {
  Forward,
  Drop, ///< The caller has the event.
  Broken,
};

enum class OrderBreak {
  None,
  Repeated,     ///< An id came twice.
  Backwards,    ///< An id is lower than the one before it.
  Gap,          ///< Events are missing.
  NotContinued, ///< The end came before the last event that the caller has.
};

/// Name of \p Break in metrics and logs.
std::string_view nameOf(OrderBreak Break);

/// How the ids of a stream grow.
enum class EventNumbering { Unknown, OneByOne, OtherSteps };

/// State of one stream over its exchanges.
struct EventOrder {
  EventNumbering Numbering = EventNumbering::Unknown;
  OrderBreak Break = OrderBreak::None;
  /// Of this exchange.
  std::optional<uint64_t> LastHad; ///< The caller had it before.
  std::optional<uint64_t> FirstId;
  std::optional<uint64_t> LastId;
  uint64_t Dropped = 0; ///< Events.
};

/// Begins an exchange of a stream whose caller has all events up to \p LastHad.
/// Not thread safe, as the other functions that change \p Order.
void beginExchange(EventOrder &Order, std::optional<uint64_t> LastHad);
/// Decides on the next event of the exchange. After Broken, call only
/// beginExchange.
EventVerdict checkEvent(EventOrder &Order, std::optional<uint64_t> Id);
/// True if the exchange, which has ended in order, has continued the stream.
/// Else sets the reason.
bool checkEnd(EventOrder &Order);

} // namespace sassafras

#endif
