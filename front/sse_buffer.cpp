#include "front/sse_buffer.h"

#include <charconv>

namespace sassafras {

namespace {

constexpr std::string_view IdKey = "id";

/// An id that is not a decimal number is none.
std::optional<uint64_t> parseId(std::string_view Value) {
  while (!Value.empty() && Value.front() == ' ')
    Value.remove_prefix(1);
  uint64_t id = 0;
  const char *last = Value.data() + Value.size();
  auto [end, error] = std::from_chars(Value.data(), last, id);
  if (Value.empty() || error != std::errc() || end != last)
    return std::nullopt;
  return id;
}

void readLine(SseEvent &Event, std::string_view Line) {
  if (Line.starts_with(':'))
    return;
  Event.IsComment = false;
  size_t colon = Line.find(':');
  if (Line.substr(0, colon) != IdKey)
    return;
  Event.Id = colon == std::string_view::npos ? std::nullopt
                                             : parseId(Line.substr(colon + 1));
}

SseEvent takeFront(SseBuffer &Buffer, size_t Size) {
  SseEvent out = std::move(Buffer.Next);
  out.Bytes = Buffer.Incomplete.substr(0, Size);
  Buffer.Incomplete.erase(0, Size);
  Buffer.Scanned = 0;
  Buffer.Next = {};
  return out;
}

/// Removes the first event if it is complete.
std::optional<SseEvent> takeEvent(SseBuffer &Buffer) {
  const std::string &text = Buffer.Incomplete;
  for (;;) {
    size_t end = text.find_first_of("\r\n", Buffer.Scanned);
    if (end == std::string::npos)
      return std::nullopt;
    bool isCr = text[end] == '\r';
    bool isLast = end + 1 == text.size();
    bool isEmpty = end == Buffer.Scanned;
    // The rest of the line end may be on its way. An event is not held for it.
    if (isCr && isLast && !isEmpty)
      return std::nullopt;
    std::string_view line(text.data() + Buffer.Scanned, end - Buffer.Scanned);
    size_t next = end + (isCr && !isLast && text[end + 1] == '\n' ? 2 : 1);
    Buffer.Scanned = next;
    if (isEmpty) {
      Buffer.EndedWithCr = isCr && isLast;
      return takeFront(Buffer, next);
    }
    readLine(Buffer.Next, line);
  }
}

} // namespace

SsePieces takeCompleteEvents(SseBuffer &Buffer, std::string_view Bytes) {
  SsePieces out;
  if (Buffer.EndedWithCr && Bytes.starts_with('\n')) {
    out.Tail.push_back('\n');
    Bytes.remove_prefix(1);
  }
  Buffer.EndedWithCr = Buffer.EndedWithCr && out.Tail.empty() && Bytes.empty();
  Buffer.Incomplete += Bytes;
  while (auto event = takeEvent(Buffer))
    out.Events.push_back(std::move(*event));
  return out;
}

SseEvent takeUnendedEvent(SseBuffer &Buffer) {
  std::string_view line =
      std::string_view(Buffer.Incomplete).substr(Buffer.Scanned);
  while (line.ends_with('\r'))
    line.remove_suffix(1);
  if (!line.empty())
    readLine(Buffer.Next, line);
  return takeFront(Buffer, Buffer.Incomplete.size());
}

} // namespace sassafras
