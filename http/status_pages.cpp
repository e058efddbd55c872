#include "http/status_pages.h"

#include "core/metrics.h"

namespace sassafras {

namespace {

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusUnavailable = 503;

} // namespace

bool serveStatusPage(const HttpRequest &Request, HttpExchange &Exchange,
                     const Metrics &Counts, bool IsReady) {
  std::vector<HttpField> fields{{"content-type", "text/plain"}};
  if (Request.Target == "/metrics")
    Exchange.respond(StatusOk, fields, Counts.print());
  else if (Request.Target == "/healthz")
    Exchange.respond(StatusOk, fields, "ok\n");
  else if (Request.Target == "/readyz")
    Exchange.respond(IsReady ? StatusOk : StatusUnavailable, fields,
                     IsReady ? "ready\n" : "not ready\n");
  else
    return false;
  return true;
}

} // namespace sassafras
