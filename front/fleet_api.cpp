#include "front/fleet_api.h"

#include "core/compress.h"
#include "core/logging.h"
#include "core/metrics.h"
#include "front/evacuation_effects.h"
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
  } else if (auto *order = std::get_if<platform::EvacuationOrder>(&call)) {
    evacuate(*order, Exchange);
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

void FleetApi::redirect(HttpExchange &Exchange, const std::string &Path) {
  std::string leader = Deps.LeaderAddress();
  if (leader.empty()) {
    Exchange.respond(StatusUnavailable, jsonHeaders(),
                     errorBody("no leader is known"));
    return;
  }
  Exchange.respond(StatusRedirect, {{"location", "http://" + leader + Path}},
                   "");
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
    redirect(*Exchange, platform::tablePath(true));
    return;
  }
  uint64_t number = NextCallNumber++;
  PendingCalls[number] = {Exchange, true, table->Version, Clock::now(), {},
                          {},       {}};
  group->post(StoreWrite{number, table->Version, compressText(Request.Body)});
}

void FleetApi::getTable(const std::shared_ptr<HttpExchange> &Exchange) {
  ServingGroup *group = Deps.Group();
  if (!group) {
    redirect(*Exchange, platform::tablePath(false));
    return;
  }
  uint64_t number = NextCallNumber++;
  PendingCalls[number] = {Exchange, false, 0, Clock::now(), {}, {}, {}};
  group->post(StoreRead{number});
}

void FleetApi::evacuate(const platform::EvacuationOrder &Order,
                        const std::shared_ptr<HttpExchange> &Exchange) {
  ServingGroup *group = Deps.Group();
  if (!group) {
    redirect(*Exchange, platform::evacuationPath(Order));
    return;
  }
  uint64_t number = NextCallNumber++;
  PendingCalls[number] = {Exchange, false, 0, Clock::now(), Order, {}, {}};
  group->post(StoreEvacuate{number, Order.Zone, Order.IsActive});
}

void FleetApi::handleProposal(const wire::Proposal &Proposal,
                              const std::string &ReplyAddress) {
  const wire::EvacuationChange &change = Proposal.command().evacuation();
  auto problem = findZoneNameProblem(change.zone());
  ServingGroup *group = Deps.Group();
  if (problem || !group) {
    wire::Envelope message;
    wire::ProposalReply &reply = *message.mutable_proposal_reply();
    reply.set_request_id(Proposal.request_id());
    reply.set_status(problem ? wire::PROPOSAL_INVALID
                             : wire::PROPOSAL_NOT_LEADER);
    reply.set_reason(problem.value_or(""));
    reply.set_leader_address(Deps.Core.State.Leader.Address);
    Deps.Core.Send({{ReplyAddress, std::move(message)}});
    return;
  }
  uint64_t number = NextCallNumber++;
  PendingCalls[number] = {
      nullptr,
      false,
      0,
      Clock::now(),
      platform::EvacuationOrder{change.zone(), change.is_active()},
      Proposal.request_id(),
      ReplyAddress};
  group->post(StoreEvacuate{number, change.zone(), change.is_active()});
}

namespace {

/// What an operator should know of an order that was carried out; empty if
/// there is nothing.
std::string warningOf(const platform::EvacuationOrder &Order,
                      const ZoneSummary &Zone) {
  if (Zone.Endpoints == 0 && !Zone.IsKnown)
    return "nothing was heard from this availability zone";
  if (Order.IsActive && Zone.Endpoints > 0 && Zone.Remaining == 0)
    return "no endpoint is left in another availability zone";
  return {};
}

const char *nameOf(StoreOutcome Outcome) {
  switch (Outcome) {
  case StoreOutcome::Done:
    return "done";
  case StoreOutcome::NotLeader:
    return "redirect";
  case StoreOutcome::Unavailable:
    break;
  }
  return "unavailable";
}

} // namespace

void FleetApi::finishEvacuation(const PendingCall &Call,
                                const StoreResult &Result) {
  const platform::EvacuationOrder &order = *Call.Order;
  TimePoint now = Clock::now();
  ZoneSummary zone = summarizeZone(Deps.Core.State, order.Zone, now);
  std::string warning = warningOf(order, zone);
  logEvent(LogLevel::Info,
           order.IsActive ? "evacuation_ordered" : "return_ordered",
           {{"ordered_zone", order.Zone},
            {"version", std::to_string(Result.Version)},
            {"outcome", nameOf(Result.Outcome)},
            {"endpoints", std::to_string(zone.Endpoints)},
            {"remaining", std::to_string(zone.Remaining)},
            {"warning", warning},
            {"took_ms", std::to_string(toMillis(now - Call.StartedAt))}});
  Deps.Core.Counts.count("evacuation_orders_total", std::string("outcome=\"") +
                                                        nameOf(Result.Outcome) +
                                                        "\"");
  if (!Call.Exchange) {
    finishProposal(Call, Result);
  } else if (Result.Outcome == StoreOutcome::NotLeader) {
    redirect(*Call.Exchange, platform::evacuationPath(order));
  } else if (Result.Outcome == StoreOutcome::Unavailable) {
    Call.Exchange->respond(StatusUnavailable, jsonHeaders(),
                           errorBody("the group has no leader now"));
  } else {
    std::string note = warning.empty() ? "" : R"(,"warning":")" + warning + '"';
    Call.Exchange->respond(StatusOk, jsonHeaders(),
                           R"({"version":)" + std::to_string(Result.Version) +
                               R"(,"endpoints":)" +
                               std::to_string(zone.Endpoints) + note + "}\n");
  }
}

/// Sends the result of an order to the operator's tool. A warning goes with an
/// accepted order as its reason.
void FleetApi::finishProposal(const PendingCall &Call,
                              const StoreResult &Result) {
  wire::Envelope message;
  wire::ProposalReply &reply = *message.mutable_proposal_reply();
  reply.set_request_id(Call.RequestId);
  reply.set_status(Result.Outcome == StoreOutcome::Done
                       ? wire::PROPOSAL_ACCEPTED
                       : wire::PROPOSAL_NOT_LEADER);
  reply.set_version(Result.Version);
  reply.set_leader_address(Deps.Core.State.Leader.Address);
  reply.set_reason(
      warningOf(*Call.Order, summarizeZone(Deps.Core.State, Call.Order->Zone,
                                           Clock::now())));
  Deps.Core.Send({{Call.ReplyAddress, std::move(message)}});
}

void FleetApi::handleStoreResult(const StoreResult &Result) {
  auto found = PendingCalls.find(Result.Number);
  if (found == PendingCalls.end())
    return;
  PendingCall call = std::move(found->second);
  PendingCalls.erase(found);
  if (call.Order) {
    finishEvacuation(call, Result);
    return;
  }
  logEvent(
      LogLevel::Info, call.IsPut ? "table_put" : "table_read",
      {{"version", std::to_string(call.IsPut ? call.Version : Result.Version)},
       {"in_force", std::to_string(Result.Version)},
       {"outcome", Result.Outcome == StoreOutcome::Done        ? "done"
                   : Result.Outcome == StoreOutcome::NotLeader ? "redirect"
                                                               : "unavailable"},
       {"took_ms", std::to_string(toMillis(Clock::now() - call.StartedAt))}});
  if (Result.Outcome == StoreOutcome::NotLeader) {
    redirect(*call.Exchange, platform::tablePath(call.IsPut));
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
