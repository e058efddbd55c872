#include "ctl/client.h"

#include "core/hash.h"
#include "core/metrics.h"
#include "core/timing.h"
#include "http/address.h"
#include "wire/link.h"

#include <algorithm>
#include <functional>

namespace sassafras {

namespace {

/// Longest wait for a message before the deadline is checked again.
constexpr Millis PollInterval{50};

/// Returns the internal addresses of some members of the replicated group, from
/// the settings of any process of the fleet.
std::vector<std::string> listMemberAddresses(const Settings &Options) {
  std::vector<std::string> out = Options.Control;
  const std::vector<std::string> &seeds = Options.Role == NodeRole::Front
                                              ? Options.FrontRole.Seeds
                                              : Options.EngineAgentRole.Seeds;
  for (const std::string &it : seeds)
    out.push_back(replacePort(it, Options.Listen));
  return out;
}

} // namespace

struct ControlClient::Impl {
  Impl(const Settings &Options, Millis Timeout)
      : Options(Options), Timeout(Timeout),
        Targets(listMemberAddresses(Options)),
        Peers(Io,
              LinkSelf{Options.Fleet, "ctl", makeIncarnation(), localAddress()},
              Counts, [this](wire::Envelope Message) {
                Inbox.push_back(std::move(Message));
              }) {}

  /// Returns the address to listen on. The first member's address shows by
  /// which interface the fleet is reached: for a fleet on loopback it is
  /// loopback with any free port, else the configured address.
  std::string localAddress() const {
    const std::string &peer = Targets.front();
    bool isLocal = peer.starts_with("127.");
    return isLocal ? "127.0.0.1:0" : Options.Listen;
  }

  /// Adds \p Address unless it is empty or known. The leader need not be one
  /// of the nodes that the settings list.
  void addTarget(const std::string &Address) {
    bool isKnown = Address.empty() || std::find(Targets.begin(), Targets.end(),
                                                Address) != Targets.end();
    if (!isKnown)
      Targets.push_back(Address);
  }

  /// Sends \p Request to all targets and resends it every
  /// timing::ProposalRetry until \p Accept returns true for a received message.
  /// Returns false when the time is up.
  bool exchange(const wire::Envelope &Request,
                const std::function<bool(const wire::Envelope &)> &Accept) {
    TimePoint deadline = Clock::now() + Timeout;
    TimePoint nextSend;
    while (!isPast(deadline, Clock::now())) {
      if (isPast(nextSend, Clock::now())) {
        for (const std::string &it : Targets)
          Peers.send(it, Request);
        nextSend = Clock::now() + timing::ProposalRetry;
      }
      Io.restart();
      Io.run_one_for(PollInterval);
      std::vector<wire::Envelope> inbox = std::move(Inbox);
      Inbox.clear();
      for (const wire::Envelope &it : inbox)
        if (Accept(it))
          return true;
    }
    return false;
  }

  Settings Options;
  Millis Timeout;
  std::vector<std::string> Targets; ///< Internal addresses of members.
  std::map<std::string, wire::StatusReply> OtherReplies;
  boost::asio::io_context Io;
  Metrics Counts;
  std::vector<wire::Envelope> Inbox;
  Link Peers;
  StartProblem Problem;
  uint64_t NextRequest = generateIdentity();
};

ControlClient::ControlClient(const Settings &Options, Millis Timeout)
    : Data(std::make_unique<Impl>(Options, Timeout)) {
  Data->Peers.start(Data->Problem);
}

ControlClient::~ControlClient() { Data->Peers.close(); }

std::optional<wire::StatusReply>
ControlClient::status(const std::string &Prefix) {
  wire::Envelope envelope;
  wire::StatusRequest &request = *envelope.mutable_status_request();
  request.set_request_id(std::to_string(Data->NextRequest++));
  request.set_with_items(!Prefix.empty());
  request.set_prefix(Prefix);
  std::optional<wire::StatusReply> result;
  Data->OtherReplies.clear();
  Data->exchange(envelope, [&](const wire::Envelope &It) {
    if (!It.has_status_reply() ||
        It.status_reply().request_id() != request.request_id())
      return false;
    const wire::StatusReply &reply = It.status_reply();
    if (!reply.is_leader()) {
      Data->OtherReplies[reply.node()] = reply;
      Data->addTarget(reply.leader_address());
      return false;
    }
    result = reply;
    return true;
  });
  return result;
}

const std::map<std::string, wire::StatusReply> &
ControlClient::otherReplies() const {
  return Data->OtherReplies;
}

std::optional<wire::ProposalReply>
ControlClient::propose(wire::Command Command) {
  // The operation id makes resends of one command idempotent.
  if (Command.operation_id().empty())
    Command.set_operation_id("ctl-" + std::to_string(generateIdentity()));
  wire::Envelope envelope;
  envelope.mutable_proposal()->set_request_id(
      std::to_string(Data->NextRequest++));
  *envelope.mutable_proposal()->mutable_command() = std::move(Command);
  std::optional<wire::ProposalReply> result;
  Data->exchange(envelope, [&](const wire::Envelope &It) {
    if (!It.has_proposal_reply())
      return false;
    const wire::ProposalReply &reply = It.proposal_reply();
    Data->addTarget(reply.leader_address());
    bool isDecided = reply.request_id() == envelope.proposal().request_id() &&
                     reply.status() != wire::PROPOSAL_NOT_LEADER &&
                     reply.status() != wire::PROPOSAL_OVERLOADED;
    if (isDecided)
      result = reply;
    return isDecided;
  });
  return result;
}

} // namespace sassafras
