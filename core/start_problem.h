/// \file
/// Reason why a process cannot start.
#ifndef SASSAFRAS_CORE_START_PROBLEM_H
#define SASSAFRAS_CORE_START_PROBLEM_H

#include <string>

namespace sassafras {

struct StartProblem {
  std::string Reason;
  /// A later attempt may succeed: another socket or process holds what this one
  /// needs, or the system reports an error that can pass.
  bool IsTemporary = false;
};

} // namespace sassafras

#endif
