/// \file
/// The process beside a model engine: reads its state, gives it orders and
/// tells the fronts.
#ifndef SASSAFRAS_ENGINE_AGENT_ENGINE_AGENT_SHELL_H
#define SASSAFRAS_ENGINE_AGENT_ENGINE_AGENT_SHELL_H

#include "core/role_shell.h"

namespace sassafras {

std::shared_ptr<RoleShell> makeEngineAgentShell(const ShellParts &Parts);

} // namespace sassafras

#endif
