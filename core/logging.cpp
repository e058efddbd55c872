#include "core/logging.h"

#include "core/time.h"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/trivial.hpp>
#include <boost/make_shared.hpp>

#include <chrono>
#include <climits>
#include <cstdint>
#include <poll.h>
#include <unistd.h>

namespace sassafras {

namespace {

namespace trivial = boost::log::trivial;

namespace sinks = boost::log::sinks;

/// At most this many lines are written per window; further lines are dropped
/// and their number is logged.
constexpr uint64_t MaxLinesPerWindow = 400;
constexpr std::chrono::seconds LineWindow{1};

std::string NodeName;

/// Writes lines to standard output without blocking. Lines that the reader
/// does not accept at once, or that exceed the limit per window, are dropped
/// and counted.
class OutputBackend
    : public sinks::basic_formatted_sink_backend<char,
                                                 sinks::synchronized_feeding> {
public:
  void consume(const boost::log::record_view &, const std::string &Line) {
    TimePoint now = Clock::now();
    if (now >= WindowEnd) {
      WindowEnd = now + LineWindow;
      Lines = 0;
      if (Dropped > 0 && write("event=log_lines_dropped node=" + NodeName +
                               " count=" + std::to_string(Dropped)))
        Dropped = 0;
    }
    if (++Lines > MaxLinesPerWindow || !write(Line))
      ++Dropped;
  }

private:
  static bool write(const std::string &Line) {
    pollfd output{STDOUT_FILENO, POLLOUT, 0};
    if (::poll(&output, 1, 0) != 1 || (output.revents & POLLOUT) == 0)
      return false;
    std::string text = Line;
    // A pipe that is writable takes this many bytes without blocking.
    if (text.size() >= PIPE_BUF)
      text.resize(PIPE_BUF - 1);
    text += '\n';
    return ::write(STDOUT_FILENO, text.data(), text.size()) ==
           static_cast<ssize_t>(text.size());
  }

  TimePoint WindowEnd;
  uint64_t Lines = 0;
  uint64_t Dropped = 0;
};

trivial::severity_level severityOf(LogLevel Level) {
  switch (Level) {
  case LogLevel::Debug:
    return trivial::debug;
  case LogLevel::Info:
    return trivial::info;
  case LogLevel::Warning:
    return trivial::warning;
  case LogLevel::Error:
    return trivial::error;
  }
  return trivial::error;
}

void appendValue(std::string &Line, std::string_view Value) {
  if (!Value.empty() &&
      Value.find_first_of(" =\"\n\r\t\\") == std::string_view::npos) {
    Line += Value;
    return;
  }
  Line += '"';
  for (char it : Value) {
    if (it == '"' || it == '\\')
      Line += '\\';
    Line += static_cast<unsigned char>(it) < ' ' ? ' ' : it;
  }
  Line += '"';
}

} // namespace

void startLogging(LogLevel MinLevel, const std::string &Node) {
  NodeName = Node;
  namespace expressions = boost::log::expressions;
  auto sink = boost::make_shared<sinks::synchronous_sink<OutputBackend>>(
      boost::make_shared<OutputBackend>());
  sink->set_formatter(expressions::stream << expressions::smessage);
  boost::log::core::get()->remove_all_sinks();
  boost::log::core::get()->add_sink(sink);
  boost::log::core::get()->set_filter(trivial::severity >=
                                      severityOf(MinLevel));
}

void logEvent(LogLevel Level, std::string_view Event,
              std::initializer_list<LogField> Fields) {
  auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  auto n = std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch);
  std::string line = "time_ms=" + std::to_string(n.count()) + " level=";
  line += trivial::to_string(severityOf(Level));
  line += " node=";
  appendValue(line, NodeName);
  line += " event=";
  line += Event;
  for (const LogField &it : Fields) {
    line += ' ';
    line += it.Key;
    line += '=';
    appendValue(line, it.Value);
  }
  BOOST_LOG_SEV(trivial::logger::get(), severityOf(Level)) << line;
}

} // namespace sassafras
