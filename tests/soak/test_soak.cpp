/// \file
/// A short soak with fixed seeds, and each seed that ever failed.
#include "tests/soak/soak_run.h"

#include <catch2/catch.hpp>

using namespace sassafras;

namespace {

void checkSeed(uint64_t Seed, std::chrono::seconds Length) {
  SoakReport report = runSoak(Seed, Length);
  INFO("seed " << Seed << ", " << report.Faults << " faults");
  for (const std::string &it : report.Story)
    UNSCOPED_INFO(it);
  for (const std::string &it : report.Broken)
    UNSCOPED_INFO("broken: " << it);
  CHECK(report.Broken.empty());
  CHECK(report.Answered > 0);
}

} // namespace

TEST_CASE("promises hold under a short soak") {
  checkSeed(1, std::chrono::seconds(8));
}

TEST_CASE("soak keeps its promises on seeds that once failed") {
  // A front whose sends to a plain endpoint were cut took it for full for
  // good: a report of its load never ended, and sends counted beyond their end.
  for (uint64_t seed : {2, 3, 4})
    checkSeed(seed, std::chrono::seconds(8));
}
