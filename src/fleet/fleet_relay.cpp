/** @file fleet_relay.cpp Relays the store's changes to the VMs of an availability zone. */
#include "fleet/fleet_relay_base.h"
#include "fleet/message_pack_func.h"
#include "proxy/exchange_func.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace teaselreach::proxy {

namespace {

/** Longest time that a request waits for a change. Short, so that a follower soon detects a relay
 * that does not respond: a configuration must take effect within 2.5 s of being written. */
constexpr core::Millis longPollTimeout {500};
/** Interval at which a waiting request checks the change log. */
constexpr core::Millis logPollInterval {25};
/** Timeout for the response of a relay. */
constexpr core::Millis responseTimeout {900};
/** Timeout for a connection within the availability zone. */
constexpr core::Millis connectionTimeout {250};
/** Timeout for the response to a probe. */
constexpr core::Millis probeTimeout {300};
/** Query parameter of a request that does not wait for a change. */
constexpr std::string_view noWait = "&wait=0";

/** @return The request target for the changes after a position. Relays of earlier versions read the
 * revision only. */
std::string requestTarget(StorePosition after, RelayWait wait)
{
    return std::string(FleetRelay::path) + "?after=" + std::to_string(after.revision.count())
        + "&era=" + std::to_string(after.era.count())
        + std::string(wait == RelayWait::None ? noWait : "");
}

/** @return Whether a request waits for a change. */
bool waitsForChange(const HttpRequest &request)
{
    const std::string_view target(request.target().data(), request.target().size());
    return !target.ends_with(noWait);
}

/** @return A number in the query of a request; 0 if it is missing. */
std::uint64_t parseNumber(const HttpRequest &request, std::string_view name)
{
    const std::string_view target(request.target().data(), request.target().size());
    const std::size_t at = target.find(name);
    std::uint64_t number = 0;
    if (at != std::string_view::npos)
        std::from_chars(target.data() + at + name.size(), target.data() + target.size(), number);
    return number;
}

HttpResponse makeResponse(beasthttp::status status, std::string body = "")
{
    HttpResponse response(status, httpVersion11);
    response.body() = std::move(body);
    response.prepare_payload();
    return response;
}

} // namespace

std::string encodeUpdate(const FleetUpdate &update)
{
    nlohmann::json items = nlohmann::json::array();
    for (const FleetItem &item : update.items) {
        nlohmann::json value;
        if (item.value)
            value = nlohmann::json::binary({item.value->begin(), item.value->end()});
        items.push_back({static_cast<int>(item.kind), item.id, item.revision.count(), value});
    }
    const std::vector<std::uint8_t> bytes =
        nlohmann::json::to_msgpack({update.position.revision.count(), std::move(items),
                                    update.connectedFor.count(), update.position.era.count()});
    return {bytes.begin(), bytes.end()};
}

FleetUpdate decodeUpdate(std::string_view body)
{
    try {
        const nlohmann::json decoded = parseMessagePack(body);
        constexpr std::size_t eraIndex = 3; // Missing in responses of earlier versions.
        const std::uint64_t era =
            decoded.size() > eraIndex ? decoded.at(eraIndex).get<std::uint64_t>() : 0;
        FleetUpdate update {
            .position = {.era = StoreEra(era),
                         .revision = StoreRevision(decoded.at(0).get<std::uint64_t>())},
            .connectedFor = core::Micros(decoded.at(2).get<core::Micros::rep>())};
        for (const nlohmann::json &entry : decoded.at(1)) {
            FleetItem item {.kind = static_cast<FleetItemKind>(entry.at(0).get<int>()),
                            .id = entry.at(1).get<std::string>(),
                            .revision = StoreRevision(entry.at(2).get<std::uint64_t>())};
            if (entry.at(3).is_binary()) {
                const auto &bytes = entry.at(3).get_binary();
                item.value = std::string(bytes.begin(), bytes.end());
            }
            update.items.push_back(std::move(item));
        }
        return update;
    } catch (const nlohmann::json::exception &error) {
        throw StoreUnreachable(std::string("malformed response of a relay: ") + error.what());
    }
}

FleetRelay::FleetRelay(asio::io_context &context, const FleetChangeLog &changeLog,
                       std::function<std::optional<core::Micros>()> connectedFor)
    : context_(context)
    , changeLog_(changeLog)
    , connectedFor_(std::move(connectedFor))
{ }

asio::awaitable<HttpResponse> FleetRelay::handle(const HttpRequest &request)
{
    // A VM with an earlier version doesn't state an era. It reads the store itself if there is one.
    const StorePosition after {.era = StoreEra(parseNumber(request, "era=")),
                               .revision = StoreRevision(parseNumber(request, "after="))};
    const core::Micros longest = waitsForChange(request) ? longPollTimeout : core::Millis(0);
    const core::MonoTime end = core::MonoClock::now() + longest;
    asio::steady_timer timer(context_);
    while (connectedFor_() && after.revision.count() != 0 && changeLog_.lastChange() <= after
           && core::MonoClock::now() < end) {
        timer.expires_after(logPollInterval);
        ErrorCode ignored; // Nothing cancels the timer.
        co_await timer.async_wait(captureError(ignored));
    }
    const std::optional<core::Micros> connectedFor = connectedFor_();
    if (!connectedFor)
        co_return makeResponse(beasthttp::status::service_unavailable);
    std::optional<FleetUpdate> changes =
        after.revision.count() == 0 ? changeLog_.snapshot() : changeLog_.changesSince(after);
    if (!changes)
        co_return makeResponse(beasthttp::status::gone);
    changes->connectedFor = *connectedFor;
    co_return makeResponse(beasthttp::status::ok, encodeUpdate(*changes));
}

FleetRelayClient::FleetRelayClient(asio::io_context &context)
    : context_(context)
{ }

asio::awaitable<FleetUpdate> FleetRelayClient::fetch(std::string relay, StorePosition after,
                                                     RelayWait wait)
{
    std::unique_ptr<HttpConnection> &connection = connections_[relay];
    if (!connection || !connection->isReusable(core::MonoClock::now()))
        connection = std::make_unique<HttpConnection>(context_, parseTarget(relay), budget_);
    HttpRequest request(beasthttp::verb::get, requestTarget(after, wait), httpVersion11);
    request.set(beasthttp::field::host, relay);
    const ExchangeOptions options {
        .connectTimeout = connectionTimeout,
        .deadline =
            core::MonoClock::now() + (wait == RelayWait::None ? probeTimeout : responseTimeout)};
    const auto canceller = std::make_shared<ExchangeCanceller>();
    const ResponseFilter acceptAll;
    const ExchangeResult result =
        co_await connection->exchange(request, options, canceller, acceptAll);
    if (result.failure != ExchangeFailure::None) {
        connections_.erase(relay);
        throw RelayUnresponsive("relay " + relay + ": " + result.detail);
    }
    if (result.response.result() == beasthttp::status::gone)
        throw StoreHistoryLost();
    if (result.response.result() != beasthttp::status::ok)
        throw StoreUnreachable(
            "relay " + relay
            + " returned an error status; it may have lost its connection to the store");
    co_return decodeUpdate(result.response.body());
}

} // namespace teaselreach::proxy
