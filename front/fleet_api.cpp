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
constexpr unsigned StatusBad = 400;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusUnavailable = 503;
/// Tables larger than this are not taken; the operators' bound is 4 MB.
constexpr size_t MostTableBytes = 8ULL * 1024 * 1024;

std::vector<HttpField> jsonFields() {
  return {{"content-type", "application/json"}};
}

std::string problemBody(const std::string &Reason) {
  std::string text;
  for (char it : Reason)
    if (it == '"' || it == '\\')
      text += '\'';
    else
      text += static_cast<unsigned char>(it) < ' ' ? ' ' : it;
  return R"({"error":")" + text + "\"}\n";
}

} // namespace

FleetApi::FleetApi(Parts Parts) : With(std::move(Parts)) {}

void FleetApi::take(const HttpRequest &Request,
                    const std::shared_ptr<HttpExchange> &Exchange) {
  platform::FleetCall call = platform::readFleetCall(Request);
  if (auto *spoken = std::get_if<platform::Announcement>(&call)) {
    TimePoint now = Clock::now();
    NodeMessages out;
    SightingResult result = handleAnnouncement(With.Core.State, With.Gossip,
                                               spoken->Sighting, now, out);
    if (result != SightingResult::Refreshed)
      logEvent(LogLevel::Info,
               result == SightingResult::Changed ? "endpoint_changed"
                                                 : "announcement_ignored",
               {{"endpoint", spoken->Sighting.id()},
                {"address", spoken->Sighting.address()},
                {"service", spoken->Sighting.service()},
                {"sequence", std::to_string(spoken->Sighting.sequence())},
                {"born", std::to_string(spoken->Sighting.born_ms())},
                {"state", spoken->Sighting.has_left()      ? "left"
                          : spoken->Sighting.is_draining() ? "draining"
                                                           : "ready"}});
    With.Core.Send(std::move(out));
    Exchange->respond(StatusOk, jsonFields(), "{}\n");
  } else if (std::holds_alternative<platform::PutTable>(call)) {
    putTable(Request, Exchange);
  } else if (std::holds_alternative<platform::GetTable>(call)) {
    getTable(Exchange);
  } else if (std::holds_alternative<platform::ReadyQuestion>(call)) {
    bool isReady = With.IsReady();
    Exchange->respond(isReady ? StatusOk : StatusUnavailable, {},
                      isReady ? "ready\n" : "not ready\n");
  } else if (std::holds_alternative<platform::MetricsQuestion>(call)) {
    Exchange->respond(StatusOk, {{"content-type", "text/plain"}},
                      With.Core.Counts.print());
  } else if (auto *bad = std::get_if<platform::UnreadableCall>(&call)) {
    With.Core.Counts.count("calls_unreadable_total");
    logEvent(LogLevel::Warning, "call_unreadable",
             {{"target", Request.Target}, {"reason", bad->Reason}});
    Exchange->respond(StatusBad, jsonFields(), problemBody(bad->Reason));
  } else {
    Exchange->respond(StatusNotFound, jsonFields(),
                      problemBody("no such call"));
  }
}

void FleetApi::redirect(HttpExchange &Exchange, bool IsPut) {
  std::string leader = With.LeaderAddress();
  if (leader.empty()) {
    Exchange.respond(StatusUnavailable, jsonFields(),
                     problemBody("no leader is known"));
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
    With.Core.Counts.count("tables_refused_total");
    logEvent(LogLevel::Warning, "table_refused", {{"reason", problem}});
    Exchange->respond(StatusBad, jsonFields(), problemBody(problem));
    return;
  }
  ServingGroup *group = With.Group();
  if (!group) {
    redirect(*Exchange, true);
    return;
  }
  uint64_t number = NextCall++;
  Calls[number] = {Exchange, true, table->Version, Clock::now()};
  group->post(StoreWrite{number, table->Version, compressText(Request.Body)});
}

void FleetApi::getTable(const std::shared_ptr<HttpExchange> &Exchange) {
  ServingGroup *group = With.Group();
  if (!group) {
    redirect(*Exchange, false);
    return;
  }
  uint64_t number = NextCall++;
  Calls[number] = {Exchange, false, 0, Clock::now()};
  group->post(StoreRead{number});
}

void FleetApi::takeAnswer(const StoreAnswer &Answer) {
  auto found = Calls.find(Answer.Number);
  if (found == Calls.end())
    return;
  OpenCall call = std::move(found->second);
  Calls.erase(found);
  logEvent(
      LogLevel::Info, call.IsPut ? "table_put" : "table_read",
      {{"version", std::to_string(call.IsPut ? call.Version : Answer.Version)},
       {"in_force", std::to_string(Answer.Version)},
       {"outcome", Answer.Outcome == StoreOutcome::Done        ? "done"
                   : Answer.Outcome == StoreOutcome::NotLeader ? "redirect"
                                                               : "unavailable"},
       {"took_ms", std::to_string(toMillis(Clock::now() - call.Since))}});
  if (Answer.Outcome == StoreOutcome::NotLeader) {
    redirect(*call.Exchange, call.IsPut);
  } else if (Answer.Outcome == StoreOutcome::Unavailable) {
    call.Exchange->respond(StatusUnavailable, jsonFields(),
                           problemBody("the group has no leader now"));
  } else if (call.IsPut) {
    call.Exchange->respond(StatusOk, jsonFields(), "{}\n");
  } else if (auto text = expandText(Answer.Content, MostTableBytes)) {
    call.Exchange->respond(StatusOk, jsonFields(), std::move(*text));
  } else {
    logEvent(LogLevel::Error, "table_unreadable",
             {{"version", std::to_string(Answer.Version)}});
    call.Exchange->respond(StatusUnavailable, jsonFields(),
                           problemBody("the table cannot be read"));
  }
}

} // namespace sassafras
