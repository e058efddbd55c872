#include "policy/caller_order.h"

#include <algorithm>
#include <tuple>

namespace sassafras {

namespace {

/// An organisation's excess is counted in steps of one such part of its part.
constexpr uint32_t StepsOfPart = 4;

} // namespace

bool isServedBefore(const CallerPosition &A, const CallerPosition &B,
                    TimePoint Now) {
  // Requests that are late already are of less use than those that are not.
  auto keyOf = [&](const CallerPosition &It) {
    bool isPutBack = isPast(It.LatestStart, Now) &&
                     !isPast(It.LatestStart + LongestPutBack, Now);
    return std::make_tuple(It.Rank, It.ExcessOfOrganisation, isPutBack,
                           It.LatestStart, It.Number);
  };
  return keyOf(A) < keyOf(B);
}

std::vector<WaitingCaller>
orderCallers(std::vector<WaitingCaller> Callers,
             const std::map<std::string, uint32_t> &Served, TimePoint Now) {
  auto sort = [&] {
    std::sort(Callers.begin(), Callers.end(),
              [&](const WaitingCaller &A, const WaitingCaller &B) {
                return isServedBefore(A.Position, B.Position, Now);
              });
  };
  std::map<std::string, uint32_t> held;
  for (const WaitingCaller &it : Callers)
    held[it.Organisation] = 0;
  uint32_t total = 0;
  for (const auto &[organisation, count] : Served) {
    held[organisation] = count;
    total += count;
  }
  auto parts = static_cast<uint32_t>(std::max<size_t>(held.size(), 1));
  uint32_t even = (total + parts - 1) / parts;
  // Small differences between organisations must not decide before the time
  // that their callers have left.
  uint32_t step = std::max<uint32_t>(even / StepsOfPart, 1);
  for (WaitingCaller &it : Callers)
    it.Position.ExcessOfOrganisation = 0;
  sort();
  // With one organisation the others cannot be crowded out.
  if (parts < 2)
    return Callers;
  for (WaitingCaller &it : Callers) {
    uint32_t &n = held[it.Organisation];
    it.Position.ExcessOfOrganisation = n > even ? (n - even) / step : 0;
    ++n;
  }
  sort();
  return Callers;
}

} // namespace sassafras
