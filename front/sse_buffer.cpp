#include "front/sse_buffer.h"

#include <charconv>

namespace sassafras {

namespace {

constexpr std::string_view IdKey = "id:";

/// End of the last complete event in \p Text, or 0. An empty line ends an
/// event; lines end with LF or CRLF.
size_t endOfLastEvent(std::string_view Text) {
  size_t lf = Text.rfind("\n\n");
  size_t crlf = Text.rfind("\r\n\r\n");
  size_t end = lf == std::string_view::npos ? 0 : lf + 2;
  if (crlf != std::string_view::npos && crlf + 4 > end)
    end = crlf + 4;
  return end;
}

void recordId(SseBuffer &Buffer, std::string_view Line) {
  if (!Line.starts_with(IdKey))
    return;
  Line.remove_prefix(IdKey.size());
  while (!Line.empty() && Line.front() == ' ')
    Line.remove_prefix(1);
  uint64_t id = 0;
  auto [end, error] =
      std::from_chars(Line.data(), Line.data() + Line.size(), id);
  if (error == std::errc() && end != Line.data())
    Buffer.LastId = id;
}

} // namespace

std::string takeCompleteEvents(SseBuffer &Buffer, std::string_view Bytes) {
  Buffer.Incomplete += Bytes;
  size_t end = endOfLastEvent(Buffer.Incomplete);
  std::string out = Buffer.Incomplete.substr(0, end);
  Buffer.Incomplete.erase(0, end);
  std::string_view rest = out;
  while (!rest.empty()) {
    size_t n = rest.find('\n');
    recordId(Buffer, rest.substr(0, n));
    if (n == std::string_view::npos)
      break;
    rest.remove_prefix(n + 1);
  }
  return out;
}

} // namespace sassafras
