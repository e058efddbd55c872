/// \file
/// Ends of callers' connections on real sockets: no request that the server
/// has to answer goes down with one, and no response that it has sent.
#include "core/metrics.h"
#include "http/address.h"
#include "http/client.h"
#include "http/server.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <future>
#include <thread>

using namespace sassafras;
namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

namespace {

constexpr uint64_t MemoryBytes = 100'000'000;
/// More than the buffers of two sockets on loopback hold.
constexpr size_t LargeBodyBytes = 16'000'000;
/// Time in which the server notices anything that is already at its host.
constexpr Millis NoticeTime{50};

HttpLimits callerLimits() {
  HttpLimits limits;
  limits.CancelsOnDisconnect = true;
  return limits;
}

/// Server on loopback. Target /large gets a large response, /held one that
/// starts at once and ends with finishHeld, /broken one that is aborted after
/// its first part.
class LoopbackServer {
public:
  explicit LoopbackServer(const HttpLimits &Limits = callerLimits())
      : Server(Io, "127.0.0.1:0", Limits, Counts,
               std::make_shared<MemoryBudget>(MemoryBytes), handlers()) {
    StartProblem problem;
    REQUIRE(Server.start(problem));
    Runner = std::thread([this] { Io.run(); });
  }
  ~LoopbackServer() {
    Io.stop();
    Runner.join();
  }
  LoopbackServer(const LoopbackServer &) = delete;
  LoopbackServer &operator=(const LoopbackServer &) = delete;

  Tcp::socket connect() {
    auto address = parseAddress(Server.address());
    Tcp::socket socket(CallerIo);
    socket.connect({asio::ip::make_address(address->Ip), address->Port});
    return socket;
  }

  /// Runs \p Act on the server's thread, which handles nothing else meanwhile.
  void occupy(const std::function<void()> &Act) {
    std::promise<void> done;
    asio::post(Io, [&] {
      Act();
      done.set_value();
    });
    done.get_future().wait();
  }

  void drain() {
    occupy([&] { Server.drain(); });
  }
  void stopAccepting() {
    occupy([&] { Server.stopAccepting(); });
  }
  void finishHeld() {
    occupy([&] {
      for (auto &it : Held)
        it->finish();
      Held.clear();
    });
  }
  size_t countHeld() {
    size_t n = 0;
    occupy([&] { n = Held.size(); });
    return n;
  }

  HttpServer &server() { return Server; }

private:
  HttpServer::Handlers handlers() {
    HttpServer::Handlers out;
    out.OnRequest = [this](const HttpRequest &Request,
                           const std::shared_ptr<HttpExchange> &Exchange) {
      if (Request.Target == "/large") {
        Exchange->respond(200, {}, std::string(LargeBodyBytes, 'x'));
      } else if (Request.Target == "/held") {
        Exchange->start(200, {});
        Exchange->write("first");
        Held.push_back(Exchange);
      } else if (Request.Target == "/broken") {
        Exchange->start(200, {});
        Exchange->write(std::string(LargeBodyBytes / 16, 'x'));
        Exchange->abort();
      } else {
        Exchange->respond(200, {}, "answer to " + Request.Target);
      }
    };
    out.OnLoss = [](const HttpExchange *, HttpLoss) {};
    return out;
  }

  asio::io_context Io;
  asio::io_context CallerIo;
  Metrics Counts;
  HttpServer Server;
  std::vector<std::shared_ptr<HttpExchange>> Held;
  std::thread Runner;
};

std::string requestFor(const std::string &Target,
                       const std::string &Fields = "") {
  return "GET " + Target + " HTTP/1.1\r\nHost: h\r\n" + Fields + "\r\n";
}

void send(Tcp::socket &Socket, const std::string &Text) {
  boost::system::error_code ec;
  asio::write(Socket, asio::buffer(Text), ec);
}

/// All bytes until the connection ends, and how it ends.
struct Received {
  std::string Bytes;
  boost::system::error_code End;

  bool has(const std::string &Text) const {
    return Bytes.find(Text) != std::string::npos;
  }
  bool isClosedInOrder() const { return End == asio::error::eof; }
};

Received readAll(Tcp::socket &Socket) {
  Received out;
  asio::read(Socket, asio::dynamic_buffer(out.Bytes), out.End);
  return out;
}

size_t bodySize(const std::string &Response) {
  size_t at = Response.find("\r\n\r\n");
  return at == std::string::npos ? 0 : Response.size() - at - 4;
}

} // namespace

TEST_CASE("requests on connections that are not accepted yet survive a stop") {
  constexpr int Rounds = 20;
  constexpr int Callers = 10;
  int answered = 0;
  for (int round = 0; round < Rounds; ++round) {
    LoopbackServer server;
    std::vector<Tcp::socket> callers;
    server.occupy([&] {
      for (int i = 0; i < Callers; ++i) {
        callers.push_back(server.connect());
        send(callers.back(), requestFor("/late"));
      }
      server.server().stopAccepting();
    });
    for (Tcp::socket &it : callers)
      answered += readAll(it).has("answer to /late");
  }
  CHECK(answered == Rounds * Callers);
}

TEST_CASE("bytes behind the last request do not cost its response") {
  constexpr int Rounds = 5;
  for (bool isWatched : {true, false})
    for (const std::string &extra :
         {std::string("\r\n"), requestFor("/next"), std::string(200'000, 'x')})
      for (Millis delay : {Millis(0), NoticeTime}) {
        HttpLimits limits;
        limits.CancelsOnDisconnect = isWatched;
        LoopbackServer server(limits);
        int complete = 0;
        int inOrder = 0;
        for (int round = 0; round < Rounds; ++round) {
          Tcp::socket caller = server.connect();
          send(caller, requestFor("/large", "Connection: close\r\n") +
                           (delay == Millis(0) ? extra : ""));
          std::this_thread::sleep_for(delay);
          if (delay > Millis(0))
            send(caller, extra);
          std::this_thread::sleep_for(NoticeTime);
          Received response = readAll(caller);
          complete += bodySize(response.Bytes) == LargeBodyBytes;
          inOrder += response.isClosedInOrder();
        }
        INFO("watched " << isWatched << ", extra bytes " << extra.size()
                        << ", delay in ms " << delay.count());
        CHECK(complete == Rounds);
        CHECK(inOrder == Rounds);
      }
}

TEST_CASE("sent part of a broken response arrives behind unread input") {
  constexpr int Rounds = 20;
  HttpLimits limits;
  LoopbackServer server(limits);
  int arrived = 0;
  for (int round = 0; round < Rounds; ++round) {
    Tcp::socket caller = server.connect();
    send(caller, requestFor("/broken") + std::string(20'000, 'x'));
    std::this_thread::sleep_for(NoticeTime);
    Received response = readAll(caller);
    arrived += bodySize(response.Bytes) > LargeBodyBytes / 16;
    CHECK_FALSE(response.Bytes.ends_with("0\r\n\r\n"));
  }
  CHECK(arrived == Rounds);
}

TEST_CASE("request behind a response with keep-alive is answered in a drain") {
  constexpr int Rounds = 20;
  int answered = 0;
  for (int round = 0; round < Rounds; ++round) {
    LoopbackServer server;
    Tcp::socket caller = server.connect();
    send(caller, requestFor("/held"));
    std::string head;
    asio::read_until(caller, asio::dynamic_buffer(head), "first");
    REQUIRE(head.find("Connection: close") == std::string::npos);
    server.drain();
    server.finishHeld();
    asio::read_until(caller, asio::dynamic_buffer(head), "0\r\n\r\n");
    send(caller, requestFor("/next"));
    Received rest = readAll(caller);
    answered += rest.has("answer to /next") && rest.has("Connection: close");
  }
  CHECK(answered == Rounds);
}

TEST_CASE("request that was sent early is answered in a stop") {
  constexpr int Rounds = 20;
  int answered = 0;
  for (int round = 0; round < Rounds; ++round) {
    LoopbackServer server;
    Tcp::socket caller = server.connect();
    send(caller, requestFor("/held") + requestFor("/next"));
    while (server.countHeld() == 0)
      std::this_thread::sleep_for(Millis(1));
    std::this_thread::sleep_for(Millis(5));
    server.stopAccepting();
    server.finishHeld();
    Received response = readAll(caller);
    answered += response.has("answer to /next");
  }
  CHECK(answered == Rounds);
}

TEST_CASE("idle connection is closed in order in a stop") {
  constexpr int Rounds = 20;
  int inOrder = 0;
  for (int round = 0; round < Rounds; ++round) {
    LoopbackServer server;
    Tcp::socket caller = server.connect();
    send(caller, requestFor("/a"));
    std::string head;
    asio::read_until(caller, asio::dynamic_buffer(head), "answer to /a");
    server.stopAccepting();
    // Crosses the close.
    send(caller, requestFor("/b"));
    std::this_thread::sleep_for(NoticeTime);
    inOrder += readAll(caller).isClosedInOrder();
  }
  CHECK(inOrder == Rounds);
}

TEST_CASE("request that has arrived when its connection expires is answered") {
  constexpr int Rounds = 20;
  HttpLimits limits = callerLimits();
  limits.IdleTimeout = Millis(100);
  int answered = 0;
  for (int round = 0; round < Rounds; ++round) {
    LoopbackServer server(limits);
    Tcp::socket caller = server.connect();
    std::this_thread::sleep_for(Millis(10));
    server.occupy([&] {
      std::this_thread::sleep_for(Millis(60));
      send(caller, requestFor("/late"));
      std::this_thread::sleep_for(Millis(80));
    });
    answered += readAll(caller).has("answer to /late");
  }
  CHECK(answered == Rounds);
}

TEST_CASE("empty line between two requests does not cost the second") {
  LoopbackServer server;
  for (const char *gap : {"", "\r\n", "\r\n\r\n"})
    for (bool isPaused : {false, true}) {
      INFO("bytes between " << std::string(gap).size() << ", paused "
                            << isPaused);
      Tcp::socket caller = server.connect();
      std::string end = requestFor("/b", "Connection: close\r\n");
      if (isPaused) {
        send(caller, requestFor("/a") + gap);
        std::this_thread::sleep_for(NoticeTime);
        send(caller, end);
      } else {
        send(caller, requestFor("/a") + gap + end);
      }
      Received response = readAll(caller);
      CHECK(response.has("answer to /a"));
      CHECK(response.has("answer to /b"));
    }
}

TEST_CASE("empty line behind a request does not hold up a stop") {
  LoopbackServer server;
  Tcp::socket caller = server.connect();
  send(caller, requestFor("/a") + "\r\n");
  std::this_thread::sleep_for(NoticeTime);
  server.stopAccepting();
  std::this_thread::sleep_for(NoticeTime);
  CHECK(server.server().countConnections() == 0);
}

TEST_CASE("HTTP/1.0 stream ends with its connection also when it is kept") {
  LoopbackServer server;
  Tcp::socket caller = server.connect();
  send(caller, "GET /held HTTP/1.0\r\nConnection: keep-alive\r\n\r\n");
  while (server.countHeld() == 0)
    std::this_thread::sleep_for(Millis(1));
  server.finishHeld();
  std::this_thread::sleep_for(NoticeTime);
  caller.non_blocking(true);
  CHECK(readAll(caller).isClosedInOrder());
}

TEST_CASE("HTTP/1.0 stream does not look whole when its server ends") {
  auto server = std::make_unique<LoopbackServer>();
  Tcp::socket caller = server->connect();
  send(caller, "GET /held HTTP/1.0\r\n\r\n");
  while (server->countHeld() == 0)
    std::this_thread::sleep_for(Millis(1));
  server.reset();
  Received response = readAll(caller);
  INFO(response.End.message());
  CHECK_FALSE(response.isClosedInOrder());
}

TEST_CASE("caller that closes its sending side gets a response that is ready") {
  LoopbackServer server;
  Tcp::socket caller = server.connect();
  send(caller, requestFor("/large", "Connection: close\r\n"));
  std::this_thread::sleep_for(NoticeTime);
  caller.shutdown(Tcp::socket::shutdown_send);
  std::this_thread::sleep_for(NoticeTime);
  Received response = readAll(caller);
  CHECK(bodySize(response.Bytes) == LargeBodyBytes);
}

TEST_CASE(
    "caller that pauses for 12 s while it reads gets the whole response") {
  LoopbackServer server;
  Tcp::socket caller = server.connect();
  send(caller, requestFor("/large", "Connection: close\r\n"));
  std::this_thread::sleep_for(std::chrono::seconds(12));
  Received response = readAll(caller);
  INFO(response.End.message());
  CHECK(bodySize(response.Bytes) == LargeBodyBytes);
}

namespace {

/// Server whose receive buffer is much smaller than LongBodyBytes, and whose
/// connections each run a script on a thread.
class UnreadingServer {
public:
  using Script = std::function<void(Tcp::socket &, int Number)>;

  explicit UnreadingServer(const Script &Run)
      : Acceptor(Io, {asio::ip::make_address("127.0.0.1"), 0}) {
    Acceptor.set_option(asio::socket_base::receive_buffer_size(4'096));
    Runner = std::thread([this, Run] {
      for (int i = 0;; ++i) {
        boost::system::error_code ec;
        auto socket = std::make_shared<Tcp::socket>(Io);
        Acceptor.accept(*socket, ec);
        if (ec || IsStopping)
          return;
        Connections.emplace_back([=] { Run(*socket, i); });
      }
    });
  }
  ~UnreadingServer() {
    IsStopping = true;
    boost::system::error_code ec;
    Tcp::socket wake(Io);
    wake.connect(Acceptor.local_endpoint(), ec);
    Runner.join();
    for (std::thread &it : Connections)
      it.join();
  }
  UnreadingServer(const UnreadingServer &) = delete;
  UnreadingServer &operator=(const UnreadingServer &) = delete;

  std::string address() const {
    return "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
  }

private:
  asio::io_context Io;
  Tcp::acceptor Acceptor;
  std::atomic<bool> IsStopping{false};
  std::vector<std::thread> Connections;
  std::thread Runner;
};

constexpr size_t LongBodyBytes = 2'000'000;

/// Client whose exchanges run one after the other.
struct LoopbackClient {
  /// Body of the response; nothing if the exchange fails.
  std::optional<std::string> call(const std::string &Address,
                                  const std::string &Body) {
    std::optional<std::string> out;
    bool isEnded = false;
    std::string received;
    HttpCallbacks callbacks;
    callbacks.OnHead = [](const HttpResponseHead &) {};
    callbacks.OnBody = [&](std::string_view it) { received += it; };
    callbacks.OnEnd = [&] {
      out = received;
      isEnded = true;
    };
    callbacks.OnFailure = [&](HttpFailure it) {
      Failure = it;
      isEnded = true;
    };
    auto call = Client.start(Address, {"POST", "/a", {}, Body},
                             {Millis(1'000), Millis(8'000)}, callbacks);
    while (!isEnded) {
      Io.restart();
      Io.run_one();
    }
    return out;
  }

  HttpFailure Failure; ///< Of the last exchange that failed.
  asio::io_context Io;
  Metrics Counts;
  HttpClient Client{Io, Counts, std::make_shared<MemoryBudget>(MemoryBytes)};
};

} // namespace

TEST_CASE("response that goes on while its request is unread is not cut") {
  UnreadingServer server([](Tcp::socket &Socket, int) {
    send(Socket, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\none");
    std::this_thread::sleep_for(Millis(4'000));
    send(Socket, "two");
    std::this_thread::sleep_for(NoticeTime);
  });
  LoopbackClient client;
  CHECK(client.call(server.address(), std::string(LongBodyBytes, 'x')) ==
        "onetwo");
}

TEST_CASE("connection with an unread request is not used for a next one") {
  UnreadingServer server([](Tcp::socket &Socket, int Number) {
    send(Socket, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" +
                     std::to_string(Number));
    std::this_thread::sleep_for(Millis(4'000));
  });
  for (size_t n : {50'000, 200'000, 2'000'000}) {
    INFO("bytes of the first request " << n);
    LoopbackClient client;
    auto first = client.call(server.address(), std::string(n, 'x'));
    REQUIRE(first);
    auto second = client.call(server.address(), "short");
    REQUIRE(second);
    CHECK(*second != *first);
  }
}

// A front tells a second crash of a server from a late report of the first one
// by this time (review/10).
TEST_CASE("failure says until when the server is known to have run") {
  const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1";
  UnreadingServer server([&](Tcp::socket &Socket, int Number) {
    std::array<char, 4'096> buf;
    boost::system::error_code ec;
    Socket.read_some(asio::buffer(buf), ec);
    if (Number == 0)
      return;
    send(Socket, answer);
    Socket.read_some(asio::buffer(buf), ec);
  });
  LoopbackClient client;
  TimePoint begun = Clock::now();
  // The first connection ends without an answer.
  REQUIRE_FALSE(client.call(server.address(), "x"));
  CHECK(client.Failure.AliveAfter >= begun);
  CHECK(client.Failure.AliveAfter <= Clock::now());
  TimePoint firstSent = Clock::now();
  REQUIRE(client.call(server.address(), "x"));
  TimePoint firstAnswered = Clock::now();
  std::this_thread::sleep_for(NoticeTime);
  // The second request of a kept connection ends it.
  REQUIRE_FALSE(client.call(server.address(), "x"));
  CHECK(client.Failure.AliveAfter >= firstSent);
  CHECK(client.Failure.AliveAfter <= firstAnswered);
  // Nobody listens there.
  REQUIRE_FALSE(client.call("127.0.0.1:1", "x"));
  CHECK(client.Failure.AliveAfter == TimePoint());
}
