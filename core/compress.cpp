#include "core/compress.h"

#include <cstdint>
#include <cstring>
#include <zlib.h>

namespace sassafras {

namespace {

/// Size of the header that holds the length of the uncompressed text.
constexpr size_t HeaderSize = sizeof(uint64_t);

} // namespace

std::string compressText(std::string_view Text) {
  uLongf size = ::compressBound(Text.size());
  std::string out(HeaderSize + size, '\0');
  uint64_t length = Text.size();
  std::memcpy(out.data(), &length, HeaderSize);
  ::compress2(reinterpret_cast<Bytef *>(out.data() + HeaderSize), &size,
              reinterpret_cast<const Bytef *>(Text.data()), Text.size(),
              Z_BEST_SPEED);
  out.resize(HeaderSize + size);
  return out;
}

std::optional<std::string> decompressText(std::string_view Bytes,
                                          size_t MaxSize) {
  uint64_t length = 0;
  if (Bytes.size() < HeaderSize)
    return std::nullopt;
  std::memcpy(&length, Bytes.data(), HeaderSize);
  if (length > MaxSize)
    return std::nullopt;
  std::string out(length, '\0');
  uLongf size = length;
  int code =
      ::uncompress(reinterpret_cast<Bytef *>(out.data()), &size,
                   reinterpret_cast<const Bytef *>(Bytes.data() + HeaderSize),
                   Bytes.size() - HeaderSize);
  if (code != Z_OK || size != length)
    return std::nullopt;
  return out;
}

} // namespace sassafras
