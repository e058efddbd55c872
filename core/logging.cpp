#include "core/logging.h"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/trivial.hpp>
#include <boost/log/utility/setup/console.hpp>

#include <chrono>
#include <iostream>

namespace sassafras {

namespace {

namespace trivial = boost::log::trivial;

std::string NodeName;

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

void startLogging(LogLevel Least, const std::string &Node) {
  NodeName = Node;
  namespace expressions = boost::log::expressions;
  boost::log::add_console_log(std::clog,
                              boost::log::keywords::format =
                                  expressions::stream << expressions::smessage,
                              boost::log::keywords::auto_flush = true);
  boost::log::core::get()->set_filter(trivial::severity >= severityOf(Least));
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
