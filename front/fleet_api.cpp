#include "front/fleet_api.h"

#include "core/compress.h"
#include "core/logging.h"
#include "core/metrics.h"
#include "platform/announcement_codec.h"
#include "platform/table_codec.h"

namespace sassafras {

namespace {

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusRedirect = 307;
constexpr unsigned StatusBadRequest = 400;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusUnavailable = 503;
/// Largest table after decompression, in bytes. Operators are limited to 4 MB.
constexpr size_t MaxTableBytes = 8ULL * 1024 * 1024;

std::vector<HttpField> jsonHeaders() {
  return {{"content-type", "application/json"}};
}

/// JSON body for an error. Quotes, backslashes and control characters of
/// \p Reason are replaced instead of escaped.
std::string errorBody(const std::string &Reason) {
  std::string text;
  for (char it : Reason)
    if (it == '"' || it == '\\')
      text += '\'';
    else
      text += static_cast<unsigned char>(it) < ' ' ? ' ' : it;
  return R"({"error":")" + text + "\"}\n";
}

} // namespace

FleetApi::FleetApi(Dependencies Dependencies) : Deps(std::move(Dependencies)) {}

void FleetApi::handleCall(const HttpRequest &Request,
                          const std::shared_ptr<HttpExchange> &Exchange) {
  platform::FleetCall call = platform::readFleetCall(Request);
  if (auto *announcement = std::get_if<platform::Announcement>(&call)) {
    TimePoint now = Clock::now();
    NodeMessages out;
    ObservationResult result = handleAnnouncement(
        Deps.Core.State, Deps.Gossip, announcement->Observation, now, out);
    if (result != ObservationResult::Refreshed)
      logEvent(
          LogLevel::Info,
          result == ObservationResult::Changed ? "endpoint_changed"
                                               : "announcement_ignored",
          {{"endpoint", announcement->Observation.id()},
           {"address", announcement->Observation.address()},
           {"service", announcement->Observation.service()},
           {"sequence", std::to_string(announcement->Observation.sequence())},
           {"born", std::to_string(announcement->Observation.born_ms())},
           {"state", announcement->Observation.has_left()      ? "left"
                     : announcement->Observation.is_draining() ? "draining"
                                                               : "ready"}});
    Deps.Core.Send(std::move(out));
    Exchange->respond(StatusOk, jsonHeaders(), "{}\n");
  } else if (std::holds_alternative<platform::PutTable>(call)) {
    putTable(Request, Exchange);
  } else if (std::holds_alternative<platform::GetTable>(call)) {
    getTable(Exchange);
  } else if (std::holds_alternative<platform::ReadinessQuery>(call)) {
    bool isReady = Deps.IsReady();
    Exchange->respond(isReady ? StatusOk : StatusUnavailable, {},
                      isReady ? "ready\n" : "not ready\n");
  } else if (std::holds_alternative<platform::MetricsQuery>(call)) {
    Exchange->respond(StatusOk, {{"content-type", "text/plain"}},
                      Deps.Core.Counts.print());
  } else if (auto *unreadable = std::get_if<platform::MalformedCall>(&call)) {
    Deps.Core.Counts.count("calls_unreadable_total");
    logEvent(LogLevel::Warning, "call_unreadable",
             {{"target", Request.Target}, {"reason", unreadable->Reason}});
    Exchange->respond(StatusBadRequest, jsonHeaders(),
                      errorBody(unreadable->Reason));
  } else {
    Exchange->respond(StatusNotFound, jsonHeaders(), errorBody("no such call"));
  }
}

void FleetApi::redirect(HttpExchange &Exchange, bool IsPut) {
  std::string leader = Deps.LeaderAddress();
  if (leader.empty()) {
    Exchange.respond(StatusUnavailable, jsonHeaders(),
                     errorBody("no leader is known"));
    return;
  }
  Exchange.respond(
      StatusRedirect,
      {{"location", "http://" + leader + platform::tablePath(IsPut)}}, "");
}

void FleetApi::putTable(const HttpRequest &Request,
                        const std::shared_ptr<HttpExchange> &Exchange) {
  std::string problem;
  ServingTablePtr table = platform::readTable(Request.Body, problem);
  if (!table) {
    Deps.Core.Counts.count("tables_refused_total");
    logEvent(LogLevel::Warning, "table_refused", {{"reason", problem}});
    Exchange->respond(StatusBadRequest, jsonHeaders(), errorBody(problem));
    return;
  }
  ServingGroup *group = Deps.Group();
  if (!group) {
    redirect(*Exchange, true);
    return;
  }
  uint64_t number = NextCallNumber++;
  PendingCalls[number] = {Exchange, true, table->Version, Clock::now()};
  group->post(StoreWrite{number, table->Version, compressText(Request.Body)});
}

void FleetApi::getTable(const std::shared_ptr<HttpExchange> &Exchange) {
  ServingGroup *group = Deps.Group();
  if (!group) {
    redirect(*Exchange, false);
    return;
  }
  uint64_t number = NextCallNumber++;
  PendingCalls[number] = {Exchange, false, 0, Clock::now()};
  group->post(StoreRead{number});
}

void FleetApi::handleStoreResult(const StoreResult &Result) {
  auto found = PendingCalls.find(Result.Number);
  if (found == PendingCalls.end())
    return;
  PendingCall call = std::move(found->second);
  PendingCalls.erase(found);
  logEvent(
      LogLevel::Info, call.IsPut ? "table_put" : "table_read",
      {{"version", std::to_string(call.IsPut ? call.Version : Result.Version)},
       {"in_force", std::to_string(Result.Version)},
       {"outcome", Result.Outcome == StoreOutcome::Done        ? "done"
                   : Result.Outcome == StoreOutcome::NotLeader ? "redirect"
                                                               : "unavailable"},
       {"took_ms", std::to_string(toMillis(Clock::now() - call.StartedAt))}});
  if (Result.Outcome == StoreOutcome::NotLeader) {
    redirect(*call.Exchange, call.IsPut);
  } else if (Result.Outcome == StoreOutcome::Unavailable) {
    call.Exchange->respond(StatusUnavailable, jsonHeaders(),
                           errorBody("the group has no leader now"));
  } else if (call.IsPut) {
    call.Exchange->respond(StatusOk, jsonHeaders(), "{}\n");
  } else if (auto text = decompressText(Result.Content, MaxTableBytes)) {
    call.Exchange->respond(StatusOk, jsonHeaders(), std::move(*text));
  } else {
    logEvent(LogLevel::Error, "table_unreadable",
             {{"version", std::to_string(Result.Version)}});
    call.Exchange->respond(StatusUnavailable, jsonHeaders(),
                           errorBody("the table cannot be read"));
  }
}

} // namespace sassafras
