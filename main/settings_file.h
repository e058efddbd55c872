/// \file
/// Reads a settings file in TOML and validates every key.
#ifndef SASSAFRAS_MAIN_SETTINGS_FILE_H
#define SASSAFRAS_MAIN_SETTINGS_FILE_H

#include "core/settings.h"

#include <optional>
#include <string>

namespace sassafras {

/// The first error found in a settings file.
struct SettingsProblem {
  std::string File;
  uint32_t Line = 0; ///< From 1; 0 when the error belongs to no line.
  std::string Reason;
};

/// Formats \p Problem as `FILE:LINE: REASON`, without the line number when it
/// is 0.
std::string describe(const SettingsProblem &Problem);

/// Reads the settings at the path \p File. Returns nothing and sets \p Problem
/// when the file cannot be read or parsed, or when a key is unknown, missing,
/// of the wrong type or out of range. \p Problem must be empty before the call.
/// Thread safe.
std::optional<Settings> readSettings(const std::string &File,
                                     SettingsProblem &Problem);
/// The same for the content \p Text of \p File, which is only named in
/// \p Problem. Thread safe.
std::optional<Settings> parseSettings(const std::string &Text,
                                      const std::string &File,
                                      SettingsProblem &Problem);
/// Content of \p File; nothing if it cannot be read. Thread safe.
std::optional<std::string> readTextFile(const std::string &File);

} // namespace sassafras

#endif
