/// \file
/// HTTP/1.0 and 1.1 server on Boost.Beast: keep-alive, chunked bodies,
/// limits and time-outs, answers whole or as a stream.
#ifndef SASSAFRAS_HTTP_SERVER_H
#define SASSAFRAS_HTTP_SERVER_H

#include "core/time.h"
#include "http/message.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace sassafras {

class Metrics;

/// Limits towards callers. Bytes.
struct HttpLimits {
  uint32_t HeadBytes = 32 * 1024;
  uint64_t BodyBytes = 8ULL * 1024 * 1024;
  size_t UnreadBytes = 4ULL * 1024 * 1024; ///< Answer bytes not yet taken.
  Millis HeadTimeout{10'000}; ///< For the head, from its first byte.
  Millis BodyTimeout{30'000}; ///< For the body.
  Millis IdleTimeout{75'000}; ///< Kept connection without a request.
  /// A caller that closes its side is taken as gone, and the exchange is lost;
  /// else it may still read its answer.
  bool CancelsOnDisconnect = false;
};

/// One request's answer. All methods are thread safe and may be called after
/// the caller is gone; they do nothing then.
class HttpExchange {
public:
  virtual ~HttpExchange() = default;
  /// A whole answer.
  virtual void respond(unsigned Status, std::vector<HttpField> Fields,
                       std::string Body) = 0;
  /// Start of an answer in pieces. Ends with finish or abort.
  /// With \p Length the body has exactly so many bytes.
  virtual void start(unsigned Status, std::vector<HttpField> Fields,
                     std::optional<uint64_t> Length = std::nullopt) = 0;
  virtual void write(std::string Bytes) = 0;
  virtual void finish() = 0;
  /// Breaks the connection so that the caller sees an incomplete answer.
  virtual void abort() = 0;
  /// Closes the connection once this answer is complete. Call before the
  /// answer starts.
  virtual void closeAfter() = 0;
};

/// Why an exchange ended early.
enum class HttpLoss { CallerGone, SlowReader };

class HttpServer {
public:
  struct Handlers {
    /// A complete request. The exchange must be answered.
    std::function<void(HttpRequest, std::shared_ptr<HttpExchange>)> OnRequest;
    /// The exchange was lost before its answer was complete.
    std::function<void(const HttpExchange *, HttpLoss)> OnLoss;
  };

  /// Handlers are called on the thread that runs \p Io.
  HttpServer(boost::asio::io_context &Io, std::string Listen, HttpLimits Limits,
             Metrics &Counts, Handlers Calls);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Binds and accepts. False, with the reason in \p Problem, when the
  /// address cannot be used.
  bool start(std::string &Problem);
  /// Address with the port that was taken.
  const std::string &address() const;
  /// Takes no new connections, and closes kept ones after their answer. Call
  /// on the thread that runs the context.
  void stopAccepting();
  /// Takes new connections still, but lets each answer end its connection, so
  /// that a balancer has time to turn elsewhere. Call on the thread that runs
  /// the context.
  void drain();
  /// Limits for requests read from now on. Call on that thread.
  void setLimits(const HttpLimits &Limits);
  /// Exchanges not yet written out. Thread safe.
  size_t countOpenExchanges() const;

  struct Impl;

private:
  std::shared_ptr<Impl> Data;
};

} // namespace sassafras

#endif
