#include "front/zone_departure.h"

#include <algorithm>

namespace sassafras {

namespace {

/// Bytes of a token of a prompt or of an event, with its framing.
constexpr uint64_t BytesPerToken = 5;
/// Bytes of a request and its response beside their tokens.
constexpr uint64_t BytesPerExchange = 2'000;
/// Smoothing factor of connect times: weight of the newest one.
constexpr double ConnectWeight = 0.2;
/// Connect times of a zone count for this long after the latest one.
constexpr Millis ConnectTimeLifetime{10'000};

bool hasPaces(const std::vector<EndpointCandidate> &Candidates) {
  return std::any_of(Candidates.begin(), Candidates.end(), [](const auto &it) {
    return it.Record->StatedPace.has_value();
  });
}

/// The zones seen from one front, summed over the open endpoints.
struct ZoneSums {
  ZoneLoad Load;
  std::optional<ZoneOffer> Best;
};

void addCandidate(ZoneSums &Sums, const EndpointCandidate &Candidate,
                  Millis Delay) {
  const EndpointEstimate &estimate = Candidate.Estimate;
  Sums.Load.Slots += Candidate.Slots;
  Sums.Load.Held += Candidate.Slots - estimate.FreeSlots;
  ZoneOffer offer{estimate.HasRoom, estimate.FirstPiece + 2 * Delay};
  bool isBetter = !Sums.Best || (offer.HasRoom && !Sums.Best->HasRoom) ||
                  (offer.HasRoom == Sums.Best->HasRoom &&
                   offer.FirstPiece < Sums.Best->FirstPiece);
  if (isBetter)
    Sums.Best = offer;
}

CrossingNeed needOf(const FrontRequest &Request, TimePoint Now) {
  const RequestAttributes &attributes = Request.Attributes;
  CrossingNeed out;
  out.Bytes =
      BytesPerExchange +
      (attributes.PromptTokens + attributes.OutputTokens) * BytesPerToken;
  out.ObjectiveLeft =
      std::chrono::duration_cast<Millis>(Request.ObjectiveDeadline - Now);
  out.CallerTimeLeft =
      std::chrono::duration_cast<Millis>(Request.FirstByteDeadline - Now);
  return out;
}

} // namespace

ZoneDeparture decideDeparture(FrontState &State, const FrontRequest &Request,
                              const std::vector<EndpointCandidate> &Candidates,
                              const std::function<bool(size_t)> &IsOpen,
                              TimePoint Now) {
  ZoneDeparture out;
  if (!State.Limits.Crossing || !hasPaces(Candidates))
    return out;
  ZoneSums home;
  ZoneSums elsewhere;
  for (size_t i = 0; i < Candidates.size(); ++i) {
    const EndpointCandidate &it = Candidates[i];
    if (!IsOpen(i) ||
        !isPast(std::max(it.Record->PausedUntil, it.PausedUntil), Now))
      continue;
    bool isHome = it.Zone == State.Self.zone();
    addCandidate(isHome ? home : elsewhere, it,
                 isHome ? Millis(0) : delayTo(State, it.Zone, Now));
  }
  CrossingShare &share = State.CrossingShares[Request.Attributes.Model.empty()
                                                  ? "service " + Request.Service
                                                  : Request.Attributes.Model];
  updateCrossingShare(share, home.Load, elsewhere.Load, Now);
  std::uniform_real_distribution<double> draw(0, 1);
  out.Decision =
      decideCrossing(*State.Limits.Crossing, share, home.Best, elsewhere.Best,
                     needOf(Request, Now), draw(State.Random));
  // Without endpoints at home the others are all there is.
  if (!out.Decision->Leaves && !home.Best)
    return out;
  for (const EndpointCandidate &it : Candidates)
    out.IsAllowed.push_back((it.Zone == State.Self.zone()) !=
                            out.Decision->Leaves);
  return out;
}

void recordConnectTime(FrontState &State, const std::string &Zone,
                       Clock::duration Taken, TimePoint Now) {
  ZoneDelay &delay = State.ZoneDelays[Zone];
  double ms = std::chrono::duration<double, std::milli>(Taken).count();
  bool isKnown = delay.MeasuredAt != TimePoint() &&
                 Now - delay.MeasuredAt < ConnectTimeLifetime;
  delay.RoundTripMs =
      isKnown ? delay.RoundTripMs * (1 - ConnectWeight) + ms * ConnectWeight
              : ms;
  delay.MeasuredAt = Now;
}

Millis delayTo(const FrontState &State, const std::string &Zone,
               TimePoint Now) {
  auto it = State.ZoneDelays.find(Zone);
  if (it == State.ZoneDelays.end() ||
      Now - it->second.MeasuredAt >= ConnectTimeLifetime)
    return Millis(0);
  return Millis(static_cast<int64_t>(it->second.RoundTripMs / 2));
}

} // namespace sassafras
