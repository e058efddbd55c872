#include "policy/token_bank.h"

#include "core/timing.h"

#include <algorithm>

namespace sassafras {

namespace {

/// A reserve expires when its holder does not ask again within this time.
constexpr Millis ReserveLifetime{1000};

double headroom(const OrganisationBucket &Bucket, OrganisationRate Rate) {
  double taken = Bucket.Level + static_cast<double>(Bucket.OutstandingTokens);
  return std::max(0.0, static_cast<double>(Rate.Burst) - taken);
}

void recordHeadroom(OrganisationBucket &Bucket, OrganisationRate Rate,
                    TimePoint Now) {
  double current = headroom(Bucket, Rate);
  auto &samples = Bucket.Headroom;
  if (samples.empty() || Now - samples.back().SlotStart >= HeadroomSlot)
    samples.push_back({Now, current});
  samples.back().Minimum = std::min(samples.back().Minimum, current);
  if (samples.size() > HeadroomSlots)
    samples.pop_front();
}

/// Refills the bucket up to \p Now. Outstanding grants reduce the level that it
/// can reach.
void refillUntil(OrganisationBucket &Bucket, OrganisationRate Rate,
                 TimePoint Now) {
  double maxLevel = static_cast<double>(Rate.Burst) -
                    static_cast<double>(Bucket.OutstandingTokens);
  if (Now > Bucket.RefilledAt) {
    std::chrono::duration<double> passed = Now - Bucket.RefilledAt;
    Bucket.Level += static_cast<double>(Rate.Rate) * passed.count();
    Bucket.RefilledAt = Now;
  }
  Bucket.Level = std::max(0.0, std::min(Bucket.Level, maxLevel));
}

OrganisationBucket &refill(TokenBuckets &State, const std::string &Organisation,
                           OrganisationRate Rate, TimePoint Now) {
  auto [it, isNew] = State.Buckets.try_emplace(Organisation);
  OrganisationBucket &bucket = it->second;
  if (isNew)
    bucket.RefilledAt = State.AvailableFrom;
  // Grants expire in the order of issue. Each frees headroom only from its
  // expiry on, so that its tokens are never refilled twice.
  while (!bucket.Outstanding.empty()) {
    auto oldest = bucket.Outstanding.begin();
    if (!isPast(oldest->second.Expires, Now))
      break;
    refillUntil(bucket, Rate, oldest->second.Expires);
    bucket.OutstandingTokens -= oldest->second.Tokens;
    bucket.Outstanding.erase(oldest);
  }
  refillUntil(bucket, Rate, Now);
  recordHeadroom(bucket, Rate, Now);
  return bucket;
}

} // namespace

void resetBuckets(TokenBuckets &State, TimePoint Now) {
  State.Buckets.clear();
  State.AvailableFrom = Now + timing::GrantLifetimeAtIssuer;
}

std::optional<TokenGrant> issueGrant(TokenBuckets &State,
                                     const std::string &Organisation,
                                     OrganisationRate Rate,
                                     const GrantDemand &Demand, TimePoint Now) {
  if (Now < State.AvailableFrom || Demand.Wanted == 0)
    return std::nullopt;
  OrganisationBucket &bucket = refill(State, Organisation, Rate, Now);
  GrantReserve &reserve = bucket.Reserve;
  bool isReservedForOther = Now < reserve.Until && reserve.Node != Demand.Node;
  double reserved =
      isReservedForOther ? static_cast<double>(reserve.Tokens) : 0.0;
  auto free = static_cast<uint64_t>(std::max(0.0, bucket.Level - reserved));
  uint64_t tokens = std::min(Demand.Wanted, free);
  if (tokens == 0 || tokens < Demand.Minimum) {
    if (!isReservedForOther)
      reserve = {Demand.Node, Demand.Minimum, Now + ReserveLifetime};
    return std::nullopt;
  }
  if (!isReservedForOther)
    reserve = {};
  TokenGrant grant{State.NextGrant++, tokens};
  bucket.Level -= static_cast<double>(tokens);
  bucket.Outstanding[grant.Id] = {tokens, Now + timing::GrantLifetimeAtIssuer};
  bucket.OutstandingTokens += tokens;
  return grant;
}

void returnGrant(TokenBuckets &State, const std::string &Organisation,
                 uint64_t Id, uint64_t Unspent, OrganisationRate Rate,
                 TimePoint Now) {
  if (!State.Buckets.contains(Organisation))
    return;
  OrganisationBucket &bucket = refill(State, Organisation, Rate, Now);
  auto grant = bucket.Outstanding.find(Id);
  if (grant == bucket.Outstanding.end())
    return;
  uint64_t returned = std::min(Unspent, grant->second.Tokens);
  bucket.OutstandingTokens -= grant->second.Tokens;
  bucket.Outstanding.erase(grant);
  double maxLevel = static_cast<double>(Rate.Burst) -
                    static_cast<double>(bucket.OutstandingTokens);
  bucket.Level = std::max(
      0.0, std::min(bucket.Level + static_cast<double>(returned), maxLevel));
}

void refundCharge(TokenBuckets &State, const std::string &Organisation,
                  uint64_t Tokens, TimePoint ChargedAt, OrganisationRate Rate,
                  TimePoint Now) {
  if (!State.Buckets.contains(Organisation))
    return;
  OrganisationBucket &bucket = refill(State, Organisation, Rate, Now);
  const auto &samples = bucket.Headroom;
  // The bucket may have been full since a charge older than the oldest sample.
  if (samples.empty() || ChargedAt < samples.front().SlotStart)
    return;
  double refund = static_cast<double>(Tokens);
  for (auto it = samples.rbegin(); it != samples.rend(); ++it) {
    refund = std::min(refund, it->Minimum);
    if (it->SlotStart <= ChargedAt)
      break;
  }
  bucket.Level += refund;
  for (HeadroomSample &it : bucket.Headroom)
    it.Minimum = std::max(0.0, it.Minimum - refund);
}

} // namespace sassafras
