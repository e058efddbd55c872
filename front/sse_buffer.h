/// \file
/// Splits a stream of server-sent events into its events, so that a stream that
/// breaks within one can go on at another endpoint.
#ifndef SASSAFRAS_FRONT_SSE_BUFFER_H
#define SASSAFRAS_FRONT_SSE_BUFFER_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sassafras {

struct SseEvent {
  std::string Bytes; ///< With the empty line that ends it.
  std::optional<uint64_t> Id;
  bool IsComment = true; ///< It has no fields.
};

struct SseBuffer {
  std::string Incomplete; ///< Start of an event that is not complete yet.
  size_t Scanned = 0;     ///< Bytes of it up to the line that is not complete.
  SseEvent Next;          ///< What its complete lines state; without bytes.
  /// The last event ended with a CR, which may be the first half of a CRLF.
  bool EndedWithCr = false;
};

struct SsePieces {
  std::string Tail; ///< Second half of the line end of the event before.
  std::vector<SseEvent> Events;
};

/// Appends \p Bytes, and removes and returns all complete events. Lines end
/// with LF, CR or CRLF. Not thread safe.
SsePieces takeCompleteEvents(SseBuffer &Buffer, std::string_view Bytes);
/// Removes and returns an event that has begun, at the end of a stream that is
/// whole. Not thread safe.
SseEvent takeUnendedEvent(SseBuffer &Buffer);

} // namespace sassafras

#endif
