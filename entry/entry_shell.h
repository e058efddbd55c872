/// \file
/// Process of an entry: HTTP towards callers, link and actor around the
/// decisions.
#ifndef SASSAFRAS_ENTRY_ENTRY_SHELL_H
#define SASSAFRAS_ENTRY_ENTRY_SHELL_H

#include "core/settings.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>

namespace caf {
class actor_system;
} // namespace caf

namespace sassafras {

class Metrics;

class EntryShell {
public:
  EntryShell(boost::asio::io_context &Io, caf::actor_system &System,
             const Settings &Options, Metrics &Counts);
  ~EntryShell();
  EntryShell(const EntryShell &) = delete;
  EntryShell &operator=(const EntryShell &) = delete;

  /// Binds and starts. False with the reason on failure. Call once.
  bool start(std::string &Problem);
  /// Asks for a graceful stop; the context's run ends then. Thread safe.
  void stop();

private:
  struct Impl;
  std::shared_ptr<Impl> Data;
};

} // namespace sassafras

#endif
