/// \file
/// When a refused caller should return, by the backlog of the whole fleet.
///
/// Load pattern: a burst several times the room. Callers that are refused
/// return; if all return at the same time, or before those that wait have been
/// served, they are refused again. The urgent ones return first.
#ifndef SASSAFRAS_POLICY_RETURN_TIME_H
#define SASSAFRAS_POLICY_RETURN_TIME_H

#include "core/time.h"

#include <array>
#include <cstdint>
#include <set>
#include <utility>

namespace sassafras {

inline constexpr size_t RankCount = 10;
/// Callers due back that are remembered for one model.
inline constexpr size_t MaxReturning = 256;

/// Callers of one model or service, by rank.
struct RankBacklog {
  std::array<uint32_t, RankCount> Waiting{};
  std::array<uint32_t, RankCount> Returning{}; ///< Refused and due back.
};

/// When refused callers are due back, and their ranks.
using ReturningCallers = std::multiset<std::pair<TimePoint, uint32_t>>;

/// Remembers a caller that is due back at \p At. The one due last is dropped
/// beyond MaxReturning. Not thread safe.
void recordReturn(ReturningCallers &Callers, TimePoint At, uint32_t Rank);
/// Drops the callers that were due by \p Now: they are arrivals by then.
void expireReturns(ReturningCallers &Callers, TimePoint Now);
/// The functions below are pure and thread safe.
std::array<uint32_t, RankCount> countByRank(const ReturningCallers &Callers);
/// Callers of \p Rank and more urgent ones that wait or are due back.
uint32_t callersBefore(const RankBacklog &Backlog, uint32_t Rank);
/// \p Backlog of one of \p Fronts fronts with a like load.
RankBacklog scaled(RankBacklog Backlog, size_t Fronts);
/// Callers that wait before one of \p Rank: the more urgent ones, and of its
/// own rank the part that \p Ahead has of \p Own, or all for a new one.
double waitingBefore(const RankBacklog &Fleet, uint32_t Rank, bool IsNew,
                     uint32_t Ahead, uint32_t Own);

struct ReturnInput {
  double Before = 0;    ///< Callers to be served before.
  double PerSecond = 0; ///< Requests that end per second.
  Millis FirstRoom{0};  ///< Until a request could begin at all.
  Millis Needed{0};     ///< From its begin until it is of use to its caller.
  Millis Left{0};       ///< Until the caller gives up.
};
struct ReturnTime {
  Millis After{0};
  bool IsInTime = false; ///< The caller can be served if it returns then.
};
ReturnTime returnTime(const ReturnInput &Input);

} // namespace sassafras

#endif
