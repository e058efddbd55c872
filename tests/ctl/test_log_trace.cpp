/// \file
/// Tests of the search for the log lines that are related to one request.
#include "ctl/log_trace.h"

#include <catch2/catch.hpp>

#include <sstream>

using namespace sassafras;

TEST_CASE("log line is parsed with quoted values and without its prefix") {
  auto line = readLogLine("host-3 | time_ms=1700000000123 level=info node=a "
                          "event=x reason=\"a \\\"b\\\" c=d\" id=7 empty=");
  REQUIRE(line);
  CHECK(line->TimeMs == 1'700'000'000'123);
  CHECK(line->Text.starts_with("time_ms="));
  CHECK(line->Fields.at("reason") == "a \"b\" c=d");
  CHECK(line->Fields.at("id") == "7");
  CHECK(line->Fields.at("empty").empty());
}

TEST_CASE("lines that are not valid log lines are rejected") {
  for (const char *it : {"", "hello", "time_ms=x event=y", "time_ms=1 level=z",
                         "time_ms= event=x", "time_ms=\"1"}) {
    INFO(it);
    CHECK_FALSE(readLogLine(it));
  }
}

TEST_CASE("trace joins a request with its model's load, its engine and leader "
          "changes, in order of time") {
  std::istringstream in(
      "time_ms=9000 event=request_done id=r1 model=m/a endpoint=e1 "
      "address=10.0.0.1:7 total_ms=4000\n"
      "time_ms=5100 event=load_planned model=m order=41 endpoint=e1\n"
      "time_ms=5050 event=load_planned model=other order=40 endpoint=e1\n"
      "time_ms=5200 event=order_received order=41\n"
      "time_ms=5200 event=order_received order=40\n"
      "time_ms=8000 event=order_done order=41\n"
      "time_ms=8500 event=engine_lost engine=10.0.0.1:7\n"
      "time_ms=8500 event=engine_lost engine=10.0.0.2:7\n"
      "time_ms=5000 event=group_view is_leader=yes\n"
      "time_ms=99000 event=group_view is_leader=no\n"
      "time_ms=6000 event=request_done id=r2 model=m endpoint=e1\n"
      "nonsense\n");
  std::vector<LogLine> lines;
  readLog(in, lines);
  CHECK(lines.size() == 11);
  std::vector<uint64_t> times;
  for (const LogLine &it : traceRequest(lines, "r1"))
    times.push_back(it.TimeMs);
  CHECK(times == std::vector<uint64_t>{5000, 5100, 5200, 8000, 8500, 9000});
  CHECK(traceRequest(lines, "r3").empty());
}

TEST_CASE("trace has what the endpoint stated and the tries that resume") {
  std::istringstream in(
      "time_ms=9000 event=request_done id=r1 model=m endpoint=e1 total_ms=500\n"
      "time_ms=8000 event=endpoint_limit endpoint=e1 requests_per_s=2.0\n"
      "time_ms=8100 event=endpoint_limit endpoint=e2 requests_per_s=2.0\n"
      "time_ms=8200 event=endpoint_asked_for_pause endpoint=e1 for_ms=900\n"
      "time_ms=8300 event=endpoint_leaving endpoint=e1\n"
      "time_ms=9500 event=request_done id=r2 resumed=r1 endpoint=e3\n");
  std::vector<LogLine> lines;
  readLog(in, lines);
  std::vector<uint64_t> times;
  for (const LogLine &it : traceRequest(lines, "r1"))
    times.push_back(it.TimeMs);
  CHECK(times == std::vector<uint64_t>{8000, 8200, 8300, 9000, 9500});
}
