#include "front/endpoint_figures.h"

#include <algorithm>

namespace sassafras {

namespace {

/// Smoothing factor of the mean memory of requests.
constexpr double MemoryWeight = 0.02;
/// Least number of events that a measured speed is taken from.
constexpr uint32_t MinMeasuredEvents = 8;

/// Memory that requests at an engine may take up until their ends, those
/// included that other fronts may have sent since its last report.
double boundMemory(const EndpointRecord &Record, const EndpointFigures &Figures,
                   double Known, TimePoint Now) {
  double others = std::max(0.0, Figures.Held - Record.Open);
  double age = Record.ReportedAt == TimePoint()
                   ? ExpectedArrivalShare
                   : std::chrono::duration<double>(Now - Record.ReportedAt) /
                         Figures.MeanServiceTime;
  others *= 1 + std::min(age, ExpectedArrivalShare);
  return std::max(Known, Record.OpenTokens + others * Figures.MeanTokens);
}

} // namespace

RequestSize sizeOf(const FrontRequest &Request) {
  const RequestAttributes &attributes = Request.Attributes;
  RequestSize out;
  out.PromptTokens = attributes.PromptTokens;
  out.ExpectedOutput = attributes.OutputTokens;
  out.MaxOutput = attributes.OutputTokens;
  return out;
}

EndpointFigures makeFigures(const FrontState &State,
                            const KnownEndpoint &Endpoint,
                            const EngineState *Engine, const EngineSpec *Spec,
                            uint32_t Slots, TimePoint Now) {
  EndpointFigures out;
  out.Slots = Slots;
  out.MeanServiceTime = Engine ? MeanEngineServiceTime : MeanPlainServiceTime;
  if (Engine && Spec)
    out.MemoryTokens =
        static_cast<double>(Engine->KvTotal ? Engine->KvTotal : Spec->KvTokens);
  if (Engine)
    out.Pace = learnedPace(State.Speeds, Endpoint.Id);
  auto record = State.Records.find(Endpoint.Id);
  if (record == State.Records.end())
    return out;
  out.Held = estimateLoad(record->second, Now);
  if (record->second.StatedPace)
    out.Pace = paceOf(record->second, Now);
  if (out.MemoryTokens <= 0)
    return out;
  auto mean = State.MeanTokens.find(Endpoint.Service);
  out.MeanTokens = mean == State.MeanTokens.end() ? 0 : mean->second;
  out.HeldTokens = estimateMemory(record->second, Now);
  if (State.Limits.EnginesFailWhenFull)
    out.HeldTokens = boundMemory(record->second, out, out.HeldTokens, Now);
  return out;
}

void recordSize(FrontState &State, const FrontRequest &Request) {
  double tokens = memoryOf(sizeOf(Request));
  if (tokens <= 0)
    return;
  auto [mean, isNew] = State.MeanTokens.emplace(Request.Service, tokens);
  if (!isNew)
    mean->second += (tokens - mean->second) * MemoryWeight;
}

void recordEventTimes(FrontState &State, const FrontRequest &Request,
                      const std::string &Endpoint, const EventTimes &Times,
                      TimePoint Now) {
  const EngineSpec *spec = findEngineSpec(State, Request.Service);
  if (!spec || spec->Slots == 0 || Times.Count < MinMeasuredEvents)
    return;
  SpeedSample sample;
  sample.Service = Request.Service;
  sample.Model = Request.Attributes.Model;
  sample.Endpoint = Endpoint;
  sample.PerEvent = (Times.Last - Times.First) / (Times.Count - 1);
  sample.LoadShare = Times.LoadBefore / spec->Slots;
  recordSpeed(State.Speeds, sample, Now);
}

} // namespace sassafras
