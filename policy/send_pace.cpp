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

double coldPace(double RatePerSecond, const std::optional<ColdBound> &Bound,
                Millis PermitLifetime) {
  if (!Bound)
    return RatePerSecond;
  auto seconds = [](Millis Span) {
    return std::chrono::duration<double>(Span).count();
  };
  // Slots of one second and those from before it that are still valid, of the
  // leader and of fronts without one; and of each the one at its edge.
  double perPace = 1 + seconds(PermitLifetime) +
                   LeaderlessPaceFraction * (1 + seconds(ColdSlotLifetime));
  constexpr double AtEdges = 2;
  double most =
      (RatePerSecond * Bound->Overshoot + Bound->Slack - AtEdges) / perPace;
  return std::clamp(most, std::min(MinSendPace, RatePerSecond), RatePerSecond);
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
                             Millis Lifetime, TimePoint Now) {
  Clock::duration interval = leaderlessInterval(RequestsPerSecond, Place);
  if (Schedule.NextSlot == TimePoint())
    Schedule.NextSlot = Now + std::chrono::duration_cast<Clock::duration>(
                                  interval * Place.Phase);
  Clock::duration late = Now - Schedule.NextSlot - Lifetime;
  if (late >= Clock::duration::zero())
    Schedule.NextSlot += (late / interval + 1) * interval;
  return Schedule.NextSlot;
}

void takeLeaderlessSlot(LeaderlessSchedule &Schedule, double RequestsPerSecond,
                        FrontPlace Place) {
  Schedule.NextSlot += leaderlessInterval(RequestsPerSecond, Place);
}

} // namespace sassafras
