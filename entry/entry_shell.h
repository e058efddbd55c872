/// \file
/// Runs an entry in a process: HTTP server for callers, link to other nodes,
/// and the actor that steps the entry's state machine.
#ifndef SASSAFRAS_ENTRY_ENTRY_SHELL_H
#define SASSAFRAS_ENTRY_ENTRY_SHELL_H

#include "core/role_shell.h"

namespace sassafras {

/// Creates the shell; nothing runs before start is called. The objects that
/// \p Parts refers to must outlive it.
std::shared_ptr<RoleShell> makeEntryShell(const ShellParts &Parts);

} // namespace sassafras

#endif
