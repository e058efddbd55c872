/// \file
/// Checked settings of one daemon.
#ifndef SASSAFRAS_CORE_SETTINGS_H
#define SASSAFRAS_CORE_SETTINGS_H

#include "core/logging.h"
#include "core/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace sassafras {

enum class NodeRole { Entry, Control, Agent, Front, EngineAgent };

/// [control_role]: only read by control processes.
struct ControlSettings {
  std::string DataFolder;
  uint32_t LoadsPerSecond = 5;
  uint32_t LoadsAtOnce = 4;
  uint32_t AdaptersAtOnce = 32;
  uint32_t SnapshotEntries = 2000;
  Millis ShortestIdle{5'000};
  Millis LongestIdle{600'000};
  Millis LoadTime{10'000};
  double ColdStartPrice = 3;
};

/// [agent_role]: only read by agents.
struct AgentSettings {
  uint32_t Slots = 8;
  std::string Service; ///< Row of the plain service beside it; empty: engine.
};

/// [entry_role]: only read by entries.
struct EntrySettings {
  uint32_t HeadBytes = 32 * 1024;
  uint64_t BodyBytes = 8ULL * 1024 * 1024;
};

/// [front_role]: entry and control in one process, on a prepared platform.
struct FrontSettings {
  std::string Ready;              ///< The balancer's question is answered here.
  std::string Control;            ///< Operators and endpoints call here.
  std::vector<std::string> Seeds; ///< Control addresses of some fronts.
  bool MayForm = false;           ///< The fleet starts for the first time.
  std::string DataFolder;         ///< Empty: keeps no log.
  double RetryRatio = 0.2;        ///< Retries for each request of a service.
  double RetrySlack = 60;     ///< Retries beyond that in a window, all fronts.
  Millis RateWindow{8'000};   ///< Limits are judged over this.
  double RateOvershoot = 0.1; ///< Allowed beyond rate and burst, as a part.
  double RateSlack = 0;       ///< Allowed beyond that, in tokens.
  Millis StopGrace{8'000};    ///< From the signal to stop to the end.
};

/// [engine_agent_role]: the process beside a model engine.
struct EngineAgentSettings {
  std::string Engine; ///< Address of the engine.
  std::vector<std::string> Seeds;
};

struct Settings {
  std::string Fleet;
  std::string Node;
  NodeRole Role = NodeRole::Entry;
  std::string Zone;
  std::string Listen; ///< Inner protocol.
  std::string Http;   ///< Callers, announcements, health and metrics.
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
