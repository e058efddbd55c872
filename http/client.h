/// \file
/// One HTTP/1.1 exchange as a client, with the answer passed on in pieces.
#ifndef SASSAFRAS_HTTP_CLIENT_H
#define SASSAFRAS_HTTP_CLIENT_H

#include "core/time.h"
#include "http/message.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>

namespace sassafras {

/// How far an exchange came before it broke.
struct HttpBreak {
  bool WasSent = true;    ///< The other side may have seen the request.
  bool IsRefused = false; ///< Nobody listens at the port.
};

struct HttpCalls {
  std::function<void(unsigned, std::vector<HttpField>)> OnHead;
  std::function<void(std::string)> OnBody;
  std::function<void()> OnEnd;
  std::function<void(HttpBreak)> OnBreak;
};

/// Handle of a running exchange.
class HttpCall {
public:
  virtual ~HttpCall() = default;
  /// Ends it without further calls. Call on the context's thread.
  virtual void cancel() = 0;
};

/// Sends \p Request to \p Address. Exactly one of OnEnd and OnBreak is called
/// in the end, on the thread that runs \p Io, unless it is cancelled.
/// \p Silence bounds each wait for the other side. Call on that thread.
std::shared_ptr<HttpCall> startHttpCall(boost::asio::io_context &Io,
                                        const std::string &Address,
                                        const HttpRequest &Request,
                                        Millis Silence, HttpCalls Calls);

} // namespace sassafras

#endif
