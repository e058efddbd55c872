/// \file
/// A front's view of the endpoints. It is soft state, built from the reports of
/// engine agents and from announcements, which may arrive late, out of order or
/// from another process at the same address.
#ifndef SASSAFRAS_FLEET_ENDPOINT_DIRECTORY_H
#define SASSAFRAS_FLEET_ENDPOINT_DIRECTORY_H

#include "core/time.h"
#include "wire/inner.pb.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace sassafras {

/// An endpoint that has not been heard from for this long gets no work. This
/// tolerates several lost announcements; the platform sends one every 1.2 s.
inline constexpr Millis EndpointTimeout{6'000};
/// A report with a lower agent incarnation is rejected if the last accepted
/// report is more recent than this, which covers several report periods.
inline constexpr Millis StaleReportWindow{2'000};
/// An endpoint is forgotten only after it has not been heard from for this
/// long, so that late announcements do not restore one that has left.
inline constexpr Millis EndpointRetention{60'000};

/// Software versions that were not heard from for this long are forgotten.
inline constexpr Millis VersionRetention = EndpointRetention + EndpointTimeout;
/// Number of versions that are remembered for each service, the newest ones.
inline constexpr size_t MaxSeenVersions = 16;

/// Models and load of one engine, as reported by its agent or announced.
struct EngineState {
  TimePoint ReadAt;
  bool IsFromAgent = false;
  bool IsBusy = false;
  bool IsSilent = false;
  uint32_t Active = 0;
  uint32_t Queued = 0;
  uint64_t KvUsed = 0;
  uint64_t KvTotal = 0;
  /// Time that work takes there, in percent of the usual time; 0: not stated.
  uint32_t PacePercent = 0;
  uint64_t OrderDone = 0;
  std::string AgentAddress; ///< Inner-protocol address, or empty.
  std::string Loading;      ///< Model of its agent's load order, or empty.
  /// Loaded models with their adapters.
  std::map<std::string, std::set<std::string>> Models;
  bool HasWeightLocations = false; ///< InMemory and OnDisk are known.
  std::set<std::string> InMemory;
  std::set<std::string> OnDisk;
};

struct KnownEndpoint {
  std::string Id;
  std::string Service;
  std::string Address;
  std::string Zone;
  std::string SoftwareVersion;
  uint64_t BornMs = 0; ///< Start time by the endpoint's wall clock.
  uint64_t Sequence = 0;
  uint64_t PreviousBornMs = 0; ///< Of the process before it under its id.
  TimePoint PreviousHeardAt;   ///< That process was last heard from.
  uint32_t Slots = 1;
  bool IsDraining = false;
  bool HasLeft = false;
  TimePoint TerminatesAt; ///< Set after a notice of termination.
  TimePoint HeardAt;
  TimePoint WarmingUpUntil; ///< It is cold and slower, by its announcements.
};

/// Latest report of an agent on the engine at an address.
struct AgentReport {
  uint64_t Incarnation = 0; ///< Of the agent.
  uint64_t Number = 0;
  uint64_t BornMs = 0; ///< Of the engine.
  EngineState State;
};

/// When an endpoint with each software version was last heard from.
using SeenVersions = std::map<std::string, TimePoint>;

struct EndpointDirectory {
  std::map<std::string, KnownEndpoint> Endpoints; ///< By id.
  std::map<std::string, std::string> IdByAddress;
  std::map<std::string, AgentReport> AgentReports; ///< By engine address.
  std::map<std::string, EngineState> Announced;    ///< By id.
  /// By service; those of endpoints that have been replaced included.
  std::map<std::string, SeenVersions> Versions;
};

/// Effect of an observation on the directory.
enum class ObservationResult {
  Ignored,   ///< Outdated, or a repeat of the last announcement.
  Refreshed, ///< Newer, without a change that others need.
  Changed,   ///< New or left, or its address or draining state differs.
};

/// Applies an observation of an endpoint, made here or at another front.
ObservationResult applyObservation(EndpointDirectory &Directory,
                                   const wire::EndpointObservation &Observation,
                                   TimePoint Now);
/// Applies an agent's report. False when a newer one is known, or when the
/// first report of an agent process has load figures only.
bool applyReport(EndpointDirectory &Directory, const wire::EngineReport &Report,
                 TimePoint Now);
/// Applies the load figures of an agent's report that another front received.
/// False when a newer report of the engine, or of another agent process, is
/// known.
bool applyLoad(EndpointDirectory &Directory, const wire::EngineLoad &Load,
               TimePoint Now);
/// Records that an endpoint of \p Service ran \p Version at \p SeenAt. Not
/// thread safe.
void recordVersion(EndpointDirectory &Directory, const std::string &Service,
                   const std::string &Version, TimePoint SeenAt);
/// Removes endpoints that have not been heard from for EndpointRetention, and
/// versions after VersionRetention.
void expireEndpoints(EndpointDirectory &Directory, TimePoint Now);

/// True while the endpoint has not left, been terminated or timed out. It may
/// be draining.
bool isServing(const KnownEndpoint &Endpoint, TimePoint Now);
/// True while new work may be sent to the endpoint.
bool isUsable(const KnownEndpoint &Endpoint, TimePoint Now);
/// True if an agent has reported a later process at the endpoint's address: the
/// endpoint's process has ended. Thread safe while nothing changes.
bool hasNewerProcess(const EndpointDirectory &Directory,
                     const KnownEndpoint &Endpoint);
/// Newest known state of the endpoint's engine, or null.
const EngineState *findEngineState(const EndpointDirectory &Directory,
                                   const KnownEndpoint &Endpoint);
/// Digest over identity and draining state of the current endpoints; equal at
/// fronts with the same knowledge.
uint64_t digestEndpoints(const EndpointDirectory &Directory);
/// All known endpoints whose address no other process has taken over, those
/// that have left included, as observations that another front can apply.
std::vector<wire::EndpointObservation>
makeObservations(const EndpointDirectory &Directory, TimePoint Now);

} // namespace sassafras

#endif
