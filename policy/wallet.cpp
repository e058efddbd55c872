#include "policy/wallet.h"

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
constexpr Millis RefundMargin = timing::GrantLifeAtGiver + Millis(1000);

} // namespace

uint64_t heldTokens(const Wallet &Wallet, const std::string &Tenant,
                    TimePoint Now) {
  auto it = Wallet.Grants.find(Tenant);
  if (it == Wallet.Grants.end())
    return 0;
  uint64_t sum = 0;
  for (const HeldGrant &grant : it->second)
    if (!isPast(grant.Expires, Now))
      sum += grant.Tokens;
  return sum;
}

bool spendTokens(Wallet &Wallet, const std::string &Tenant, uint64_t Tokens,
                 TimePoint Now) {
  if (heldTokens(Wallet, Tenant, Now) < Tokens)
    return false;
  for (HeldGrant &it : Wallet.Grants[Tenant]) {
    if (isPast(it.Expires, Now))
      continue;
    uint64_t part = std::min(Tokens, it.Tokens);
    it.Tokens -= part;
    Tokens -= part;
  }
  return true;
}

void wishTokens(Wallet &Wallet, const std::string &Tenant, uint64_t Cost) {
  TenantWish &wish = Wallet.Wishes[Tenant];
  wish.Tokens += Cost * PrefetchFactor;
  wish.Least = wish.Least == 0 ? Cost : wish.Least;
}

void returnCharge(Wallet &Wallet, const std::string &Tenant, uint64_t Tokens,
                  TimePoint ChargedAt, TimePoint Now) {
  if (Tokens == 0)
    return;
  wire::GrantReturn back;
  back.set_tenant(Tenant);
  back.set_unspent(Tokens);
  back.set_charged_ago_ms(toMillis(Now - ChargedAt + RefundMargin));
  Wallet.Returns.push_back(std::move(back));
}

void returnGrants(Wallet &Wallet, bool All, TimePoint Now) {
  for (auto &entry : Wallet.Grants)
    std::erase_if(entry.second, [&](const HeldGrant &it) {
      if (!All && Now < it.Expires - ReturnMargin)
        return false;
      if (it.Tokens > 0 && !isPast(it.Expires, Now)) {
        wire::GrantReturn back;
        back.set_grant(it.Id);
        back.set_tenant(entry.first);
        back.set_unspent(it.Tokens);
        Wallet.Returns.push_back(std::move(back));
      }
      return true;
    });
}

bool needsGrantRequest(const Wallet &Wallet, TimePoint Now) {
  bool hasNews = !Wallet.Wishes.empty() || !Wallet.Returns.empty();
  return hasNews && isPast(Wallet.NextRequest, Now);
}

wire::GrantRequest makeGrantRequest(Wallet &Wallet, TimePoint Now) {
  wire::GrantRequest request;
  request.set_number(Wallet.NextNumber++);
  for (const auto &[tenant, wish] : Wallet.Wishes) {
    wire::TenantGrant &wanted = *request.add_wanted();
    wanted.set_tenant(tenant);
    wanted.set_tokens(wish.Tokens);
    wanted.set_least(wish.Least);
  }
  for (wire::GrantReturn &it : Wallet.Returns)
    *request.add_returned() = std::move(it);
  SentGrantRequest &sent = Wallet.Sent[request.number()];
  sent.At = Now;
  for (const wire::TenantGrant &it : request.wanted())
    sent.Wanted.push_back(it.tenant());
  std::erase_if(Wallet.Sent, [&](const auto &it) {
    return Now - it.second.At > timing::GrantLife;
  });
  Wallet.Wishes.clear();
  Wallet.Returns.clear();
  Wallet.NextRequest = Now + timing::GrantRetry;
  return request;
}

void takeGrants(Wallet &Wallet, const wire::GrantReply &Reply) {
  auto sent = Wallet.Sent.find(Reply.number());
  if (sent == Wallet.Sent.end())
    return;
  Wallet.Short.insert(sent->second.Wanted.begin(), sent->second.Wanted.end());
  // The life counts from the sending, which was before the giving.
  TimePoint expires = sent->second.At + timing::GrantLife;
  for (const wire::Grant &it : Reply.grants()) {
    Wallet.Grants[it.tenant()].push_back({it.id(), it.tokens(), expires});
    Wallet.Short.erase(it.tenant());
  }
  // A second copy of the reply finds no request.
  Wallet.Sent.erase(sent);
  Wallet.NextRequest = TimePoint();
}

} // namespace sassafras
