/// \file
/// State machine of an agent, through which all requests to its endpoint pass:
/// admission, load and unload orders, drain, endpoint reports and death
/// reports. It does no I/O: events go in, effects come out. Not thread safe.
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

/// Ended attempts that are kept to recognise a repeated delivery.
inline constexpr size_t MaxEndedAttempts = 8192;

struct AgentOptions {
  std::string Name;
  uint64_t Incarnation = 0;
  std::string Address;
  std::string Zone;
  uint32_t Slots = 8;
  std::string Service; ///< Row of a plain service; empty for an engine.
};

/// State that an endpoint reports in an announcement.
struct EndpointReport {
  uint64_t Incarnation = 0;
  uint64_t MemoryMb = 0;
  bool IsLeaving = false;
  std::set<std::string> Loaded;
  std::set<std::string> Loading;
  std::set<std::string> Adapters; ///< Subset of Loaded.
  std::set<std::string> Cached;
};

/// Identifies one attempt of a request.
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
  /// Runs with no other: its request was running when an endpoint died.
  bool IsExclusive = false;
  bool HasHead = false;
  uint64_t Offset = 0;
  TimePoint NextProgress;
};

/// Outcome of an attempt that has ended on this agent.
struct EndedAttempt {
  wire::AttemptOutcome Outcome = wire::ATTEMPT_FAILED;
};

enum class OrderKind { Load, Unload };

/// An order sent to the endpoint and not yet answered.
struct OpenOrder {
  OrderKind Kind = OrderKind::Load;
  uint64_t Fence = 0;
};

/// The agent's knowledge of one row on the endpoint.
struct RowState {
  bool IsLoaded = false;
  bool IsAdapter = false;
  /// Fence of the load that the endpoint refused, or that was not ordered as
  /// memory was short or an unassigned row was still loaded.
  uint64_t FailedFence = 0;
  TimePoint LastOrderEndedAt; ///< Reports are ignored for the lag after it.
  bool IsUncertain = false;   ///< An order was not answered; reports decide.
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
  /// Reports lag behind the endpoint's state. A new agent process, or one that
  /// was paused, treats the state as unknown until this time, when the latest
  /// report is certain to have been made after the start or the pause.
  TimePoint ReportsTrustedFrom;
  TimePoint LastEventAt;
  bool HasSeenEndpoint = false;
  std::map<std::string, RowState> Rows;
  std::map<std::string, OpenOrder> Orders; ///< By row.
  std::map<AttemptKey, ActiveAttempt> Attempts;
  std::map<AttemptKey, EndedAttempt> Ended;
  std::deque<AttemptKey> EndedKeys; ///< Keys of Ended, oldest first.
  std::deque<RecentFailure> Failures;
  /// Deaths that the control leader has not yet recorded, by NAME/INCARNATION.
  std::map<std::string, wire::DeathReport> Deaths;
  /// Seconds in which loaded rows had no running attempt, each row weighted by
  /// its share of the endpoint's memory.
  std::chrono::duration<double> IdleTime{0};
  TimePoint IdleTimeUpdatedAt;
  bool IsStopping = false;
  TimePoint StoppingSince;
};

// ---- Events ----

/// Periodic event; must be delivered at least every 50 ms.
struct AgentTick {};
struct AgentReceived {
  wire::Envelope Message;
};
struct EndpointAnnounced {
  EndpointReport Report;
};
/// The endpoint's port refuses connections: its process has ended.
struct EndpointGone {};
/// The head of a response has arrived.
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
/// The exchange failed before the response was complete.
struct ExchangeFailed {
  AttemptKey Key;
  bool WasSent = true; ///< The endpoint may have received the request.
};
/// An order has ended or its connection has failed.
struct OrderResult {
  std::string Row;
  uint64_t Fence = 0;
  bool IsSuccess = false;
  bool IsAnswered = true; ///< False: the endpoint may still be executing it.
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
/// Sends the request to the endpoint.
struct StartExchange {
  AttemptKey Key;
  wire::Attempt Request;
};
struct CancelExchange {
  AttemptKey Key;
};
/// Orders the endpoint to load or unload a row.
struct SendOrder {
  OrderKind Kind = OrderKind::Load;
  std::string Row;
  std::string Base;
  bool IsAdapter = false;
  uint64_t MemoryMb = 0;
  uint64_t Fence = 0;  ///< Of the replica record that the order carries out.
  uint64_t Number = 0; ///< Fencing token for the endpoint; never decreases.
};
/// Checks immediately whether the endpoint's process still runs. A death is
/// counted against the running requests only once it is known; until then one
/// of them may be sent to another endpoint.
struct ProbeEndpoint {};
struct AgentExit {};
using AgentEffect = std::variant<AgentSend, StartExchange, CancelExchange,
                                 SendOrder, ProbeEndpoint, AgentExit>;
using AgentEffects = std::vector<AgentEffect>;

/// Applies one event at \p Now and returns the effects to execute.
AgentEffects stepAgent(AgentState &State, const AgentEvent &Event,
                       TimePoint Now);
/// True when the endpoint's last announcement is recent and the agent is not
/// stopping.
bool isAgentReady(const AgentState &State, TimePoint Now);

} // namespace sassafras

#endif
