/// \file
/// The front process. It serves callers' requests and, when it has a data
/// folder, runs a member of the serving table's group.
#ifndef SASSAFRAS_FRONT_FRONT_SHELL_H
#define SASSAFRAS_FRONT_FRONT_SHELL_H

#include "core/role_shell.h"

namespace sassafras {

/// Everything in \p Parts must outlive the shell.
std::shared_ptr<RoleShell> makeFrontShell(const ShellParts &Parts);

} // namespace sassafras

#endif
