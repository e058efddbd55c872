#include "front/endpoint_figures.h"

#include <algorithm>

namespace sassafras {

namespace {

/// Least number of events that a measured speed is taken from.
constexpr uint32_t MinMeasuredEvents = 8;

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
  return out;
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
