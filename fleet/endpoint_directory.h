/// \file
/// Endpoints as a front knows them: soft state from announcements, which may
/// be late, crossed or foreign, and from the reports of engine agents.
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

/// An endpoint that was not heard of for this long takes no work. Some missed
/// announcements at the platform's pace of one in 1.2 s.
inline constexpr Millis EndpointTimeout{6'000};
/// Reports of an agent's earlier process are told apart for this long; some
/// periods of its reports.
inline constexpr Millis ReadingMemory{2'000};
/// What is known of an endpoint that is gone is kept this long, so that late
/// announcements do not bring it back.
inline constexpr Millis GoneMemory{60'000};

/// Models and load of one engine, from its agent or its announcement.
struct EngineState {
  TimePoint ReadAt;
  bool IsFromAgent = false;
  bool IsBusy = false;
  bool IsSilent = false;
  uint32_t Active = 0;
  uint32_t Queued = 0;
  uint64_t KvUsed = 0;
  uint64_t KvTotal = 0;
  uint64_t OrderDone = 0;
  std::string AgentAddress; ///< Inner address of its agent, or empty.
  std::string Loading; ///< Model that its agent was ordered to load, or empty.
  std::map<std::string, std::set<std::string>> Models; ///< With adapters.
  bool HasWeightLocations = false; ///< It was told what lies at this engine.
  std::set<std::string> InMemory;
  std::set<std::string> OnDisk;
};

struct KnownEndpoint {
  std::string Id;
  std::string Service;
  std::string Address;
  std::string Zone;
  uint64_t BornMs = 0; ///< By the endpoint's wall clock.
  uint64_t Sequence = 0;
  uint32_t Slots = 1;
  bool IsDraining = false;
  bool HasLeft = false;
  TimePoint TakenAwayAt; ///< Set when it is removed at short notice.
  TimePoint HeardAt;
  TimePoint WarmingUpUntil; ///< Slower than later, just after its start.
};

/// What an agent said last of the engine at an address.
struct AgentReading {
  uint64_t Incarnation = 0; ///< Of the agent.
  uint64_t Number = 0;
  uint64_t BornMs = 0; ///< Of the engine.
  EngineState State;
};

struct EndpointDirectory {
  std::map<std::string, KnownEndpoint> Endpoints; ///< By id.
  std::map<std::string, std::string> IdByAddress;
  std::map<std::string, AgentReading> AgentReports; ///< By engine address.
  std::map<std::string, EngineState> Announced;     ///< By id.
};

/// What a sighting changed.
enum class SightingResult {
  Ignored,   ///< Late, or older than what stands.
  Refreshed, ///< Heard again, nothing else.
  Changed,   ///< New, or its state differs.
};

/// Takes in what was heard of an endpoint, here or at another front.
SightingResult applySighting(EndpointDirectory &Directory,
                             const wire::EndpointSighting &Sighting,
                             TimePoint Now);
/// Takes in an agent's report. False when a newer one is known.
bool applyReport(EndpointDirectory &Directory, const wire::EngineReport &Report,
                 TimePoint Now);
/// Forgets what is gone for long.
void expireEndpoints(EndpointDirectory &Directory, TimePoint Now);

/// True while it is there, though it may take no new work.
bool isServing(const KnownEndpoint &Endpoint, TimePoint Now);
/// True while new work may be sent there.
bool isUsable(const KnownEndpoint &Endpoint, TimePoint Now);
/// Newest knowledge of its engine, or null.
const EngineState *findEngineState(const EndpointDirectory &Directory,
                                   const KnownEndpoint &Endpoint);
/// Digest over identity and state of all endpoints, equal at fronts that know
/// the same.
uint64_t digestEndpoints(const EndpointDirectory &Directory);
/// Everything known, in the form in which it came.
std::vector<wire::EndpointSighting>
makeSightings(const EndpointDirectory &Directory, TimePoint Now);

} // namespace sassafras

#endif
