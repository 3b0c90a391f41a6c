/** @file http_store_base.h Adapter to the key-value service over HTTP (design, section 3.4). */
#pragma once

#include "store/http_pool_base.h"
#include "store/store_type.h"

#include <optional>
#include <string>
#include <vector>

namespace teaselreach::store {

/** How the adapter reaches the service. */
struct HttpStoreOptions
{
    std::vector<std::string> endpoints; ///< Base URLs, tried in order, without a trailing slash.
    core::Millis connectTimeout {500};
    core::Millis requestTimeout {2000}; ///< For each endpoint; a watch adds its waiting time.
    std::size_t maxIdleHandles = 4;
};

/** The service understood a request and will not carry it out, whenever it is repeated. */
class StoreRejected : public core::Error
{
public:
    /** @param what The request and the reason. */
    explicit StoreRejected(const std::string &what)
        : Error("store_rejected", what)
    { }
};

/** Client of the key-value service; may be used by several threads. Models KeyValueStore. */
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

    /** Ends pending calls with StoreUnavailable and refuses further ones; for shutting down. */
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
     * @param wait How long the service may hold the call back.
     * @return The newer value, or nothing if there was none in that time.
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
