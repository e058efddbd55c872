/// \file
/// Structured logging: one line of key=value pairs per event.
#ifndef SASSAFRAS_CORE_LOGGING_H
#define SASSAFRAS_CORE_LOGGING_H

#include <initializer_list>
#include <string>
#include <string_view>

namespace sassafras {

enum class LogLevel { Debug, Info, Warning, Error };

/// One key=value pair of a log line. The value is quoted when it is empty
/// or contains white space, '=', a quote or a backslash.
struct LogField {
  std::string_view Key;
  std::string Value;
};

/// Sets the lowest level that is written and the node name on each line, in
/// place of those of an earlier call. Call before other threads start.
void startLogging(LogLevel MinLevel, const std::string &Node);

/// Writes one line. Thread safe. Never log an API key or a request or response
/// body.
void logEvent(LogLevel Level, std::string_view Event,
              std::initializer_list<LogField> Fields = {});

} // namespace sassafras

#endif
