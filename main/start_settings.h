/// \file
/// Reading of the settings at the start of a process, when the file may still
/// be missing or half written.
#ifndef SASSAFRAS_MAIN_START_SETTINGS_H
#define SASSAFRAS_MAIN_START_SETTINGS_H

#include "main/settings_file.h"

#include <functional>
#include <optional>
#include <string>

namespace sassafras {

struct StartSettings {
  Settings Values;
  std::string Text; ///< Content of the file that they were read from.
};

/// Reads the settings at the path \p File once its content is at rest. A file
/// that is missing or blank is awaited for a limited time; invalid content that
/// stays as it is is an error. Returns nothing on an error, with \p Problem
/// set, and once \p IsStopped returns true, with an empty reason. Blocks.
/// Thread safe if \p IsStopped is.
std::optional<StartSettings>
awaitSettings(const std::string &File, const std::function<bool()> &IsStopped,
              SettingsProblem &Problem);

} // namespace sassafras

#endif
