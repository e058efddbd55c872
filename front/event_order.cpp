#include "front/event_order.h"

namespace sassafras {

namespace {

/// Applies the step from \p Previous to \p Id. False if events are missing.
bool applyStep(EventNumbering &Numbering, uint64_t Previous, uint64_t Id) {
  bool isNext = Id - Previous == 1;
  if (Numbering == EventNumbering::Unknown)
    Numbering = isNext ? EventNumbering::OneByOne : EventNumbering::OtherSteps;
  return isNext || Numbering != EventNumbering::OneByOne;
}

OrderBreak findBreak(EventOrder &Order, std::optional<uint64_t> Id) {
  bool isJoint = Order.LastHad && !Order.LastId;
  if (isJoint && (!Id || *Id <= *Order.LastHad))
    return OrderBreak::NotContinued;
  if (!Id)
    return OrderBreak::None;
  if (Order.LastId && *Id <= *Order.LastId)
    return *Id == *Order.LastId ? OrderBreak::Repeated : OrderBreak::Backwards;
  std::optional<uint64_t> previous = isJoint ? Order.LastHad : Order.LastId;
  if (previous)
    return applyStep(Order.Numbering, *previous, *Id) ? OrderBreak::None
                                                      : OrderBreak::Gap;
  if (*Id == 1 && Order.Numbering == EventNumbering::Unknown)
    Order.Numbering = EventNumbering::OneByOne;
  return OrderBreak::None;
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

OrderBreak checkEvent(EventOrder &Order, std::optional<uint64_t> Id) {
  OrderBreak found = findBreak(Order, Id);
  if (found != OrderBreak::None || !Id)
    return found;
  if (!Order.FirstId)
    Order.FirstId = Id;
  Order.LastId = Id;
  return OrderBreak::None;
}

} // namespace sassafras
