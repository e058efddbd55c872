/// \file
/// What callers, engines and the operator of a soak run have seen.
#ifndef SASSAFRAS_TESTS_SOAK_SOAK_RECORDS_H
#define SASSAFRAS_TESTS_SOAK_SOAK_RECORDS_H

#include "core/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sassafras {

/// How a request ended for its caller; each ends in exactly one way.
enum class CallerEnd {
  Whole,   ///< Complete response with status 200.
  Refused, ///< Complete response that states that the request has not run.
  Error,   ///< Any other complete response.
  Broken,  ///< The connection ended within the response.
  ClosedBeforeSent,
  ClosedUnanswered, ///< The connection ended after the request was sent.
  TimedOut,
  NotConnected,
};
inline constexpr int CallerEndCount = 8;

const char *nameOf(CallerEnd End);

struct CallerRecord {
  std::string Id;
  /// First attempt of the stream that this request resumes; its own id if none.
  std::string StreamId;
  std::string Target;
  int Front = 0;
  bool IsReused = false;  ///< Not the first request on its connection.
  bool MayRepeat = false; ///< Engines may run it more than once.
  bool IsStream = false;
  int64_t LastEvent = -1; ///< Last-Event-Id sent, or -1.
  int64_t EventCount = 0; ///< Number of events of the whole stream.
  TimePoint StartedAt;
  TimePoint SentAt; ///< Last byte; zero if not all was sent.
  TimePoint EndedAt;
  TimePoint Deadline;
  CallerEnd End = CallerEnd::NotConnected;
  unsigned Status = 0;
  std::string ResponseId;
  std::string Seal;
  std::string Body;
};

struct EngineRun {
  std::string Id; ///< Of the request.
  std::string Run;
  std::string Engine; ///< Process.
  int64_t LastEvent = -1;
  int64_t First = 1; ///< First event that the run makes.
  TimePoint ReceivedAt;
  TimePoint EndedAt;
  std::string How; ///< whole, broke or gone; empty if its process has ended.
};

/// A fault of one process, or of all fronts.
struct FaultSpan {
  std::string Target;
  TimePoint From;
  TimePoint To = TimePoint::max();
};

/// A signal to a front that its operator meant.
struct PlannedWork {
  int Front = 0;
  int Signal = 0;
  TimePoint At;
};

struct SoakRecords {
  std::vector<CallerRecord> Requests;
  std::vector<EngineRun> Runs;
  std::vector<FaultSpan> Faults;
  std::vector<PlannedWork> Works;
  TimePoint Begin = Clock::now();
};

/// Fault target that stands for all fronts.
inline constexpr const char *AllFronts = "all fronts";
/// Second service of engine processes, beside "runs".
inline constexpr const char *OtherRuns = "others";

} // namespace sassafras

#endif
