/// \file
/// Callers of a soak run: some use a connection once, others keep it, are idle
/// on it, pause within requests, read slowly, and resume streams that broke.
#ifndef SASSAFRAS_TESTS_SOAK_CALLER_CROWD_H
#define SASSAFRAS_TESTS_SOAK_CALLER_CROWD_H

#include "tests/harness/front_fleet.h"
#include "tests/soak/soak_records.h"

#include <atomic>
#include <mutex>
#include <thread>
#include <vector>

namespace sassafras {

/// Idle timeout of callers' connections in the soak's table.
inline constexpr Millis SoakIdleTimeout{2'000};

/// Methods are thread-safe.
class CallerCrowd {
public:
  /// Starts \p Count callers. \p Fleet must outlive the crowd.
  CallerCrowd(const FrontFleet &Fleet, int Count, uint64_t Seed);
  ~CallerCrowd();
  CallerCrowd(const CallerCrowd &) = delete;
  CallerCrowd &operator=(const CallerCrowd &) = delete;

  /// Waits until all requests have ended and returns their records.
  std::vector<CallerRecord> stop();

private:
  void run(int Caller, uint64_t Seed);
  void keep(CallerRecord Record);

  const FrontFleet &Fleet;
  std::atomic<bool> IsStopped{false};
  std::mutex Mutex;
  std::vector<CallerRecord> Records;
  std::vector<std::thread> Threads;
};

} // namespace sassafras

#endif
