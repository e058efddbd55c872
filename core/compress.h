/// \file
/// Compression of texts that are kept and passed between nodes.
#ifndef SASSAFRAS_CORE_COMPRESS_H
#define SASSAFRAS_CORE_COMPRESS_H

#include <optional>
#include <string>
#include <string_view>

namespace sassafras {

/// Thread safe.
std::string compressText(std::string_view Text);
/// Nothing when \p Bytes were not made by compressText, or hold more than
/// \p Most bytes. Thread safe.
std::optional<std::string> decompressText(std::string_view Bytes, size_t Most);

} // namespace sassafras

#endif
