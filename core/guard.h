/// \file
/// Keeps an exception of one handler from ending the process. Input is checked
/// where it enters; this is for what such checks miss.
#ifndef SASSAFRAS_CORE_GUARD_H
#define SASSAFRAS_CORE_GUARD_H

#include <exception>
#include <string_view>

namespace sassafras {

class Metrics;

/// Logs and counts the failure of a handler. Thread safe.
void reportHandlerFailure(Metrics &Counts, std::string_view Handler,
                          std::string_view Reason);

/// Calls \p Act. Returns false when it throws; the caller then has to end what
/// the handler was working on. Thread safe if \p Act is.
template <class Function>
bool runGuarded(Metrics &Counts, std::string_view Handler, Function &&Act) {
  try {
    Act();
    return true;
  } catch (const std::exception &error) {
    reportHandlerFailure(Counts, Handler, error.what());
    return false;
  }
}

} // namespace sassafras

#endif
