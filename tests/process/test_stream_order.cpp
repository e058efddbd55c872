/// \file
/// The order of events that callers get when endpoints break off streams, go on
/// at another event than the one asked for, or number their events wrongly.
#include "tests/harness/scripted_endpoint.h"
#include "tests/harness/tested_front.h"

#include <boost/asio/write.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

using namespace sassafras;
using Tcp = boost::asio::ip::tcp;

namespace {

constexpr const char *Chunked = "Transfer-Encoding: chunked";
constexpr const char *Unframed = "Connection: close";

std::string eventsOf(std::initializer_list<int> Ids) {
  std::string out;
  for (int it : Ids)
    out +=
        "id: " + std::to_string(it) + "\ndata: x" + std::to_string(it) + "\n\n";
  return out;
}

/// What the endpoint does that gets one request.
struct Run {
  std::string Body;
  bool IsWhole = true; ///< Else its connection ends without the last chunk.
  const char *Framing = Chunked;
};

/// Three endpoints that play the runs one after another, whichever of them is
/// asked.
struct Play {
  explicit Play(std::deque<Run> Runs) : Runs(std::move(Runs)) {
    for (int i = 0; i < 3; ++i)
      Endpoints.push_back(std::make_unique<ScriptedEndpoint>(
          [this](Tcp::socket &Socket, const std::string &Id) {
            serve(Socket, Id);
          }));
    Front = std::make_unique<TestedFront>("");
    Front->occupy([&] {
      for (const auto &it : Endpoints)
        Front->addEndpoint(it->address());
    });
  }

  void serve(Tcp::socket &Socket, const std::string &Id) {
    Run run;
    {
      std::scoped_lock guard(Lock);
      if (Runs.empty()) {
        Socket.close();
        return;
      }
      run = Runs.front();
      Runs.pop_front();
    }
    std::string head = headOf(Id, "Content-Type: text/event-stream\r\n" +
                                      std::string(run.Framing));
    if (run.Framing == Chunked)
      sendText(Socket, head + (run.Body.empty() ? "" : chunkOf(run.Body)) +
                           (run.IsWhole ? "0\r\n\r\n" : ""));
    else
      sendText(Socket, head + run.Body);
    if (IsGoneAfterwards)
      for (const auto &it : Endpoints)
        it->stopListening();
    if (!run.IsWhole || run.Framing == Unframed)
      Socket.close();
  }

  std::string call(const std::string &Route, const std::string &Fields = "") {
    return Front->call(Route, "1", Fields);
  }

  /// Values of the Last-Event-Id field, or "none", in the order of the runs.
  std::vector<std::string> lastEventIds() const {
    std::vector<std::string> out;
    const std::string key = "last-event-id: ";
    for (const auto &endpoint : Endpoints)
      for (const std::string &it : endpoint->heads()) {
        size_t at = it.find(key);
        out.push_back(at == std::string::npos
                          ? "none"
                          : it.substr(at + key.size(),
                                      it.find('\r', at) - at - key.size()));
      }
    std::sort(out.begin(), out.end());
    return out;
  }

  std::mutex Lock;
  std::deque<Run> Runs;
  std::atomic<bool> IsGoneAfterwards{false};
  std::vector<std::unique_ptr<ScriptedEndpoint>> Endpoints;
  std::unique_ptr<TestedFront> Front;
};

/// Body of a response in chunks, also of one that broke off.
std::string bodyOf(const std::string &Response) {
  std::string out;
  size_t at = Response.find("\r\n\r\n");
  if (at == std::string::npos)
    return out;
  at += 4;
  while (at < Response.size()) {
    size_t n = std::stoul(Response.substr(at), nullptr, 16);
    at = Response.find("\r\n", at) + 2;
    out += Response.substr(at, n);
    at += n + 2;
  }
  return out;
}

} // namespace

TEST_CASE("events come once, in order and without a gap, or the stream ends "
          "without completion") {
  struct Case {
    const char *What;
    const char *Route;
    const char *Fields;
    std::deque<Run> Runs;
    std::string Body;
    bool IsComplete;
  };
  const char *resumes = "Last-Event-Id: 12\r\n";
  const Run cut{eventsOf({1, 2}), false};
  const Case cases[] = {
      {"goes on",
       "resume",
       "",
       {cut, {eventsOf({3, 4})}},
       eventsOf({1, 2, 3, 4}),
       true},
      {"starts over",
       "resume",
       "",
       {cut, {eventsOf({1, 2, 3})}, {eventsOf({1, 2, 3})}},
       eventsOf({1, 2}),
       false},
      {"starts over, the next one goes on",
       "resume",
       "",
       {cut, {eventsOf({1, 2, 3})}, {eventsOf({3, 4})}},
       eventsOf({1, 2, 3, 4}),
       true},
      {"begins later",
       "resume",
       "",
       {cut, {eventsOf({5})}, {eventsOf({5})}},
       eventsOf({1, 2}),
       false},
      {"begins later, the next one goes on",
       "resume",
       "",
       {cut, {eventsOf({5})}, {eventsOf({3, 4})}},
       eventsOf({1, 2, 3, 4}),
       true},
      {"has nothing left", "resume", "", {cut, {""}}, eventsOf({1, 2}), true},
      {"ends before the last event",
       "resume",
       "",
       {cut, {eventsOf({1})}, {eventsOf({1})}},
       eventsOf({1, 2}),
       false},
      {"starts over with a gap",
       "resume",
       "",
       {cut, {eventsOf({1, 3})}, {eventsOf({1, 3})}},
       eventsOf({1, 2}),
       false},
      {"repeats and goes back",
       "stream",
       "",
       {{eventsOf({1, 2, 2, 4, 3})}},
       eventsOf({1, 2}),
       false},
      {"goes back",
       "stream",
       "",
       {{eventsOf({1, 2, 3, 2})}},
       eventsOf({1, 2, 3}),
       false},
      {"leaves one out",
       "stream",
       "",
       {{eventsOf({1, 2, 4})}},
       eventsOf({1, 2}),
       false},
      {"leaves one out, the next one goes on",
       "resume",
       "",
       {{eventsOf({1, 2, 4})}, {eventsOf({3, 4})}},
       eventsOf({1, 2, 3, 4}),
       true},
      {"grows by other steps",
       "stream",
       "",
       {{eventsOf({10, 20, 50})}},
       eventsOf({10, 20, 50}),
       true},
      {"caller resumes, goes on",
       "resume",
       resumes,
       {{eventsOf({13, 14})}},
       eventsOf({13, 14}),
       true},
      {"caller asks to go on with a stream that is not resumable",
       "stream",
       resumes,
       {{eventsOf({1, 2, 3})}},
       eventsOf({1, 2, 3}),
       true},
      {"caller resumes, starts over",
       "resume",
       resumes,
       {{eventsOf({1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13})},
        {eventsOf({12, 13})},
        {eventsOf({1, 2})}},
       "",
       false},
      {"caller resumes, another stream",
       "resume",
       resumes,
       {{eventsOf({1, 2})}, {eventsOf({1, 2})}, {eventsOf({1, 2})}},
       "",
       false},
      {"events without ids cannot be resumed",
       "resume",
       "",
       {{"data: a\n\n", false}, {"data: a\n\ndata: b\n\n"}},
       "data: a\n\n",
       false},
      {"comments are no events",
       "resume",
       "",
       {{": a\n\n", false}, {eventsOf({1, 2})}},
       ": a\n\n" + eventsOf({1, 2}),
       true},
      {"last event without its empty line repeats",
       "stream",
       "",
       {{eventsOf({1, 2}) + "id: 2\ndata: x2\n"}},
       eventsOf({1, 2}),
       false},
  };
  for (const Case &it : cases) {
    INFO(it.What);
    Play play(it.Runs);
    std::string response = play.call(it.Route, it.Fields);
    INFO(response);
    CHECK(bodyOf(response) == it.Body);
    CHECK(isCompleteSuccess(response) == it.IsComplete);
  }
}

TEST_CASE(
    "stream that is resumed after a cut anywhere is whole byte for byte") {
  const std::string whole = "id: 1\r\ndata: a\r\n\r\nid:2\rdata: b\r\r: c\n\n"
                            "event: x\nid: 9\nid: 3\n\nid: 4\ndata: d\n\n";
  const std::map<std::string, size_t> ends = {{"1", whole.find("id:2")},
                                              {"2", whole.find(": c")},
                                              {"3", whole.find("id: 4")},
                                              {"4", whole.size()}};
  for (size_t cut = 0; cut <= whole.size(); cut += 3) {
    INFO("cut at " << cut);
    std::string last;
    for (const auto &[id, end] : ends)
      if (end <= cut)
        last = id;
    std::string rest = whole.substr(last.empty() ? 0 : ends.at(last));
    Play play({{whole.substr(0, cut), false}, {rest}});
    std::string response = play.call("resume");
    INFO(response);
    CHECK(isCompleteSuccess(response));
    std::string body = bodyOf(response);
    // A comment may come twice; a caller reads nothing from it.
    size_t comment = body.find(": c\n\n");
    if (body.size() > whole.size())
      body.erase(comment, 5);
    CHECK(body == whole);
    std::vector<std::string> expected = {last.empty() ? "none" : last, "none"};
    std::sort(expected.begin(), expected.end());
    CHECK(play.lastEventIds() == expected);
  }
}

TEST_CASE("caller's last event id reaches every endpoint that is tried") {
  Play play({{"", false}, {eventsOf({13})}});
  CHECK(isCompleteSuccess(play.call("resume", "Last-Event-Id: 12\r\n")));
  CHECK(play.lastEventIds() == std::vector<std::string>{"12", "12"});
}

TEST_CASE("stream without framing is whole only while its endpoint lives") {
  struct Case {
    const char *What;
    unsigned HealthStatus;
    bool HasHealthId;
    bool IsGone;
    bool IsComplete;
  };
  const Case cases[] = {
      {"lives", 200, true, false, true},
      {"is leaving or fails", 503, true, false, true},
      {"is full", 503, false, false, true},
      {"is gone", 200, true, true, false},
      {"another instance has its address", 421, false, false, false},
      {"something without its id has its address", 200, false, false, false},
      {"does not answer", 0, false, false, false},
  };
  for (const Case &it : cases) {
    INFO(it.What);
    Play play({{eventsOf({1, 2}), true, Unframed}});
    for (const auto &endpoint : play.Endpoints)
      endpoint->setHealthAnswer(it.HealthStatus, it.HasHealthId);
    play.IsGoneAfterwards = it.IsGone;
    TimePoint start = Clock::now();
    std::string response = play.call("stream");
    INFO(response);
    CHECK(bodyOf(response) == eventsOf({1, 2}));
    CHECK(isCompleteSuccess(response) == it.IsComplete);
    CHECK(Clock::now() - start < CallerDeadline / 2);
  }
}

// A caller may resume a stream of which only the end was lost.
TEST_CASE("stream without framing that is resumed after its last event ends") {
  Play play({{"", true, Unframed}});
  std::string response = play.call("resume", "Last-Event-Id: 2\r\n");
  INFO(response);
  CHECK(isCompleteSuccess(response));
  CHECK(bodyOf(response).empty());
}

TEST_CASE("encoding other than chunks does not frame a stream") {
  for (const char *encoding : {"identity", "gzip"}) {
    INFO(encoding);
    std::string framing = "Transfer-Encoding: " + std::string(encoding);
    Play play({{eventsOf({1, 2}), false, framing.c_str()}});
    for (const auto &it : play.Endpoints)
      it->setHealthAnswer(421, false);
    std::string response = play.call("stream");
    INFO(response);
    CHECK_FALSE(isCompleteSuccess(response));
  }
}

TEST_CASE("stream of an endpoint that was killed goes on at another") {
  Play play({{eventsOf({1, 2}), true, Unframed}, {eventsOf({3, 4})}});
  for (const auto &it : play.Endpoints)
    it->setHealthAnswer(421, false);
  std::string response = play.call("resume");
  INFO(response);
  CHECK(bodyOf(response) == eventsOf({1, 2, 3, 4}));
  CHECK(isCompleteSuccess(response));
  CHECK(play.lastEventIds() == std::vector<std::string>{"2", "none"});
}

TEST_CASE("event of another version is not counted as forwarded") {
  std::atomic<size_t> runs{0};
  std::vector<std::unique_ptr<ScriptedEndpoint>> endpoints;
  std::unique_ptr<TestedFront> front;
  for (int i = 0; i < 3; ++i)
    endpoints.push_back(std::make_unique<ScriptedEndpoint>(
        [&, i](Tcp::socket &Socket, const std::string &Id) {
          size_t run = ++runs;
          // The second endpoint has started again with other software.
          if (run == 2)
            front->occupy([&] {
              front->setSoftwareVersion(endpoints[i]->address(), "other");
            });
          sendText(Socket,
                   headOf(Id, "Content-Type: text/event-stream\r\n"
                              "Transfer-Encoding: chunked") +
                       chunkOf(run == 1 ? eventsOf({1, 2}) : eventsOf({3, 4})));
          if (run == 1)
            Socket.close();
          else
            sendText(Socket, "0\r\n\r\n");
        }));
  front = std::make_unique<TestedFront>("");
  front->occupy([&] {
    for (const auto &it : endpoints)
      front->addEndpoint(it->address());
  });
  std::string response = front->call("resume", "1");
  INFO(response);
  CHECK(runs == 3);
  CHECK(bodyOf(response) == eventsOf({1, 2, 3, 4}));
  CHECK(isCompleteSuccess(response));
}

TEST_CASE("endpoint that repeats events without end is cut off") {
  std::atomic<bool> isCutOff{false};
  ScriptedEndpoint endpoint([&](Tcp::socket &Socket, const std::string &Id) {
    sendText(Socket, headOf(Id, "Content-Type: text/event-stream\r\n"
                                "Transfer-Encoding: chunked"));
    boost::system::error_code ec;
    for (int i = 1; i < 1'000'000 && !ec; ++i) {
      std::string text = chunkOf(eventsOf({i}));
      boost::asio::write(Socket, boost::asio::buffer(text), ec);
      std::this_thread::sleep_for(Millis(1));
    }
    isCutOff = ec.failed();
    Socket.close(ec);
  });
  TestedFront front(endpoint.address());
  TimePoint start = Clock::now();
  std::string response =
      front.call("resume", "1", "Last-Event-Id: 900000000\r\n");
  CHECK(bodyOf(response).empty());
  CHECK_FALSE(isCompleteSuccess(response));
  CHECK(Clock::now() - start < CallerDeadline / 2);
  for (int i = 0; i < 100 && !isCutOff; ++i)
    std::this_thread::sleep_for(Millis(20));
  CHECK(isCutOff);
}
