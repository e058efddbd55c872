#include "tests/harness/scripted_endpoint.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <cctype>
#include <sstream>
#include <sys/socket.h>

namespace sassafras {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

void sendText(Tcp::socket &Socket, const std::string &Text) {
  boost::system::error_code ec;
  asio::write(Socket, asio::buffer(Text), ec);
}

std::string headOf(const std::string &Id, const std::string &Framing,
                   const std::string &Status) {
  return "HTTP/1.1 " + Status + "\r\nSassafrasseam-Attempt-Id: " + Id +
         "\r\nSassafrasseam-Response-Seal: seal\r\n" + Framing + "\r\n\r\n";
}

std::string chunkOf(const std::string &Text) {
  std::ostringstream size;
  size << std::hex << Text.size();
  return size.str() + "\r\n" + Text + "\r\n";
}

ScriptedEndpoint::ScriptedEndpoint(Script Reply)
    : Reply(std::move(Reply)),
      Acceptor(Io, {asio::ip::make_address("127.0.0.1"), 0}),
      Runner([this] { run(); }) {}

ScriptedEndpoint::~ScriptedEndpoint() {
  IsStopping = true;
  boost::system::error_code ec;
  Tcp::socket wake(Io);
  wake.connect(Acceptor.local_endpoint(), ec);
  Runner.join();
  for (std::thread &it : Connections)
    it.join();
}

std::string ScriptedEndpoint::address() const {
  return "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
}

std::vector<std::string> ScriptedEndpoint::heads() const {
  std::scoped_lock guard(HeadsLock);
  return Heads;
}

void ScriptedEndpoint::stopListening() {
  ::shutdown(Acceptor.native_handle(), SHUT_RDWR);
}

namespace {

/// Value of a field of \p Head, which is in lower case; empty without it.
std::string valueOf(const std::string &Head, const std::string &Name) {
  size_t at = Head.find(Name + ": ");
  if (at == std::string::npos)
    return "";
  at += Name.size() + 2;
  return Head.substr(at, Head.find('\r', at) - at);
}

} // namespace

void ScriptedEndpoint::answerHealthCheck(Tcp::socket &Socket,
                                         const std::string &Instance) {
  ++HealthChecks;
  if (Behaviour == HealthBehaviour::Wait) {
    // Until the front gives up.
    boost::system::error_code ec;
    char buf = 0;
    Socket.read_some(asio::buffer(&buf, 1), ec);
    Socket.close(ec);
    return;
  }
  if (Behaviour == HealthBehaviour::Reset) {
    Socket.set_option(asio::socket_base::linger(true, 0));
    Socket.close();
    return;
  }
  unsigned status = HealthStatus;
  if (status == 0) {
    Socket.close();
    return;
  }
  sendText(Socket, "HTTP/1.1 " + std::to_string(status) + " Health\r\n" +
                       (HasHealthId ? "Sassafrasseam-Instance-Id: " + Instance
                                    : "Sassafrasseam-Not-Executed: 1") +
                       "\r\nContent-Length: 0\r\n\r\n");
}

void ScriptedEndpoint::run() {
  for (;;) {
    Tcp::socket socket(Io);
    boost::system::error_code ec;
    Acceptor.accept(socket, ec);
    if (IsStopping || ec)
      return;
    Connections.emplace_back(
        [this, it = std::move(socket)]() mutable { serve(it); });
  }
}

void ScriptedEndpoint::serve(Tcp::socket &Socket) {
  std::string buf;
  boost::system::error_code ec;
  while (!IsStopping && Socket.is_open()) {
    size_t n =
        asio::read_until(Socket, asio::dynamic_buffer(buf), "\r\n\r\n", ec);
    if (ec)
      return;
    std::string head = buf.substr(0, n);
    buf.erase(0, n);
    for (char &it : head)
      it = static_cast<char>(std::tolower(static_cast<unsigned char>(it)));
    if (head.starts_with(std::string("get ") + ScriptedHealthPath + " ")) {
      answerHealthCheck(Socket, valueOf(head, "sassafrasseam-expect-instance"));
      continue;
    }
    ++Requests;
    {
      std::scoped_lock guard(HeadsLock);
      Heads.push_back(head);
    }
    Reply(Socket, valueOf(head, "sassafrasseam-attempt-id"));
  }
}

} // namespace sassafras
