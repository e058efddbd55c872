/// \file
/// HTTP/1.1 exchanges as a client, with the answer passed on in pieces, over
/// fresh or kept connections.
#ifndef SASSAFRAS_HTTP_CLIENT_H
#define SASSAFRAS_HTTP_CLIENT_H

#include "core/time.h"
#include "http/message.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace sassafras {

class Metrics;

/// How far an exchange came before it broke.
struct HttpFailure {
  bool WasSent = true;    ///< The other side may have seen the request.
  bool IsRefused = false; ///< Nobody listens at the port.
  bool IsTimeout = false; ///< A wait ended without a sign of the other side.
};

/// Head of an answer.
struct HttpResponseHead {
  unsigned Status = 0;
  std::vector<HttpField> Fields;  ///< Names are lower case.
  std::optional<uint64_t> Length; ///< Bytes of the body, where declared.
};

struct HttpCallbacks {
  std::function<void(HttpResponseHead)> OnHead;
  std::function<void(std::string_view)> OnBody;
  std::function<void()> OnEnd;
  std::function<void(HttpFailure)> OnFailure;
};

/// Handle of a running exchange.
class HttpCall {
public:
  virtual ~HttpCall() = default;
  /// Ends it and its connection without further calls. Call on the context's
  /// thread.
  virtual void cancel() = 0;
};

/// How one exchange uses its connection.
struct HttpCallOptions {
  Millis Connect{1'000}; ///< For the connection to be made.
  Millis Silence{};      ///< Bounds each wait for the other side.
  /// A kept connection is taken only if it was idle for less than this.
  Millis MostIdle{10'000};
};

/// Connections to many addresses, kept for later exchanges. All methods on
/// the thread that runs the context.
class HttpClient {
public:
  HttpClient(boost::asio::io_context &Io, Metrics &Counts);
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// Sends \p Request to \p Address. Exactly one of OnEnd and OnFailure is
  /// called in the end, unless it is cancelled; never before this returns.
  std::shared_ptr<HttpCall> start(const std::string &Address,
                                  const HttpRequest &Request,
                                  HttpCallOptions Options, HttpCallbacks Calls);
  /// Closes kept connections whose time or peer has ended.
  void closeExpired();

  struct Impl;

private:
  std::shared_ptr<Impl> Data;
};

/// One exchange on a connection of its own, as HttpClient::start.
/// \p Silence bounds each wait for the other side.
std::shared_ptr<HttpCall> startHttpCall(boost::asio::io_context &Io,
                                        const std::string &Address,
                                        const HttpRequest &Request,
                                        Millis Silence, HttpCallbacks Calls);

} // namespace sassafras

#endif
