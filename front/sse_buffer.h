/// \file
/// Splits a stream of server-sent events at the ends of events, so that a
/// stream that breaks within one can go on at another endpoint.
#ifndef SASSAFRAS_FRONT_SSE_BUFFER_H
#define SASSAFRAS_FRONT_SSE_BUFFER_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sassafras {

struct SseBuffer {
  std::string Incomplete; ///< Start of an event that is not complete yet.
  std::optional<uint64_t> LastId;
};

/// Appends \p Bytes, and removes and returns all complete events. Keeps the id
/// of the last of them that has one. Not thread safe.
std::string takeCompleteEvents(SseBuffer &Buffer, std::string_view Bytes);

} // namespace sassafras

#endif
