/// \file
/// Streams that end with their connections while the front is stopped as a
/// process: those that are whole reach their callers as whole.
#include "http/address.h"
#include "tests/harness/scripted_endpoint.h"
#include "tests/harness/single_daemon.h"
#include "tests/harness/tested_front.h"

#include <boost/asio/read.hpp>

#include <catch2/catch.hpp>

#include <csignal>
#include <map>
#include <mutex>
#include <thread>

using namespace sassafras;
namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using std::chrono::seconds;

namespace {

constexpr seconds Grace{5};
/// In the last part of its grace period a front forwards no more events.
constexpr Millis StopMargin{400};
/// A stream that ends so shortly before the deadline may be read behind it.
constexpr Millis ReadTime{10};
constexpr Millis FirstEnd{650};
constexpr Millis EndInterval{10};
constexpr int StreamCount = 25;
constexpr const char *FirstEvent = "id: 1\ndata: a\n\n";
constexpr const char *LastEvent = "id: 2\ndata: b\n\n";
constexpr const char *Table =
    R"({"version":1,"routes":[{"name":"r","host":"h","path-prefix":"/r/",)"
    R"("kind":"streaming","timeout-ms":9000,"slo-ms":1000,"service":"desk"}],)"
    R"("services":[{"name":"desk","health-path":"/health"}],"tenants":[)"
    R"({"name":"first","api-keys":["secret-key"]}]})";

/// A front process with one endpoint that it knows.
class StoppedFront {
public:
  explicit StoppedFront(const std::string &Endpoint) : Endpoint(Endpoint) {
    Daemon.writeSettings(Daemon.settings() + "stop_grace_s = " +
                         std::to_string(Grace.count()) + "\n");
    Daemon.launch();
    REQUIRE(Daemon.waitForStart(seconds(10)));
    REQUIRE(waitUntil(seconds(15), [&] {
      return callHttp(Daemon.addressOf(3), {"POST", "/Config.Put", {}, Table},
                      seconds(2))
                 .Status == 200;
    }));
    announce();
    REQUIRE(waitUntil(seconds(10), [&] {
      return callHttp(Daemon.addressOf(2), {"GET", "/ready", {}, {}},
                      seconds(2))
                 .Status == 200;
    }));
    announce();
  }

  void announce() {
    std::string body =
        R"({"service":"desk","address":")" + Endpoint +
        R"(","zone":"a","version":"v1","slots":64,"state":"ready","born":1,)"
        R"("seq":)" +
        std::to_string(++Announcements) + "}";
    callHttp(Daemon.addressOf(3),
             {"POST", "/Instances.Heartbeat/i-1", {}, body}, seconds(2));
  }

  /// Sends a request and returns all bytes until the connection ends.
  std::string call(const std::string &Id) const {
    auto address = parseAddress(Daemon.addressOf(1));
    asio::io_context io;
    Tcp::socket socket(io);
    boost::system::error_code ec;
    socket.connect({asio::ip::make_address(address->Ip), address->Port}, ec);
    sendText(socket, "GET /r/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
                     "Authorization: Bearer secret-key\r\n"
                     "Sassafrasseam-Deadline-Ms: 9000\r\n"
                     "Sassafrasseam-Attempt-Id: " +
                         Id + "\r\n\r\n");
    std::string response;
    asio::read(socket, asio::dynamic_buffer(response), ec);
    return response;
  }

  SingleDaemon Daemon{"front"};

private:
  std::string Endpoint;
  int Announcements = 0;
};

std::string headOfStream(const std::string &Id) {
  return headOf(Id, "Content-Type: text/event-stream\r\nConnection: close");
}

} // namespace

// A stopping front cut streams whose last events it had forwarded, because
// their ends were not yet proved when the time for streams was over.
TEST_CASE("whole streams that end late in a planned stop reach their callers "
          "as whole") {
  std::mutex lock;
  TimePoint stoppedAt;                      // Guarded by lock.
  std::map<std::string, TimePoint> endedAt; // Guarded by lock.
  ScriptedEndpoint endpoint([&](Tcp::socket &Socket, const std::string &Id) {
    sendText(Socket, headOfStream(Id) + FirstEvent);
    TimePoint stop;
    while (stop == TimePoint()) {
      std::this_thread::sleep_for(Millis(5));
      std::scoped_lock guard(lock);
      stop = stoppedAt;
    }
    std::this_thread::sleep_until(stop + Grace - FirstEnd +
                                  std::stoi(Id) * EndInterval);
    sendText(Socket, LastEvent);
    Socket.close();
    std::scoped_lock guard(lock);
    endedAt[Id] = Clock::now();
  });
  // As without a free slot.
  endpoint.setHealthBehaviour(HealthBehaviour::Wait);
  StoppedFront front(endpoint.address());
  std::map<std::string, std::string> responses; // Guarded by lock.
  std::vector<std::thread> callers;
  for (int i = 0; i < StreamCount; ++i)
    callers.emplace_back([&, id = std::to_string(i)] {
      std::string response = front.call(id);
      std::scoped_lock guard(lock);
      responses[id] = response;
    });
  bool isSent = waitUntil(
      seconds(5), [&] { return endpoint.countRequests() == StreamCount; });
  TimePoint now = Clock::now();
  {
    std::scoped_lock guard(lock);
    stoppedAt = now;
  }
  front.Daemon.signal(SIGTERM);
  for (std::thread &it : callers)
    it.join();
  CHECK(isSent);
  CHECK(front.Daemon.waitForExit(Grace) == 0);
  CHECK(Clock::now() - now < Grace);
  int late = 0;
  for (const auto &[id, response] : responses) {
    INFO("stream " << id << " ends " << toMillis(now + Grace - endedAt[id])
                   << " ms before the end of the grace period: " << response);
    if (endedAt[id] > now + Grace - StopMargin - ReadTime)
      continue;
    ++late;
    CHECK(has(response, LastEvent));
    CHECK(isCompleteSuccess(response));
  }
  CHECK(late > 0);
}

// An end that nothing decides must not hold up the process.
TEST_CASE("front stops in time although the end of a stream is not decided") {
  ScriptedEndpoint endpoint([&](Tcp::socket &Socket, const std::string &Id) {
    sendText(Socket, headOfStream(Id) + FirstEvent);
    std::this_thread::sleep_for(Grace - FirstEnd + Millis(200));
    sendText(Socket, LastEvent);
    Socket.close();
  });
  // As without a free connection; nothing else shows that it runs.
  endpoint.setHealthBehaviour(HealthBehaviour::Reset);
  StoppedFront front(endpoint.address());
  std::string response;
  std::thread caller([&] { response = front.call("1"); });
  bool isSent =
      waitUntil(seconds(5), [&] { return endpoint.countRequests() == 1; });
  TimePoint now = Clock::now();
  front.Daemon.signal(SIGTERM);
  CHECK(front.Daemon.waitForExit(Grace) == 0);
  CHECK(Clock::now() - now < Grace);
  caller.join();
  INFO(response);
  CHECK(isSent);
  CHECK(has(response, FirstEvent));
  CHECK_FALSE(isCompleteSuccess(response));
}
