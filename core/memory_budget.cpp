#include "core/memory_budget.h"

namespace sassafras {

uint64_t MemoryBudget::available() const {
  uint64_t used = Used;
  return used < Limit ? Limit - used : 0;
}

bool MemoryCharge::tryResize(uint64_t NewBytes) {
  if (NewBytes > Bytes && NewBytes - Bytes > Budget->available())
    return false;
  set(NewBytes);
  return true;
}

void MemoryCharge::set(uint64_t NewBytes) {
  // Wraps around in unsigned arithmetic when the charge shrinks.
  Budget->Used += NewBytes - Bytes;
  Bytes = NewBytes;
}

} // namespace sassafras
