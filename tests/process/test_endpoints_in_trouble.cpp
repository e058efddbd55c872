/// \file
/// What callers get when an endpoint misbehaves on the connection: late second
/// answers, answers that break off, bytes without end, slow and stalled
/// streams. A front serves real connections in this process; the endpoint is a
/// script of raw bytes.
#include "core/metrics.h"
#include "front/front_core.h"
#include "front/relay.h"
#include "http/address.h"
#include "platform/caller_codec.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

using namespace sassafras;
namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

namespace {

constexpr Millis CallerDeadline{3'000};
/// An endpoint that sends bytes without end is cut off after this many. Most of
/// them are in the kernel's buffers of both sides.
constexpr size_t EndlessBytesLimit = 16'000'000;
/// Waiting requests are dispatched again at this interval.
constexpr Millis DispatchPeriod{20};

/// What the endpoint does on one connection, after each request on it.
using Script = std::function<void(Tcp::socket &, const std::string &Id)>;

void sendText(Tcp::socket &Socket, const std::string &Text) {
  boost::system::error_code ec;
  asio::write(Socket, asio::buffer(Text), ec);
}

std::string headOf(const std::string &Id, const std::string &Framing,
                   const std::string &Status = "200 OK") {
  return "HTTP/1.1 " + Status + "\r\nSassafrasseam-Attempt-Id: " + Id +
         "\r\nSassafrasseam-Response-Seal: seal\r\n" + Framing + "\r\n\r\n";
}

std::string chunkOf(const std::string &Text) {
  std::ostringstream size;
  size << std::hex << Text.size();
  return size.str() + "\r\n" + Text + "\r\n";
}

/// Endpoint that accepts connections one after the other and runs its script
/// for every request.
class ScriptedEndpoint {
public:
  explicit ScriptedEndpoint(Script Reply)
      : Reply(std::move(Reply)),
        Acceptor(Io, {asio::ip::make_address("127.0.0.1"), 0}),
        Runner([this] { run(); }) {}
  ~ScriptedEndpoint() {
    IsStopping = true;
    boost::system::error_code ec;
    Tcp::socket wake(Io);
    wake.connect(Acceptor.local_endpoint(), ec);
    Runner.join();
    for (std::thread &it : Connections)
      it.join();
  }
  ScriptedEndpoint(const ScriptedEndpoint &) = delete;
  ScriptedEndpoint &operator=(const ScriptedEndpoint &) = delete;

  std::string address() const {
    return "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
  }
  std::atomic<size_t> Requests{0};
  std::atomic<bool> IsStopping{false};

private:
  void run() {
    for (;;) {
      Tcp::socket socket(Io);
      boost::system::error_code ec;
      Acceptor.accept(socket, ec);
      if (IsStopping || ec)
        return;
      Connections.emplace_back(
          [this, it = std::move(socket)]() mutable { serve(it); });
    }
  }

  void serve(Tcp::socket &Socket) {
    std::string buf;
    boost::system::error_code ec;
    while (!IsStopping && Socket.is_open()) {
      size_t n =
          asio::read_until(Socket, asio::dynamic_buffer(buf), "\r\n\r\n", ec);
      if (ec)
        return;
      const std::string key = "attempt-id: ";
      std::string head = buf.substr(0, n);
      buf.erase(0, n);
      for (char &it : head)
        it = static_cast<char>(std::tolower(static_cast<unsigned char>(it)));
      size_t at = head.find(key);
      ++Requests;
      Reply(Socket, at == std::string::npos
                        ? ""
                        : head.substr(at + key.size(),
                                      head.find('\r', at) - at - key.size()));
    }
  }

  asio::io_context Io;
  Script Reply;
  Tcp::acceptor Acceptor;
  std::vector<std::thread> Connections;
  std::thread Runner;
};

ServingTablePtr makeTable() {
  auto table = std::make_shared<ServingTable>();
  table->Version = 1;
  table->Services["desk"].Name = "desk";
  auto add = [&](const char *Name, RequestKind Kind, uint32_t MaxAttempts) {
    ServingRoute route;
    route.Name = Name;
    route.Host = "h";
    route.PathPrefix = std::string("/") + Name + "/";
    route.Kind = Kind;
    route.Timeout = CallerDeadline;
    route.Objective = Millis(300);
    route.MaxAttempts = MaxAttempts;
    route.Services = {{"desk", 1}};
    table->Routes.push_back(route);
  };
  add("stream", RequestKind::Streaming, 1);
  add("once", RequestKind::NonIdempotent, 1);
  indexServingTable(*table);
  return table;
}

/// A front that knows one endpoint.
class TestedFront {
public:
  explicit TestedFront(const std::string &Endpoint)
      : Core(
            Io, Counts, [](const NodeMessages &) {},
            [](const wire::RowDemand &) {}, [](const wire::QuotaRequest &) {}) {
    Core.State.Self.set_name("front");
    Core.State.Self.set_zone("a");
    Core.State.Table = makeTable();
    wire::EndpointObservation endpoint;
    endpoint.set_id("i-1");
    endpoint.set_service("desk");
    endpoint.set_address(Endpoint);
    endpoint.set_zone("a");
    endpoint.set_born_ms(1);
    endpoint.set_sequence(1);
    endpoint.set_slots(8);
    applyObservation(Core.State.Directory, endpoint, Clock::now());
    HttpServer::Handlers handlers;
    handlers.OnRequest = [this](HttpRequest Request,
                                const std::shared_ptr<HttpExchange> &Exchange) {
      handleRequest(std::move(Request), Exchange);
    };
    handlers.OnLoss = [this](const HttpExchange *Exchange, HttpLoss Loss) {
      auto number = Core.ByExchange.find(Exchange);
      if (number != Core.ByExchange.end())
        std::shared_ptr<Relay>(Core.Relays.at(number->second))
            ->handleCallerLoss(Loss);
    };
    HttpLimits limits;
    limits.CancelsOnDisconnect = true;
    Server = std::make_unique<HttpServer>(Io, "127.0.0.1:0", limits, Counts,
                                          std::move(handlers));
    std::string problem;
    REQUIRE(Server->start(problem));
    dispatchWaiting();
    Runner = std::thread([this] { Io.run(); });
  }
  ~TestedFront() {
    Io.stop();
    Runner.join();
  }
  TestedFront(const TestedFront &) = delete;
  TestedFront &operator=(const TestedFront &) = delete;

  /// Sends a request and returns all bytes until the connection ends.
  std::string call(const std::string &Route, const std::string &Id) {
    auto address = parseAddress(Server->address());
    asio::io_context io;
    Tcp::socket socket(io);
    socket.connect({asio::ip::make_address(address->Ip), address->Port});
    sendText(socket, "GET /" + Route + "/x HTTP/1.1\r\nHost: h\r\n" +
                         "Connection: close\r\nSassafrasseam-Attempt-Id: " +
                         Id + "\r\n\r\n");
    std::string response;
    boost::system::error_code ec;
    asio::read(socket, asio::dynamic_buffer(response), ec);
    return response;
  }

private:
  void handleRequest(HttpRequest Request,
                     const std::shared_ptr<HttpExchange> &Exchange) {
    platform::CallerFields fields = platform::extractCallerFields(Request);
    RequestAttributes attributes;
    attributes.Id = fields.RequestId;
    attributes.Method = Request.Method;
    attributes.Host = fields.Host;
    attributes.Path = Request.Target;
    auto admitted = admitRequest(Core.State, attributes, Clock::now());
    auto &request = std::get<FrontRequest>(admitted);
    request.Number = Core.NextNumber++;
    std::make_shared<Relay>(Core, std::move(request), std::move(Request),
                            Exchange)
        ->start();
  }

  void dispatchWaiting() {
    auto relays = Core.Relays;
    for (const auto &[number, it] : relays)
      it->dispatch();
    Timer.expires_after(DispatchPeriod);
    Timer.async_wait([this](auto ec) {
      if (!ec)
        dispatchWaiting();
    });
  }

  asio::io_context Io;
  Metrics Counts;
  asio::steady_timer Timer{Io};
  FrontCore Core;
  std::unique_ptr<HttpServer> Server;
  std::thread Runner;
};

bool has(const std::string &Text, const std::string &Part) {
  return Text.find(Part) != std::string::npos;
}

/// A caller takes a chunked response for complete only with its last chunk.
bool isCompleteSuccess(const std::string &Response) {
  if (!Response.starts_with("HTTP/1.1 200"))
    return false;
  if (has(Response, "chunked"))
    return Response.ends_with("0\r\n\r\n");
  size_t at = Response.find("Content-Length: ");
  size_t body = Response.find("\r\n\r\n");
  return at != std::string::npos &&
         Response.size() - body - 4 == std::stoul(Response.substr(at + 16));
}

} // namespace

TEST_CASE("late second answer never reaches the next caller") {
  std::atomic<bool> isLate{false};
  ScriptedEndpoint endpoint([&](Tcp::socket &Socket, const std::string &Id) {
    std::string answer = headOf(Id, "Content-Length: 7") + "own " + Id + "  ";
    answer.resize(headOf(Id, "Content-Length: 7").size() + 7);
    sendText(Socket, answer);
    if (isLate)
      std::this_thread::sleep_for(Millis(30));
    sendText(Socket, answer);
  });
  TestedFront front(endpoint.address());
  for (bool late : {false, true}) {
    isLate = late;
    for (int i = 10; i < 30; ++i) {
      std::string id = std::to_string(i);
      std::string response = front.call("once", id);
      // Either the caller's own answer or a failure that promises nothing.
      bool isOwn = isCompleteSuccess(response) && has(response, "own " + id);
      CHECK((isOwn || response.starts_with("HTTP/1.1 502")));
      if (i % 2 == 0)
        std::this_thread::sleep_for(Millis(40));
    }
  }
}

TEST_CASE("answer that breaks off never looks complete") {
  struct Case {
    const char *What;
    const char *Route;
    std::string Framing;
    std::string Body;
  };
  const Case cases[] = {
      {"length", "once", "Content-Length: 100", "abc"},
      {"chunks", "once", "Transfer-Encoding: chunked", chunkOf("abc")},
      {"within a chunk", "once", "Transfer-Encoding: chunked", "a\r\nabc"},
      {"stream in chunks", "stream", "Transfer-Encoding: chunked",
       chunkOf("id: 1\ndata: x\n\n")},
      {"stream within an event", "stream", "Transfer-Encoding: chunked",
       chunkOf("id: 1\ndata: x\n\nid: 2\nda")},
      {"stream without framing, within an event", "stream", "Connection: close",
       "id: 1\ndata: x\n\nid: 2\nda"},
      {"head", "once", "Content-Le", ""},
  };
  for (const Case &it : cases) {
    INFO(it.What);
    ScriptedEndpoint endpoint([&](Tcp::socket &Socket, const std::string &Id) {
      std::string text = headOf(Id, it.Framing) + it.Body;
      if (it.Body.empty())
        text.resize(text.size() - 4);
      sendText(Socket, text);
      Socket.close();
    });
    TestedFront front(endpoint.address());
    std::string response = front.call(it.Route, "1");
    INFO(response);
    CHECK_FALSE(isCompleteSuccess(response));
    // It may have run, which these statuses would deny.
    for (const char *status : {"408", "421", "429", "503"})
      CHECK_FALSE(response.starts_with(std::string("HTTP/1.1 ") + status));
  }
}

TEST_CASE("bytes without end are cut off in bounded memory") {
  struct Case {
    const char *What;
    const char *Route;
    std::string Start;
    std::string Repeated;
  };
  std::string filler(16'000, 'x');
  const Case cases[] = {
      {"no answer at all", "once", "", filler},
      {"head line", "once", "HTTP/1.1 200 OK\r\nA: ", filler},
      {"head fields", "once", "HTTP/1.1 200 OK\r\n",
       "A: " + filler.substr(0, 1'000) + "\r\n"},
      {"answer without a seal", "once",
       "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", filler},
      {"event without end", "stream", headOf("1", "Transfer-Encoding: chunked"),
       chunkOf(filler)},
      {"refusal without end", "once",
       headOf("1",
              "Transfer-Encoding: chunked\r\nSassafrasseam-Not-Executed: 1",
              "503 Full"),
       chunkOf(filler)},
  };
  for (const Case &it : cases) {
    INFO(it.What);
    std::atomic<size_t> sent{0};
    std::atomic<size_t> cutOff{0};
    std::atomic<bool> isOver{false};
    ScriptedEndpoint endpoint([&](Tcp::socket &Socket, const std::string &) {
      sendText(Socket, it.Start);
      boost::system::error_code ec;
      while (!ec && !isOver)
        sent += asio::write(Socket, asio::buffer(it.Repeated), ec);
      cutOff += ec.failed();
      Socket.close();
    });
    TestedFront front(endpoint.address());
    TimePoint start = Clock::now();
    std::string response = front.call(it.Route, "1");
    CHECK(Clock::now() - start < CallerDeadline);
    CHECK_FALSE(isCompleteSuccess(response));
    std::this_thread::sleep_for(Millis(100));
    CHECK(cutOff == endpoint.Requests);
    CHECK(sent / std::max<size_t>(endpoint.Requests, 1) < EndlessBytesLimit);
    isOver = true;
  }
}

TEST_CASE("slow stream completes, stalled stream ends at its deadline") {
  std::atomic<bool> isStalled{false};
  ScriptedEndpoint endpoint([&](Tcp::socket &Socket, const std::string &Id) {
    sendText(Socket, headOf(Id, "Transfer-Encoding: chunked"));
    for (int i = 1; i <= 5; ++i) {
      sendText(Socket, chunkOf("id: " + std::to_string(i) + "\ndata: x\n\n"));
      std::this_thread::sleep_for(Millis(400));
    }
    for (int i = 0; isStalled && i < 100; ++i) {
      sendText(Socket, chunkOf("i"));
      std::this_thread::sleep_for(Millis(50));
    }
    sendText(Socket, "0\r\n\r\n");
  });
  TestedFront front(endpoint.address());
  CHECK(isCompleteSuccess(front.call("stream", "1")));
  isStalled = true;
  TimePoint start = Clock::now();
  std::string response = front.call("stream", "2");
  CHECK_FALSE(isCompleteSuccess(response));
  CHECK(has(response, "id: 5"));
  CHECK(Clock::now() - start < CallerDeadline + Millis(500));
}

TEST_CASE("exchange ends at its deadline and at its size while bytes arrive") {
  for (bool isLarge : {false, true}) {
    ScriptedEndpoint endpoint([&](Tcp::socket &Socket, const std::string &) {
      sendText(Socket, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
      std::string text(isLarge ? 5'000 : 1, 'x');
      boost::system::error_code ec;
      for (int i = 0; i < 100 && !ec; ++i) {
        asio::write(Socket, asio::buffer(text), ec);
        std::this_thread::sleep_for(Millis(isLarge ? 1 : 20));
      }
      Socket.close();
    });
    asio::io_context io;
    Metrics counts;
    HttpClient client(io, counts);
    HttpCallOptions options{Millis(500), Millis(500), Millis(500)};
    options.Deadline = Clock::now() + Millis(400);
    options.MaxBodyBytes = 10'000;
    size_t received = 0;
    bool hasFailed = false;
    HttpCallbacks callbacks;
    callbacks.OnHead = [](const HttpResponseHead &) {};
    callbacks.OnBody = [&](std::string_view Bytes) {
      received += Bytes.size();
    };
    callbacks.OnEnd = [] {};
    callbacks.OnFailure = [&](HttpFailure) { hasFailed = true; };
    TimePoint start = Clock::now();
    client.start(endpoint.address(), {"GET", "/report", {}, ""}, options,
                 std::move(callbacks));
    io.run();
    CHECK(hasFailed);
    CHECK(received <= options.MaxBodyBytes);
    CHECK(Clock::now() - start < Millis(1'000));
  }
}
