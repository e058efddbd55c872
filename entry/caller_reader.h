/// \file
/// Parses a caller's HTTP request: extracts and removes the API key and
/// reads the model and token limits of a completion.
#ifndef SASSAFRAS_ENTRY_CALLER_READER_H
#define SASSAFRAS_ENTRY_CALLER_READER_H

#include "entry/caller.h"
#include "http/message.h"

#include <optional>
#include <string>

namespace sassafras {

/// Maximum output, in tokens, assumed for a completion that sets no limit.
inline constexpr uint64_t DefaultOutputTokens = 256;

/// Converts \p Request to a CallerRequest without its key, of which only the
/// hash with \p Salt is kept. Returns nothing, with the reason in \p Problem,
/// when the request is malformed or its target or body contains the key.
/// Thread safe.
std::optional<CallerRequest> parseCallerRequest(HttpRequest Request,
                                                const std::string &Salt,
                                                std::string &Problem);

/// Returns the JSON response body of a refusal. Thread safe.
std::string formatRefusal(const Refusal &Why, const std::string &RequestId);

} // namespace sassafras

#endif
