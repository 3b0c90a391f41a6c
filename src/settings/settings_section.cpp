/** @file settings_section.cpp Typed and validated access to a section of a settings file. */
#include "settings/settings_section_internal.h"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <limits>
#include <numeric>
#include <sstream>

namespace teaselreach::settings::detail {

namespace {

constexpr std::size_t maxSuggestionDistance = 3;

int lineOf(const YAML::Node &node)
{
    return node.Mark().line + 1;
}

bool isIpv4(const std::string &text)
{
    in_addr parsed {};
    return inet_pton(AF_INET, text.c_str(), &parsed) == 1;
}

std::optional<std::int64_t> parseInteger(const std::string &text)
{
    std::int64_t value = 0;
    const char *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, value);
    if (error != std::errc() || stop != end)
        return std::nullopt;
    return value;
}

/** @return The key without a unit suffix. */
std::string withoutUnitSuffix(const std::string &key)
{
    for (const std::string unit : {"_ms", "_s", "_bytes"}) {
        if (key.ends_with(unit))
            return key.substr(0, key.size() - unit.size());
    }
    return key;
}

std::size_t editDistance(const std::string &a, const std::string &b)
{
    std::vector<std::size_t> row(b.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t {0});
    for (std::size_t i = 1; i <= a.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i;
        for (std::size_t j = 1; j <= b.size(); ++j) {
            const std::size_t replace = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({row[j] + 1, row[j - 1] + 1, replace});
        }
    }
    return row[b.size()];
}

} // namespace

Section::Section(std::string file, std::string name, const YAML::Node &node, int line)
    : file_(std::move(file))
    , name_(std::move(name))
    , line_(line)
{
    if (!node.IsDefined() || node.IsNull())
        return;
    if (!node.IsMap())
        throw SettingsError(file_, lineOf(node),
                            "'" + name_ + "' must be a mapping of 'key: value' lines");
    node_.reset(node);
    line_ = lineOf(node);
}

Section Section::readSection(const std::string &key)
{
    return Section(file_, key, child(key), line_);
}

std::string Section::readString(const std::string &key)
{
    std::string value = scalarValue(key, requiredChild(key));
    if (value.empty())
        fail(key, "must not be empty");
    return value;
}

std::string Section::readStringOr(const std::string &key, const std::string &fallback)
{
    const YAML::Node node = child(key);
    return node.IsDefined() ? scalarValue(key, node) : fallback;
}

std::int64_t Section::readInteger(const std::string &key, Range range)
{
    return parseIntegerInRange(key, requiredChild(key), range);
}

std::int64_t Section::readIntegerOr(const std::string &key, Range range, std::int64_t fallback)
{
    const YAML::Node node = child(key);
    return node.IsDefined() ? parseIntegerInRange(key, node, range) : fallback;
}

double Section::readNumberOr(const std::string &key, double min, double max, double fallback)
{
    const YAML::Node node = child(key);
    if (!node.IsDefined())
        return fallback;
    const std::string text = scalarValue(key, node);
    double value = 0;
    const char *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, value);
    // The comparison is written so that it is false for NaN.
    if (error == std::errc() && stop == end && value >= min && value <= max)
        return value;
    std::ostringstream bounds;
    bounds << "a number from " << min << " to " << max;
    fail(key, "'" + text + "' must be " + bounds.str() + " without a unit");
}

std::string Section::readAddress(const std::string &key)
{
    std::string value = readString(key);
    if (!isIpv4(value))
        fail(key, "'" + value + "' is not an IPv4 address such as 127.0.0.1");
    return value;
}

ServiceEndpoint Section::readEndpoint(const std::string &key)
{
    return parseEndpoint(key, requiredChild(key));
}

std::vector<ServiceEndpoint> Section::readEndpoints(const std::string &key)
{
    const YAML::Node list = requiredChild(key);
    if (!list.IsSequence() || list.size() == 0)
        fail(key, "must be a list of ADDRESS:PORT with at least one entry");
    std::vector<ServiceEndpoint> found;
    for (const YAML::Node &entry : list)
        found.push_back(parseEndpoint(key, entry));
    return found;
}

void Section::rejectUnknownKeys() const
{
    if (!node_.IsDefined() || !node_.IsMap())
        return;
    std::vector<std::string> seen;
    for (const auto &entry : node_) {
        const std::string key = entry.first.Scalar();
        const int line = lineOf(entry.first);
        if (std::find(seen.begin(), seen.end(), key) != seen.end())
            throw SettingsError(file_, line, "'" + keyPath(key) + "' is given more than once");
        seen.push_back(key);
        if (std::find(knownKeys_.begin(), knownKeys_.end(), key) == knownKeys_.end())
            throw SettingsError(file_, line,
                                "unknown key '" + keyPath(key) + "'; " + suggestion(key));
    }
}

void Section::fail(const std::string &key, const std::string &problem) const
{
    int line = line_;
    if (node_.IsDefined() && node_.IsMap()) {
        for (const auto &entry : node_) {
            if (entry.first.Scalar() == key)
                line = lineOf(entry.first);
        }
    }
    throw SettingsError(file_, line, "'" + keyPath(key) + "': " + problem);
}

YAML::Node Section::child(const std::string &key)
{
    knownKeys_.push_back(key);
    if (!node_.IsDefined() || !node_.IsMap())
        return YAML::Node(YAML::NodeType::Undefined);
    const YAML::Node &readOnly = node_;
    return readOnly[key];
}

YAML::Node Section::requiredChild(const std::string &key)
{
    const YAML::Node node = child(key);
    if (!node.IsDefined()) {
        // If a key that is present looks like a misspelling of this one, the error names it. The
        // keys that are read later are not known yet, so only close matches of this key count.
        if (node_.IsDefined() && node_.IsMap()) {
            for (const auto &entry : node_) {
                const std::string present = entry.first.Scalar();
                if (withoutUnitSuffix(present) == withoutUnitSuffix(key)
                    || editDistance(present, key) == 1)
                    throw SettingsError(file_, lineOf(entry.first),
                                        "unknown key '" + keyPath(present) + "'; did you mean '"
                                            + key + "'?");
            }
        }
        fail(key, "is missing and has no default");
    }
    return node;
}

std::string Section::scalarValue(const std::string &key, const YAML::Node &node) const
{
    if (!node.IsScalar())
        fail(key, "must be a scalar");
    return node.Scalar();
}

std::int64_t Section::parseIntegerInRange(const std::string &key, const YAML::Node &node,
                                          Range range) const
{
    const std::string value = scalarValue(key, node);
    const std::string bounds =
        "an integer from " + std::to_string(range.min) + " to " + std::to_string(range.max);
    const std::optional<std::int64_t> number = parseInteger(value);
    if (!number)
        fail(key, "'" + value + "' must be " + bounds + " without a unit");
    if (*number < range.min || *number > range.max)
        fail(key, value + " must be " + bounds);
    return *number;
}

ServiceEndpoint Section::parseEndpoint(const std::string &key, const YAML::Node &node) const
{
    const std::string value = scalarValue(key, node);
    const std::size_t colon = value.find(':');
    const std::string host = value.substr(0, colon);
    const std::optional<std::int64_t> port =
        colon == std::string::npos ? std::nullopt : parseInteger(value.substr(colon + 1));
    const bool portValid = port && *port > 0 && *port <= std::numeric_limits<std::uint16_t>::max();
    if (!isIpv4(host) || !portValid)
        fail(key, "'" + value + "' must be ADDRESS:PORT such as 127.0.0.1:7100");
    return {.address = host, .port = static_cast<std::uint16_t>(*port)};
}

std::string Section::suggestion(const std::string &unknownKey) const
{
    std::string best;
    std::size_t bestDistance = maxSuggestionDistance + 1;
    std::string all;
    for (const std::string &key : knownKeys_) {
        all += (all.empty() ? "" : ", ") + key;
        const std::size_t distance = withoutUnitSuffix(key) == withoutUnitSuffix(unknownKey)
            ? 0
            : editDistance(key, unknownKey);
        if (distance >= bestDistance)
            continue;
        best = key;
        bestDistance = distance;
    }
    return best.empty() ? "known keys are " + all : "did you mean '" + best + "'?";
}

std::string Section::keyPath(const std::string &key) const
{
    return name_.empty() ? key : name_ + "." + key;
}

} // namespace teaselreach::settings::detail
