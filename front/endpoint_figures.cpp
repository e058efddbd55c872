#include "front/endpoint_figures.h"

#include <algorithm>

namespace sassafras {

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
  auto record = State.Records.find(Endpoint.Id);
  if (record == State.Records.end())
    return out;
  out.Held = estimateLoad(record->second, Now);
  out.Pace = paceOf(record->second, Now);
  return out;
}

} // namespace sassafras
