/// \file
/// Client of the replicated group for the operator's tool.
#ifndef SASSAFRAS_CTL_CLIENT_H
#define SASSAFRAS_CTL_CLIENT_H

#include "core/settings.h"
#include "core/time.h"
#include "wire/inner.pb.h"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace sassafras {

/// Sends each request to all known members of the replicated group until the
/// leader replies. Calls block. Not thread safe.
class ControlClient {
public:
  /// \p Options has the name of the fleet and the addresses of some members.
  /// \p Timeout limits the duration of each call.
  ControlClient(const Settings &Options, Millis Timeout);
  ~ControlClient();
  ControlClient(const ControlClient &) = delete;
  ControlClient &operator=(const ControlClient &) = delete;

  /// Returns the leader's status with all items whose name starts with
  /// \p Prefix, or with no items when \p Prefix is empty. Returns nothing when
  /// no leader replies in time.
  std::optional<wire::StatusReply> status(const std::string &Prefix);
  /// Replies of members other than the leader that arrived during the last
  /// call of status, by node name.
  const std::map<std::string, wire::StatusReply> &otherReplies() const;
  /// Proposes \p Command and resends it until it is decided. An empty operation
  /// id is replaced by a random one, which makes resends idempotent. Returns
  /// nothing when no leader decides in time; the command may still have been
  /// accepted.
  std::optional<wire::ProposalReply> propose(wire::Command Command);

private:
  struct Impl;
  std::unique_ptr<Impl> Data;
};

} // namespace sassafras

#endif
