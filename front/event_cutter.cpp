#include "front/event_cutter.h"

#include <charconv>

namespace sassafras {

namespace {

constexpr std::string_view IdKey = "id:";

/// End of the last whole event in \p Text, or 0. An empty line ends an event;
/// lines end with LF or CRLF.
size_t endOfEvents(std::string_view Text) {
  size_t lf = Text.rfind("\n\n");
  size_t crlf = Text.rfind("\r\n\r\n");
  size_t end = lf == std::string_view::npos ? 0 : lf + 2;
  if (crlf != std::string_view::npos && crlf + 4 > end)
    end = crlf + 4;
  return end;
}

void noteId(EventCutter &Cutter, std::string_view Line) {
  if (!Line.starts_with(IdKey))
    return;
  Line.remove_prefix(IdKey.size());
  while (!Line.empty() && Line.front() == ' ')
    Line.remove_prefix(1);
  uint64_t id = 0;
  auto [end, error] =
      std::from_chars(Line.data(), Line.data() + Line.size(), id);
  if (error == std::errc() && end != Line.data())
    Cutter.LastId = id;
}

} // namespace

std::string cutEvents(EventCutter &Cutter, std::string_view Bytes) {
  Cutter.Rest += Bytes;
  size_t end = endOfEvents(Cutter.Rest);
  std::string out = Cutter.Rest.substr(0, end);
  Cutter.Rest.erase(0, end);
  std::string_view rest = out;
  while (!rest.empty()) {
    size_t n = rest.find('\n');
    noteId(Cutter, rest.substr(0, n));
    if (n == std::string_view::npos)
      break;
    rest.remove_prefix(n + 1);
  }
  return out;
}

} // namespace sassafras
