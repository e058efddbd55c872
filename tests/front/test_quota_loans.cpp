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

// A leader was elected while loans were under way. Asking it extended the time
// in which their tokens could be used, and lenders had refilled by then.
TEST_CASE("loans do not outlive a request to the leader") {
  TimePoint now = Start + std::chrono::seconds(3);
  FrontState state = makeFront("b");
  RequestAttributes attributes;
  attributes.Id = "1";
  attributes.Host = "h";
  attributes.Path = "/x";
  attributes.Key = "key";
  auto table = std::make_shared<ServingTable>(*state.Table);
  ServingRoute route;
  route.Name = "r";
  route.Host = "h";
  route.PathPrefix = "/";
  route.Timeout = Millis(12'000);
  route.Objective = Millis(9'000);
  route.Services = {{"plain", 1}};
  table->Services["plain"].Name = "plain";
  table->Routes.push_back(route);
  indexServingTable(*table);
  state.Table = table;
  LocalQuota &quota = state.Quotas["first"];
  quota.FilledAt = now;
  quota.FilledRate = 1'000;
  quota.LoanNumbers = {7, 8};
  quota.GrantEnd = now + GrantLifetime;
  wire::QuotaGrant loan;
  loan.set_organisation("first");
  loan.set_number(7);
  loan.set_granted(100'000);
  applyQuotaGrant(state, loan, now);
  REQUIRE(quota.Level == Approx(100'000));
  // Now there is a leader, and a request that needs more.
  state.Leader.HeardAt = now;
  state.Leader.Node = state.Leader.Address = "l";
  auto admitted = admitRequest(state, attributes, now);
  REQUIRE(std::holds_alternative<FrontRequest>(admitted));
  FrontRequest request = std::get<FrontRequest>(admitted);
  request.Cost = 200'000;
  auto result = decideDispatch(state, request, now);
  REQUIRE(result.PoolQuotaRequest);
  CHECK_FALSE(isLoanRequest(*result.PoolQuotaRequest));
  CHECK(quota.Level < storedBurstOf({1'000, 10'000, {}, true}));
  double level = quota.Level;
  loan.set_number(8);
  applyQuotaGrant(state, loan, now + Millis(100));
  CHECK(quota.Level == Approx(level));
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
