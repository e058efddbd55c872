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
    "usage: soak [--seeds N] [--seed SEED] [--seconds S] [--fronts N]\n"
    "            [--callers N] [--planned]\n"
    "  --seeds N     number of random seeds to run in sequence (1)\n"
    "  --seed SEED   run this seed only and print its faults\n"
    "  --seconds S   duration of the faults of each run (12)\n"
    "  --fronts N    number of fronts (4)\n"
    "  --callers N   number of callers that keep connections (10)\n"
    "  --planned     planned work and killed engine processes only\n"
    "exit codes: 0 no invariant violated, 1 some violated, 2 usage\n";

bool runSeed(const SoakOptions &Options, bool PrintsFaults) {
  SoakReport report = runSoak(Options);
  std::cout << "seed " << Options.Seed << ": " << report.Requests
            << " requests, " << report.Succeeded << " succeeded, "
            << report.Refused << " refused, " << report.FaultCount
            << " faults, " << report.TablesAcknowledged
            << " tables acknowledged, " << report.Violations.size()
            << " violations, folder " << report.Folder << "; kept:";
  for (const auto &[name, n] : report.Ends)
    std::cout << " " << name << " " << n;
  std::cout << std::endl;
  for (const std::string &it : report.Violations)
    std::cout << "  violation: " << it << '\n';
  if (PrintsFaults || !report.Violations.empty())
    for (const std::string &it : report.FaultLog)
      std::cout << "  " << it << '\n';
  return report.Violations.empty();
}

int run(int ArgumentCount, char **Arguments) {
  const option flags[] = {{"seeds", required_argument, nullptr, 'n'},
                          {"seed", required_argument, nullptr, 's'},
                          {"seconds", required_argument, nullptr, 't'},
                          {"fronts", required_argument, nullptr, 'f'},
                          {"callers", required_argument, nullptr, 'c'},
                          {"planned", no_argument, nullptr, 'p'},
                          {nullptr, 0, nullptr, 0}};
  uint64_t seeds = 1;
  SoakOptions options;
  options.Seed = 0;
  int code = 0;
  while ((code = getopt_long(ArgumentCount, Arguments, "n:s:t:f:c:p", flags,
                             nullptr)) != -1) {
    if (code == 'n')
      seeds = std::strtoull(optarg, nullptr, 10);
    else if (code == 's')
      options.Seed = std::strtoull(optarg, nullptr, 10);
    else if (code == 't')
      options.Duration =
          std::chrono::seconds(std::strtoull(optarg, nullptr, 10));
    else if (code == 'f')
      options.Fronts = std::atoi(optarg);
    else if (code == 'c')
      options.Callers = std::atoi(optarg);
    else if (code == 'p')
      options.HasFaults = false;
    else {
      std::cerr << Usage;
      return 2;
    }
  }
  if (options.Seed != 0)
    return runSeed(options, true) ? 0 : 1;
  std::random_device source;
  bool isPassed = true;
  for (uint64_t i = 0; i < seeds; ++i) {
    options.Seed = source();
    isPassed = runSeed(options, false) && isPassed;
  }
  return isPassed ? 0 : 1;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  // Unwinds the stack, so that the processes of the fleet are ended.
  try {
    return run(ArgumentCount, Arguments);
  } catch (const std::exception &error) {
    std::cerr << "soak: " << error.what() << '\n';
    return 1;
  }
}
