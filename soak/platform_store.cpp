/** @file platform_store.cpp In-memory key-value store with fault injection. */
#include "platform/json_func.h"
#include "platform/names_type.h"
#include "platform_store_base.h"

namespace teaselreach::soak {

using nlohmann::json;
using proxy::HttpResponse;

namespace {

HttpResponse jsonResponse(int status, const json &body = json::object())
{
    HttpResponse response;
    response.version(11);
    response.result(static_cast<unsigned>(status));
    response.body() = body.dump();
    response.prepare_payload();
    return response;
}

std::uint64_t numberAfter(std::string_view target, std::string_view name)
{
    const std::size_t at = target.find(name);
    return at == std::string_view::npos
        ? 0
        : std::strtoull(std::string(target.substr(at + name.size())).c_str(), nullptr, 10);
}

} // namespace

PlatformStore::PlatformStore(proxy::asio::io_context &context, std::uint16_t port)
    : context_(context)
    , server_(context, soakAddress(), port,
              {.serve =
                   [this](std::shared_ptr<proxy::CallerExchange> exchange) {
                       return serve(std::move(exchange));
                   },
               .limits = [] { return proxy::SessionLimits {.idleTimeout = core::Seconds(60)}; },
               .shouldClose = [] { return false; }})
{ }

json PlatformStore::itemJson(const std::string &key, const Item &item)
{
    return {{"key", key},
            {"value", platform::encodeBase64(item.value)},
            {"revision", item.revision},
            {"created", item.revision},
            {"lease", item.lease}};
}

void PlatformStore::put(const std::string &key, const std::string &value)
{
    written_[key] = value;
    write(key, value, 0);
}

void PlatformStore::remove(const std::string &key)
{
    written_[key].reset();
    erase(key);
}

void PlatformStore::write(const std::string &key, const std::string &value, std::uint64_t lease)
{
    Item &item = contents_.items[key];
    item = {.value = value, .revision = ++contents_.revision, .lease = lease};
    contents_.history.push_back(itemJson(key, item));
}

void PlatformStore::erase(const std::string &key)
{
    if (contents_.items.erase(key) > 0)
        contents_.history.push_back(
            {{"key", key}, {"revision", ++contents_.revision}, {"removed", true}});
}

void PlatformStore::compact()
{
    contents_.history.clear();
    contents_.compactedRevision = contents_.revision;
}

void PlatformStore::restore(StoreContents copy)
{
    contents_ = std::move(copy);
    ++era_;
}

void PlatformStore::writeAgain()
{
    for (const auto &[key, value] : written_) {
        const auto found = contents_.items.find(key);
        if (!value)
            erase(key);
        else if (found == contents_.items.end() || found->second.value != *value)
            write(key, *value, 0);
    }
}

void PlatformStore::expireLeases(core::MonoTime now)
{
    auto &leases = contents_.leases;
    for (auto lease = leases.begin(); lease != leases.end();) {
        if (now < lease->second.endsAt) {
            ++lease;
            continue;
        }
        std::vector<std::string> expired;
        for (const auto &[key, item] : contents_.items) {
            if (item.lease == lease->first)
                expired.push_back(key);
        }
        for (const std::string &key : expired)
            erase(key);
        lease = leases.erase(lease);
    }
}

proxy::asio::awaitable<void> PlatformStore::serve(std::shared_ptr<proxy::CallerExchange> exchange)
{
    const std::string target(exchange->request.target().data(), exchange->request.target().size());
    const int silences = silences_ - (fault_ == StoreFault::Silent ? 1 : 0);
    if (fault_ == StoreFault::Busy) {
        exchange->response = jsonResponse(503);
        stateEra(exchange->response);
        co_return;
    }
    proxy::asio::steady_timer timer(context_);
    proxy::ErrorCode ignored; // Nothing cancels the timer.
    if (fault_ == StoreFault::Slow) {
        timer.expires_after(core::Millis(250));
        co_await timer.async_wait(proxy::captureError(ignored));
    }
    const bool isWatch = target.starts_with("/kv-watch");
    if (isWatch)
        exchange->response = co_await watch(numberAfter(target, "after="),
                                            core::Millis(numberAfter(target, "waitMs=")));
    else if (target.starts_with("/kv-range"))
        exchange->response = range();
    else if (target.starts_with("/kv-txn"))
        exchange->response = transact(json::parse(exchange->request.body()));
    else if (target.starts_with("/kv-lease"))
        exchange->response = grantLease(json::parse(exchange->request.body()));
    else if (target.starts_with("/kv-keep/"))
        exchange->response = renewLease(numberAfter(target, "/kv-keep/"));
    else
        exchange->response = jsonResponse(404);
    stateEra(exchange->response);
    const bool isLost = fault_ == StoreFault::LostResponse && !isWatch;
    if (isLost || silences_ != silences) {
        // Keeps the connection open without a response.
        timer.expires_after(core::Seconds(20));
        co_await timer.async_wait(proxy::captureError(ignored));
    }
}

void PlatformStore::stateEra(HttpResponse &response) const
{
    response.set(std::string(platform::eraHeader), std::to_string(era_));
}

proxy::asio::awaitable<HttpResponse> PlatformStore::watch(std::uint64_t after, core::Micros wait)
{
    const core::MonoTime end = core::MonoClock::now() + wait;
    const std::uint64_t begunIn = era_;
    const bool isKnown = after <= contents_.revision;
    proxy::asio::steady_timer timer(context_);
    while (isKnown && era_ == begunIn && after >= contents_.compactedRevision
           && contents_.revision <= after && core::MonoClock::now() < end) {
        timer.expires_after(core::Millis(10));
        proxy::ErrorCode ignored; // Nothing cancels the timer.
        co_await timer.async_wait(proxy::captureError(ignored));
    }
    if (!isKnown || era_ != begunIn || after < contents_.compactedRevision)
        co_return jsonResponse(410);
    json events = json::array();
    for (const json &event : contents_.history) {
        if (event.at("revision").get<std::uint64_t>() > after)
            events.push_back(event);
    }
    co_return jsonResponse(200,
                           {{"events", std::move(events)}, {"currentRev", contents_.revision}});
}

HttpResponse PlatformStore::range() const
{
    json items = json::array();
    for (const auto &[key, item] : contents_.items)
        items.push_back(itemJson(key, item));
    return jsonResponse(
        200,
        {{"items", std::move(items)}, {"truncated", false}, {"currentRev", contents_.revision}});
}

HttpResponse PlatformStore::transact(const json &body)
{
    for (const json &entry : body.at("puts")) {
        const std::uint64_t lease = entry.value("lease", 0);
        if (lease != 0 && !contents_.leases.contains(lease))
            return jsonResponse(404);
        write(entry.at("key"), platform::decodeBase64(entry.at("value").get<std::string>()), lease);
    }
    for (const json &key : body.at("remove"))
        erase(key);
    return jsonResponse(200, {{"revision", contents_.revision}});
}

HttpResponse PlatformStore::grantLease(const json &body)
{
    const std::string lifetime = body.at("ttl_time");
    const core::Micros time = platform::parseDuration(lifetime);
    contents_.leases[++contents_.lastLease] = {.lifetime = time,
                                               .endsAt = core::MonoClock::now() + time};
    return jsonResponse(200, {{"lease", contents_.lastLease}, {"ttl_time", lifetime}});
}

HttpResponse PlatformStore::renewLease(std::uint64_t lease)
{
    const auto found = contents_.leases.find(lease);
    if (found == contents_.leases.end())
        return jsonResponse(404);
    found->second.endsAt = core::MonoClock::now() + found->second.lifetime;
    return jsonResponse(200);
}

} // namespace teaselreach::soak
