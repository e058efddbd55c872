/// \file
/// Engine agent process: polls a model engine on its host for its state, sends
/// it load and unload commands and reports to the fronts.
#ifndef SASSAFRAS_ENGINE_AGENT_ENGINE_AGENT_SHELL_H
#define SASSAFRAS_ENGINE_AGENT_ENGINE_AGENT_SHELL_H

#include "core/role_shell.h"

namespace sassafras {

/// Creates the shell; it does nothing until it is started.
std::shared_ptr<RoleShell> makeEngineAgentShell(const ShellParts &Parts);

} // namespace sassafras

#endif
