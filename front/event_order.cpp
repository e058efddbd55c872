#include "front/event_order.h"

namespace sassafras {

namespace {

/// True until the exchange has gone past the last event that the caller has.
bool isBehind(const EventOrder &Order) {
  return Order.LastHad && (!Order.LastId || *Order.LastId <= *Order.LastHad);
}

/// Applies the step from \p Previous to \p Id. False if events are missing.
bool applyStep(EventNumbering &Numbering, uint64_t Previous, uint64_t Id) {
  bool isNext = Id - Previous == 1;
  if (Numbering == EventNumbering::Unknown)
    Numbering = isNext ? EventNumbering::OneByOne : EventNumbering::OtherSteps;
  return isNext || Numbering != EventNumbering::OneByOne;
}

OrderBreak findBreak(EventOrder &Order, uint64_t Id) {
  if (Order.LastId && Id <= *Order.LastId)
    return Id == *Order.LastId ? OrderBreak::Repeated : OrderBreak::Backwards;
  // A run that starts over brings the last event that the caller has, too.
  if (Order.LastHad && Order.LastId && *Order.LastId < *Order.LastHad &&
      Id > *Order.LastHad)
    return OrderBreak::Gap;
  std::optional<uint64_t> previous = Order.LastId;
  if (!previous && Order.LastHad && Id > *Order.LastHad)
    previous = Order.LastHad;
  if (!previous) {
    if (Id == 1 && Order.Numbering == EventNumbering::Unknown)
      Order.Numbering = EventNumbering::OneByOne;
    return OrderBreak::None;
  }
  return applyStep(Order.Numbering, *previous, Id) ? OrderBreak::None
                                                   : OrderBreak::Gap;
}

} // namespace

std::string_view nameOf(OrderBreak Break) {
  switch (Break) {
  case OrderBreak::None:
    return "none";
  case OrderBreak::Repeated:
    return "repeated";
  case OrderBreak::Backwards:
    return "backwards";
  case OrderBreak::Gap:
    return "gap";
  case OrderBreak::NotContinued:
    return "not_continued";
  }
  return "unknown";
}

void beginExchange(EventOrder &Order, std::optional<uint64_t> LastHad) {
  EventNumbering numbering = Order.Numbering;
  Order = {};
  Order.Numbering = numbering;
  Order.LastHad = LastHad;
}

EventVerdict checkEvent(EventOrder &Order, std::optional<uint64_t> Id) {
  if (Id) {
    Order.Break = findBreak(Order, *Id);
    if (Order.Break != OrderBreak::None)
      return EventVerdict::Broken;
    if (!Order.FirstId)
      Order.FirstId = Id;
    Order.LastId = Id;
  }
  if (!isBehind(Order))
    return EventVerdict::Forward;
  ++Order.Dropped;
  return EventVerdict::Drop;
}

bool checkEnd(EventOrder &Order) {
  bool hasContinued = Order.Dropped == 0 || !Order.LastHad ||
                      (Order.LastId && *Order.LastId >= *Order.LastHad);
  if (!hasContinued)
    Order.Break = OrderBreak::NotContinued;
  return hasContinued;
}

} // namespace sassafras
