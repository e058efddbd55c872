/// \file
/// Decides whether the next event of a stream may reach the caller, so that it
/// gets each of them once, in order and from a run that continues the others.
///
/// Load pattern: endpoints break off streams, and others go on with them by the
/// id of the last event that was forwarded. One that does not go on there
/// starts over, leaves events out or sends another stream. What it repeats may
/// differ from what the caller has, so that nothing of it is joined.
#ifndef SASSAFRAS_FRONT_EVENT_ORDER_H
#define SASSAFRAS_FRONT_EVENT_ORDER_H

#include <cstdint>
#include <optional>
#include <string_view>

namespace sassafras {

enum class OrderBreak {
  None,
  Repeated,     ///< An id came twice.
  Backwards,    ///< An id is lower than the one before it.
  Gap,          ///< Events are missing.
  NotContinued, ///< The exchange does not begin after what the caller has.
};

/// Name of \p Break in metrics and logs.
std::string_view nameOf(OrderBreak Break);

/// How the ids of a stream grow.
enum class EventNumbering { Unknown, OneByOne, OtherSteps };

/// State of one stream over its exchanges.
struct EventOrder {
  EventNumbering Numbering = EventNumbering::Unknown;
  /// Last event that the caller had before this exchange.
  std::optional<uint64_t> LastHad;
  // Of this exchange.
  std::optional<uint64_t> FirstId;
  std::optional<uint64_t> LastId;
};

/// Begins an exchange of a stream whose caller has all events up to \p LastHad.
/// Not thread safe, as the other function that changes \p Order.
void beginExchange(EventOrder &Order, std::optional<uint64_t> LastHad);
/// Decides on the next event of the exchange. Unless it returns None, the event
/// must not be forwarded; call only beginExchange then.
OrderBreak checkEvent(EventOrder &Order, std::optional<uint64_t> Id);

} // namespace sassafras

#endif
