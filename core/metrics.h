/// \file
/// Counters, gauges and histograms of one process in the Prometheus text
/// format.
#ifndef SASSAFRAS_CORE_METRICS_H
#define SASSAFRAS_CORE_METRICS_H

#include "core/time.h"

#include <map>
#include <memory>
#include <string>

namespace sassafras {

/// Metrics registry of one process. All methods are thread safe.
class Metrics {
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics &) = delete;
  Metrics &operator=(const Metrics &) = delete;

  /// Adds \p Amount to counter \p Name; \p Labels is `a="b",c="d"` or empty.
  void count(const std::string &Name, const std::string &Labels = {},
             uint64_t Amount = 1);
  /// Sets gauge \p Name to \p Value.
  void set(const std::string &Name, const std::string &Labels, double Value);
  /// Records \p Duration in the histogram \p Name, in seconds.
  void observe(const std::string &Name, Clock::duration Duration,
               const std::string &Labels = {});
  /// Value of a counter; 0 when it does not exist.
  uint64_t read(const std::string &Name, const std::string &Labels = {}) const;
  /// Counters whose name begins with \p Prefix, by name with labels.
  std::map<std::string, uint64_t> list(const std::string &Prefix) const;
  /// Text exposition of all metrics.
  std::string print() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Data;
};

} // namespace sassafras

#endif
