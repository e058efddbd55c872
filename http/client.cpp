#include "http/client.h"

#include "http/address.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <limits>

namespace sassafras {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

constexpr std::chrono::seconds ConnectLimit{3};

class Call : public HttpCall, public std::enable_shared_from_this<Call> {
public:
  Call(asio::io_context &Io, Millis Silence, HttpCalls Calls)
      : Stream(Io), Silence(Silence), Calls(std::move(Calls)) {
    Parser.body_limit(std::numeric_limits<uint64_t>::max());
  }

  void start(const std::string &Address, const HttpRequest &Request) {
    fill(Address, Request);
    auto address = parseAddress(Address);
    boost::system::error_code ec;
    Tcp::endpoint endpoint;
    if (address)
      endpoint =
          Tcp::endpoint(asio::ip::make_address(address->Ip, ec), address->Port);
    if (!address || ec) {
      asio::post(Stream.get_executor(), [self = shared_from_this()] {
        self->fail({false, false});
      });
      return;
    }
    Stream.expires_after(ConnectLimit);
    Stream.async_connect(endpoint, [self = shared_from_this()](auto ec) {
      if (ec)
        self->fail({false, ec == asio::error::connection_refused});
      else
        self->write();
    });
  }

  void cancel() override {
    IsOver = true;
    Stream.close();
  }

private:
  void fill(const std::string &Address, const HttpRequest &Request) {
    Message.method_string(Request.Method);
    Message.target(Request.Target);
    Message.version(11);
    for (const HttpField &it : Request.Fields)
      if (!isHopField(it.Name))
        Message.insert(it.Name, it.Value);
    Message.set(http::field::host, Address);
    Message.keep_alive(false);
    Message.body() = Request.Body;
    Message.prepare_payload();
  }

  void write() {
    Stream.expires_after(Silence);
    http::async_write(Stream, Message,
                      [self = shared_from_this()](auto ec, size_t) {
                        if (ec)
                          self->fail({true, false});
                        else
                          self->readHead();
                      });
  }

  void readHead() {
    Stream.expires_after(Silence);
    http::async_read_header(Stream, Buffer, Parser,
                            [self = shared_from_this()](auto ec, size_t) {
                              if (ec)
                                self->fail({true, false});
                              else
                                self->takeHead();
                            });
  }

  void takeHead() {
    if (IsOver)
      return;
    std::vector<HttpField> fields;
    for (const auto &it : Parser.get().base()) {
      std::string name(it.name_string());
      for (char &c : name)
        c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
      fields.push_back({std::move(name), std::string(it.value())});
    }
    Calls.OnHead(Parser.get().result_int(), std::move(fields));
    readBody();
  }

  void readBody() {
    if (IsOver)
      return;
    if (Parser.is_done()) {
      end();
      return;
    }
    Parser.get().body().data = Piece.data();
    Parser.get().body().size = Piece.size();
    Stream.expires_after(Silence);
    http::async_read_some(
        Stream, Buffer, Parser,
        [self = shared_from_this()](auto ec, size_t) { self->takeBody(ec); });
  }

  void takeBody(beast::error_code Error) {
    if (IsOver)
      return;
    size_t n = Piece.size() - Parser.get().body().size;
    if (n > 0)
      Calls.OnBody(std::string(Piece.data(), n));
    if (Error && Error != http::error::need_buffer) {
      fail({true, false});
      return;
    }
    readBody();
  }

  void end() {
    if (IsOver)
      return;
    IsOver = true;
    Stream.close();
    Calls.OnEnd();
  }

  void fail(HttpBreak Break) {
    if (IsOver)
      return;
    IsOver = true;
    Stream.close();
    Calls.OnBreak(Break);
  }

  beast::tcp_stream Stream;
  Millis Silence;
  HttpCalls Calls;
  beast::flat_buffer Buffer;
  http::request<http::string_body> Message;
  http::response_parser<http::buffer_body> Parser;
  std::array<char, 16384> Piece{};
  bool IsOver = false;
};

} // namespace

std::shared_ptr<HttpCall> startHttpCall(asio::io_context &Io,
                                        const std::string &Address,
                                        const HttpRequest &Request,
                                        Millis Silence, HttpCalls Calls) {
  auto call = std::make_shared<Call>(Io, Silence, std::move(Calls));
  call->start(Address, Request);
  return call;
}

} // namespace sassafras
