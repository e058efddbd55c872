#include "policy/token_bank.h"

#include "core/timing.h"

#include <algorithm>

namespace sassafras {

namespace {

/// A reserve ends when its holder does not ask again.
constexpr Millis ReserveLife{1000};

double headroom(const TenantBucket &Bucket, TenantRate Rate) {
  double taken = Bucket.Level + static_cast<double>(Bucket.OutstandingTokens);
  return std::max(0.0, static_cast<double>(Rate.Burst) - taken);
}

void markHeadroom(TenantBucket &Bucket, TenantRate Rate, TimePoint Now) {
  double room = headroom(Bucket, Rate);
  auto &marks = Bucket.Headroom;
  if (marks.empty() || Now - marks.back().SlotStart >= HeadroomSlot)
    marks.push_back({Now, room});
  marks.back().Least = std::min(marks.back().Least, room);
  if (marks.size() > HeadroomSlots)
    marks.pop_front();
}

/// Lets tokens come in until \p Now; what is in hands leaves no room for
/// them.
void refillUntil(TenantBucket &Bucket, TenantRate Rate, TimePoint Now) {
  double room = static_cast<double>(Rate.Burst) -
                static_cast<double>(Bucket.OutstandingTokens);
  if (Now > Bucket.RefilledAt) {
    std::chrono::duration<double> passed = Now - Bucket.RefilledAt;
    Bucket.Level += static_cast<double>(Rate.Rate) * passed.count();
    Bucket.RefilledAt = Now;
  }
  Bucket.Level = std::max(0.0, std::min(Bucket.Level, room));
}

TenantBucket &refill(TokenBank &Bank, const std::string &Tenant,
                     TenantRate Rate, TimePoint Now) {
  auto [it, isNew] = Bank.Buckets.try_emplace(Tenant);
  TenantBucket &bucket = it->second;
  if (isNew)
    bucket.RefilledAt = Bank.OpensAt;
  // Grants end in the order in which they were given. Each leaves room only
  // from its end on, so that its tokens are never refilled twice.
  while (!bucket.Outstanding.empty()) {
    auto oldest = bucket.Outstanding.begin();
    if (!isPast(oldest->second.Expires, Now))
      break;
    refillUntil(bucket, Rate, oldest->second.Expires);
    bucket.OutstandingTokens -= oldest->second.Tokens;
    bucket.Outstanding.erase(oldest);
  }
  refillUntil(bucket, Rate, Now);
  markHeadroom(bucket, Rate, Now);
  return bucket;
}

} // namespace

void openBank(TokenBank &Bank, TimePoint Now) {
  Bank.Buckets.clear();
  Bank.OpensAt = Now + timing::GrantLifetimeAtIssuer;
}

std::optional<TokenGrant> takeGrant(TokenBank &Bank, const std::string &Tenant,
                                    TenantRate Rate, const GrantWish &Wish,
                                    TimePoint Now) {
  if (Now < Bank.OpensAt || Wish.Wanted == 0)
    return std::nullopt;
  TenantBucket &bucket = refill(Bank, Tenant, Rate, Now);
  GrantReserve &reserve = bucket.Reserve;
  bool isReserved = Now < reserve.Until && reserve.Node != Wish.Node;
  double kept = isReserved ? static_cast<double>(reserve.Tokens) : 0.0;
  auto free = static_cast<uint64_t>(std::max(0.0, bucket.Level - kept));
  uint64_t tokens = std::min(Wish.Wanted, free);
  if (tokens == 0 || tokens < Wish.Least) {
    if (!isReserved)
      reserve = {Wish.Node, Wish.Least, Now + ReserveLife};
    return std::nullopt;
  }
  if (!isReserved)
    reserve = {};
  TokenGrant grant{Bank.NextGrant++, tokens};
  bucket.Level -= static_cast<double>(tokens);
  bucket.Outstanding[grant.Id] = {tokens, Now + timing::GrantLifetimeAtIssuer};
  bucket.OutstandingTokens += tokens;
  return grant;
}

void returnGrant(TokenBank &Bank, const std::string &Tenant, uint64_t Id,
                 uint64_t Unspent, TenantRate Rate, TimePoint Now) {
  if (!Bank.Buckets.contains(Tenant))
    return;
  TenantBucket &bucket = refill(Bank, Tenant, Rate, Now);
  auto grant = bucket.Outstanding.find(Id);
  if (grant == bucket.Outstanding.end())
    return;
  uint64_t back = std::min(Unspent, grant->second.Tokens);
  bucket.OutstandingTokens -= grant->second.Tokens;
  bucket.Outstanding.erase(grant);
  double room = static_cast<double>(Rate.Burst) -
                static_cast<double>(bucket.OutstandingTokens);
  bucket.Level =
      std::max(0.0, std::min(bucket.Level + static_cast<double>(back), room));
}

void refundCharge(TokenBank &Bank, const std::string &Tenant, uint64_t Tokens,
                  TimePoint ChargedAt, TenantRate Rate, TimePoint Now) {
  if (!Bank.Buckets.contains(Tenant))
    return;
  TenantBucket &bucket = refill(Bank, Tenant, Rate, Now);
  const auto &marks = bucket.Headroom;
  // A charge from before the oldest mark may have met a full bucket since.
  if (marks.empty() || ChargedAt < marks.front().SlotStart)
    return;
  double least = static_cast<double>(Tokens);
  for (auto it = marks.rbegin(); it != marks.rend(); ++it) {
    least = std::min(least, it->Least);
    if (it->SlotStart <= ChargedAt)
      break;
  }
  bucket.Level += least;
  for (HeadroomMark &it : bucket.Headroom)
    it.Least = std::max(0.0, it.Least - least);
}

} // namespace sassafras
