/// \file
/// Time types. Decisions receive the current time as an argument and store
/// deadlines; nothing below the actors reads a clock.
#ifndef SASSAFRAS_CORE_TIME_H
#define SASSAFRAS_CORE_TIME_H

#include <chrono>
#include <cstdint>

namespace sassafras {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Millis = std::chrono::milliseconds;

/// Whole milliseconds of \p Span, negative spans counted as zero.
inline uint64_t toMillis(Clock::duration Span) {
  auto n = std::chrono::duration_cast<Millis>(Span).count();
  return n < 0 ? 0 : static_cast<uint64_t>(n);
}

/// True when \p Deadline has come at \p Now.
inline bool isPast(TimePoint Deadline, TimePoint Now) {
  return Now >= Deadline;
}

} // namespace sassafras

#endif
