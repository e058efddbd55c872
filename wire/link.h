/// \file
/// One-way messages between the processes of a fleet over ZeroMQ.
///
/// Each process receives on a PULL socket at its own address and sends to each
/// peer over a PUSH socket. Messages may be lost, delayed, or duplicated after
/// a reconnect; callers must tolerate this.
#ifndef SASSAFRAS_WIRE_LINK_H
#define SASSAFRAS_WIRE_LINK_H

#include "core/start_problem.h"
#include "wire/inner.pb.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace sassafras {

class Metrics;

/// Version of the protocol between the processes of a fleet. Messages of other
/// versions are refused.
inline constexpr uint32_t ProtocolVersion = 1;

/// Identification of the local process to its peers, and its listen address.
struct LinkSelf {
  std::string Fleet;
  std::string Node;
  uint64_t Incarnation = 0;
  std::string Listen; ///< IP address and port; port 0 selects a free one.
};

/// Message transport of one process.
class Link {
public:
  using Handler = std::function<void(wire::Envelope)>;

  /// Calls \p OnMessage on the thread that runs \p Io, only with envelopes of
  /// the same fleet and protocol version. \p Io must run on a single thread.
  Link(boost::asio::io_context &Io, LinkSelf Self, Metrics &Counts,
       Handler OnMessage);
  ~Link();
  Link(const Link &) = delete;
  Link &operator=(const Link &) = delete;

  /// Binds the listen address and starts to receive. Returns false, with the
  /// reason in \p Problem, if the address cannot be used. Must be called once,
  /// before other threads send.
  bool start(StartProblem &Problem);
  /// Returns the address at which peers reach this process, with the bound
  /// port. Empty before start().
  const std::string &address() const;
  /// Queues \p Message for \p Address and drops it if that queue is full.
  /// Thread safe.
  void send(const std::string &Address, wire::Envelope Message);
  /// Closes all sockets. Queued messages are still sent for at most 500 ms.
  /// Must be called on the thread that runs the io_context.
  void close();

private:
  struct Impl;
  std::shared_ptr<Impl> Data;
};

} // namespace sassafras

#endif
