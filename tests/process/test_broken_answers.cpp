/// \file
/// What callers get when an endpoint's answer is broken: reset while the
/// request is still being sent, with a status or a header that is not valid.
#include "front/instance_check.h"
#include "front/process_query.h"
#include "tests/harness/scripted_endpoint.h"
#include "tests/harness/tested_front.h"

#include <boost/asio/read.hpp>

#include <catch2/catch.hpp>

#include <array>
#include <optional>
#include <string>
#include <thread>

using namespace sassafras;
namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

namespace {

/// Bodies of requests: one that a connection's buffers take at once, and one
/// that they do not.
constexpr size_t ShortUpload = 900'000;
constexpr size_t LongUpload = 8'000'000;
/// Two whole events.
constexpr const char *TwoEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

/// Sends a request with a body of \p Size bytes and returns all bytes until the
/// connection ends.
std::string upload(TestedFront &Front, const std::string &Route,
                   const std::string &Id, size_t Size) {
  Tcp::socket socket = Front.connect();
  sendText(socket, "POST /" + Route + "/x HTTP/1.1\r\nHost: h\r\n" +
                       "Sassafrasseam-Attempt-Id: " + Id +
                       "\r\nConnection: close\r\nContent-Length: " +
                       std::to_string(Size) + "\r\n\r\n" +
                       std::string(Size, 'x'));
  std::string response;
  boost::system::error_code ec;
  asio::read(socket, asio::dynamic_buffer(response), ec);
  return response;
}

/// Resets the connection.
void resetConnection(Tcp::socket &Socket) {
  boost::system::error_code ec;
  Socket.set_option(asio::socket_base::linger(true, 0), ec);
  Socket.close(ec);
}

/// Ends the endpoint's side of the connection in order.
void endAnswer(Tcp::socket &Socket) {
  boost::system::error_code ec;
  Socket.shutdown(Tcp::socket::shutdown_send, ec);
}

/// Reads until the front ends the connection.
void readRest(Tcp::socket &Socket) {
  std::array<char, 65'536> buf{};
  boost::system::error_code ec;
  while (!ec)
    Socket.read_some(asio::buffer(buf), ec);
}

} // namespace

TEST_CASE(
    "answer without a length that is reset amid an upload is incomplete") {
  struct Case {
    const char *Route;
    Millis Pause; ///< Before the reset.
    int Plays;    ///< Of each size.
  };
  // Repeated requests wait while their endpoint is paused.
  const Case cases[] = {
      {"once", Millis(0), 20},   {"once", Millis(10), 5},
      {"stream", Millis(0), 20}, {"stream", Millis(10), 5},
      {"many", Millis(0), 3},    {"resume", Millis(0), 3},
  };
  for (const Case &it : cases)
    for (size_t size : {ShortUpload, LongUpload}) {
      int complete = 0;
      std::string latest;
      for (int i = 0; i < it.Plays; ++i) {
        ScriptedEndpoint endpoint(
            [&](Tcp::socket &Socket, const std::string &Id) {
              sendText(Socket, headOf(Id, "Connection: close") + TwoEvents);
              std::this_thread::sleep_for(it.Pause);
              resetConnection(Socket);
            });
        TestedFront front(endpoint.address());
        std::string response = upload(front, it.Route, std::to_string(i), size);
        if (!isCompleteSuccess(response))
          continue;
        ++complete;
        latest = response;
      }
      INFO(it.Route << ", " << size << " bytes, reset after "
                    << it.Pause.count() << " ms: " << complete << " of "
                    << it.Plays << " complete; the latest: " << latest);
      CHECK(complete == 0);
    }
}

TEST_CASE("whole answer that comes amid an upload reaches its caller") {
  enum class End { Drain, Close, Reset };
  struct Case {
    const char *What;
    std::string Framing;
    std::string Body;
    End How;
  };
  std::string events = TwoEvents;
  std::string length = "Content-Length: " + std::to_string(events.size());
  std::string chunks = chunkOf(events) + "0\r\n\r\n";
  const Case cases[] = {
      {"length", length, events, End::Drain},
      {"length, then a reset", length, events, End::Reset},
      {"chunks", "Transfer-Encoding: chunked", chunks, End::Drain},
      {"chunks, then a reset", "Transfer-Encoding: chunked", chunks,
       End::Reset},
      {"no length, the rest is read", "Connection: close", events, End::Drain},
      {"no length, closed with the rest unread", "Connection: close", events,
       End::Close},
  };
  for (const Case &it : cases)
    for (const char *route : {"once", "many", "stream", "resume"})
      for (size_t size : {ShortUpload, LongUpload}) {
        INFO(it.What << " on " << route << ", " << size << " bytes");
        ScriptedEndpoint endpoint(
            [&](Tcp::socket &Socket, const std::string &Id) {
              sendText(Socket, headOf(Id, it.Framing) + it.Body);
              if (it.How != End::Reset)
                endAnswer(Socket);
              if (it.How == End::Drain)
                readRest(Socket);
              else
                resetConnection(Socket);
            });
        TestedFront front(endpoint.address());
        std::string response = upload(front, route, "1", size);
        INFO(response);
        CHECK(isCompleteSuccess(response));
        CHECK((has(response, "data: a") && has(response, "data: b")));
      }
}

TEST_CASE("answer whose status is not valid never reaches its caller") {
  // The body of an answer that is skipped may look like an answer.
  for (const char *status : {"000", "007", "099", "600", "999"})
    for (const char *route : {"once", "many", "stream", "resume"})
      for (bool hasLength : {true, false}) {
        INFO(status << " on " << route << ", length: " << hasLength);
        ScriptedEndpoint endpoint(
            [&](Tcp::socket &Socket, const std::string &Id) {
              std::string body = headOf(Id, "Content-Length: 5") + "inner";
              std::string framing =
                  hasLength ? "Content-Length: " + std::to_string(body.size())
                            : "Connection: close";
              sendText(Socket,
                       headOf(Id, framing, std::string(status) + " No") + body);
              Socket.close();
            });
        TestedFront front(endpoint.address());
        std::string response = front.call(route, "1");
        INFO(response);
        CHECK(response.starts_with("HTTP/1.1 502 "));
        CHECK_FALSE(has(response, "inner"));
        CHECK_FALSE(has(response, "seal"));
      }
}

TEST_CASE("health check with an invalid status proves no instance") {
  ScriptedEndpoint endpoint([&](Tcp::socket &Socket, const std::string &Id) {
    sendText(Socket, headOf(Id, "Connection: close") + TwoEvents);
    Socket.close();
  });
  endpoint.setHealthAnswer(600, true);
  TestedFront front(endpoint.address());
  std::string response = front.call("stream", "1");
  INFO(response);
  CHECK(endpoint.countHealthChecks() > 0);
  CHECK_FALSE(isCompleteSuccess(response));
}

TEST_CASE("answer with a field that is not valid never reaches its caller") {
  using namespace std::string_literals;
  const std::string lines[] = {
      "X Bad: 1"s,
      "X\tBad: 1"s,
      "X-Bad : 1"s,
      "X-Bad\t: 1"s,
      "Content-Length : 1"s,
      "X\0Bad: 1"s,
      "X\x01"s
      "Bad: 1"s,
      "X\x0b"s
      "Bad: 1"s,
      "X\x7f"s
      "Bad: 1"s,
      "X\x80"s
      "Bad: 1"s,
      ": 1"s,
      "X-Bad"s,
      " X-Bad: 1"s,
      "\tX-Bad: 1"s,
      " 1"s,
  };
  const std::string first = "Sassafrasseam-Attempt-Id: 1\r\n"
                            "Sassafrasseam-Response-Seal: seal\r\n";
  const std::string fields = first + "Content-Length: 5\r\n";
  for (const std::string &line : lines)
    for (const char *route : {"once", "stream"})
      for (size_t at : {size_t{0}, first.size(), fields.size()}) {
        std::string head = fields;
        head.insert(at, line + "\r\n");
        INFO(route << ": " << head);
        ScriptedEndpoint endpoint([&](Tcp::socket &Socket, auto &) {
          sendText(Socket, "HTTP/1.1 200 OK\r\n" + head + "\r\ninner");
          Socket.close();
        });
        TestedFront front(endpoint.address());
        std::string response = front.call(route, "1");
        INFO(response);
        CHECK(response.starts_with("HTTP/1.1 502 "));
        CHECK_FALSE(has(response, "inner"));
        CHECK_FALSE(has(response, "seal"));
      }
}

TEST_CASE("chunks with a trailer that is not valid are not complete") {
  for (const char *line : {"X Bad: 1", "X-Bad : 1", "X\x01: 1", ": 1", "X-Bad"})
    for (const char *route : {"once", "stream"}) {
      INFO(line << " on " << route);
      ScriptedEndpoint endpoint([&](Tcp::socket &Socket,
                                    const std::string &Id) {
        sendText(Socket, headOf(Id, "Transfer-Encoding: chunked") +
                             chunkOf(TwoEvents) + "0\r\n" + line + "\r\n\r\n");
        Socket.close();
      });
      TestedFront front(endpoint.address());
      std::string response = front.call(route, "1");
      INFO(response);
      CHECK_FALSE(isCompleteSuccess(response));
    }
}

TEST_CASE("answer without content adds no bytes before the next answer") {
  for (const char *status : {"204 No Content", "304 Not Modified"})
    for (const char *framing :
         {"Content-Length: 0", "Content-Type: text/event-stream"})
      for (const char *route : {"once", "many", "stream", "resume"}) {
        INFO(status << ", " << framing << " on " << route);
        ScriptedEndpoint endpoint([&](Tcp::socket &Socket,
                                      const std::string &Id) {
          sendText(Socket, Id == "1"
                               ? headOf(Id, framing, status)
                               : headOf(Id, "Content-Length: 30") + TwoEvents);
        });
        TestedFront front(endpoint.address());
        Tcp::socket socket = front.connect();
        sendText(socket, TestedFront::requestText(route, "1") +
                             TestedFront::requestText(route, "2",
                                                      "Connection: close\r\n"));
        std::string bytes;
        boost::system::error_code ec;
        asio::read(socket, asio::dynamic_buffer(bytes), ec);
        INFO(bytes);
        CHECK(bytes.starts_with("HTTP/1.1 " + std::string(status, 3)));
        size_t end = bytes.find("\r\n\r\n");
        REQUIRE(end != std::string::npos);
        std::string next = bytes.substr(end + 4);
        CHECK(isCompleteSuccess(next));
      }
}

TEST_CASE("answer in an unknown transfer coding never reaches its caller") {
  const std::string chunks = chunkOf(TwoEvents) + "0\r\n\r\n";
  const char *codings[] = {
      "gzip",
      "xchunked",
      "chunked, gzip",
      "chunked, chunked",
      "chunked, identity",
      "gzip, chunked",
      "gzip\r\nTransfer-Encoding: chunked",
      "chunked;q=1",
      "gzip\r\nContent-Length: 41",
  };
  for (const char *coding : codings)
    for (const char *route : {"once", "stream"}) {
      INFO(coding << " on " << route);
      ScriptedEndpoint endpoint(
          [&](Tcp::socket &Socket, const std::string &Id) {
            sendText(Socket,
                     headOf(Id, "Transfer-Encoding: " + std::string(coding)) +
                         chunks);
            Socket.close();
          });
      TestedFront front(endpoint.address());
      std::string response = front.call(route, "1");
      INFO(response);
      CHECK(response.starts_with("HTTP/1.1 502 "));
      CHECK_FALSE(has(response, "seal"));
    }
}

TEST_CASE(
    "answer in chunks reaches its caller, however the coding is written") {
  const std::string chunks = chunkOf(TwoEvents) + "0\r\n\r\n";
  for (const char *coding :
       {"chunked", "Chunked", " chunked ", ", chunked", "identity, chunked"})
    for (const char *route : {"once", "stream"}) {
      INFO(coding << " on " << route);
      ScriptedEndpoint endpoint(
          [&](Tcp::socket &Socket, const std::string &Id) {
            sendText(Socket,
                     headOf(Id, "Transfer-Encoding: " + std::string(coding)) +
                         chunks);
          });
      TestedFront front(endpoint.address());
      std::string response = front.call(route, "1");
      INFO(response);
      CHECK(isCompleteSuccess(response));
      CHECK((has(response, "data: a") && has(response, "data: b")));
    }
}

TEST_CASE("answer with two ids or two seals never reaches its caller") {
  const char *lines[] = {
      "Sassafrasseam-Attempt-Id: 2",
      "Sassafrasseam-Attempt-Id: 1",
      "Sassafrasseam-Response-Seal: other",
      "Sassafrasseam-Response-Seal: seal",
  };
  struct Answer {
    const char *Status;
    const char *Statement;
  };
  // The last one denies a run, of whichever request.
  const Answer answers[] = {
      {"200 OK", ""},
      {"404 Not Found", ""},
      {"429 Too Many Requests", "\r\nSassafrasseam-Not-Executed: 1"},
  };
  for (const char *line : lines)
    for (const Answer &it : answers)
      for (const char *route : {"once", "stream"}) {
        INFO(line << " beside the first, " << it.Status << " on " << route);
        std::string fields =
            std::string(line) + it.Statement + "\r\nContent-Length: 30";
        ScriptedEndpoint endpoint(
            [&](Tcp::socket &Socket, const std::string &Id) {
              sendText(Socket, headOf(Id, fields, it.Status) + TwoEvents);
            });
        TestedFront front(endpoint.address());
        std::string response = front.call(route, "1");
        INFO(response);
        CHECK(response.starts_with("HTTP/1.1 502 "));
        CHECK_FALSE(has(response, "seal"));
      }
}

TEST_CASE("reset amid the upload of an agent's call fails the call") {
  for (size_t size : {ShortUpload, LongUpload}) {
    int complete = 0;
    for (int i = 0; i < 20; ++i) {
      ScriptedEndpoint endpoint([&](Tcp::socket &Socket, const std::string &) {
        sendText(Socket, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart");
        resetConnection(Socket);
      });
      asio::io_context io;
      std::optional<bool> isAnswered;
      HttpCallbacks callbacks;
      callbacks.OnHead = [](const HttpResponseHead &) {};
      callbacks.OnBody = [](std::string_view) {};
      callbacks.OnEnd = [&] { isAnswered = true; };
      callbacks.OnFailure = [&](HttpFailure) { isAnswered = false; };
      startHttpCall(io, endpoint.address(),
                    {"POST", "/state", {}, std::string(size, 'x')},
                    Millis(5'000), std::move(callbacks),
                    std::make_shared<MemoryBudget>(TestMemoryBytes));
      io.run();
      REQUIRE(isAnswered);
      complete += *isAnswered;
    }
    INFO(size << " bytes");
    CHECK(complete == 0);
  }
}

TEST_CASE("broken answers fail the exchanges of agents, health and queries") {
  const std::string good = "HTTP/1.1 200 OK\r\nSassafrasseam-Instance-Id: "
                           "i-1\r\nContent-Length: 0\r\n\r\n";
  const std::string length =
      "Content-Length: " + std::to_string(good.size()) + "\r\n";
  struct Case {
    const char *What;
    std::string Answer;
    bool IsBroken;
  };
  const Case cases[] = {
      {"good", good, false},
      {"status 000", "HTTP/1.1 000 No\r\n" + length + "\r\n" + good, true},
      {"status 600", "HTTP/1.1 600 No\r\n" + good.substr(17), true},
      {"name with a blank", "HTTP/1.1 200 OK\r\nX Bad: 1\r\n" + good.substr(17),
       true},
      {"folded line", "HTTP/1.1 200 OK\r\nX: 1\r\n 2\r\n" + good.substr(17),
       true},
      {"coding",
       "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n" + good.substr(17),
       true},
  };
  for (const Case &it : cases) {
    INFO(it.What);
    ScriptedEndpoint endpoint([&](Tcp::socket &Socket, const std::string &) {
      sendText(Socket, it.Answer);
      Socket.close();
    });
    asio::io_context io;
    Metrics counts;
    auto memory = std::make_shared<MemoryBudget>(TestMemoryBytes);
    HttpClient client(io, counts, memory);
    std::optional<bool> isAnswered;
    std::optional<InstanceAnswer> instance;
    std::optional<ProcessAnswer> process;
    HttpCallbacks callbacks;
    callbacks.OnHead = [](const HttpResponseHead &) {};
    callbacks.OnBody = [](std::string_view) {};
    callbacks.OnEnd = [&] { isAnswered = true; };
    callbacks.OnFailure = [&](HttpFailure) { isAnswered = false; };
    // As the agents of both kinds call.
    startHttpCall(io, endpoint.address(), {"GET", "/state", {}, ""},
                  Millis(500), std::move(callbacks), memory);
    TimePoint deadline = Clock::now() + Millis(500);
    startInstanceCheck(client, {endpoint.address(), "i-1", "/alive", deadline},
                       [&](const InstanceAnswer &It) { instance = It; });
    startProcessQuery(client, endpoint.address(), "i-1", deadline,
                      [&](const ProcessAnswer &It) { process = It; });
    io.run();
    CHECK(isAnswered == !it.IsBroken);
    REQUIRE(instance);
    CHECK(instance->IsRunning == !it.IsBroken);
    REQUIRE(process);
    CHECK(process->IsAnswered == !it.IsBroken);
  }
}
