/** @file http_pool_base.h Pool of libcurl handles for calls to the platform's services. */
#pragma once

#include "core/clock_type.h"
#include "core/error_type.h"

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace teaselreach::store {

/** One HTTP call. */
struct HttpCall
{
    std::string method = "GET";
    std::string url;
    std::string body; ///< JSON; sent if not empty.
    core::Millis connectTimeout {500};
    core::Millis timeout {2000}; ///< Whole call, including the connection attempt.
    /**
     * Uses a new connection for this call only. libcurl silently resends a request when a
     * persistent connection turns out to be dead, which must not happen to a write.
     */
    bool freshConnection = false;
};

/** A complete response. */
struct HttpAnswer
{
    long status = 0;
    std::string body;
};

/** No complete response arrived. */
class HttpCallFailed : public core::Error
{
public:
    /**
     * @param what Method, URL and cause.
     * @param possiblySent Whether any part of the request may have reached the service.
     */
    HttpCallFailed(const std::string &what, bool possiblySent)
        : Error("http_call_failed", what)
        , possiblySent_(possiblySent)
    { }

    /** @return Whether any part of the request may have reached the service. */
    bool possiblySent() const { return possiblySent_; }

private:
    bool possiblySent_;
};

/** Reuses libcurl handles and their connections. Thread-safe. */
class HttpPool
{
public:
    /** @param maxIdle Handles beyond this number are closed after use. */
    explicit HttpPool(std::size_t maxIdle = 4);
    ~HttpPool();
    HttpPool(const HttpPool &) = delete;
    HttpPool &operator=(const HttpPool &) = delete;

    /**
     * Performs one call and waits for the response.
     * @param call What to send.
     * @return The response, whatever its status.
     * @throws HttpCallFailed if no complete response arrived.
     */
    HttpAnswer perform(const HttpCall &call);

    /** Aborts pending and later calls, each within about a second; for shutdown. */
    void cancel() { cancelled_.store(true); }

private:
    struct CloseHandle
    {
        void operator()(void *handle) const;
    };
    using Handle = std::unique_ptr<void, CloseHandle>;

    Handle acquire();
    void release(Handle handle);

    std::atomic<bool> cancelled_ {false};
    std::size_t maxIdle_;
    std::mutex mutex_;
    std::vector<Handle> idle_;
};

/** Base URLs of one service with failover; the last one that answered is tried first. */
class EndpointList
{
public:
    /**
     * @param urls Base URLs without a trailing slash, in order of preference; at least one.
     * @throws std::invalid_argument if the list is empty.
     */
    explicit EndpointList(std::vector<std::string> urls);

    /**
     * Tries the endpoints in order until one answers.
     * @param attempt Called with a base URL; returns whether the endpoint answered.
     * @return Whether any endpoint answered.
     */
    bool tryUntilAnswered(const std::function<bool(const std::string &)> &attempt);

private:
    std::vector<std::string> urls_;
    std::atomic<std::size_t> preferred_ {0};
};

} // namespace teaselreach::store
