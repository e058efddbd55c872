/// \file
/// Where a request goes next: to an endpoint, to wait, or back to its caller.
///
/// Load patterns: a burst beyond what the endpoints of a model can take (the
/// most urgent goes first, and what cannot start in time is refused when it
/// comes, with the time at which there is room); a cold model (its requests
/// wait only while its load can be over in time); an organisation beyond its
/// rate (refused before anything of it waits).
#ifndef SASSAFRAS_FRONT_DISPATCH_H
#define SASSAFRAS_FRONT_DISPATCH_H

#include "front/admission.h"
#include "front/leaderless_wish.h"

#include <string>
#include <variant>
#include <vector>

namespace sassafras {

/// Send the request there.
struct SendTo {
  std::string Endpoint;
  std::string Address;
  double Load = 0;   ///< Requests that it was believed to hold.
  Millis LoadAge{0}; ///< Of the report on which that rests.
};
/// Ask again when something has changed, at the latest at Until.
struct WaitUntil {
  TimePoint Until;
};
/// Ask an engine's agent for an adapter.
struct AskForAdapter {
  std::string Agent; ///< Inner address.
  wire::AdapterWish Wish;
};

using DispatchDecision = std::variant<SendTo, WaitUntil, FrontRefusal>;

struct DispatchResult {
  DispatchDecision Decision;
  std::vector<AskForAdapter> Wishes;
  /// An engine's agent should be asked for the model itself.
  std::optional<AskForModel> Load;
  /// The leader should be told of this model now.
  std::optional<wire::RowDemand> Wish;
  /// The leader should be asked for these tokens now.
  std::optional<wire::QuotaWish> QuotaWish;
};

/// Decides for a request that is not under way. Notes it as waiting or wanted
/// as the decision says.
DispatchResult decideDispatch(FrontState &State, FrontRequest &Request,
                              TimePoint Now);

/// The request was sent / its exchange is over.
void noteDispatched(FrontState &State, FrontRequest &Request,
                    const std::string &Endpoint);
void noteExchangeOver(FrontState &State, const FrontRequest &Request,
                      const std::string &Endpoint);
/// The request has its outcome: it waits no longer.
void forgetRequest(FrontState &State, const FrontRequest &Request);

/// How an exchange with an endpoint failed.
enum class ExchangeFailure {
  Unreachable, ///< Never sent: no connection.
  Rejected,    ///< The endpoint says that it did not run it.
  Broken,      ///< Sent, and no whole answer came.
  Error,       ///< A whole answer that tells of a failure.
};

/// What follows a failed exchange: another dispatch, or the end.
struct AfterFailure {
  bool IsRetry = false;
  std::optional<RetryReason> Why;
  FrontRefusal Refusal; ///< When there is no retry and no answer to pass on.
};

/// \p HasAnswer: the endpoint's own answer can be passed on instead.
AfterFailure decideAfterFailure(FrontState &State, FrontRequest &Request,
                                const std::string &Endpoint,
                                ExchangeFailure Failure, bool HasAnswer,
                                TimePoint Now);

/// Takes what the leader answered to a wish for tokens.
void applyQuotaGrant(FrontState &State, const wire::QuotaGrant &Grant,
                     TimePoint Now);

/// The endpoint said that it does not hold what the request asks for: what
/// was known of it is out of date.
void noteAbsent(FrontState &State, const FrontRequest &Request,
                const std::string &Endpoint);

} // namespace sassafras

#endif
