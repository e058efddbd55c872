#include "policy/caller_order.h"

#include <tuple>

namespace sassafras {

bool isServedBefore(const CallerPosition &A, const CallerPosition &B,
                    TimePoint Now) {
  // Requests that are late already are of less use than those that are not.
  auto keyOf = [&](const CallerPosition &It) {
    return std::make_tuple(It.Rank, It.ExcessOfOrganisation,
                           isPast(It.LatestStart, Now), It.LatestStart,
                           It.Number);
  };
  return keyOf(A) < keyOf(B);
}

} // namespace sassafras
