/// \file
/// Shell of a process: link, endpoint exchanges and actor around an agent's
/// decisions.
#ifndef SASSAFRAS_AGENT_AGENT_SHELL_H
#define SASSAFRAS_AGENT_AGENT_SHELL_H

#include "core/role_shell.h"

namespace sassafras {

/// Makes the shell; nothing runs before its start.
std::shared_ptr<RoleShell> makeAgentShell(const ShellParts &Parts);

} // namespace sassafras

#endif
