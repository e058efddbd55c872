/// \file
/// Quota tokens that an entry holds for its organisations, as grants with
/// expiry times issued by the control leader.
#ifndef SASSAFRAS_POLICY_HELD_GRANTS_H
#define SASSAFRAS_POLICY_HELD_GRANTS_H

#include "core/time.h"
#include "wire/inner.pb.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace sassafras {

struct HeldGrant {
  uint64_t Id = 0;
  uint64_t Tokens = 0;
  TimePoint Expires;
};

struct TokenDemand {
  uint64_t Tokens = 0;
  uint64_t Minimum = 0;
};

/// A grant request that has not been answered yet.
struct PendingGrantRequest {
  TimePoint At;
  std::vector<std::string> Wanted; ///< Organisations.
};

struct HeldGrants {
  std::map<std::string, std::deque<HeldGrant>> Grants;
  std::map<std::string, TokenDemand> PendingDemands;
  std::vector<wire::GrantReturn> Returns;
  uint64_t NextNumber = 1; ///< Starts at the incarnation of the process.
  std::map<uint64_t, PendingGrantRequest> Sent;
  /// Organisations whose bucket had too few tokens at the last request.
  std::set<std::string> DepletedOrganisations;
  TimePoint NextRequest;
};

/// Returns the tokens of \p Organisation that have not expired at \p Now.
uint64_t heldTokens(const HeldGrants &Held, const std::string &Organisation,
                    TimePoint Now);
/// Spends \p Tokens from the grants that expire first. Returns false and spends
/// nothing when too few are held.
bool spendTokens(HeldGrants &Held, const std::string &Organisation,
                 uint64_t Tokens, TimePoint Now);
/// Records that a request of \p Cost waits only for tokens.
void addTokenDemand(HeldGrants &Held, const std::string &Organisation,
                    uint64_t Cost);
/// Queues a refund of the unused part of a charge for the next grant request.
void queueRefund(HeldGrants &Held, const std::string &Organisation,
                 uint64_t Tokens, TimePoint ChargedAt, TimePoint Now);
/// Moves grants that expire soon, or all if \p All, to the list of returns.
void returnGrants(HeldGrants &Held, bool All, TimePoint Now);
/// Returns true when a grant request should be sent now.
bool needsGrantRequest(const HeldGrants &Held, TimePoint Now);
/// Builds the grant request and clears the pending demands and returns.
wire::GrantRequest makeGrantRequest(HeldGrants &Held, TimePoint Now);
/// Adds the granted tokens. Ignores a reply that matches no pending request of
/// this process.
void acceptGrants(HeldGrants &Held, const wire::GrantReply &Reply);

} // namespace sassafras

#endif
