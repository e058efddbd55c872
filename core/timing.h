/// \file
/// Periods and time-outs shared by the roles. docs/design/02-timing.md adds
/// them up and compares the sums with the guaranteed bounds.
#ifndef SASSAFRAS_CORE_TIMING_H
#define SASSAFRAS_CORE_TIMING_H

#include "core/time.h"

namespace sassafras::timing {

/// Period of the leader's append messages to its followers.
inline constexpr Millis AppendPeriod{250};
/// Leader lease: the leader acts as such only this long after it sent a round
/// of appends that a quorum acknowledged.
inline constexpr Millis LeaderLease{1200};
/// Bounds of the randomised election timeout. A voter that has heard from a
/// leader rejects other candidates for the lower bound.
inline constexpr Millis ElectionTimeoutMin{1500};
inline constexpr Millis ElectionTimeoutMax{2200};

/// Timing of one replicated group.
struct GroupTiming {
  Millis Append = AppendPeriod;
  Millis Lease = LeaderLease;
  Millis MinElectionTimeout = ElectionTimeoutMin;
  Millis MaxElectionTimeout = ElectionTimeoutMax;
};

/// For groups whose members are a few milliseconds apart and cannot do without
/// a leader for long: a new one is elected within a second, and still six
/// consecutive appends must be lost before an election.
inline constexpr GroupTiming LowLatencyGroup{Millis(100), Millis(450),
                                             Millis(600), Millis(900)};

/// Period of a node's heartbeats to the control leader.
inline constexpr Millis HeartbeatPeriod{500};
/// A node's view of the keys is valid this long after the node sent the
/// heartbeat that was acknowledged.
inline constexpr Millis ViewLease{3000};
/// A response in progress to a caller with a key may continue this long after
/// the view's lease has expired.
inline constexpr Millis ResponseGrace{1500};
/// An endpoint is given work this long after it was last heard from.
inline constexpr Millis EndpointLease{2000};
/// The control leader removes an endpoint that has been silent this long.
inline constexpr Millis EndpointRemovalTimeout{8000};

/// Lifetime of a token grant at the entry, counted from when its request was
/// sent.
inline constexpr Millis GrantLifetime{2000};
/// The issuer counts a grant as outstanding this long.
inline constexpr Millis GrantLifetimeAtIssuer{2300};
/// After a grant request, the next one is sent once a reply has arrived or this
/// time has passed.
inline constexpr Millis GrantRetry{200};

/// A proposal or claim that got no reply is sent again after this time.
inline constexpr Millis ProposalRetry{400};

} // namespace sassafras::timing

#endif
