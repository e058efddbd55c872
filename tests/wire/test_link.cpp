/// \file
/// Tests of the links between the processes of a fleet: which messages are
/// delivered, which are refused, and that malformed bytes do no harm.
#include "core/metrics.h"
#include "wire/link.h"

#include <catch2/catch.hpp>
#include <zmq.hpp>

#include <atomic>
#include <csignal>
#include <thread>

using namespace sassafras;

namespace {

/// Two links that run in one thread, and the messages that each has received.
struct LinkPair {
  LinkPair(const char *FleetA, const char *FleetB)
      : A(Io, {FleetA, "a", 7, "127.0.0.1:0"}, CountsA,
          [this](wire::Envelope It) { AtA.push_back(std::move(It)); }),
        B(Io, {FleetB, "b", 9, "127.0.0.1:0"}, CountsB,
          [this](wire::Envelope It) { AtB.push_back(std::move(It)); }) {
    StartProblem problem;
    REQUIRE(A.start(problem));
    REQUIRE(B.start(problem));
  }

  template <class Check> bool runUntil(Check IsDone) {
    auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (!IsDone() && std::chrono::steady_clock::now() < end)
      Io.run_one_for(std::chrono::milliseconds(20));
    return IsDone();
  }

  boost::asio::io_context Io;
  Metrics CountsA;
  Metrics CountsB;
  std::vector<wire::Envelope> AtA;
  std::vector<wire::Envelope> AtB;
  Link A;
  Link B;
};

wire::Envelope makeHeartbeat(uint64_t Number) {
  wire::Envelope message;
  message.mutable_heartbeat()->set_number(Number);
  return message;
}

} // namespace

TEST_CASE("link sets the sender fields and preserves the order of messages") {
  LinkPair pair("fleet", "fleet");
  for (uint64_t i = 0; i < 500; ++i)
    pair.A.send(pair.B.address(), makeHeartbeat(i));
  REQUIRE(pair.runUntil([&] { return pair.AtB.size() == 500; }));
  for (uint64_t i = 0; i < 500; ++i) {
    CHECK(pair.AtB[i].heartbeat().number() == i);
    CHECK(pair.AtB[i].from() == "a");
    CHECK(pair.AtB[i].incarnation() == 7);
    CHECK(pair.AtB[i].reply_address() == pair.A.address());
  }
}

TEST_CASE("link refuses messages of another fleet and tells their sender") {
  LinkPair pair("fleet", "other");
  pair.A.send(pair.B.address(), makeHeartbeat(1));
  REQUIRE(pair.runUntil([&] {
    return pair.CountsA.print().find("by_peer") != std::string::npos;
  }));
  CHECK(pair.AtA.empty());
  CHECK(pair.AtB.empty());
  CHECK(pair.CountsB.print().find("other fleet") != std::string::npos);
}

TEST_CASE("link refuses unknown versions and malformed bytes") {
  LinkPair pair("fleet", "fleet");
  zmq::context_t context;
  zmq::socket_t socket(context, zmq::socket_type::push);
  socket.connect("tcp://" + pair.B.address());
  wire::Envelope message = makeHeartbeat(1);
  message.set_fleet("fleet");
  message.set_version(ProtocolVersion + 1);
  std::string bytes = message.SerializeAsString();
  socket.send(zmq::buffer(bytes), zmq::send_flags::none);
  std::string noise = "\xff\xff\xff\xffnoise";
  socket.send(zmq::buffer(noise), zmq::send_flags::none);
  REQUIRE(pair.runUntil([&] {
    std::string counts = pair.CountsB.print();
    return counts.find("unreadable") != std::string::npos &&
           counts.find("unknown protocol version") != std::string::npos;
  }));
  CHECK(pair.AtB.empty());
  pair.A.send(pair.B.address(), makeHeartbeat(2));
  CHECK(pair.runUntil([&] { return pair.AtB.size() == 1; }));
}

TEST_CASE("link reports why it cannot listen") {
  LinkPair pair("fleet", "fleet");
  boost::asio::io_context io;
  Metrics counts;
  Link taken(io, {"fleet", "c", 1, pair.A.address()}, counts,
             [](const wire::Envelope &) {});
  StartProblem problem;
  CHECK_FALSE(taken.start(problem));
  CHECK(problem.Reason.find(pair.A.address()) != std::string::npos);
}

// ZeroMQ allows 1,023 sockets; the next one ended the process.
TEST_CASE("link to more peers than there are sockets goes on") {
  constexpr int PeerCount = 1'100;
  LinkPair pair("fleet", "fleet");
  for (int i = 0; i < PeerCount; ++i)
    pair.A.send("127.9." + std::to_string(i / 250) + "." +
                    std::to_string(1 + i % 250) + ":9",
                makeHeartbeat(1));
  pair.A.send(pair.B.address(), makeHeartbeat(7));
  REQUIRE(pair.runUntil([&] { return pair.AtB.size() == 1; }));
  CHECK(pair.AtB[0].heartbeat().number() == 7);
}

// A signal that interrupted the receiving call ended the process.
TEST_CASE("link receives while signals interrupt it") {
  struct sigaction action {};
  struct sigaction before {};
  action.sa_handler = [](int) {};
  sigaction(SIGUSR1, &action, &before);
  LinkPair pair("fleet", "fleet");
  std::atomic<bool> isOver{false};
  pthread_t receiver = pthread_self();
  std::thread interrupter([&] {
    while (!isOver) {
      pthread_kill(receiver, SIGUSR1);
      std::this_thread::sleep_for(std::chrono::microseconds(20));
    }
  });
  size_t sent = 0;
  for (int round = 0; round < 40; ++round) {
    for (int i = 0; i < 500; ++i, ++sent)
      pair.A.send(pair.B.address(), makeHeartbeat(sent));
    CHECK(pair.runUntil([&] { return pair.AtB.size() == sent; }));
  }
  isOver = true;
  interrupter.join();
  sigaction(SIGUSR1, &before, nullptr);
}
