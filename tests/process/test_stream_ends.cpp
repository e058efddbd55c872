/// \file
/// Streams that end with their connections: whole where their endpoint still
/// runs, though it has no slot or connection left for a health check, and
/// incomplete where it was killed, though another process is back at once.
#include "tests/harness/scripted_endpoint.h"
#include "tests/harness/tested_front.h"

#include <boost/asio/read.hpp>

#include <catch2/catch.hpp>

#include <atomic>
#include <future>
#include <string>
#include <thread>
#include <utility>

using namespace sassafras;
namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

namespace {

/// Two whole events.
constexpr const char *TwoEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
/// Begins a stream that ends with its connection.
constexpr const char *Unframed =
    "Content-Type: text/event-stream\r\nConnection: close";
constexpr Millis AnnouncementPeriod{300};

void sendWholeStream(Tcp::socket &Socket, const std::string &Id) {
  sendText(Socket, headOf(Id, Unframed) + TwoEvents);
  Socket.close();
}

} // namespace

// Callers lost the end of a third of the streams of full endpoints: a health
// check that waits for a slot was taken for the end of the process.
TEST_CASE("whole stream of an endpoint without a free slot reaches its caller "
          "as whole") {
  ScriptedEndpoint endpoint(sendWholeStream);
  endpoint.setHealthBehaviour(HealthBehaviour::Wait);
  TestedFront front(endpoint.address());
  for (const char *route : {"stream", "resume"}) {
    INFO(route);
    TimePoint start = Clock::now();
    std::string response = front.call(route, route);
    INFO(response);
    CHECK(isCompleteSuccess(response));
    CHECK(Clock::now() - start < CallerDeadline / 2);
  }
}

// The same where the endpoint resets connections above its limit.
TEST_CASE("whole stream of an endpoint without a free connection reaches its "
          "caller as whole") {
  std::promise<void> finish;
  auto isFinished = finish.get_future().share();
  ScriptedEndpoint endpoint([&](Tcp::socket &Socket, const std::string &Id) {
    sendText(Socket, headOf(Id, Unframed) + TwoEvents);
    if (Id == "other")
      isFinished.wait();
    Socket.close();
  });
  endpoint.setHealthBehaviour(HealthBehaviour::Reset);
  TestedFront front(endpoint.address());
  SECTION("another stream of it goes on") {
    std::thread other([&] { front.call("stream", "other"); });
    while (endpoint.countRequests() < 1)
      std::this_thread::sleep_for(Millis(1));
    std::string response = front.call("stream", "1");
    finish.set_value();
    other.join();
    INFO(response);
    CHECK(isCompleteSuccess(response));
  }
  SECTION("it announces itself") {
    finish.set_value();
    std::atomic<bool> isOver{false};
    std::thread announcer([&] {
      for (uint64_t i = 2; !isOver; ++i) {
        std::this_thread::sleep_for(AnnouncementPeriod);
        front.occupy([&] { front.announce(endpoint.address(), i, 1); });
      }
    });
    std::string response = front.call("stream", "1");
    isOver = true;
    announcer.join();
    INFO(response);
    CHECK(isCompleteSuccess(response));
  }
  SECTION("nothing else shows that it runs") {
    auto call = std::async(std::launch::async,
                           [&] { return front.call("stream", "other"); });
    while (endpoint.countRequests() < 1)
      std::this_thread::sleep_for(Millis(1));
    // Connections that are accepted so late prove nothing.
    front.occupy([&] {
      finish.set_value();
      std::this_thread::sleep_for(Millis(100));
    });
    std::string response = call.get();
    INFO(response);
    CHECK(has(response, TwoEvents));
    CHECK_FALSE(isCompleteSuccess(response));
  }
}

// A front that was paused took the answer of the next process for one of the
// process that was killed.
TEST_CASE("stream that a killed endpoint cut is not whole, although it is back "
          "under its id") {
  for (auto behaviour :
       {HealthBehaviour::Answer, HealthBehaviour::Wait, HealthBehaviour::Reset})
    for (bool isAnnounced : {false, true}) {
      INFO("health check: " << static_cast<int>(behaviour)
                            << ", announced: " << isAnnounced);
      std::promise<void> cut;
      auto isCut = cut.get_future().share();
      ScriptedEndpoint endpoint(
          [&](Tcp::socket &Socket, const std::string &Id) {
            sendText(Socket, headOf(Id, Unframed) + TwoEvents);
            isCut.wait();
            Socket.close();
          });
      endpoint.setHealthBehaviour(behaviour);
      TestedFront front(endpoint.address());
      auto response = std::async(std::launch::async,
                                 [&] { return front.call("stream", "1"); });
      while (endpoint.countRequests() < 1)
        std::this_thread::sleep_for(Millis(1));
      front.occupy([&] {
        cut.set_value();
        std::this_thread::sleep_for(Millis(100));
      });
      if (isAnnounced)
        front.occupy([&] { front.announce(endpoint.address(), 1, 2); });
      std::string text = response.get();
      INFO(text);
      CHECK(has(text, TwoEvents));
      CHECK_FALSE(isCompleteSuccess(text));
    }
}

namespace {

/// Time in which a front of this process reads what an endpoint has sent.
constexpr Millis ReadTime{40};

/// Endpoint whose streams have one event at once, and another and their end
/// when they are told to.
struct HeldStreams {
  HeldStreams() { Endpoint.setHealthBehaviour(HealthBehaviour::Wait); }
  ~HeldStreams() { end(); }
  HeldStreams(const HeldStreams &) = delete;
  HeldStreams &operator=(const HeldStreams &) = delete;

  void end() {
    if (!std::exchange(IsEnded, true))
      End.set_value();
  }

  std::promise<void> End;
  std::shared_future<void> IsEndDue = End.get_future().share();
  bool IsEnded = false;
  ScriptedEndpoint Endpoint{[this](Tcp::socket &Socket, const std::string &Id) {
    sendText(Socket, headOf(Id, Unframed) + "id: 1\ndata: a\n\n");
    if (Id == "other")
      IsEndDue.wait();
    sendText(Socket, "id: 2\ndata: b\n\n");
    Socket.close();
  }};
};

std::future<std::string> beginCall(TestedFront &Front, HeldStreams &Streams,
                                   const std::string &Route,
                                   const std::string &Id) {
  size_t before = Streams.Endpoint.countRequests();
  auto out = std::async(std::launch::async,
                        [&Front, Route, Id] { return Front.call(Route, Id); });
  while (Streams.Endpoint.countRequests() == before)
    std::this_thread::sleep_for(Millis(1));
  std::this_thread::sleep_for(ReadTime);
  return out;
}

} // namespace

// A stopping front cut streams that it had read to their ends.
TEST_CASE("stop leaves the end of a stream the time in which it is decided") {
  HeldStreams streams;
  TestedFront front(streams.Endpoint.address());
  auto call = beginCall(front, streams, "stream", "1");
  front.occupy([&] { front.stop(StopStage::Responses); });
  std::string response = call.get();
  INFO(response);
  CHECK(isCompleteSuccess(response));
}

TEST_CASE("last stage of a stop ends streams whose end is not decided") {
  HeldStreams streams;
  streams.Endpoint.setHealthBehaviour(HealthBehaviour::Reset);
  TestedFront front(streams.Endpoint.address());
  auto call = beginCall(front, streams, "stream", "other");
  // Connections that are accepted so late prove nothing.
  front.occupy([&] {
    streams.end();
    std::this_thread::sleep_for(Millis(100));
  });
  std::this_thread::sleep_for(ReadTime);
  TimePoint start = Clock::now();
  front.occupy([&] { front.stop(StopStage::All); });
  std::string response = call.get();
  INFO(response);
  CHECK(has(response, "id: 2"));
  CHECK_FALSE(isCompleteSuccess(response));
  CHECK(Clock::now() - start < CallerDeadline / 2);
}

// An event that is forwarded is one whose stream has time to end.
TEST_CASE("stopping front forwards no event for whose end it has no time") {
  HeldStreams streams;
  TestedFront front(streams.Endpoint.address());
  auto call = beginCall(front, streams, "stream", "other");
  front.occupy([&] { front.stop(StopStage::Streams); });
  CHECK(call.wait_for(ReadTime) == std::future_status::timeout);
  streams.end();
  std::string response = call.get();
  INFO(response);
  CHECK(has(response, "id: 1"));
  CHECK_FALSE(has(response, "id: 2"));
  CHECK_FALSE(isCompleteSuccess(response));
}

// The streams that a stop cuts were the only sign of their endpoint's process.
TEST_CASE("streams that a stop cuts still show that their endpoint runs") {
  HeldStreams streams;
  streams.Endpoint.setHealthBehaviour(HealthBehaviour::Reset);
  TestedFront front(streams.Endpoint.address());
  auto cut = beginCall(front, streams, "stream", "other");
  auto call = beginCall(front, streams, "stream", "1");
  front.occupy([&] { front.stop(StopStage::Responses); });
  CHECK_FALSE(isCompleteSuccess(cut.get()));
  std::string response = call.get();
  INFO(response);
  CHECK(isCompleteSuccess(response));
}

// There is no time left for it.
TEST_CASE("stream that turns out to be cut while its front stops is not sent "
          "to another endpoint") {
  HeldStreams streams;
  HeldStreams others;
  TestedFront front(streams.Endpoint.address());
  auto call = beginCall(front, streams, "resume", "1");
  TimePoint start = Clock::now();
  front.occupy([&] {
    front.stop(StopStage::Responses);
    front.addEndpoint(others.Endpoint.address());
    // Another process is at the address.
    front.announce(streams.Endpoint.address(), 1, 2);
  });
  std::string response = call.get();
  INFO(response);
  CHECK(has(response, "id: 2"));
  CHECK_FALSE(isCompleteSuccess(response));
  CHECK(Clock::now() - start < CallerDeadline / 2);
  CHECK(others.Endpoint.countRequests() == 0);
}

// The response of the endpoint that goes on was whole; its process was not
// proved yet.
TEST_CASE("stop leaves a resumed stream that is read to its end the time of "
          "its proof") {
  ScriptedEndpoint endpoint([](Tcp::socket &Socket, const std::string &Id) {
    sendText(Socket, headOf(Id, "Content-Type: text/event-stream\r\n"
                                "Transfer-Encoding: chunked") +
                         chunkOf("id: 3\ndata: c\n\n") + "0\r\n\r\n");
  });
  TestedFront front(endpoint.address());
  auto call = std::async(std::launch::async, [&] {
    return front.call("resume", "1", "Last-Event-Id: 2\r\n");
  });
  while (endpoint.countRequests() < 1)
    std::this_thread::sleep_for(Millis(1));
  std::this_thread::sleep_for(ReadTime);
  front.occupy([&] { front.stop(StopStage::Responses); });
  std::string response = call.get();
  INFO(response);
  CHECK(isCompleteSuccess(response));
  CHECK(has(response, "id: 3"));
}
