/// \file
/// Engine process whose runs are told apart by their content. Each request's
/// query states how it is answered; each run is written to a journal, so that
/// a test can compare what callers got with what engines made. The name of a
/// run, ID/VERSION/BORN/NUMBER, is the data of its events.
///
/// GET /health names the instance, GET /report states the start of the process
/// unless -q is given; with -r, that many connections that ask for it are reset
/// first. With -d, the first announcement is that much later than
/// the start. An unframed stream that is cut between events is reset, or with
/// close=1 closed in order, as a whole one is.
///
/// Query of a request: n=EVENTS gap=MS form=chunked|unframed|plain wait=MS
/// cut=EVENT (ends the connection before this event) close=1 tear=EVENT (within
/// it) forget=1 (starts over in spite of Last-Event-Id) leave=MS (ends the
/// connection this long after the response). cut and tear apply to requests
/// without Last-Event-Id only.
///
/// Lines of the journal: `received NS ID RUN LAST FIRST` and `ended NS RUN HOW`
/// with the clock of core/time.h; LAST is -1 without Last-Event-Id, HOW is
/// whole, broke or gone.
#include "core/time.h"
#include "http/address.h"
#include "tests/harness/process_fleet.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>

#include <atomic>
#include <csignal>
#include <cstdio>
#include <fcntl.h>
#include <getopt.h>
#include <sstream>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace sassafras;
namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

namespace {

constexpr int Slots = 64;
constexpr Millis DefaultHeartbeatInterval{200};
/// Longest time without a look at the caller's connection.
constexpr Millis CallerPollInterval{20};

struct RunEngine {
  std::string Id;
  std::string Service;
  std::string Version = "v1"; ///< Of the software.
  std::string Listen;
  Millis HeartbeatInterval = DefaultHeartbeatInterval;
  Millis FirstHeartbeatDelay{0};
  bool HasReport = true;            ///< It answers GET /report.
  std::atomic<int> ReportResets{0}; ///< Questions that are still to be reset.
  std::vector<std::string> Controls;
  int Journal = -1;
  uint64_t Born = 0;
  std::atomic<uint64_t> RunCount{0};
};

struct RunRequest {
  std::string Id;
  std::string Expected; ///< Engine that the sender expects, or empty.
  std::string Path;     ///< Without the query.
  std::string Query;
  int64_t LastEvent = -1;
  uint64_t BodyBytes = 0;
  bool IsChunked = false;
};

/// Appends a line with one system call: it outlives the process.
void record(const RunEngine &Engine, const std::string &Kind,
            const std::string &Rest) {
  std::string line = Kind + " " +
                     std::to_string(Clock::now().time_since_epoch().count()) +
                     " " + Rest + "\n";
  if (::write(Engine.Journal, line.data(), line.size()) < 0)
    std::perror("run_engine: journal");
}

int64_t numberOf(const std::string &Query, const std::string &Key,
                 int64_t Default) {
  size_t at = Query.find("&" + Key + "=");
  return at == std::string::npos
             ? Default
             : std::atoll(Query.c_str() + at + Key.size() + 2);
}

RunRequest parseRequest(const std::string &Head) {
  RunRequest out;
  std::istringstream in(Head);
  std::string line;
  std::getline(in, line);
  size_t path = line.find(' ') + 1;
  out.Path = line.substr(path, line.find_first_of("? ", path) - path);
  size_t query = line.find('?');
  if (query != std::string::npos)
    out.Query = "&" + line.substr(query + 1, line.rfind(' ') - query - 1);
  while (std::getline(in, line)) {
    size_t colon = line.find(": ");
    if (colon == std::string::npos)
      continue;
    std::string name = line.substr(0, colon);
    for (char &it : name)
      it = static_cast<char>(std::tolower(static_cast<unsigned char>(it)));
    std::string value = line.substr(colon + 2);
    while (!value.empty() && value.back() == '\r')
      value.pop_back();
    if (name == "sassafrasseam-attempt-id")
      out.Id = value;
    else if (name == "sassafrasseam-expect-instance")
      out.Expected = value;
    else if (name == "last-event-id")
      out.LastEvent = std::atoll(value.c_str());
    else if (name == "content-length")
      out.BodyBytes = std::strtoull(value.c_str(), nullptr, 10);
    else if (name == "transfer-encoding")
      out.IsChunked = true;
  }
  return out;
}

/// Reads the body and leaves what follows it in \p Buffer.
bool skipBody(Tcp::socket &Socket, std::string &Buffer,
              const RunRequest &Request) {
  boost::system::error_code ec;
  if (Request.IsChunked) {
    size_t n =
        asio::read_until(Socket, asio::dynamic_buffer(Buffer), "0\r\n\r\n", ec);
    Buffer.erase(0, n);
    return !ec;
  }
  if (Buffer.size() < Request.BodyBytes)
    asio::read(Socket, asio::dynamic_buffer(Buffer),
               asio::transfer_exactly(Request.BodyBytes - Buffer.size()), ec);
  Buffer.erase(0, Request.BodyBytes);
  return !ec;
}

bool hasCallerLeft(Tcp::socket &Socket) {
  char byte = 0;
  ssize_t n = ::recv(Socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

/// Returns false if the caller has left within \p Time.
bool waitWithCaller(Tcp::socket &Socket, Millis Time) {
  TimePoint end = Clock::now() + Time;
  while (!isPast(end, Clock::now())) {
    if (hasCallerLeft(Socket))
      return false;
    std::this_thread::sleep_for(
        std::min<Clock::duration>(CallerPollInterval, end - Clock::now()));
  }
  return true;
}

bool sendText(Tcp::socket &Socket, const std::string &Text) {
  boost::system::error_code ec;
  asio::write(Socket, asio::buffer(Text), ec);
  return !ec;
}

std::string frame(const std::string &Text, bool IsChunked) {
  if (!IsChunked)
    return Text;
  std::ostringstream out;
  out << std::hex << Text.size() << "\r\n" << Text << "\r\n";
  return out.str();
}

void resetOnClose(Tcp::socket &Socket) {
  boost::system::error_code ec;
  Socket.set_option(asio::socket_base::linger(true, 0), ec);
}

/// Answers with events; returns how the run ended.
std::string runStream(Tcp::socket &Socket, const RunRequest &Request,
                      const std::string &Run, int64_t First,
                      const std::string &Head) {
  const std::string &query = Request.Query;
  bool isChunked = query.find("&form=unframed") == std::string::npos;
  bool isResumed = Request.LastEvent >= 0;
  int64_t cut = isResumed ? 0 : numberOf(query, "cut", 0);
  int64_t tear = isResumed ? 0 : numberOf(query, "tear", 0);
  if (!sendText(Socket, Head + "Content-Type: text/event-stream\r\n" +
                            (isChunked ? "Transfer-Encoding: chunked\r\n\r\n"
                                       : "Connection: close\r\n\r\n")))
    return "gone";
  for (int64_t i = First; i <= numberOf(query, "n", 10); ++i) {
    if (i == cut) {
      if (!isChunked && numberOf(query, "close", 0) == 0)
        resetOnClose(Socket);
      return "broke";
    }
    std::string event = "id: " + std::to_string(i) + "\ndata: " + Run + " " +
                        std::to_string(i) + "\n\n";
    if (i == tear) {
      sendText(Socket, frame(event.substr(0, event.size() / 2), isChunked));
      return "broke";
    }
    if (!sendText(Socket, frame(event, isChunked)) ||
        !waitWithCaller(Socket, Millis(numberOf(query, "gap", 0))))
      return "gone";
  }
  return !isChunked || sendText(Socket, "0\r\n\r\n") ? "whole" : "gone";
}

/// Answers one request; returns whether the connection stays open.
bool answer(RunEngine &Engine, Tcp::socket &Socket, const RunRequest &Request) {
  std::string head =
      "HTTP/1.1 200 OK\r\nSassafrasseam-Attempt-Id: " + Request.Id +
      "\r\nSassafrasseam-Response-Seal: seal\r\n";
  if (!Request.Expected.empty() && Request.Expected != Engine.Id)
    return sendText(
        Socket,
        "HTTP/1.1 421 Misdirected\r\nSassafrasseam-Attempt-Id: " + Request.Id +
            "\r\nSassafrasseam-Not-Executed: 1\r\n"
            "Content-Length: 0\r\n\r\n");
  if (Request.Path == "/health")
    return sendText(Socket, "HTTP/1.1 200 OK\r\nSassafrasseam-Instance-Id: " +
                                Engine.Id + "\r\nContent-Length: 0\r\n\r\n");
  if (Request.Path == "/report" && Engine.ReportResets-- > 0) {
    resetOnClose(Socket);
    return false;
  }
  if (Request.Path == "/report") {
    std::string report =
        R"({"phase":"colocated","models":[],"busy":false,"seq":0,"born":)" +
        std::to_string(Engine.Born) + "}";
    return sendText(Socket, Engine.HasReport
                                ? "HTTP/1.1 200 OK\r\nContent-Length: " +
                                      std::to_string(report.size()) +
                                      "\r\n\r\n" + report
                                : "HTTP/1.1 404 Not Found\r\n"
                                  "Content-Length: 0\r\n\r\n");
  }
  const std::string &query = Request.Query;
  std::string run = Engine.Id + "/" + Engine.Version + "/" +
                    std::to_string(Engine.Born) + "/" +
                    std::to_string(++Engine.RunCount);
  bool isForgotten = numberOf(query, "forget", 0) != 0;
  int64_t first =
      Request.LastEvent < 0 || isForgotten ? 1 : Request.LastEvent + 1;
  record(Engine, "received",
         Request.Id + " " + run + " " + std::to_string(Request.LastEvent) +
             " " + std::to_string(first));
  std::string how = "gone";
  if (waitWithCaller(Socket, Millis(numberOf(query, "wait", 0)))) {
    if (query.find("&form=plain") == std::string::npos)
      how = runStream(Socket, Request, run, first, head);
    else if (sendText(Socket,
                      head + "Content-Length: " + std::to_string(run.size()) +
                          "\r\n\r\n" + run))
      how = "whole";
  }
  record(Engine, "ended", run + " " + how);
  if (how != "whole" || query.find("&form=unframed") != std::string::npos)
    return false;
  int64_t leave = numberOf(query, "leave", -1);
  if (leave >= 0)
    std::this_thread::sleep_for(Millis(leave));
  return leave < 0;
}

void serve(RunEngine &Engine, Tcp::socket Socket) {
  std::string buf;
  boost::system::error_code ec;
  Socket.set_option(Tcp::no_delay(true), ec);
  for (;;) {
    size_t n =
        asio::read_until(Socket, asio::dynamic_buffer(buf), "\r\n\r\n", ec);
    if (ec)
      return;
    RunRequest request = parseRequest(buf.substr(0, n));
    buf.erase(0, n);
    if (!skipBody(Socket, buf, request))
      return;
    if (!answer(Engine, Socket, request)) {
      // The destructor would not reset it.
      Socket.close(ec);
      return;
    }
  }
}

void announce(const RunEngine &Engine) {
  uint64_t count = 0;
  std::this_thread::sleep_for(Engine.FirstHeartbeatDelay);
  for (size_t i = 0;; ++i) {
    boost::json::object body{{"service", Engine.Service},
                             {"address", Engine.Listen},
                             {"zone", "a"},
                             {"version", Engine.Version},
                             {"slots", Slots},
                             {"state", "ready"},
                             {"born", Engine.Born},
                             {"seq", ++count}};
    // A front that has ended gets the next heartbeat of another one.
    callHttp(Engine.Controls[i % Engine.Controls.size()],
             {"POST",
              "/Instances.Heartbeat/" + Engine.Id,
              {},
              boost::json::serialize(body)},
             std::chrono::seconds(1));
    std::this_thread::sleep_for(Engine.HeartbeatInterval);
  }
}

} // namespace

int main(int Count, char **Arguments) {
  RunEngine engine;
  int code = 0;
  while ((code = getopt(Count, Arguments, "i:s:l:c:j:v:a:d:qr:")) != -1) {
    if (code == 'i')
      engine.Id = optarg;
    else if (code == 's')
      engine.Service = optarg;
    else if (code == 'l')
      engine.Listen = optarg;
    else if (code == 'c')
      engine.Controls.push_back(optarg);
    else if (code == 'v')
      engine.Version = optarg;
    else if (code == 'a')
      engine.HeartbeatInterval = Millis(std::atoi(optarg));
    else if (code == 'd')
      engine.FirstHeartbeatDelay = Millis(std::atoi(optarg));
    else if (code == 'r')
      engine.ReportResets = std::atoi(optarg);
    else if (code == 'q')
      engine.HasReport = false;
    else if (code == 'j')
      engine.Journal =
          ::open(optarg, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  }
  std::signal(SIGPIPE, SIG_IGN);
  engine.Born = toMillis(Clock::now().time_since_epoch());
  auto address = parseAddress(engine.Listen);
  if (!address || engine.Controls.empty() || engine.Journal < 0) {
    std::fputs("usage: run_engine -i ID -s SERVICE -l ADDRESS -j JOURNAL "
               "-c CONTROL... [-v VERSION] [-a ANNOUNCEMENT-MS] "
               "[-d FIRST-ANNOUNCEMENT-MS] [-q]\n",
               stderr);
    return 2;
  }
  asio::io_context io;
  Tcp::acceptor acceptor(io,
                         {asio::ip::make_address(address->Ip), address->Port});
  std::thread([&engine] { announce(engine); }).detach();
  for (;;) {
    Tcp::socket socket(io);
    boost::system::error_code ec;
    acceptor.accept(socket, ec);
    if (!ec)
      std::thread([&engine, it = std::move(socket)]() mutable {
        serve(engine, std::move(it));
      }).detach();
  }
}
