/// \file
/// A front that serves real connections within the test process.
#ifndef SASSAFRAS_TESTS_HARNESS_TESTED_FRONT_H
#define SASSAFRAS_TESTS_HARNESS_TESTED_FRONT_H

#include "core/metrics.h"
#include "front/front_core.h"
#include "front/stop_deadlines.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace sassafras {

/// Memory of the front for requests and responses.
inline constexpr uint64_t TestMemoryBytes = 128'000'000;
/// Timeout of the front's routes.
inline constexpr Millis CallerDeadline{3'000};

/// Its routes are "stream" (streaming, one attempt), "resume" (streaming,
/// resumable, three attempts), "once" (not repeatable) and "many" (idempotent,
/// three attempts).
class TestedFront {
public:
  /// \p Endpoint: address of the endpoint; empty when it is to be added later.
  explicit TestedFront(const std::string &Endpoint);
  ~TestedFront();
  TestedFront(const TestedFront &) = delete;
  TestedFront &operator=(const TestedFront &) = delete;

  /// Sends a request with the header lines \p Fields and returns all bytes
  /// until the connection ends.
  std::string call(const std::string &Route, const std::string &Id,
                   const std::string &Fields = "");
  /// A new connection to the front.
  boost::asio::ip::tcp::socket connect();
  /// The bytes of a request.
  static std::string requestText(const std::string &Route,
                                 const std::string &Id,
                                 const std::string &Fields = "");
  /// Stops the front from handling anything until \p Act has returned, which
  /// runs on its thread; returns after that.
  void occupy(const std::function<void()> &Act);
  /// Adds an endpoint and dispatches the waiting requests. Call from the
  /// function given to occupy.
  void addEndpoint(const std::string &Endpoint);
  /// Announces the endpoint at address \p Endpoint. Call from the function
  /// given to occupy.
  void announce(const std::string &Endpoint, uint64_t Sequence,
                uint64_t BornMs);
  /// Makes the front forget all endpoints. Call from the function given to
  /// occupy.
  void removeEndpoints();
  /// Sets the software version of the endpoint at address \p Endpoint. Call
  /// from the function given to occupy.
  void setSoftwareVersion(const std::string &Endpoint,
                          const std::string &Version);
  /// Stops the front as far as \p Stage. Call from the function given to
  /// occupy.
  void stop(StopStage Stage);
  /// Value of a counter of the front. Thread safe.
  uint64_t read(const std::string &Counter) { return Counts.read(Counter); }

private:
  void handleRequest(HttpRequest Request,
                     const std::shared_ptr<HttpExchange> &Exchange);
  void applyAnnouncement(const std::string &Id, const std::string &Endpoint,
                         uint64_t Sequence, uint64_t BornMs);
  void dispatchWaiting();
  void scheduleDispatch();

  boost::asio::io_context Io;
  Metrics Counts;
  boost::asio::steady_timer Timer{Io};
  FrontCore Core;
  std::unique_ptr<HttpServer> Server;
  boost::asio::io_context CallerIo;
  std::thread Runner;
};

/// True when \p Text contains \p Part.
bool has(const std::string &Text, const std::string &Part);
/// True when a caller takes \p Response for a complete success.
bool isCompleteSuccess(const std::string &Response);

} // namespace sassafras

#endif
