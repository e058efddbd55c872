/// \file
/// Dispatch decisions: send a request to an endpoint, queue it, or refuse it.
///
/// Load patterns that are handled here:
/// - A burst that exceeds the capacity of a model's endpoints. The most urgent
///   requests go first. A request that cannot start in time is refused on
///   arrival, with the time after which capacity is expected.
/// - A cold start. Requests for a model that is not loaded wait only while its
///   load can complete in time.
/// - Requests that crash each endpoint that answers them. They are refused once
///   that is known (policy/crash_quarantine.h).
/// - Endpoints in need that state a request limit. Requests go to them within
///   the limit, to other endpoints, or wait only while a slot can be reached
///   in time (front/send_permits.h).
/// - Streams that are resumed while endpoints of several software versions
///   serve. They go on only at the version that began them
///   (front/stream_origins.h).
/// - An organisation that exceeds its rate. Its requests are refused before
///   they are queued.
#ifndef SASSAFRAS_FRONT_DISPATCH_H
#define SASSAFRAS_FRONT_DISPATCH_H

#include "front/admission.h"
#include "front/fleet_view.h"
#include "front/leaderless_wish.h"

#include <string>
#include <variant>
#include <vector>

namespace sassafras {

/// Decision: send the request to this endpoint.
struct SendTo {
  std::string Endpoint;
  std::string Address;
  double Load = 0;   ///< Estimated number of requests at the endpoint.
  Millis LoadAge{0}; ///< Age of the load report behind the estimate.
  /// Why it stays in the zone or leaves it; absent where that is not decided.
  std::optional<CrossingDecision> Crossing = std::nullopt;
};
/// Decision: decide again when the state changes, at Until at the latest.
struct WaitUntil {
  TimePoint Until;
};
/// A request to an engine's agent to load an adapter.
struct AdapterLoadRequest {
  std::string Agent; ///< Link address.
  wire::AdapterRequest Payload;
};

using DispatchDecision = std::variant<SendTo, WaitUntil, FrontRefusal>;

struct DispatchResult {
  DispatchDecision Decision;
  std::vector<AdapterLoadRequest> AdapterRequests;
  /// Model load to request from an engine's agent.
  std::optional<ModelLoadRequest> LoadRequest;
  /// Demand to report to the leader without waiting for the next heartbeat.
  std::optional<wire::RowDemand> DemandReport;
  /// Quota tokens to request from the leader or other fronts now.
  std::optional<wire::QuotaRequest> PoolQuotaRequest;
  /// Queries to other fronts for the origin of a resumed stream.
  NodeMessages OriginQueries;
  /// Permits to request from the leader now.
  std::optional<wire::SendPermitRequest> PermitRequest;
};

/// Decides on a request that is not at an endpoint. Charges its organisation's
/// quota, and records the request as waiting or as expected to be retried
/// according to the decision. Not thread safe.
DispatchResult decideDispatch(FrontState &State, FrontRequest &Request,
                              TimePoint Now);

/// Records that the request was sent to \p Endpoint.
void recordDispatch(FrontState &State, FrontRequest &Request,
                    const std::string &Endpoint, TimePoint Now);
/// Records that the exchange with \p Endpoint has ended.
void recordExchangeEnd(FrontState &State, const FrontRequest &Request,
                       const std::string &Endpoint);
/// Removes a request that has its outcome from the requests that wait for an
/// endpoint or for quota tokens.
void removeWaitingRequest(FrontState &State, const FrontRequest &Request);

/// Refused requests that a front remembers until their callers give up.
inline constexpr size_t MaxRefusedCallers = 2'048;
/// Records that \p Request is refused. True if this front refused the same one
/// before. Misses those that other fronts refused, and takes like requests of
/// several callers for one.
bool recordRefusedCaller(FrontState &State, const FrontRequest &Request,
                         TimePoint Now);
/// Records a request that waits, also for something else than room.
void recordWaiting(FrontState &State, const FrontRequest &Request);
/// Numbers of all waiting requests in the order in which they are served.
/// Thread safe while \p State does not change.
std::vector<uint64_t> listInOrder(const FrontState &State, TimePoint Now);
/// Numbers of the waiting requests that could take the room of \p Request and
/// are served before it, in order. Thread safe while \p State does not change.
std::vector<uint64_t> listCallersBefore(const FrontState &State,
                                        const FrontRequest &Request,
                                        TimePoint Now);

/// How an exchange with an endpoint failed.
enum class ExchangeFailure {
  Unreachable, ///< Not sent: no connection.
  Rejected,    ///< The endpoint stated that it did not run the request.
  Broken,      ///< Sent, but no complete response was received.
  Error,       ///< A complete response that reports a failure.
};

/// Whether a request is dispatched again after a failed exchange.
struct RetryDecision {
  bool IsRetry = false;
  std::optional<RetryReason> Why;
  /// For a request that is not retried and has no response to forward.
  FrontRefusal Refusal;
};

/// Decides whether to retry after a failed exchange with \p Endpoint, and
/// records the failure. \p HasResponse: the endpoint's own response can be
/// forwarded instead of a refusal. Not thread safe.
RetryDecision decideRetry(FrontState &State, FrontRequest &Request,
                          const std::string &Endpoint, ExchangeFailure Failure,
                          bool HasResponse, TimePoint Now);

/// Applies the leader's reply to a request for quota tokens. Ignores a grant of
/// an older term.
void applyQuotaGrant(FrontState &State, const wire::QuotaGrant &Grant,
                     TimePoint Now);
/// Logs, for each organisation that reached its limit here since the last call,
/// how many tokens were spent and where they came from.
void logQuotaTallies(FrontState &State, TimePoint Now);

/// Removes the requested model, or its adapter, from what is known of
/// \p Endpoint, which answered that it does not have it.
void recordMissingModel(FrontState &State, const FrontRequest &Request,
                        const std::string &Endpoint);

} // namespace sassafras

#endif
