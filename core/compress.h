/// \file
/// Compression of texts that are stored and sent between nodes.
#ifndef SASSAFRAS_CORE_COMPRESS_H
#define SASSAFRAS_CORE_COMPRESS_H

#include <optional>
#include <string>
#include <string_view>

namespace sassafras {

/// Compresses \p Text with zlib, prefixed with its uncompressed size. Thread
/// safe.
std::string compressText(std::string_view Text);
/// Returns nullopt when \p Bytes is not output of compressText, or when the
/// text is longer than \p MaxSize bytes. Thread safe.
std::optional<std::string> decompressText(std::string_view Bytes,
                                          size_t MaxSize);

} // namespace sassafras

#endif
