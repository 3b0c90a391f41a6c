/** @file client.cpp HTTP client with connection reuse that sends each request at most once. */
#include "core/digest_func.h"
#include "http/client_base.h"
#include "http/easy_handle_internal.h"

namespace teaselreach::http {

namespace {

/** Initialises libcurl once for the process; curl_global_init() must not run in two threads. */
void initLibrary()
{
    static const CURLcode code = curl_global_init(CURL_GLOBAL_DEFAULT);
    if (code != CURLE_OK)
        throw ClientUnavailable("curl_global_init failed");
}

} // namespace

Client::Client(ClientOptions options)
    : options_(options)
{
    initLibrary();
}

Client::~Client() = default;

Result Client::send(const Target &target, const Request &request, core::Millis timeout)
{
    if (timeout.count() <= 0)
        return {.progress = Progress::NotSent,
                .cause = Cause::Timeout,
                .detail = "no time left to send"};
    const std::string name = target.address + ":" + std::to_string(target.port);
    HandlePtr handle = acquire(name);
    Result result = handle->perform(name, request, options_, timeout);
    release(name, std::move(handle));
    return result;
}

void Client::closeIdle(const Target &target)
{
    const std::string name = target.address + ":" + std::to_string(target.port);
    Shard &shard = shardOf(name);
    const std::lock_guard lock(shard.mutex);
    shard.idle.erase(name);
}

Client::Shard &Client::shardOf(const std::string &name)
{
    return shards_[core::stableHash(name) % shardCount];
}

Client::HandlePtr Client::acquire(const std::string &name)
{
    Shard &shard = shardOf(name);
    {
        const std::lock_guard lock(shard.mutex);
        std::vector<HandlePtr> &idle = shard.idle[name];
        if (!idle.empty()) {
            HandlePtr handle = std::move(idle.back());
            idle.pop_back();
            return handle;
        }
    }
    return std::make_unique<detail::EasyHandle>();
}

void Client::release(const std::string &name, HandlePtr handle)
{
    Shard &shard = shardOf(name);
    const std::lock_guard lock(shard.mutex);
    std::vector<HandlePtr> &idle = shard.idle[name];
    if (idle.size() < options_.maxIdleConnections)
        idle.push_back(std::move(handle));
}

} // namespace teaselreach::http
