/// \file
/// Asks whether an instance still runs. The kernel closes the connections of a
/// process that was killed in order, so that the end of one does not tell.
#ifndef SASSAFRAS_FRONT_INSTANCE_CHECK_H
#define SASSAFRAS_FRONT_INSTANCE_CHECK_H

#include "front/instance_reply.h"
#include "http/client.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace sassafras {

struct InstanceCheck {
  std::string Address;
  std::string Instance;
  std::string HealthPath;
  TimePoint Deadline; ///< An answer is waited for until then.
};

/// What came of a check.
struct InstanceAnswer {
  /// The instance has answered, also if it is leaving or refuses the check.
  bool IsRunning = false;
  InstanceReply Reply = InstanceReply::Silent;
  std::optional<Millis> ColdLeft; ///< It states that it is cold for this long.
};

/// Calls \p Done once with the outcome, and \p Accepted, which may be empty,
/// when the connection is established. The call may be cancelled; then \p Done
/// is not called. Call on the thread that runs the client.
std::shared_ptr<HttpCall>
startInstanceCheck(HttpClient &Client, const InstanceCheck &Check,
                   std::function<void(const InstanceAnswer &)> Done,
                   std::function<void()> Accepted = {});

} // namespace sassafras

#endif
