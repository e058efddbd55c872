/// \file
/// Selects the engine that a front asks to load a model while there is no
/// leader.
///
/// Load pattern: all hosts lose power at once. Engines restart empty, and
/// callers return a second before a leader is elected that plans loads. Fronts
/// with the same view select the same engine for a model, so that it is rarely
/// loaded twice. They select only engines with enough free memory, so that no
/// model in use is evicted.
#ifndef SASSAFRAS_POLICY_LEADERLESS_LOAD_H
#define SASSAFRAS_POLICY_LEADERLESS_LOAD_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sassafras {

/// An engine that has the model's weights in host memory or on disk and accepts
/// an order.
struct FreeEngine {
  std::string Address;
  uint64_t FreeMb = 0;
  /// The weights are in host memory, not only on disk.
  bool IsInMemory = false;
};

/// Returns the index of the engine to ask for \p Model, or nothing when it fits
/// into none. Prefers weights in memory, then uses rendezvous hashing. Pure and
/// thread safe.
std::optional<size_t> chooseFreeEngine(const std::string &Model,
                                       uint64_t NeededMb,
                                       const std::vector<FreeEngine> &Engines);

} // namespace sassafras

#endif
