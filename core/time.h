/// \file
/// Time types. State machines receive the current time as an argument and store
/// deadlines; only the actors and shells around them read a clock.
#ifndef SASSAFRAS_CORE_TIME_H
#define SASSAFRAS_CORE_TIME_H

#include <chrono>
#include <cstdint>
#include <ctime>

namespace sassafras {

/// Time since the host booted, including time in suspension. A lease must not
/// seem valid to a process whose host was suspended in the meantime;
/// std::chrono::steady_clock stops during suspension and would allow this.
struct Clock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<Clock>;
  static constexpr bool is_steady = true; // NOLINT: standard name.

  /// Thread safe.
  static time_point now() noexcept {
    timespec reading{};
    ::clock_gettime(CLOCK_BOOTTIME, &reading);
    return time_point(std::chrono::seconds(reading.tv_sec) +
                      std::chrono::nanoseconds(reading.tv_nsec));
  }
};

using TimePoint = Clock::time_point;
using Millis = std::chrono::milliseconds;

/// \p Duration in whole milliseconds; 0 when it is negative.
inline uint64_t toMillis(Clock::duration Duration) {
  auto n = std::chrono::duration_cast<Millis>(Duration).count();
  return n < 0 ? 0 : static_cast<uint64_t>(n);
}

/// True when \p Now is at or after \p Deadline.
inline bool isPast(TimePoint Deadline, TimePoint Now) {
  return Now >= Deadline;
}

} // namespace sassafras

#endif
