/** @file record_validate.cpp Validation of single records. */
#include "record/record_validate_func.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <set>

namespace teaselreach::record {

namespace {

constexpr std::array<std::string_view, 7> knownMethods {"GET",    "HEAD",  "POST",   "PUT",
                                                        "DELETE", "PATCH", "OPTIONS"};
constexpr std::string_view reservedPrefix = "/.teaselreach";
constexpr std::size_t maxPrefixLength = 512;
constexpr std::size_t maxDisplayNameLength = 200;
constexpr std::size_t digestLength = 64;
constexpr double maxRatePerSecond = 1'000'000;
constexpr double maxBurst = 10'000'000;
constexpr core::Millis maxTimeout {60'000};
/** With fewer tokens per home VM, shares reject requests that a single bucket would admit. */
constexpr double minBurstPerHome = 10;
constexpr int maxHomes = 3;

/** Collects the problems of one record. */
class RecordValidator
{
public:
    explicit RecordValidator(RecordRef ref)
        : ref_(std::move(ref))
    { }

    void require(bool valid, const std::string &field, const std::string &value,
                 const std::string &expected)
    {
        if (!valid)
            problems_.push_back({ref_, field, "'" + value + "'", expected});
    }
    void requireId(const std::string &field, const std::string &id)
    {
        require(isValidId(id), field, id, "1 to 64 of [a-z0-9._-], the first a letter or digit");
    }
    void requireRange(const std::string &field, double value, double low, double high)
    {
        require(std::isfinite(value) && value >= low && value <= high, field, std::to_string(value),
                std::to_string(low) + " to " + std::to_string(high));
    }
    void requireMillis(const std::string &field, core::Millis value)
    {
        require(value > core::Millis(0) && value <= maxTimeout, field,
                std::to_string(value.count()), "1 to " + std::to_string(maxTimeout.count()));
    }
    std::vector<RecordProblem> takeProblems() { return std::move(problems_); }

private:
    RecordRef ref_;
    std::vector<RecordProblem> problems_;
};

bool isPrintable(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char c) {
        const auto byte = static_cast<unsigned char>(c);
        return byte >= 0x20 && byte != 0x7f;
    });
}

bool isPathPrefix(std::string_view path)
{
    if (!path.starts_with('/') || path.size() > maxPrefixLength || !isPrintable(path))
        return false;
    return path.find_first_of(" ?#\\") == std::string_view::npos
        && path.find("//") == std::string_view::npos;
}

bool isDigest(std::string_view text)
{
    return text.size() == digestLength
        && text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

void checkFields(RecordValidator &validator, const ClientAccount &r)
{
    validator.require(r.displayName.size() <= maxDisplayNameLength && isPrintable(r.displayName),
                      "display_name", r.displayName, "at most 200 printable characters");
    validator.requireRange("weight", r.weight, 1, 100);
    std::set<std::string_view> seen;
    for (const core::RouteId &route : r.routes) {
        validator.requireId("routes", route.str());
        validator.require(seen.insert(route.str()).second, "routes", route.str(),
                          "each route once");
    }
}

void checkFields(RecordValidator &validator, const Key &r)
{
    validator.requireId("account", r.account.str());
    validator.require(isDigest(r.digest), "digest", r.digest, "64 lower-case hexadecimal digits");
}

void checkFields(RecordValidator &validator, const Route &r)
{
    validator.require(isPathPrefix(r.pathPrefix), "path_prefix", r.pathPrefix,
                      "a path that begins with '/', without spaces, '//', '?', '#' or '\\'");
    validator.require(!r.pathPrefix.starts_with(reservedPrefix), "path_prefix", r.pathPrefix,
                      "a path outside /.teaselreach, which the daemon serves itself");
    for (const std::string &method : r.methods)
        validator.require(std::find(knownMethods.begin(), knownMethods.end(), method)
                              != knownMethods.end(),
                          "methods", method, "GET, HEAD, POST, PUT, DELETE, PATCH or OPTIONS");
    validator.requireId("service", r.service.str());
    validator.requireMillis("timeout_ms", r.timeout);
}

void checkFields(RecordValidator &validator, const Limit &r)
{
    validator.require(r.ratePerSecond > 0 && r.ratePerSecond <= maxRatePerSecond, "rate_per_second",
                      std::to_string(r.ratePerSecond), "above 0, at most 1000000");
    validator.requireRange("burst", r.burst, 1, maxBurst);
    validator.requireRange("homes", r.homes, 1, 3);
}

void checkFields(RecordValidator &validator, const Service &r)
{
    validator.requireRange("slots_per_upstream", r.slotsPerUpstream, 1, 1000);
    validator.requireRange("max_connections_per_upstream", r.maxConnectionsPerUpstream, 1, 100'000);
    validator.requireRange("floor", r.floor, 0, 1);
}

void checkFields(RecordValidator &validator, const Objective &r)
{
    validator.requireId("service", r.service.str());
    if (r.account)
        validator.requireId("account", r.account->str());
    validator.require(r.target > 0 && r.target < 1, "target", std::to_string(r.target),
                      "above 0 and below 1");
    validator.requireMillis("latency_ms", r.latency);
}

} // namespace

bool isValidId(std::string_view id)
{
    constexpr std::string_view allowedFirst = "abcdefghijklmnopqrstuvwxyz0123456789";
    constexpr std::string_view allowed = "abcdefghijklmnopqrstuvwxyz0123456789._-";
    return !id.empty() && id.size() <= maxIdLength
        && allowedFirst.find(id.front()) != std::string_view::npos
        && id.find_first_not_of(allowed) == std::string_view::npos;
}

std::vector<RecordProblem> validateRecord(const AnyRecord &record)
{
    const RecordRef ref = refOf(record);
    RecordValidator validator(ref);
    validator.requireId("id", ref.id);
    std::visit([&validator](const auto &r) { checkFields(validator, r); }, record);
    return validator.takeProblems();
}

int homeCountForBurst(double burst)
{
    return std::clamp(static_cast<int>(burst / minBurstPerHome), 1, maxHomes);
}

} // namespace teaselreach::record
