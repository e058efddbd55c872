/// \file
/// Finds the log lines of several processes that are related to one request.
#ifndef SASSAFRAS_CTL_LOG_TRACE_H
#define SASSAFRAS_CTL_LOG_TRACE_H

#include <cstdint>
#include <istream>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sassafras {

/// One log line of key=value pairs.
struct LogLine {
  uint64_t TimeMs = 0; ///< Wall clock of the process that logged it.
  std::string Text;    ///< The line from `time_ms=` on.
  std::map<std::string, std::string> Fields;
};

/// Parses one log line. Returns nothing unless it has a valid time_ms and an
/// event. Text before `time_ms=`, such as the prefix of a log collector, is
/// dropped.
std::optional<LogLine> readLogLine(const std::string &Text);
/// Appends all valid log lines of \p In to \p Out and skips other lines.
void readLog(std::istream &In, std::vector<LogLine> &Out);

/// Returns, in order of time, the lines with request id \p Id and the lines
/// from around the same time about loads of its model, its endpoints, the
/// replicated group and other events of the whole fleet. Empty when no line has
/// \p Id. Pure and thread safe.
std::vector<LogLine> traceRequest(const std::vector<LogLine> &Lines,
                                  const std::string &Id);

} // namespace sassafras

#endif
