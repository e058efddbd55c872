/// \file
/// Runs the soak by hand: seeds in a row, or one again.
#include "tests/soak/soak_run.h"

#include <cstdlib>
#include <getopt.h>
#include <iostream>
#include <random>

using namespace sassafras;

namespace {

constexpr const char *Usage =
    "usage: soak [--seeds N] [--seed SEED] [--seconds S]\n"
    "  --seeds N     so many fresh seeds in a row (1)\n"
    "  --seed SEED   this one, with the story of its faults\n"
    "  --seconds S   length of the faults of each run (12)\n"
    "exit codes: 0 all promises kept, 1 some broken, 2 usage\n";

bool runOne(uint64_t Seed, std::chrono::seconds Length, bool IsTold) {
  SoakReport report = runSoak(Seed, Length);
  std::cout << "seed " << Seed << ": " << report.Asked << " asked, "
            << report.Answered << " answered, " << report.Refused
            << " refused, " << report.Faults << " faults, "
            << report.TablesAcknowledged << " tables, " << report.Broken.size()
            << " broken" << std::endl;
  for (const std::string &it : report.Broken)
    std::cout << "  broken: " << it << '\n';
  if (IsTold || !report.Broken.empty())
    for (const std::string &it : report.Story)
      std::cout << "  " << it << '\n';
  return report.Broken.empty();
}

} // namespace

int main(int Count, char **Words) {
  const option options[] = {{"seeds", required_argument, nullptr, 'n'},
                            {"seed", required_argument, nullptr, 's'},
                            {"seconds", required_argument, nullptr, 't'},
                            {nullptr, 0, nullptr, 0}};
  uint64_t seeds = 1;
  uint64_t seed = 0;
  std::chrono::seconds length{12};
  int code = 0;
  while ((code = getopt_long(Count, Words, "n:s:t:", options, nullptr)) != -1) {
    if (code == 'n')
      seeds = std::strtoull(optarg, nullptr, 10);
    else if (code == 's')
      seed = std::strtoull(optarg, nullptr, 10);
    else if (code == 't')
      length = std::chrono::seconds(std::strtoull(optarg, nullptr, 10));
    else {
      std::cerr << Usage;
      return 2;
    }
  }
  if (seed != 0)
    return runOne(seed, length, true) ? 0 : 1;
  std::random_device source;
  bool isKept = true;
  for (uint64_t i = 0; i < seeds; ++i)
    isKept = runOne(source(), length, false) && isKept;
  return isKept ? 0 : 1;
}
