#include "http/client.h"

#include "core/metrics.h"
#include "http/address.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <cerrno>
#include <limits>
#include <map>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace sassafras {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

constexpr Millis ConnectLimit{3'000};
/// Unacknowledged bytes end a connection after this: the peer or the path is
/// gone, and no reset tells of it.
constexpr int UserTimeoutMs = 2'500;
/// Head of an answer, in bytes.
constexpr uint32_t HeadLimit = 64 * 1024;
/// Answers without a Keep-Alive field: how long a connection is kept.
constexpr Millis DefaultIdle{4'000};
/// A kept connection is given up this long before the peer would close it.
constexpr Millis IdleMargin{1'000};
/// Piece of a body that is passed on at once, in bytes.
constexpr size_t PieceSize = 8'192;

struct Connection {
  explicit Connection(asio::io_context &Io) : Stream(Io) {}

  beast::tcp_stream Stream;
  beast::flat_buffer Buffer;
  std::string Address;
  TimePoint IdleSince;
  TimePoint IdleEnd;
};

using ConnectionPtr = std::unique_ptr<Connection>;

/// True when nothing has come in on an idle connection: neither its end nor
/// bytes that belong to no request.
bool isQuiet(Connection &Idle) {
  char buf = 0;
  ssize_t n = ::recv(Idle.Stream.socket().native_handle(), &buf, 1,
                     MSG_PEEK | MSG_DONTWAIT);
  return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

std::string lowerCase(std::string_view Text) {
  std::string out(Text);
  for (char &it : out)
    it = static_cast<char>(std::tolower(static_cast<unsigned char>(it)));
  return out;
}

} // namespace

struct HttpClient::Impl {
  Impl(asio::io_context &Io, Metrics *Counts) : Io(Io), Counts(Counts) {}

  ConnectionPtr takeIdle(const std::string &Address, Millis MostIdle);
  void keep(ConnectionPtr Idle);
  void count(const std::string &Name) {
    if (Counts)
      Counts->count(Name);
  }

  asio::io_context &Io;
  Metrics *Counts; ///< Absent for single exchanges.
  bool KeepsConnections = true;
  std::map<std::string, std::vector<ConnectionPtr>> Idle;
};

ConnectionPtr HttpClient::Impl::takeIdle(const std::string &Address,
                                         Millis MostIdle) {
  auto found = Idle.find(Address);
  if (found == Idle.end())
    return nullptr;
  TimePoint now = Clock::now();
  auto &list = found->second;
  while (!list.empty()) {
    ConnectionPtr last = std::move(list.back());
    list.pop_back();
    if (now < last->IdleEnd && now - last->IdleSince < MostIdle &&
        isQuiet(*last))
      return last;
    count("client_idle_closed_total");
  }
  return nullptr;
}

void HttpClient::Impl::keep(ConnectionPtr Done) {
  Done->IdleSince = Clock::now();
  Idle[Done->Address].push_back(std::move(Done));
}

namespace {

class Call : public HttpCall, public std::enable_shared_from_this<Call> {
public:
  Call(std::shared_ptr<HttpClient::Impl> Client, HttpCallOptions Options,
       HttpCallbacks Calls)
      : Client(std::move(Client)), Options(Options), Calls(std::move(Calls)) {
    Parser.body_limit(std::numeric_limits<uint64_t>::max());
    Parser.header_limit(HeadLimit);
  }

  void start(const std::string &Address, const HttpRequest &Request) {
    fill(Address, Request);
    Parser.skip(Request.Method == "HEAD");
    Link = Client->takeIdle(Address, Options.MostIdle);
    if (Link) {
      Client->count("client_reused_total");
      asio::post(Client->Io, [self = shared_from_this()] { self->exchange(); });
      return;
    }
    Client->count("client_connects_total");
    Link = std::make_unique<Connection>(Client->Io);
    Link->Address = Address;
    connect(Address);
  }

  void cancel() override {
    IsOver = true;
    close();
  }

private:
  void fill(const std::string &Address, const HttpRequest &Request) {
    Message.method_string(Request.Method);
    Message.target(Request.Target);
    Message.version(11);
    Message.set(http::field::host, Address);
    for (const HttpField &it : Request.Fields)
      if (it.Name == "host")
        Message.set(http::field::host, it.Value);
      else if (!isHopByHopField(it.Name))
        Message.insert(it.Name, it.Value);
    Message.keep_alive(Client->KeepsConnections);
    Message.body() = Request.Body;
    Message.prepare_payload();
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
    Link->Stream.expires_after(Options.Connect);
    Link->Stream.async_connect(
        endpoint, [self = shared_from_this()](beast::error_code ec) {
          if (ec)
            self->fail({false, ec == asio::error::connection_refused,
                        ec == beast::error::timeout});
          else
            self->prepare();
        });
  }

  void prepare() {
    if (IsOver)
      return;
    boost::system::error_code ignored;
    Link->Stream.socket().set_option(Tcp::no_delay(true), ignored);
    ::setsockopt(Link->Stream.socket().native_handle(), IPPROTO_TCP,
                 TCP_USER_TIMEOUT, &UserTimeoutMs, sizeof UserTimeoutMs);
    exchange();
  }

  /// Reads while it writes: an answer may come before the whole request was
  /// taken.
  void exchange() {
    if (IsOver)
      return;
    Link->Stream.expires_after(Options.Silence);
    http::async_write(
        Link->Stream, Message,
        [self = shared_from_this()](beast::error_code ec, size_t) {
          self->IsWritten = !ec;
          self->endIfComplete();
        });
    http::async_read_header(
        Link->Stream, Link->Buffer, Parser,
        [self = shared_from_this()](beast::error_code ec, size_t) {
          if (ec)
            self->fail({true, false, ec == beast::error::timeout});
          else
            self->takeHead();
        });
  }

  void takeHead() {
    if (IsOver)
      return;
    const auto &message = Parser.get();
    // Informational answers precede the real one.
    if (message.result_int() < 200) {
      fail({true, false, false});
      return;
    }
    HttpResponseHead head;
    head.Status = message.result_int();
    for (const auto &it : message.base())
      head.Fields.push_back(
          {lowerCase(it.name_string()), std::string(it.value())});
    if (Parser.content_length())
      head.Length = *Parser.content_length();
    IsKept = message.keep_alive() && !Parser.need_eof();
    readKeepAlive(message[http::field::keep_alive]);
    Calls.OnHead(std::move(head));
    readBody();
  }

  void readKeepAlive(std::string_view Value) {
    constexpr std::string_view Key = "timeout=";
    Millis idle = DefaultIdle;
    size_t at = Value.find(Key);
    if (at != std::string_view::npos)
      idle = std::chrono::seconds(std::strtoul(
          std::string(Value.substr(at + Key.size())).c_str(), nullptr, 10));
    KeepFor = idle > IdleMargin ? idle - IdleMargin : Millis(0);
  }

  void readBody() {
    if (IsOver)
      return;
    if (Parser.is_done()) {
      IsRead = true;
      endIfComplete();
      return;
    }
    Parser.get().body().data = Piece.data();
    Parser.get().body().size = Piece.size();
    Link->Stream.expires_after(Options.Silence);
    http::async_read_some(
        Link->Stream, Link->Buffer, Parser,
        [self = shared_from_this()](beast::error_code ec, size_t) {
          self->takeBody(ec);
        });
  }

  void takeBody(beast::error_code Error) {
    if (IsOver)
      return;
    size_t n = Piece.size() - Parser.get().body().size;
    if (n > 0)
      Calls.OnBody(std::string_view(Piece.data(), n));
    if (Error && Error != http::error::need_buffer) {
      fail({true, false, Error == beast::error::timeout});
      return;
    }
    readBody();
  }

  /// The whole answer counts even if the request could not be written to its
  /// end; only the connection is lost then.
  void endIfComplete() {
    if (IsOver || !IsRead)
      return;
    IsOver = true;
    bool isReusable = IsKept && IsWritten && Client->KeepsConnections &&
                      Link->Buffer.size() == 0 && KeepFor.count() > 0;
    if (isReusable) {
      Link->Stream.expires_never();
      Link->IdleEnd = Clock::now() + KeepFor;
      Client->keep(std::move(Link));
    } else {
      close();
    }
    Calls.OnEnd();
  }

  void close() {
    if (Link)
      Link->Stream.close();
  }

  void fail(HttpFailure Break) {
    if (IsOver)
      return;
    IsOver = true;
    close();
    Calls.OnFailure(Break);
  }

  std::shared_ptr<HttpClient::Impl> Client;
  HttpCallOptions Options;
  HttpCallbacks Calls;
  ConnectionPtr Link;
  http::request<http::string_body> Message;
  http::response_parser<http::buffer_body> Parser;
  std::array<char, PieceSize> Piece{};
  Millis KeepFor{0};
  bool IsKept = false;
  bool IsWritten = false;
  bool IsRead = false;
  bool IsOver = false;
};

} // namespace

HttpClient::HttpClient(asio::io_context &Io, Metrics &Counts)
    : Data(std::make_shared<Impl>(Io, &Counts)) {}

HttpClient::~HttpClient() = default;

std::shared_ptr<HttpCall> HttpClient::start(const std::string &Address,
                                            const HttpRequest &Request,
                                            HttpCallOptions Options,
                                            HttpCallbacks Calls) {
  auto call = std::make_shared<Call>(Data, Options, std::move(Calls));
  call->start(Address, Request);
  return call;
}

void HttpClient::closeExpired() {
  TimePoint now = Clock::now();
  for (auto it = Data->Idle.begin(); it != Data->Idle.end();) {
    std::erase_if(it->second, [&](const ConnectionPtr &Kept) {
      return now >= Kept->IdleEnd || !isQuiet(*Kept);
    });
    it = it->second.empty() ? Data->Idle.erase(it) : std::next(it);
  }
}

std::shared_ptr<HttpCall> startHttpCall(asio::io_context &Io,
                                        const std::string &Address,
                                        const HttpRequest &Request,
                                        Millis Silence, HttpCallbacks Calls) {
  auto client = std::make_shared<HttpClient::Impl>(Io, nullptr);
  client->KeepsConnections = false;
  auto call = std::make_shared<Call>(
      client, HttpCallOptions{ConnectLimit, Silence, Millis(0)},
      std::move(Calls));
  call->start(Address, Request);
  return call;
}

} // namespace sassafras
