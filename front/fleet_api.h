/// \file
/// Calls that the balancer, endpoints and operators make to a front.
#ifndef SASSAFRAS_FRONT_FLEET_API_H
#define SASSAFRAS_FRONT_FLEET_API_H

#include "control/serving_group.h"
#include "front/front_core.h"

#include <functional>
#include <map>
#include <memory>

namespace sassafras {

/// All methods on the context's thread.
class FleetApi {
public:
  struct Parts {
    FrontCore &Core;
    GossipState &Gossip;
    std::function<bool()> IsReady;
    /// Null on a front without a data folder.
    std::function<ServingGroup *()> Group;
    /// Operators' address of the leader, or empty.
    std::function<std::string()> LeaderAddress;
  };

  explicit FleetApi(Parts Parts);

  void take(const HttpRequest &Request,
            const std::shared_ptr<HttpExchange> &Exchange);
  void takeAnswer(const StoreAnswer &Answer);

private:
  struct OpenCall {
    std::shared_ptr<HttpExchange> Exchange;
    bool IsPut = false;
    uint64_t Version = 0;
    TimePoint Since;
  };

  void putTable(const HttpRequest &Request,
                const std::shared_ptr<HttpExchange> &Exchange);
  void getTable(const std::shared_ptr<HttpExchange> &Exchange);
  void redirect(HttpExchange &Exchange, bool IsPut);

  Parts With;
  std::map<uint64_t, OpenCall> Calls;
  uint64_t NextCall = 1;
};

} // namespace sassafras

#endif
