/// \file
/// Decisions of an entry: key check, limits, queueing, routing, attempts and
/// answers. Every request that arrives ends in exactly one outcome.
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

/// Requests of one tenant that may wait at one entry.
inline constexpr size_t MaxQueuedRequests = 2000;
/// Attempts of one request at most.
inline constexpr uint32_t MaxAttempts = 4;
/// Broken answers of one request after which it is not tried again.
inline constexpr uint32_t MaxBrokenAttempts = 2;
/// Ended requests with a claim that are remembered as never run.
inline constexpr size_t MaxNotRunIds = 4096;
/// Bytes of an answer that is held until it is whole.
inline constexpr size_t MaxBufferedResponseBytes = 16ULL * 1024 * 1024;

enum class RequestStage { Claiming, Queued, Running, Recording };

struct RunningAttempt {
  std::string Endpoint;
  std::string Address;
  uint64_t Incarnation = 0;
  uint64_t Fence = 0;
  TimePoint HeadDeadline; ///< The answer must have begun by then.
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
  std::string ClaimDigest; ///< Set when the request must not be repeated.
  uint64_t ClaimWindowMs = 0;
  bool IsRepeatable = true;
  RequestStage Stage = RequestStage::Queued;
  TimePoint ArrivedAt;
  TimePoint Deadline; ///< It must have been started by then.
  Millis LongestWait{0};
  TimePoint NextProposal;
  uint64_t Charged = 0;
  TimePoint ChargedAt;
  uint32_t Attempts = 0;
  uint32_t BrokenAttempts = 0;
  bool MayHaveRun = false;
  bool IsClaimHeldByOther = false; ///< Another request holds the same claim.
  bool RunsAlone = false;          ///< Ran where an answer broke: runs alone.
  bool IsColdStart = false;
  bool IsCallerDisconnected = false;
  std::optional<RunningAttempt> Attempt;
  std::set<std::string> AvoidedEndpoints; ///< Endpoints that refused it.
  TimePoint AvoidUntil;
  // The answer so far.
  bool HasHead = false;
  bool IsHeadSent = false;
  unsigned Status = 0;
  std::vector<HttpHeader> Headers;
  uint64_t ReceivedBytes = 0;
  uint64_t EventCount = 0; ///< Server-sent events seen.
  std::string BufferedBody;
  std::map<uint64_t, std::string>
      OutOfOrderChunks;               ///< Pieces that came before others.
  std::optional<uint64_t> BodyLength; ///< Of the body, once it is told.
  TimePoint GapDeadline; ///< What is missing must have come by then.
};

struct OrganisationQueue {
  std::deque<std::string> Requests;
  double Deficit = 0;
};

/// Counts that must add up: accepted = answered + refused + failed +
/// cancelled + held.
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

/// Look-ups made anew whenever the view changes.
struct ViewIndex {
  uint64_t Version = 0;
  std::map<std::string, std::string> OrganisationByKeyHash; ///< By key hash.
  std::map<std::string, std::vector<std::string>> EndpointsByRow;
  std::map<std::string, TimePoint> LoadedSinceByRow; ///< By row, as seen here.
  std::vector<std::pair<std::string, std::string>> Services; ///< Path, row.
};

struct EntryState {
  EntryOptions Options;
  NodeView View;
  ViewIndex Index;
  HeldGrants Tokens;
  std::map<std::string, RequestState> Requests;
  std::map<std::string, OrganisationQueue> Queues; ///< By tenant.
  std::string NextOrganisation;                    ///< Whose turn it is.
  std::map<std::string, uint32_t> InFlight;        ///< By endpoint.
  std::map<std::string, uint32_t> Arrivals; ///< By row, not yet reported.
  std::set<std::string> ReportedDemand;
  std::deque<wire::ClaimOutcome> PendingReleases; ///< Claims to set free.
  TimePoint NextRelease;
  /// Requests with a claim that ended surely not run, the newest last.
  std::set<std::string> NotRunIds;
  std::deque<std::string> NotRunOrder;
  double RetryBudget = 10;
  OutcomeCounts Counts;
  bool IsStopping = false;
};

// ---- Events ----

/// Time has passed; send one at least every 50 ms.
struct EntryTick {};
struct EntryReceived {
  wire::Envelope Message;
};
struct CallerArrived {
  CallerRequest Request;
};
/// The caller's connection ended before its answer did.
struct CallerDisconnected {
  std::string Id;
};
/// The caller does not read what it is sent.
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
/// Start of an answer; its length follows by counting unless it is known.
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
/// The whole answer was passed on.
struct ResponseEnd {
  std::string Id;
};
/// No answer: an error with a reason. Nothing was passed on before.
struct RefusalResponse {
  std::string Id;
  Refusal Why;
};
/// The answer broke off after its head: end so that the caller can tell.
struct ResponseAbort {
  std::string Id;
  Refusal Why;
};
/// One more of a counter.
struct CounterIncrement {
  std::string Name;
  std::string Labels;
};
struct ObserveColdStart {
  Clock::duration Wait;
};
/// Everything is finished: the process may exit.
struct EntryExit {};
using EntryEffect = std::variant<EntrySend, ResponseHead, ResponseBody,
                                 ResponseEnd, RefusalResponse, ResponseAbort,
                                 CounterIncrement, ObserveColdStart, EntryExit>;
using EntryEffects = std::vector<EntryEffect>;

/// Takes one event at \p Now.
EntryEffects stepEntry(EntryState &State, const EntryEvent &Event,
                       TimePoint Now);
/// Requests without an outcome yet.
inline uint64_t countPendingRequests(const EntryState &State) {
  return State.Requests.size();
}
/// True when the balancer may send callers here.
bool isEntryReady(const EntryState &State, TimePoint Now);

} // namespace sassafras

#endif
