/// \file
/// Process of a control member: disk, link and actor around the decisions.
#ifndef SASSAFRAS_CONTROL_CONTROL_SHELL_H
#define SASSAFRAS_CONTROL_CONTROL_SHELL_H

#include "core/settings.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>

namespace caf {
class actor_system;
} // namespace caf

namespace sassafras {

class Metrics;

class ControlShell {
public:
  ControlShell(boost::asio::io_context &Io, caf::actor_system &System,
               const Settings &Options, Metrics &Counts);
  ~ControlShell();
  ControlShell(const ControlShell &) = delete;
  ControlShell &operator=(const ControlShell &) = delete;

  /// Reads the data folder and starts. False with the reason on failure.
  /// Call once.
  bool start(std::string &Problem);
  /// Asks for a graceful stop; the context's run ends then. Thread safe.
  void stop();

private:
  struct Impl;
  std::shared_ptr<Impl> Data;
};

} // namespace sassafras

#endif
