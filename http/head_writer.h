/// \file
/// Serialises the heads of HTTP/1 messages, with header fields of any length.
#ifndef SASSAFRAS_HTTP_HEAD_WRITER_H
#define SASSAFRAS_HTTP_HEAD_WRITER_H

#include <cstdint>
#include <string>
#include <string_view>

namespace sassafras {

/// Writes one head. Not thread safe.
class HeadWriter {
public:
  /// Starts the head of an HTTP/1.1 request.
  static HeadWriter request(std::string_view Method, std::string_view Target);
  /// Starts the head of a response. \p Status has three digits.
  static HeadWriter response(unsigned Status, bool IsHttp10);

  /// Adds a field. Control characters, which would end the field, are replaced
  /// by spaces.
  void add(std::string_view Name, std::string_view Value);
  void addLength(uint64_t Bytes);
  /// The complete head. Call once.
  std::string finish() &&;

private:
  explicit HeadWriter(std::string Line) : Text(std::move(Line)) {}

  std::string Text;
};

} // namespace sassafras

#endif
