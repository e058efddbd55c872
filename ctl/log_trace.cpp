#include "ctl/log_trace.h"

#include <algorithm>
#include <charconv>
#include <set>

namespace sassafras {

namespace {

/// Causes are looked for this long before a request's first line: a load from
/// the store takes several seconds. Milliseconds.
constexpr uint64_t LookBackMs = 10'000;
/// And this long after its last one, for what is noticed late.
constexpr uint64_t LookAheadMs = 3'000;

/// Takes one value, quoted or not, from \p At on.
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

std::string fieldOf(const LogLine &Line, const std::string &Name) {
  auto it = Line.Fields.find(Name);
  return it == Line.Fields.end() ? std::string() : it->second;
}

bool isOf(const LogLine &Line, const std::string &Id) {
  return fieldOf(Line, "id") == Id || fieldOf(Line, "request") == Id;
}

/// What the request's own lines name.
struct Subject {
  uint64_t FirstMs = 0;
  uint64_t LastMs = 0;
  std::set<std::string> Models;
  std::set<std::string> Endpoints; ///< Their ids and addresses.
  std::set<std::string> Orders;
};

Subject gatherSubject(const std::vector<LogLine> &Own) {
  Subject out;
  out.FirstMs = Own.front().TimeMs;
  for (const LogLine &it : Own) {
    // The time that a line tells of may have begun long before it.
    std::string total = fieldOf(it, "total_ms");
    uint64_t ms = 0;
    std::from_chars(total.data(), total.data() + total.size(), ms);
    out.FirstMs = std::min(out.FirstMs, it.TimeMs - std::min(ms, it.TimeMs));
    out.LastMs = std::max(out.LastMs, it.TimeMs);
    std::string model = fieldOf(it, "model");
    if (!model.empty())
      out.Models.insert(model.substr(0, model.find('/')));
    for (const char *name : {"endpoint", "address"})
      if (!fieldOf(it, name).empty())
        out.Endpoints.insert(fieldOf(it, name));
  }
  return out;
}

bool isRelated(const LogLine &Line, const Subject &About) {
  if (Line.TimeMs + LookBackMs < About.FirstMs ||
      Line.TimeMs > About.LastMs + LookAheadMs)
    return false;
  std::string event = fieldOf(Line, "event");
  if (event == "load_planned")
    return About.Models.contains(fieldOf(Line, "model"));
  if (event == "order_received" || event == "engine_order" ||
      event == "order_done")
    return About.Orders.contains(fieldOf(Line, "order"));
  if (event == "endpoint_changed" || event == "endpoint_paused")
    return About.Endpoints.contains(fieldOf(Line, "endpoint"));
  if (event == "engine_lost" || event == "engine_regained")
    return About.Endpoints.contains(fieldOf(Line, "engine"));
  static const std::set<std::string> ofAll{
      "group_view", "role_changed", "table_in_force",    "started",
      "stopping",   "disk_failed",  "log_lines_dropped", "node_out_of_view"};
  return ofAll.contains(event);
}

/// Place among lines of the same millisecond: an order is given before it is
/// received.
int rankOf(const LogLine &Line) {
  std::string event = fieldOf(Line, "event");
  if (event == "load_planned")
    return 0;
  return event == "order_received" ? 1 : 2;
}

bool isBefore(const LogLine &A, const LogLine &B) {
  return std::pair(A.TimeMs, rankOf(A)) < std::pair(B.TimeMs, rankOf(B));
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
    if (isOf(it, Id))
      out.push_back(it);
  if (out.empty())
    return out;
  Subject about = gatherSubject(out);
  for (const LogLine &it : Lines)
    if (fieldOf(it, "event") == "load_planned" && isRelated(it, about))
      about.Orders.insert(fieldOf(it, "order"));
  for (const LogLine &it : Lines)
    if (!isOf(it, Id) && isRelated(it, about))
      out.push_back(it);
  std::stable_sort(out.begin(), out.end(), isBefore);
  return out;
}

} // namespace sassafras
