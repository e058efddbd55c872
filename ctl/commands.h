/// \file
/// The operator's commands.
#ifndef SASSAFRAS_CTL_COMMANDS_H
#define SASSAFRAS_CTL_COMMANDS_H

#include "core/settings.h"

#include <optional>
#include <string>
#include <vector>

namespace sassafras {

/// Exit codes of the tool.
enum class ToolExit {
  Ok = 0,
  Refused = 1,     ///< The fleet said no; the reason is printed.
  Usage = 2,       ///< The command or a file is wrong.
  Unreachable = 3, ///< No leader answered in time.
  Conflict = 4,    ///< Another version stands: read it and try again.
};

struct ToolOptions {
  bool IsJson = false;
  bool IsWaiting = false;       ///< Until the change is in force.
  std::optional<uint64_t> Base; ///< Version that an edit is based on.
  std::string OperationId;      ///< Given by the operator for a resend.
  std::string KeyId;
};

/// Runs the command in \p Words and prints to the standard streams.
ToolExit runCommand(const Settings &Settings, const ToolOptions &Options,
                    const std::vector<std::string> &Words);

/// `explain ID LOG...`: prints what the logs tell of one request.
ToolExit explainRequest(const std::vector<std::string> &Words);

} // namespace sassafras

#endif
