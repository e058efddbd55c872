#include "front/endpoint_statements.h"

#include "core/hash.h"
#include "core/logging.h"

#include <cmath>

namespace sassafras {

namespace {

/// Largest limit that is accepted from another node.
constexpr double MaxRequestLimit = 1e6;
/// Longest age of a statement from another node that is told apart.
constexpr uint64_t MaxAgeMs = 60'000;

struct LimitStatement {
  std::optional<double> Limit;
  TimePoint StatedAt;
};

const KnownEndpoint *findEndpoint(const FrontState &State,
                                  const std::string &Id) {
  auto it = State.Directory.Endpoints.find(Id);
  return it == State.Directory.Endpoints.end() ? nullptr : &it->second;
}

std::string textOf(const std::optional<double> &Limit) {
  return Limit ? std::to_string(*Limit) : "none";
}

EndpointStatement makeStatement(uint64_t BornMs) {
  EndpointStatement out;
  out.BornMs = BornMs;
  return out;
}

/// What the process of \p Endpoint that started at \p BornMs stated; null if a
/// later process is known.
EndpointStatement *findStatement(FrontState &State, const std::string &Endpoint,
                                 uint64_t BornMs) {
  auto [entry, isNew] = State.Statements.try_emplace(Endpoint);
  EndpointStatement &known = entry->second;
  if (!isNew && BornMs < known.BornMs)
    return nullptr;
  if (isNew || BornMs > known.BornMs)
    known = makeStatement(BornMs);
  return &known;
}

/// Returns true if it was not known that the process leaves.
bool applyLeaving(FrontState &State, const std::string &Endpoint,
                  uint64_t BornMs, const char *Source, TimePoint Now) {
  EndpointStatement *known = findStatement(State, Endpoint, BornMs);
  if (!known || known->LeavingUntil != TimePoint())
    return false;
  known->LeavingUntil = Now + State.Limits.LongestLeaving;
  logEvent(LogLevel::Info, "endpoint_leaving",
           {{"endpoint", Endpoint}, {"source", Source}});
  return true;
}

/// Applies a statement of the process of \p Endpoint that started at \p BornMs.
/// Returns true if the limit has changed.
bool applyLimit(FrontState &State, const std::string &Endpoint, uint64_t BornMs,
                const LimitStatement &Stated, const char *Source) {
  auto [entry, isNew] = State.Statements.try_emplace(Endpoint);
  EndpointStatement &known = entry->second;
  if (isNew && !Stated.Limit) {
    State.Statements.erase(entry);
    return false;
  }
  if (!isNew && BornMs < known.BornMs)
    return false;
  if (isNew || BornMs > known.BornMs)
    known = makeStatement(BornMs);
  if (Stated.StatedAt < known.StatedAt)
    return false;
  known.StatedAt = Stated.StatedAt;
  if (known.RequestLimit == Stated.Limit)
    return false;
  logEvent(LogLevel::Info, "endpoint_limit",
           {{"endpoint", Endpoint},
            {"requests_per_s", textOf(Stated.Limit)},
            {"before", textOf(known.RequestLimit)},
            {"source", Source}});
  known.RequestLimit = Stated.Limit;
  return true;
}

bool isValidLimit(double Limit) {
  return std::isfinite(Limit) && Limit >= 0 && Limit <= MaxRequestLimit;
}

wire::EndpointStatement toWire(const std::string &Id,
                               const EndpointStatement &Known, TimePoint Now) {
  wire::EndpointStatement out;
  out.set_endpoint(Id);
  out.set_born_ms(Known.BornMs);
  out.set_age_ms(toMillis(Now - Known.StatedAt));
  out.set_has_limit(Known.RequestLimit.has_value());
  out.set_requests_per_s(Known.RequestLimit.value_or(0));
  out.set_is_leaving(Known.LeavingUntil != TimePoint());
  return out;
}

} // namespace

std::optional<double> requestLimitOf(const FrontState &State,
                                     const KnownEndpoint &Endpoint) {
  auto it = State.Statements.find(Endpoint.Id);
  if (it == State.Statements.end() || it->second.BornMs != Endpoint.BornMs)
    return std::nullopt;
  return it->second.RequestLimit;
}

bool takesRequests(const FrontState &State, const KnownEndpoint &Endpoint,
                   TimePoint Now) {
  if (!isUsable(Endpoint, Now) || isEvacuated(State.Evacuations, Endpoint.Zone))
    return false;
  auto it = State.Statements.find(Endpoint.Id);
  return it == State.Statements.end() || it->second.BornMs != Endpoint.BornMs ||
         isPast(it->second.LeavingUntil, Now);
}

TimePoint pauseEndOf(const FrontState &State, const KnownEndpoint &Endpoint) {
  auto it = State.Statements.find(Endpoint.Id);
  if (it == State.Statements.end() || it->second.BornMs != Endpoint.BornMs)
    return {};
  return it->second.PausedUntil;
}

void recordLeaving(FrontState &State, const std::string &Endpoint,
                   TimePoint Now) {
  const KnownEndpoint *endpoint = findEndpoint(State, Endpoint);
  if (endpoint &&
      applyLeaving(State, Endpoint, endpoint->BornMs, "answer", Now))
    State.ChangedStatements.insert(Endpoint);
}

void recordPause(FrontState &State, const std::string &Endpoint, Millis Pause,
                 TimePoint Now) {
  const KnownEndpoint *endpoint = findEndpoint(State, Endpoint);
  EndpointStatement *known =
      endpoint ? findStatement(State, Endpoint, endpoint->BornMs) : nullptr;
  if (!known)
    return;
  TimePoint until = Now + std::min(Pause, State.Limits.LongestPause);
  if (isPast(known->PausedUntil, Now))
    logEvent(LogLevel::Info, "endpoint_asked_for_pause",
             {{"endpoint", Endpoint},
              {"for_ms", std::to_string(toMillis(until - Now))}});
  known->PausedUntil = std::max(known->PausedUntil, until);
}

void recordStatedLimit(FrontState &State, const std::string &Endpoint,
                       std::optional<double> Limit, TimePoint SentAt,
                       TimePoint Now) {
  const KnownEndpoint *endpoint = findEndpoint(State, Endpoint);
  if (!endpoint)
    return;
  auto known = State.Statements.find(Endpoint);
  bool mayEnd = known == State.Statements.end() ||
                !known->second.RequestLimit || SentAt > known->second.StatedAt;
  if (!Limit && !mayEnd)
    return;
  if (applyLimit(State, Endpoint, endpoint->BornMs, {Limit, Now}, "answer"))
    State.ChangedStatements.insert(Endpoint);
}

void recordReportedStatements(FrontState &State,
                              const wire::EngineReport &Report, TimePoint Now) {
  auto id = State.Directory.IdByAddress.find(Report.address());
  if (id == State.Directory.IdByAddress.end() || Report.is_silent())
    return;
  const KnownEndpoint *endpoint = findEndpoint(State, id->second);
  bool isSameProcess = endpoint && Report.born_ms() == endpoint->BornMs;
  if (!isSameProcess || !isValidLimit(Report.requests_per_s()))
    return;
  std::optional<double> limit;
  if (Report.has_limit())
    limit = Report.requests_per_s();
  applyLimit(State, endpoint->Id, endpoint->BornMs, {limit, Now}, "agent");
  if (Report.is_leaving())
    applyLeaving(State, endpoint->Id, endpoint->BornMs, "agent", Now);
}

void flushStatements(FrontState &State, TimePoint Now, NodeMessages &Out) {
  if (State.ChangedStatements.empty())
    return;
  wire::Envelope message;
  for (const std::string &it : State.ChangedStatements)
    if (auto known = State.Statements.find(it); known != State.Statements.end())
      *message.mutable_endpoint_statements()->add_statements() =
          toWire(it, known->second, Now);
  State.ChangedStatements.clear();
  wire::Envelope relayed = message;
  relayed.mutable_endpoint_statements()->set_pass_on(true);
  broadcast(State, message, relayed, State.Self.name(), Now, Out);
}

void handleStatements(FrontState &State, const wire::EndpointStatements &Update,
                      TimePoint Now, NodeMessages &Out) {
  for (const wire::EndpointStatement &it : Update.statements()) {
    if (!isValidLimit(it.requests_per_s()) || it.endpoint().empty())
      continue;
    if (it.is_leaving())
      applyLeaving(State, it.endpoint(), it.born_ms(), "front", Now);
    LimitStatement stated{std::nullopt,
                          Now - Millis(std::min(it.age_ms(), MaxAgeMs))};
    if (it.has_limit())
      stated.Limit = it.requests_per_s();
    auto known = State.Statements.find(it.endpoint());
    bool hasEnded = known != State.Statements.end() &&
                    known->second.BornMs == it.born_ms() &&
                    known->second.StatedAt != TimePoint() &&
                    !known->second.RequestLimit;
    if (hasEnded && stated.StatedAt < known->second.StatedAt + StatementMargin)
      continue;
    applyLimit(State, it.endpoint(), it.born_ms(), stated, "front");
  }
  if (!Update.pass_on())
    return;
  wire::Envelope message;
  *message.mutable_endpoint_statements() = Update;
  message.mutable_endpoint_statements()->set_pass_on(false);
  sendWithinZone(State, message, Now, Out);
}

wire::EndpointStatements makeStatements(const FrontState &State,
                                        TimePoint Now) {
  wire::EndpointStatements out;
  for (const auto &[id, it] : State.Statements)
    *out.add_statements() = toWire(id, it, Now);
  return out;
}

uint64_t digestStatements(const FrontState &State) {
  uint64_t digest = 0;
  for (const auto &[id, it] : State.Statements)
    if (it.RequestLimit || it.LeavingUntil != TimePoint())
      digest += checksumOf(id + '/' + std::to_string(it.BornMs) + '/' +
                           textOf(it.RequestLimit) +
                           (it.LeavingUntil != TimePoint() ? "/leaving" : ""));
  return digest;
}

void expireStatements(FrontState &State, TimePoint Now) {
  std::erase_if(State.Statements, [&](const auto &it) {
    bool hasEnded = !it.second.RequestLimit &&
                    isPast(it.second.LeavingUntil, Now) &&
                    isPast(it.second.PausedUntil, Now);
    bool isKnown = State.Directory.Endpoints.contains(it.first);
    return (hasEnded || !isKnown) &&
           Now - it.second.StatedAt > EndedStatementRetention;
  });
}

} // namespace sassafras
