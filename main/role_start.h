/// \file
/// Start of a role, repeated while it lacks something that may come.
#ifndef SASSAFRAS_MAIN_ROLE_START_H
#define SASSAFRAS_MAIN_ROLE_START_H

#include "core/role_shell.h"

#include <functional>
#include <memory>

namespace sassafras {

enum class StartOutcome {
  Started,
  Stopped, ///< The process was to stop before the start succeeded.
  Failed,
};

/// Makes a shell with \p MakeShell and starts it, a new one for each attempt:
/// one that has failed leaves no socket open meanwhile. A temporary problem is
/// retried for a limited time, unless \p IsStopped returns true. Sets \p Shell
/// when the outcome is Started. Blocks; call before \p Io runs.
StartOutcome
startRole(boost::asio::io_context &Io,
          const std::function<std::shared_ptr<RoleShell>()> &MakeShell,
          const std::function<bool()> &IsStopped,
          std::shared_ptr<RoleShell> &Shell);

} // namespace sassafras

#endif
