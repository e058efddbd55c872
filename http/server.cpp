#include "http/server.h"

#include "core/guard.h"
#include "core/logging.h"
#include "core/metrics.h"
#include "core/time.h"
#include "http/address.h"
#include "http/head_writer.h"
#include "http/message_parser.h"

#include <boost/asio/dispatch.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <atomic>
#include <cerrno>
#include <deque>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <set>
#include <sys/socket.h>

namespace sassafras {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

constexpr std::chrono::seconds WriteTimeout{30};
/// A connection is closed when sent bytes stay unacknowledged this long, as
/// they do when the caller's host has failed, or when a caller reads nothing
/// and its receive buffer is full.
constexpr int UserTimeoutMs = Millis(WriteTimeout).count();
constexpr size_t ReadBufferSize = 4096;
constexpr Millis AcceptRetryDelay{100};
/// Limit of bytes read beyond the current request.
constexpr size_t MaxReadAheadBytes = 64ULL * 1024;
/// Interval of checks for a disconnect once that limit is reached.
constexpr Millis DisconnectPollPeriod{200};

/// Largest header that is read, in bytes, whatever the limits allow.
constexpr uint32_t MaxHeadBytes = 1024 * 1024;
/// Limit of the bytes of a body's framing, such as a chunk's extensions, that
/// are kept until they are complete.
constexpr size_t MaxFramingBytes = 16ULL * 1024;
constexpr unsigned StatusInternalError = 500;
constexpr size_t BodyReadSize = 16ULL * 1024;
/// Up to this size, the string of a body with a length is not moved as it
/// grows.
constexpr uint64_t MaxReservedBody = 8ULL * 1024 * 1024;
/// Unsent bytes of a response from which on an exchange has no room, and the
/// same while the process is short of memory.
constexpr size_t RoomyUnsentBytes = 256ULL * 1024;
constexpr size_t ScarceUnsentBytes = 16ULL * 1024;
/// After the last response on a connection, the caller may go on sending for
/// this time and size. Bytes that are unread at the close, or arrive after it,
/// reset the connection, and the caller might lose the response.
constexpr Millis LingerTime{1'000};
constexpr size_t MaxLingerBytes = 16ULL * 1024 * 1024;
/// Retry-After of a request for which there is no memory, in seconds. Another
/// host can serve it at once.
constexpr const char *MemoryRetryAfter = "0.2";

std::string encodeChunk(const std::string &Bytes) {
  return beast::buffers_to_string(http::make_chunk(asio::buffer(Bytes)));
}

} // namespace

std::string lowerCase(std::string_view Text) {
  std::string out(Text);
  for (char &it : out)
    it = static_cast<char>(std::tolower(static_cast<unsigned char>(it)));
  return out;
}

void eraseField(std::vector<HttpField> &Fields, std::string_view Name) {
  std::erase_if(Fields, [&](const HttpField &it) { return it.Name == Name; });
}

void setField(std::vector<HttpField> &Fields, std::string_view Name,
              std::string Value) {
  eraseField(Fields, Name);
  Fields.push_back({std::string(Name), std::move(Value)});
}

bool isHopByHopField(std::string_view Name) {
  for (std::string_view it :
       {"connection", "keep-alive", "proxy-connection", "te", "trailer",
        "transfer-encoding", "upgrade", "content-length", "expect", "host"})
    if (it == Name)
      return true;
  return false;
}

class Session;

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl> {
  Impl(asio::io_context &Io, std::string Listen, HttpLimits Limits,
       Metrics &Counts, MemoryBudgetPtr Memory, Handlers Callbacks)
      : Io(Io), Listen(std::move(Listen)), Limits(Limits), Counts(Counts),
        Memory(std::move(Memory)), Callbacks(std::move(Callbacks)),
        Acceptor(Io), AcceptRetryTimer(Io) {}

  void accept();
  void acceptBacklog();
  void startSession(Tcp::socket Socket);
  bool failStart(const boost::system::error_code &Error, StartProblem &Problem);

  asio::io_context &Io;
  std::string Listen;
  HttpLimits Limits;
  Metrics &Counts;
  MemoryBudgetPtr Memory;
  Handlers Callbacks;
  std::string Address;
  Tcp::acceptor Acceptor;
  asio::steady_timer AcceptRetryTimer;
  std::set<Session *> Idle; ///< Connections waiting for a request.
  std::atomic<size_t> OpenCount{0};
  std::atomic<size_t> ConnectionCount{0};
  std::atomic<bool> IsStopping{false};
  std::atomic<bool> IsDraining{false};
};

/// One connection. It runs on the I/O context's thread, except for the methods
/// that SessionExchange calls directly instead of through the I/O context.
class Session : public std::enable_shared_from_this<Session> {
public:
  Session(Tcp::socket Socket, std::shared_ptr<HttpServer::Impl> Server)
      : Stream(std::move(Socket)), Server(std::move(Server)),
        DisconnectTimer(this->Server->Io), InputCharge(this->Server->Memory),
        OutputCharge(this->Server->Memory) {
    ++this->Server->ConnectionCount;
  }
  ~Session() {
    Server->Idle.erase(this);
    --Server->ConnectionCount;
  }

  void waitForRequest();
  void closeIdle();
  void queue(uint64_t RequestNumber, std::string Bytes, bool IsEnd);
  void abort(uint64_t RequestNumber);
  asio::io_context &context() { return Server->Io; }
  bool isHttp10() const { return IsHttp10; }
  bool keepsAlive() const {
    return KeepAlive && !Server->IsStopping && !Server->IsDraining;
  }
  void closeAfterResponse() { KeepAlive = false; }
  bool hasCallerLeft(uint64_t Number);
  bool hasRoom(uint64_t Number);
  HttpLimits limits() const { return Server->Limits; }

private:
  void readFirstBytes();
  bool hasUnreadInput();
  void skipEmptyLines();
  void readHead();
  void readMore(size_t Size);
  void parse();
  void readBody();
  bool chargeInput();
  uint64_t inputBytes() const;
  bool hasAmbiguousFraming() const;
  void dispatchRequest();
  void failRequest(HttpExchange &Failed);
  void watchForDisconnect();
  void handleReadable(uint64_t Number, beast::error_code Error);
  bool isDisconnected();
  void handleReadError(beast::error_code Error);
  void rejectRequest(http::status Status, const char *Reason);
  void rejectUnparsable(beast::error_code Error);
  void writeNext();
  void reportRoom();
  void finishResponse();
  void closeInOrder();
  void setResetOnClose(bool IsReset);
  void discardInput();
  void abortConnection();
  void handleLoss(HttpLoss Loss);

  beast::tcp_stream Stream;
  std::shared_ptr<HttpServer::Impl> Server;
  asio::steady_timer DisconnectTimer;
  beast::flat_buffer Buffer;
  std::optional<RequestParser> Parser;
  MemoryCharge InputCharge; ///< For the request, until it is answered.
  std::deque<std::string> Output;
  size_t OutputBytes = 0;
  MemoryCharge OutputCharge;
  bool IsRoomAwaited = false; ///< The exchange was told that it has no room.
  uint64_t RequestNumber = 0; ///< Number of the current request.
  bool IsResponding = false;
  bool IsEndQueued = false;
  bool IsAborting = false;
  bool IsWriting = false;
  bool IsHttp10 = false;
  bool KeepAlive = false;
  bool IsHeadRequest = false;
  bool HasOutput = false; ///< Of the current request.
  size_t LingerBytes = 0;
  std::weak_ptr<HttpExchange> Exchange;
};

namespace {

class SessionExchange : public HttpExchange,
                        public std::enable_shared_from_this<SessionExchange> {
public:
  SessionExchange(std::shared_ptr<Session> Owner, uint64_t RequestNumber,
                  bool IsHttp10, bool KeepAlive, bool IsHead)
      : Owner(std::move(Owner)), RequestNumber(RequestNumber),
        IsHttp10(IsHttp10), KeepAlive(KeepAlive), IsHead(IsHead) {}

  void respond(unsigned Status, std::vector<HttpField> Fields,
               std::string Body) override {
    HeadWriter head = makeHead(Status, Fields, KeepAlive);
    head.addLength(Body.size());
    std::string bytes = std::move(head).finish();
    if (!IsHead)
      bytes += Body;
    send(std::move(bytes), true);
  }

  void start(unsigned Status, std::vector<HttpField> Fields,
             std::optional<uint64_t> Length) override {
    IsChunked = !Length && !IsHttp10 && !hasNoContent(Status);
    // Without a length, the end of an HTTP/1.0 connection ends the body.
    HeadWriter head =
        makeHead(Status, Fields, KeepAlive && (Length || !IsHttp10));
    if (Length)
      head.addLength(*Length);
    else if (IsChunked)
      head.add("Transfer-Encoding", "chunked");
    send(std::move(head).finish(), false);
  }

  void write(std::string Bytes) override {
    if (Bytes.empty() || IsHead)
      return;
    send(IsChunked ? encodeChunk(Bytes) : std::move(Bytes), false);
  }

  void finish() override {
    send(IsChunked && !IsHead ? "0\r\n\r\n" : "", true);
  }

  void closeAfterResponse() override {
    KeepAlive = false;
    Owner->closeAfterResponse();
  }

  bool hasCallerLeft() override { return Owner->hasCallerLeft(RequestNumber); }

  bool hasRoom() override { return Owner->hasRoom(RequestNumber); }

  void abort() override {
    asio::post(Owner->context(), [owner = Owner, number = RequestNumber] {
      owner->abort(number);
    });
  }

private:
  HeadWriter makeHead(unsigned Status, const std::vector<HttpField> &Fields,
                      bool MayKeepAlive) const {
    HeadWriter head = HeadWriter::response(Status, IsHttp10);
    for (const HttpField &it : Fields)
      if (!isHopByHopField(it.Name))
        head.add(it.Name, it.Value);
    bool isKept = MayKeepAlive && Owner->keepsAlive();
    if (!isKept)
      Owner->closeAfterResponse();
    if (isKept != !IsHttp10)
      head.add("Connection", isKept ? "keep-alive" : "close");
    if (isKept)
      head.add(
          "Keep-Alive",
          "timeout=" +
              std::to_string(std::chrono::duration_cast<std::chrono::seconds>(
                                 Owner->limits().IdleTimeout)
                                 .count()));
    return head;
  }

  void send(std::string Bytes, bool IsEnd) {
    // Runs immediately when called on the I/O context's thread.
    asio::dispatch(
        Owner->context(),
        [owner = Owner, number = RequestNumber, bytes = std::move(Bytes),
         IsEnd]() mutable { owner->queue(number, std::move(bytes), IsEnd); });
  }

  std::shared_ptr<Session> Owner;
  uint64_t RequestNumber;
  bool IsHttp10;
  bool KeepAlive;
  bool IsHead;
  bool IsChunked = false;
};

} // namespace

void Session::waitForRequest() {
  skipEmptyLines();
  if (Buffer.size() > 0) {
    readHead();
    return;
  }
  if (Server->IsStopping && !hasUnreadInput()) {
    closeInOrder();
    return;
  }
  if (Buffer.capacity() > ReadBufferSize)
    Buffer.shrink_to_fit();
  InputCharge.set(0);
  readFirstBytes();
}

void Session::readFirstBytes() {
  Server->Idle.insert(this);
  Stream.expires_after(Server->Limits.IdleTimeout);
  Stream.async_read_some(
      Buffer.prepare(ReadBufferSize),
      [self = shared_from_this()](beast::error_code ec, size_t n) {
        self->Server->Idle.erase(self.get());
        if (ec == asio::error::operation_aborted && self->hasUnreadInput()) {
          self->readFirstBytes();
          return;
        }
        if (ec) {
          self->Stream.close();
          return;
        }
        self->Buffer.commit(n);
        if (!runGuarded(self->Server->Counts, "request_read",
                        [&] { self->waitForRequest(); }))
          self->Stream.close();
      });
}

/// Ends the wait for a request, and with it the connection, unless bytes of a
/// request have arrived. They may have been read already, by a read whose
/// handler has not run yet.
void Session::closeIdle() { Stream.cancel(); }

/// Drops empty lines before a request, which some callers send behind a body.
void Session::skipEmptyLines() {
  auto bytes = Buffer.data();
  std::string_view text(static_cast<const char *>(bytes.data()), bytes.size());
  Buffer.consume(std::min(text.find_first_not_of("\r\n"), text.size()));
}

bool Session::hasUnreadInput() {
  boost::system::error_code ec;
  return Stream.socket().available(ec) > 0 && !ec;
}

void Session::readHead() {
  Parser.emplace();
  Parser->header_limit(std::min(Server->Limits.HeadBytes, MaxHeadBytes));
  Parser->body_limit(Server->Limits.BodyBytes);
  Stream.expires_after(Server->Limits.HeadTimeout);
  parse();
}

void Session::readMore(size_t Size) {
  Stream.async_read_some(
      Buffer.prepare(Size),
      [self = shared_from_this()](beast::error_code ec, size_t n) {
        self->Buffer.commit(n);
        bool isHandled = runGuarded(self->Server->Counts, "request_read", [&] {
          if (ec)
            self->handleReadError(ec);
          else
            self->parse();
        });
        if (!isHandled)
          self->Stream.close();
      });
}

/// Parses what has been read, and reads on until the request is complete.
void Session::parse() {
  while (Buffer.size() > 0 && !Parser->is_done()) {
    bool isInHead = !Parser->is_header_done();
    beast::error_code ec;
    Buffer.consume(Parser->put(Buffer.data(), ec));
    if (ec == http::error::need_more)
      break;
    if (ec) {
      rejectUnparsable(ec);
      return;
    }
    if (isInHead && Parser->is_header_done()) {
      readBody();
      return;
    }
  }
  if (!chargeInput()) {
    rejectRequest(http::status::service_unavailable, "memory_exhausted");
    return;
  }
  if (Parser->is_done()) {
    dispatchRequest();
    return;
  }
  if (!Parser->is_header_done()) {
    readMore(ReadBufferSize);
    return;
  }
  if (Buffer.size() > MaxFramingBytes) {
    rejectRequest(http::status::bad_request, "bad_request");
    return;
  }
  readMore(BodyReadSize);
}

void Session::handleReadError(beast::error_code Error) {
  bool isTimeout = Error == beast::error::timeout;
  if (!Parser->is_header_done() && isTimeout) {
    Server->Counts.count("http_timeouts_total", "part=\"head\"");
    Stream.close();
  } else if (isTimeout) {
    rejectRequest(http::status::request_timeout, "body_too_slow");
  } else if (Error == asio::error::eof && !Parser->got_some()) {
    Stream.close();
  } else {
    rejectRequest(http::status::bad_request, "bad_request");
  }
}

void Session::rejectUnparsable(beast::error_code Error) {
  if (Error == http::error::header_limit)
    rejectRequest(http::status::request_header_fields_too_large,
                  "header_too_large");
  else if (Error == http::error::body_limit)
    rejectRequest(http::status::payload_too_large, "body_too_large");
  else
    rejectRequest(http::status::bad_request, "bad_request");
}

/// Bytes that the request occupies so far.
uint64_t Session::inputBytes() const {
  uint64_t bytes = Buffer.capacity() + Parser->Body.size();
  // Other strings grow by doubling.
  if (Parser->Body.capacity() > MaxReservedBody ||
      (Parser->is_header_done() && !Parser->content_length()))
    bytes += Parser->Body.size();
  bytes += Parser->Fields.capacity() * sizeof(HttpField);
  for (const HttpField &it : Parser->Fields)
    bytes += it.Name.size() + it.Value.size();
  return bytes;
}

/// False when the process has no memory for the rest of the request.
bool Session::chargeInput() {
  // A single small read is part of any connection.
  uint64_t bytes = inputBytes();
  return bytes <= ReadBufferSize + BodyReadSize || InputCharge.tryResize(bytes);
}

/// True when another HTTP parser might find a different end of the request, or
/// a different host, in the same bytes (request smuggling).
bool Session::hasAmbiguousFraming() const {
  size_t codings = Parser->countFields("transfer-encoding");
  size_t lengths = Parser->countFields("content-length");
  bool isChunked =
      codings == 1 &&
      beast::iequals(std::string(fieldOf(Parser->Fields, "transfer-encoding")),
                     "chunked");
  if (codings > 0 && (!isChunked || Parser->Version < 11 || lengths > 0))
    return true;
  return lengths > 1 || Parser->countFields("host") > 1;
}

void Session::readBody() {
  if (hasAmbiguousFraming()) {
    rejectRequest(http::status::bad_request, "ambiguous_framing");
    return;
  }
  std::string expect = lowerCase(fieldOf(Parser->Fields, "expect"));
  bool wantsContinue = expect == "100-continue";
  if (!expect.empty() && !wantsContinue) {
    rejectRequest(http::status::expectation_failed, "bad_expectation");
    return;
  }
  if (auto length = Parser->content_length()) {
    const MemoryBudget &memory = *Server->Memory;
    if (*length > memory.limit()) {
      rejectRequest(http::status::payload_too_large, "body_too_large");
      return;
    }
    if (*length > memory.available()) {
      rejectRequest(http::status::service_unavailable, "memory_exhausted");
      return;
    }
    Parser->Body.reserve(std::min(*length, MaxReservedBody));
  }
  Stream.expires_after(Server->Limits.BodyTimeout);
  if (!wantsContinue || Parser->is_done()) {
    parse();
    return;
  }
  auto text = std::make_shared<std::string>("HTTP/1.1 100 Continue\r\n\r\n");
  asio::async_write(
      Stream, asio::buffer(*text),
      [self = shared_from_this(), text](beast::error_code ec, size_t) {
        if (!ec)
          self->parse();
      });
}

void Session::dispatchRequest() {
  HttpRequest request;
  request.Method = std::move(Parser->Method);
  request.Target = std::move(Parser->Target);
  request.Fields = std::move(Parser->Fields);
  request.Body = std::move(Parser->Body);
  IsHttp10 = Parser->Version < 11;
  if (IsHttp10)
    setResetOnClose(true);
  KeepAlive = Parser->keep_alive();
  IsHeadRequest = request.Method == "HEAD";
  HasOutput = false;
  ++RequestNumber;
  IsResponding = true;
  IsEndQueued = false;
  ++Server->OpenCount;
  auto exchange = std::make_shared<SessionExchange>(
      shared_from_this(), RequestNumber, IsHttp10, KeepAlive, IsHeadRequest);
  Exchange = exchange;
  Stream.expires_never();
  Server->Counts.count("http_requests_total");
  watchForDisconnect();
  bool isHandled = runGuarded(Server->Counts, "request", [&] {
    Server->Callbacks.OnRequest(std::move(request), exchange);
  });
  if (!isHandled)
    failRequest(*exchange);
}

/// Ends a request whose handler failed. The handler may have passed it on, so
/// that the response does not say that it did not run.
void Session::failRequest(HttpExchange &Failed) {
  runGuarded(Server->Counts, "request_failure",
             [&] { Server->Callbacks.OnLoss(&Failed, HttpLoss::Failed); });
  // Has no effect if the handler has responded before it failed.
  if (HasOutput)
    Failed.abort();
  else
    Failed.respond(StatusInternalError, {{"content-type", "application/json"}},
                   R"({"error":{"reason":"internal_error","ran":"unknown"}})"
                   "\n");
}

/// Detects a caller that disconnects before its response is complete.
void Session::watchForDisconnect() {
  if (!Server->Limits.CancelsOnDisconnect)
    return;
  Stream.socket().async_wait(Tcp::socket::wait_read,
                             [self = shared_from_this(),
                              number = RequestNumber](beast::error_code ec) {
                               self->handleReadable(number, ec);
                             });
}

void Session::handleReadable(uint64_t Number, beast::error_code Error) {
  if (Error || Number != RequestNumber || !IsResponding)
    return;
  if (isDisconnected()) {
    // A response that is ready saves no work by its end, and the caller may
    // have closed its sending side only.
    if (!IsEndQueued)
      handleLoss(HttpLoss::CallerGone);
    return;
  }
  if (Buffer.size() < MaxReadAheadBytes) {
    watchForDisconnect();
    return;
  }
  // The rest stays unread, so the socket remains readable.
  DisconnectTimer.expires_after(DisconnectPollPeriod);
  DisconnectTimer.async_wait(
      [self = shared_from_this(), Number](beast::error_code ec) {
        self->handleReadable(Number, ec);
      });
}

/// Reads what the caller sent after its request, as the end of the connection
/// is visible only behind it. Call only while no read of the stream is pending.
bool Session::isDisconnected() {
  int socket = Stream.socket().native_handle();
  while (Buffer.size() < MaxReadAheadBytes) {
    auto space = Buffer.prepare(ReadBufferSize);
    ssize_t n = ::recv(socket, space.data(), space.size(), MSG_DONTWAIT);
    if (n <= 0)
      return n == 0 || (errno != EAGAIN && errno != EINTR);
    Buffer.commit(static_cast<size_t>(n));
  }
  pollfd state{socket, POLLRDHUP, 0};
  return ::poll(&state, 1, 0) > 0;
}

bool Session::hasCallerLeft(uint64_t Number) {
  return Server->Limits.CancelsOnDisconnect && Number == RequestNumber &&
         IsResponding && isDisconnected();
}

void Session::rejectRequest(http::status Status, const char *Reason) {
  Server->Counts.count("refusals_total",
                       "reason=\"" + std::string(Reason) + "\"");
  // The rest of a malformed request cannot be told apart from a next request.
  KeepAlive = false;
  ++RequestNumber;
  IsResponding = true;
  IsEndQueued = false;
  ++Server->OpenCount;
  Parser.reset();
  InputCharge.set(0);
  std::vector<HttpField> fields{{"content-type", "application/json"}};
  if (Status == http::status::service_unavailable)
    fields.push_back({"retry-after", MemoryRetryAfter});
  SessionExchange exchange(shared_from_this(), RequestNumber, false, false,
                           false);
  exchange.respond(static_cast<unsigned>(Status), std::move(fields),
                   R"({"error":{"reason":")" + std::string(Reason) +
                       R"(","ran":"not_run"}})"
                       "\n");
}

void Session::queue(uint64_t Number, std::string Bytes, bool IsEnd) {
  if (Number != RequestNumber || !IsResponding || IsEndQueued)
    return;
  IsEndQueued = IsEnd;
  HasOutput = true;
  if (!Bytes.empty()) {
    OutputBytes += Bytes.size();
    Output.push_back(std::move(Bytes));
    OutputCharge.set(OutputBytes);
  }
  size_t limit = Server->Memory->available() > 0 ? Server->Limits.MaxUnsentBytes
                                                 : RoomyUnsentBytes;
  if (OutputBytes > limit && !IsEnd) {
    handleLoss(HttpLoss::SlowReader);
    return;
  }
  if (!IsWriting)
    writeNext();
}

void Session::writeNext() {
  if (Output.empty()) {
    if (IsAborting)
      abortConnection();
    else if (IsEndQueued)
      finishResponse();
    return;
  }
  IsWriting = true;
  Stream.expires_after(WriteTimeout);
  asio::async_write(
      Stream, asio::buffer(Output.front()),
      [self = shared_from_this()](beast::error_code ec, size_t n) {
        self->IsWriting = false;
        if (!self->IsResponding)
          return;
        if (ec) {
          self->handleLoss(ec == beast::error::timeout ? HttpLoss::SlowReader
                                                       : HttpLoss::CallerGone);
          return;
        }
        self->Stream.expires_never();
        self->OutputBytes -= n;
        self->Output.pop_front();
        self->OutputCharge.set(self->OutputBytes);
        self->writeNext();
        self->reportRoom();
      });
}

bool Session::hasRoom(uint64_t Number) {
  if (Number != RequestNumber || !IsResponding)
    return true;
  size_t limit =
      Server->Memory->isScarce() ? ScarceUnsentBytes : RoomyUnsentBytes;
  IsRoomAwaited = OutputBytes > limit;
  return !IsRoomAwaited;
}

void Session::reportRoom() {
  if (!IsRoomAwaited || !hasRoom(RequestNumber))
    return;
  auto exchange = Exchange.lock();
  if (exchange && Server->Callbacks.OnRoom)
    Server->Callbacks.OnRoom(exchange.get());
}

/// With HTTP/1.0 the end of the connection may end the body. Until the response
/// is whole, a reset tells the caller that it is not, also when the process is
/// killed.
void Session::setResetOnClose(bool IsReset) {
  boost::system::error_code ignored;
  Stream.socket().set_option(asio::socket_base::linger(IsReset, 0), ignored);
}

void Session::finishResponse() {
  IsResponding = false;
  --Server->OpenCount;
  if (IsHttp10)
    setResetOnClose(false);
  // Also in a stop, a caller that was not told of the close may send on.
  if (KeepAlive)
    waitForRequest();
  else
    closeInOrder();
}

/// Closes the sending side now, and the connection once the caller has closed
/// its side.
void Session::closeInOrder() {
  beast::error_code ec;
  Stream.socket().shutdown(Tcp::socket::shutdown_send, ec);
  InputCharge.set(0);
  Stream.expires_after(LingerTime);
  discardInput();
}

void Session::discardInput() {
  Buffer.clear();
  Stream.async_read_some(
      Buffer.prepare(BodyReadSize),
      [self = shared_from_this()](beast::error_code ec, size_t n) {
        self->LingerBytes += n;
        if (ec || self->LingerBytes > MaxLingerBytes)
          self->Stream.close();
        else
          self->discardInput();
      });
}

void Session::handleLoss(HttpLoss Loss) {
  IsResponding = false;
  --Server->OpenCount;
  Output.clear();
  OutputBytes = 0;
  OutputCharge.set(0);
  InputCharge.set(0);
  Stream.close();
  Server->Counts.count("http_lost_total");
  if (auto exchange = Exchange.lock())
    Server->Callbacks.OnLoss(exchange.get(), Loss);
}

void Session::abort(uint64_t Number) {
  if (Number != RequestNumber || !IsResponding || IsEndQueued)
    return;
  // Queued output is still sent; only the end of the body is left out.
  IsEndQueued = true;
  IsAborting = true;
  if (!IsWriting)
    writeNext();
}

void Session::abortConnection() {
  IsResponding = false;
  --Server->OpenCount;
  if (IsHttp10)
    Stream.close();
  else
    closeInOrder();
}

void HttpServer::Impl::accept() {
  Acceptor.async_accept(
      [self = shared_from_this()](auto ec, Tcp::socket Socket) {
        if (!ec)
          self->startSession(std::move(Socket));
        if (self->IsStopping)
          return;
        if (ec) {
          // Out of file descriptors: retry later, when some may be free.
          self->AcceptRetryTimer.expires_after(AcceptRetryDelay);
          self->AcceptRetryTimer.async_wait([self](auto) {
            if (!self->IsStopping)
              self->accept();
          });
          return;
        }
        self->accept();
      });
}

/// Accepts what the operating system has accepted already. Closing the acceptor
/// would reset these connections, on which requests may have arrived.
void HttpServer::Impl::acceptBacklog() {
  boost::system::error_code ec;
  Acceptor.non_blocking(true, ec);
  size_t count = 0;
  while (!ec) {
    Tcp::socket socket(Io);
    Acceptor.accept(socket, ec);
    if (ec)
      break;
    ++count;
    startSession(std::move(socket));
  }
  if (count > 0 || ec != asio::error::would_block)
    logEvent(LogLevel::Info, "backlog_accepted",
             {{"count", std::to_string(count)}, {"end", ec.message()}});
}

void HttpServer::Impl::startSession(Tcp::socket Socket) {
  boost::system::error_code ignored;
  Socket.set_option(Tcp::no_delay(true), ignored);
  ::setsockopt(Socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
               &UserTimeoutMs, sizeof UserTimeoutMs);
  runGuarded(Counts, "accept", [&] {
    std::make_shared<Session>(std::move(Socket), shared_from_this())
        ->waitForRequest();
  });
}

HttpServer::HttpServer(asio::io_context &Io, std::string Listen,
                       HttpLimits Limits, Metrics &Counts,
                       MemoryBudgetPtr Memory, Handlers Callbacks)
    : Data(std::make_shared<Impl>(Io, std::move(Listen), Limits, Counts,
                                  std::move(Memory), std::move(Callbacks))) {}

HttpServer::~HttpServer() {
  // The pending accept holds a reference to the data and would keep the socket
  // open.
  Data->IsStopping = true;
  boost::system::error_code ec;
  Data->Acceptor.close(ec);
}

bool HttpServer::Impl::failStart(const boost::system::error_code &Error,
                                 StartProblem &Problem) {
  boost::system::error_code ignored;
  Acceptor.close(ignored);
  Problem.Reason = "cannot listen at " + Listen + ": " + Error.message();
  Problem.IsTemporary = Error == asio::error::address_in_use ||
                        Error == boost::system::errc::address_not_available;
  return false;
}

bool HttpServer::bind(StartProblem &Problem) {
  Impl &data = *Data;
  auto address = parseAddress(data.Listen);
  if (!address) {
    Problem = {"not an address: " + data.Listen};
    return false;
  }
  boost::system::error_code ec;
  Tcp::endpoint endpoint(asio::ip::make_address(address->Ip, ec),
                         address->Port);
  if (!ec)
    data.Acceptor.open(endpoint.protocol(), ec);
  if (!ec)
    data.Acceptor.set_option(asio::socket_base::reuse_address(true), ec);
  if (!ec)
    data.Acceptor.bind(endpoint, ec);
  if (ec)
    return data.failStart(ec, Problem);
  data.Address =
      address->Ip + ":" + std::to_string(data.Acceptor.local_endpoint().port());
  return true;
}

bool HttpServer::start(StartProblem &Problem) {
  Impl &data = *Data;
  if (!data.Acceptor.is_open() && !bind(Problem))
    return false;
  // Another socket may be bound to the address as well, as long as neither
  // listens.
  boost::system::error_code ec;
  data.Acceptor.listen(asio::socket_base::max_listen_connections, ec);
  if (ec)
    return data.failStart(ec, Problem);
  data.accept();
  return true;
}

const std::string &HttpServer::address() const { return Data->Address; }

void HttpServer::stopAccepting() {
  if (Data->Acceptor.is_open())
    Data->acceptBacklog();
  Data->IsStopping = true;
  boost::system::error_code ec;
  Data->Acceptor.close(ec);
  Data->AcceptRetryTimer.cancel();
  std::set<Session *> idle = Data->Idle;
  for (Session *it : idle)
    it->closeIdle();
}

void HttpServer::drain() { Data->IsDraining = true; }

void HttpServer::setLimits(const HttpLimits &Limits) { Data->Limits = Limits; }

size_t HttpServer::countOpenExchanges() const { return Data->OpenCount; }

size_t HttpServer::countConnections() const { return Data->ConnectionCount; }

} // namespace sassafras
