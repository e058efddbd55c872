/// \file
/// Runs one member of the serving table's group: its decisions on an actor
/// of their own, so that a slow or hanging disk holds up nothing else.
#ifndef SASSAFRAS_CONTROL_SERVING_GROUP_H
#define SASSAFRAS_CONTROL_SERVING_GROUP_H

#include "control/serving_store.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace caf {
class actor_system;
} // namespace caf

namespace sassafras {

class Link;
class Metrics;

struct ServingGroupOptions {
  std::string Node;
  std::string DataFolder;
  std::vector<std::string> Seeds; ///< Inner addresses.
  bool MayForm = false;           ///< The fleet starts for the first time.
};

/// Called on the context's thread.
struct ServingGroupCallbacks {
  std::function<void(StorePublish)> OnPublish;
  std::function<void(StoreResult)> OnResult;
  std::function<void(StoreView)> OnView;
};

/// All methods are thread safe. A member whose disk fails falls silent and
/// tries to open its folder again; the process goes on without it.
class ServingGroup {
public:
  ServingGroup(boost::asio::io_context &Io, caf::actor_system &System,
               Link &Peers, Metrics &Counts, ServingGroupOptions Options,
               ServingGroupCallbacks Calls);
  ~ServingGroup();
  ServingGroup(const ServingGroup &) = delete;
  ServingGroup &operator=(const ServingGroup &) = delete;

  /// Call once, after the link was started.
  void start();
  void post(StoreEvent Event);
  /// Ends the actor. Call before the link is closed.
  void close();

private:
  struct Impl;
  std::shared_ptr<Impl> Data;
};

} // namespace sassafras

#endif
