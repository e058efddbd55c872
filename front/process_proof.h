/// \file
/// Decides whether the process that answers a resumed stream is the one whose
/// software version is known.
///
/// Load pattern: an endpoint is killed and starts again under its id with other
/// software. Until its first announcement has arrived, which may take seconds,
/// fronts know the version of the process before it.
#ifndef SASSAFRAS_FRONT_PROCESS_PROOF_H
#define SASSAFRAS_FRONT_PROCESS_PROOF_H

#include "front/front_state.h"

#include <optional>
#include <string>
#include <string_view>

namespace sassafras {

/// A killed process loses all of its connections, and what it had sent on them
/// is read, within this time.
inline constexpr Millis LastBytesTime{100};
/// An announcement is heard this long after it was sent at most, unless it is
/// delayed.
inline constexpr Millis AnnouncementAge{1'000};

/// The process that is believed to have sent the head of a response.
struct ProcessClaim {
  std::string Endpoint;
  uint64_t BornMs = 0; ///< As known when the request was sent.
  uint64_t Sequence = 0;
  TimePoint ConnectedAt;     ///< Its connection; zero if not known.
  TimePoint HeadAt;          ///< Its head was read.
  bool IsQueried = false;    ///< The endpoint was asked after the head.
  TimePoint QueryDeadline;   ///< Without an answer by then, it counts as ended.
  TimePoint AnnouncementEnd; ///< An announcement is waited for until then.
};

/// Answer of the process that is at the endpoint's address after the head.
struct ProcessAnswer {
  bool IsAnswered = false;   ///< Else it has not answered, or not in time.
  bool IsInstance = true;    ///< It has the endpoint's id.
  uint64_t StatedBornMs = 0; ///< 0 if it does not state its start.
  bool IsReset = false;      ///< Not answered: the connection was reset.
};

enum class ProcessVerdict {
  Pending,
  Same,
  Ended,    ///< Something speaks against it, or no process answers.
  Unproven, ///< Nothing speaks against it; the endpoint proves nothing.
};

/// Name of \p Verdict in metrics and logs.
std::string_view nameOf(ProcessVerdict Verdict);

/// The process that \p Endpoint's announcements are of. \p IsQueried: the
/// endpoint can be asked. Thread safe while \p State does not change, as the
/// functions below.
ProcessClaim makeClaim(const FrontState &State, const std::string &Endpoint,
                       bool IsQueried);
/// Sets the times that follow from the head. \p HasWaited: the request has
/// waited for an announcement of this endpoint before.
void beginProof(const FrontState &State, ProcessClaim &Claim,
                TimePoint ConnectedAt, bool HasWaited, TimePoint Now);
ProcessVerdict judgeProcess(const FrontState &State, const ProcessClaim &Claim,
                            const std::optional<ProcessAnswer> &Answer,
                            TimePoint Now);

/// Records that a connection to \p Endpoint was refused, or ended while a
/// response was due. Not thread safe.
void recordConnectionLoss(FrontState &State, const std::string &Endpoint,
                          TimePoint Now);
/// Records that a connection to \p Endpoint that was established at
/// \p ConnectedAt has brought a part of a response: its process still runs. Not
/// thread safe.
void recordLifeSign(FrontState &State, const std::string &Endpoint,
                    TimePoint ConnectedAt, TimePoint Now);
/// Records that the endpoint's process is the one that announced itself. Not
/// thread safe.
void recordSameProcess(FrontState &State, const std::string &Endpoint);
/// True if the endpoint's process may have ended since its last announcement.
bool mayHaveEnded(const FrontState &State, const KnownEndpoint &Endpoint);

} // namespace sassafras

#endif
