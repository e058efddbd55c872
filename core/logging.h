/// \file
/// Structured log: one line of key=value pairs for each event.
#ifndef SASSAFRAS_CORE_LOGGING_H
#define SASSAFRAS_CORE_LOGGING_H

#include <initializer_list>
#include <string>
#include <string_view>

namespace sassafras {

enum class LogLevel { Debug, Info, Warning, Error };

/// One key and its value; values are quoted where they need it.
struct LogField {
  std::string_view Key;
  std::string Value;
};

/// Sets the least level that is written and the node named on each line.
/// Call before other threads start.
void startLogging(LogLevel Least, const std::string &Node);

/// Writes one line. Thread safe. Never pass a key or a body.
void logEvent(LogLevel Level, std::string_view Event,
              std::initializer_list<LogField> Fields = {});

} // namespace sassafras

#endif
