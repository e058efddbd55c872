/// \file
/// Loans of quota tokens between fronts while no leader grants any.
///
/// Load pattern: an organisation within its rate, whose callers come to a few
/// fronts, while there is no leader. Each front then has an equal part of the
/// rate: most of it stayed unused at fronts without requests, and the others
/// refused. A front that lacks tokens asks some of the fronts in view. What a
/// front lends it takes from its own level at once, so that each token exists
/// once, also when the answer is late or lost.
#ifndef SASSAFRAS_FRONT_QUOTA_LOANS_H
#define SASSAFRAS_FRONT_QUOTA_LOANS_H

#include "front/fleet_view.h"
#include "front/front_state.h"

#include <optional>

namespace sassafras {

/// Fronts that are asked at once.
inline constexpr size_t MaxLenders = 8;
/// Each is asked for its part times this, as some lend less.
inline constexpr double LoanMargin = 2;

/// Returns true for a request to another front, not to a leader. Pure.
bool isLoanRequest(const wire::QuotaRequest &Request);
/// Records in \p Quota that \p Request goes to other fronts. Returns false when
/// there are none in view, or when the last loans may still be in use.
bool prepareLoans(FrontState &State, LocalQuota &Quota,
                  wire::QuotaRequest &Request, TimePoint Now);
/// Returns the messages that carry \p Request to the leader or to the fronts
/// that are asked for loans, each with its own number.
NodeMessages makeQuotaMessages(const FrontState &State,
                               const wire::QuotaRequest &Request,
                               TimePoint Now);
/// Lends tokens of this front. Returns nothing when it can spare none, or when
/// the request is not valid.
std::optional<wire::QuotaGrant>
lendQuota(FrontState &State, const wire::QuotaRequest &Request, TimePoint Now);
/// True for an answer of lendQuota. Leaders' terms begin at 1.
bool isLoan(const wire::QuotaGrant &Grant);
/// Adds the tokens lent by another front. Each number is accepted once, until
/// the end of GrantLifetime.
void applyLoan(FrontState &State, const wire::QuotaGrant &Grant, TimePoint Now);

} // namespace sassafras

#endif
