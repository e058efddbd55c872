#include "http/client.h"

#include "core/metrics.h"
#include "http/address.h"
#include "http/head_writer.h"
#include "http/message_parser.h"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>
#include <cerrno>
#include <limits>
#include <linux/sockios.h>
#include <map>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <set>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <utility>

namespace sassafras {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

constexpr Millis DefaultConnectTimeout{3'000};
/// Bytes that stay unacknowledged this long before the response begins end a
/// connection: the peer or the network path has failed without a reset.
constexpr Millis UserTimeout{2'500};
/// Largest status line and header of a response, in bytes.
constexpr uint32_t MaxHeadBytes = 64 * 1024;
/// Informational responses that may precede a response.
constexpr int MaxInformationalHeads = 8;
/// Time an idle connection is kept if the response has no Keep-Alive field.
constexpr Millis DefaultIdleTimeout{4'000};
/// Longest time, in seconds, that is read from that field.
constexpr unsigned long MaxIdleSeconds = 3600;
/// A pooled connection is closed this long before the peer would close it.
constexpr Millis IdleMargin{1'000};
/// Bytes that are read at once.
constexpr size_t ReadSize = 8'192;
/// Limit of the bytes of a body's framing, such as a chunk's extensions, that
/// are kept until they are complete.
constexpr size_t MaxFramingBytes = 16ULL * 1024;

struct Connection;
/// All connections of a client by address.
using ConnectionRegistry = std::map<std::string, std::set<Connection *>>;

/// Is in the registry for as long as it lives.
struct Connection {
  Connection(asio::io_context &Io, ConnectionRegistry &Registry,
             std::string Address)
      : Registry(Registry), Stream(Io), Address(std::move(Address)) {
    Registry[this->Address].insert(this);
  }
  ~Connection() {
    auto it = Registry.find(Address);
    it->second.erase(this);
    if (it->second.empty())
      Registry.erase(it);
  }
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;

  ConnectionRegistry &Registry;
  beast::tcp_stream Stream;
  beast::flat_buffer Buffer;
  std::string Address;
  TimePoint ConnectedAt;
  /// The server ran then or later; zero before the connection is established.
  TimePoint AliveAfter;
  TimePoint IdleSince;
  TimePoint IdleEnd;
};

using ConnectionPtr = std::unique_ptr<Connection>;

/// True when an idle connection is still usable: the peer has neither closed it
/// nor sent bytes that belong to no request.
bool isUsable(Connection &Idle) {
  char buf = 0;
  ssize_t n = ::recv(Idle.Stream.socket().native_handle(), &buf, 1,
                     MSG_PEEK | MSG_DONTWAIT);
  return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

/// Sets the time for which sent bytes may stay unacknowledged, or unread by a
/// peer whose receive buffer is full.
void setUserTimeout(Connection &Conn, Millis Timeout) {
  unsigned ms = static_cast<unsigned>(Timeout.count());
  ::setsockopt(Conn.Stream.socket().native_handle(), IPPROTO_TCP,
               TCP_USER_TIMEOUT, &ms, sizeof ms);
}

/// True when the peer's host has not taken all bytes of the request.
bool hasUnsentBytes(Connection &Conn) {
  int n = 0;
  return ::ioctl(Conn.Stream.socket().native_handle(), SIOCOUTQ, &n) != 0 ||
         n > 0;
}

/// True when a connection has ended in both directions, as after a reset.
bool hasHungUp(Connection &Conn) {
  pollfd it{Conn.Stream.socket().native_handle(), 0, 0};
  return ::poll(&it, 1, 0) > 0 && (it.revents & POLLHUP) != 0;
}

/// When the latest segment arrived at this host; zero if that is not known.
TimePoint lastArrivalAt(Connection &Conn) {
  tcp_info info{};
  socklen_t n = sizeof info;
  if (::getsockopt(Conn.Stream.socket().native_handle(), IPPROTO_TCP, TCP_INFO,
                   &info, &n) != 0)
    return TimePoint();
  return Clock::now() - Millis(info.tcpi_last_ack_recv);
}

/// True if a field of the header that \p Bytes begin with continues on a second
/// line. RFC 9112, 5.2, has deprecated that. The parser joins the lines, which
/// changes the field's value.
bool hasFoldedField(std::string_view Bytes) {
  std::string_view head = Bytes.substr(0, Bytes.find("\r\n\r\n"));
  return head.find("\r\n ") != std::string_view::npos ||
         head.find("\r\n\t") != std::string_view::npos;
}

/// True if a response has other transfer codings than chunks, which the parser
/// removes, and "identity", an obsolete name for none. No other one is asked
/// for.
bool hasUnknownCoding(const ResponseParser &Parser) {
  size_t chunked = 0;
  for (const HttpField &it : Parser.Fields) {
    if (it.Name != "transfer-encoding")
      continue;
    std::vector<std::string> codings;
    boost::algorithm::split(codings, it.Value, boost::is_any_of(","));
    for (std::string &coding : codings) {
      boost::algorithm::trim(coding);
      if (beast::iequals(coding, "chunked"))
        ++chunked;
      else if (!coding.empty() && !beast::iequals(coding, "identity"))
        return true;
    }
  }
  return chunked != (Parser.chunked() ? 1 : 0);
}

bool mayHaveBody(std::string_view Method) {
  return Method == "POST" || Method == "PUT" || Method == "PATCH";
}

} // namespace

struct HttpClient::Impl {
  Impl(asio::io_context &Io, Metrics *Counts, MemoryBudgetPtr Memory)
      : Io(Io), Counts(Counts), Memory(std::move(Memory)) {}

  ConnectionPtr takeIdle(const std::string &Address, Millis MaxIdle);
  void release(ConnectionPtr Idle);
  void count(const std::string &Name) {
    if (Counts)
      Counts->count(Name);
  }

  asio::io_context &Io;
  Metrics *Counts; ///< Null for single exchanges.
  MemoryBudgetPtr Memory;
  bool PoolsConnections = true;
  ConnectionRegistry Connections; ///< Outlives those in Idle.
  std::map<std::string, std::vector<ConnectionPtr>> Idle;
};

ConnectionPtr HttpClient::Impl::takeIdle(const std::string &Address,
                                         Millis MaxIdle) {
  auto found = Idle.find(Address);
  if (found == Idle.end())
    return nullptr;
  TimePoint now = Clock::now();
  auto &list = found->second;
  while (!list.empty()) {
    ConnectionPtr last = std::move(list.back());
    list.pop_back();
    if (now < last->IdleEnd && now - last->IdleSince < MaxIdle &&
        isUsable(*last))
      return last;
    count("client_idle_closed_total");
  }
  return nullptr;
}

void HttpClient::Impl::release(ConnectionPtr Done) {
  Done->IdleSince = Clock::now();
  if (Done->Buffer.capacity() > ReadSize)
    Done->Buffer.shrink_to_fit();
  Idle[Done->Address].push_back(std::move(Done));
}

namespace {

class Call : public HttpCall, public std::enable_shared_from_this<Call> {
public:
  Call(std::shared_ptr<HttpClient::Impl> Client, HttpCallOptions Options,
       HttpCallbacks Callbacks, std::shared_ptr<const std::string> Body)
      : Client(std::move(Client)), Options(Options),
        Callbacks(std::move(Callbacks)), Body(std::move(Body)),
        Charge(this->Client->Memory) {}

  void start(const std::string &Address, const HttpRequest &Request) {
    if (!Body)
      Body = std::make_shared<const std::string>(Request.Body);
    buildMessage(Address, Request);
    IsHeadRequest = Request.Method == "HEAD";
    prepareParser();
    if (!Options.NeedsNewConnection)
      Conn = Client->takeIdle(Address, Options.MaxIdle);
    if (Conn) {
      IsReused = true;
      Client->count("client_reused_total");
      asio::post(Client->Io, [self = shared_from_this()] { self->exchange(); });
      return;
    }
    Client->count("client_connects_total");
    Conn =
        std::make_unique<Connection>(Client->Io, Client->Connections, Address);
    connect(Address);
  }

  void cancel() override {
    IsFinished = true;
    reset();
  }

  void pause() override { IsPaused = true; }

  TimePoint endedAt() const override { return EndedAt; }

  void resume() override {
    IsPaused = false;
    if (!std::exchange(IsReadDue, false))
      return;
    asio::post(Client->Io, [self = shared_from_this()] {
      if (!self->IsFinished)
        self->readMore();
    });
  }

private:
  void prepareParser() {
    Parser.emplace();
    Parser->body_limit(Options.MaxBodyBytes);
    Parser->header_limit(MaxHeadBytes);
    Parser->skip(IsHeadRequest);
  }

  void buildMessage(const std::string &Address, const HttpRequest &Request) {
    HeadWriter head = HeadWriter::request(Request.Method, Request.Target);
    std::string_view host = fieldOf(Request.Fields, "host");
    head.add("Host", host.empty() ? Address : host);
    for (const HttpField &it : Request.Fields)
      if (!isHopByHopField(it.Name))
        head.add(it.Name, it.Value);
    if (!Client->PoolsConnections)
      head.add("Connection", "close");
    // Without a length, there is no body.
    if (!Body->empty() || mayHaveBody(Request.Method))
      head.addLength(Body->size());
    Head = std::move(head).finish();
  }

  void connect(const std::string &Address) {
    auto address = parseAddress(Address);
    boost::system::error_code ec;
    Tcp::endpoint endpoint;
    if (address)
      endpoint =
          Tcp::endpoint(asio::ip::make_address(address->Ip, ec), address->Port);
    if (!address || ec) {
      asio::post(Client->Io, [self = shared_from_this()] {
        self->fail({false, false, false});
      });
      return;
    }
    Conn->Stream.expires_after(Options.ConnectTimeout);
    BegunAt = Clock::now();
    Conn->Stream.async_connect(
        endpoint, [self = shared_from_this()](beast::error_code ec) {
          if (ec)
            self->fail({false, ec == asio::error::connection_refused,
                        ec == beast::error::timeout, TimePoint(),
                        ec == asio::error::connection_reset});
          else
            self->setSocketOptions();
        });
  }

  void setSocketOptions() {
    if (IsFinished)
      return;
    Conn->ConnectedAt = Clock::now();
    // Not the time at which this process, which may have paused, learns of it.
    Conn->AliveAfter = BegunAt;
    boost::system::error_code ignored;
    Conn->Stream.socket().set_option(Tcp::no_delay(true), ignored);
    exchange();
  }

  void expireRead() {
    Conn->Stream.expires_after(std::clamp<Clock::duration>(
        Options.Deadline - Clock::now(), Millis(0), Options.ReadTimeout));
  }

  /// Reads and writes at the same time, since a response may arrive before the
  /// whole request has been sent.
  void exchange() {
    if (IsFinished || (Callbacks.MaySend && !Callbacks.MaySend()))
      return;
    setUserTimeout(*Conn, UserTimeout);
    expireRead();
    BegunAt = Clock::now();
    std::array<asio::const_buffer, 2> bytes{asio::buffer(Head),
                                            asio::buffer(*Body)};
    asio::async_write(
        Conn->Stream, bytes,
        [self = shared_from_this()](beast::error_code ec, size_t) {
          self->handleWritten(ec);
        });
    readMore();
  }

  void handleWritten(beast::error_code Error) {
    WriteResult = Error;
    if (IsFinished)
      return;
    if (std::exchange(IsEndDue, false))
      handleEndOfInput();
    else
      finishIfComplete();
  }

  void readMore() {
    if (IsPaused) {
      IsReadDue = true;
      return;
    }
    if (Parser->is_header_done())
      expireRead();
    size_t kept = Conn->Buffer.size();
    if (kept > ReadSize && !Charge.tryResize(2 * kept)) {
      Client->count("client_memory_exhausted_total");
      fail({true, false, false});
      return;
    }
    Conn->Stream.async_read_some(
        Conn->Buffer.prepare(ReadSize),
        [self = shared_from_this()](beast::error_code ec, size_t n) {
          self->handleBytes(ec, n);
        });
  }

  void handleBytes(beast::error_code Error, size_t Size) {
    if (IsFinished)
      return;
    Conn->Buffer.commit(Size);
    if (Error == asio::error::eof)
      handleEndOfInput();
    else if (Error)
      fail({true, false, Error == beast::error::timeout, TimePoint(),
            Error == asio::error::connection_reset});
    else
      parse();
  }

  /// The end of the connection may be the end of the body, unless the
  /// connection was reset. The kernel reports a reset once: if the write has
  /// got it, reads find an end of file.
  void handleEndOfInput() {
    if (!WriteResult && hasHungUp(*Conn)) {
      IsEndDue = true;
      return;
    }
    // A write to a peer that had ended its side in order before the reset fails
    // with a broken pipe.
    bool isInOrder = !WriteResult || !*WriteResult ||
                     *WriteResult == asio::error::broken_pipe;
    beast::error_code ec = asio::error::eof;
    if (isInOrder && Parser->got_some()) {
      EndedAt = lastArrivalAt(*Conn);
      Parser->put_eof(ec);
    }
    if (ec)
      fail({true, false, false, TimePoint(),
            WriteResult && *WriteResult == asio::error::connection_reset});
    else
      parse();
  }

  /// Parses what has been read, and reads on until the response is complete.
  void parse() {
    while (Conn->Buffer.size() > 0 && !Parser->is_done()) {
      bool isInHead = !Parser->is_header_done();
      asio::const_buffer bytes = Conn->Buffer.data();
      if (isInHead && hasFoldedField({static_cast<const char *>(bytes.data()),
                                      bytes.size()})) {
        fail({true, false, false});
        return;
      }
      beast::error_code ec;
      Conn->Buffer.consume(Parser->put(bytes, ec));
      if (isInHead && Parser->is_header_done() && !ec) {
        handleHead();
      } else if (!Parser->Body.empty()) {
        Callbacks.OnBody(Parser->Body);
        Parser->Body.clear();
      }
      if (IsFinished)
        return;
      if (ec == http::error::need_more)
        break;
      if (ec) {
        fail({true, false, false});
        return;
      }
    }
    if (Parser->is_done()) {
      IsResponseRead = true;
      finishIfComplete();
      return;
    }
    if (Parser->is_header_done() && Conn->Buffer.size() > MaxFramingBytes)
      fail({true, false, false});
    else
      readMore();
  }

  void handleHead() {
    // Informational responses precede the final one. No other protocol is asked
    // for, so a switch to one fails the exchange.
    constexpr unsigned StatusSwitching = 101;
    constexpr unsigned FirstFinalStatus = 200;
    if (Parser->Status < FirstFinalStatus) {
      if (Parser->Status == StatusSwitching ||
          ++InformationalHeads > MaxInformationalHeads)
        fail({true, false, false});
      else
        prepareParser();
      return;
    }
    if (hasUnknownCoding(*Parser)) {
      fail({true, false, false});
      return;
    }
    HttpResponseHead head;
    head.Status = Parser->Status;
    head.IsFirstOnConnection = !IsReused;
    head.ConnectedAt = Conn->ConnectedAt;
    head.Fields = std::move(Parser->Fields);
    if (Parser->content_length())
      head.Length = *Parser->content_length();
    IsKeptAlive = Parser->keep_alive() && !Parser->need_eof();
    parseKeepAlive(fieldOf(head.Fields, "keep-alive"));
    Parser->eager(true);
    // The peer may respond first and read the rest of the request later.
    setUserTimeout(*Conn, Options.ReadTimeout);
    Callbacks.OnHead(std::move(head));
  }

  void parseKeepAlive(std::string_view Value) {
    constexpr std::string_view Key = "timeout=";
    Millis idle = DefaultIdleTimeout;
    size_t at = Value.find(Key);
    if (at != std::string_view::npos) {
      std::string seconds(Value.substr(at + Key.size()));
      idle = std::chrono::seconds(
          std::min(std::strtoul(seconds.c_str(), nullptr, 10), MaxIdleSeconds));
    }
    KeepFor = idle > IdleMargin ? idle - IdleMargin : Millis(0);
  }

  /// A complete response is delivered even if the request could not be sent
  /// completely; only the connection is not reused then, as the next request
  /// would wait behind the rest.
  void finishIfComplete() {
    if (IsFinished || !IsResponseRead)
      return;
    IsFinished = true;
    bool isRequestSent = WriteResult && !*WriteResult;
    bool isReusable = IsKeptAlive && isRequestSent &&
                      Client->PoolsConnections && Conn->Buffer.size() == 0 &&
                      KeepFor.count() > 0 && !hasUnsentBytes(*Conn);
    if (isReusable) {
      Conn->Stream.expires_never();
      Conn->AliveAfter = BegunAt;
      Conn->IdleEnd = Clock::now() + KeepFor;
      Client->release(std::move(Conn));
    } else {
      close();
    }
    Callbacks.OnEnd();
  }

  void close() {
    if (Conn)
      Conn->Stream.close();
  }

  /// Discards what the peer has not received yet. A plain close would deliver a
  /// request after it was given up, once the peer reads or the network
  /// recovers.
  void reset() {
    if (!Conn)
      return;
    boost::system::error_code ignored;
    Conn->Stream.socket().set_option(asio::socket_base::linger(true, 0),
                                     ignored);
    close();
  }

  void fail(HttpFailure Failure) {
    if (IsFinished)
      return;
    IsFinished = true;
    if (Conn)
      Failure.AliveAfter = Conn->AliveAfter;
    reset();
    Callbacks.OnFailure(Failure);
  }

  std::shared_ptr<HttpClient::Impl> Client;
  HttpCallOptions Options;
  HttpCallbacks Callbacks;
  ConnectionPtr Conn;
  TimePoint BegunAt; ///< Of the connection, then of the request's sending.
  TimePoint EndedAt; ///< The end of the connection arrived; zero until then.
  std::string Head;  ///< Of the request.
  std::shared_ptr<const std::string> Body; ///< Of the request.
  MemoryCharge Charge; ///< For bytes that are not parsed yet.
  /// Replaced after each informational response.
  std::optional<ResponseParser> Parser;
  int InformationalHeads = 0;
  std::optional<beast::error_code> WriteResult; ///< Of the whole request.
  bool IsHeadRequest = false;
  Millis KeepFor{0};
  bool IsKeptAlive = false;
  bool IsReused = false; ///< The connection was pooled.
  bool IsEndDue = false; ///< An end of file waits for the write's result.
  bool IsResponseRead = false;
  bool IsPaused = false;
  bool IsReadDue = false; ///< A read was put off by the pause.
  bool IsFinished = false;
};

} // namespace

HttpClient::HttpClient(asio::io_context &Io, Metrics &Counts,
                       MemoryBudgetPtr Memory)
    : Data(std::make_shared<Impl>(Io, &Counts, std::move(Memory))) {}

HttpClient::~HttpClient() = default;

std::shared_ptr<HttpCall>
HttpClient::start(const std::string &Address, const HttpRequest &Request,
                  HttpCallOptions Options, HttpCallbacks Callbacks,
                  std::shared_ptr<const std::string> SharedBody) {
  auto call = std::make_shared<Call>(Data, Options, std::move(Callbacks),
                                     std::move(SharedBody));
  call->start(Address, Request);
  return call;
}

bool HttpClient::hasOpenConnection(const std::string &Address,
                                   TimePoint EstablishedBefore) const {
  auto found = Data->Connections.find(Address);
  if (found == Data->Connections.end())
    return false;
  return std::any_of(found->second.begin(), found->second.end(),
                     [&](Connection *It) {
                       return It->ConnectedAt != TimePoint() &&
                              It->ConnectedAt < EstablishedBefore &&
                              It->Stream.socket().is_open() && isUsable(*It);
                     });
}

void HttpClient::closeExpired() {
  TimePoint now = Clock::now();
  for (auto it = Data->Idle.begin(); it != Data->Idle.end();) {
    std::erase_if(it->second, [&](const ConnectionPtr &Kept) {
      return now >= Kept->IdleEnd || !isUsable(*Kept);
    });
    it = it->second.empty() ? Data->Idle.erase(it) : std::next(it);
  }
}

std::shared_ptr<HttpCall>
startHttpCall(asio::io_context &Io, const std::string &Address,
              const HttpRequest &Request, Millis ReadTimeout,
              HttpCallbacks Callbacks, MemoryBudgetPtr Memory) {
  auto client =
      std::make_shared<HttpClient::Impl>(Io, nullptr, std::move(Memory));
  client->PoolsConnections = false;
  auto call = std::make_shared<Call>(
      client, HttpCallOptions{DefaultConnectTimeout, ReadTimeout, Millis(0)},
      std::move(Callbacks), nullptr);
  call->start(Address, Request);
  return call;
}

} // namespace sassafras
