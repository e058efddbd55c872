/// \file
/// Asks the control processes on behalf of an operator.
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

/// Not thread safe; each call waits for its answer.
class ControlClient {
public:
  /// \p Options name the fleet and its control addresses; \p Limit bounds
  /// each call.
  ControlClient(const Settings &Options, Millis Limit);
  ~ControlClient();
  ControlClient(const ControlClient &) = delete;
  ControlClient &operator=(const ControlClient &) = delete;

  /// Answer of the leader about everything under \p Prefix. Nothing when no
  /// leader answers in time.
  std::optional<wire::StatusReply> status(const std::string &Prefix);
  /// Answers of members other than the leader that came in during the last
  /// call of status, by node.
  const std::map<std::string, wire::StatusReply> &others() const;
  /// Proposes \p Command, again until it is decided. Nothing when no leader
  /// decides in time; the command may have been accepted all the same.
  std::optional<wire::ProposalReply> propose(wire::Command Command);

private:
  struct Impl;
  std::unique_ptr<Impl> Data;
};

} // namespace sassafras

#endif
