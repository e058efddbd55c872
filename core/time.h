/// \file
/// Time types. Decisions receive the current time as an argument and store
/// deadlines; nothing below the actors reads a clock.
#ifndef SASSAFRAS_CORE_TIME_H
#define SASSAFRAS_CORE_TIME_H

#include <chrono>
#include <cstdint>
#include <ctime>

namespace sassafras {

/// Time since the host booted, suspension included: a lease must not look
/// fresh to a process whose host was suspended meanwhile, which the steady
/// clock of the library would allow.
struct Clock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<Clock>;
  static constexpr bool is_steady = true; // NOLINT: name of the standard.

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
