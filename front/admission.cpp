#include "front/admission.h"

#include "core/hash.h"

#include <algorithm>
#include <cmath>

namespace sassafras {

namespace {

/// Callers of streams stop waiting for a first byte after the longest of: this
/// time, a multiple of the route's objective, a multiple of its gap target.
constexpr Millis MinFirstByteTimeout{2'000};
constexpr int FirstByteObjectives = 4;
constexpr int FirstByteGaps = 8;
/// Cost of an output token to an endpoint, in prompt tokens; approximate.
constexpr double OutputTokenWeight = 10;
/// Mean size of a request in prompt tokens, with output tokens weighted.
/// Request sizes are compared with it.
constexpr double MeanRequestSize = 4'000;
/// Route timeout at which a request has a worth of 1.
constexpr Millis ReferenceTimeout{6'000};
/// Retry-After while the front has no serving table. A front that has just
/// started receives its first table within this time.
constexpr Millis TableUnknownRetryAfter{500};
/// Worth grows faster than the timeout.
constexpr double TimeoutExponent = 1.5;
constexpr double MinTimeoutWorth = 0.5;
constexpr double MaxTimeoutWorth = 12;
constexpr uint32_t MaxUrgencyValue = 9;
constexpr uint32_t RoutePriorityLevels = 3;

std::string pathOf(const std::string &Target) {
  return Target.substr(0, Target.find('?'));
}

/// Worth grows with the route's timeout, as callers accept a long wait for what
/// is valuable to them, and with the size of the request; both within bounds.
double worthOf(const ServingRoute &Route, const RequestAttributes &Attributes) {
  double timeoutWorth =
      std::clamp(std::pow(static_cast<double>(Route.Timeout.count()) /
                              static_cast<double>(ReferenceTimeout.count()),
                          TimeoutExponent),
                 MinTimeoutWorth, MaxTimeoutWorth);
  if (!Attributes.HasTokenCounts)
    return timeoutWorth;
  double size =
      static_cast<double>(Attributes.PromptTokens) +
      OutputTokenWeight * static_cast<double>(Attributes.OutputTokens);
  return timeoutWorth * (0.3 + 0.7 * std::min(size / MeanRequestSize, 4.0));
}

double costOf(const OrganisationSpec &Organisation,
              const RequestAttributes &Attributes) {
  if (!Organisation.CountsTokens)
    return 1;
  if (!Attributes.HasTokenCounts)
    return static_cast<double>(Organisation.PlainTokens);
  return static_cast<double>(Attributes.PromptTokens) +
         static_cast<double>(Attributes.OutputTokens);
}

RequestFeatures featuresOf(const RequestAttributes &Attributes) {
  RequestFeatures out;
  for (const std::string &it : Attributes.SharedParts)
    out.Parts.push_back("part/" + it);
  out.Digest = "request/" +
               std::to_string(
                   checksumOf(Attributes.Method + ' ' + Attributes.Host + ' ' +
                              Attributes.Path + ' ' + Attributes.Key + ' ' +
                              Attributes.Model + ' ' + Attributes.BodyDigest));
  return out;
}

void setDeadlines(FrontRequest &Request, TimePoint Now) {
  const ServingRoute &route = *Request.Route;
  Millis left = Request.Attributes.TimeLeft
                    ? std::min(*Request.Attributes.TimeLeft, route.Timeout)
                    : route.Timeout;
  Request.ArrivedAt = Now;
  Request.Deadline = Now + left;
  Request.ObjectiveDeadline =
      Now + (route.Objective.count() > 0 ? route.Objective : route.Timeout);
  Millis maxWait = left;
  if (route.Kind == RequestKind::Streaming)
    maxWait = std::min(left, std::max({MinFirstByteTimeout,
                                       route.Objective * FirstByteObjectives,
                                       route.GapTarget * FirstByteGaps}));
  Request.FirstByteDeadline = Now + maxWait;
}

} // namespace

std::variant<FrontRequest, FrontRefusal>
admitRequest(FrontState &State, RequestAttributes Attributes, TimePoint Now) {
  if (!State.Table)
    return FrontRefusal{RefusalReason::TableUnknown, TableUnknownRetryAfter};
  if (Attributes.Host.empty())
    return FrontRefusal{RefusalReason::BadRequest, {}};
  const ServingRoute *route =
      findRoute(*State.Table, Attributes.Host, pathOf(Attributes.Path));
  if (!route)
    return FrontRefusal{RefusalReason::RouteUnknown, {}};
  FrontRequest out;
  out.Table = State.Table;
  out.Route = route;
  uint32_t organisationPriority = 0;
  const OrganisationSpec *organisation =
      findOrganisation(*State.Table, Attributes.Key);
  bool isKeyed = !State.Table->Organisations.empty() && !route->IsOpen;
  if (isKeyed && !organisation)
    return FrontRefusal{Attributes.Key.empty() ? RefusalReason::KeyMissing
                                               : RefusalReason::KeyUnknown,
                        {}};
  if (organisation) {
    out.Organisation = organisation->Name;
    out.Cost = costOf(*organisation, Attributes);
    organisationPriority = organisation->Priority;
  }
  out.Urgency = std::min(std::min(organisationPriority, MaxUrgencyValue) *
                                 RoutePriorityLevels +
                             std::min(route->Priority, RoutePriorityLevels - 1),
                         MaxUrgencyValue);
  std::uniform_real_distribution<double> draw(0, 1);
  out.Service = selectService(*route, draw(State.Random));
  out.IsRepeatable =
      route->Kind == RequestKind::Idempotent ||
      (route->Kind == RequestKind::Streaming && route->IsResumable);
  out.Worth = worthOf(*route, Attributes);
  out.LastEvent = Attributes.LastEvent;
  out.Features = featuresOf(Attributes);
  out.Attributes = std::move(Attributes);
  setDeadlines(out, Now);
  return out;
}

} // namespace sassafras
