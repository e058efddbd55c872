/// \file
/// Benchmark of the placement and quota policies for two deployments. Prints
/// cold start times, idle accelerator time, fairness and refusals within the
/// rate for the policy and simpler ones, as median and range over seeds.
#include "bench/site.h"

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <thread>
#include <vector>

using namespace sassafras;

namespace {

const SimulationPolicy Policies[] = {
    {"ours", false, false, false},
    {"fixed idle 10 min", true, false, false},
    {"cache-blind", false, true, false},
    {"local buckets", false, false, true},
    {"all simple", true, true, true},
};

SimulationOptions bloomlineOptions() { return {"bloomline", 120, 2, 5}; }
SimulationOptions fixItOptions() { return {"fixit", 90, 12, 10}; }

double percentile(std::vector<double> Values, double Fraction) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  auto index =
      static_cast<size_t>(Fraction * static_cast<double>(Values.size()));
  return Values[std::min(index, Values.size() - 1)];
}

/// Prints median, minimum and maximum over the seeds.
void printSpread(const std::vector<double> &Values) {
  std::printf(" %8.2f [%.2f..%.2f]", percentile(Values, 0.5),
              percentile(Values, 0), percentile(Values, 1));
}

void printPolicy(const SimulationOptions &Simulation,
                 const std::vector<SimulationResult> &Results) {
  std::vector<double> columns[8];
  uint64_t checksum = 0;
  for (const SimulationResult &result : Results) {
    columns[0].push_back(percentile(result.ColdSeconds, 0.5));
    columns[1].push_back(percentile(result.ColdSeconds, 0.95));
    columns[2].push_back(percentile(result.ColdSeconds, 0.99));
    columns[3].push_back(result.IdleHours);
    columns[4].push_back(result.WorstShare * 100);
    columns[5].push_back(result.WorstP95);
    columns[6].push_back(static_cast<double>(result.WithinRateRefusals));
    columns[7].push_back(static_cast<double>(result.Served) * 100 /
                         static_cast<double>(result.Requests));
    checksum = checksum * 31 + result.Checksum;
  }
  std::printf("%-10s %-18s", Simulation.Deployment, Simulation.Policy.Name);
  for (const auto &it : columns)
    printSpread(it);
  std::printf("  %016llx\n", static_cast<unsigned long long>(checksum));
}

/// Runs all simulations, as many in parallel as there are processors.
std::vector<SimulationResult>
runSimulations(const std::vector<SimulationOptions> &Simulations) {
  std::vector<SimulationResult> results(Simulations.size());
  std::atomic<size_t> next{0};
  std::vector<std::thread> workers;
  unsigned count = std::max(1U, std::thread::hardware_concurrency());
  workers.reserve(count);
  for (unsigned i = 0; i < count; ++i)
    workers.emplace_back([&] {
      for (size_t n = next++; n < Simulations.size(); n = next++)
        results[n] = runSimulation(Simulations[n]);
    });
  for (std::thread &it : workers)
    it.join();
  return results;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  int seeds = ArgumentCount > 1 ? std::atoi(Arguments[1]) : 5;
  int length = ArgumentCount > 2 ? std::atoi(Arguments[2]) : 600;
  std::vector<SimulationOptions> simulations;
  for (SimulationOptions options : {bloomlineOptions(), fixItOptions()})
    for (const SimulationPolicy &policy : Policies)
      for (int seed = 1; seed <= seeds; ++seed) {
        options.Length = std::chrono::seconds(length);
        options.Policy = policy;
        options.Seed = static_cast<uint64_t>(seed);
        simulations.push_back(options);
      }
  std::printf("median [min..max] over %d seeds, %d s of arrivals each\n"
              "deployment policy: cold start p50 s, p95 s, p99 s, idle "
              "accelerator hours, worst organisation's share %%, its p95 s, "
              "refusals within rate, served %%, decisions\n",
              seeds, length);
  std::vector<SimulationResult> results = runSimulations(simulations);
  for (size_t i = 0; i < simulations.size(); i += static_cast<size_t>(seeds))
    printPolicy(simulations[i],
                {results.begin() + static_cast<int64_t>(i),
                 results.begin() + static_cast<int64_t>(i) + seeds});
}
