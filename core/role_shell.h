/// \file
/// Interface of a role's shell: it performs the I/O that the decisions of the
/// role's state machine require.
#ifndef SASSAFRAS_CORE_ROLE_SHELL_H
#define SASSAFRAS_CORE_ROLE_SHELL_H

#include "core/memory_budget.h"
#include "core/settings.h"
#include "core/start_problem.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>

namespace caf {
class actor_system;
} // namespace caf

namespace sassafras {

class Metrics;

/// Dependencies of a shell. They must outlive it.
struct ShellParts {
  boost::asio::io_context &Io;
  caf::actor_system &System;
  const Settings &Options;
  Metrics &Counts;
  MemoryBudgetPtr Memory; ///< For requests and responses; not null.
};

class RoleShell {
public:
  virtual ~RoleShell() = default;
  /// Binds the listening sockets, restores stored state and starts the role.
  /// Returns false, with the reason in \p Problem, on failure; the shell is of
  /// no use then, and no caller has been served. Call once, before the I/O
  /// context runs.
  virtual bool start(StartProblem &Problem) = 0;
  /// Starts a graceful stop, after which the I/O context's run() returns.
  /// Thread safe; repeated calls have no effect.
  virtual void stop() = 0;
  /// Applies changed settings. Settings that the role cannot change while it
  /// runs keep their values. Call on the I/O context's thread.
  virtual void reload(const Settings &) {}
  /// True when no handler of the role runs on another thread. The shell must
  /// not be destroyed before. Call on the I/O context's thread.
  virtual bool isClosed() const { return true; }
};

} // namespace sassafras

#endif
