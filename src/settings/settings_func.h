/** @file settings_func.h Reads and validates the daemon's settings. */
#pragma once

#include "settings/settings_type.h"

#include <string>

namespace teaselreach::settings {

/**
 * Reads and validates a settings file.
 * @param path The YAML file.
 * @return The settings; every value is within its range.
 * @throws SettingsError if the file cannot be read or any value is wrong.
 */
Settings loadSettings(const std::string &path);

/**
 * Reads and validates settings from text.
 * @param text YAML text.
 * @param file Name used in error messages.
 * @return The settings; every value is within its range.
 * @throws SettingsError if any value is wrong.
 */
Settings parseSettings(const std::string &text, const std::string &file);

} // namespace teaselreach::settings
