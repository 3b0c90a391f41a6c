/** @file settings_section_internal.h Typed and validated access to a section of a settings file. */
#pragma once

#include "settings/settings_type.h"

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace teaselreach::settings::detail {

/** Inclusive bounds of an integer setting. */
struct Range
{
    std::int64_t min = 0;
    std::int64_t max = 0;
};

/**
 * Reads the values of a YAML mapping and notes the keys that were read; rejectUnknownKeys() reports
 * the others.
 */
class Section
{
public:
    /**
     * @param file Name used in error messages.
     * @param name Name of the section, empty for the whole file.
     * @param node The mapping; may be undefined if the section was left out.
     * @param line Line reported if the section is missing.
     */
    Section(std::string file, std::string name, const YAML::Node &node, int line);

    /** @return The subsection with this name; empty if left out. */
    Section readSection(const std::string &key);
    /** @return A required, non-empty string. */
    std::string readString(const std::string &key);
    /** @return An optional string, or the fallback. */
    std::string readStringOr(const std::string &key, const std::string &fallback);
    /** @return A required integer within the range. */
    std::int64_t readInteger(const std::string &key, Range range);
    /** @return An optional integer within the range, or the fallback. */
    std::int64_t readIntegerOr(const std::string &key, Range range, std::int64_t fallback);
    /** @return An optional number from min to max, with or without a fraction, or the fallback. */
    double readNumberOr(const std::string &key, double min, double max, double fallback);
    /** @return A required IPv4 address. */
    std::string readAddress(const std::string &key);
    /** @return A required ADDRESS:PORT. */
    ServiceEndpoint readEndpoint(const std::string &key);
    /** @return A required, non-empty list of ADDRESS:PORT. */
    std::vector<ServiceEndpoint> readEndpoints(const std::string &key);

    /** @throws SettingsError if the section contains a key that was not read or a duplicate key. */
    void rejectUnknownKeys() const;
    /** @throws SettingsError always, at the line of the key. */
    [[noreturn]] void fail(const std::string &key, const std::string &problem) const;

private:
    YAML::Node child(const std::string &key);
    YAML::Node requiredChild(const std::string &key);
    std::string scalarValue(const std::string &key, const YAML::Node &node) const;
    std::int64_t parseIntegerInRange(const std::string &key, const YAML::Node &node,
                                     Range range) const;
    ServiceEndpoint parseEndpoint(const std::string &key, const YAML::Node &node) const;
    std::string suggestion(const std::string &unknownKey) const;
    std::string keyPath(const std::string &key) const;

    std::string file_;
    std::string name_;
    YAML::Node node_;
    int line_ = 0;
    std::vector<std::string> knownKeys_;
};

} // namespace teaselreach::settings::detail
