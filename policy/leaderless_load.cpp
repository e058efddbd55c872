#include "policy/leaderless_load.h"

#include "core/hash.h"

#include <utility>

namespace sassafras {

std::optional<size_t> chooseFreeEngine(const std::string &Model,
                                       uint64_t NeededMb,
                                       const std::vector<FreeEngine> &Engines) {
  std::optional<size_t> best;
  std::pair<bool, uint64_t> bestRank;
  for (size_t i = 0; i < Engines.size(); ++i) {
    const FreeEngine &it = Engines[i];
    if (it.FreeMb < NeededMb)
      continue;
    std::pair<bool, uint64_t> rank{it.IsInMemory,
                                   checksumOf(Model + '@' + it.Address)};
    if (best && rank <= bestRank)
      continue;
    best = i;
    bestRank = rank;
  }
  return best;
}

} // namespace sassafras
