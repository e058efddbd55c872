/// \file
/// Splits a stream of server-sent events (SSE) at event boundaries, so that a
/// stream that is interrupted within an event can be resumed at another
/// endpoint.
#ifndef SASSAFRAS_FRONT_SSE_BUFFER_H
#define SASSAFRAS_FRONT_SSE_BUFFER_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace sassafras {

struct SseBuffer {
  std::string Incomplete; ///< Start of an event that is not complete yet.
  std::optional<uint64_t> LastId; ///< Of the complete events so far.
};

/// Appends \p Bytes, and removes and returns all complete events. Not thread
/// safe.
std::string takeCompleteEvents(SseBuffer &Buffer, std::string_view Bytes);

} // namespace sassafras

#endif
