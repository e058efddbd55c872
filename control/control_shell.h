/// \file
/// Shell of a process: disk, link and actor around the decisions of a control
/// member.
#ifndef SASSAFRAS_CONTROL_CONTROL_SHELL_H
#define SASSAFRAS_CONTROL_CONTROL_SHELL_H

#include "core/role_shell.h"

namespace sassafras {

/// Makes the shell; nothing runs before its start.
std::shared_ptr<RoleShell> makeControlShell(const ShellParts &Parts);

} // namespace sassafras

#endif
