#include "wire/link.h"

#include "core/guard.h"
#include "core/logging.h"
#include "core/metrics.h"
#include "core/time.h"

#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <zmq.hpp>

#include <algorithm>
#include <cerrno>
#include <map>

namespace sassafras {

namespace {

namespace asio = boost::asio;

/// Maximum number of messages queued in each direction for one peer.
constexpr int QueueLimit = 4000;
constexpr int64_t MaxMessageBytes = 64LL * 1024 * 1024;
constexpr int ReconnectMs = 50;
constexpr int ReconnectMaxMs = 200;
/// Time for which queued messages are still sent after a socket is closed.
constexpr int LingerMs = 500;
/// The first packet to a host that is down is lost, and the kernel would repeat
/// it only after one second. A connection attempt is abandoned earlier.
constexpr int ConnectTimeoutMs = 250;
/// A connection can fail without a reset. ZeroMQ heartbeats detect this, and
/// the connection is opened again.
constexpr int HeartbeatMs = 700;
constexpr int HeartbeatTimeoutMs = 1400;
/// A peer's socket is closed if nothing was sent to it for this long, which is
/// checked at the same interval. An open socket costs heartbeats.
constexpr std::chrono::seconds PeerIdleTimeout{10};
/// Peers with an open socket; beyond it the one that was unused for longest is
/// closed.
constexpr size_t MaxPeers = 900;
/// Limit of ZeroMQ's sockets. A closed one counts until its queued messages are
/// sent.
constexpr int MaxSockets = 4096;
/// Delay before messages are received again after an unexpected error.
constexpr Millis ReceiveRetryDelay{20};
/// Maximum number of messages received before other work of the thread runs.
constexpr int ReceiveBatch = 256;

struct Peer {
  zmq::socket_t Socket;
  TimePoint LastUse;
};

bool isInterrupted(const zmq::error_t &Error) { return Error.num() == EINTR; }

} // namespace

struct Link::Impl : std::enable_shared_from_this<Link::Impl> {
  Impl(asio::io_context &Io, LinkSelf Self, Metrics &Counts, Handler OnMessage)
      : Io(Io), Self(std::move(Self)), Counts(Counts),
        OnMessage(std::move(OnMessage)), Context(1, MaxSockets),
        Inbox(Context, zmq::socket_type::pull), Descriptor(Io), Timer(Io),
        ReceiveTimer(Io) {}

  void waitReadable();
  void receiveBatch();
  bool receive(zmq::message_t &Bytes);
  void retryReceive();
  Peer *findPeer(const std::string &Address);
  void closeOldestPeer();
  void handleMessage(const zmq::message_t &Bytes);
  void refuseMessage(const wire::Envelope &Message, const std::string &Reason);
  void deliver(const std::string &Address, wire::Envelope &Message);
  void closeIdlePeers();

  asio::io_context &Io;
  LinkSelf Self;
  Metrics &Counts;
  Handler OnMessage;
  std::string Address;
  zmq::context_t Context;
  zmq::socket_t Inbox;
  asio::posix::stream_descriptor Descriptor;
  asio::steady_timer Timer;
  asio::steady_timer ReceiveTimer;
  std::map<std::string, Peer> Peers;
  bool IsClosed = false;
};

void Link::Impl::waitReadable() {
  Descriptor.async_wait(asio::posix::stream_descriptor::wait_read,
                        [self = shared_from_this()](auto ec) {
                          if (!ec && !self->IsClosed)
                            self->receiveBatch();
                        });
}

/// Receives the next message. False if there is none. A signal may interrupt
/// the call at any time.
bool Link::Impl::receive(zmq::message_t &Bytes) {
  for (;;) {
    try {
      return Inbox.recv(Bytes, zmq::recv_flags::dontwait).has_value();
    } catch (const zmq::error_t &error) {
      if (!isInterrupted(error))
        throw;
    }
  }
}

/// Receives again later, as the descriptor reports a message only once.
void Link::Impl::retryReceive() {
  ReceiveTimer.expires_after(ReceiveRetryDelay);
  ReceiveTimer.async_wait([self = shared_from_this()](auto ec) {
    if (!ec && !self->IsClosed)
      self->receiveBatch();
  });
}

void Link::Impl::receiveBatch() {
  for (int i = 0; i < ReceiveBatch; ++i) {
    zmq::message_t bytes;
    bool hasMessage = false;
    if (!runGuarded(Counts, "peer_receive",
                    [&] { hasMessage = receive(bytes); })) {
      retryReceive();
      return;
    }
    if (!hasMessage) {
      waitReadable();
      return;
    }
    handleMessage(bytes);
    if (IsClosed)
      return;
  }
  asio::post(Io, [self = shared_from_this()] {
    if (!self->IsClosed)
      self->receiveBatch();
  });
}

void Link::Impl::handleMessage(const zmq::message_t &Bytes) {
  wire::Envelope message;
  if (!message.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size()))) {
    Counts.count("link_refused_total", "reason=\"unreadable\"");
    return;
  }
  if (message.has_hello_refused()) {
    Counts.count("link_refused_total", "reason=\"by_peer\"");
    logEvent(LogLevel::Warning, "peer_refuses",
             {{"peer", message.from()},
              {"reason", message.hello_refused().reason()}});
    return;
  }
  if (message.fleet() != Self.Fleet) {
    refuseMessage(message, "other fleet");
    return;
  }
  if (message.version() != ProtocolVersion) {
    refuseMessage(message, "unknown protocol version");
    return;
  }
  runGuarded(Counts, "peer_message", [&] { OnMessage(std::move(message)); });
}

void Link::Impl::refuseMessage(const wire::Envelope &Message,
                               const std::string &Reason) {
  Counts.count("link_refused_total", "reason=\"" + Reason + "\"");
  logEvent(LogLevel::Warning, "peer_refused",
           {{"peer", Message.from()}, {"reason", Reason}});
  if (Message.reply_address().empty())
    return;
  wire::Envelope refusal;
  refusal.mutable_hello_refused()->set_reason(Reason);
  deliver(Message.reply_address(), refusal);
}

void Link::Impl::closeOldestPeer() {
  auto oldest = std::min_element(Peers.begin(), Peers.end(),
                                 [](const auto &A, const auto &B) {
                                   return A.second.LastUse < B.second.LastUse;
                                 });
  if (oldest == Peers.end())
    return;
  Peers.erase(oldest);
  Counts.count("link_peers_closed_total", "reason=\"limit\"");
}

/// The peer at \p Address, connected if it is new. Null if that fails.
Peer *Link::Impl::findPeer(const std::string &Address) {
  auto it = Peers.find(Address);
  if (it != Peers.end())
    return &it->second;
  if (Peers.size() >= MaxPeers)
    closeOldestPeer();
  try {
    zmq::socket_t socket(Context, zmq::socket_type::push);
    socket.set(zmq::sockopt::sndhwm, QueueLimit);
    socket.set(zmq::sockopt::linger, LingerMs);
    socket.set(zmq::sockopt::reconnect_ivl, ReconnectMs);
    socket.set(zmq::sockopt::reconnect_ivl_max, ReconnectMaxMs);
    socket.set(zmq::sockopt::connect_timeout, ConnectTimeoutMs);
    socket.set(zmq::sockopt::heartbeat_ivl, HeartbeatMs);
    socket.set(zmq::sockopt::heartbeat_timeout, HeartbeatTimeoutMs);
    socket.connect("tcp://" + Address);
    Peer peer{std::move(socket), Clock::now()};
    return &Peers.emplace(Address, std::move(peer)).first->second;
  } catch (const zmq::error_t &error) {
    // The address is not one, or sockets or descriptors are used up.
    bool isShort = error.num() == EMFILE || error.num() == ENFILE;
    Counts.count("link_dropped_total",
                 isShort ? "reason=\"no_socket\"" : "reason=\"bad_address\"");
    if (isShort)
      closeOldestPeer();
    return nullptr;
  }
}

void Link::Impl::deliver(const std::string &Address, wire::Envelope &Message) {
  if (IsClosed || Address.empty())
    return;
  Peer *peer = findPeer(Address);
  if (!peer)
    return;
  peer->LastUse = Clock::now();
  Message.set_fleet(Self.Fleet);
  Message.set_version(ProtocolVersion);
  Message.set_from(Self.Node);
  Message.set_incarnation(Self.Incarnation);
  Message.set_reply_address(this->Address);
  std::string bytes = Message.SerializeAsString();
  Counts.count("link_sent_total");
  Counts.count("link_sent_bytes_total",
               "kind=\"" + std::to_string(Message.body_case()) + "\"",
               bytes.size());
  for (;;) {
    try {
      if (!peer->Socket.send(zmq::buffer(bytes), zmq::send_flags::dontwait))
        Counts.count("link_dropped_total", "reason=\"queue_full\"");
      return;
    } catch (const zmq::error_t &error) {
      if (isInterrupted(error))
        continue;
      Counts.count("link_dropped_total", "reason=\"send_failed\"");
      logEvent(LogLevel::Warning, "peer_send_failed",
               {{"address", Address}, {"reason", error.what()}});
      return;
    }
  }
}

void Link::Impl::closeIdlePeers() {
  Timer.expires_after(PeerIdleTimeout);
  Timer.async_wait([self = shared_from_this()](auto ec) {
    if (ec)
      return;
    std::erase_if(self->Peers, [](const auto &it) {
      return Clock::now() - it.second.LastUse > PeerIdleTimeout;
    });
    self->closeIdlePeers();
  });
}

Link::Link(asio::io_context &Io, LinkSelf Self, Metrics &Counts,
           Handler OnMessage)
    : Data(std::make_shared<Impl>(Io, std::move(Self), Counts,
                                  std::move(OnMessage))) {}

Link::~Link() { close(); }

bool Link::start(StartProblem &Problem) {
  Impl &data = *Data;
  try {
    data.Inbox.set(zmq::sockopt::rcvhwm, QueueLimit);
    data.Inbox.set(zmq::sockopt::maxmsgsize, MaxMessageBytes);
    data.Inbox.set(zmq::sockopt::linger, 0);
    data.Inbox.bind("tcp://" + data.Self.Listen);
    std::string bound = data.Inbox.get(zmq::sockopt::last_endpoint);
    data.Address = bound.substr(bound.find("//") + 2);
    data.Descriptor.assign(data.Inbox.get(zmq::sockopt::fd));
  } catch (const zmq::error_t &error) {
    Problem.Reason =
        "cannot listen at " + data.Self.Listen + ": " + error.what();
    Problem.IsTemporary =
        error.num() == EADDRINUSE || error.num() == EADDRNOTAVAIL;
    return false;
  }
  // The descriptor of a ZeroMQ socket is edge-triggered: messages that arrived
  // earlier must be received before the first wait.
  asio::post(data.Io, [self = Data] {
    if (!self->IsClosed)
      self->receiveBatch();
  });
  data.closeIdlePeers();
  return true;
}

const std::string &Link::address() const { return Data->Address; }

void Link::send(const std::string &Address, wire::Envelope Message) {
  asio::post(Data->Io,
             [self = Data, Address, message = std::move(Message)]() mutable {
               self->deliver(Address, message);
             });
}

void Link::close() {
  Impl &data = *Data;
  if (data.IsClosed)
    return;
  data.IsClosed = true;
  data.Timer.cancel();
  data.ReceiveTimer.cancel();
  if (data.Descriptor.is_open())
    data.Descriptor.release();
  data.Peers.clear();
  data.Inbox.close();
}

} // namespace sassafras
