#include "front/quota_loans.h"

#include <algorithm>

namespace sassafras {

namespace {

/// Returns the addresses of fronts in view, at most MaxLenders. Subsequent
/// requests begin with other ones.
std::vector<std::string> chooseLenders(const FrontState &State, uint64_t Number,
                                       TimePoint Now) {
  std::vector<std::string> out;
  for (const auto &[name, it] : State.Roster.Nodes)
    if (it.Entry.kind() == wire::NODE_FRONT && isInView(it, Now))
      out.push_back(it.Entry.address());
  if (out.empty())
    return out;
  std::rotate(out.begin(),
              out.begin() + static_cast<ptrdiff_t>(Number % out.size()),
              out.end());
  out.resize(std::min(out.size(), MaxLenders));
  return out;
}

} // namespace

bool isLoanRequest(const wire::QuotaRequest &Request) {
  return Request.least() == 0;
}

bool prepareLoans(FrontState &State, LocalQuota &Quota,
                  wire::QuotaRequest &Request, TimePoint Now) {
  size_t count = chooseLenders(State, Request.number(), Now).size();
  if (count == 0)
    return false;
  Request.set_least(0);
  Quota.RequestNumber = 0;
  Quota.LoanNumbers.clear();
  State.LastQuotaRequest = Request.number() + count - 1;
  for (uint64_t it = Request.number(); it <= State.LastQuotaRequest; ++it)
    Quota.LoanNumbers.insert(it);
  return true;
}

NodeMessages makeQuotaMessages(const FrontState &State,
                               const wire::QuotaRequest &Request,
                               TimePoint Now) {
  NodeMessages out;
  wire::Envelope message;
  *message.mutable_quota_wish() = Request;
  if (!isLoanRequest(Request)) {
    if (!State.Leader.Address.empty())
      out.push_back({State.Leader.Address, std::move(message)});
    return out;
  }
  auto lenders = chooseLenders(State, Request.number(), Now);
  uint64_t number = Request.number();
  for (const std::string &it : lenders) {
    wire::QuotaRequest &wish = *message.mutable_quota_wish();
    wish.set_wanted(Request.wanted() * LoanMargin /
                    static_cast<double>(std::max<size_t>(
                        lenders.size(), static_cast<size_t>(LoanMargin))));
    wish.set_number(number++);
    out.push_back({it, message});
  }
  return out;
}

std::optional<wire::QuotaGrant>
lendQuota(FrontState &State, const wire::QuotaRequest &Request, TimePoint Now) {
  if (!State.Table || !(Request.wanted() > 0))
    return std::nullopt;
  const auto &organisations = State.Table->Organisations;
  auto found = std::find_if(
      organisations.begin(), organisations.end(),
      [&](const auto &it) { return it.Name == Request.organisation(); });
  if (found == organisations.end() || found->RatePerSecond <= 0)
    return std::nullopt;
  double lent =
      takeLoan(State.Quotas[found->Name], quotaLimitOf(State, *found, Now),
               Request.wanted(), quotaPositionOf(State, Now), Now);
  if (lent <= 0)
    return std::nullopt;
  wire::QuotaGrant out;
  out.set_number(Request.number());
  out.set_organisation(found->Name);
  out.set_granted(lent);
  return out;
}

bool isLoan(const wire::QuotaGrant &Grant) { return Grant.term() == 0; }

void applyLoan(FrontState &State, const wire::QuotaGrant &Grant,
               TimePoint Now) {
  auto found = State.Quotas.find(Grant.organisation());
  if (found == State.Quotas.end() || !(Grant.granted() > 0))
    return;
  LocalQuota &quota = found->second;
  if (quota.LoanNumbers.erase(Grant.number()) == 0 ||
      isPast(quota.GrantEnd, Now)) {
    quota.Tally.Late += Grant.granted();
    return;
  }
  quota.Level += Grant.granted();
  quota.HasLoans = true;
  quota.Tally.Borrowed += Grant.granted();
}

} // namespace sassafras
