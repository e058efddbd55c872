#include "tests/soak/fault_proxy.h"

#include "http/address.h"

#include <boost/asio.hpp>

#include <array>
#include <atomic>
#include <thread>
#include <vector>

namespace sassafras {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr Millis DelayTime{150};
/// Interval at which blocked bytes are retried.
constexpr Millis BlockedRetryInterval{20};

tcp::endpoint endpointOf(const std::string &Address) {
  auto parsed = parseAddress(Address);
  return {asio::ip::make_address(parsed->Ip), parsed->Port};
}

/// A caller's connection and the forwarded one to the target. Both are closed
/// when either side ends.
struct ProxyConnection : std::enable_shared_from_this<ProxyConnection> {
  ProxyConnection(asio::io_context &Io, const std::atomic<ProxyFault> &Fault)
      : Caller(Io), Target(Io), Fault(Fault) {}

  void closeBoth() {
    boost::system::error_code ec;
    // A linger time of 0 makes a close discard unread and unsent bytes and
    // reset the connection at the peer.
    asio::socket_base::linger reset(true, 0);
    if (Fault == ProxyFault::Reset)
      Caller.set_option(reset, ec);
    Caller.close(ec);
    Target.close(ec);
  }

  void readAndForward(tcp::socket &From, tcp::socket &To,
                      ProxyFault BlockingFault,
                      std::array<char, 16'384> &Buffer) {
    From.async_read_some(asio::buffer(Buffer),
                         [self = shared_from_this(), &From, &To, BlockingFault,
                          &Buffer](auto ec, size_t n) {
                           if (ec)
                             self->closeBoth();
                           else
                             self->forward(From, To, BlockingFault, Buffer, n);
                         });
  }

  void forward(tcp::socket &From, tcp::socket &To, ProxyFault BlockingFault,
               std::array<char, 16'384> &Buffer, size_t Count) {
    ProxyFault fault = Fault;
    bool isBlocked = fault == BlockingFault || fault == ProxyFault::BlockBoth;
    Millis delay = isBlocked ? BlockedRetryInterval : Millis(0);
    if (fault == ProxyFault::Delay)
      delay = DelayTime;
    auto timer =
        std::make_shared<asio::steady_timer>(From.get_executor(), delay);
    timer->async_wait([self = shared_from_this(), timer, &From, &To,
                       BlockingFault, &Buffer, Count, isBlocked](auto) {
      // TCP loses no bytes of a connection during a partition: they are
      // retransmitted once the network has recovered.
      if (isBlocked)
        self->forward(From, To, BlockingFault, Buffer, Count);
      else
        self->write(From, To, BlockingFault, Buffer, Count);
    });
  }

  void write(tcp::socket &From, tcp::socket &To, ProxyFault BlockingFault,
             std::array<char, 16'384> &Buffer, size_t Count) {
    asio::async_write(To, asio::buffer(Buffer.data(), Count),
                      [self = shared_from_this(), &From, &To, BlockingFault,
                       &Buffer](auto ec, size_t) {
                        if (ec)
                          self->closeBoth();
                        else
                          self->readAndForward(From, To, BlockingFault, Buffer);
                      });
  }

  tcp::socket Caller;
  tcp::socket Target;
  const std::atomic<ProxyFault> &Fault;
  std::array<char, 16'384> UpstreamBuffer{};
  std::array<char, 16'384> DownstreamBuffer{};
};

} // namespace

struct FaultProxy::Impl {
  Impl(const std::string &Address, const std::string &Target)
      : Acceptor(Io, endpointOf(Address)), Target(endpointOf(Target)) {
    accept();
    IoThread = std::thread([this] { Io.run(); });
  }

  void accept() {
    auto connection = std::make_shared<ProxyConnection>(Io, Fault);
    Acceptor.async_accept(connection->Caller, [this, connection](auto ec) {
      if (ec)
        return;
      Connections.push_back(connection);
      if (Fault == ProxyFault::Reset)
        connection->closeBoth();
      else
        connect(connection);
      accept();
    });
  }

  void connect(const std::shared_ptr<ProxyConnection> &Connection) {
    Connection->Target.async_connect(Target, [Connection](auto ec) {
      if (ec) {
        Connection->closeBoth();
        return;
      }
      Connection->readAndForward(Connection->Caller, Connection->Target,
                                 ProxyFault::BlockUpstream,
                                 Connection->UpstreamBuffer);
      Connection->readAndForward(Connection->Target, Connection->Caller,
                                 ProxyFault::BlockDownstream,
                                 Connection->DownstreamBuffer);
    });
  }

  asio::io_context Io;
  tcp::acceptor Acceptor;
  tcp::endpoint Target;
  std::atomic<ProxyFault> Fault{ProxyFault::None};
  std::vector<std::weak_ptr<ProxyConnection>> Connections;
  std::thread IoThread;
};

FaultProxy::FaultProxy(const std::string &Address, const std::string &Target)
    : Data(std::make_unique<Impl>(Address, Target)) {}

FaultProxy::~FaultProxy() {
  Data->Io.stop();
  Data->IoThread.join();
}

void FaultProxy::setFault(ProxyFault Fault) {
  Data->Fault = Fault;
  asio::post(Data->Io, [data = Data.get()] {
    if (data->Fault != ProxyFault::Reset)
      return;
    for (const std::weak_ptr<ProxyConnection> &it : data->Connections)
      if (auto connection = it.lock())
        connection->closeBoth();
    data->Connections.clear();
  });
}

} // namespace sassafras
