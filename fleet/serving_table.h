/// \file
/// The operator's serving configuration: routes, services with the models of
/// their engines, organisations with keys and limits. Each version replaces the
/// whole table.
#ifndef SASSAFRAS_FLEET_SERVING_TABLE_H
#define SASSAFRAS_FLEET_SERVING_TABLE_H

#include "core/time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sassafras {

enum class RequestKind {
  Idempotent,    ///< May run more than once.
  NonIdempotent, ///< Runs at most once.
  Streaming,     ///< At most once, unless the route is resumable.
};

/// Name of \p Kind in metrics.
std::string_view nameOf(RequestKind Kind);

/// A service of a route, with its weight in the split of the route's requests.
struct ServiceShare {
  std::string Service;
  uint32_t Weight = 0;
};

struct ServingRoute {
  std::string Name;
  std::string Host;
  std::string PathPrefix; ///< Begins and ends with a slash.
  RequestKind Kind = RequestKind::NonIdempotent;
  Millis Timeout{0};     ///< Maximum time that a caller waits.
  Millis Objective{0};   ///< A response within this time is on time.
  Millis GapTarget{0};   ///< Longest intended gap between stream events.
  uint32_t Priority = 0; ///< 0 is the most urgent.
  uint32_t MaxAttempts = 1;
  bool IsOpen = false; ///< Requests need no API key.
  bool IsResumable = false;
  std::vector<ServiceShare> Services;
};

struct ModelSpec {
  std::string Name;
  uint64_t WeightsMb = 0;
  uint64_t AdapterMb = 0;
  uint32_t AdapterCount = 0;
  Millis StoreLoad{0};  ///< Load time from the weight store.
  Millis DiskLoad{0};   ///< Load time from the engine's disk.
  Millis MemoryLoad{0}; ///< Load time from the engine's memory.
};

/// Model engines of a service, which are all of one size.
struct EngineSpec {
  uint32_t Slots = 0;
  uint64_t KvTokens = 0;
  uint64_t WeightsMb = 0;
  uint32_t AdapterSlots = 0;
  double LoadsPerSecond = 0; ///< From the weight store, over all engines.
  std::map<std::string, ModelSpec> Models;
};

struct ServingService {
  std::string Name;
  std::string HealthPath = "/"; ///< Of its endpoints' health checks.
  uint32_t MaxConnections = 0;
  Millis ColdTime{0}; ///< Its endpoints are cold for this long from the start.
  /// Requests per second that a cold endpoint bears, over all fronts; 0: no
  /// less than a warm one.
  double ColdPerSecond = 0;
  std::optional<EngineSpec> Engine; ///< Absent without model engines.
};

struct OrganisationSpec {
  std::string Name;
  std::vector<std::string> Keys;
  uint32_t Priority = 0;
  bool CountsTokens = false; ///< Else each request costs 1.
  uint64_t PlainTokens = 1;  ///< Cost of a request without token counts.
  /// Tokens, or requests unless CountsTokens; 0 for no limit.
  double RatePerSecond = 0;
  double Burst = 0; ///< In the unit of RatePerSecond.
};

/// Limits on what callers may send.
struct CallerLimits {
  uint32_t HeadBytes = 16 * 1024;
  uint64_t BodyBytes = 4ULL * 1024 * 1024;
  Millis HeadTime{3'000};
  Millis IdleTime{15'000};
};

struct ServingTable {
  uint64_t Version = 0;
  std::vector<ServingRoute> Routes;
  std::map<std::string, ServingService> Services;
  std::vector<OrganisationSpec> Organisations;
  CallerLimits Limits;
  /// Indexes filled by indexServingTable: positions in Routes by host, and in
  /// Organisations by key.
  std::multimap<std::string, size_t> RoutesByHost;
  std::map<std::string, size_t, std::less<>> OrganisationByKey;
};

using ServingTablePtr = std::shared_ptr<const ServingTable>;

/// Reason why \p Table is invalid; nothing when it is valid. Pure and thread
/// safe.
std::optional<std::string> checkServingTable(const ServingTable &Table);
/// Fills the indexes of \p Table. Precondition: the table is valid.
void indexServingTable(ServingTable &Table);
/// Route of \p Host with the longest prefix of \p Path, or null. Pure and
/// thread safe.
const ServingRoute *findRoute(const ServingTable &Table, std::string_view Host,
                              std::string_view Path);
/// Organisation that holds \p Key, or null. Pure and thread safe.
const OrganisationSpec *findOrganisation(const ServingTable &Table,
                                         std::string_view Key);
/// Service for a request at \p Point of the weighted split, from 0 up to but
/// not including 1. Precondition: the table of the route is valid. Pure and
/// thread safe.
const std::string &selectService(const ServingRoute &Route, double Point);

} // namespace sassafras

#endif
