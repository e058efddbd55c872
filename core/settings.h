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

enum class NodeRole { Entry, Control, Agent };

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
};

} // namespace sassafras

#endif
