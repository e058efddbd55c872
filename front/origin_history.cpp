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

/// The services that streams of a resumable route may begin at.
std::set<std::string> listServices(const ServingRoute &Route) {
  std::set<std::string> out;
  for (const ServiceShare &it : Route.Services)
    if (it.Weight > 0)
      out.insert(it.Service);
  return out;
}

using ResumableRoutes =
    std::map<std::pair<std::string, std::string>, std::set<std::string>>;

/// By host and path prefix.
ResumableRoutes listResumableRoutes(const ServingTable &Table) {
  ResumableRoutes out;
  for (const ServingRoute &it : Table.Routes)
    if (it.IsResumable)
      out[{it.Host, it.PathPrefix}] = listServices(it);
  return out;
}

} // namespace

void beginOriginHistory(FrontState &State, TimePoint Now) {
  State.History.KnownSince = Now;
  State.History.BegunAt = Now;
}

void checkOriginContact(FrontState &State, TimePoint Now) {
  size_t inView = countFronts(State, Now);
  size_t serving = countServingFronts(State, Now);
  if (serving <= inView)
    return;
  // Logged once for each time that fronts are out of view.
  if (historyOf(State, Now) > 2 * HistoryTolerance)
    logEvent(LogLevel::Info, "origin_history_ended",
             {{"known_ms", std::to_string(historyOf(State, Now).count())},
              {"fronts", std::to_string(inView)},
              {"serving", std::to_string(serving)}});
  beginOriginHistory(State, Now);
}

void recordRouteChanges(FrontState &State, const ServingTable &After,
                        TimePoint Now) {
  // A first table replaces an unknown one, before KnownSince.
  if (!State.Table ||
      listResumableRoutes(*State.Table) == listResumableRoutes(After))
    return;
  State.History.RoutesChangedAt = Now;
  logEvent(LogLevel::Info, "resumable_routes_changed",
           {{"before", std::to_string(State.Table->Version)},
            {"version", std::to_string(After.Version)}});
}

void applyHistory(FrontState &State, const wire::NodeHeartbeat &Heartbeat,
                  TimePoint Now) {
  if (Heartbeat.routes_changed_ms() == 0)
    return;
  TimePoint changedAt = Now - Millis(Heartbeat.routes_changed_ms());
  if (changedAt > State.History.RoutesChangedAt + HistoryTolerance)
    State.History.RoutesChangedAt = changedAt;
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
  OriginHistory &history = State.History;
  // The sender may have missed what ended the history here.
  bool wasLost = history.BegunAt > State.StartedAt;
  TimePoint since = Now - Millis(Update.history_ms());
  if (wasLost || since >= history.KnownSince)
    return;
  logEvent(LogLevel::Info, "origin_history_adopted",
           {{"known_ms", std::to_string(Update.history_ms())},
            {"table", std::to_string(Update.table_version())}});
  history.KnownSince = since;
}

void addHistory(const FrontState &State, TimePoint Now,
                wire::NodeHeartbeat &Out) {
  Out.set_history_ms(static_cast<uint64_t>(historyOf(State, Now).count()));
  Clock::duration age = Now - State.History.RoutesChangedAt;
  if (age < StreamOriginLifetime)
    Out.set_routes_changed_ms(
        static_cast<uint64_t>(std::max<int64_t>(toMillis(age), 1)));
}

void addHistory(const FrontState &State, const wire::NodeHeartbeat &Heartbeat,
                TimePoint Now, wire::EndpointUpdate &Out) {
  for (const auto &[service, versions] : State.Directory.Versions)
    for (const auto &[version, seenAt] : versions) {
      wire::ServiceVersion &it = *Out.add_versions();
      it.set_service(service);
      it.set_software_version(version);
      it.set_seen_ago_ms(
          static_cast<uint64_t>(std::max<int64_t>(toMillis(Now - seenAt), 0)));
    }
  Out.set_history_ms(static_cast<uint64_t>(historyOf(State, Now).count()));
  Out.set_table_version(State.Table ? State.Table->Version : 0);
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
  return Now - std::max(it.KnownSince, it.RoutesChangedAt) >=
         StreamOriginLifetime;
}

} // namespace sassafras
