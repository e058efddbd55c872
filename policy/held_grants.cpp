#include "policy/held_grants.h"

#include "core/timing.h"

#include <algorithm>

namespace sassafras {

namespace {

/// Unspent grants go back this long before they end.
constexpr Millis ReturnMargin{300};
/// A charge asks for this many times its cost, so that the next requests of
/// a busy tenant find tokens at hand.
constexpr uint64_t PrefetchFactor = 2;
/// The bucket was charged at most this long before the entry spent, and the
/// refund reaches it at most this long after it was noted.
constexpr Millis RefundMargin = timing::GrantLifetimeAtIssuer + Millis(1000);

} // namespace

uint64_t heldTokens(const HeldGrants &Held, const std::string &Tenant,
                    TimePoint Now) {
  auto it = Held.Grants.find(Tenant);
  if (it == Held.Grants.end())
    return 0;
  uint64_t sum = 0;
  for (const HeldGrant &grant : it->second)
    if (!isPast(grant.Expires, Now))
      sum += grant.Tokens;
  return sum;
}

bool spendTokens(HeldGrants &Held, const std::string &Tenant, uint64_t Tokens,
                 TimePoint Now) {
  if (heldTokens(Held, Tenant, Now) < Tokens)
    return false;
  for (HeldGrant &it : Held.Grants[Tenant]) {
    if (isPast(it.Expires, Now))
      continue;
    uint64_t part = std::min(Tokens, it.Tokens);
    it.Tokens -= part;
    Tokens -= part;
  }
  return true;
}

void wishTokens(HeldGrants &Held, const std::string &Tenant, uint64_t Cost) {
  TenantWish &wish = Held.Wishes[Tenant];
  wish.Tokens += Cost * PrefetchFactor;
  wish.Least = wish.Least == 0 ? Cost : wish.Least;
}

void returnCharge(HeldGrants &Held, const std::string &Tenant, uint64_t Tokens,
                  TimePoint ChargedAt, TimePoint Now) {
  if (Tokens == 0)
    return;
  wire::GrantReturn back;
  back.set_tenant(Tenant);
  back.set_unspent(Tokens);
  back.set_charged_ago_ms(toMillis(Now - ChargedAt + RefundMargin));
  Held.Returns.push_back(std::move(back));
}

void returnGrants(HeldGrants &Held, bool All, TimePoint Now) {
  for (auto &entry : Held.Grants)
    std::erase_if(entry.second, [&](const HeldGrant &it) {
      if (!All && Now < it.Expires - ReturnMargin)
        return false;
      if (it.Tokens > 0 && !isPast(it.Expires, Now)) {
        wire::GrantReturn back;
        back.set_grant(it.Id);
        back.set_tenant(entry.first);
        back.set_unspent(it.Tokens);
        Held.Returns.push_back(std::move(back));
      }
      return true;
    });
}

bool needsGrantRequest(const HeldGrants &Held, TimePoint Now) {
  bool hasNews = !Held.Wishes.empty() || !Held.Returns.empty();
  return hasNews && isPast(Held.NextRequest, Now);
}

wire::GrantRequest makeGrantRequest(HeldGrants &Held, TimePoint Now) {
  wire::GrantRequest request;
  request.set_number(Held.NextNumber++);
  for (const auto &[tenant, wish] : Held.Wishes) {
    wire::TenantGrant &wanted = *request.add_wanted();
    wanted.set_tenant(tenant);
    wanted.set_tokens(wish.Tokens);
    wanted.set_least(wish.Least);
  }
  for (wire::GrantReturn &it : Held.Returns)
    *request.add_returned() = std::move(it);
  SentGrantRequest &sent = Held.Sent[request.number()];
  sent.At = Now;
  for (const wire::TenantGrant &it : request.wanted())
    sent.Wanted.push_back(it.tenant());
  std::erase_if(Held.Sent, [&](const auto &it) {
    return Now - it.second.At > timing::GrantLifetime;
  });
  Held.Wishes.clear();
  Held.Returns.clear();
  Held.NextRequest = Now + timing::GrantRetry;
  return request;
}

void takeGrants(HeldGrants &Held, const wire::GrantReply &Reply) {
  auto sent = Held.Sent.find(Reply.number());
  if (sent == Held.Sent.end())
    return;
  Held.Short.insert(sent->second.Wanted.begin(), sent->second.Wanted.end());
  // The life counts from the sending, which was before the giving.
  TimePoint expires = sent->second.At + timing::GrantLifetime;
  for (const wire::Grant &it : Reply.grants()) {
    Held.Grants[it.tenant()].push_back({it.id(), it.tokens(), expires});
    Held.Short.erase(it.tenant());
  }
  // A second copy of the reply finds no request.
  Held.Sent.erase(sent);
  Held.NextRequest = TimePoint();
}

} // namespace sassafras
