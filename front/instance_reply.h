/// \file
/// How the address of an instance replied to a health check.
#ifndef SASSAFRAS_FRONT_INSTANCE_REPLY_H
#define SASSAFRAS_FRONT_INSTANCE_REPLY_H

#include <string_view>

namespace sassafras {

enum class InstanceReply {
  Instance, ///< The instance answered.
  Other,    ///< Another instance answered, or something without an id.
  Invalid,  ///< Without a valid answer, the connection ended in order.
  Refused,  ///< Nothing accepts connections.
  Reset,    ///< The connection was reset, as endpoints do at their limit.
  Silent,   ///< No answer in time.
};

/// Name of \p Reply in metrics and logs. Thread safe.
std::string_view nameOf(InstanceReply Reply);

} // namespace sassafras

#endif
