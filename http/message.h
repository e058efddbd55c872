/// \file
/// Plain forms of HTTP requests and addresses, free of the library's types.
#ifndef SASSAFRAS_HTTP_MESSAGE_H
#define SASSAFRAS_HTTP_MESSAGE_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sassafras {

/// Names are lower case.
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

/// Value of the first field \p Name, or empty.
inline std::string_view fieldOf(const std::vector<HttpField> &Fields,
                                std::string_view Name) {
  for (const HttpField &it : Fields)
    if (it.Name == Name)
      return it.Value;
  return {};
}

/// True for fields that concern one connection only.
bool isHopByHopField(std::string_view Name);

/// Removes every field called \p Name.
void eraseField(std::vector<HttpField> &Fields, std::string_view Name);

/// Puts \p Value in place of all fields called \p Name.
void setField(std::vector<HttpField> &Fields, std::string_view Name,
              std::string Value);

} // namespace sassafras

#endif
