/** @file store_type.h Interface, types and errors of the platform's key-value service. */
#pragma once

#include "core/clock_type.h"
#include "core/error_type.h"
#include "core/strong_type.h"

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>

namespace teaselreach::store {

/** Version of one key's value; 0 means that the key does not exist. */
using StoreVersion = core::StrongInt<struct StoreVersionTag, std::uint64_t>;

/** Largest value that the service accepts, in bytes. */
inline constexpr std::size_t maxValueBytes = 1'000'000;

/** A value with the version it had when it was read. */
struct StoredValue
{
    std::string value;
    StoreVersion version;
};

/** The service could not be reached or is in an outage; a write was certainly not applied. */
class StoreUnavailable : public core::Error
{
public:
    /** @param what The request and its failure. */
    explicit StoreUnavailable(const std::string &what)
        : Error("store_unavailable", what)
    { }
};

/** A write was sent, but its answer did not arrive: it may or may not have been applied. */
class StoreOutcomeUnknown : public core::Error
{
public:
    /** @param what The request and its failure. */
    explicit StoreOutcomeUnknown(const std::string &what)
        : Error("store_outcome_unknown", what)
    { }
};

/** A compare-and-swap found another version than expected. */
class StoreConflict : public core::Error
{
public:
    /**
     * @param key The key of the rejected write.
     * @param current Its current version.
     */
    StoreConflict(const std::string &key, StoreVersion current)
        : Error("store_conflict",
                "key '" + key + "' is at version " + std::to_string(current.count()))
        , current_(current)
    { }

    /** @return The current version in the service. */
    StoreVersion current() const { return current_; }

private:
    StoreVersion current_;
};

/**
 * The key-value service. All calls may throw StoreUnavailable; put() and remove() may also throw
 * StoreOutcomeUnknown and StoreConflict.
 */
template <typename T>
concept KeyValueStore = requires(T &store, const std::string &key, const std::string &value,
                                 StoreVersion version, core::Millis wait)
{
    {
        store.get(key)
        } -> std::same_as<std::optional<StoredValue>>;
    {
        store.put(key, value, version)
        } -> std::same_as<StoreVersion>;
    {
        store.remove(key, version)
        } -> std::same_as<void>;
    {
        store.watch(key, version, wait)
        } -> std::same_as<std::optional<StoredValue>>;
};

} // namespace teaselreach::store
