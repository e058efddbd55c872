/// \file
/// Runs one member of the group that replicates the serving table. Its state
/// machine runs on an actor of its own, so that a slow or hanging disk blocks
/// nothing else in the process.
#ifndef SASSAFRAS_CONTROL_SERVING_GROUP_H
#define SASSAFRAS_CONTROL_SERVING_GROUP_H

#include "control/serving_store.h"
#include "core/role_actor.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace sassafras {

class Link;
class Metrics;

struct ServingGroupOptions {
  std::string Node;
  std::string DataFolder;
  std::vector<std::string> Seeds; ///< Link addresses of the seed members.
  bool MayForm = false; ///< May form a new group; first start of a fleet only.
  /// Losses of hosts with a disk at once that acknowledged tables survive.
  uint32_t LossesBorne = 1;
};

/// Called on the io_context's thread, and not after the group is destroyed.
struct ServingGroupCallbacks {
  std::function<void(StorePublish)> OnPublish; ///< A newer table is committed.
  /// The evacuations have changed.
  std::function<void(StorePublishEvacuations)> OnEvacuations;
  std::function<void(StoreResult)> OnResult;
  std::function<void(StoreView)> OnView; ///< The view has changed.
};

/// All methods are thread safe. After a disk failure the member stops taking
/// part in the group and periodically tries to reopen its data folder; the rest
/// of the process continues without it.
class ServingGroup {
public:
  ServingGroup(boost::asio::io_context &Io, caf::actor_system &System,
               Link &Peers, Metrics &Counts, ServingGroupOptions Options,
               ServingGroupCallbacks Callbacks);
  /// Waits for a running handler, unless the group is closed.
  ~ServingGroup();
  ServingGroup(const ServingGroup &) = delete;
  ServingGroup &operator=(const ServingGroup &) = delete;

  /// Starts the actor. Call once, after the link has been started.
  void start();
  /// Queues an event. Results of StoreWrite, StoreEvacuate and StoreRead come
  /// through OnResult; they are Unavailable while the data folder cannot be
  /// used.
  void post(StoreEvent Event);
  /// Stops the actor as RoleActor::close does. Call before the link is closed.
  void close(TimePoint Deadline, std::function<void(bool)> OnClosed);
  /// True when the group uses neither its disk nor the link any more.
  bool isClosed() const;

private:
  struct Impl;
  std::shared_ptr<Impl> Data;
  RoleActor<StoreEvent> Role;
};

} // namespace sassafras

#endif
