/// \file
/// HTTP requests that the load balancer, endpoints and operators send to a
/// front.
#ifndef SASSAFRAS_FRONT_FLEET_API_H
#define SASSAFRAS_FRONT_FLEET_API_H

#include "control/serving_group.h"
#include "front/front_core.h"

#include <functional>
#include <map>
#include <memory>

namespace sassafras {

/// All methods must be called on the thread that runs the I/O context.
class FleetApi {
public:
  struct Dependencies {
    FrontCore &Core;
    GossipState &Gossip;
    std::function<bool()> IsReady;
    /// Null on a front without a data folder.
    std::function<ServingGroup *()> Group;
    /// Address of the leader's operator interface, or empty when no leader is
    /// known.
    std::function<std::string()> LeaderAddress;
  };

  explicit FleetApi(Dependencies Dependencies);

  /// Answers a request, or forwards it to the serving group, whose result
  /// handleStoreResult passes on.
  void handleCall(const HttpRequest &Request,
                  const std::shared_ptr<HttpExchange> &Exchange);
  /// Completes the request that \p Result belongs to, if it is still pending.
  void handleStoreResult(const StoreResult &Result);

private:
  /// A request that waits for the serving group.
  struct PendingCall {
    std::shared_ptr<HttpExchange> Exchange;
    bool IsPut = false;
    uint64_t Version = 0;
    TimePoint StartedAt;
  };

  void putTable(const HttpRequest &Request,
                const std::shared_ptr<HttpExchange> &Exchange);
  void getTable(const std::shared_ptr<HttpExchange> &Exchange);
  void redirect(HttpExchange &Exchange, bool IsPut);

  Dependencies Deps;
  std::map<uint64_t, PendingCall> PendingCalls;
  uint64_t NextCallNumber = 1;
};

} // namespace sassafras

#endif
