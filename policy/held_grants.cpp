#include "policy/held_grants.h"

#include "core/timing.h"

#include <algorithm>

namespace sassafras {

namespace {

/// Unspent grants are returned this long before they expire.
constexpr Millis ReturnMargin{300};
/// A request asks for this multiple of its cost, so that tokens are available
/// for the next requests of a busy organisation.
constexpr uint64_t PrefetchFactor = 2;
/// The bucket was charged at most this long before the entry spent the tokens,
/// and a refund reaches it at most this long after it was queued.
constexpr Millis RefundMargin = timing::GrantLifetimeAtIssuer + Millis(1000);

} // namespace

uint64_t heldTokens(const HeldGrants &Held, const std::string &Organisation,
                    TimePoint Now) {
  auto it = Held.Grants.find(Organisation);
  if (it == Held.Grants.end())
    return 0;
  uint64_t sum = 0;
  for (const HeldGrant &grant : it->second)
    if (!isPast(grant.Expires, Now))
      sum += grant.Tokens;
  return sum;
}

bool spendTokens(HeldGrants &Held, const std::string &Organisation,
                 uint64_t Tokens, TimePoint Now) {
  if (heldTokens(Held, Organisation, Now) < Tokens)
    return false;
  for (HeldGrant &it : Held.Grants[Organisation]) {
    if (isPast(it.Expires, Now))
      continue;
    uint64_t part = std::min(Tokens, it.Tokens);
    it.Tokens -= part;
    Tokens -= part;
  }
  return true;
}

void addTokenDemand(HeldGrants &Held, const std::string &Organisation,
                    uint64_t Cost) {
  TokenDemand &demand = Held.PendingDemands[Organisation];
  demand.Tokens += Cost * PrefetchFactor;
  demand.Minimum = demand.Minimum == 0 ? Cost : demand.Minimum;
}

void queueRefund(HeldGrants &Held, const std::string &Organisation,
                 uint64_t Tokens, TimePoint ChargedAt, TimePoint Now) {
  if (Tokens == 0)
    return;
  wire::GrantReturn returned;
  returned.set_tenant(Organisation);
  returned.set_unspent(Tokens);
  returned.set_charged_ago_ms(toMillis(Now - ChargedAt + RefundMargin));
  Held.Returns.push_back(std::move(returned));
}

void returnGrants(HeldGrants &Held, bool All, TimePoint Now) {
  for (auto &entry : Held.Grants)
    std::erase_if(entry.second, [&](const HeldGrant &it) {
      if (!All && Now < it.Expires - ReturnMargin)
        return false;
      if (it.Tokens > 0 && !isPast(it.Expires, Now)) {
        wire::GrantReturn returned;
        returned.set_grant(it.Id);
        returned.set_tenant(entry.first);
        returned.set_unspent(it.Tokens);
        Held.Returns.push_back(std::move(returned));
      }
      return true;
    });
}

bool needsGrantRequest(const HeldGrants &Held, TimePoint Now) {
  bool hasContent = !Held.PendingDemands.empty() || !Held.Returns.empty();
  return hasContent && isPast(Held.NextRequest, Now);
}

wire::GrantRequest makeGrantRequest(HeldGrants &Held, TimePoint Now) {
  wire::GrantRequest request;
  request.set_number(Held.NextNumber++);
  for (const auto &[organisation, demand] : Held.PendingDemands) {
    wire::OrganisationGrantRequest &wanted = *request.add_wanted();
    wanted.set_tenant(organisation);
    wanted.set_tokens(demand.Tokens);
    wanted.set_least(demand.Minimum);
  }
  for (wire::GrantReturn &it : Held.Returns)
    *request.add_returned() = std::move(it);
  PendingGrantRequest &sent = Held.Sent[request.number()];
  sent.At = Now;
  for (const wire::OrganisationGrantRequest &it : request.wanted())
    sent.Wanted.push_back(it.tenant());
  std::erase_if(Held.Sent, [&](const auto &it) {
    return Now - it.second.At > timing::GrantLifetime;
  });
  Held.PendingDemands.clear();
  Held.Returns.clear();
  Held.NextRequest = Now + timing::GrantRetry;
  return request;
}

void acceptGrants(HeldGrants &Held, const wire::GrantReply &Reply) {
  auto sent = Held.Sent.find(Reply.number());
  if (sent == Held.Sent.end())
    return;
  Held.DepletedOrganisations.insert(sent->second.Wanted.begin(),
                                    sent->second.Wanted.end());
  // The lifetime counts from the time of sending, which precedes the time of
  // granting.
  TimePoint expires = sent->second.At + timing::GrantLifetime;
  for (const wire::Grant &it : Reply.grants()) {
    Held.Grants[it.tenant()].push_back({it.id(), it.tokens(), expires});
    Held.DepletedOrganisations.erase(it.tenant());
  }
  // A duplicate of the reply then matches no pending request.
  Held.Sent.erase(sent);
  Held.NextRequest = TimePoint();
}

} // namespace sassafras
