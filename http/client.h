/// \file
/// HTTP/1.1 client with a connection pool. Response bodies are delivered in
/// pieces as they arrive.
#ifndef SASSAFRAS_HTTP_CLIENT_H
#define SASSAFRAS_HTTP_CLIENT_H

#include "core/memory_budget.h"
#include "core/time.h"
#include "http/message.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <string_view>

namespace sassafras {

class Metrics;

/// How an exchange failed.
struct HttpFailure {
  bool WasSent = true;    ///< The server may have received the request.
  bool IsRefused = false; ///< The connection was refused.
  bool IsTimeout = false; ///< A time-out expired.
  /// The server ran then or later: the connection was begun, or a request was
  /// sent on it that the server has answered. Zero when nothing shows that.
  TimePoint AliveAfter = {};
  bool IsReset = false; ///< The peer reset the connection.
};

/// Status and header fields of a response.
struct HttpResponseHead {
  unsigned Status = 0;
  std::vector<HttpField> Fields;  ///< Names are lower case.
  std::optional<uint64_t> Length; ///< Bytes of the body, if declared.
  /// No other response was due on this connection before.
  bool IsFirstOnConnection = true;
  TimePoint ConnectedAt; ///< The connection was established.
};

struct HttpCallbacks {
  std::function<void(HttpResponseHead)> OnHead;
  std::function<void(std::string_view)> OnBody;
  std::function<void()> OnEnd;
  std::function<void(HttpFailure)> OnFailure;
  /// Asked directly before the request is sent, when the connection is there.
  /// To prevent that, cancel the exchange and return false. May be empty.
  std::function<bool()> MaySend = {};
};

/// Handle of an exchange in progress.
class HttpCall {
public:
  virtual ~HttpCall() = default;
  /// Ends the exchange and resets its connection; no callback is called
  /// afterwards. Call on the I/O context's thread.
  virtual void cancel() = 0;
  /// Reads no more of the response body, so that the peer has to wait, until
  /// resume is called. Call both on the I/O context's thread.
  virtual void pause() = 0;
  virtual void resume() = 0;
  /// When the end of the connection arrived at this host that ended the
  /// response; zero if it ended otherwise, or if that is not known. Call on the
  /// I/O context's thread.
  virtual TimePoint endedAt() const = 0;
};

/// Time-outs of one exchange.
struct HttpCallOptions {
  Millis ConnectTimeout{1'000}; ///< For establishing a connection.
  /// From sending the request to the response head, and for each later read.
  Millis ReadTimeout{};
  /// A pooled connection is used only if it was idle for less than this.
  Millis MaxIdle{10'000};
  /// No pooled connection is used.
  bool NeedsNewConnection = false;
  /// An exchange that is not complete by then fails, also while bytes arrive.
  TimePoint Deadline = TimePoint::max();
  /// A response with a larger body, in bytes, fails the exchange.
  uint64_t MaxBodyBytes = std::numeric_limits<uint64_t>::max();
};

/// HTTP client that pools idle connections by address for later exchanges. Call
/// all methods on the thread that runs the I/O context.
class HttpClient {
public:
  /// Exchanges fail when \p Memory has no room for what they have to keep.
  HttpClient(boost::asio::io_context &Io, Metrics &Counts,
             MemoryBudgetPtr Memory);
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// Sends \p Request to \p Address. Unless the exchange is cancelled, exactly
  /// one of OnEnd and OnFailure is called, as the last callback. No callback is
  /// called before this returns. With \p SharedBody, that is sent as the body.
  std::shared_ptr<HttpCall>
  start(const std::string &Address, const HttpRequest &Request,
        HttpCallOptions Options, HttpCallbacks Callbacks,
        std::shared_ptr<const std::string> SharedBody = nullptr);
  /// True if a connection to \p Address that was established before
  /// \p EstablishedBefore, in use or pooled, is open: its peer has neither
  /// ended nor reset it. False if that cannot be told because bytes are waiting
  /// to be read.
  bool hasOpenConnection(const std::string &Address,
                         TimePoint EstablishedBefore) const;
  /// Closes pooled connections that have expired or on which the peer has sent
  /// data or closed its side.
  void closeExpired();

  struct Impl;

private:
  std::shared_ptr<Impl> Data;
};

/// Like HttpClient::start, but on a new connection that is closed afterwards.
/// \p ReadTimeout is as in HttpCallOptions. Call on the thread that runs \p Io.
std::shared_ptr<HttpCall>
startHttpCall(boost::asio::io_context &Io, const std::string &Address,
              const HttpRequest &Request, Millis ReadTimeout,
              HttpCallbacks Callbacks, MemoryBudgetPtr Memory);

} // namespace sassafras

#endif
