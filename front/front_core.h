/// \file
/// What the parts of a front process share: its state, its connections and
/// the requests that it holds. Everything runs on the context's thread.
#ifndef SASSAFRAS_FRONT_FRONT_CORE_H
#define SASSAFRAS_FRONT_FRONT_CORE_H

#include "front/fleet_view.h"
#include "http/client.h"
#include "http/server.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>

namespace sassafras {

class Metrics;
class Relay;

/// Place of a waiting request: most urgent first, then oldest.
using WaitingKey = std::pair<uint32_t, uint64_t>;

struct FrontCore {
  FrontCore(boost::asio::io_context &Io, Metrics &Counts,
            std::function<void(NodeMessages)> Send,
            std::function<void(const wire::RowDemand &)> Wish,
            std::function<void(const wire::QuotaWish &)> AskForTokens)
      : Io(Io), Counts(Counts), Client(Io, Counts), Send(std::move(Send)),
        Wish(std::move(Wish)), AskForTokens(std::move(AskForTokens)) {}

  boost::asio::io_context &Io;
  Metrics &Counts;
  HttpClient Client;
  std::function<void(NodeMessages)> Send;
  /// Tells the leader of a model that cannot be served.
  std::function<void(const wire::RowDemand &)> Wish;
  /// Asks the leader for tokens of an organisation.
  std::function<void(const wire::QuotaWish &)> AskForTokens;
  FrontState State;
  std::map<uint64_t, std::shared_ptr<Relay>> Relays; ///< By request number.
  std::map<const HttpExchange *, uint64_t> ByExchange;
  std::set<WaitingKey> Waiting;
  uint64_t NextNumber = 1;
};

} // namespace sassafras

#endif
