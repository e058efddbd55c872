/// \file
/// HTTP requests that the load balancer, endpoints and operators send to a
/// front.
#ifndef SASSAFRAS_FRONT_FLEET_API_H
#define SASSAFRAS_FRONT_FLEET_API_H

#include "control/serving_group.h"
#include "front/front_core.h"
#include "platform/announcement_codec.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

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
  /// Forwards the order in \p Proposal of the operator's tool, which is sent
  /// its result at \p ReplyAddress.
  void handleProposal(const wire::Proposal &Proposal,
                      const std::string &ReplyAddress);
  /// Completes the request that \p Result belongs to, if it is still pending.
  void handleStoreResult(const StoreResult &Result);

private:
  /// A request that waits for the serving group.
  struct PendingCall {
    std::shared_ptr<HttpExchange> Exchange; ///< Null for a proposal.
    bool IsPut = false;
    uint64_t Version = 0;
    TimePoint StartedAt;
    std::optional<platform::EvacuationOrder> Order;
    std::string RequestId;    ///< Of a proposal.
    std::string ReplyAddress; ///< The same.
  };

  void putTable(const HttpRequest &Request,
                const std::shared_ptr<HttpExchange> &Exchange);
  void getTable(const std::shared_ptr<HttpExchange> &Exchange);
  void evacuate(const platform::EvacuationOrder &Order,
                const std::shared_ptr<HttpExchange> &Exchange);
  void finishEvacuation(const PendingCall &Call, const StoreResult &Result);
  void finishProposal(const PendingCall &Call, const StoreResult &Result);
  void redirect(HttpExchange &Exchange, const std::string &Path);

  Dependencies Deps;
  std::map<uint64_t, PendingCall> PendingCalls;
  uint64_t NextCallNumber = 1;
};

} // namespace sassafras

#endif
