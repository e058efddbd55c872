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

constexpr Millis WaitSlice{50};

/// Inner addresses of some members of the replicated group, by the settings
/// of any process of the fleet.
std::vector<std::string> groupAddresses(const Settings &Options) {
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
  Impl(const Settings &Options, Millis Limit)
      : Options(Options), Limit(Limit), Targets(groupAddresses(Options)),
        Peers(Io,
              LinkSelf{Options.Fleet, "ctl", makeIncarnation(), localAddress()},
              Counts, [this](wire::Envelope Message) {
                Inbox.push_back(std::move(Message));
              }) {}

  /// The control addresses tell by which interface the fleet is reached.
  std::string localAddress() const {
    const std::string &peer = Targets.front();
    bool isLocal = peer.starts_with("127.");
    return isLocal ? "127.0.0.1:0" : Options.Listen;
  }

  /// The leader need not be one of the nodes that the settings name.
  void addTarget(const std::string &Address) {
    bool isKnown = Address.empty() || std::find(Targets.begin(), Targets.end(),
                                                Address) != Targets.end();
    if (!isKnown)
      Targets.push_back(Address);
  }

  /// Sends to all control processes every so often until \p Take is content
  /// with an answer.
  bool ask(const wire::Envelope &Question,
           const std::function<bool(const wire::Envelope &)> &Take) {
    TimePoint deadline = Clock::now() + Limit;
    TimePoint nextSend;
    while (!isPast(deadline, Clock::now())) {
      if (isPast(nextSend, Clock::now())) {
        for (const std::string &it : Targets)
          Peers.send(it, Question);
        nextSend = Clock::now() + timing::ProposalRetry;
      }
      Io.restart();
      Io.run_one_for(WaitSlice);
      std::vector<wire::Envelope> inbox = std::move(Inbox);
      Inbox.clear();
      for (const wire::Envelope &it : inbox)
        if (Take(it))
          return true;
    }
    return false;
  }

  Settings Options;
  Millis Limit;
  std::vector<std::string> Targets; ///< Inner addresses of members.
  std::map<std::string, wire::StatusReply> Others;
  boost::asio::io_context Io;
  Metrics Counts;
  std::vector<wire::Envelope> Inbox;
  Link Peers;
  std::string Problem;
  uint64_t NextRequest = generateIdentity();
};

ControlClient::ControlClient(const Settings &Options, Millis Limit)
    : Data(std::make_unique<Impl>(Options, Limit)) {
  Data->Peers.start(Data->Problem);
}

ControlClient::~ControlClient() { Data->Peers.close(); }

std::optional<wire::StatusReply>
ControlClient::status(const std::string &Prefix) {
  wire::Envelope question;
  wire::StatusRequest &request = *question.mutable_status_request();
  request.set_request_id(std::to_string(Data->NextRequest++));
  request.set_with_items(!Prefix.empty());
  request.set_prefix(Prefix);
  std::optional<wire::StatusReply> answer;
  Data->Others.clear();
  Data->ask(question, [&](const wire::Envelope &It) {
    if (!It.has_status_reply() ||
        It.status_reply().request_id() != request.request_id())
      return false;
    const wire::StatusReply &reply = It.status_reply();
    if (!reply.is_leader()) {
      Data->Others[reply.node()] = reply;
      Data->addTarget(reply.leader_address());
      return false;
    }
    answer = reply;
    return true;
  });
  return answer;
}

const std::map<std::string, wire::StatusReply> &ControlClient::others() const {
  return Data->Others;
}

std::optional<wire::ProposalReply>
ControlClient::propose(wire::Command Command) {
  // The operation's id makes repeated sending of one command harmless.
  if (Command.operation_id().empty())
    Command.set_operation_id("ctl-" + std::to_string(generateIdentity()));
  wire::Envelope question;
  question.mutable_proposal()->set_request_id(
      std::to_string(Data->NextRequest++));
  *question.mutable_proposal()->mutable_command() = std::move(Command);
  std::optional<wire::ProposalReply> answer;
  Data->ask(question, [&](const wire::Envelope &It) {
    if (!It.has_proposal_reply())
      return false;
    const wire::ProposalReply &reply = It.proposal_reply();
    bool isDecided = reply.request_id() == question.proposal().request_id() &&
                     reply.status() != wire::PROPOSAL_NOT_LEADER &&
                     reply.status() != wire::PROPOSAL_OVERLOADED;
    if (isDecided)
      answer = reply;
    return isDecided;
  });
  return answer;
}

} // namespace sassafras
