/// \file
/// Commands of the operator's tool.
#ifndef SASSAFRAS_CTL_COMMANDS_H
#define SASSAFRAS_CTL_COMMANDS_H

#include "core/settings.h"

#include <optional>
#include <string>
#include <vector>

namespace sassafras {

/// Exit codes of sassafrasctl.
enum class ToolExit {
  Ok = 0,
  Refused = 1,     ///< The fleet refused the command; the reason is printed.
  Usage = 2,       ///< The command line or an input file is invalid.
  Unreachable = 3, ///< No leader replied, or the change is not yet in force.
  Conflict = 4,    ///< Stale base version, or the key or its id is taken.
};

struct ToolOptions {
  bool IsJson = false;
  bool WaitsUntilInForce = false; ///< Return only after the change is in force.
  /// Table version that an edit is based on.
  std::optional<uint64_t> BaseVersion;
  std::string OperationId; ///< Makes a resent command idempotent.
  bool IsEnd = false;      ///< Ends an evacuation instead of starting it.
  std::string KeyId;       ///< Id of the key to grant; empty for a derived one.
};

/// Runs the command in \p Arguments. Prints results to standard output and
/// errors to standard error.
ToolExit runCommand(const Settings &Settings, const ToolOptions &Options,
                    const std::vector<std::string> &Arguments);

/// Runs `explain ID LOG...`: prints the log lines that are related to one
/// request. A LOG of `-` is the standard input.
ToolExit explainRequest(const std::vector<std::string> &Arguments);

} // namespace sassafras

#endif
