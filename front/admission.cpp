#include "front/admission.h"

#include <algorithm>
#include <cmath>

namespace sassafras {

namespace {

/// Callers of streams give up after the longest of these pauses.
constexpr Millis LeastPatience{2'000};
constexpr int PatienceObjectives = 4;
constexpr int PatienceGaps = 8;
/// An output token costs an endpoint about as much as so many prompt tokens.
constexpr double OutputTokenWeight = 10;
/// Mean size of a request in prompt tokens, output weighted; sizes are
/// compared with it.
constexpr double MeanSize = 4'000;
/// Callers that wait this long have the usual worth.
constexpr Millis UsualTimeout{6'000};
/// A front that has just started learns the table within this time.
constexpr Millis UnknownTableRetry{500};
/// Who is worth a long wait is worth more than in proportion.
constexpr double PatienceExponent = 1.5;
constexpr double LeastWorth = 0.5;
constexpr double MostWorth = 12;
constexpr uint32_t LeastUrgent = 9;
constexpr uint32_t RoutePriorities = 3;

std::string pathOf(const std::string &Target) {
  return Target.substr(0, Target.find('?'));
}

/// Callers with a long timeout ask for what is worth waiting for; large
/// requests count for more, within bounds.
double worthOf(const ServingRoute &Route, const RequestAttributes &Attributes) {
  double patience =
      std::clamp(std::pow(static_cast<double>(Route.Timeout.count()) /
                              static_cast<double>(UsualTimeout.count()),
                          PatienceExponent),
                 LeastWorth, MostWorth);
  if (!Attributes.HasTokenCounts)
    return patience;
  double size =
      static_cast<double>(Attributes.PromptTokens) +
      OutputTokenWeight * static_cast<double>(Attributes.OutputTokens);
  return patience * (0.3 + 0.7 * std::min(size / MeanSize, 4.0));
}

double costOf(const OrganisationSpec &Organisation,
              const RequestAttributes &Attributes) {
  if (!Organisation.CountsTokens)
    return 1;
  if (!Attributes.HasTokenCounts)
    return static_cast<double>(Organisation.PlainTokens);
  return static_cast<double>(Attributes.PromptTokens + Attributes.OutputTokens);
}

void setTimes(FrontRequest &Request, TimePoint Now) {
  const ServingRoute &route = *Request.Route;
  Millis left = Request.Attributes.TimeLeft
                    ? std::min(*Request.Attributes.TimeLeft, route.Timeout)
                    : route.Timeout;
  Request.ArrivedAt = Now;
  Request.Deadline = Now + left;
  Request.ObjectiveEnd =
      Now + (route.Objective.count() > 0 ? route.Objective : route.Timeout);
  Millis patience = left;
  if (route.Kind == RequestKind::Streaming)
    patience = std::min(
        left, std::max({LeastPatience, route.Objective * PatienceObjectives,
                        route.GapTarget * PatienceGaps}));
  Request.PatienceEnd = Now + patience;
}

} // namespace

std::variant<FrontRequest, FrontRefusal>
admitRequest(FrontState &State, RequestAttributes Attributes, TimePoint Now) {
  if (!State.Table)
    return FrontRefusal{RefusalReason::TableUnknown, UnknownTableRetry};
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
  out.Urgency = std::min(organisationPriority * RoutePriorities +
                             std::min(route->Priority, RoutePriorities - 1),
                         LeastUrgent);
  std::uniform_real_distribution<double> point(0, 1);
  out.Service = serviceAt(*route, point(State.Random));
  out.IsRepeatable =
      route->Kind == RequestKind::Idempotent ||
      (route->Kind == RequestKind::Streaming && route->IsResumable);
  out.Worth = worthOf(*route, Attributes);
  out.LastEvent = Attributes.LastEvent;
  out.Attributes = std::move(Attributes);
  setTimes(out, Now);
  return out;
}

} // namespace sassafras
