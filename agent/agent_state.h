/// \file
/// Decisions of an agent, the only door to its endpoint: admission, orders,
/// drain, reports and deaths.
#ifndef SASSAFRAS_AGENT_AGENT_STATE_H
#define SASSAFRAS_AGENT_AGENT_STATE_H

#include "fleet/node_view.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace sassafras {

/// Ends of attempts that are remembered, so that a resend is recognised.
inline constexpr size_t MaxEndedAttempts = 8192;

struct AgentOptions {
  std::string Name;
  uint64_t Incarnation = 0;
  std::string Address;
  std::string Zone;
  uint32_t Slots = 8;
  std::string Service; ///< Row that a plain service serves; empty: an engine.
};

/// What an endpoint says of itself when it announces.
struct EndpointReport {
  uint64_t Incarnation = 0;
  uint64_t MemoryMb = 0;
  bool IsLeaving = false;
  std::set<std::string> Loaded;
  std::set<std::string> Loading;
  std::set<std::string> Adapters; ///< Those of Loaded that are adapters.
  std::set<std::string> Cached;
};

/// One attempt of one request.
struct AttemptKey {
  std::string RequestId;
  uint32_t Number = 0;
  bool operator<(const AttemptKey &Other) const {
    return std::tie(RequestId, Number) <
           std::tie(Other.RequestId, Other.Number);
  }
};

struct ActiveAttempt {
  std::string ReplyAddress;
  std::string Row;
  std::string Digest;
  bool IsAlone = false;
  bool HasHead = false;
  uint64_t Offset = 0;
  TimePoint NextProgress;
};

/// How an attempt ended here.
struct EndedAttempt {
  wire::AttemptOutcome Outcome = wire::ATTEMPT_FAILED;
};

enum class OrderKind { Load, Unload };

/// An order given to the endpoint and not yet answered.
struct OpenOrder {
  OrderKind Kind = OrderKind::Load;
  uint64_t Fence = 0;
};

/// What is known of a row on the endpoint.
struct RowState {
  bool IsLoaded = false;
  bool IsAdapter = false;
  uint64_t FailedFence = 0; ///< Load order that the endpoint refused.
  TimePoint SettledAt;      ///< Reports from before say nothing.
  bool IsUncertain = false; ///< An order was not answered: wait for reports.
  TimePoint LastUse;
};

struct RecentFailure {
  std::string Digest;
  TimePoint At;
};

struct AgentState {
  AgentOptions Options;
  NodeView View;
  EndpointReport Endpoint;
  bool IsEndpointUp = false;
  TimePoint LastAnnounce;
  /// Reports lag, so a new agent process, or one that was stopped for a
  /// while, waits until one that must have been made later has come in.
  TimePoint TrustFrom;
  TimePoint LastStep;
  bool HasSeenEndpoint = false;
  std::map<std::string, RowState> Rows;
  std::map<std::string, OpenOrder> Orders; ///< By row.
  std::map<AttemptKey, ActiveAttempt> Attempts;
  std::map<AttemptKey, EndedAttempt> Ended;
  std::deque<AttemptKey> EndedOrder;
  std::deque<RecentFailure> Failures;
  std::map<std::string, wire::DeathReport> Deaths; ///< Not yet recorded.
  /// Time that loaded rows served nobody, by their share of the memory.
  std::chrono::duration<double> IdleTime{0};
  TimePoint IdleCountedAt;
  bool IsStopping = false;
  TimePoint StopSince;
};

// ---- Events ----

/// Time has passed; send one at least every 50 ms.
struct AgentTick {};
struct AgentReceived {
  wire::Envelope Message;
};
struct EndpointAnnounced {
  EndpointReport Report;
};
/// The endpoint's port refuses connections: its process is gone.
struct EndpointGone {};
struct EndpointHead {
  AttemptKey Key;
  unsigned Status = 0;
  std::vector<wire::Header> Headers;
};
struct EndpointBody {
  AttemptKey Key;
  std::string Bytes;
};
struct EndpointEnd {
  AttemptKey Key;
};
/// The exchange broke; Sent tells whether the endpoint may have seen it.
struct ExchangeFailed {
  AttemptKey Key;
  bool WasSent = true;
};
struct OrderResult {
  std::string Row;
  uint64_t Fence = 0;
  bool IsDone = false;
  bool IsAnswered = true; ///< Without an answer it may still go on.
};
struct AgentStop {};
using AgentEvent =
    std::variant<AgentTick, AgentReceived, EndpointAnnounced, EndpointGone,
                 EndpointHead, EndpointBody, EndpointEnd, ExchangeFailed,
                 OrderResult, AgentStop>;

// ---- Effects ----

struct AgentSend {
  std::string Address;
  wire::Envelope Message;
};
/// Send the request to the endpoint.
struct StartExchange {
  AttemptKey Key;
  wire::Attempt Request;
};
struct CancelExchange {
  AttemptKey Key;
};
/// Order the endpoint to load or unload.
struct SendOrder {
  OrderKind Kind = OrderKind::Load;
  std::string Row;
  std::string Base;
  bool IsAdapter = false;
  uint64_t MemoryMb = 0;
  uint64_t Fence = 0;  ///< Of the decision that the order carries out.
  uint64_t Number = 0; ///< Fencing number for the endpoint; never falls.
};
/// Find out at once whether the endpoint's process is still there. A death
/// counts against the requests that ran only once it is known, and until then
/// another endpoint may be given one of them.
struct ProbeEndpoint {};
struct AgentExit {};
using AgentEffect = std::variant<AgentSend, StartExchange, CancelExchange,
                                 SendOrder, ProbeEndpoint, AgentExit>;
using AgentEffects = std::vector<AgentEffect>;

/// Takes one event at \p Now.
AgentEffects stepAgent(AgentState &State, const AgentEvent &Event,
                       TimePoint Now);
/// True when the endpoint is announced and the agent is not stopping.
bool isAgentReady(const AgentState &State, TimePoint Now);

} // namespace sassafras

#endif
