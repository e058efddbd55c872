/// \file
/// HTTP contract towards callers, tested byte by byte on raw TCP connections.
#include "core/metrics.h"
#include "http/address.h"
#include "http/server.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <stdexcept>
#include <thread>

using namespace sassafras;
namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

namespace {

constexpr uint64_t MemoryBytes = 10'000'000;

HttpLimits smallLimits() {
  HttpLimits limits;
  limits.HeadBytes = 2048;
  limits.BodyBytes = 1000;
  return limits;
}

/// Server that responds with the method, target and body of the request. Target
/// /stream gets a streamed response, /broken one that is aborted, /field the
/// length of field x; the handlers of /fails and /fails-late throw.
class EchoServer {
public:
  explicit EchoServer(const HttpLimits &Limits = smallLimits())
      : Server(Io, "127.0.0.1:0", Limits, Counts,
               std::make_shared<MemoryBudget>(MemoryBytes), handlers()) {
    StartProblem problem;
    REQUIRE(Server.start(problem));
    Runner = std::thread([this] { Io.run(); });
  }
  ~EchoServer() {
    Io.stop();
    Runner.join();
  }

  /// Sends \p Bytes, closes the sending side if \p IsHalfClosed, and returns
  /// everything received until the server closes the connection.
  std::string exchange(const std::string &Bytes, bool IsHalfClosed = true) {
    auto address = parseAddress(Server.address());
    asio::io_context io;
    Tcp::socket socket(io);
    socket.connect({asio::ip::make_address(address->Ip), address->Port});
    boost::system::error_code ec;
    asio::write(socket, asio::buffer(Bytes), ec);
    if (IsHalfClosed)
      socket.shutdown(Tcp::socket::shutdown_send, ec);
    std::string response;
    asio::read(socket, asio::dynamic_buffer(response), ec);
    return response;
  }

  /// The same for bytes that arrive on an idle connection just before the
  /// server stops, which has not read them by then.
  std::string exchangeAtStop(const std::string &Bytes) {
    auto address = parseAddress(Server.address());
    asio::io_context io;
    Tcp::socket socket(io);
    socket.connect({asio::ip::make_address(address->Ip), address->Port});
    std::this_thread::sleep_for(Millis(100));
    asio::post(Io, [&] {
      boost::system::error_code ec;
      asio::write(socket, asio::buffer(Bytes), ec);
      Server.stopAccepting();
    });
    std::this_thread::sleep_for(Millis(100));
    std::string response;
    boost::system::error_code ec;
    asio::read(socket, asio::dynamic_buffer(response), ec);
    return response;
  }

private:
  static HttpServer::Handlers handlers() {
    HttpServer::Handlers handlers;
    handlers.OnRequest = [](const HttpRequest &Request,
                            const std::shared_ptr<HttpExchange> &Exchange) {
      std::string text =
          Request.Method + " " + Request.Target + " " + Request.Body;
      if (Request.Target == "/stream") {
        Exchange->start(200, {});
        Exchange->write("one ");
        Exchange->write("two");
        Exchange->finish();
      } else if (Request.Target == "/broken") {
        Exchange->start(200, {});
        Exchange->write("one ");
        Exchange->abort();
      } else if (Request.Target == "/fails") {
        throw std::runtime_error("fails");
      } else if (Request.Target == "/fails-late") {
        Exchange->start(200, {});
        Exchange->write("one ");
        throw std::runtime_error("fails late");
      } else if (Request.Target == "/field") {
        Exchange->respond(200, {},
                          std::to_string(fieldOf(Request.Fields, "x").size()));
      } else {
        Exchange->respond(200, {}, text);
      }
    };
    handlers.OnLoss = [](const HttpExchange *, HttpLoss) {};
    return handlers;
  }

  asio::io_context Io;
  Metrics Counts;
  HttpServer Server;
  std::thread Runner;
};

bool has(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

struct RequestCase {
  const char *What;
  std::string Input;
  std::vector<std::string> Expected;
  std::vector<std::string> Absent;
};

} // namespace

TEST_CASE("callers' HTTP: good and bad requests") {
  EchoServer server;
  std::string body(900, 'x');
  const RequestCase cases[] = {
      {"HTTP/1.1",
       "GET /a HTTP/1.1\r\nHost: h\r\n\r\n",
       {"HTTP/1.1 200", "GET /a "},
       {}},
      {"HTTP/1.0",
       "GET /a HTTP/1.0\r\n\r\n",
       {"HTTP/1.0 200", "GET /a "},
       {"chunked"}},
      {"HTTP/1.0 stream ends with the connection",
       "GET /stream HTTP/1.0\r\n\r\n",
       {"HTTP/1.0 200", "one two"},
       {"chunked", "\r\n0\r\n"}},
      {"HTTP/1.1 stream is chunked",
       "GET /stream HTTP/1.1\r\nHost: h\r\n\r\n",
       {"chunked", "4\r\none \r\n", "0\r\n\r\n"},
       {}},
      {"broken stream has no end",
       "GET /broken HTTP/1.1\r\nHost: h\r\n\r\n",
       {"4\r\none \r\n"},
       {"0\r\n\r\n"}},
      {"two requests in one go are both answered, in order",
       "GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n",
       {"GET /a ", "GET /b "},
       {}},
      {"body by length",
       "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc",
       {"POST /a abc"},
       {}},
      {"body in chunks",
       "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
       "chunked\r\n\r\n2\r\nab\r\n1\r\nc\r\n0\r\n\r\n",
       {"POST /a abc"},
       {}},
      {"trailer field is no header field",
       "POST /field HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
       "chunked\r\n\r\n1\r\na\r\n0\r\nX: trailer\r\n\r\n",
       {"\r\n\r\n0"},
       {"\r\n\r\n7"}},
      {"body at the limit",
       "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 900\r\n\r\n" + body,
       {"200", body},
       {}},
      {"body above the limit",
       "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1001\r\n\r\n" + body,
       {"413", "body_too_large", "not_run"},
       {}},
      {"chunks above the limit",
       "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n500" +
           std::string("\r\n") + std::string(0x500, 'x') + "\r\n0\r\n\r\n",
       {"413", "body_too_large"},
       {}},
      {"head above the limit",
       "GET /a HTTP/1.1\r\nHost: h\r\nX: " + std::string(4000, 'x') +
           "\r\n\r\n",
       {"431", "header_too_large"},
       {}},
      {"expect continue",
       "POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
       "Content-Length: 3\r\n\r\nabc",
       {"HTTP/1.1 100 Continue", "POST /a abc"},
       {}},
      {"other expectation",
       "POST /a HTTP/1.1\r\nHost: h\r\nExpect: tea\r\nContent-Length: "
       "3\r\n\r\nabc",
       {"417", "bad_expectation"},
       {}},
      {"not HTTP", "hello there\r\n\r\n", {"400", "bad_request"}, {}},
      {"bad length",
       "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: x\r\n\r\n",
       {"400", "bad_request"},
       {}},
      {"two lengths",
       "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: "
       "4\r\n\r\nabcd",
       {"400"},
       {}},
      {"body cut short",
       "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 30\r\n\r\nabc",
       {"400", "bad_request"},
       {}},
      {"head request has no body",
       "HEAD /a HTTP/1.1\r\nHost: h\r\n\r\n",
       {"200"},
       {"HEAD /a "}},
  };
  for (const RequestCase &it : cases) {
    INFO(it.What);
    std::string response = server.exchange(it.Input);
    INFO(response);
    for (const std::string &part : it.Expected)
      CHECK(response.find(part) != std::string::npos);
    for (const std::string &part : it.Absent)
      CHECK(response.find(part) == std::string::npos);
  }
}

TEST_CASE("callers' HTTP: corrupted requests do not stop the server") {
  EchoServer server;
  for (uint32_t seed = 1; seed <= 200; ++seed) {
    std::mt19937 random(seed);
    std::string bytes = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
                        "chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
    for (int i = 0; i < 3; ++i)
      bytes[random() % bytes.size()] = static_cast<char>(random() % 256);
    server.exchange(bytes);
  }
  CHECK(server.exchange("GET /a HTTP/1.1\r\nHost: h\r\n\r\n").find("200") !=
        std::string::npos);
}

TEST_CASE("request that has arrived before a stop is answered") {
  EchoServer server;
  std::string response =
      server.exchangeAtStop("GET /late HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK(response.find("200 OK") != std::string::npos);
}

// Review case 1: the process ended by std::length_error.
TEST_CASE("header field over 64 KiB ends no server") {
  HttpLimits limits;
  limits.HeadBytes = 131'072;
  EchoServer server(limits);
  for (size_t n : {60'000, 65'533, 65'534, 65'536, 66'000, 130'000}) {
    INFO(n << " bytes");
    std::string value(n, 'x');
    CHECK(has(server.exchange("GET /field HTTP/1.1\r\nHost: h\r\nX: " + value +
                              "\r\n\r\n"),
              "\r\n\r\n" + std::to_string(n)));
    CHECK(has(server.exchange("GET /field HTTP/1.1\r\nHost: h\r\n" + value +
                              ": y\r\n\r\n"),
              "HTTP/1.1 200"));
  }
  std::string tooLong(131'073, 'x');
  CHECK(has(server.exchange("GET /field HTTP/1.1\r\nHost: h\r\nX: " + tooLong +
                            "\r\n\r\n"),
            "HTTP/1.1 431"));
}

TEST_CASE("handler that throws ends its own request only") {
  EchoServer server;
  for (int i = 0; i < 3; ++i) {
    std::string response =
        server.exchange("GET /fails HTTP/1.1\r\nHost: h\r\n\r\n");
    INFO(response);
    CHECK(has(response, "HTTP/1.1 500"));
    CHECK(has(response, "\"ran\":\"unknown\""));
    response = server.exchange("GET /fails-late HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(has(response, "4\r\none \r\n"));
    CHECK_FALSE(has(response, "0\r\n\r\n"));
    // The connection goes on after an answer, also after this one.
    response = server.exchange("GET /fails HTTP/1.1\r\nHost: h\r\n\r\n"
                               "GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    CHECK(has(response, "HTTP/1.1 200"));
  }
}
