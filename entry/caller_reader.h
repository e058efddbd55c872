/// \file
/// Reads a caller's HTTP request: finds its key, takes it out everywhere,
/// and learns what a completion asks for.
#ifndef SASSAFRAS_ENTRY_CALLER_READER_H
#define SASSAFRAS_ENTRY_CALLER_READER_H

#include "entry/caller.h"
#include "http/message.h"

#include <optional>
#include <string>

namespace sassafras {

/// Longest output assumed of a completion that does not say.
inline constexpr uint64_t DefaultOutputTokens = 256;

/// Turns \p Request into its form without a key; the key is hashed under
/// \p Salt. Nothing, with the reason in \p Problem, when it is malformed.
/// Thread safe.
std::optional<CallerRequest> parseCallerRequest(HttpRequest Request,
                                                const std::string &Salt,
                                                std::string &Problem);

/// JSON body of a refusal. Thread safe.
std::string formatRefusal(const Refusal &Why, const std::string &RequestId);

} // namespace sassafras

#endif
