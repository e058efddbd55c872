/// \file
/// What callers get when an endpoint misbehaves on the connection: late second
/// answers, answers that break off, bytes without end, slow and stalled
/// streams.
#include "http/client.h"
#include "tests/harness/scripted_endpoint.h"
#include "tests/harness/tested_front.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <thread>

using namespace sassafras;
namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

namespace {

/// An endpoint that sends bytes without end is cut off after this many. Most of
/// them are in the kernel's buffers of both sides.
constexpr size_t EndlessBytesLimit = 16'000'000;

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

TEST_CASE("answer cut anywhere in its head never looks whole") {
  const char *framings[] = {"Content-Length: 12", "Transfer-Encoding: chunked",
                            "Connection: close"};
  const char *before[] = {"", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"};
  for (const char *framing : framings)
    for (const char *informational : before)
      for (const char *route : {"once", "stream"}) {
        std::string head = informational + headOf("1", framing);
        for (size_t cut = 1; cut < head.size(); cut += 3) {
          INFO(framing << " on " << route << " cut at " << cut);
          ScriptedEndpoint endpoint([&](Tcp::socket &Socket, auto &) {
            sendText(Socket, head.substr(0, cut));
            Socket.close();
          });
          TestedFront front(endpoint.address());
          CHECK_FALSE(isCompleteSuccess(front.call(route, "1")));
        }
      }
}

TEST_CASE("stream that ends without framing before an event is not complete") {
  ScriptedEndpoint endpoint([&](Tcp::socket &Socket, const std::string &Id) {
    sendText(Socket, headOf(Id, "Connection: close"));
    Socket.close();
  });
  TestedFront front(endpoint.address());
  std::string response = front.call("stream", "1");
  INFO(response);
  CHECK_FALSE(isCompleteSuccess(response));
}

TEST_CASE("answer after an informational head reaches its caller") {
  ScriptedEndpoint endpoint([&](Tcp::socket &Socket, const std::string &Id) {
    sendText(Socket, "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" +
                         headOf(Id, "Content-Length: 3") + "own");
  });
  TestedFront front(endpoint.address());
  for (const char *id : {"1", "2"}) {
    std::string response = front.call("once", id);
    INFO(response);
    CHECK(isCompleteSuccess(response));
    CHECK(response.ends_with("own"));
  }
}

// Review case 3: the client threw for the request, which ended the process.
TEST_CASE("TRACE with a body ends no front") {
  ScriptedEndpoint endpoint([&](Tcp::socket &Socket, const std::string &Id) {
    sendText(Socket, headOf(Id, "Content-Length: 3") + "own");
  });
  TestedFront front(endpoint.address());
  for (const char *method : {"TRACE", "OPTIONS", "DELETE", "GET", "UNUSUAL"}) {
    INFO(method);
    Tcp::socket socket = front.connect();
    std::string request = TestedFront::requestText(
        "many", "1", "Connection: close\r\nContent-Length: 3\r\n");
    sendText(socket, method + request.substr(request.find(' ')) + "abc");
    std::string response;
    boost::system::error_code ec;
    asio::read(socket, asio::dynamic_buffer(response), ec);
    CHECK(isCompleteSuccess(response));
  }
}

TEST_CASE("answer to HEAD keeps the length that the endpoint states") {
  ScriptedEndpoint endpoint([&](Tcp::socket &Socket, const std::string &Id) {
    sendText(Socket, headOf(Id, "Content-Length: 1234"));
  });
  TestedFront front(endpoint.address());
  Tcp::socket socket = front.connect();
  std::string request =
      TestedFront::requestText("many", "1", "Connection: close\r\n");
  sendText(socket, "HEAD" + request.substr(request.find(' ')));
  std::string response;
  boost::system::error_code ec;
  asio::read(socket, asio::dynamic_buffer(response), ec);
  INFO(response);
  CHECK(response.starts_with("HTTP/1.1 200"));
  CHECK(has(response, "Content-Length: 1234\r\n"));
  CHECK(response.ends_with("\r\n\r\n"));
}

TEST_CASE("informational heads without end are cut off") {
  std::atomic<bool> isCutOff{false};
  ScriptedEndpoint endpoint([&](Tcp::socket &Socket, const std::string &) {
    boost::system::error_code ec;
    std::string text = "HTTP/1.1 100 Continue\r\n\r\n";
    for (size_t n = 0; n < EndlessBytesLimit && !ec; n += text.size())
      asio::write(Socket, asio::buffer(text), ec);
    isCutOff = static_cast<bool>(ec);
    Socket.close(ec);
  });
  TestedFront front(endpoint.address());
  CHECK(front.call("once", "1").starts_with("HTTP/1.1 502"));
  for (int i = 0; i < 100 && !isCutOff; ++i)
    std::this_thread::sleep_for(Millis(20));
  CHECK(isCutOff);
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
    CHECK(cutOff == endpoint.countRequests());
    CHECK(sent / std::max<size_t>(endpoint.countRequests(), 1) <
          EndlessBytesLimit);
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
    HttpClient client(io, counts,
                      std::make_shared<MemoryBudget>(TestMemoryBytes));
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

TEST_CASE("only requests with a part that crashes endpoints are refused") {
  const std::string deadly = "Sassafrasseam-Prompt-Prefix: aa:90,dead:30,";
  const std::string sound = "Sassafrasseam-Prompt-Prefix: aa:90,bb:30,";
  std::atomic<size_t> crashes{0};
  auto script = [&](Tcp::socket &Socket, const std::string &Id) {
    sendText(Socket, headOf(Id, "Transfer-Encoding: chunked") +
                         chunkOf("id: 1\ndata: x\n\n"));
    if (!Id.starts_with("deadly")) {
      sendText(Socket, "0\r\n\r\n");
      return;
    }
    ++crashes;
    std::this_thread::sleep_for(Millis(20));
    Socket.close();
  };
  ScriptedEndpoint endpoints[] = {
      ScriptedEndpoint(script), ScriptedEndpoint(script),
      ScriptedEndpoint(script), ScriptedEndpoint(script),
      ScriptedEndpoint(script), ScriptedEndpoint(script)};
  TestedFront front("");
  front.occupy([&] {
    for (const ScriptedEndpoint &it : endpoints)
      front.addEndpoint(it.address());
  });
  std::string last;
  for (int i = 100; i < 115; ++i) {
    std::string own = std::to_string(i) + ":5\r\n";
    std::string id = std::to_string(i);
    CHECK(isCompleteSuccess(front.call("stream", "sound" + id, sound + own)));
    last = front.call("stream", "deadly" + id, deadly + own);
  }
  CHECK(crashes <= 5);
  CHECK(last.starts_with("HTTP/1.1 503"));
  CHECK(has(last, "retry-after: "));
  CHECK(has(last, R"("ran":"not_run")"));
}

TEST_CASE("endpoint gets no more requests than the limit it has stated") {
  struct Case {
    const char *Field;
    double PerSecond;
  };
  constexpr Millis RunTime{4'000};
  const Case cases[] = {{"Server-Limit: 4", 4}, {"Server-Limit: 0", 0}};
  for (const Case &it : cases) {
    INFO(it.Field);
    ScriptedEndpoint endpoint([&](Tcp::socket &Socket, const std::string &Id) {
      sendText(Socket,
               headOf(Id, std::string(it.Field) + "\r\nContent-Length: 2") +
                   "ok");
    });
    TestedFront front(endpoint.address());
    REQUIRE(isCompleteSuccess(front.call("many", "first")));
    size_t answered = 0;
    size_t sent = 0;
    TimePoint end = Clock::now() + RunTime;
    while (Clock::now() < end) {
      std::string response = front.call("many", std::to_string(++sent));
      answered += isCompleteSuccess(response);
      bool isRefusal = response.starts_with("HTTP/1.1 503") ||
                       response.starts_with("HTTP/1.1 429");
      CHECK((isCompleteSuccess(response) ||
             (isRefusal && has(response, "retry-after: "))));
    }
    double allowed = 1.5 * it.PerSecond * 4 + 5;
    CHECK(static_cast<double>(endpoint.countRequests()) <= allowed);
    // The limit is used: half of it is for each front without a leader.
    CHECK(static_cast<double>(answered) >= it.PerSecond * 4 / 4);
  }
}

TEST_CASE(
    "limit that an endpoint states in an answer out of order is ignored") {
  for (const char *it :
       {"Server-Limit: -1", "Server-Limit: x", "Server-Limit: 1e99",
        "Server-Limit: nan", "Server-Limit: 0\r\nServer-Limit: 0",
        "Server-Limit: "}) {
    INFO(it);
    ScriptedEndpoint endpoint([&](Tcp::socket &Socket, const std::string &Id) {
      sendText(Socket,
               headOf(Id, std::string(it) + "\r\nContent-Length: 2") + "ok");
    });
    TestedFront front(endpoint.address());
    for (int i = 1; i <= 20; ++i)
      CHECK(isCompleteSuccess(front.call("many", std::to_string(i))));
  }
}

namespace {

std::string refusalOf(const std::string &Id) {
  std::string id = Id.empty() ? "" : "Sassafrasseam-Attempt-Id: " + Id + "\r\n";
  return "HTTP/1.1 503 Busy\r\n" + id +
         "Sassafrasseam-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
}

/// True for an answer that says that the request has not run.
bool saysNotRun(const std::string &Response) {
  for (const char *it : {"408", "421", "429", "503"})
    if (Response.starts_with(std::string("HTTP/1.1 ") + it))
      return true;
  return false;
}

} // namespace

TEST_CASE("refusal that is written once more does not deny a later run") {
  std::atomic<size_t> runs{0};
  std::map<unsigned, std::string> refusedOn; // By the connection's port.
  std::mutex lock;
  ScriptedEndpoint endpoint([&](Tcp::socket &Socket, const std::string &Id) {
    unsigned port = Socket.remote_endpoint().port();
    std::scoped_lock guard(lock);
    std::string before = refusedOn[port];
    bool isKnown = std::any_of(refusedOn.begin(), refusedOn.end(),
                               [&](const auto &it) { return it.second == Id; });
    if (!before.empty())
      sendText(Socket, refusalOf(before));
    if (!isKnown) {
      refusedOn[port] = Id;
      sendText(Socket, refusalOf(Id));
      return;
    }
    ++runs;
    sendText(Socket, headOf(Id, "Content-Length: 2") + "ok");
  });
  TestedFront front(endpoint.address());
  for (int i = 1; i <= 10; ++i) {
    size_t before = runs;
    std::string response = front.call("once", std::to_string(i));
    INFO(response);
    CHECK_FALSE((saysNotRun(response) && runs > before));
    CHECK(runs <= before + 1);
  }
  CHECK(runs > 0);
}

TEST_CASE("refusal without an id on a kept connection denies no run") {
  std::atomic<size_t> runs{0};
  std::set<unsigned> kept; // Ports of connections with an earlier request.
  std::mutex lock;
  ScriptedEndpoint endpoint([&](Tcp::socket &Socket, const std::string &Id) {
    std::scoped_lock guard(lock);
    // Counted before the front may answer, and its caller send the next one.
    ++runs;
    if (!kept.insert(Socket.remote_endpoint().port()).second)
      sendText(Socket, refusalOf(""));
    sendText(Socket, headOf(Id, "Content-Length: 2") + "ok");
  });
  TestedFront front(endpoint.address());
  for (int i = 1; i <= 10; ++i) {
    size_t before = runs;
    std::string response = front.call("once", std::to_string(i));
    INFO(response);
    CHECK_FALSE((saysNotRun(response) && runs > before));
    CHECK(runs <= before + 1);
  }
}

TEST_CASE("error after a stream has begun never reaches its caller") {
  struct Case {
    const char *What;
    std::string FirstEvents;
    std::string Status;
    std::string Framing;
    std::string Body;
  };
  const std::string event = "id: 1\ndata: a\n\n";
  const std::string text = "ERROR TEXT";
  const Case cases[] = {
      {"error", event, "500 Failed", "Content-Length: 10", text},
      {"error without framing", event, "500 Failed", "Connection: close", text},
      {"error within an event", event + "id: 2\nda", "500 Failed",
       "Content-Length: 10", text},
      {"large error", event, "500 Failed", "Content-Length: 300000",
       text + std::string(299'990, 'x')},
      {"not found", event, "404 Not Found", "Content-Length: 10", text},
      {"page", event, "200 OK", "Content-Type: text/html\r\nContent-Length: 10",
       text},
      {"page in chunks", event, "200 OK",
       "Content-Type: text/html\r\nTransfer-Encoding: chunked",
       chunkOf(text) + "0\r\n\r\n"},
      {"page without framing", event, "200 OK",
       "Content-Type: text/html\r\nConnection: close", text},
      {"refusal", event, "503 Busy",
       "Sassafrasseam-Not-Executed: 1\r\nContent-Length: 10", text},
  };
  for (const Case &it : cases) {
    INFO(it.What);
    std::atomic<size_t> requests{0};
    auto script = [&](Tcp::socket &Socket, const std::string &Id) {
      if (++requests == 1) {
        sendText(Socket, headOf(Id, "Content-Type: text/event-stream\r\n"
                                    "Transfer-Encoding: chunked") +
                             chunkOf(it.FirstEvents));
        Socket.close();
        return;
      }
      sendText(Socket, headOf(Id, it.Framing, it.Status) + it.Body);
      if (it.Framing.find("close") != std::string::npos)
        Socket.close();
    };
    ScriptedEndpoint one(script);
    ScriptedEndpoint two(script);
    TestedFront front(one.address());
    front.occupy([&] { front.addEndpoint(two.address()); });
    std::string response = front.call("resume", "1");
    INFO(response);
    CHECK(requests > 1);
    CHECK(has(response, "data: a"));
    CHECK_FALSE(has(response, "ERROR"));
    CHECK_FALSE(has(response, "HTTP/1.1 5"));
    CHECK_FALSE(isCompleteSuccess(response));
  }
}

TEST_CASE("stream is not appended to a large error") {
  std::atomic<size_t> requests{0};
  auto script = [&](Tcp::socket &Socket, const std::string &Id) {
    if (++requests == 1)
      sendText(Socket, headOf(Id, "Transfer-Encoding: chunked", "500 Failed") +
                           chunkOf(std::string(300'000, 'x')) + "0\r\n\r\n");
    else
      sendText(Socket, headOf(Id, "Content-Type: text/event-stream\r\n"
                                  "Transfer-Encoding: chunked") +
                           chunkOf("id: 1\ndata: a\n\n") + "0\r\n\r\n");
  };
  ScriptedEndpoint one(script);
  ScriptedEndpoint two(script);
  TestedFront front(one.address());
  front.occupy([&] { front.addEndpoint(two.address()); });
  std::string response = front.call("resume", "1");
  bool isError = response.starts_with("HTTP/1.1 500");
  CHECK_FALSE((isError && has(response, "data: a")));
}

TEST_CASE("endpoint that states that it leaves gets no further requests") {
  for (const char *field : {"Server-Leaving: 1", "Server-Leaving: 0"}) {
    INFO(field);
    ScriptedEndpoint endpoint([&](Tcp::socket &Socket, const std::string &Id) {
      sendText(Socket,
               headOf(Id, std::string(field) + "\r\nContent-Length: 2") + "ok");
    });
    TestedFront front(endpoint.address());
    CHECK(isCompleteSuccess(front.call("many", "0")));
    for (int i = 1; i <= 5; ++i) {
      TimePoint start = Clock::now();
      std::string response = front.call("many", std::to_string(i));
      bool isLeaving = has(field, "1");
      CHECK(isCompleteSuccess(response) != isLeaving);
      CHECK(Clock::now() - start < CallerDeadline / 2);
    }
    CHECK(endpoint.countRequests() == (has(field, "1") ? 1 : 6));
  }
}

TEST_CASE("endpoint that asks for a pause gets no requests until its end") {
  struct Case {
    const char *Value;
    Millis Pause;
  };
  // The last two are not read.
  const Case cases[] = {{"1", Millis(1'000)},
                        {"0.4", Millis(400)},
                        {"-5", Millis(0)},
                        {"1e9", Millis(0)}};
  for (const Case &it : cases) {
    INFO(it.Value);
    std::atomic<bool> isFirst{true};
    std::atomic<int64_t> refusedAt{0};
    std::atomic<int64_t> nextAt{0};
    auto now = [] { return Clock::now().time_since_epoch().count(); };
    ScriptedEndpoint endpoint([&](Tcp::socket &Socket, const std::string &Id) {
      if (!isFirst.exchange(false)) {
        int64_t none = 0;
        nextAt.compare_exchange_strong(none, now());
        sendText(Socket, headOf(Id, "Content-Length: 2") + "ok");
        return;
      }
      refusedAt = now();
      sendText(Socket,
               headOf(Id,
                      "Sassafrasseam-Not-Executed: 1\r\nRetry-After: " +
                          std::string(it.Value) + "\r\nContent-Length: 0",
                      "503 Busy"));
    });
    TestedFront front(endpoint.address());
    // The pause ends in time: the request waits for it.
    CHECK(isCompleteSuccess(front.call("many", "1")));
    auto gap = std::chrono::nanoseconds(nextAt - refusedAt);
    CHECK(gap >= it.Pause);
    CHECK(gap < it.Pause + Millis(600));
  }
}

TEST_CASE("request that cannot wait for a pause is refused at once") {
  ScriptedEndpoint endpoint([&](Tcp::socket &Socket, const std::string &Id) {
    sendText(Socket, headOf(Id,
                            "Sassafrasseam-Not-Executed: 1\r\nRetry-After: 20"
                            "\r\nContent-Length: 0",
                            "503 Busy"));
  });
  TestedFront front(endpoint.address());
  for (int i = 1; i <= 5; ++i) {
    TimePoint start = Clock::now();
    std::string response = front.call("many", std::to_string(i));
    CHECK(response.starts_with("HTTP/1.1 503"));
    CHECK(Clock::now() - start < Millis(500));
    size_t at = response.find("retry-after: ");
    REQUIRE(at != std::string::npos);
    CHECK(std::stod(response.substr(at + 13)) >= 19);
  }
  CHECK(endpoint.countRequests() == 1);
}

TEST_CASE("request on a kept connection that ends meanwhile is answered") {
  constexpr int Rounds = 20;
  for (bool isReset : {false, true})
    for (const char *route : {"once", "many", "stream"}) {
      INFO(route << ", reset " << isReset);
      std::mutex mutex;
      std::set<std::string> cut;
      ScriptedEndpoint endpoint(
          [&](Tcp::socket &Socket, const std::string &Id) {
            std::unique_lock guard(mutex);
            if (Id.starts_with("first") || !cut.insert(Id).second) {
              sendText(Socket, headOf(Id, "Content-Length: 2") + "ok");
              return;
            }
            guard.unlock();
            boost::system::error_code ec;
            if (isReset)
              Socket.set_option(boost::asio::socket_base::linger(true, 0), ec);
            Socket.close(ec);
          });
      TestedFront front(endpoint.address());
      for (int i = 0; i < Rounds; ++i) {
        std::string n = std::to_string(i);
        REQUIRE(isCompleteSuccess(front.call("many", "first" + n)));
        std::string response = front.call(route, "second" + n);
        INFO(response);
        if (std::string(route) == "many")
          CHECK(isCompleteSuccess(response));
        else
          CHECK(response.starts_with("HTTP/1.1 502"));
      }
    }
}
