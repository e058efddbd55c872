/// \file
/// Runs the soak test manually, with a sequence of random seeds or one given
/// seed.
#include "tests/soak/soak_run.h"

#include <cstdlib>
#include <getopt.h>
#include <iostream>
#include <random>

using namespace sassafras;

namespace {

constexpr const char *Usage =
    "usage: soak [--seeds N] [--seed SEED] [--seconds S]\n"
    "  --seeds N     number of random seeds to run in sequence (1)\n"
    "  --seed SEED   run this seed only and print its faults\n"
    "  --seconds S   duration of the faults of each run (12)\n"
    "exit codes: 0 no invariant violated, 1 some violated, 2 usage\n";

bool runSeed(uint64_t Seed, std::chrono::seconds Duration, bool PrintsFaults) {
  SoakReport report = runSoak(Seed, Duration);
  std::cout << "seed " << Seed << ": " << report.Requests << " requests, "
            << report.Succeeded << " succeeded, " << report.Refused
            << " refused, " << report.FaultCount << " faults, "
            << report.TablesAcknowledged << " tables acknowledged, "
            << report.Violations.size() << " violations" << std::endl;
  for (const std::string &it : report.Violations)
    std::cout << "  violation: " << it << '\n';
  if (PrintsFaults || !report.Violations.empty())
    for (const std::string &it : report.FaultLog)
      std::cout << "  " << it << '\n';
  return report.Violations.empty();
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  const option options[] = {{"seeds", required_argument, nullptr, 'n'},
                            {"seed", required_argument, nullptr, 's'},
                            {"seconds", required_argument, nullptr, 't'},
                            {nullptr, 0, nullptr, 0}};
  uint64_t seeds = 1;
  uint64_t seed = 0;
  std::chrono::seconds duration{12};
  int code = 0;
  while ((code = getopt_long(ArgumentCount, Arguments, "n:s:t:", options,
                             nullptr)) != -1) {
    if (code == 'n')
      seeds = std::strtoull(optarg, nullptr, 10);
    else if (code == 's')
      seed = std::strtoull(optarg, nullptr, 10);
    else if (code == 't')
      duration = std::chrono::seconds(std::strtoull(optarg, nullptr, 10));
    else {
      std::cerr << Usage;
      return 2;
    }
  }
  if (seed != 0)
    return runSeed(seed, duration, true) ? 0 : 1;
  std::random_device source;
  bool isPassed = true;
  for (uint64_t i = 0; i < seeds; ++i)
    isPassed = runSeed(source(), duration, false) && isPassed;
  return isPassed ? 0 : 1;
}
