#include "policy/send_pace.h"

#include <algorithm>

namespace sassafras {

namespace {

Clock::duration leaderlessInterval(double RequestsPerSecond, FrontPlace Place) {
  double scale = static_cast<double>(std::max<size_t>(Place.FrontCount, 1)) /
                 LeaderlessPaceFraction;
  return std::chrono::duration_cast<Clock::duration>(
      slotInterval(RequestsPerSecond) * scale);
}

} // namespace

Clock::duration slotInterval(double RequestsPerSecond) {
  // In this order, a limit that is not a number counts as the least one.
  double pace = std::max(MinSendPace, RequestsPerSecond);
  return std::chrono::duration_cast<Clock::duration>(
      std::chrono::duration<double>(1 / pace));
}

TimePoint nextSlot(const SendSchedule &Schedule, TimePoint Now) {
  return std::max(Schedule.NextSlot, Now);
}

std::optional<TimePoint> takeSlot(SendSchedule &Schedule,
                                  double RequestsPerSecond, TimePoint Latest,
                                  TimePoint Now) {
  TimePoint slot = nextSlot(Schedule, Now);
  if (slot > Latest)
    return std::nullopt;
  Schedule.NextSlot = slot + slotInterval(RequestsPerSecond);
  return slot;
}

TimePoint nextLeaderlessSlot(LeaderlessSchedule &Schedule,
                             double RequestsPerSecond, FrontPlace Place,
                             TimePoint Now) {
  Clock::duration interval = leaderlessInterval(RequestsPerSecond, Place);
  if (Schedule.NextSlot == TimePoint())
    Schedule.NextSlot = Now + std::chrono::duration_cast<Clock::duration>(
                                  interval * Place.Phase);
  Clock::duration late = Now - Schedule.NextSlot - LeaderlessSlotLifetime;
  if (late >= Clock::duration::zero())
    Schedule.NextSlot += (late / interval + 1) * interval;
  return Schedule.NextSlot;
}

void takeLeaderlessSlot(LeaderlessSchedule &Schedule, double RequestsPerSecond,
                        FrontPlace Place) {
  Schedule.NextSlot += leaderlessInterval(RequestsPerSecond, Place);
}

} // namespace sassafras
