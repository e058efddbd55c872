/// \file
/// Planned stops of fronts as real processes: what was acknowledged is in
/// force afterwards, and what callers have sent is answered.
#include "http/address.h"
#include "tests/harness/front_fleet.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <csignal>
#include <map>
#include <mutex>

using namespace sassafras;
namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using std::chrono::seconds;

namespace {

/// Version of the table as operators read it; 0 if it cannot be read.
int readVersion(const FrontFleet &Fleet, int Host) {
  std::string table = Fleet.readTable(Host);
  const std::string key = "\"version\":";
  size_t at = table.find(key);
  return at == std::string::npos ? 0
                                 : std::atoi(table.c_str() + at + key.size());
}

/// Sends rising versions of the table to the fronts in turn until it is
/// stopped, as two operators do at the same time.
class Operators {
public:
  explicit Operators(const FrontFleet &Fleet) : Fleet(Fleet) {
    for (int i = 0; i < 2; ++i)
      Threads.emplace_back([this, i] { run(i); });
  }
  ~Operators() { stop(); }
  Operators(const Operators &) = delete;
  Operators &operator=(const Operators &) = delete;

  void stop() {
    IsStopping = true;
    for (std::thread &it : Threads)
      if (it.joinable())
        it.join();
  }
  int acknowledged() const { return Acknowledged; }
  int acknowledgedCount() const { return Count; }

private:
  void run(int Number) {
    for (int i = Number; !IsStopping; ++i) {
      int version = ++LastVersion;
      int host = 1 + i % Fleet.frontCount();
      if (Fleet.putTable(host, tableText(version)) != 200)
        continue;
      ++Count;
      int before = Acknowledged;
      while (before < version &&
             !Acknowledged.compare_exchange_weak(before, version)) {
      }
    }
  }

  const FrontFleet &Fleet;
  std::atomic<int> LastVersion{100};
  std::atomic<int> Acknowledged{0};
  std::atomic<int> Count{0};
  std::atomic<bool> IsStopping{false};
  std::vector<std::thread> Threads;
};

/// What became of the requests of callers on kept connections.
struct CallerResults {
  std::mutex Mutex;
  int Answered = 0;
  int CutOnKept = 0; ///< Behind a response without "Connection: close".
  /// Requests without a complete response, and what was seen.
  std::map<std::string, std::string> Cut;
};

/// Reads one response; false if the connection ends before it is complete.
bool readResponse(Tcp::socket &Socket, std::string &Head,
                  boost::system::error_code &Error) {
  std::string buf;
  size_t n =
      asio::read_until(Socket, asio::dynamic_buffer(buf), "\r\n\r\n", Error);
  if (Error)
    return false;
  Head = buf.substr(0, n);
  bool isChunked = Head.find("chunked") != std::string::npos;
  asio::read_until(Socket, asio::dynamic_buffer(buf),
                   isChunked ? "0\r\n\r\n" : "}\n", Error);
  return !Error;
}

/// Calls a front until it accepts no more connections, each time on the same
/// connection while the front keeps it.
void callUntilRefused(const std::string &Address, const std::string &Caller,
                      CallerResults &Out) {
  constexpr Millis WaitAfterClose{5};
  auto address = parseAddress(Address);
  asio::io_context io;
  for (int n = 0;;) {
    Tcp::socket socket(io);
    boost::system::error_code ec;
    socket.connect({asio::ip::make_address(address->Ip), address->Port}, ec);
    if (ec)
      return;
    bool isKept = true;
    for (int sent = 0; isKept; ++sent) {
      std::string id = Caller + "-" + std::to_string(n++) + "-end";
      asio::write(socket,
                  asio::buffer("POST /p/x HTTP/1.1\r\nHost: h.example\r\n"
                               "Authorization: Bearer secret-key\r\n"
                               "Sassafrasseam-Attempt-Id: " +
                               id +
                               "\r\nSassafrasseam-Model: warm\r\n"
                               "Content-Length: 4\r\n\r\nbody"),
                  ec);
      std::string head;
      bool isAnswered = readResponse(socket, head, ec);
      isKept =
          isAnswered && head.find("Connection: close") == std::string::npos;
      std::lock_guard guard(Out.Mutex);
      Out.Answered += isAnswered;
      Out.CutOnKept += !isAnswered && sent > 0;
      if (!isAnswered)
        Out.Cut[id] = "request " + std::to_string(sent) +
                      " of its connection, " + ec.message() + ", head '" +
                      head + "'";
    }
    std::this_thread::sleep_for(WaitAfterClose);
  }
}

} // namespace

// The operators change the table throughout. Each stop is followed by a kill of
// the other member that may hold the change, and by a restart of both.
TEST_CASE("acknowledged tables survive planned stops beside kills") {
  constexpr int Rounds = 4;
  FrontFleet fleet;
  REQUIRE(waitUntil(seconds(15),
                    [&] { return fleet.putTable(1, tableText(1)) == 200; }));
  for (int round = 0; round < Rounds; ++round) {
    INFO("round " << round);
    int stopped = 1 + round % fleet.diskCount();
    int killed = 1 + (round + 1) % fleet.diskCount();
    int acknowledged = 0;
    {
      Operators operators(fleet);
      std::this_thread::sleep_for(Millis(700));
      fleet.signal(FrontFleet::frontName(stopped), SIGTERM);
      std::this_thread::sleep_for(Millis(300));
      fleet.signal(FrontFleet::frontName(stopped), SIGTERM);
      fleet.signal(FrontFleet::frontName(stopped), SIGHUP);
      CHECK(fleet.waitForExit(FrontFleet::frontName(stopped), seconds(10)) ==
            0);
      operators.stop();
      acknowledged = operators.acknowledged();
      CHECK(operators.acknowledgedCount() > 0);
    }
    fleet.kill(FrontFleet::frontName(killed));
    fleet.start(stopped, false);
    int version = 0;
    CHECK(waitUntil(seconds(10), [&] {
      version = readVersion(fleet, stopped);
      return version > 0;
    }));
    CHECK(version >= acknowledged);
    fleet.start(killed, false);
  }
}

TEST_CASE("acknowledged tables survive stops of all members at once") {
  FrontFleet fleet;
  REQUIRE(waitUntil(seconds(15),
                    [&] { return fleet.putTable(1, tableText(1)) == 200; }));
  for (Millis between : {Millis(0), Millis(20), Millis(150)}) {
    INFO("ms between stops " << between.count());
    int acknowledged = 0;
    {
      Operators operators(fleet);
      std::this_thread::sleep_for(Millis(700));
      for (int i = 1; i <= fleet.diskCount(); ++i) {
        fleet.signal(FrontFleet::frontName(i), SIGTERM);
        std::this_thread::sleep_for(between);
      }
      for (int i = 1; i <= fleet.diskCount(); ++i)
        CHECK(fleet.waitForExit(FrontFleet::frontName(i), seconds(10)) == 0);
      operators.stop();
      acknowledged = operators.acknowledged();
      CHECK(operators.acknowledgedCount() > 0);
    }
    for (int i = 1; i <= fleet.diskCount(); ++i)
      fleet.start(i, false);
    int version = 0;
    CHECK(waitUntil(seconds(10), [&] {
      version = readVersion(fleet, 1);
      return version > 0;
    }));
    CHECK(version >= acknowledged);
  }
}

// A connection whose handshake completes while the front closes its listening
// socket is reset, but no request on it has been read.
TEST_CASE("planned stop cuts no request on a kept connection and none that a "
          "front has read") {
  constexpr int Callers = 24;
  constexpr int Stops = 3;
  ServedFleet test;
  test.Engine.setEventInterval(Millis(30));
  for (int stop = 0; stop < Stops; ++stop) {
    int host = test.Fleet.frontCount() - stop;
    std::string name = FrontFleet::frontName(host);
    REQUIRE(waitUntil(seconds(10), [&] {
      return sendCallerRequest(test.Fleet.callerAddress(host), "first", "warm")
                 .Status == 200;
    }));
    CallerResults results;
    std::vector<std::thread> callers;
    for (int i = 0; i < Callers; ++i)
      callers.emplace_back([&, i] {
        callUntilRefused(test.Fleet.callerAddress(host),
                         std::to_string(stop) + "-" + std::to_string(i),
                         results);
      });
    std::this_thread::sleep_for(Millis(500));
    test.Fleet.signal(name, SIGTERM);
    CHECK(test.Fleet.waitForExit(name, seconds(9)) == 0);
    for (std::thread &it : callers)
      it.join();
    INFO("front " << host << ": answered " << results.Answered << ", cut "
                  << results.Cut.size());
    CHECK(results.Answered > Callers);
    CHECK(results.CutOnKept == 0);
    std::string log = test.Fleet.log(name);
    for (const auto &[id, seen] : results.Cut) {
      INFO(id << ": " << seen);
      CHECK(log.find("id=" + id) == std::string::npos);
      for (const ReceivedRequest &it : test.Engine.receivedRequests())
        CHECK(it.Id != id);
    }
    test.Fleet.start(host, false);
  }
}
