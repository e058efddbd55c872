/// \file
/// Shell of a process: callers' HTTP, link and actor around an entry's
/// decisions.
#ifndef SASSAFRAS_ENTRY_ENTRY_SHELL_H
#define SASSAFRAS_ENTRY_ENTRY_SHELL_H

#include "core/role_shell.h"

namespace sassafras {

/// Makes the shell; nothing runs before its start.
std::shared_ptr<RoleShell> makeEntryShell(const ShellParts &Parts);

} // namespace sassafras

#endif
