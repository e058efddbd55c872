#include "http/head_writer.h"

#include <algorithm>
// Boost's header below uses it without including it.
#include <ostream>

#include <boost/beast/http/status.hpp>

namespace sassafras {

namespace http = boost::beast::http;

HeadWriter HeadWriter::request(std::string_view Method,
                               std::string_view Target) {
  std::string line(Method);
  line += ' ';
  line += Target;
  line += " HTTP/1.1\r\n";
  return HeadWriter(std::move(line));
}

HeadWriter HeadWriter::response(unsigned Status, bool IsHttp10) {
  std::string line = IsHttp10 ? "HTTP/1.0 " : "HTTP/1.1 ";
  line += std::to_string(Status);
  line += ' ';
  line += http::obsolete_reason(http::int_to_status(Status));
  line += "\r\n";
  return HeadWriter(std::move(line));
}

void HeadWriter::add(std::string_view Name, std::string_view Value) {
  Text += Name;
  Text += ": ";
  size_t start = Text.size();
  Text += Value;
  std::replace_if(
      Text.begin() + static_cast<std::ptrdiff_t>(start), Text.end(),
      [](char C) { return (C >= 0 && C < ' ' && C != '\t') || C == '\x7f'; },
      ' ');
  Text += "\r\n";
}

void HeadWriter::addLength(uint64_t Bytes) {
  add("Content-Length", std::to_string(Bytes));
}

std::string HeadWriter::finish() && {
  Text += "\r\n";
  return std::move(Text);
}

} // namespace sassafras
