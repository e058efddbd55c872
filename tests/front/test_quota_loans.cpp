/// \file
/// Tokens that a front lends exist once, whatever happens to the messages.
#include "front/dispatch.h"
#include "front/quota_loans.h"

#include <catch2/catch.hpp>

#include <limits>

using namespace sassafras;

namespace {

const TimePoint Start = TimePoint() + std::chrono::hours(1);

FrontState makeFront(const std::string &Name) {
  FrontState out;
  out.Self.set_name(Name);
  out.Self.set_address(Name);
  out.Self.set_kind(wire::NODE_FRONT);
  out.StartedAt = Start;
  out.FrontCountTold = 2;
  out.FrontCountToldAt = Start;
  auto table = std::make_shared<ServingTable>();
  OrganisationSpec organisation;
  organisation.Name = "first";
  organisation.Keys = {"key"};
  organisation.RatePerSecond = 1'000;
  organisation.Burst = 10'000;
  table->Organisations.push_back(organisation);
  indexServingTable(*table);
  out.Table = table;
  return out;
}

wire::QuotaRequest makeLoanRequest(double Wanted, uint64_t Number) {
  wire::QuotaRequest out;
  out.set_organisation("first");
  out.set_wanted(Wanted);
  out.set_number(Number);
  return out;
}

} // namespace

TEST_CASE("loan leaves the lender's level and is accepted once") {
  TimePoint now = Start + std::chrono::seconds(3);
  FrontState lender = makeFront("a");
  auto grant = lendQuota(lender, makeLoanRequest(300, 7), now);
  REQUIRE(grant);
  CHECK(grant->granted() == Approx(300));
  double level = lender.Quotas["first"].Level;
  // 0.45 of the rate for 2.1 s, as a leader may have counted on it before.
  CHECK(level < 0.45 * 1'000 * 2.1 + 0.05 * 1'000 * 0.9 - 300 + 1);
  CHECK(level > 0);

  FrontState borrower = makeFront("b");
  LocalQuota &quota = borrower.Quotas["first"];
  quota.LoanNumbers = {7, 8};
  quota.GrantEnd = now + GrantLifetime;
  applyQuotaGrant(borrower, *grant, now);
  CHECK(quota.Level == Approx(300));
  applyQuotaGrant(borrower, *grant, now);
  CHECK(quota.Level == Approx(300));
  // No leader was heard.
  CHECK(borrower.PoolHeardAt == TimePoint());
  // An answer after the end of use, and one to another process.
  grant->set_number(8);
  applyQuotaGrant(borrower, *grant, now + GrantLifetime);
  grant->set_number(9);
  applyQuotaGrant(borrower, *grant, now);
  CHECK(quota.Level == Approx(300));
  // What was borrowed is not lent on.
  CHECK_FALSE(lendQuota(borrower, makeLoanRequest(300, 1), now));
}

TEST_CASE(
    "front lends no tokens that it needs, and none for invalid requests") {
  TimePoint now = Start + std::chrono::seconds(3);
  FrontState lender = makeFront("a");
  CHECK_FALSE(lendQuota(
      lender, makeLoanRequest(std::numeric_limits<double>::quiet_NaN(), 1),
      now));
  CHECK_FALSE(lendQuota(lender, makeLoanRequest(-5, 1), now));
  wire::QuotaRequest unknown = makeLoanRequest(5, 1);
  unknown.set_organisation("other");
  CHECK_FALSE(lendQuota(lender, unknown, now));
  lender.Quotas["first"].Waiting[{0, 1}] = {2'000, 1, 0};
  CHECK_FALSE(lendQuota(lender, makeLoanRequest(5, 1), now));
  lender.Quotas["first"].Waiting.clear();
  auto all = lendQuota(
      lender, makeLoanRequest(std::numeric_limits<double>::infinity(), 1), now);
  REQUIRE(all);
  CHECK(all->granted() <= 0.45 * 1'000 * 2.1 + 0.05 * 1'000 * 0.9 + 1);
  // A front that has just started has nothing.
  FrontState started = makeFront("c");
  CHECK_FALSE(lendQuota(started, makeLoanRequest(5, 1), Start));
}
