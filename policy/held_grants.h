/// \file
/// Tokens that an entry holds for its tenants: grants of the control leader
/// with their ends.
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

struct TenantWish {
  uint64_t Tokens = 0;
  uint64_t Least = 0;
};

/// A request for grants that was not answered yet.
struct SentGrantRequest {
  TimePoint At;
  std::vector<std::string> Wanted; ///< Tenants.
};

struct HeldGrants {
  std::map<std::string, std::deque<HeldGrant>> Grants;
  std::map<std::string, TenantWish> PendingDemands;
  std::vector<wire::GrantReturn> Returns;
  uint64_t NextNumber = 1; ///< Starts at the process's incarnation.
  std::map<uint64_t, SentGrantRequest> Sent;
  /// Tenants whose bucket had too little when last asked.
  std::set<std::string> DepletedOrganisations;
  TimePoint NextRequest;
};

/// Tokens of \p Tenant that can be spent at \p Now.
uint64_t heldTokens(const HeldGrants &Held, const std::string &Tenant,
                    TimePoint Now);
/// Spends \p Tokens, the soonest ending first. False, and nothing spent, when
/// there are too few.
bool spendTokens(HeldGrants &Held, const std::string &Tenant, uint64_t Tokens,
                 TimePoint Now);
/// Notes that a request of \p Cost waits for tokens only.
void requestTokens(HeldGrants &Held, const std::string &Tenant, uint64_t Cost);
/// Notes a charge's part that was not needed, for the next request.
void returnCharge(HeldGrants &Held, const std::string &Tenant, uint64_t Tokens,
                  TimePoint ChargedAt, TimePoint Now);
/// Moves grants that end soon, or all with \p All, to the returns.
void returnGrants(HeldGrants &Held, bool All, TimePoint Now);
/// True when a request should be sent now.
bool needsGrantRequest(const HeldGrants &Held, TimePoint Now);
/// Makes the request and clears wishes and returns.
wire::GrantRequest makeGrantRequest(HeldGrants &Held, TimePoint Now);
/// Takes grants; a reply to no request of this process is ignored.
void acceptGrants(HeldGrants &Held, const wire::GrantReply &Reply);

} // namespace sassafras

#endif
