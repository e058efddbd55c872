/// \file
/// State machine of an entry: API key check, rate limits, queueing, routing,
/// attempts and responses. Every received request ends in exactly one outcome.
#ifndef SASSAFRAS_ENTRY_ENTRY_STATE_H
#define SASSAFRAS_ENTRY_ENTRY_STATE_H

#include "entry/caller.h"
#include "fleet/node_view.h"
#include "policy/held_grants.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace sassafras {

/// Maximum number of queued requests of one organisation at one entry.
inline constexpr size_t MaxQueuedRequests = 2000;
/// Maximum number of attempts of one request. Refusals by agents are retried
/// beyond it.
inline constexpr uint32_t MaxAttempts = 4;
/// A request is not retried after this many broken or abandoned attempts.
inline constexpr uint32_t MaxBrokenAttempts = 2;
/// Maximum number of IDs in EntryState::NotRunIds.
inline constexpr size_t MaxNotRunIds = 4096;
/// Maximum number of response bytes buffered for one request.
inline constexpr size_t MaxBufferedResponseBytes = 16ULL * 1024 * 1024;

enum class RequestStage { Claiming, Queued, Running, Recording };

struct RunningAttempt {
  std::string Endpoint;
  std::string Address;
  uint64_t Incarnation = 0;
  uint64_t Fence = 0;
  TimePoint HeadDeadline; ///< The response head must have arrived by then.
  TimePoint LastReplyAt;
  TimePoint NextResend;
  bool IsAcknowledged = false;
  bool IsCancelling = false;
};

struct RequestState {
  CallerRequest Caller;
  std::string Organisation; ///< Empty on open routes.
  std::string Row;
  std::string Digest;
  std::string ClaimDigest; ///< Set only when the request is not repeatable.
  uint64_t ClaimWindowMs = 0;
  bool IsRepeatable = true;
  RequestStage Stage = RequestStage::Queued;
  TimePoint ArrivedAt;
  /// While queued or claiming: the next attempt must start by then. While
  /// recording: the response is delivered then without a recorded outcome.
  TimePoint Deadline;
  Millis LongestWait{0};
  TimePoint NextProposal;
  uint64_t Charged = 0;
  TimePoint ChargedAt;
  uint32_t Attempts = 0;
  uint32_t BrokenAttempts = 0;
  bool MayHaveRun = false;
  bool IsClaimHeldByOther = false;
  /// Must be the only request at its endpoint, because an earlier attempt of it
  /// broke or was lost, or a death is recorded for its digest.
  bool RunsAlone = false;
  bool IsColdStart = false;
  bool IsCallerDisconnected = false;
  std::optional<RunningAttempt> Attempt;
  /// Skipped until AvoidUntil, since they refused the request or restarted.
  std::set<std::string> AvoidedEndpoints;
  TimePoint AvoidUntil;
  // Response received so far by the current attempt.
  bool HasHead = false;
  bool IsHeadSent = false;
  unsigned Status = 0;
  std::vector<HttpHeader> Headers;
  uint64_t ReceivedBytes = 0;
  uint64_t EventCount = 0; ///< Server-sent events in a forwarded stream.
  /// Body so far; only its end if the response is forwarded as a stream.
  std::string BufferedBody;
  std::map<uint64_t, std::string> OutOfOrderChunks; ///< By offset.
  /// Known once the attempt's end was received.
  std::optional<uint64_t> BodyLength;
  TimePoint GapDeadline; ///< Missing chunks must have arrived by then.
};

struct OrganisationQueue {
  std::deque<std::string> Requests;
  double Deficit = 0; ///< Of deficit round robin, in tokens.
};

/// Invariant: accepted = answered + refused + failed + cancelled + pending (the
/// result of countPendingRequests, published as "held").
struct OutcomeCounts {
  uint64_t Accepted = 0;
  uint64_t Answered = 0;
  uint64_t Refused = 0;
  uint64_t Failed = 0;
  uint64_t Cancelled = 0;
};

struct EntryOptions {
  std::string Name;
  std::string Zone;
};

/// Lookup tables, rebuilt whenever the version of the view changes.
struct ViewIndex {
  uint64_t Version = 0;
  std::map<std::string, std::string> OrganisationByKeyHash;
  std::map<std::string, std::vector<std::string>> EndpointsByRow;
  /// Since when this entry has seen the row at an endpoint without
  /// interruption.
  std::map<std::string, TimePoint> LoadedSinceByRow;
  /// Path prefix and row name.
  std::vector<std::pair<std::string, std::string>> Services;
};

struct EntryState {
  EntryOptions Options;
  NodeView View;
  ViewIndex Index;
  HeldGrants Tokens;
  std::map<std::string, RequestState> Requests;
  std::map<std::string, OrganisationQueue> Queues; ///< By organisation.
  std::string NextOrganisation;             ///< Served first in the next round.
  std::map<std::string, uint32_t> InFlight; ///< Attempts by endpoint.
  /// Requests by row since the last heartbeat.
  std::map<std::string, uint32_t> Arrivals;
  /// Rows with queued requests at the last heartbeat.
  std::set<std::string> ReportedDemand;
  /// Releases of claims, not yet acknowledged.
  std::deque<wire::ClaimOutcome> PendingReleases;
  TimePoint NextRelease;
  /// IDs of ended requests with a claim that are known not to have run. A claim
  /// that is granted to one of them late is released again.
  std::set<std::string> NotRunIds;
  std::deque<std::string> NotRunOrder; ///< NotRunIds, oldest first.
  double RetryBudget = 10;             ///< Retries that may start now.
  OutcomeCounts Counts;
  bool IsStopping = false;
};

// ---- Events ----

/// Periodic timer; must be sent at least every 50 ms.
struct EntryTick {};
struct EntryReceived {
  wire::Envelope Message;
};
struct CallerArrived {
  CallerRequest Request;
};
/// The caller's connection closed before its response was complete.
struct CallerDisconnected {
  std::string Id;
};
/// The caller reads its response too slowly.
struct CallerTooSlow {
  std::string Id;
};
struct EntryStop {};
using EntryEvent = std::variant<EntryTick, EntryReceived, CallerArrived,
                                CallerDisconnected, CallerTooSlow, EntryStop>;

// ---- Effects ----

struct EntrySend {
  std::string Address;
  wire::Envelope Message;
};
/// Starts the response with its status and headers. The body, whose length is
/// not known yet, follows in ResponseBody effects.
struct ResponseHead {
  std::string Id;
  unsigned Status = 200;
  std::vector<HttpHeader> Headers;
  bool IsStream = false;
};
struct ResponseBody {
  std::string Id;
  std::string Bytes;
};
/// The whole response has been sent.
struct ResponseEnd {
  std::string Id;
};
/// Error response with a reason. Only produced while nothing of a response has
/// been sent.
struct RefusalResponse {
  std::string Id;
  Refusal Why;
};
/// The response failed after its head was sent. Must be terminated so that the
/// caller can tell it from a complete one.
struct ResponseAbort {
  std::string Id;
  Refusal Why;
};
/// Increments a metrics counter by one.
struct CounterIncrement {
  std::string Name;
  std::string Labels;
};
/// Records the time from arrival to response head of a request that waited for
/// its model to be loaded.
struct ObserveColdStart {
  Clock::duration Wait;
};
/// The entry has drained; the process may exit.
struct EntryExit {};
using EntryEffect = std::variant<EntrySend, ResponseHead, ResponseBody,
                                 ResponseEnd, RefusalResponse, ResponseAbort,
                                 CounterIncrement, ObserveColdStart, EntryExit>;
using EntryEffects = std::vector<EntryEffect>;

/// Applies one event that happens at \p Now and returns the effects to carry
/// out, in order.
EntryEffects stepEntry(EntryState &State, const EntryEvent &Event,
                       TimePoint Now);
/// Number of requests without an outcome.
inline uint64_t countPendingRequests(const EntryState &State) {
  return State.Requests.size();
}
/// True when a load balancer may route requests to this entry: it is not
/// stopping and its view is confirmed by a leader.
bool isEntryReady(const EntryState &State, TimePoint Now);

} // namespace sassafras

#endif
