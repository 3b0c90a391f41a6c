/** @file fleet_relay.cpp Passes the store's changes on to the VMs of the availability zone. */
#include "proxy/exchange_func.h"
#include "proxy/fleet_relay_base.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace teaselreach::proxy {

namespace {

/** Longest wait of a call for a change. Short, so that a follower soon misses a silent relay: the
 * configuration has to be in force 2.5 s after it was written. */
constexpr core::Millis relayWait {500};
/** Time between two looks at the log while a call waits. */
constexpr core::Millis relayPoll {25};
/** Time for the answer of a relay. */
constexpr core::Millis relayTimeout {900};
/** Time for a connection within the availability zone. */
constexpr core::Millis relayConnectTimeout {250};

std::string relayTarget(StoreRevision after)
{
    return std::string(FleetRelay::path) + "?after=" + std::to_string(after.count());
}

StoreRevision afterOf(const HttpRequest &request)
{
    const std::string_view target(request.target().data(), request.target().size());
    const std::size_t at = target.find("after=");
    std::uint64_t after = 0;
    if (at != std::string_view::npos)
        std::from_chars(target.data() + at + 6, target.data() + target.size(), after);
    return StoreRevision(after);
}

HttpResponse makeAnswer(beasthttp::status status, std::string body = "")
{
    HttpResponse response(status, httpVersion11);
    response.body() = std::move(body);
    response.prepare_payload();
    return response;
}

} // namespace

std::string encodeContents(const FleetContents &contents)
{
    nlohmann::json items = nlohmann::json::array();
    for (const FleetItem &item : contents.items) {
        nlohmann::json value;
        if (item.value)
            value = nlohmann::json::binary({item.value->begin(), item.value->end()});
        items.push_back({static_cast<int>(item.subject), item.id, item.revision.count(), value});
    }
    const std::vector<std::uint8_t> bytes = nlohmann::json::to_msgpack(
        {contents.revision.count(), std::move(items), contents.steadyFor.count()});
    return {bytes.begin(), bytes.end()};
}

FleetContents decodeContents(std::string_view body)
{
    try {
        const nlohmann::json decoded = nlohmann::json::from_msgpack(body.begin(), body.end());
        FleetContents contents {.revision = StoreRevision(decoded.at(0).get<std::uint64_t>()),
                                .steadyFor = core::Micros(decoded.at(2).get<core::Micros::rep>())};
        for (const nlohmann::json &entry : decoded.at(1)) {
            FleetItem item {.subject = static_cast<FleetSubject>(entry.at(0).get<int>()),
                            .id = entry.at(1).get<std::string>(),
                            .revision = StoreRevision(entry.at(2).get<std::uint64_t>())};
            if (entry.at(3).is_binary()) {
                const auto &bytes = entry.at(3).get_binary();
                item.value = std::string(bytes.begin(), bytes.end());
            }
            contents.items.push_back(std::move(item));
        }
        return contents;
    } catch (const nlohmann::json::exception &error) {
        throw StoreUnreachable(std::string("relay's answer cannot be read: ") + error.what());
    }
}

FleetRelay::FleetRelay(asio::io_context &context, const FleetLog &log,
                       std::function<std::optional<core::Micros>()> steadyFor)
    : context_(context)
    , log_(log)
    , steadyFor_(std::move(steadyFor))
{ }

asio::awaitable<HttpResponse> FleetRelay::answer(const HttpRequest &request)
{
    const StoreRevision after = afterOf(request);
    const core::MonoTime end = core::MonoClock::now() + relayWait;
    asio::steady_timer timer(context_);
    while (steadyFor_() && after.count() != 0 && log_.latestChange() <= after
           && core::MonoClock::now() < end) {
        timer.expires_after(relayPoll);
        ErrorCode ignored; // Nothing cancels the timer.
        co_await timer.async_wait(storeError(ignored));
    }
    const std::optional<core::Micros> steadyFor = steadyFor_();
    if (!steadyFor)
        co_return makeAnswer(beasthttp::status::service_unavailable);
    std::optional<FleetContents> changes = after.count() == 0 ? log_.all() : log_.since(after);
    if (!changes)
        co_return makeAnswer(beasthttp::status::gone);
    changes->steadyFor = *steadyFor;
    co_return makeAnswer(beasthttp::status::ok, encodeContents(*changes));
}

FleetRelayClient::FleetRelayClient(asio::io_context &context)
    : context_(context)
{ }

asio::awaitable<FleetContents> FleetRelayClient::fetch(std::string relay, StoreRevision after)
{
    std::unique_ptr<HttpLink> &link = links_[relay];
    if (!link || !link->reusable(core::MonoClock::now()))
        link = std::make_unique<HttpLink>(context_, parseTarget(relay));
    HttpRequest request(beasthttp::verb::get, relayTarget(after), httpVersion11);
    request.set(beasthttp::field::host, relay);
    const LinkOptions options {.connectTimeout = relayConnectTimeout,
                               .deadline = core::MonoClock::now() + relayTimeout};
    const auto canceller = std::make_shared<LinkCanceller>();
    const AnswerFilter all;
    const LinkResult result = co_await link->exchange(request, options, canceller, all);
    if (result.failure != LinkFailure::None) {
        links_.erase(relay);
        throw StoreUnreachable("relay " + relay + ": " + result.detail);
    }
    if (result.response.result() == beasthttp::status::gone)
        throw StoreHistoryLost();
    if (result.response.result() != beasthttp::status::ok)
        throw StoreUnreachable("relay " + relay + " is out of touch with the store");
    co_return decodeContents(result.response.body());
}

} // namespace teaselreach::proxy
