#include "policy/return_time.h"

#include <algorithm>

namespace sassafras {

namespace {

/// A time to return is at most this, however long the backlog is.
constexpr Millis LongestReturn{60'000};

} // namespace

void recordReturn(ReturningCallers &Callers, TimePoint At, uint32_t Rank) {
  Callers.emplace(At, std::min<uint32_t>(Rank, RankCount - 1));
  if (Callers.size() > MaxReturning)
    Callers.erase(std::prev(Callers.end()));
}

void expireReturns(ReturningCallers &Callers, TimePoint Now) {
  while (!Callers.empty() && isPast(Callers.begin()->first, Now))
    Callers.erase(Callers.begin());
}

std::array<uint32_t, RankCount> countByRank(const ReturningCallers &Callers) {
  std::array<uint32_t, RankCount> out{};
  for (const auto &[at, rank] : Callers)
    ++out[rank];
  return out;
}

uint32_t callersBefore(const RankBacklog &Backlog, uint32_t Rank) {
  uint32_t out = 0;
  for (size_t i = 0; i < RankCount && i <= Rank; ++i)
    out += Backlog.Waiting[i] + Backlog.Returning[i];
  return out;
}

RankBacklog scaled(RankBacklog Backlog, size_t Fronts) {
  // Callers due back are not scaled: they return to any front.
  for (uint32_t &it : Backlog.Waiting)
    it *= static_cast<uint32_t>(Fronts);
  return Backlog;
}

double waitingBefore(const RankBacklog &Fleet, uint32_t Rank, bool IsNew,
                     uint32_t Ahead, uint32_t Own) {
  double out = 0;
  for (size_t i = 0; i < RankCount && i < Rank; ++i)
    out += Fleet.Waiting[i];
  if (Rank >= RankCount)
    return out;
  double part = IsNew || Own == 0 ? 1.0 : static_cast<double>(Ahead) / Own;
  return out + part * Fleet.Waiting[Rank];
}

ReturnTime returnTime(const ReturnInput &Input) {
  ReturnTime out;
  double seconds = Input.PerSecond > 0 ? Input.Before / Input.PerSecond : 0;
  seconds = std::min(seconds, static_cast<double>(LongestReturn.count()) / 1e3);
  out.After =
      std::min(Input.FirstRoom + Millis(static_cast<int64_t>(1e3 * seconds)),
               LongestReturn);
  out.IsInTime = out.After + Input.Needed <= Input.Left;
  return out;
}

} // namespace sassafras
