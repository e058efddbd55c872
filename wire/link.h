/// \file
/// One-way messages between the processes of a fleet over ZeroMQ.
///
/// Each process pulls at its own address and pushes to its peers. Messages
/// may be lost, late or doubled after a reconnect; the protocol above copes.
#ifndef SASSAFRAS_WIRE_LINK_H
#define SASSAFRAS_WIRE_LINK_H

#include "wire/inner.pb.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace sassafras {

class Metrics;

/// Version of the inner protocol. Others are refused.
inline constexpr uint32_t ProtocolVersion = 1;

/// Who this process is to its peers.
struct LinkSelf {
  std::string Fleet;
  std::string Node;
  uint64_t Incarnation = 0;
  std::string Listen; ///< IP and port; port 0 takes any free one.
};

class Link {
public:
  using Handler = std::function<void(wire::Envelope)>;

  /// \p OnMessage is called on the thread that runs \p Io, with envelopes of
  /// the own fleet and version only.
  Link(boost::asio::io_context &Io, LinkSelf Self, Metrics &Counts,
       Handler OnMessage);
  ~Link();
  Link(const Link &) = delete;
  Link &operator=(const Link &) = delete;

  /// Binds and starts to receive. False, with the reason in \p Problem, when
  /// the address cannot be used. Call once, before other threads send.
  bool start(std::string &Problem);
  /// Address that peers reach, with the port that was taken.
  const std::string &address() const;
  /// Sends to \p Address unless its queue is full. Thread safe.
  void send(const std::string &Address, wire::Envelope Message);
  /// Gives queued messages a moment to leave and closes. Call on the thread
  /// that runs the context.
  void close();

private:
  struct Impl;
  std::shared_ptr<Impl> Data;
};

} // namespace sassafras

#endif
