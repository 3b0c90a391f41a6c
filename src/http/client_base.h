/** @file client_base.h HTTP client with connection reuse that sends each request at most once. */
#pragma once

#include "core/error_type.h"
#include "http/http_type.h"

#include <array>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace teaselreach::http {

/** libcurl could not be initialised or has no memory. */
class ClientUnavailable : public core::Error
{
public:
    /** @param what The call that failed. */
    explicit ClientUnavailable(const std::string &what)
        : Error("http_client_unavailable", what)
    { }
};

namespace detail {

class EasyHandle;

} // namespace detail

/**
 * Sends requests through a pool of libcurl handles for each target, each handle with its own
 * persistent connection. Thread-safe.
 */
class Client
{
public:
    /** @param options Time limits and sizes. @throws ClientUnavailable if libcurl fails. */
    explicit Client(ClientOptions options);
    ~Client();
    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;

    /**
     * Sends a request at most once: libcurl's automatic resend on a dead connection is blocked.
     * @param target The server.
     * @param request The request.
     * @param timeout Longest duration of the whole exchange.
     * @return The progress, and the response if it is complete. A response delimited only by the
     *     close of the connection counts as truncated: the two cannot be distinguished.
     * @throws ClientUnavailable if libcurl cannot allocate memory.
     */
    Result send(const Target &target, const Request &request, core::Millis timeout);

    /** @param target Server whose idle connections are closed. */
    void closeIdle(const Target &target);

private:
    using HandlePtr = std::unique_ptr<detail::EasyHandle>;

    /** Idle handles of the targets that hash to this shard. */
    struct Shard
    {
        std::mutex mutex;
        std::unordered_map<std::string, std::vector<HandlePtr>> idle;
    };

    static constexpr std::size_t shardCount = 16;

    Shard &shardOf(const std::string &name);
    HandlePtr acquire(const std::string &name);
    void release(const std::string &name, HandlePtr handle);

    ClientOptions options_;
    std::array<Shard, shardCount> shards_;
};

} // namespace teaselreach::http
