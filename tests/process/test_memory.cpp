/// \file
/// Memory of a front process while endpoints send without end, callers do not
/// read and bodies are long: it stays within its limit, and the requests of
/// other callers are served.
#include "http/address.h"
#include "tests/harness/front_fleet.h"
#include "tests/harness/scripted_endpoint.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <limits>
#include <list>

using namespace sassafras;
namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using std::chrono::seconds;

namespace {

/// Default of the option memory-mb.
constexpr uint64_t MemoryMb = 256;
constexpr int TestedHost = 4;
constexpr const char *FaultyService = R"({"name":"plain"})";

/// The table of ServedFleet, with a plain service that is served at /endless/
/// as a stream and at /whole/ as a whole.
std::string tableWithPlainService() {
  std::string table = tableText(1);
  std::string route =
      R"({"name":"endless","host":"h.example","path-prefix":"/endless/",)"
      R"("kind":"streaming","timeout-ms":4000,"service":"plain",)"
      R"("anonymous":true},{"name":"whole","host":"h.example",)"
      R"("path-prefix":"/whole/","kind":"idempotent","timeout-ms":4000,)"
      R"("service":"plain","anonymous":true,"max-attempts":2},)";
  const std::string routes = R"("routes":[)";
  table.insert(table.find(routes) + routes.size(), route);
  const std::string services = R"("services":[)";
  return table.insert(table.find(services) + services.size(),
                      std::string(FaultyService) + ",");
}

std::string requestText(const std::string &Path, const std::string &Id) {
  return "GET " + Path + " HTTP/1.1\r\nHost: h.example\r\n" +
         "Sassafrasseam-Attempt-Id: " + Id + "\r\n\r\n";
}

/// A connection to a front that sends a request and reads nothing by itself.
class RawCaller {
public:
  RawCaller(const std::string &Address, int ReceiveBytes) : Socket(Io) {
    auto address = parseAddress(Address);
    Socket.open(Tcp::v4());
    Socket.set_option(asio::socket_base::receive_buffer_size(ReceiveBytes));
    Socket.connect({asio::ip::make_address(address->Ip), address->Port});
  }

  void send(const std::string &Text) {
    boost::system::error_code ec;
    asio::write(Socket, asio::buffer(Text), ec);
  }

  /// Everything until the connection ends.
  std::string readAll() {
    std::string out;
    boost::system::error_code ec;
    asio::read(Socket, asio::dynamic_buffer(out), ec);
    return out;
  }

private:
  asio::io_context Io;
  Tcp::socket Socket;
};

/// A fleet with an endpoint of the plain service beside its engine.
struct FaultyFleet {
  explicit FaultyFleet(ScriptedEndpoint::Script Reply)
      : Served(tableWithPlainService()), Endpoint(std::move(Reply)) {
    const std::string body =
        R"({"service":"plain","zone":"a","state":"ready","seq":1,"slots":500,)"
        R"("address":")" +
        Endpoint.address() + "\"}";
    for (int i = 1; i <= Served.Fleet.frontCount(); ++i)
      callHttp(Served.Fleet.controlAddress(i),
               {"POST", "/Instances.Heartbeat/faulty", {}, body}, seconds(2));
  }

  std::string callerAddress() const {
    return Served.Fleet.callerAddress(TestedHost);
  }
  uint64_t peakMemoryMb() const {
    return Served.Fleet.peakMemoryMb(FrontFleet::frontName(TestedHost));
  }
  bool isRunning() const {
    return Served.Fleet.isRunning(FrontFleet::frontName(TestedHost));
  }
  /// Requests of other callers that are served within \p Span.
  void checkOthersServed(seconds Span) {
    TimePoint end = Clock::now() + Span;
    for (int i = 0; Clock::now() < end; ++i) {
      TimePoint start = Clock::now();
      CallerResponse response = sendCallerRequest(
          callerAddress(), "other-" + std::to_string(i), "warm");
      CHECK(response.Status == 200);
      CHECK(response.IsComplete);
      CHECK(Clock::now() - start < seconds(3));
    }
  }

  ServedFleet Served;
  ScriptedEndpoint Endpoint;
};

} // namespace

// Reported by other operators: an engine sent bytes without end, and the host
// that kept them ran out of memory.
TEST_CASE("endpoint that sends without end takes no front over its memory") {
  constexpr int SilentCallers = 130;
  struct Case {
    const char *What;
    const char *Path;
    std::string Start; ///< Follows the status line and the id.
    std::string Repeated;
    size_t Limit = std::numeric_limits<size_t>::max(); ///< Then nothing more.
  };
  const std::string filler(16'000, 'x');
  const std::string chunked = "Transfer-Encoding: chunked";
  std::string events;
  for (int i = 0; i < 200; ++i)
    events += "data: xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\n\n";
  const Case cases[] = {
      {"head", "/whole/", "", "A: " + filler + "\r\n"},
      {"body with a length", "/whole/", "Content-Length: 900000000000", filler},
      {"body in chunks", "/whole/", chunked, chunkOf(filler)},
      {"body until the end of the connection", "/whole/", "Connection: close",
       filler},
      {"chunk extension", "/whole/", chunked, filler},
      {"event", "/endless/", chunked, chunkOf(filler)},
      {"events", "/endless/", chunked, chunkOf(events)},
      {"events, then silence", "/endless/", chunked, chunkOf(events),
       7'400'000},
  };
  for (const Case &it : cases) {
    INFO(it.What);
    std::atomic<bool> isOver{false};
    FaultyFleet fleet([&](Tcp::socket &Socket, const std::string &Id) {
      std::string head = headOf(Id, it.Start);
      if (it.Start.empty())
        head.resize(head.size() - 4);
      sendText(Socket, head);
      if (it.What == std::string("chunk extension"))
        sendText(Socket, "5;");
      boost::system::error_code ec;
      size_t n = 0;
      while (!ec && !isOver) {
        if (n < it.Limit)
          n += asio::write(Socket, asio::buffer(it.Repeated), ec);
        else
          std::this_thread::sleep_for(Millis(50));
      }
      Socket.close(ec);
    });
    std::list<RawCaller> callers;
    for (int i = 0; i < SilentCallers; ++i) {
      callers.emplace_back(fleet.callerAddress(), 4096);
      callers.back().send(requestText(it.Path, "silent-" + std::to_string(i)));
    }
    fleet.checkOthersServed(seconds(3));
    CHECK(fleet.isRunning());
    CHECK(fleet.peakMemoryMb() < MemoryMb);
    isOver = true;
    callers.clear();
  }
}

TEST_CASE("caller that reads late gets all of a long answer") {
  constexpr size_t Size = 12'000'000;
  FaultyFleet fleet([&](Tcp::socket &Socket, const std::string &Id) {
    sendText(Socket, headOf(Id, "Content-Length: " + std::to_string(Size)));
    sendText(Socket, std::string(Size, 'x'));
  });
  RawCaller caller(fleet.callerAddress(), 4096);
  std::string request = requestText("/whole/", "late");
  caller.send(request.insert(request.size() - 2, "Connection: close\r\n"));
  std::this_thread::sleep_for(seconds(1));
  std::string response = caller.readAll();
  size_t body = response.find("\r\n\r\n");
  REQUIRE(body != std::string::npos);
  CHECK(response.starts_with("HTTP/1.1 200"));
  CHECK(response.size() - body - 4 == Size);
  CHECK(fleet.peakMemoryMb() < 100);
}

// Review case 4: the front kept each body twice, without a bound over all.
TEST_CASE("long bodies at once take no front over its memory") {
  constexpr int Callers = 80;
  constexpr size_t BodyBytes = 4'000'000;
  ServedFleet test;
  test.Engine.setEventInterval(Millis(200));
  const std::string address = test.Fleet.callerAddress(TestedHost);
  REQUIRE(waitUntil(seconds(10), [&] {
    return sendCallerRequest(address, "first", "warm").Status == 200;
  }));
  std::string text = "POST /p/x HTTP/1.1\r\nHost: h.example\r\nConnection: "
                     "close\r\nAuthorization: Bearer secret-key\r\n"
                     "Sassafrasseam-Model: warm\r\nContent-Length: " +
                     std::to_string(BodyBytes) + "\r\n\r\n" +
                     std::string(BodyBytes, 'x');
  std::atomic<int> served{0};
  std::atomic<int> refused{0};
  std::vector<std::thread> threads;
  for (int i = 0; i < Callers; ++i)
    threads.emplace_back([&] {
      RawCaller caller(address, 65'536);
      caller.send(text);
      std::string response = caller.readAll();
      served += response.starts_with("HTTP/1.1 200");
      std::string head = response.substr(0, response.find("\r\n\r\n"));
      refused += head.starts_with("HTTP/1.1 503") &&
                 head.find("retry-after: ") != std::string::npos;
    });
  std::this_thread::sleep_for(Millis(500));
  // Others wait for a slot of the engine at most.
  CHECK(waitUntil(seconds(10), [&] {
    return sendCallerRequest(address, "other", "warm").Status == 200;
  }));
  for (std::thread &it : threads)
    it.join();
  CHECK(served > 0);
  CHECK(served + refused == Callers);
  CHECK(test.Fleet.isRunning(FrontFleet::frontName(TestedHost)));
  CHECK(test.Fleet.peakMemoryMb(FrontFleet::frontName(TestedHost)) < MemoryMb);
}
