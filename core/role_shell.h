/// \file
/// A process's shell: what carries a role's decisions out.
#ifndef SASSAFRAS_CORE_ROLE_SHELL_H
#define SASSAFRAS_CORE_ROLE_SHELL_H

#include "core/settings.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>

namespace caf {
class actor_system;
} // namespace caf

namespace sassafras {

class Metrics;

/// What every shell is built from; all of it outlives the shell.
struct ShellParts {
  boost::asio::io_context &Io;
  caf::actor_system &System;
  const Settings &Options;
  Metrics &Counts;
};

class RoleShell {
public:
  virtual ~RoleShell() = default;
  /// Binds, restores and starts. False, with the reason in \p Problem, on
  /// failure. Call once, before the context runs.
  virtual bool start(std::string &Problem) = 0;
  /// Asks for a graceful stop; the context's run ends then. Thread safe; a
  /// second call changes nothing.
  virtual void stop() = 0;
  /// The settings file has changed. Call on the context's thread. What a role
  /// cannot change while it runs stays as it was.
  virtual void reload(const Settings &) {}
};

} // namespace sassafras

#endif
