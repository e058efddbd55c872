#include "main/role_start.h"

#include "core/logging.h"
#include "core/time.h"

#include <thread>

namespace sassafras {

namespace {

constexpr Millis RetryInterval{100};
/// Limit of all attempts. The kernel keeps the address of a closed connection
/// for 60 s (TIME_WAIT).
constexpr std::chrono::seconds StartTimeout{90};

} // namespace

StartOutcome
startRole(boost::asio::io_context &Io,
          const std::function<std::shared_ptr<RoleShell>()> &MakeShell,
          const std::function<bool()> &IsStopped,
          std::shared_ptr<RoleShell> &Shell) {
  TimePoint deadline = Clock::now() + StartTimeout;
  std::string lastReason;
  while (!IsStopped()) {
    StartProblem problem;
    std::shared_ptr<RoleShell> attempt = MakeShell();
    if (attempt->start(problem)) {
      Shell = std::move(attempt);
      return StartOutcome::Started;
    }
    attempt.reset();
    if (!problem.IsTemporary || isPast(deadline, Clock::now())) {
      logEvent(LogLevel::Error, "start_failed", {{"reason", problem.Reason}});
      return StartOutcome::Failed;
    }
    if (problem.Reason != lastReason)
      logEvent(LogLevel::Warning, "start_delayed",
               {{"reason", problem.Reason},
                {"until_failure_ms",
                 std::to_string(toMillis(deadline - Clock::now()))}});
    lastReason = problem.Reason;
    // Drops what the attempt has queued, and with it its last sockets.
    Io.poll();
    Io.restart();
    std::this_thread::sleep_for(RetryInterval);
  }
  return StartOutcome::Stopped;
}

} // namespace sassafras
