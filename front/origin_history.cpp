#include "front/origin_history.h"

#include "core/logging.h"

#include <algorithm>

namespace sassafras {

namespace {

/// Histories are compared with this tolerance, so that the time that messages
/// take does not count as a difference.
constexpr Millis HistoryTolerance{1'000};
/// Longest history that is told to other fronts.
constexpr Millis MaxHistoryTold = 2 * StreamOriginLifetime;

Millis historyOf(const FrontState &State, TimePoint Now) {
  auto age = std::chrono::duration_cast<Millis>(Now - State.History.KnownSince);
  return std::clamp(age, Millis(0), MaxHistoryTold);
}

using StreamRoutes =
    std::map<std::pair<std::string, std::string>, std::set<std::string>>;

/// The services of all routes of streams, by host and path prefix. Paths of a
/// route that ends fall to the one with the next longest prefix.
StreamRoutes listStreamRoutes(const ServingTable &Table) {
  StreamRoutes out;
  for (const ServingRoute &it : Table.Routes)
    if (it.Kind == RequestKind::Streaming || it.IsResumable)
      out[{it.Host, it.PathPrefix}] = listServices(it);
  return out;
}

/// True if all fronts that may be serving are in view.
bool isInContact(const FrontState &State, TimePoint Now) {
  return countServingFronts(State, Now) <= countFronts(State, Now);
}

/// Time since the latest change of routes that matters, at least 1; or 0.
uint64_t routesChangedMs(const FrontState &State, TimePoint Now) {
  Clock::duration age = Now - State.History.RoutesChangedAt;
  return age < StreamOriginLifetime
             ? toMillis(std::max<Clock::duration>(age, Millis(1)))
             : 0;
}

void applyRouteChange(FrontState &State, uint64_t AgeMs, TimePoint Now) {
  if (AgeMs == 0)
    return;
  TimePoint changedAt = Now - Millis(AgeMs);
  if (changedAt > State.History.RoutesChangedAt + HistoryTolerance)
    State.History.RoutesChangedAt = changedAt;
}

} // namespace

std::set<std::string> listServices(const ServingRoute &Route) {
  std::set<std::string> out;
  for (const ServiceShare &it : Route.Services)
    if (it.Weight > 0)
      out.insert(it.Service);
  return out;
}

void beginOriginHistory(FrontState &State, TimePoint Now) {
  State.History.KnownSince = Now;
  State.History.CheckedAt = Now;
}

void checkOriginContact(FrontState &State, TimePoint Now) {
  OriginHistory &history = State.History;
  size_t inView = countFronts(State, Now);
  bool isInFullContact = isInContact(State, Now);
  // A process that was paused has missed what happened meanwhile.
  bool wasPaused =
      history.CheckedAt != TimePoint() && Now - history.CheckedAt > NodeTimeout;
  history.CheckedAt = Now;
  if (inView > 1)
    history.IsIsolated = false;
  else if (!isInFullContact)
    history.IsIsolated = true;
  if (isInFullContact && !wasPaused && !history.IsIsolated) {
    history.WasInContact = true;
    return;
  }
  history.HasLostContact = history.HasLostContact || history.WasInContact;
  // Logged once for each time that contact is lost.
  if (historyOf(State, Now) > 2 * HistoryTolerance)
    logEvent(LogLevel::Info, "origin_history_ended",
             {{"known_ms", std::to_string(historyOf(State, Now).count())},
              {"fronts", std::to_string(inView)},
              {"serving", std::to_string(countServingFronts(State, Now))},
              {"paused", wasPaused ? "yes" : "no"}});
  history.KnownSince = Now;
}

void recordRouteChanges(FrontState &State, const ServingTable &After,
                        TimePoint Now) {
  // A first table replaces an unknown one, before KnownSince.
  if (!State.Table || listStreamRoutes(*State.Table) == listStreamRoutes(After))
    return;
  State.History.RoutesChangedAt = Now;
  logEvent(LogLevel::Info, "stream_routes_changed",
           {{"before", std::to_string(State.Table->Version)},
            {"version", std::to_string(After.Version)}});
}

void applyHistory(FrontState &State, const wire::NodeHeartbeat &Heartbeat,
                  TimePoint Now) {
  applyRouteChange(State, Heartbeat.routes_changed_ms(), Now);
}

void adoptHistory(FrontState &State, const wire::EndpointUpdate &Update,
                  TimePoint Now) {
  for (const wire::ServiceVersion &it : Update.versions())
    recordVersion(State.Directory, it.service(), it.software_version(),
                  Now - Millis(it.seen_ago_ms()));
  bool isForThis = Update.receiver_incarnation() == State.Self.incarnation();
  if (!isForThis || !State.Table ||
      State.Table->Version != Update.table_version())
    return;
  applyRouteChange(State, Update.routes_changed_ms(), Now);
  OriginHistory &history = State.History;
  TimePoint since = Now - Millis(Update.history_ms());
  // The sender may have missed what ended the history here.
  if (history.HasLostContact || since >= history.KnownSince)
    return;
  logEvent(LogLevel::Info, "origin_history_adopted",
           {{"known_ms", std::to_string(Update.history_ms())},
            {"table", std::to_string(Update.table_version())}});
  history.KnownSince = since;
}

void addHistory(const FrontState &State, TimePoint Now,
                wire::NodeHeartbeat &Out) {
  Out.set_history_ms(static_cast<uint64_t>(historyOf(State, Now).count()));
  Out.set_routes_changed_ms(routesChangedMs(State, Now));
}

void addHistory(const FrontState &State, const wire::NodeHeartbeat &Heartbeat,
                TimePoint Now, wire::EndpointUpdate &Out) {
  for (const auto &[service, versions] : State.Directory.Versions)
    for (const auto &[version, seenAt] : versions) {
      wire::ServiceVersion &it = *Out.add_versions();
      it.set_service(service);
      it.set_software_version(version);
      it.set_seen_ago_ms(
          toMillis(std::max<Clock::duration>(Now - seenAt, Millis(0))));
    }
  Out.set_history_ms(static_cast<uint64_t>(historyOf(State, Now).count()));
  Out.set_table_version(State.Table ? State.Table->Version : 0);
  Out.set_routes_changed_ms(routesChangedMs(State, Now));
  Out.set_receiver_incarnation(Heartbeat.self().incarnation());
}

bool lacksHistory(const FrontState &State, const wire::NodeHeartbeat &Heartbeat,
                  TimePoint Now) {
  Millis told(std::min<uint64_t>(
      Heartbeat.history_ms(), static_cast<uint64_t>(MaxHistoryTold.count())));
  return told < StreamOriginLifetime &&
         historyOf(State, Now) > told + HistoryTolerance;
}

bool isHistoryWhole(const FrontState &State, TimePoint Now) {
  const OriginHistory &it = State.History;
  return isInContact(State, Now) &&
         Now - std::max(it.KnownSince, it.RoutesChangedAt) >=
             StreamOriginLifetime;
}

} // namespace sassafras
