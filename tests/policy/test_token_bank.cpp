/// \file
/// Tests of the token buckets and grants: spending never exceeds rate * window
/// + burst, even if messages are lost, duplicated or late.
#include "core/timing.h"
#include "policy/held_grants.h"
#include "policy/token_bank.h"

#include <catch2/catch.hpp>

#include <random>

using namespace sassafras;

namespace {

constexpr OrganisationRate Rate{100, 400};
const TimePoint Start = TimePoint() + std::chrono::hours(1);

TokenBuckets bucketsAvailableAt(TimePoint Now) {
  TokenBuckets buckets;
  resetBuckets(buckets, Now - timing::GrantLifetimeAtIssuer);
  return buckets;
}

uint64_t take(TokenBuckets &Buckets, uint64_t Wanted, TimePoint Now,
              uint64_t Minimum = 1, const char *Node = "entry-1") {
  auto grant = issueGrant(Buckets, "alpha", Rate, {Node, Wanted, Minimum}, Now);
  return grant ? grant->Tokens : 0;
}

/// Tokens spent at one point in time.
struct Spending {
  TimePoint At;
  double Tokens;
};

bool isWithinBound(std::vector<Spending> All) {
  std::sort(All.begin(), All.end(),
            [](const Spending &A, const Spending &B) { return A.At < B.At; });
  double level = static_cast<double>(Rate.Burst);
  TimePoint last = Start;
  for (const Spending &it : All) {
    std::chrono::duration<double> passed = it.At - last;
    level = std::min(static_cast<double>(Rate.Burst),
                     level + static_cast<double>(Rate.Rate) * passed.count());
    last = it.At;
    level -= it.Tokens;
    if (level < -0.001)
      return false;
  }
  return true;
}

} // namespace

TEST_CASE(
    "buckets of a new leader start empty after earlier grants have expired") {
  TokenBuckets buckets;
  resetBuckets(buckets, Start);
  CHECK(take(buckets, 100, Start) == 0);
  TimePoint availableFrom = Start + timing::GrantLifetimeAtIssuer;
  CHECK(take(buckets, 100, availableFrom) == 0);
  CHECK(take(buckets, 100, availableFrom + Millis(500)) == 50);
}

TEST_CASE("bucket counts outstanding grants against the burst") {
  TokenBuckets buckets = bucketsAvailableAt(Start);
  CHECK(take(buckets, 1, Start) == 0);
  TimePoint full = Start + std::chrono::seconds(10);
  CHECK(take(buckets, 1000, full) == 400);
  // Nothing is refilled while the whole burst is granted and outstanding.
  CHECK(take(buckets, 1000, full + std::chrono::seconds(2)) == 0);
  CHECK(take(buckets, 1000, full + std::chrono::seconds(4)) > 0);
}

TEST_CASE("bucket takes a returned grant once, and never more than it issued") {
  TokenBuckets buckets = bucketsAvailableAt(Start);
  take(buckets, 1, Start);
  TimePoint now = Start + std::chrono::seconds(10);
  auto grant = issueGrant(buckets, "alpha", Rate, {"e", 300, 1}, now);
  REQUIRE(grant);
  returnGrant(buckets, "alpha", grant->Id, 5000, Rate, now);
  returnGrant(buckets, "alpha", grant->Id, 300, Rate, now);
  returnGrant(buckets, "alpha", 12345, 300, Rate, now);
  CHECK(take(buckets, 1000, now) == 400);
}

TEST_CASE(
    "bucket reserves tokens for a large demand that small ones would starve") {
  TokenBuckets buckets = bucketsAvailableAt(Start);
  take(buckets, 1, Start);
  TimePoint now = Start + Millis(1000);
  CHECK(take(buckets, 300, now, 300, "large") == 0);
  CHECK(take(buckets, 10, now + Millis(10), 10, "small") == 0);
  bool isServed = false;
  for (int i = 1; i <= 20 && !isServed; ++i) {
    now += Millis(200);
    isServed = take(buckets, 300, now, 300, "large") == 300;
    take(buckets, 10, now + Millis(1), 10, "small");
  }
  CHECK(isServed);
  // A reserve expires when its holder does not ask again.
  now += Millis(200);
  take(buckets, 400, now, 400, "gone");
  CHECK(take(buckets, 10, now + Millis(1500), 10, "small") == 10);
}

TEST_CASE("refund is limited by the headroom of the bucket since the charge") {
  TokenBuckets buckets = bucketsAvailableAt(Start);
  take(buckets, 1, Start);
  TimePoint now = Start + std::chrono::seconds(10);
  REQUIRE(take(buckets, 400, now) == 400);
  // Ten seconds later the bucket has been full again, so nothing is refunded.
  TimePoint later = now + std::chrono::seconds(10);
  REQUIRE(take(buckets, 400, later) == 400);
  later += timing::GrantLifetimeAtIssuer + Millis(100);
  refundCharge(buckets, "alpha", 400, now, Rate, later);
  CHECK(take(buckets, 1000, later) == 10);
}

TEST_CASE(
    "spending stays within the bound under loss, duplicates and failover") {
  for (uint64_t seed = 1; seed <= 1000; ++seed) {
    std::mt19937_64 random(seed);
    auto chance = [&](int Percent) {
      return static_cast<int>(random() % 100) < Percent;
    };
    TokenBuckets buckets = bucketsAvailableAt(Start);
    HeldGrants holders[2];
    std::vector<Spending> spent;
    std::vector<std::pair<TimePoint, wire::GrantReply>> replies[2];
    std::vector<std::pair<size_t, TimePoint>> charges;
    TimePoint now = Start;
    for (int step = 0; step < 600; ++step) {
      now += Millis(random() % 60);
      if (chance(1))
        resetBuckets(buckets, now);
      size_t who = random() % 2;
      HeldGrants &held = holders[who];
      uint64_t cost = 1 + random() % 150;
      if (spendTokens(held, "alpha", cost, now)) {
        spent.push_back({now, static_cast<double>(cost)});
        if (chance(50)) {
          // Part of the charge turns out to be unused.
          uint64_t unused = random() % cost;
          spent.back().Tokens -= static_cast<double>(unused);
          queueRefund(held, "alpha", unused, now, now);
        }
      } else {
        addTokenDemand(held, "alpha", cost);
      }
      returnGrants(held, false, now);
      if (needsGrantRequest(held, now)) {
        auto request = makeGrantRequest(held, now);
        if (chance(10))
          continue;
        for (const auto &it : request.returned())
          if (it.grant() != 0)
            returnGrant(buckets, "alpha", it.grant(), it.unspent(), Rate, now);
          else
            refundCharge(buckets, "alpha", it.unspent(),
                         now - Millis(it.charged_ago_ms()), Rate, now);
        wire::GrantReply reply;
        reply.set_number(request.number());
        for (const auto &it : request.wanted()) {
          auto grant =
              issueGrant(buckets, "alpha", Rate,
                         {std::to_string(who), it.tokens(), it.least()}, now);
          if (!grant)
            continue;
          auto *given = reply.add_grants();
          given->set_id(grant->Id);
          given->set_tenant("alpha");
          given->set_tokens(grant->Tokens);
        }
        // Replies arrive late, twice or never.
        int copies = chance(10) ? 0 : chance(10) ? 2 : 1;
        for (int i = 0; i < copies; ++i)
          replies[who].push_back({now + Millis(random() % 3000), reply});
      }
      for (size_t node = 0; node < 2; ++node)
        std::erase_if(replies[node], [&](auto &it) {
          if (it.first > now)
            return false;
          acceptGrants(holders[node], it.second);
          return true;
        });
    }
    INFO("seed " << seed);
    REQUIRE(isWithinBound(spent));
  }
}
