/// \file
/// What an operator wants served: routes, services with the models of their
/// engines, organisations with keys and limits. One version replaces the
/// whole.
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

/// Part of a route's requests that goes to a service.
struct ServiceShare {
  std::string Service;
  uint32_t Weight = 0;
};

struct ServingRoute {
  std::string Name;
  std::string Host;
  std::string PathPrefix; ///< Begins and ends with a slash.
  RequestKind Kind = RequestKind::NonIdempotent;
  Millis Timeout{0};     ///< Longest time a caller is kept waiting.
  Millis Objective{0};   ///< An answer within this time is on time.
  Millis GapTarget{0};   ///< Longest pause between events of a stream.
  uint32_t Priority = 0; ///< 0 is the most urgent.
  uint32_t MaxAttempts = 1;
  bool IsOpen = false; ///< No key needed.
  bool IsResumable = false;
  std::vector<ServiceShare> Services;
};

struct ModelSpec {
  std::string Name;
  uint64_t WeightsMb = 0;
  uint64_t AdapterMb = 0;
  uint32_t AdapterCount = 0;
  Millis StoreLoad{0};
  Millis DiskLoad{0};
  Millis MemoryLoad{0};
};

/// Model engines of a service; all are alike.
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
  uint32_t MaxConnections = 0;
  std::optional<EngineSpec> Engine; ///< Absent for plain services.
};

struct OrganisationSpec {
  std::string Name;
  std::vector<std::string> Keys;
  uint32_t Priority = 0;
  bool CountsTokens = false;
  uint64_t PlainTokens = 1; ///< Cost of a request without token counts.
  double RatePerSecond = 0; ///< 0 for no limit.
  double Burst = 0;
};

/// Bounds on what callers send.
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
  /// Filled by indexServingTable: positions in Routes by host, and in
  /// Organisations by key.
  std::multimap<std::string, size_t> RoutesByHost;
  std::map<std::string, size_t, std::less<>> OrganisationByKey;
};

using ServingTablePtr = std::shared_ptr<const ServingTable>;

/// Why \p Table must not come into force; nothing when it is sound. Pure and
/// thread safe.
std::optional<std::string> checkServingTable(const ServingTable &Table);
/// Fills the indexes. Precondition: the table is sound.
void indexServingTable(ServingTable &Table);
/// Route of the host with the longest prefix of \p Path, or null. Pure and
/// thread safe.
const ServingRoute *findRoute(const ServingTable &Table, std::string_view Host,
                              std::string_view Path);
/// Holder of \p Key, or null. Pure and thread safe.
const OrganisationSpec *findOrganisation(const ServingTable &Table,
                                         std::string_view Key);
/// Service for a request whose place in the split is \p Point, from 0 up to
/// but not including 1. Pure and thread safe.
const std::string &selectService(const ServingRoute &Route, double Point);

} // namespace sassafras

#endif
