#include "ctl/log_trace.h"

#include <algorithm>
#include <charconv>
#include <set>

namespace sassafras {

namespace {

/// Related events are included from this long before the request began, in
/// milliseconds: a load from the store takes several seconds.
constexpr uint64_t LookBackMs = 10'000;
/// And until this long after its last line, for causes that are detected late.
constexpr uint64_t LookAheadMs = 3'000;

/// Reads the quoted or unquoted value at \p At and moves \p At past it.
std::string readValue(const std::string &Text, size_t &At) {
  std::string out;
  if (At == Text.size() || Text[At] != '"') {
    size_t end = std::min(Text.find(' ', At), Text.size());
    out = Text.substr(At, end - At);
    At = end;
    return out;
  }
  for (++At; At < Text.size() && Text[At] != '"'; ++At) {
    if (Text[At] == '\\' && At + 1 < Text.size())
      ++At;
    out += Text[At];
  }
  At += At < Text.size();
  return out;
}

std::string getField(const LogLine &Line, const std::string &Name) {
  auto it = Line.Fields.find(Name);
  return it == Line.Fields.end() ? std::string() : it->second;
}

bool hasRequestId(const LogLine &Line, const std::string &Id) {
  // Tries that resume a stream name the request that brought its first event.
  for (const char *name : {"id", "request", "resumed"})
    if (getField(Line, name) == Id)
      return true;
  return false;
}

/// Time span of a request and what its own log lines refer to.
struct RequestContext {
  uint64_t FirstMs = 0;
  uint64_t LastMs = 0;
  std::set<std::string> Models;
  std::set<std::string> Endpoints; ///< Ids and addresses.
  std::set<std::string> Orders;    ///< Load orders for the models.
};

RequestContext collectContext(const std::vector<LogLine> &RequestLines) {
  RequestContext out;
  out.FirstMs = RequestLines.front().TimeMs;
  for (const LogLine &it : RequestLines) {
    // A line with total_ms is logged at the end of the duration it reports.
    std::string total = getField(it, "total_ms");
    uint64_t ms = 0;
    std::from_chars(total.data(), total.data() + total.size(), ms);
    out.FirstMs = std::min(out.FirstMs, it.TimeMs - std::min(ms, it.TimeMs));
    out.LastMs = std::max(out.LastMs, it.TimeMs);
    std::string model = getField(it, "model");
    if (!model.empty())
      out.Models.insert(model.substr(0, model.find('/')));
    for (const char *name : {"endpoint", "address"})
      if (!getField(it, name).empty())
        out.Endpoints.insert(getField(it, name));
  }
  return out;
}

bool isRelated(const LogLine &Line, const RequestContext &Context) {
  if (Line.TimeMs + LookBackMs < Context.FirstMs ||
      Line.TimeMs > Context.LastMs + LookAheadMs)
    return false;
  std::string event = getField(Line, "event");
  if (event == "load_planned")
    return Context.Models.contains(getField(Line, "model"));
  if (event == "order_received" || event == "engine_order" ||
      event == "order_done")
    return Context.Orders.contains(getField(Line, "order"));
  static const std::set<std::string> endpointEvents{
      "endpoint_changed", "endpoint_paused", "endpoint_limit",
      "endpoint_leaving", "endpoint_asked_for_pause"};
  if (endpointEvents.contains(event))
    return Context.Endpoints.contains(getField(Line, "endpoint"));
  if (event == "engine_lost" || event == "engine_regained")
    return Context.Endpoints.contains(getField(Line, "engine"));
  static const std::set<std::string> fleetEvents{
      "group_view",        "role_changed",     "table_in_force",
      "started",           "stopping",         "disk_failed",
      "log_lines_dropped", "node_out_of_view", "permit_request_unanswered"};
  return fleetEvents.contains(event);
}

/// Sort order of lines with the same time: an order is planned before it is
/// received.
int eventRank(const LogLine &Line) {
  std::string event = getField(Line, "event");
  if (event == "load_planned")
    return 0;
  return event == "order_received" ? 1 : 2;
}

bool isBefore(const LogLine &A, const LogLine &B) {
  return std::pair(A.TimeMs, eventRank(A)) < std::pair(B.TimeMs, eventRank(B));
}

} // namespace

std::optional<LogLine> readLogLine(const std::string &Text) {
  size_t at = Text.find("time_ms=");
  if (at == std::string::npos)
    return std::nullopt;
  LogLine out;
  out.Text = Text.substr(at);
  at = 0;
  while (at < out.Text.size()) {
    size_t equals = out.Text.find('=', at);
    if (equals == std::string::npos)
      break;
    std::string name = out.Text.substr(at, equals - at);
    at = equals + 1;
    out.Fields[name] = readValue(out.Text, at);
    at = std::min(out.Text.find_first_not_of(' ', at), out.Text.size());
  }
  const std::string &time = out.Fields["time_ms"];
  auto [end, ec] =
      std::from_chars(time.data(), time.data() + time.size(), out.TimeMs);
  if (ec != std::errc() || !out.Fields.contains("event"))
    return std::nullopt;
  return out;
}

void readLog(std::istream &In, std::vector<LogLine> &Out) {
  std::string text;
  while (std::getline(In, text))
    if (auto line = readLogLine(text))
      Out.push_back(std::move(*line));
}

std::vector<LogLine> traceRequest(const std::vector<LogLine> &Lines,
                                  const std::string &Id) {
  std::vector<LogLine> out;
  for (const LogLine &it : Lines)
    if (hasRequestId(it, Id))
      out.push_back(it);
  if (out.empty())
    return out;
  RequestContext context = collectContext(out);
  for (const LogLine &it : Lines)
    if (getField(it, "event") == "load_planned" && isRelated(it, context))
      context.Orders.insert(getField(it, "order"));
  for (const LogLine &it : Lines)
    if (!hasRequestId(it, Id) && isRelated(it, context))
      out.push_back(it);
  std::stable_sort(out.begin(), out.end(), isBefore);
  return out;
}

} // namespace sassafras
