/// \file
/// Reads settings from TOML and checks every key.
#ifndef SASSAFRAS_MAIN_SETTINGS_FILE_H
#define SASSAFRAS_MAIN_SETTINGS_FILE_H

#include "core/settings.h"

#include <optional>
#include <string>

namespace sassafras {

/// What is wrong with a settings file and where.
struct SettingsProblem {
  std::string File;
  uint32_t Line = 0; ///< 0 when the whole file is meant.
  std::string Reason;
};

/// One line for an operator.
std::string describe(const SettingsProblem &Problem);

/// Reads \p File. Nothing, with the cause in \p Problem, when any key is
/// unknown, missing, of a wrong type or impossible. Thread safe.
std::optional<Settings> readSettings(const std::string &File,
                                     SettingsProblem &Problem);

} // namespace sassafras

#endif
