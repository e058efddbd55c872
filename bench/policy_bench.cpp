/// \file
/// Prints the four measures of the brief for both deployments: the policy
/// beside simple ones, median and spread over seeds.
#include "bench/site.h"

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <thread>
#include <vector>

using namespace sassafras;

namespace {

const SitePolicy Policies[] = {
    {"ours", false, false, false},
    {"fixed idle 10 min", true, false, false},
    {"cache-blind", false, true, false},
    {"local buckets", false, false, true},
    {"all simple", true, true, true},
};

SiteOptions bloomlineSite() { return {"bloomline", 120, 2, 5}; }
SiteOptions fixItSite() { return {"fixit", 90, 12, 10}; }

double share(std::vector<double> Values, double At) {
  if (Values.empty())
    return 0;
  std::sort(Values.begin(), Values.end());
  auto index = static_cast<size_t>(At * static_cast<double>(Values.size()));
  return Values[std::min(index, Values.size() - 1)];
}

/// Median, least and most over the seeds.
void printSpread(const std::vector<double> &Values) {
  std::printf(" %8.2f [%.2f..%.2f]", share(Values, 0.5), share(Values, 0),
              share(Values, 1));
}

void printPolicy(const SiteOptions &Site,
                 const std::vector<SiteResult> &Results) {
  std::vector<double> columns[8];
  uint64_t checksum = 0;
  for (const SiteResult &result : Results) {
    columns[0].push_back(share(result.ColdSeconds, 0.5));
    columns[1].push_back(share(result.ColdSeconds, 0.95));
    columns[2].push_back(share(result.ColdSeconds, 0.99));
    columns[3].push_back(result.IdleHours);
    columns[4].push_back(result.WorstShare * 100);
    columns[5].push_back(result.WorstP95);
    columns[6].push_back(static_cast<double>(result.WithinRateRefusals));
    columns[7].push_back(static_cast<double>(result.Served) * 100 /
                         static_cast<double>(result.Requests));
    checksum = checksum * 31 + result.Checksum;
  }
  std::printf("%-10s %-18s", Site.Deployment, Site.Policy.Name);
  for (const auto &it : columns)
    printSpread(it);
  std::printf("  %016llx\n", static_cast<unsigned long long>(checksum));
}

/// Runs all sites, as many at once as there are processors.
std::vector<SiteResult> runAll(const std::vector<SiteOptions> &Sites) {
  std::vector<SiteResult> results(Sites.size());
  std::atomic<size_t> next{0};
  std::vector<std::thread> workers;
  unsigned count = std::max(1U, std::thread::hardware_concurrency());
  workers.reserve(count);
  for (unsigned i = 0; i < count; ++i)
    workers.emplace_back([&] {
      for (size_t n = next++; n < Sites.size(); n = next++)
        results[n] = runSite(Sites[n]);
    });
  for (std::thread &it : workers)
    it.join();
  return results;
}

} // namespace

int main(int Count, char **Words) {
  int seeds = Count > 1 ? std::atoi(Words[1]) : 5;
  int length = Count > 2 ? std::atoi(Words[2]) : 600;
  std::vector<SiteOptions> sites;
  for (SiteOptions site : {bloomlineSite(), fixItSite()})
    for (const SitePolicy &policy : Policies)
      for (int seed = 1; seed <= seeds; ++seed) {
        site.Length = std::chrono::seconds(length);
        site.Policy = policy;
        site.Seed = static_cast<uint64_t>(seed);
        sites.push_back(site);
      }
  std::printf("median [least..most] over %d seeds, %d s of arrivals each\n"
              "deployment policy: cold start p50 s, p95 s, p99 s, idle "
              "accelerator hours, worst organisation's share %%, its p95 s, "
              "refusals within rate, served %%, decisions\n",
              seeds, length);
  std::vector<SiteResult> results = runAll(sites);
  for (size_t i = 0; i < sites.size(); i += static_cast<size_t>(seeds))
    printPolicy(sites[i], {results.begin() + static_cast<int64_t>(i),
                           results.begin() + static_cast<int64_t>(i) + seeds});
}
