/// \file
/// Runs fronts and an engine agent as real processes with a fake engine of the
/// platform: the whole request path, and what must hold when a process is
/// killed or stopped.
#include "http/address.h"
#include "tests/harness/front_fleet.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <csignal>

using namespace sassafras;
using std::chrono::seconds;

TEST_CASE(
    "fronts serve streams, withhold keys from engines and load cold models") {
  ServedFleet test;
  for (int i = 1; i <= test.Fleet.frontCount(); ++i) {
    INFO("front " << i);
    std::string id = "id-" + std::to_string(i);
    CallerResponse response;
    REQUIRE(waitUntil(seconds(10), [&] {
      response = sendCallerRequest(test.Fleet.callerAddress(i), id, "warm");
      return response.Status == 200;
    }));
    CHECK(response.IsComplete);
    CHECK(response.Body.find("id: 10\n") != std::string::npos);
    CHECK(fieldOf(response.Fields, "sassafrasseam-response-seal") == "seal");
  }
  for (const ReceivedRequest &it : test.Engine.receivedRequests()) {
    CHECK(it.Body == "body");
    CHECK(fieldOf(it.Fields, "sassafrasseam-tenant") == "first");
    CHECK(fieldOf(it.Fields, "sassafrasseam-expect-instance") == "i-1");
    for (const HttpField &field : it.Fields)
      CHECK(field.Value.find("secret-key") == std::string::npos);
  }
  CHECK(sendCallerRequest(test.Fleet.callerAddress(1), "x", "warm", "other")
            .Status == 401);
  CHECK(sendCallerRequest(test.Fleet.callerAddress(1), "x", "warm",
                          "secret-key", "/q/x")
            .Status == 404);
  size_t orders = test.Engine.countOrders();
  CHECK(
      sendCallerRequest(test.Fleet.callerAddress(4), "cold-1", "cold").Status ==
      200);
  CHECK(test.Engine.countOrders() > orders);
}

TEST_CASE("acknowledged table survives the loss of its leader and takes effect "
          "on all fronts") {
  ServedFleet test;
  for (int version = 2; version <= 4; ++version) {
    int killed = version - 1;
    std::string prefix = "/v" + std::to_string(version) + "/";
    REQUIRE(waitUntil(seconds(10), [&] {
      return test.Fleet.putTable(4, tableText(version, prefix)) == 200;
    }));
    test.Fleet.signal(FrontFleet::frontName(killed), SIGKILL);
    test.Fleet.waitForExit(FrontFleet::frontName(killed), seconds(2));
    test.Fleet.start(killed, false);
    for (int i = 1; i <= test.Fleet.frontCount(); ++i) {
      INFO("front " << i << " version " << version);
      CHECK(waitUntil(seconds(10), [&] {
        return sendCallerRequest(test.Fleet.callerAddress(i), "x", "warm",
                                 "secret-key", prefix + "x")
                   .Status == 200;
      }));
    }
  }
  CHECK(test.Fleet.putTable(1, "{\"version\":9}") == 400);
  CHECK(test.Fleet.putTable(4, "nonsense") == 400);
}

TEST_CASE("draining endpoint gets no new requests from any front") {
  ServedFleet test;
  REQUIRE(waitUntil(seconds(10), [&] {
    return sendCallerRequest(test.Fleet.callerAddress(4), "before", "warm")
               .Status == 200;
  }));
  test.stopAnnouncing();
  REQUIRE(test.Engine.announce(test.Fleet.controlAddress(2), true));
  std::this_thread::sleep_for(Millis(500));
  size_t receivedCount = test.Engine.receivedRequests().size();
  for (int i = 1; i <= test.Fleet.frontCount(); ++i)
    CHECK(sendCallerRequest(test.Fleet.callerAddress(i), "after", "warm")
              .Status == 503);
  CHECK(test.Engine.receivedRequests().size() == receivedCount);
}

TEST_CASE("fronts survive odd entries among the endpoints and in the table") {
  ServedFleet test;
  std::string deep(200'000, '[');
  const std::string start =
      R"({"service":"s","zone":"a","state":"ready","seq":1000,"address":")";
  const std::string odd[] = {
      start + R"(127.0.0.1:9","models":)" + deep,
      start + R"(127.0.0.1:65536"})",
      start + R"(127.0.0.1:9","born":1e300})",
      start + R"(127.0.0.1:9","remaining-ms":1e300})",
      start + R"(127.0.0.1:9","cold-left-ms":1e19,"slots":1e12})",
      deep,
  };
  for (int i = 1; i <= test.Fleet.frontCount(); ++i)
    for (const std::string &it : odd) {
      for (const char *id : {"i-1", "i-odd"})
        CHECK(callHttp(
                  test.Fleet.controlAddress(i),
                  {"POST", std::string("/Instances.Heartbeat/") + id, {}, it},
                  seconds(2))
                  .Status == 400);
      CHECK(test.Fleet.putTable(i, it) == 400);
    }
  for (int i = 1; i <= test.Fleet.frontCount(); ++i) {
    INFO("front " << i);
    CHECK(test.Fleet.isRunning(FrontFleet::frontName(i)));
    CHECK(waitUntil(seconds(10), [&] {
      return sendCallerRequest(test.Fleet.callerAddress(i), "x", "warm")
                 .Status == 200;
    }));
  }
}

TEST_CASE("stopping front completes a running stream") {
  ServedFleet test;
  test.Engine.setEventInterval(Millis(300));
  REQUIRE(waitUntil(seconds(10), [&] {
    return sendCallerRequest(test.Fleet.callerAddress(4), "first", "warm")
               .Status == 200;
  }));
  CallerResponse response;
  std::thread caller([&] {
    response =
        sendCallerRequest(test.Fleet.callerAddress(4), "running", "warm");
  });
  std::this_thread::sleep_for(Millis(600));
  test.Fleet.signal(FrontFleet::frontName(4), SIGTERM);
  CHECK(waitUntil(seconds(2), [&] { return !test.Fleet.isReady(4); }));
  caller.join();
  CHECK(response.IsComplete);
  CHECK(response.Body.find("id: 10\n") != std::string::npos);
  CHECK(test.Fleet.waitForExit(FrontFleet::frontName(4), seconds(8)) == 0);
}

// Its caller sends the body slowly, so that its connection is still open when
// the front no longer accepts new ones.
TEST_CASE("request that is complete late in a stop is refused, not cut") {
  ServedFleet test;
  test.Engine.setEventInterval(Millis(1'000));
  REQUIRE(waitUntil(seconds(10), [&] { return test.Fleet.isReady(4); }));
  auto address = parseAddress(test.Fleet.callerAddress(4));
  boost::asio::io_context io;
  boost::asio::ip::tcp::socket socket(io);
  socket.connect({boost::asio::ip::make_address(address->Ip), address->Port});
  auto send = [&](const std::string &Text) {
    boost::asio::write(socket, boost::asio::buffer(Text));
  };
  send("POST /p/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Bearer "
       "secret-key\r\n"
       "Sassafrasseam-Attempt-Id: late\r\nSassafrasseam-Model: warm\r\n"
       "Content-Length: 4\r\n\r\nbo");
  std::this_thread::sleep_for(Millis(300));
  test.Fleet.signal(FrontFleet::frontName(4), SIGTERM);
  std::this_thread::sleep_for(Millis(4'000));
  send("dy");
  TimePoint sentAt = Clock::now();
  std::string response;
  boost::system::error_code ec;
  boost::asio::read(socket, boost::asio::dynamic_buffer(response), ec);
  INFO(response);
  CHECK(response.starts_with("HTTP/1.1 503"));
  CHECK(Clock::now() - sentAt < Millis(1'000));
  CHECK(test.Fleet.waitForExit(FrontFleet::frontName(4), seconds(8)) == 0);
}

namespace {

/// Sends \p Bytes on a new connection and returns what is received until it
/// ends. Unlike callHttp it sends fields of any length.
std::string exchangeBytes(const std::string &Address,
                          const std::string &Bytes) {
  auto address = parseAddress(Address);
  boost::asio::io_context io;
  boost::asio::ip::tcp::socket socket(io);
  boost::system::error_code ec;
  socket.connect({boost::asio::ip::make_address(address->Ip), address->Port},
                 ec);
  boost::asio::write(socket, boost::asio::buffer(Bytes), ec);
  std::string response;
  boost::asio::read(socket, boost::asio::dynamic_buffer(response), ec);
  return response;
}

} // namespace

// Review case 1: each front that read the request ended, with all its requests.
TEST_CASE("header field over 64 KiB ends no front and reaches the engine") {
  std::string table = tableText(1);
  table.insert(1, R"("limits":{"max-header-bytes":131072},)");
  ServedFleet test(table);
  std::string value(66'000, 'x');
  for (int i = 1; i <= test.Fleet.frontCount(); ++i) {
    INFO("front " << i);
    REQUIRE(waitUntil(seconds(10), [&] {
      return sendCallerRequest(test.Fleet.callerAddress(i), "first", "warm")
                 .Status == 200;
    }));
    std::string response = exchangeBytes(
        test.Fleet.callerAddress(i),
        "POST /p/x HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n"
        "Authorization: Bearer secret-key\r\nSassafrasseam-Model: warm\r\n"
        "Sassafrasseam-Attempt-Id: long\r\nContent-Length: 4\r\nX-Long: " +
            value + "\r\n\r\nbody");
    CHECK(response.starts_with("HTTP/1.1 200"));
    CHECK(test.Fleet.isRunning(FrontFleet::frontName(i)));
  }
  int received = 0;
  for (const ReceivedRequest &it : test.Engine.receivedRequests())
    received += fieldOf(it.Fields, "x-long") == value;
  CHECK(received == test.Fleet.frontCount());
}

// Review case 2: each leader in turn ended over its memory until the table was
// corrected, also after a restart.
TEST_CASE("table with sizes in bytes takes no front over its memory") {
  constexpr uint64_t MemoryMb = 260;
  auto inBytes = [](int Version) {
    std::string table = tableText(Version);
    const std::string large =
        R"({"name":"large","engine":{"slots":8,"weights-mb":200000000000,)"
        R"("adapter-slots":2,"loads-per-s":5,"models":[{"name":"huge",)"
        R"("weights-mb":72700000000,"load-s":1}]}},)";
    const std::string start = R"("services":[)";
    return table.insert(table.find(start) + start.size(), large);
  };
  ServedFleet test;
  FakePlatformEngine other("i-2", "large", test.Fleet.addressOf(51, 7), {}, {});
  test.Fleet.startAgent(51, test.Fleet.addressOf(51, 7));
  REQUIRE(other.announce(test.Fleet.controlAddress(1)));
  REQUIRE(waitUntil(seconds(10),
                    [&] { return test.Fleet.putTable(4, inBytes(2)) == 200; }));
  auto checkAll = [&](const std::string &When) {
    for (int i = 1; i <= test.Fleet.frontCount(); ++i) {
      INFO("front " << i << " " << When);
      CHECK(waitUntil(seconds(10), [&] {
        other.announce(test.Fleet.controlAddress(i));
        return sendCallerRequest(test.Fleet.callerAddress(i), "x", "warm")
                   .Status == 200;
      }));
      CHECK(test.Fleet.isRunning(FrontFleet::frontName(i)));
      CHECK(test.Fleet.peakMemoryMb(FrontFleet::frontName(i)) < MemoryMb);
    }
  };
  std::this_thread::sleep_for(seconds(1));
  checkAll("with the table");
  for (int i = 1; i <= test.Fleet.frontCount(); ++i)
    test.Fleet.kill(FrontFleet::frontName(i));
  for (int i = 1; i <= test.Fleet.frontCount(); ++i)
    test.Fleet.start(i, false);
  std::this_thread::sleep_for(seconds(2));
  checkAll("after a restart");
}

TEST_CASE("SIGHUP while the settings are read does not end the process") {
  FrontFleet fleet;
  CHECK(fleet.startAgentWithEarlySignal(50, SIGHUP));
}
