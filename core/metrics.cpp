#include "core/metrics.h"

#include <boost/histogram.hpp>

#include <map>
#include <mutex>
#include <sstream>

namespace sassafras {

namespace bh = boost::histogram;

namespace {

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;

/// Range of the histogram buckets, in seconds.
constexpr double MinSeconds = 0.001;
constexpr double MaxSeconds = 300.0;
constexpr unsigned BucketCount = 24;

struct Distribution {
  decltype(bh::make_histogram(LogAxis())) Buckets = bh::make_histogram(
      LogAxis(BucketCount, MinSeconds, MaxSeconds, "seconds"));
  double Sum = 0;
  uint64_t Count = 0;
};

void printDistribution(std::ostream &Out, const std::string &Name,
                       const std::string &Labels, const Distribution &Values) {
  std::string labelPrefix = Labels.empty() ? "" : Labels + ",";
  std::string labelSet = Labels.empty() ? "" : "{" + Labels + "}";
  double cumulative = Values.Buckets.at(-1);
  for (int i = 0; i < static_cast<int>(BucketCount); ++i) {
    cumulative += Values.Buckets.at(i);
    Out << Name << "_bucket{" << labelPrefix << "le=\""
        << Values.Buckets.axis().bin(i).upper() << "\"} " << cumulative << '\n';
  }
  Out << Name << "_bucket{" << labelPrefix << "le=\"+Inf\"} " << Values.Count
      << '\n';
  Out << Name << "_sum" << labelSet << ' ' << Values.Sum << '\n';
  Out << Name << "_count" << labelSet << ' ' << Values.Count << '\n';
}

} // namespace

struct Metrics::Impl {
  mutable std::mutex Lock;
  std::map<std::string, uint64_t> Counters;
  std::map<std::string, double> Gauges;
  /// Keyed by name and labels.
  std::map<std::pair<std::string, std::string>, Distribution> Distributions;
};

Metrics::Metrics() : Data(std::make_unique<Impl>()) {}
Metrics::~Metrics() = default;

static std::string keyOf(const std::string &Name, const std::string &Labels) {
  return Labels.empty() ? Name : Name + "{" + Labels + "}";
}

void Metrics::count(const std::string &Name, const std::string &Labels,
                    uint64_t Amount) {
  std::lock_guard guard(Data->Lock);
  Data->Counters[keyOf(Name, Labels)] += Amount;
}

void Metrics::set(const std::string &Name, const std::string &Labels,
                  double Value) {
  std::lock_guard guard(Data->Lock);
  Data->Gauges[keyOf(Name, Labels)] = Value;
}

void Metrics::observe(const std::string &Name, Clock::duration Duration,
                      const std::string &Labels) {
  double seconds = std::chrono::duration<double>(Duration).count();
  std::lock_guard guard(Data->Lock);
  Distribution &values = Data->Distributions[{Name, Labels}];
  values.Buckets(seconds);
  values.Sum += seconds;
  ++values.Count;
}

uint64_t Metrics::read(const std::string &Name,
                       const std::string &Labels) const {
  std::lock_guard guard(Data->Lock);
  auto it = Data->Counters.find(keyOf(Name, Labels));
  return it == Data->Counters.end() ? 0 : it->second;
}

std::map<std::string, uint64_t> Metrics::list(const std::string &Prefix) const {
  std::map<std::string, uint64_t> out;
  std::lock_guard guard(Data->Lock);
  for (auto it = Data->Counters.lower_bound(Prefix);
       it != Data->Counters.end() && it->first.starts_with(Prefix); ++it)
    out.insert(*it);
  return out;
}

std::string Metrics::print() const {
  std::ostringstream out;
  std::lock_guard guard(Data->Lock);
  for (const auto &[name, n] : Data->Counters)
    out << name << ' ' << n << '\n';
  for (const auto &[name, value] : Data->Gauges)
    out << name << ' ' << value << '\n';
  std::string last;
  for (const auto &[key, values] : Data->Distributions) {
    const auto &[name, labels] = key;
    if (name != last)
      out << "# TYPE " << name << " histogram\n";
    last = name;
    printDistribution(out, name, labels, values);
  }
  return out.str();
}

} // namespace sassafras
