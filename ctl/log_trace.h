/// \file
/// Joins what several processes logged about one request.
#ifndef SASSAFRAS_CTL_LOG_TRACE_H
#define SASSAFRAS_CTL_LOG_TRACE_H

#include <cstdint>
#include <istream>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace sassafras {

/// One line of key=value pairs.
struct LogLine {
  uint64_t TimeMs = 0; ///< Wall clock of the process that wrote it.
  std::string Text;
  std::map<std::string, std::string> Fields;
};

/// Reads one line, or nothing when it is not one of ours. What stands before
/// its time, as a collector adds, is left out.
std::optional<LogLine> readLogLine(const std::string &Text);
/// Appends the lines of \p In that can be part of a trace.
void readLog(std::istream &In, std::vector<LogLine> &Out);

/// In order of time: the lines that carry \p Id, and those of the same time
/// that tell of its model's loads, its endpoints and the group. Empty when no
/// line carries \p Id. Pure and thread safe.
std::vector<LogLine> traceRequest(const std::vector<LogLine> &Lines,
                                  const std::string &Id);

} // namespace sassafras

#endif
