/// \file
/// HTTP requests and header fields as plain structs, without Boost.Beast types.
#ifndef SASSAFRAS_HTTP_MESSAGE_H
#define SASSAFRAS_HTTP_MESSAGE_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sassafras {

/// Header field. The name is in lower case.
struct HttpField {
  std::string Name;
  std::string Value;
};

struct HttpRequest {
  std::string Method;
  std::string Target;
  std::vector<HttpField> Fields;
  std::string Body;
};

/// Value of the first field called \p Name, or an empty string.
inline std::string_view fieldOf(const std::vector<HttpField> &Fields,
                                std::string_view Name) {
  for (const HttpField &it : Fields)
    if (it.Name == Name)
      return it.Value;
  return {};
}

/// True for fields that must not be forwarded to the next connection:
/// hop-by-hop fields, and content-length, expect and host, which are set anew
/// there.
bool isHopByHopField(std::string_view Name);

/// True if a response with \p Status ends with its header, whatever its fields
/// say.
inline bool hasNoContent(unsigned Status) {
  constexpr unsigned StatusNoContent = 204;
  constexpr unsigned StatusNotModified = 304;
  return Status == StatusNoContent || Status == StatusNotModified;
}

/// Removes every field called \p Name.
void eraseField(std::vector<HttpField> &Fields, std::string_view Name);

/// Replaces all fields called \p Name with one of value \p Value.
void setField(std::vector<HttpField> &Fields, std::string_view Name,
              std::string Value);

} // namespace sassafras

#endif
