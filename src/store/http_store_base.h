/** @file http_store_base.h Client of the key-value service over HTTP (design, section 3.4). */
#pragma once

#include "store/http_pool_base.h"
#include "store/store_type.h"

#include <optional>
#include <string>
#include <vector>

namespace teaselreach::store {

/** Endpoints, timeouts and pool size of an HttpStore. */
struct HttpStoreOptions
{
    std::vector<std::string> endpoints; ///< Base URLs, tried in order, without a trailing slash.
    core::Millis connectTimeout {500};
    core::Millis requestTimeout {2000}; ///< For each endpoint; watch() adds its wait time.
    std::size_t maxIdleHandles = 4;
};

/** The request is invalid and fails again if retried; detected by client or service. */
class StoreRejected : public core::Error
{
public:
    /** @param what The request and the reason. */
    explicit StoreRejected(const std::string &what)
        : Error("store_rejected", what)
    { }
};

/** Client of the key-value service; thread-safe. Models KeyValueStore. */
class HttpStore
{
public:
    /**
     * @param options Endpoints and timeouts.
     * @throws std::invalid_argument if no endpoint is given.
     */
    explicit HttpStore(HttpStoreOptions options);

    /**
     * Reads one value.
     * @param key Characters `[a-z0-9/_.-]`.
     * @return The value, or nothing if the key does not exist.
     * @throws StoreUnavailable, StoreRejected
     */
    std::optional<StoredValue> get(const std::string &key);

    /** Aborts pending and later calls: StoreUnavailable, or for sent writes StoreOutcomeUnknown. */
    void cancelCalls() { pool_.cancel(); }

    /**
     * Writes by compare-and-swap.
     * @param key Characters `[a-z0-9/_.-]`.
     * @param value UTF-8 text of at most maxValueBytes.
     * @param expected The version that must be present; 0 if the key must not exist.
     * @return The version of the new value.
     * @throws StoreUnavailable, StoreOutcomeUnknown, StoreConflict, StoreRejected
     */
    StoreVersion put(const std::string &key, const std::string &value, StoreVersion expected);

    /**
     * Deletes a key by compare-and-swap.
     * @param key Characters `[a-z0-9/_.-]`.
     * @param expected The version that must be present.
     * @throws StoreUnavailable, StoreOutcomeUnknown, StoreConflict, StoreRejected
     */
    void remove(const std::string &key, StoreVersion expected);

    /**
     * Waits until a key has a newer version.
     * @param key Characters `[a-z0-9/_.-]`.
     * @param after The version that the caller has.
     * @param wait Longest time that the service may delay its response.
     * @return The newer value, or nothing if there was none within that time.
     * @throws StoreUnavailable, StoreRejected
     */
    std::optional<StoredValue> watch(const std::string &key, StoreVersion after, core::Millis wait);

private:
    std::optional<StoredValue> read(const std::string &path, core::Millis timeout);
    HttpAnswer write(const HttpCall &prototype, const std::string &path);

    HttpStoreOptions options_;
    EndpointList endpoints_;
    HttpPool pool_;
};

static_assert(KeyValueStore<HttpStore>);

} // namespace teaselreach::store
