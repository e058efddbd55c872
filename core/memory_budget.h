/// \file
/// Bound on the bytes that all requests and responses of a process occupy.
#ifndef SASSAFRAS_CORE_MEMORY_BUDGET_H
#define SASSAFRAS_CORE_MEMORY_BUDGET_H

#include <atomic>
#include <cstdint>
#include <memory>

namespace sassafras {

/// Counts the bytes of all charges. Thread safe.
class MemoryBudget {
public:
  explicit MemoryBudget(uint64_t LimitBytes) : Limit(LimitBytes) {}
  MemoryBudget(const MemoryBudget &) = delete;
  MemoryBudget &operator=(const MemoryBudget &) = delete;

  uint64_t limit() const { return Limit; }
  uint64_t used() const { return Used; }
  uint64_t available() const;
  /// True once over half of the limit is used. Whatever can wait should be read
  /// more slowly then.
  bool isScarce() const { return Used > Limit / 2; }

private:
  friend class MemoryCharge;

  const uint64_t Limit;
  std::atomic<uint64_t> Used{0};
};

using MemoryBudgetPtr = std::shared_ptr<MemoryBudget>;

/// The bytes of one owner, returned to the budget when it is destroyed. Not
/// thread safe.
class MemoryCharge {
public:
  explicit MemoryCharge(MemoryBudgetPtr Budget) : Budget(std::move(Budget)) {}
  ~MemoryCharge() { set(0); }
  MemoryCharge(const MemoryCharge &) = delete;
  MemoryCharge &operator=(const MemoryCharge &) = delete;

  /// Changes the charge to \p Bytes. Returns false, and changes nothing, when
  /// it would grow beyond the budget's limit.
  bool tryResize(uint64_t Bytes);
  /// The same without a limit, for bytes that have to be kept.
  void set(uint64_t Bytes);
  uint64_t bytes() const { return Bytes; }
  const MemoryBudget &budget() const { return *Budget; }

private:
  MemoryBudgetPtr Budget;
  uint64_t Bytes = 0;
};

} // namespace sassafras

#endif
