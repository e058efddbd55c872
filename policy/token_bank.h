/// \file
/// Token buckets of the organisations, one each, kept by the control leader,
/// and the grants that it issues from them to the entries.
///
/// The sum of a bucket's level and its outstanding grants never exceeds the
/// burst, so spending over all hosts is at most rate * window + burst in any
/// window. Lost and duplicated messages can only reduce spending.
#ifndef SASSAFRAS_POLICY_TOKEN_BANK_H
#define SASSAFRAS_POLICY_TOKEN_BANK_H

#include "core/time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace sassafras {

/// Refunds are possible for charges within the last HeadroomSlots slots.
inline constexpr size_t HeadroomSlots = 120;
inline constexpr Millis HeadroomSlot{1000};

/// Rate in tokens per second and burst in tokens.
struct OrganisationRate {
  uint64_t Rate = 0;
  uint64_t Burst = 0;
};

struct OutstandingGrant {
  uint64_t Tokens = 0;
  TimePoint Expires;
};

/// Minimum headroom below the burst during one time slot.
struct HeadroomSample {
  TimePoint SlotStart;
  double Minimum = 0;
};

/// Tokens that a node asks for: up to Wanted. Fewer than Minimum are of no use
/// to it.
struct GrantDemand {
  std::string Node;
  uint64_t Wanted = 0;
  uint64_t Minimum = 0;
};

/// Tokens reserved for a node whose demand exceeds the level, so that small
/// demands of other nodes cannot starve it.
struct GrantReserve {
  std::string Node;
  uint64_t Tokens = 0;
  TimePoint Until;
};

struct OrganisationBucket {
  double Level = 0;
  TimePoint RefilledAt;
  uint64_t OutstandingTokens = 0;
  std::map<uint64_t, OutstandingGrant> Outstanding;
  std::deque<HeadroomSample> Headroom;
  GrantReserve Reserve;
};

struct TokenBuckets {
  /// All grants of a previous leader have expired by then.
  TimePoint AvailableFrom;
  uint64_t NextGrant = 1;
  std::map<std::string, OrganisationBucket> Buckets;
};

struct TokenGrant {
  uint64_t Id = 0;
  uint64_t Tokens = 0;
};

/// Clears all buckets for a new leader. Each starts at level zero once all
/// grants that a previous leader may have issued have expired.
void resetBuckets(TokenBuckets &State, TimePoint Now);
/// Issues a grant to \p Demand from the bucket of \p Organisation. Returns
/// nothing when there are too few tokens.
std::optional<TokenGrant> issueGrant(TokenBuckets &State,
                                     const std::string &Organisation,
                                     OrganisationRate Rate,
                                     const GrantDemand &Demand, TimePoint Now);
/// Returns the unspent tokens of grant \p Id to the bucket. Ignores unknown and
/// expired grants.
void returnGrant(TokenBuckets &State, const std::string &Organisation,
                 uint64_t Id, uint64_t Unspent, OrganisationRate Rate,
                 TimePoint Now);
/// Refunds the unused part of a charge made at \p ChargedAt, up to the minimum
/// headroom that the bucket has had since then.
void refundCharge(TokenBuckets &State, const std::string &Organisation,
                  uint64_t Tokens, TimePoint ChargedAt, OrganisationRate Rate,
                  TimePoint Now);

} // namespace sassafras

#endif
