#include "policy/zone_crossing.h"

#include <algorithm>

namespace sassafras {

namespace {

constexpr double BytesPerMegabyte = 1e6;
/// Longest time between two updates of a share that counts as one step.
constexpr Millis MaxShareStep{1'000};

double loadOf(const ZoneLoad &Load) {
  return Load.Slots > 0 ? Load.Held / Load.Slots : CrossingHighLoad;
}

Millis waitWorth(const CrossingTerms &Terms, uint64_t Bytes) {
  double megabytes = static_cast<double>(Bytes) / BytesPerMegabyte;
  return Millis(static_cast<int64_t>(
      static_cast<double>(Terms.WaitPerMegabyte.count()) * megabytes));
}

bool isInTime(Millis FirstPiece, Millis Left) {
  return static_cast<double>(FirstPiece.count()) <=
         static_cast<double>(Left.count()) * (1 - CrossingMargin);
}

CrossingDecision stay(CrossingReason Reason) { return {false, Reason}; }
CrossingDecision leave(CrossingReason Reason) { return {true, Reason}; }

} // namespace

std::string_view nameOf(CrossingReason Reason) {
  switch (Reason) {
  case CrossingReason::HomeInTime:
    return "home_in_time";
  case CrossingReason::NoOtherZone:
    return "no_other_zone";
  case CrossingReason::NotWorthIt:
    return "not_worth_it";
  case CrossingReason::NoHome:
    return "no_home";
  case CrossingReason::HomeLate:
    return "home_late";
  case CrossingReason::ShorterWait:
    return "shorter_wait";
  case CrossingReason::Share:
    return "share";
  }
  return "home_in_time";
}

void updateCrossingShare(CrossingShare &Share, const ZoneLoad &Home,
                         const ZoneLoad &Elsewhere, TimePoint Now) {
  TimePoint before = Share.UpdatedAt;
  Share.UpdatedAt = Now;
  if (before == TimePoint())
    return;
  double seconds = std::chrono::duration<double>(
                       std::min<Clock::duration>(Now - before, MaxShareStep))
                       .count();
  double home = loadOf(Home);
  double elsewhere = loadOf(Elsewhere);
  double change = 0;
  if (elsewhere >= CrossingHighLoad)
    // What is sent there would wait there.
    change = -std::max(elsewhere - CrossingLowLoad, 0.0);
  else if (home > CrossingHighLoad)
    change = home - CrossingHighLoad;
  else if (home < CrossingLowLoad)
    change = home - CrossingLowLoad;
  Share.Share =
      std::clamp(Share.Share + change * CrossingShareGain * seconds, 0.0, 1.0);
}

CrossingDecision decideCrossing(const CrossingTerms &Terms,
                                const CrossingShare &Share,
                                const std::optional<ZoneOffer> &Home,
                                const std::optional<ZoneOffer> &Elsewhere,
                                const CrossingNeed &Need, double Draw) {
  if (!Elsewhere || !Elsewhere->HasRoom)
    return stay(CrossingReason::NoOtherZone);
  if (!Home)
    return leave(CrossingReason::NoHome);
  bool isHomeInTime =
      Home->HasRoom && isInTime(Home->FirstPiece, Need.ObjectiveLeft);
  bool isElsewhereInTime = isInTime(Elsewhere->FirstPiece, Need.ObjectiveLeft);
  if (!isHomeInTime && isElsewhereInTime)
    return leave(CrossingReason::HomeLate);
  Millis saved = Home->FirstPiece - Elsewhere->FirstPiece;
  Millis worth = waitWorth(Terms, Need.Bytes);
  if (!isHomeInTime) {
    bool isHomeTooLate = Home->FirstPiece > Need.CallerTimeLeft;
    if (saved.count() > 0 && (saved > worth || isHomeTooLate))
      return leave(CrossingReason::ShorterWait);
    return stay(CrossingReason::NotWorthIt);
  }
  if (Draw >= Share.Share)
    return stay(CrossingReason::HomeInTime);
  return isElsewhereInTime ? leave(CrossingReason::Share)
                           : stay(CrossingReason::NotWorthIt);
}

} // namespace sassafras
