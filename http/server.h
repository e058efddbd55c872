/// \file
/// HTTP/1.0 and 1.1 server on Boost.Beast with keep-alive, chunked bodies, size
/// limits and time-outs. Responses are sent whole or as a stream.
#ifndef SASSAFRAS_HTTP_SERVER_H
#define SASSAFRAS_HTTP_SERVER_H

#include "core/memory_budget.h"
#include "core/start_problem.h"
#include "core/time.h"
#include "http/message.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace sassafras {

class Metrics;

/// Limits on requests and connections of callers. Sizes are in bytes.
struct HttpLimits {
  uint32_t HeadBytes = 32 * 1024;
  uint64_t BodyBytes = 8ULL * 1024 * 1024;
  /// Bytes of a response that are queued but not sent. A caller beyond it is
  /// cut off.
  size_t MaxUnsentBytes = 4ULL * 1024 * 1024;
  Millis HeadTimeout{10'000}; ///< For the request head, from its first byte.
  Millis BodyTimeout{30'000}; ///< For the request body.
  Millis IdleTimeout{75'000}; ///< Between requests on a connection.
  /// A caller that closes its sending side is treated as disconnected and its
  /// exchange ends; otherwise it may still read its response.
  bool CancelsOnDisconnect = false;
};

/// Sends the response to one request. All methods are thread safe and may be
/// called after the caller has disconnected; they have no effect then.
class HttpExchange {
public:
  virtual ~HttpExchange() = default;
  /// Sends a complete response.
  virtual void respond(unsigned Status, std::vector<HttpField> Fields,
                       std::string Body) = 0;
  /// Starts a streamed response, which finish or abort ends. With \p Length the
  /// body has exactly that many bytes.
  virtual void start(unsigned Status, std::vector<HttpField> Fields,
                     std::optional<uint64_t> Length = std::nullopt) = 0;
  virtual void write(std::string Bytes) = 0;
  virtual void finish() = 0;
  /// Closes the connection so that the caller detects an incomplete response.
  virtual void abort() = 0;
  /// Closes the connection once this response is complete. Call before the
  /// response starts.
  virtual void closeAfterResponse() = 0;
  /// Asks the operating system whether the caller has disconnected. OnLoss
  /// reports the same as soon as the I/O context handles the event, which may
  /// be later when the process is behind. False while HttpLimits do not cancel
  /// on disconnect. Call on the thread that runs the I/O context.
  virtual bool hasCallerLeft() = 0;
  /// False while much of the response is unsent: whoever can should write no
  /// more until Handlers::OnRoom is called for this exchange. Call on the
  /// thread that runs the I/O context.
  virtual bool hasRoom() = 0;
};

/// Why an exchange ended before its response was complete.
enum class HttpLoss {
  CallerGone,
  SlowReader,
  Failed, ///< The handler threw; the server responds.
};

class HttpServer {
public:
  struct Handlers {
    /// A complete request has been read. The handler must respond through the
    /// exchange.
    std::function<void(HttpRequest, std::shared_ptr<HttpExchange>)> OnRequest;
    /// The exchange ended before its response was complete.
    std::function<void(const HttpExchange *, HttpLoss)> OnLoss;
    /// An exchange without room has room again. May be empty.
    std::function<void(const HttpExchange *)> OnRoom = {};
  };

  /// Handlers are called on the thread that runs \p Io. Requests for which
  /// \p Memory has no room are refused.
  HttpServer(boost::asio::io_context &Io, std::string Listen, HttpLimits Limits,
             Metrics &Counts, MemoryBudgetPtr Memory, Handlers Callbacks);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Binds the address; connections are refused until start(). Returns false,
  /// with the reason in \p Problem, when the address cannot be used.
  bool bind(StartProblem &Problem);
  /// Accepts connections, after bind() if that was not called. Returns false,
  /// with the reason in \p Problem, when the address cannot be used.
  bool start(StartProblem &Problem);
  /// Listening address with the actual port.
  const std::string &address() const;
  /// Stops accepting connections, closes idle ones, and closes the others after
  /// their response. One on which a request has arrived is not idle. May be
  /// called again. Call on the thread that runs the I/O context.
  void stopAccepting();
  /// Still accepts connections but closes each after its response, so that a
  /// balancer has time to direct callers elsewhere. Call on the thread that
  /// runs the I/O context.
  void drain();
  /// Sets the limits for requests read from now on. Call on the thread that
  /// runs the I/O context.
  void setLimits(const HttpLimits &Limits);
  /// Number of exchanges whose response is not completely written. Thread safe.
  size_t countOpenExchanges() const;
  /// Number of open connections, those included that wait for a request. Thread
  /// safe.
  size_t countConnections() const;

  struct Impl;

private:
  std::shared_ptr<Impl> Data;
};

} // namespace sassafras

#endif
