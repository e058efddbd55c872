/// \file
/// Runs an agent's state machine in a process: an actor delivers its events,
/// and its effects go to the link, the endpoint's HTTP exchanges and timers.
#ifndef SASSAFRAS_AGENT_AGENT_SHELL_H
#define SASSAFRAS_AGENT_AGENT_SHELL_H

#include "core/role_shell.h"

namespace sassafras {

/// Creates the shell; it does nothing until it is started.
std::shared_ptr<RoleShell> makeAgentShell(const ShellParts &Parts);

} // namespace sassafras

#endif
