#include "policy/caller_order.h"

#include <algorithm>
#include <string_view>
#include <tuple>
#include <unordered_map>

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

uint32_t countServedBefore(const WaitingCaller &It,
                           const std::vector<const WaitingCaller *> &Others,
                           const std::map<std::string, uint32_t> &Served,
                           TimePoint Now) {
  struct Queue {
    uint64_t Served = 0;
    uint64_t Size = 0;
    uint64_t Before = 0; ///< Before It, apart from the organisations' parts.
  };
  std::unordered_map<std::string_view, Queue> queues;
  uint64_t total = 0;
  for (const auto &[organisation, count] : Served) {
    queues[organisation].Served = count;
    total += count;
  }
  CallerPosition self = It.Position;
  self.ExcessOfOrganisation = 0;
  uint32_t before = 0;
  for (const WaitingCaller *other : Others) {
    CallerPosition position = other->Position;
    position.ExcessOfOrganisation = 0;
    Queue &queue = queues[other->Organisation];
    ++queue.Size;
    if (isServedBefore(position, self, Now)) {
      ++queue.Before;
      ++before;
    }
  }
  const Queue own = queues[It.Organisation];
  if (queues.size() < 2)
    return before;
  uint64_t even = (total + queues.size() - 1) / queues.size();
  uint64_t step = std::max<uint64_t>(even / StepsOfPart, 1);
  uint64_t n = own.Served + own.Before;
  uint64_t excess = n > even ? (n - even) / step : 0;
  // An organisation's callers have more excess the later they come: those with
  // less than It are its first ones, then come those with the same.
  uint64_t out = 0;
  for (const auto &it : queues) {
    const Queue &queue = it.second;
    auto countBelow = [&](uint64_t Excess) {
      uint64_t end = Excess == 0 ? 0 : even + Excess * step;
      return std::min(end > queue.Served ? end - queue.Served : 0, queue.Size);
    };
    uint64_t less = countBelow(excess);
    out += std::max(less, std::min(countBelow(excess + 1), queue.Before));
  }
  return static_cast<uint32_t>(out);
}

} // namespace sassafras
