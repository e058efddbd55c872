/// \file
/// Parser of HTTP/1 messages with header fields of any length. The containers
/// of Boost.Beast throw for fields of 64 KiB.
#ifndef SASSAFRAS_HTTP_MESSAGE_PARSER_H
#define SASSAFRAS_HTTP_MESSAGE_PARSER_H

#include "http/message.h"

#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace sassafras {

/// \p Text in lower case.
std::string lowerCase(std::string_view Text);

/// Collects what basic_parser finds in a message. Not thread safe.
template <bool IsRequest>
class MessageParser : public boost::beast::http::basic_parser<IsRequest> {
public:
  using Base = boost::beast::http::basic_parser<IsRequest>;
  using ErrorCode = boost::beast::error_code;

  std::string Method;  ///< Of a request.
  std::string Target;  ///< Of a request.
  unsigned Status = 0; ///< Of a response.
  int Version = 11;
  std::vector<HttpField> Fields; ///< Of the header; names are lower case.
  /// Bytes of the body that were parsed and not taken by the caller yet.
  std::string Body;

  size_t countFields(std::string_view Name) const {
    size_t n = 0;
    for (const HttpField &it : Fields)
      n += it.Name == Name;
    return n;
  }

private:
  using StringView = boost::beast::string_view;

  void on_request_impl(boost::beast::http::verb, StringView MethodText,
                       StringView TargetText, int NewVersion,
                       ErrorCode &) override {
    Method = std::string(MethodText);
    Target = std::string(TargetText);
    Version = NewVersion;
  }

  void on_response_impl(int NewStatus, StringView, int NewVersion,
                        ErrorCode &Error) override {
    // RFC 9110, 15: no other status is valid.
    constexpr int LeastStatus = 100;
    constexpr int MostStatus = 599;
    if (NewStatus < LeastStatus || NewStatus > MostStatus)
      Error = boost::beast::http::error::bad_status;
    Status = static_cast<unsigned>(NewStatus);
    Version = NewVersion;
  }

  void on_field_impl(boost::beast::http::field, StringView Name,
                     StringView Value, ErrorCode &) override {
    // Trailer fields are not part of the header and must not be merged into it.
    if (!IsHeaderDone)
      Fields.push_back({lowerCase(Name), std::string(Value)});
  }

  void on_header_impl(ErrorCode &) override { IsHeaderDone = true; }

  void on_body_init_impl(const boost::optional<uint64_t> &,
                         ErrorCode &) override {}

  size_t on_body_impl(StringView Bytes, ErrorCode &) override {
    Body += Bytes;
    return Bytes.size();
  }

  void on_chunk_header_impl(uint64_t, StringView, ErrorCode &) override {}

  size_t on_chunk_body_impl(uint64_t, StringView Bytes, ErrorCode &) override {
    Body += Bytes;
    return Bytes.size();
  }

  void on_finish_impl(ErrorCode &) override {}

  bool IsHeaderDone = false;
};

using RequestParser = MessageParser<true>;
using ResponseParser = MessageParser<false>;

} // namespace sassafras

#endif
