/// \file
/// Which engine a front asks to load a model while nobody leads.
///
/// Load pattern: everything loses power at once. Engines come back empty, and
/// callers are back a second before there is a leader that plans loads. Fronts
/// that know the same ask the same engine for the same model, so that it is
/// hardly ever loaded twice, and only engines with free memory, so that nothing
/// gives way that others use.
#ifndef SASSAFRAS_POLICY_LEADERLESS_LOAD_H
#define SASSAFRAS_POLICY_LEADERLESS_LOAD_H

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace sassafras {

/// One engine that has the model's weights near and may be given an order.
struct FreeEngine {
  std::string Address;
  uint64_t FreeMb = 0;
  bool IsInMemory = false; ///< Not only on disk.
};

/// Position of the engine to ask for \p Model, or nothing when it fits into
/// none. Pure and thread safe.
std::optional<size_t> chooseFreeEngine(const std::string &Model,
                                       uint64_t NeededMb,
                                       const std::vector<FreeEngine> &Engines);

} // namespace sassafras

#endif
