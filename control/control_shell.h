/// \file
/// Shell of a control process: runs the control state machine on an actor and
/// connects it to the disk, the link and HTTP.
#ifndef SASSAFRAS_CONTROL_CONTROL_SHELL_H
#define SASSAFRAS_CONTROL_CONTROL_SHELL_H

#include "core/role_shell.h"

namespace sassafras {

/// Creates the shell; nothing runs before start is called. The objects that
/// \p Parts refers to must outlive it.
std::shared_ptr<RoleShell> makeControlShell(const ShellParts &Parts);

} // namespace sassafras

#endif
