#include "fleet/serving_table.h"

#include <numeric>
#include <set>

namespace sassafras {

namespace {

std::optional<std::string> checkRoute(const ServingTable &Table,
                                      const ServingRoute &Route) {
  std::string name = "route " + Route.Name;
  const std::string &prefix = Route.PathPrefix;
  if (prefix.empty() || prefix.front() != '/' || prefix.back() != '/')
    return name + ": the path prefix must begin and end with a slash";
  if (Route.Timeout.count() <= 0)
    return name + ": the timeout must be above 0";
  uint64_t sum = 0;
  for (const ServiceShare &it : Route.Services) {
    if (!Table.Services.contains(it.Service))
      return name + ": unknown service " + it.Service;
    sum += it.Weight;
  }
  if (sum == 0)
    return name + ": the weights add up to 0";
  return std::nullopt;
}

} // namespace

std::optional<std::string> checkServingTable(const ServingTable &Table) {
  std::set<std::pair<std::string, std::string>> prefixes;
  for (const ServingRoute &it : Table.Routes) {
    if (auto problem = checkRoute(Table, it))
      return problem;
    if (!prefixes.emplace(it.Host, it.PathPrefix).second)
      return "route " + it.Name + ": host and path prefix are used twice";
  }
  std::map<std::string, std::string> owners;
  for (const OrganisationSpec &organisation : Table.Organisations)
    for (const std::string &key : organisation.Keys) {
      auto [it, isNew] = owners.emplace(key, organisation.Name);
      if (!isNew && it->second != organisation.Name)
        return "organisations " + it->second + " and " + organisation.Name +
               " share a key";
    }
  return std::nullopt;
}

void indexServingTable(ServingTable &Table) {
  Table.RoutesByHost.clear();
  Table.OrganisationByKey.clear();
  for (size_t i = 0; i < Table.Routes.size(); ++i)
    Table.RoutesByHost.emplace(Table.Routes[i].Host, i);
  for (size_t i = 0; i < Table.Organisations.size(); ++i)
    for (const std::string &it : Table.Organisations[i].Keys)
      Table.OrganisationByKey.emplace(it, i);
}

const ServingRoute *findRoute(const ServingTable &Table, std::string_view Host,
                              std::string_view Path) {
  const ServingRoute *best = nullptr;
  auto [it, end] = Table.RoutesByHost.equal_range(std::string(Host));
  for (; it != end; ++it) {
    const ServingRoute &route = Table.Routes[it->second];
    bool isLonger = !best || route.PathPrefix.size() > best->PathPrefix.size();
    if (isLonger && Path.starts_with(route.PathPrefix))
      best = &route;
  }
  return best;
}

const OrganisationSpec *findOrganisation(const ServingTable &Table,
                                         std::string_view Key) {
  auto it = Table.OrganisationByKey.find(Key);
  return it == Table.OrganisationByKey.end() ? nullptr
                                             : &Table.Organisations[it->second];
}

const std::string &selectService(const ServingRoute &Route, double Point) {
  uint64_t sum = std::accumulate(
      Route.Services.begin(), Route.Services.end(), uint64_t{0},
      [](uint64_t n, const ServiceShare &it) { return n + it.Weight; });
  double remainder = Point * static_cast<double>(sum);
  for (const ServiceShare &it : Route.Services) {
    remainder -= it.Weight;
    if (remainder < 0)
      return it.Service;
  }
  return Route.Services.back().Service;
}

std::string_view nameOf(RequestKind Kind) {
  switch (Kind) {
  case RequestKind::Idempotent:
    return "idempotent";
  case RequestKind::NonIdempotent:
    return "non_idempotent";
  case RequestKind::Streaming:
    return "streaming";
  }
  return "unknown";
}

} // namespace sassafras
