/// \file
/// Decides whether an endpoint has ended a stream, or was ended itself. A
/// stream with neither a length nor chunks ends with its connection, and the
/// kernel closes the connections of a killed process in order, too.
///
/// Load pattern: all slots of an endpoint are taken. A health check waits there
/// like any other request, or its connection is reset because there are too
/// many; neither says that the process has ended. Meanwhile endpoints are
/// killed and start again under their ids, and fronts are paused.
#ifndef SASSAFRAS_FRONT_STREAM_END_H
#define SASSAFRAS_FRONT_STREAM_END_H

#include "front/front_state.h"
#include "front/instance_reply.h"

#include <optional>
#include <string>
#include <string_view>

namespace sassafras {

/// End of a stream and what was known of the endpoint's process.
struct StreamEnd {
  std::string Endpoint;
  uint64_t BornMs = 0;    ///< Known when the request was sent; 0 if not known.
  uint64_t EndBornMs = 0; ///< Known when the end was read.
  uint64_t EndSequence = 0; ///< Of the latest announcement at that time.
  /// When the end arrived at this host; zero if that is not known.
  TimePoint EndedAt;
  /// When this process read it, or went on after a pause since.
  TimePoint ReadAt;
};

/// What has been seen of the endpoint since.
struct StreamEndEvidence {
  /// The connection of the latest health check was accepted; zero until then.
  TimePoint AcceptedAt;
  std::optional<InstanceReply> Reply; ///< To that check; nothing until then.
  /// A connection that is older than the end is open.
  bool HasOlderConnection = false;
};

/// By what a stream's end is decided.
enum class StreamEndSign {
  Pending,
  // The process still runs.
  Answered,        ///< It has answered a health check.
  Accepted,        ///< It has accepted a connection and kept it open.
  OlderConnection, ///< It has kept a connection open.
  Announced,       ///< It has announced itself.
  // The process has ended.
  Refused,       ///< Nothing accepts connections at its address.
  OtherInstance, ///< Something else is at its address.
  OtherProcess,  ///< Another process announces itself under its id.
};

/// Name of \p Sign in metrics and logs.
std::string_view nameOf(StreamEndSign Sign);
/// True if \p Sign shows that the process still runs.
bool isLifeSign(StreamEndSign Sign);

/// The end of a stream that was sent to \p Endpoint when its process was known
/// by \p BornMs. Thread safe while \p State does not change, as the function
/// below.
StreamEnd makeStreamEnd(const FrontState &State, const std::string &Endpoint,
                        uint64_t BornMs, TimePoint EndedAt, TimePoint Now);
StreamEndSign judgeStreamEnd(const FrontState &State, const StreamEnd &End,
                             const StreamEndEvidence &Evidence, TimePoint Now);

} // namespace sassafras

#endif
