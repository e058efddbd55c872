/// \file
/// Validated settings of one daemon.
#ifndef SASSAFRAS_CORE_SETTINGS_H
#define SASSAFRAS_CORE_SETTINGS_H

#include "core/logging.h"
#include "core/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sassafras {

enum class NodeRole { Entry, Control, Agent, Front, EngineAgent };

/// [control_role]: read by control processes only.
struct ControlSettings {
  std::string DataFolder;
  uint32_t LoadsPerSecond = 5;
  uint32_t LoadsAtOnce = 4;
  uint32_t AdaptersAtOnce = 32;
  uint32_t SnapshotEntries = 2000;
  /// Bounds of the idle time-out; the lower one applies while memory is free.
  Millis ShortestIdle{5'000};
  Millis LongestIdle{600'000};
  Millis LoadTime{10'000}; ///< Delay of a cold start for a caller.
  /// Idle seconds that cost as much as one second of waiting.
  double ColdStartPrice = 3;
};

/// [agent_role]: read by agents only.
struct AgentSettings {
  uint32_t Slots = 8;
  /// Row of the plain service that the agent serves; empty: a model engine.
  std::string Service;
};

/// [entry_role]: read by entries only.
struct EntrySettings {
  uint32_t HeadBytes = 32 * 1024;
  uint64_t BodyBytes = 8ULL * 1024 * 1024;
};

/// [front_role]: entry and control in one process, on a managed platform.
struct FrontSettings {
  std::string Ready;   ///< Address of the balancer's readiness check.
  std::string Control; ///< Address for operators and endpoints.
  std::vector<std::string> Seeds; ///< Control addresses of some fronts.
  bool MayForm = false; ///< Set when the fleet starts for the first time.
  /// Losses at once of fronts with a disk that accepted tables survive; option
  /// losses-borne.
  uint32_t LossesBorne = 1;
  std::string DataFolder;  ///< Empty: stores no log.
  double RetryRatio = 0.2; ///< Retries per request of a service.
  double RetrySlack = 60;  ///< Further retries per window, for all fronts.
  Millis RetryWindow{10'000};
  Millis RateWindow{8'000};   ///< Limits are checked over this window.
  double RateOvershoot = 0.1; ///< Allowed over rate and burst, as a fraction.
  double RateSlack = 0;       ///< Allowed beyond that, in tokens.
  /// Requests to a cold endpoint in one second: allowed as a multiple of the
  /// rate that it states, and beyond that. There is a bound if both are set.
  std::optional<double> ColdOvershoot;
  std::optional<double> ColdSlack;
  /// Engines fail when their requests exceed their memory.
  bool EnginesFailWhenFull = false;
  /// Bounds of how long an endpoint's word keeps it without requests: one that
  /// asks for a pause, and one that states that it leaves.
  Millis LongestPause{60'000};
  Millis LongestLeaving{600'000};
  /// Time that a caller may wait longer to keep a megabyte within its zone.
  /// Absent: leaving the zone has a fixed penalty instead.
  std::optional<Millis> CrossingWaitPerMegabyte;
  Millis StopGrace{8'000}; ///< From the stop signal to the exit.
};

/// [engine_agent_role]: the process that runs next to a model engine.
struct EngineAgentSettings {
  std::string Engine; ///< Address of the engine.
  std::vector<std::string> Seeds;
};

struct Settings {
  std::string Fleet;
  std::string Node;
  NodeRole Role = NodeRole::Entry;
  std::string Zone;
  std::string Listen; ///< Address for the internal protocol.
  std::string Http;   ///< Address for callers, announcements, health, metrics.
  std::vector<std::string> Control;
  std::string KeySalt;
  LogLevel Level = LogLevel::Info;
  ControlSettings ControlRole;
  AgentSettings AgentRole;
  EntrySettings EntryRole;
  FrontSettings FrontRole;
  EngineAgentSettings EngineAgentRole;
};

} // namespace sassafras

#endif
