#include "policy/endpoint_estimate.h"

#include <algorithm>
#include <cmath>

namespace sassafras {

namespace {

/// Bounds of the pace that decisions use.
constexpr double MinPace = 0.1;
constexpr double MaxPace = 20;
/// Part of the output that a request may ask for that it usually has.
constexpr double UsualOutputPart = 0.3;
/// Bounds of the time of a request against one of mean size.
constexpr double MinSizeFactor = 0.1;
constexpr double MaxSizeFactor = 10;

Millis scaled(Millis Time, double Factor) {
  return Millis(
      static_cast<int64_t>(static_cast<double>(Time.count()) * Factor));
}

/// Time until \p Missing units are free when \p Total of them are given back
/// within \p Turnover.
Millis timeUntilFree(double Missing, double Total, Millis Turnover) {
  if (Missing <= 0 || Total <= 0)
    return Millis(0);
  return scaled(Turnover, Missing / Total);
}

} // namespace

uint64_t expectedOutput(uint64_t Most, std::optional<uint64_t> Hint) {
  double usual = UsualOutputPart * static_cast<double>(Most);
  if (!Hint || *Hint == 0)
    return static_cast<uint64_t>(usual);
  double guess = static_cast<double>(std::min(*Hint, Most));
  return static_cast<uint64_t>(std::sqrt(usual * guess));
}

double memoryOf(const RequestSize &Size) {
  return static_cast<double>(Size.PromptTokens + Size.MaxOutput);
}

EndpointEstimate estimateEndpoint(const EndpointFigures &Figures,
                                  const RequestSize &Size) {
  EndpointEstimate out;
  double needed = memoryOf(Size);
  bool hasMemory = Figures.MemoryTokens > 0;
  out.Pace = std::clamp(Figures.Pace, MinPace, MaxPace);
  out.FreeSlots = Figures.Slots - Figures.Held;
  out.FreeTokens = Figures.MemoryTokens - Figures.HeldTokens;
  out.IsTooLarge = hasMemory && needed > Figures.MemoryTokens;
  out.HasMemory = hasMemory;
  out.LacksMemory = hasMemory && needed > out.FreeTokens;
  out.HasRoom = !out.IsTooLarge && out.FreeSlots >= 1 &&
                (!hasMemory || needed <= out.FreeTokens);
  Millis service = scaled(Figures.MeanServiceTime, out.Pace);
  out.Wait = timeUntilFree(1 - out.FreeSlots, Figures.Slots, service);
  if (hasMemory)
    out.Wait = std::max(out.Wait, timeUntilFree(needed - out.FreeTokens,
                                                Figures.MemoryTokens, service));
  out.FirstPiece = out.Wait + 2 * Figures.OneWayDelay +
                   scaled(Figures.MeanFirstPiece, out.Pace);
  double factor = 1;
  if (Figures.MeanOutput > 0 && Size.ExpectedOutput > 0)
    factor = std::clamp(static_cast<double>(Size.ExpectedOutput) /
                            Figures.MeanOutput,
                        MinSizeFactor, MaxSizeFactor);
  out.LastPiece = out.Wait + 2 * Figures.OneWayDelay + scaled(service, factor);
  return out;
}

void withholdMemory(EndpointEstimate &Estimate, double Tokens,
                    const RequestSize &Size) {
  if (!Estimate.HasMemory)
    return;
  Estimate.FreeTokens -= Tokens;
  Estimate.LacksMemory = memoryOf(Size) > Estimate.FreeTokens;
  Estimate.HasRoom = Estimate.HasRoom && !Estimate.LacksMemory;
}

} // namespace sassafras
