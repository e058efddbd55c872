#include "tests/soak/soak_caller.h"

#include "http/address.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <sys/socket.h>
#include <thread>

namespace sassafras {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

namespace {

constexpr std::chrono::seconds ConnectTimeout{1};
/// A caller waits for this long beyond its deadline.
constexpr Millis LateTime{500};
/// Bytes that a caller reads at once, so that slow ones need many reads.
constexpr size_t ReadSize = 1024;
constexpr const char *RequestBody = "body of the request";

std::string headOf(const CallerRecord &Record) {
  std::string out =
      "POST " + Record.Target +
      " HTTP/1.1\r\nHost: h.example\r\n"
      "Authorization: Bearer secret-key\r\n"
      "Sassafrasseam-Attempt-Id: " +
      Record.Id + "\r\nSassafrasseam-Deadline-Ms: " +
      std::to_string(toMillis(Record.Deadline - Clock::now())) +
      "\r\nContent-Length: " + std::to_string(std::string(RequestBody).size()) +
      "\r\n";
  if (Record.LastEvent >= 0)
    out += "Last-Event-Id: " + std::to_string(Record.LastEvent) +
           "\r\nResumes: " + Record.StreamId + "\r\n";
  return out + "\r\n";
}

CallerEnd endOf(unsigned Status) {
  if (Status == 200)
    return CallerEnd::Whole;
  bool isRefusal =
      Status == 429 || Status == 503 || Status == 408 || Status == 421;
  return isRefusal ? CallerEnd::Refused : CallerEnd::Error;
}

} // namespace

struct SoakCaller::Impl {
  beast::error_code write(const std::string &Text) {
    beast::error_code out;
    asio::async_write(Stream, asio::buffer(Text),
                      [&](auto ec, size_t) { out = ec; });
    run();
    return out;
  }

  void run() {
    Io.restart();
    Io.run();
  }

  void read(CallerRecord &Record, Millis PauseBetweenReads);

  asio::io_context Io;
  beast::tcp_stream Stream{Io};
  bool IsUsable = false;
};

SoakCaller::SoakCaller() : Data(std::make_unique<Impl>()) {}
SoakCaller::~SoakCaller() = default;

bool SoakCaller::connect(const std::string &Address) {
  close();
  auto address = parseAddress(Address);
  beast::error_code error;
  Data->Stream.expires_after(ConnectTimeout);
  Data->Stream.async_connect(
      Tcp::endpoint{asio::ip::make_address(address->Ip), address->Port},
      [&](auto ec) { error = ec; });
  Data->run();
  Data->IsUsable = !error;
  if (!error)
    Data->Stream.socket().set_option(Tcp::no_delay(true), error);
  return Data->IsUsable;
}

bool SoakCaller::isOpen() const {
  if (!Data->IsUsable)
    return false;
  char byte = 0;
  ssize_t n = ::recv(Data->Stream.socket().native_handle(), &byte, 1,
                     MSG_PEEK | MSG_DONTWAIT);
  return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void SoakCaller::close() {
  Data->IsUsable = false;
  Data->Stream.close();
}

void SoakCaller::send(CallerRecord &Record, const CallerManner &Manner) {
  Record.StartedAt = Clock::now();
  Data->Stream.expires_after(Record.Deadline + LateTime - Record.StartedAt);
  beast::error_code ec = Data->write(headOf(Record));
  std::this_thread::sleep_for(Manner.PauseBeforeBody);
  if (!ec)
    ec = Data->write(RequestBody);
  if (!ec)
    Record.SentAt = Clock::now();
  // A front may answer before it has read the whole request.
  Data->read(Record, Manner.PauseBetweenReads);
  if (ec && Record.Status == 0)
    Record.End = CallerEnd::ClosedBeforeSent;
  if (!Data->IsUsable)
    close();
}

void SoakCaller::Impl::read(CallerRecord &Record, Millis PauseBetweenReads) {
  beast::flat_buffer buffer(ReadSize);
  http::response_parser<http::string_body> parser;
  parser.eager(true);
  beast::error_code error;
  while (!error && !parser.is_done()) {
    http::async_read_some(Stream, buffer, parser,
                          [&](auto ec, size_t) { error = ec; });
    run();
    if (parser.is_header_done() && PauseBetweenReads != Millis(0))
      std::this_thread::sleep_for(PauseBetweenReads);
  }
  Record.EndedAt = Clock::now();
  IsUsable = !error && parser.is_done() && parser.get().keep_alive();
  if (parser.is_header_done()) {
    Record.Status = parser.get().result_int();
    Record.ResponseId = std::string(parser.get()["sassafrasseam-attempt-id"]);
    Record.Seal = std::string(parser.get()["sassafrasseam-response-seal"]);
    Record.Body = parser.get().body();
  }
  if (!error)
    Record.End = endOf(Record.Status);
  else if (error == beast::error::timeout)
    Record.End = CallerEnd::TimedOut;
  else
    Record.End = parser.is_header_done() ? CallerEnd::Broken
                                         : CallerEnd::ClosedUnanswered;
}

} // namespace sassafras
