#include "front/endpoint_figures.h"

#include <algorithm>

namespace sassafras {

namespace {

/// The other fronts may have sent more than this one, by this factor.
constexpr double UnevenSends = 1.5;
/// Smoothing factor of the mean sizes of requests.
constexpr double SizeWeight = 0.02;
/// Least number of events that a measured speed is taken from.
constexpr uint32_t MinMeasuredEvents = 8;

/// Memory that the requests at an engine may take up until their ends. What it
/// reported is in use now; all of them can grow.
double boundMemory(const EndpointRecord &Record, double MeanTokens,
                   double InUse) {
  double reported = Record.ReportedLoad * MeanTokens;
  return std::max(InUse, std::max(reported, Record.ReportedTokens) +
                             unseenMemory(Record));
}

} // namespace

RequestSize sizeOf(const FrontRequest &Request) {
  const RequestAttributes &attributes = Request.Attributes;
  RequestSize out;
  out.PromptTokens = attributes.PromptTokens;
  out.MaxOutput = attributes.OutputTokens;
  out.ExpectedOutput =
      expectedOutput(attributes.OutputTokens, attributes.LengthHint);
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
  if (auto mean = State.MeanOutput.find(Endpoint.Service);
      mean != State.MeanOutput.end())
    out.MeanOutput = mean->second;
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
    out.HeldTokens =
        boundMemory(record->second, out.MeanTokens, out.HeldTokens);
  return out;
}

void withholdForOthers(const FrontState &State, const FrontRequest &Request,
                       std::vector<EndpointCandidate> &Candidates,
                       TimePoint Now) {
  if (!State.Limits.EnginesFailWhenFull || Candidates.empty())
    return;
  RequestSize size = sizeOf(Request);
  double unseen = memoryOf(size);
  double free = 0;
  for (const EndpointCandidate &it : Candidates) {
    unseen += unseenMemory(*it.Record);
    free += std::max(0.0, it.Estimate.FreeTokens);
  }
  if (free <= 0)
    return;
  auto others = static_cast<double>(countServingFronts(State, Now) - 1);
  // They go where there is room, as this front's do.
  for (EndpointCandidate &it : Candidates)
    withholdMemory(it.Estimate,
                   UnevenSends * others * unseen *
                       std::max(0.0, it.Estimate.FreeTokens) / free,
                   size);
}

void recordSize(FrontState &State, const FrontRequest &Request) {
  RequestSize size = sizeOf(Request);
  auto smooth = [&](std::map<std::string, double> &Means, double Value) {
    if (Value <= 0)
      return;
    auto [mean, isNew] = Means.emplace(Request.Service, Value);
    if (!isNew)
      mean->second += (Value - mean->second) * SizeWeight;
  };
  smooth(State.MeanTokens, memoryOf(size));
  smooth(State.MeanOutput, static_cast<double>(size.ExpectedOutput));
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
