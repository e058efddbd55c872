/// \file
/// State shared by the parts of a front process: the state for its decisions,
/// its connections and its requests. Everything runs on the io_context's
/// thread.
#ifndef SASSAFRAS_FRONT_FRONT_CORE_H
#define SASSAFRAS_FRONT_FRONT_CORE_H

#include "front/fleet_view.h"
#include "http/client.h"
#include "http/server.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace sassafras {

class Metrics;
class Relay;

struct FrontCore {
  FrontCore(boost::asio::io_context &Io, Metrics &Counts,
            MemoryBudgetPtr Memory, std::function<void(NodeMessages)> Send,
            std::function<void(const wire::RowDemand &)> ReportDemand,
            std::function<void(const wire::QuotaRequest &)> RequestTokens,
            std::function<void(const wire::SendPermitRequest &)> RequestPermits)
      : Io(Io), Counts(Counts), Memory(std::move(Memory)),
        Client(Io, Counts, this->Memory), Send(std::move(Send)),
        ReportDemand(std::move(ReportDemand)),
        RequestTokens(std::move(RequestTokens)),
        RequestPermits(std::move(RequestPermits)) {}

  boost::asio::io_context &Io;
  Metrics &Counts;
  MemoryBudgetPtr Memory;
  HttpClient Client;
  std::function<void(NodeMessages)> Send;
  /// Reports demand for a model to the leader.
  std::function<void(const wire::RowDemand &)> ReportDemand;
  /// Requests tokens of an organisation's quota from the leader.
  std::function<void(const wire::QuotaRequest &)> RequestTokens;
  /// Requests permits for endpoints with a request limit from the leader.
  std::function<void(const wire::SendPermitRequest &)> RequestPermits;
  FrontState State;
  std::map<uint64_t, std::shared_ptr<Relay>> Relays; ///< By request number.
  std::map<const HttpExchange *, uint64_t> ByExchange;
  /// Exchanges whose requests a stop has ended; their responses are discarded.
  std::vector<std::shared_ptr<HttpCall>> StoppedCalls;
  uint64_t NextNumber = 1;
  TimePoint NextInvalidLoadLog;
};

} // namespace sassafras

#endif
