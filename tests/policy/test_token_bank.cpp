/// \file
/// The bucket of a tenant and the grants from it: never above rate * window +
/// burst, whatever is lost, doubled or late.
#include "core/timing.h"
#include "policy/held_grants.h"
#include "policy/token_bank.h"

#include <catch2/catch.hpp>

#include <random>

using namespace sassafras;

namespace {

constexpr TenantRate Rate{100, 400};
const TimePoint Start = TimePoint() + std::chrono::hours(1);

TokenBank openAt(TimePoint Now) {
  TokenBank bank;
  openBank(bank, Now - timing::GrantLifetimeAtIssuer);
  return bank;
}

uint64_t take(TokenBank &Bank, uint64_t Wanted, TimePoint Now,
              uint64_t Least = 1, const char *Node = "entry-1") {
  auto grant = takeGrant(Bank, "alpha", Rate, {Node, Wanted, Least}, Now);
  return grant ? grant->Tokens : 0;
}

/// Spending in order of time, against the stated bound.
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

TEST_CASE("bank of a new leader opens empty after earlier grants ended") {
  TokenBank bank;
  openBank(bank, Start);
  CHECK(take(bank, 100, Start) == 0);
  TimePoint opens = Start + timing::GrantLifetimeAtIssuer;
  CHECK(take(bank, 100, opens) == 0);
  CHECK(take(bank, 100, opens + Millis(500)) == 50);
}

TEST_CASE("bank counts grants in hands against the burst") {
  TokenBank bank = openAt(Start);
  CHECK(take(bank, 1, Start) == 0);
  TimePoint full = Start + std::chrono::seconds(10);
  CHECK(take(bank, 1000, full) == 400);
  // While all is in hands, nothing comes in on top.
  CHECK(take(bank, 1000, full + std::chrono::seconds(2)) == 0);
  CHECK(take(bank, 1000, full + std::chrono::seconds(4)) > 0);
}

TEST_CASE("bank takes a grant back once, and never more than it gave") {
  TokenBank bank = openAt(Start);
  take(bank, 1, Start);
  TimePoint now = Start + std::chrono::seconds(10);
  auto grant = takeGrant(bank, "alpha", Rate, {"e", 300, 1}, now);
  REQUIRE(grant);
  returnGrant(bank, "alpha", grant->Id, 5000, Rate, now);
  returnGrant(bank, "alpha", grant->Id, 300, Rate, now);
  returnGrant(bank, "alpha", 12345, 300, Rate, now);
  CHECK(take(bank, 1000, now) == 400);
}

TEST_CASE("bank keeps tokens for a large wish that small ones would starve") {
  TokenBank bank = openAt(Start);
  take(bank, 1, Start);
  TimePoint now = Start + Millis(1000);
  CHECK(take(bank, 300, now, 300, "large") == 0);
  CHECK(take(bank, 10, now + Millis(10), 10, "small") == 0);
  bool isServed = false;
  for (int i = 1; i <= 20 && !isServed; ++i) {
    now += Millis(200);
    isServed = take(bank, 300, now, 300, "large") == 300;
    take(bank, 10, now + Millis(1), 10, "small");
  }
  CHECK(isServed);
  // A holder that does not ask again gives way.
  now += Millis(200);
  take(bank, 400, now, 400, "gone");
  CHECK(take(bank, 10, now + Millis(1500), 10, "small") == 10);
}

TEST_CASE("refund is worth only what the bucket had room for ever since") {
  TokenBank bank = openAt(Start);
  take(bank, 1, Start);
  TimePoint now = Start + std::chrono::seconds(10);
  REQUIRE(take(bank, 400, now) == 400);
  // Ten seconds later the bucket has been full again: nothing is owed.
  TimePoint later = now + std::chrono::seconds(10);
  REQUIRE(take(bank, 400, later) == 400);
  later += timing::GrantLifetimeAtIssuer + Millis(100);
  refundCharge(bank, "alpha", 400, now, Rate, later);
  CHECK(take(bank, 1000, later) == 10);
}

TEST_CASE("spending stays within the bound under loss, doubles and failover") {
  for (uint64_t seed = 1; seed <= 1000; ++seed) {
    std::mt19937_64 random(seed);
    auto chance = [&](int Percent) {
      return static_cast<int>(random() % 100) < Percent;
    };
    TokenBank bank = openAt(Start);
    HeldGrants holders[2];
    std::vector<Spending> spent;
    std::vector<std::pair<TimePoint, wire::GrantReply>> replies[2];
    std::vector<std::pair<size_t, TimePoint>> charges;
    TimePoint now = Start;
    for (int step = 0; step < 600; ++step) {
      now += Millis(random() % 60);
      if (chance(1))
        openBank(bank, now);
      size_t who = random() % 2;
      HeldGrants &held = holders[who];
      uint64_t cost = 1 + random() % 150;
      if (spendTokens(held, "alpha", cost, now)) {
        spent.push_back({now, static_cast<double>(cost)});
        if (chance(50)) {
          // Later on part of it turns out not to be needed.
          uint64_t unused = random() % cost;
          spent.back().Tokens -= static_cast<double>(unused);
          returnCharge(held, "alpha", unused, now, now);
        }
      } else {
        wishTokens(held, "alpha", cost);
      }
      returnGrants(held, false, now);
      if (needsGrantRequest(held, now)) {
        auto request = makeGrantRequest(held, now);
        if (chance(10))
          continue;
        for (const auto &it : request.returned())
          if (it.grant() != 0)
            returnGrant(bank, "alpha", it.grant(), it.unspent(), Rate, now);
          else
            refundCharge(bank, "alpha", it.unspent(),
                         now - Millis(it.charged_ago_ms()), Rate, now);
        wire::GrantReply reply;
        reply.set_number(request.number());
        for (const auto &it : request.wanted()) {
          auto grant =
              takeGrant(bank, "alpha", Rate,
                        {std::to_string(who), it.tokens(), it.least()}, now);
          if (!grant)
            continue;
          auto *given = reply.add_grants();
          given->set_id(grant->Id);
          given->set_tenant("alpha");
          given->set_tokens(grant->Tokens);
        }
        // Replies come late, twice or never.
        int copies = chance(10) ? 0 : chance(10) ? 2 : 1;
        for (int i = 0; i < copies; ++i)
          replies[who].push_back({now + Millis(random() % 3000), reply});
      }
      for (size_t node = 0; node < 2; ++node)
        std::erase_if(replies[node], [&](auto &it) {
          if (it.first > now)
            return false;
          takeGrants(holders[node], it.second);
          return true;
        });
    }
    INFO("seed " << seed);
    REQUIRE(isWithinBound(spent));
  }
}
