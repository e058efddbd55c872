/// \file
/// Tests of logging to a pipe whose reader has stopped.
#include "core/logging.h"
#include "core/time.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

using namespace sassafras;

// A line over PIPE_BUF blocked the process for as long as nobody read.
TEST_CASE("long log line does not block") {
  int ends[2];
  REQUIRE(::pipe(ends) == 0);
  pid_t pid = ::fork();
  REQUIRE(pid >= 0);
  if (pid == 0) {
    ::dup2(ends[1], STDOUT_FILENO);
    startLogging(LogLevel::Info, "node");
    for (int i = 0; i < 50; ++i)
      logEvent(LogLevel::Info, "long", {{"value", std::string(10'000, 'x')}});
    ::_exit(0);
  }
  int status = 0;
  bool hasEnded = false;
  for (int i = 0; i < 250 && !hasEnded; ++i) {
    hasEnded = ::waitpid(pid, &status, WNOHANG) == pid;
    std::this_thread::sleep_for(Millis(20));
  }
  CHECK(hasEnded);
  if (!hasEnded) {
    ::kill(pid, SIGKILL);
    ::waitpid(pid, &status, 0);
  }
  ::close(ends[0]);
  ::close(ends[1]);
}
