#include "front/endpoint_statements.h"

#include "core/hash.h"
#include "core/logging.h"
#include "front/send_permits.h"

#include <algorithm>

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

/// Who says that an endpoint is cold.
enum class ColdWord {
  Own,        ///< Its process.
  NewProcess, ///< Nobody yet, but a process has started.
  Suspected,  ///< Nobody; its process may be another one or have been idle.
};

struct ColdStatement {
  ColdWord Word = ColdWord::Own;
  TimePoint Until; ///< In the past: warm.
  TimePoint StatedAt;
  const char *Source = "";
};

/// True if \p Stated may end the time in force sooner. What the process itself
/// stated is never ended sooner: announcements may be late.
bool mayShorten(const EndpointStatement &Known, const ColdStatement &Stated,
                TimePoint Now) {
  // Two that were made at about the same time may arrive in any order.
  bool isLater = Stated.StatedAt >= Known.ColdStatedAt + StatementMargin;
  bool isCold = !isPast(Stated.Until, Now);
  return Stated.Word == ColdWord::Own && isLater &&
         (isCold || Stated.StatedAt >= Known.ColdEndableAt);
}

/// Applies what is said of the process that started at \p BornMs. Returns true
/// if the other fronts are to be told.
bool applyCold(FrontState &State, const std::string &Endpoint, uint64_t BornMs,
               const ColdStatement &Stated, TimePoint Now) {
  if (isPast(Stated.Until, Now) && !State.Statements.contains(Endpoint))
    return false;
  EndpointStatement *known = findStatement(State, Endpoint, BornMs);
  if (!known)
    return false;
  TimePoint until = Stated.Until;
  if (Stated.Word == ColdWord::Own) {
    until = std::max(until, known->ColdOwnUntil);
    known->ColdOwnUntil = until;
  }
  if (until <= known->ColdUntil && !mayShorten(*known, Stated, Now))
    return false;
  bool isCold = !isPast(until, Now);
  bool wasCold = !isPast(known->ColdUntil, Now);
  bool isLonger = until > known->ColdUntil + StatementMargin;
  known->ColdUntil = isCold ? until : TimePoint();
  known->ColdStatedAt = std::max(known->ColdStatedAt, Stated.StatedAt);
  known->ColdEndableAt = Stated.Word == ColdWord::Suspected
                             ? Stated.StatedAt + SuspicionMargin
                             : TimePoint();
  if (isCold != wasCold)
    logEvent(
        LogLevel::Info, isCold ? "endpoint_cold" : "endpoint_warm",
        {{"endpoint", Endpoint},
         {"for_ms", std::to_string(toMillis(until - Now))},
         {"stated_ago_ms", std::to_string(toMillis(Now - Stated.StatedAt))},
         {"source", Stated.Source}});
  return isCold && (!wasCold || isLonger);
}

/// True if \p Stated, of another front, is about a cold time that is over here:
/// each front ends one a little later than the front that told it.
bool hasColdTimeEnded(const FrontState &State,
                      const wire::EndpointStatement &Stated, TimePoint Now) {
  auto known = State.Statements.find(Stated.endpoint());
  if (known == State.Statements.end() ||
      known->second.BornMs != Stated.born_ms())
    return false;
  TimePoint until = Now + Millis(std::min<uint64_t>(Stated.cold_left_ms(),
                                                    toMillis(LongestColdTime)));
  return isPast(known->second.ColdUntil, Now) &&
         known->second.ColdEndedAt != TimePoint() &&
         until < known->second.ColdEndedAt + StatementMargin;
}

const ServingService *findService(const FrontState &State,
                                  const KnownEndpoint &Endpoint) {
  if (!State.Table)
    return nullptr;
  auto it = State.Table->Services.find(Endpoint.Service);
  return it == State.Table->Services.end() ? nullptr : &it->second;
}

/// How long a new process of the endpoint's service is cold.
Millis coldTimeOf(const FrontState &State, const KnownEndpoint &Endpoint) {
  const ServingService *service = findService(State, Endpoint);
  return service ? std::min(service->ColdTime, LongestColdTime) : Millis(0);
}

/// True if the process of \p Endpoint itself has stated since \p Since how long
/// it is cold.
bool hasStatedCold(const FrontState &State, const KnownEndpoint &Endpoint,
                   TimePoint Since) {
  auto it = State.Statements.find(Endpoint.Id);
  return it != State.Statements.end() && it->second.BornMs >= Endpoint.BornMs &&
         it->second.ColdStatedAt > Since && it->second.ColdOwnUntil > Since &&
         it->second.ColdEndableAt == TimePoint();
}

/// End of the time in which a process that nothing is known of may be cold.
TimePoint suspectedColdUntil(const FrontState &State,
                             const KnownEndpoint &Endpoint) {
  auto record = State.Records.find(Endpoint.Id);
  if (record == State.Records.end())
    return {};
  TimePoint since = record->second.MaybeColdSince;
  if (since == TimePoint() ||
      Endpoint.BornMs > record->second.MaybeColdBornMs ||
      Endpoint.HeardAt > since + SuspicionMargin ||
      hasStatedCold(State, Endpoint, since))
    return {};
  return since + coldTimeOf(State, Endpoint);
}

bool isValidLimit(double Limit) {
  return std::isfinite(Limit) && Limit >= 0 && Limit <= MaxRequestLimit;
}

/// End of the cold time as told to other fronts: each suspects by itself.
TimePoint toldColdUntil(const EndpointStatement &Known) {
  return Known.ColdEndableAt == TimePoint() ? Known.ColdUntil
                                            : Known.ColdOwnUntil;
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
  if (TimePoint until = toldColdUntil(Known); !isPast(until, Now))
    out.set_cold_left_ms(toMillis(until - Now));
  return out;
}

} // namespace

std::optional<double> statedLimitOf(const FrontState &State,
                                    const KnownEndpoint &Endpoint) {
  auto it = State.Statements.find(Endpoint.Id);
  if (it == State.Statements.end() || it->second.BornMs != Endpoint.BornMs)
    return std::nullopt;
  return it->second.RequestLimit;
}

Millis coldTimeLeft(const FrontState &State, const KnownEndpoint &Endpoint,
                    TimePoint Now) {
  TimePoint until = Endpoint.WarmingUpUntil;
  auto it = State.Statements.find(Endpoint.Id);
  // What is known of a later process holds for this endpoint, too.
  if (it != State.Statements.end() && it->second.BornMs >= Endpoint.BornMs &&
      it->second.ColdStatedAt != TimePoint())
    until = it->second.ColdUntil;
  until = std::max(until, suspectedColdUntil(State, Endpoint));
  return isPast(until, Now) ? Millis(0)
                            : std::chrono::ceil<Millis>(until - Now);
}

std::optional<double> coldPaceOf(const FrontState &State,
                                 const KnownEndpoint &Endpoint) {
  const ServingService *service = findService(State, Endpoint);
  if (!service || service->ColdPerSecond <= 0)
    return std::nullopt;
  return coldPace(service->ColdPerSecond, State.Limits.Cold, PermitLifetime);
}

std::optional<double> coldLimitOf(const FrontState &State,
                                  const KnownEndpoint &Endpoint,
                                  TimePoint Now) {
  auto pace = coldPaceOf(State, Endpoint);
  if (!pace || coldTimeLeft(State, Endpoint, Now) <= Millis(0))
    return std::nullopt;
  return pace;
}

std::optional<double> requestLimitOf(const FrontState &State,
                                     const KnownEndpoint &Endpoint,
                                     TimePoint Now) {
  auto stated = statedLimitOf(State, Endpoint);
  auto cold = coldLimitOf(State, Endpoint, Now);
  if (!stated || !cold)
    return stated ? stated : cold;
  return std::min(*stated, *cold);
}

size_t countColdEndpoints(const FrontState &State, TimePoint Now) {
  return std::count_if(State.Directory.Endpoints.begin(),
                       State.Directory.Endpoints.end(), [&](const auto &it) {
                         return isServing(it.second, Now) &&
                                coldLimitOf(State, it.second, Now).has_value();
                       });
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

void recordStatedCold(FrontState &State, const std::string &Endpoint,
                      Millis Left, TimePoint Now) {
  const KnownEndpoint *endpoint = findEndpoint(State, Endpoint);
  if (endpoint &&
      applyCold(
          State, Endpoint, endpoint->BornMs,
          {ColdWord::Own, Now + std::min(Left, LongestColdTime), Now, "answer"},
          Now))
    State.ChangedStatements.insert(Endpoint);
}

void recordSuspectedCold(FrontState &State, const std::string &Endpoint,
                         TimePoint Now) {
  const KnownEndpoint *endpoint = findEndpoint(State, Endpoint);
  Millis cold = endpoint ? coldTimeOf(State, *endpoint) : Millis(0);
  if (cold > Millis(0))
    applyCold(State, Endpoint, endpoint->BornMs,
              {ColdWord::Suspected, Now + cold, Now, "suspected"}, Now);
}

ObservationResult
recordObservation(FrontState &State,
                  const wire::EndpointObservation &Observation, bool IsOwn,
                  TimePoint Now) {
  ObservationResult result =
      applyObservation(State.Directory, Observation, Now);
  if (result == ObservationResult::Ignored || Observation.has_left())
    return result;
  TimePoint heardAt = Now - Millis(Observation.heard_ago_ms());
  Millis left(std::min<uint64_t>(Observation.cold_left_ms(),
                                 toMillis(LongestColdTime)));
  bool isNews = applyCold(State, Observation.id(), Observation.born_ms(),
                          {ColdWord::Own, heardAt + left, heardAt,
                           IsOwn ? "announcement" : "front"},
                          Now);
  // Observations that change the directory reach all fronts by themselves.
  if (isNews && IsOwn && result == ObservationResult::Refreshed)
    State.ChangedStatements.insert(Observation.id());
  return result;
}

void recordRegainedEngine(FrontState &State, const wire::EngineReport &Report,
                          TimePoint Now) {
  auto id = State.Directory.IdByAddress.find(Report.address());
  const KnownEndpoint *endpoint = id == State.Directory.IdByAddress.end()
                                      ? nullptr
                                      : findEndpoint(State, id->second);
  const ServingService *service =
      endpoint ? findService(State, *endpoint) : nullptr;
  if (!service || service->ColdPerSecond <= 0 || Report.born_ms() != 0)
    return;
  EndpointRecord &record = State.Records[id->second];
  record.MaybeColdSince = Now;
  record.MaybeColdBornMs = endpoint->BornMs;
}

void recordReportedStatements(FrontState &State,
                              const wire::EngineReport &Report, TimePoint Now) {
  auto id = State.Directory.IdByAddress.find(Report.address());
  if (id == State.Directory.IdByAddress.end() || Report.is_silent())
    return;
  const KnownEndpoint *endpoint = findEndpoint(State, id->second);
  Millis cold(
      std::min<uint64_t>(Report.cold_left_ms(), toMillis(LongestColdTime)));
  ColdWord word = ColdWord::Own;
  if (endpoint && Report.born_ms() > endpoint->BornMs) {
    auto known = State.Statements.find(endpoint->Id);
    bool isNew = known == State.Statements.end() ||
                 known->second.BornMs < Report.born_ms();
    // It has not announced itself yet.
    if (isNew && coldTimeOf(State, *endpoint) > cold) {
      cold = coldTimeOf(State, *endpoint);
      word = ColdWord::NewProcess;
    }
  }
  if (endpoint && Report.born_ms() >= endpoint->BornMs && cold > Millis(0))
    applyCold(State, endpoint->Id, Report.born_ms(),
              {word, Now + cold, Now, "agent"}, Now);
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
    if (it.cold_left_ms() > 0 && !hasColdTimeEnded(State, it, Now))
      applyCold(State, it.endpoint(), it.born_ms(),
                {ColdWord::Own,
                 Now + Millis(std::min<uint64_t>(it.cold_left_ms(),
                                                 toMillis(LongestColdTime))),
                 Now, "front"},
                Now);
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
    if (it.RequestLimit || it.LeavingUntil != TimePoint() ||
        toldColdUntil(it) != TimePoint())
      digest += checksumOf(id + '/' + std::to_string(it.BornMs) + '/' +
                           textOf(it.RequestLimit) +
                           (it.LeavingUntil != TimePoint() ? "/leaving" : "") +
                           (toldColdUntil(it) != TimePoint() ? "/cold" : ""));
  return digest;
}

void expireStatements(FrontState &State, TimePoint Now) {
  for (auto &[id, it] : State.Statements)
    if (it.ColdUntil != TimePoint() && isPast(it.ColdUntil, Now)) {
      it.ColdEndedAt = it.ColdUntil;
      it.ColdUntil = {};
      it.ColdEndableAt = {};
      logEvent(LogLevel::Info, "endpoint_warm",
               {{"endpoint", id}, {"source", "time"}});
    }
  std::erase_if(State.Statements, [&](const auto &it) {
    bool hasEnded = !it.second.RequestLimit &&
                    isPast(it.second.LeavingUntil, Now) &&
                    isPast(it.second.PausedUntil, Now) &&
                    it.second.ColdUntil == TimePoint();
    TimePoint statedAt = std::max(it.second.StatedAt, it.second.ColdStatedAt);
    bool isKnown = State.Directory.Endpoints.contains(it.first);
    return (hasEnded || !isKnown) && Now - statedAt > EndedStatementRetention;
  });
}

} // namespace sassafras
