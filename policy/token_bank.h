/// \file
/// The one bucket of each tenant, kept by the control leader, and the grants
/// taken from it by the entries.
///
/// The level and everything granted but not yet expired stay within the
/// burst together, so spending over all hosts is at most rate * window +
/// burst in any window. Loss and duplicates can only under-spend.
#ifndef SASSAFRAS_POLICY_TOKEN_BANK_H
#define SASSAFRAS_POLICY_TOKEN_BANK_H

#include "core/time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace sassafras {

/// Refunds reach back this far.
inline constexpr size_t HeadroomSlots = 120;
inline constexpr Millis HeadroomSlot{1000};

/// Rate in tokens a second and burst in tokens.
struct OrganisationRate {
  uint64_t Rate = 0;
  uint64_t Burst = 0;
};

struct OutstandingGrant {
  uint64_t Tokens = 0;
  TimePoint Expires;
};

/// Least room below the burst during one slot of time.
struct HeadroomMark {
  TimePoint SlotStart;
  double Least = 0;
};

/// What one node asks for: up to Wanted tokens, but fewer than Least are of
/// no use to it.
struct GrantWish {
  std::string Node;
  uint64_t Wanted = 0;
  uint64_t Least = 0;
};

/// Tokens kept back for a node whose wish is larger than the level, so that
/// small wishes of others cannot starve it.
struct GrantReserve {
  std::string Node;
  uint64_t Tokens = 0;
  TimePoint Until;
};

struct TenantBucket {
  double Level = 0;
  TimePoint RefilledAt;
  uint64_t OutstandingTokens = 0;
  std::map<uint64_t, OutstandingGrant> Outstanding;
  std::deque<HeadroomMark> Headroom;
  GrantReserve Reserve;
};

struct TokenBuckets {
  TimePoint OpensAt; ///< Grants of an earlier leader have ended by then.
  uint64_t NextGrant = 1;
  std::map<std::string, TenantBucket> Buckets;
};

struct TokenGrant {
  uint64_t Id = 0;
  uint64_t Tokens = 0;
};

/// Empties the bank for a new leader. Every bucket starts at level zero once
/// all grants that an earlier leader may have given have ended.
void resetBuckets(TokenBuckets &Bank, TimePoint Now);
/// Takes tokens of \p Tenant as \p Wish asks; nothing when there are too few.
std::optional<TokenGrant> issueGrant(TokenBuckets &Bank,
                                     const std::string &Tenant,
                                     OrganisationRate Rate,
                                     const GrantWish &Wish, TimePoint Now);
/// Takes back what is left of grant \p Id; unknown or ended ones are ignored.
void returnGrant(TokenBuckets &Bank, const std::string &Tenant, uint64_t Id,
                 uint64_t Unspent, OrganisationRate Rate, TimePoint Now);
/// Takes back the part of a charge made at \p ChargedAt that was not needed,
/// as far as the bucket had room for it ever since.
void refundCharge(TokenBuckets &Bank, const std::string &Tenant,
                  uint64_t Tokens, TimePoint ChargedAt, OrganisationRate Rate,
                  TimePoint Now);

} // namespace sassafras

#endif
