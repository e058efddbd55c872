/// \file
/// The front process: callers' entry and the serving table's group in one.
#ifndef SASSAFRAS_FRONT_FRONT_SHELL_H
#define SASSAFRAS_FRONT_FRONT_SHELL_H

#include "core/role_shell.h"

namespace sassafras {

std::shared_ptr<RoleShell> makeFrontShell(const ShellParts &Parts);

} // namespace sassafras

#endif
