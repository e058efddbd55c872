#include "front/stream_origins.h"

#include "core/hash.h"
#include "core/logging.h"
#include "fleet/zone_relays.h"
#include "front/endpoint_statements.h"
#include "front/process_proof.h"

#include <algorithm>
#include <set>

namespace sassafras {

namespace {

/// Further fronts that keep an origin, each in another zone while there are as
/// many: that many hosts may be lost beside the one that forwards the stream.
constexpr size_t OriginCopies = 3;
/// Queries for one origin. A front that has just started does not know all
/// others at first, and a message may be lost.
constexpr uint32_t MaxOriginQueries = 3;
/// Origins that are handed over in one message.
constexpr int MaxOriginsPerMessage = 500;
/// The next announcement of an endpoint that runs has arrived by then.
constexpr Millis SettleTime{2'000};
constexpr Millis SettleRecheckPeriod{50};

struct RankedFront {
  uint64_t Rank = 0;
  ZoneFront Front;
};

/// The best fronts of each zone for \p Attempt, by rank; nodes with the same
/// view choose the same ones.
std::vector<ZoneFront> rankFronts(const FrontState &State,
                                  const std::string &Attempt, TimePoint Now) {
  std::vector<RankedFront> best;
  std::vector<RankedFront> second;
  for (const auto &[zone, fronts] : listFrontsByZone(State.Roster, Now)) {
    auto chosen = chooseRelays(fronts, Attempt);
    for (size_t i = 0; i < chosen.size(); ++i)
      (i == 0 ? best : second)
          .push_back({checksumOf(Attempt + '/' + chosen[i].Name), chosen[i]});
  }
  auto byRank = [](const RankedFront &A, const RankedFront &B) {
    return A.Rank < B.Rank;
  };
  std::sort(best.begin(), best.end(), byRank);
  std::sort(second.begin(), second.end(), byRank);
  std::vector<ZoneFront> out;
  for (const auto *list : {&best, &second})
    for (const RankedFront &it : *list)
      out.push_back(it.Front);
  return out;
}

/// True if the first query goes to the best fronts of each zone only, which
/// include the keepers also if some fronts have joined or gone.
bool asksKeepersFirst(const FrontState &State, TimePoint Now) {
  return usesZoneRelays(countFronts(State, Now));
}

/// Fronts that are asked for the origin of \p Attempt. Where the keepers do not
/// know it, the front that forwarded the stream may.
std::vector<ZoneFront> listFrontsToAsk(const FrontState &State,
                                       const std::string &Attempt,
                                       uint32_t Queries, TimePoint Now) {
  if (Queries == 0 && asksKeepersFirst(State, Now))
    return rankFronts(State, Attempt, Now);
  std::vector<ZoneFront> out;
  for (const auto &[zone, fronts] : listFrontsByZone(State.Roster, Now))
    out.insert(out.end(), fronts.begin(), fronts.end());
  return out;
}

/// Key under which the origin of the stream is kept.
const std::string &originKeyOf(const FrontRequest &Request) {
  const RequestAttributes &attributes = Request.Attributes;
  return attributes.ResumedRequest.empty() ? attributes.Id
                                           : attributes.ResumedRequest;
}

void keepOrigin(FrontState &State, const std::string &Attempt,
                const StreamOrigin &Origin) {
  StreamOrigins &origins = State.Origins;
  if (origins.Known.size() >= MaxStreamOrigins &&
      !origins.Known.contains(Attempt)) {
    ++origins.DroppedCount;
    return;
  }
  StreamOrigin &known = origins.Known[Attempt];
  // Records may arrive in another order than they were made.
  if (Origin.ExpiresAt >= known.ExpiresAt)
    known = Origin;
}

wire::StreamOrigin toWire(const std::string &Attempt,
                          const StreamOrigin &Origin, TimePoint Now) {
  wire::StreamOrigin out;
  out.set_attempt(Attempt);
  out.set_service(Origin.Service);
  out.set_software_version(Origin.Version);
  out.set_age_ms(toMillis(Now + StreamOriginLifetime - Origin.ExpiresAt));
  out.set_endpoint(Origin.Endpoint);
  out.set_born_ms(Origin.BornMs);
  out.set_is_unsettled(Origin.IsUnsettled);
  return out;
}

void keepOrigin(FrontState &State, const wire::StreamOrigin &Origin,
                TimePoint Now) {
  auto lifetime = static_cast<uint64_t>(StreamOriginLifetime.count());
  if (Origin.attempt().empty() || Origin.age_ms() >= lifetime)
    return;
  keepOrigin(State, Origin.attempt(),
             {Origin.service(), Origin.software_version(),
              Now + StreamOriginLifetime - Millis(Origin.age_ms()),
              Origin.endpoint(), Origin.born_ms(), Origin.is_unsettled()});
}

/// Binds the request to the only service and version at which its stream can
/// have begun. False if there may have been others. \p Lookup found nothing.
bool bindToOnlyOrigin(FrontState &State, const OriginLookup &Lookup,
                      FrontRequest &Request, TimePoint Now) {
  bool isLookupWhole = Lookup.Unanswered.empty() && !Lookup.HasForgetful;
  bool mayOutliveHistory = 2 * Request.Route->Timeout > StreamOriginLifetime;
  if (!isLookupWhole || mayOutliveHistory ||
      listServices(*Request.Route).size() > 1)
    return false;
  checkOriginContact(State, Now);
  if (!isHistoryWhole(State, Now))
    return false;
  auto known = State.Directory.Versions.find(Request.Service);
  if (known == State.Directory.Versions.end())
    return true;
  if (known->second.size() > 1)
    return false;
  Request.StreamVersion = known->second.begin()->first;
  return true;
}

enum class OriginTrust {
  Holds,
  Unsettled,  ///< Until the endpoint is heard from again.
  Overturned, ///< Another process may have made the events.
};

/// Whether the process that a record names is the one that made the events. The
/// record has what the directory had, which may have been late.
OriginTrust judgeOrigin(const FrontState &State, const StreamOrigin &Origin) {
  OriginTrust unheard =
      Origin.IsUnsettled ? OriginTrust::Unsettled : OriginTrust::Holds;
  auto known = State.Directory.Endpoints.find(Origin.Endpoint);
  if (known == State.Directory.Endpoints.end() ||
      known->second.BornMs < Origin.BornMs)
    return unheard;
  const KnownEndpoint &it = known->second;
  TimePoint recordedAt = Origin.ExpiresAt - StreamOriginLifetime;
  if (it.BornMs == Origin.BornMs)
    return it.HeardAt > recordedAt ? OriginTrust::Holds : unheard;
  bool wasHeardLater =
      it.PreviousBornMs == Origin.BornMs && it.PreviousHeardAt > recordedAt;
  return wasHeardLater || it.SoftwareVersion == Origin.Version
             ? OriginTrust::Holds
             : OriginTrust::Overturned;
}

/// Moves the request to the service and the version of its stream.
std::optional<FrontRefusal> applyOrigin(const StreamOrigin &Origin,
                                        FrontRequest &Request) {
  const auto &services = Request.Route->Services;
  bool isAllowed =
      std::any_of(services.begin(), services.end(), [&](const auto &it) {
        return it.Service == Origin.Service && it.Weight > 0;
      });
  if (!isAllowed)
    return FrontRefusal{RefusalReason::StreamVersionGone, {}};
  Request.Service = Origin.Service;
  Request.StreamVersion = Origin.Version;
  return std::nullopt;
}

/// Applies a record to a request that goes on with its stream. Returns a time
/// to wait until or a refusal; nothing if the request can go on.
std::optional<std::variant<TimePoint, FrontRefusal>>
useOrigin(const FrontState &State, const StreamOrigin &Origin,
          FrontRequest &Request, TimePoint Now) {
  using Result = std::variant<TimePoint, FrontRefusal>;
  OriginTrust trust = judgeOrigin(State, Origin);
  TimePoint end = std::min(Origin.ExpiresAt - StreamOriginLifetime + SettleTime,
                           Request.FirstByteDeadline);
  if (trust == OriginTrust::Unsettled && !isPast(end, Now))
    return Result{std::min(end, Now + SettleRecheckPeriod)};
  if (trust != OriginTrust::Holds) {
    logEvent(
        LogLevel::Warning, "stream_origin_overturned",
        {{"id", Request.Attributes.Id},
         {"resumed", Request.Attributes.ResumedRequest},
         {"endpoint", Origin.Endpoint},
         {"born_ms", std::to_string(Origin.BornMs)},
         {"software_version", Origin.Version},
         {"reason", trust == OriginTrust::Overturned ? "other_process"
                                                     : "not_heard_again"}});
    return Result{FrontRefusal{RefusalReason::StreamVersionUnknown, {}}};
  }
  if (Request.StreamVersion)
    return std::nullopt;
  if (auto refusal = applyOrigin(Origin, Request))
    return Result{*refusal};
  return std::nullopt;
}

/// True while this front, which has just started, may not know all others.
bool isLearning(const FrontState &State, TimePoint Now) {
  return !isPast(State.EndpointDiscoveryEnd, Now);
}

void startLookup(FrontState &State, const std::string &Attempt, TimePoint Now,
                 NodeMessages &Out) {
  wire::Envelope message;
  message.mutable_stream_origin_query()->set_attempt(Attempt);
  OriginLookup &lookup = State.Origins.Lookups[Attempt];
  lookup.Deadline = Now + OriginQueryTimeout;
  lookup.Unanswered.clear();
  for (const ZoneFront &it :
       listFrontsToAsk(State, Attempt, lookup.Queries, Now)) {
    Out.push_back({it.Address, message});
    lookup.Unanswered.insert(it.Name);
  }
  ++lookup.Queries;
}

/// Fronts in view that are not leaving, this one excluded.
size_t countOtherFronts(const FrontState &State, TimePoint Now) {
  size_t out = 0;
  for (const auto &[zone, fronts] : listFrontsByZone(State.Roster, Now))
    out += fronts.size();
  return out;
}

/// Appends \p Origins for the fronts that keep each of them.
void sendOrigins(const FrontState &State,
                 const std::map<std::string, StreamOrigin> &Origins,
                 TimePoint Now, NodeMessages &Out) {
  std::map<std::string, wire::Envelope> byFront;
  auto flush = [&](const std::string &Address) {
    Out.push_back({Address, std::move(byFront[Address])});
    byFront.erase(Address);
  };
  for (const auto &[attempt, it] : Origins) {
    std::vector<ZoneFront> fronts = rankFronts(State, attempt, Now);
    fronts.resize(std::min(fronts.size(), OriginCopies));
    for (const ZoneFront &front : fronts) {
      wire::StreamOrigins &origins =
          *byFront[front.Address].mutable_stream_origins();
      *origins.add_origins() = toWire(attempt, it, Now);
      if (origins.origins_size() >= MaxOriginsPerMessage)
        flush(front.Address);
    }
  }
  while (!byFront.empty())
    flush(byFront.begin()->first);
}

} // namespace

bool recordStreamOrigin(FrontState &State, FrontRequest &Request,
                        const std::string &Endpoint, TimePoint Now,
                        NodeMessages &Out) {
  auto known = State.Directory.Endpoints.find(Endpoint);
  if (known == State.Directory.Endpoints.end())
    return false;
  const std::string &version = known->second.SoftwareVersion;
  if (Request.StreamVersion && *Request.StreamVersion != version)
    return false;
  Request.StreamVersion = version;
  if (!Request.Route->IsResumable)
    return true;
  const std::string &attempt = originKeyOf(Request);
  StreamOrigin origin{Request.Service,
                      version,
                      Now + StreamOriginLifetime,
                      Endpoint,
                      known->second.BornMs,
                      mayHaveEnded(State, known->second)};
  keepOrigin(State, attempt, origin);
  wire::Envelope message;
  *message.mutable_stream_origins()->add_origins() =
      toWire(attempt, origin, Now);
  std::vector<ZoneFront> fronts = rankFronts(State, attempt, Now);
  fronts.resize(std::min(fronts.size(), OriginCopies));
  for (const ZoneFront &it : fronts)
    Out.push_back({it.Address, message});
  size_t others = countOtherFronts(State, Now);
  if (others < OriginCopies && State.Origins.Known.contains(attempt)) {
    State.Origins.Unshared.insert(attempt);
    State.Origins.FrontsAtShare = others;
  }
  return true;
}

std::optional<std::variant<TimePoint, FrontRefusal>>
resolveStreamOrigin(FrontState &State, FrontRequest &Request, TimePoint Now,
                    NodeMessages &Out) {
  using Result = std::variant<TimePoint, FrontRefusal>;
  const std::string &attempt = Request.Attributes.ResumedRequest;
  if (!Request.Route->IsResumable ||
      (!Request.Attributes.LastEvent && !Request.StreamVersion))
    return std::nullopt;
  auto known = State.Origins.Known.find(originKeyOf(Request));
  if (known != State.Origins.Known.end())
    return useOrigin(State, known->second, Request, Now);
  if (Request.StreamVersion)
    return std::nullopt;
  OriginLookup lookup;
  if (!attempt.empty()) {
    if (!State.Origins.Lookups.contains(attempt))
      startLookup(State, attempt, Now, Out);
    lookup = State.Origins.Lookups[attempt];
    if (!isPast(lookup.Deadline, Now) &&
        (!lookup.Unanswered.empty() || isLearning(State, Now)))
      return Result{lookup.Deadline};
    bool mayHaveMissed = !lookup.Unanswered.empty() || isLearning(State, Now) ||
                         (lookup.Queries == 1 && asksKeepersFirst(State, Now));
    if (mayHaveMissed && lookup.Queries < MaxOriginQueries &&
        lookup.Deadline + OriginQueryTimeout < Request.FirstByteDeadline) {
      startLookup(State, attempt, Now, Out);
      return Result{Now + OriginQueryTimeout};
    }
  }
  if (bindToOnlyOrigin(State, lookup, Request, Now))
    return std::nullopt;
  // The version cannot be proved, and another one would break the stream.
  logEvent(LogLevel::Warning, "stream_origin_unknown",
           {{"id", Request.Attributes.Id},
            {"resumed", attempt},
            {"queries", std::to_string(lookup.Queries)},
            {"unanswered", std::to_string(lookup.Unanswered.size())},
            {"fronts", std::to_string(countFronts(State, Now))},
            {"history_whole", isHistoryWhole(State, Now) ? "yes" : "no"},
            {"origins", std::to_string(State.Origins.Known.size())}});
  return Result{FrontRefusal{RefusalReason::StreamVersionUnknown, {}}};
}

bool matchesStream(const FrontState &State, const FrontRequest &Request,
                   const KnownEndpoint &Endpoint) {
  return !Request.StreamVersion ||
         (*Request.StreamVersion == Endpoint.SoftwareVersion &&
          !hasNewerProcess(State.Directory, Endpoint));
}

bool isStreamVersionServing(const FrontState &State,
                            const FrontRequest &Request, TimePoint Now) {
  const auto &endpoints = State.Directory.Endpoints;
  return std::any_of(endpoints.begin(), endpoints.end(), [&](const auto &it) {
    return it.second.Service == Request.Service &&
           takesRequests(State, it.second, Now) &&
           matchesStream(State, Request, it.second);
  });
}

void logStreamResumption(const FrontState &State, const FrontRequest &Request,
                         const std::string &Endpoint, TimePoint Now) {
  auto known = State.Directory.Endpoints.find(Endpoint);
  if (known == State.Directory.Endpoints.end())
    return;
  const KnownEndpoint &it = known->second;
  std::set<std::string> versions;
  for (const auto &[id, other] : State.Directory.Endpoints)
    if (other.Service == Request.Service)
      versions.insert(other.SoftwareVersion);
  const std::string &attempt = Request.Attributes.ResumedRequest;
  logEvent(
      LogLevel::Info, "stream_resumed",
      {{"id", Request.Attributes.Id},
       {"resumed", attempt},
       {"has_record", State.Origins.Known.contains(attempt) ? "yes" : "no"},
       {"bound_to", Request.StreamVersion.value_or("")},
       {"service", Request.Service},
       {"endpoint", Endpoint},
       {"software_version", it.SoftwareVersion},
       {"born_ms", std::to_string(it.BornMs)},
       {"heard_ms", std::to_string(toMillis(Now - it.HeardAt))},
       {"known_versions", std::to_string(versions.size())},
       {"fronts", std::to_string(countFronts(State, Now))},
       {"front_age_ms", std::to_string(toMillis(Now - State.StartedAt))}});
}

void handleStreamOrigins(FrontState &State, const wire::StreamOrigins &Origins,
                         TimePoint Now) {
  for (const wire::StreamOrigin &it : Origins.origins())
    keepOrigin(State, it, Now);
}

wire::StreamOriginReply answerOriginQuery(const FrontState &State,
                                          const wire::StreamOriginQuery &Query,
                                          TimePoint Now) {
  wire::StreamOriginReply out;
  auto known = State.Origins.Known.find(Query.attempt());
  out.set_is_known(known != State.Origins.Known.end());
  out.set_remembers_all(Now - State.StartedAt >= StreamOriginLifetime &&
                        isHistoryWhole(State, Now));
  if (out.is_known())
    *out.mutable_origin() = toWire(Query.attempt(), known->second, Now);
  else
    out.mutable_origin()->set_attempt(Query.attempt());
  return out;
}

void handleOriginReply(FrontState &State, const std::string &From,
                       const wire::StreamOriginReply &Reply, TimePoint Now) {
  if (Reply.is_known())
    keepOrigin(State, Reply.origin(), Now);
  auto lookup = State.Origins.Lookups.find(Reply.origin().attempt());
  if (lookup == State.Origins.Lookups.end())
    return;
  lookup->second.Unanswered.erase(From);
  lookup->second.HasForgetful |= !Reply.is_known() && !Reply.remembers_all();
}

void shareStreamOrigins(FrontState &State, TimePoint Now, NodeMessages &Out) {
  StreamOrigins &origins = State.Origins;
  size_t fronts = countOtherFronts(State, Now);
  if (origins.Unshared.empty() || fronts <= origins.FrontsAtShare)
    return;
  std::map<std::string, StreamOrigin> unshared;
  for (const std::string &it : origins.Unshared)
    unshared[it] = origins.Known.at(it);
  sendOrigins(State, unshared, Now, Out);
  origins.FrontsAtShare = fronts;
  if (fronts >= OriginCopies)
    origins.Unshared.clear();
}

void handOverStreamOrigins(FrontState &State, TimePoint Now,
                           NodeMessages &Out) {
  sendOrigins(State, State.Origins.Known, Now, Out);
}

void expireStreamOrigins(FrontState &State, TimePoint Now) {
  StreamOrigins &origins = State.Origins;
  std::erase_if(origins.Known, [&](const auto &it) {
    return isPast(it.second.ExpiresAt, Now);
  });
  std::erase_if(origins.Unshared, [&](const std::string &it) {
    return !origins.Known.contains(it);
  });
  std::erase_if(origins.Lookups, [&](const auto &it) {
    return isPast(it.second.Deadline + OriginQueryTimeout, Now);
  });
  if (origins.DroppedCount > 0)
    logEvent(LogLevel::Warning, "stream_origins_dropped",
             {{"count", std::to_string(origins.DroppedCount)},
              {"kept", std::to_string(origins.Known.size())}});
  origins.DroppedCount = 0;
}

} // namespace sassafras
