/// \file
/// Periods and bounds that the roles share. docs/design/02-timing.md adds
/// them up against the promised bounds.
#ifndef SASSAFRAS_CORE_TIMING_H
#define SASSAFRAS_CORE_TIMING_H

#include "core/time.h"

namespace sassafras::timing {

/// Replication: leader to followers.
inline constexpr Millis AppendPeriod{250};
/// The leader acts only this long after it sent a round that a quorum answered.
inline constexpr Millis LeaderLease{1200};
/// A voter that heard from a leader refuses other candidates for this long.
inline constexpr Millis ElectionTimeoutMin{1500};
inline constexpr Millis ElectionTimeoutMax{2200};

/// Periods of one replicated group.
struct GroupTiming {
  Millis Append = AppendPeriod;
  Millis Lease = LeaderLease;
  Millis MinElectionTimeout = ElectionTimeoutMin;
  Millis MaxElectionTimeout = ElectionTimeoutMax;
};

/// Groups whose members are a few milliseconds apart and whose leader is
/// missed at once: a new one within a second, and still six appends lost in a
/// row before a vote.
inline constexpr GroupTiming LowLatencyGroup{Millis(100), Millis(450),
                                             Millis(600), Millis(900)};

/// Nodes to the control leader.
inline constexpr Millis HeartbeatPeriod{500};
/// A key view counts this long from the sending of the answered heartbeat.
inline constexpr Millis ViewLease{3000};
/// A running answer for a keyed caller outlasts the view's lease by this.
inline constexpr Millis ResponseGrace{1500};
/// An endpoint takes work this long after its last known sign of life.
inline constexpr Millis EndpointLease{2000};
/// The control leader writes an endpoint off after this silence.
inline constexpr Millis EndpointRemovalTimeout{8000};

/// Life of a grant of tokens at the entry, from the sending of its request.
inline constexpr Millis GrantLifetime{2000};
/// The giver counts a grant as outstanding for this long.
inline constexpr Millis GrantLifetimeAtIssuer{2300};
inline constexpr Millis GrantRetry{200};

/// A proposal or claim is sent again after this silence.
inline constexpr Millis ProposalRetry{400};

} // namespace sassafras::timing

#endif
