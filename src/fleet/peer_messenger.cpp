/** @file peer_messenger.cpp UDP messages between the VMs of a pool. */
#include "core/log_func.h"
#include "fleet/message_pack_func.h"
#include "fleet/peer_messenger_base.h"
#include "fleet/zone_load_message_func.h"
#include "http/server_base.h"
#include "proxy/event_loop_func.h"
#include "proxy/http_connection_base.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace teaselreach::proxy {

namespace {

/** Maximum entries of each list in a datagram, so that it fits into one packet. */
constexpr std::size_t maxEntries = 40;
/** Maximum borrowers in one account's history. */
constexpr std::size_t maxBorrowers = 4;

/** @return The time until an upstream is warm; 0 if it is implausible.
 * @throws nlohmann::json::exception if it is not a whole number */
core::Micros decodeColdLeft(const nlohmann::json &millis)
{
    constexpr core::Millis longest {core::Seconds(3600)};
    const auto left = wholeNumber(millis);
    return core::Millis(left < 0 || left > longest.count() ? 0 : left);
}

/** @throws nlohmann::json::exception if an entry is malformed */
std::vector<UpstreamLimitReport> decodeLimits(const nlohmann::json &entries)
{
    constexpr std::int64_t longest =
        std::chrono::duration_cast<core::Millis>(core::Micros::max()).count();
    std::vector<UpstreamLimitReport> reports;
    for (const nlohmann::json &entry : entries) {
        UpstreamLimitReport report {
            .upstream = core::UpstreamId(entry.at(0).get<std::string>()),
            .age = core::Millis(std::clamp<std::int64_t>(wholeNumber(entry.at(2)), 0, longest)),
            .requests = std::max(0, wholeInt(entry.at(3)))};
        if (!entry.at(1).is_null())
            report.limit = RequestRate {.perSecond = std::max(0.0, entry.at(1).get<double>())};
        // Earlier versions do not report cold starts.
        if (entry.size() > 4)
            report.coldLeft = decodeColdLeft(entry.at(4));
        reports.push_back(std::move(report));
    }
    return reports;
}

/** @throws nlohmann::json::exception if the list is malformed or has another length */
WindowParts decodeParts(const nlohmann::json &entries)
{
    WindowParts parts {};
    for (std::size_t i = 0; i < parts.size(); ++i)
        parts[i] = wholeInt(entries.at(i));
    return parts;
}

nlohmann::json encodeHistory(const UsageHistory &history)
{
    nlohmann::json accounts = nlohmann::json::array();
    for (const AccountHistory &entry : history.accounts) {
        nlohmann::json borrowers = nlohmann::json::array();
        for (const VmUsage &usage : entry.borrowers) {
            if (borrowers.size() < maxBorrowers)
                borrowers.push_back({usage.vm.str(), usage.requests});
        }
        if (accounts.size() < maxEntries)
            accounts.push_back(
                {entry.account.str(), entry.sender, entry.receiver, std::move(borrowers)});
    }
    return {history.isComplete, std::move(accounts)};
}

/** @throws nlohmann::json::exception if the history is malformed */
UsageHistory decodeHistory(const nlohmann::json &body)
{
    UsageHistory history {.isComplete = body.at(0).get<bool>()};
    for (const nlohmann::json &entry : body.at(1)) {
        AccountHistory account {.account = core::ClientAccountId(entry.at(0).get<std::string>()),
                                .sender = decodeParts(entry.at(1)),
                                .receiver = decodeParts(entry.at(2))};
        for (const nlohmann::json &usage : entry.at(3))
            account.borrowers.push_back({.vm = core::VmId(usage.at(0).get<std::string>()),
                                         .requests = wholeInt(usage.at(1))});
        history.accounts.push_back(std::move(account));
    }
    return history;
}

/** @return One entry of the list of usage; earlier versions read its first two elements. */
nlohmann::json encodeUsage(const AccountUsage &usage)
{
    nlohmann::json entry {usage.account.str(), usage.requests};
    if (usage.inWindow != 0)
        entry.push_back(usage.inWindow);
    return entry;
}

/** Appends the view of the pool and a history; earlier versions ignore them. */
void appendPoolState(const PeerMessage &message, nlohmann::json &body)
{
    if (!message.view && !message.history)
        return;
    const PoolView view = message.view.value_or(PoolView {});
    body.push_back({view.digest, view.asksHistory});
    if (message.history)
        body.push_back(encodeHistory(*message.history));
}

} // namespace

std::string encodeMessage(const PeerMessage &message)
{
    nlohmann::json outcomes = nlohmann::json::array();
    for (const OutcomeReport &report : message.outcomes) {
        if (outcomes.size() < maxEntries)
            outcomes.push_back({report.upstream.str(), report.failed});
    }
    nlohmann::json usage = nlohmann::json::array();
    for (const AccountUsage &entry : message.usage) {
        if (usage.size() < maxEntries)
            usage.push_back(encodeUsage(entry));
    }
    nlohmann::json limits = nlohmann::json::array();
    for (const UpstreamLimitReport &report : message.limits) {
        if (limits.size() >= maxLimitReports)
            break;
        nlohmann::json rate; // Null if the upstream no longer names a limit.
        if (report.limit)
            rate = report.limit->perSecond;
        limits.push_back({report.upstream.str(), std::move(rate),
                          std::chrono::duration_cast<core::Millis>(report.age).count(),
                          report.requests});
        if (report.coldLeft > core::Micros(0))
            limits.back().push_back(std::chrono::ceil<core::Millis>(report.coldLeft).count());
    }
    nlohmann::json body {message.sender.str(), std::move(outcomes), std::move(usage),
                         message.leaving, std::move(limits)};
    appendPoolState(message, body);
    appendZoneLoads(message.zoneLoads, body);
    const std::vector<std::uint8_t> bytes = nlohmann::json::to_msgpack(body);
    return {bytes.begin(), bytes.end()};
}

std::optional<PeerMessage> decodeMessage(std::string_view datagram)
{
    try {
        const nlohmann::json body = parseMessagePack(datagram);
        PeerMessage message {.sender = core::VmId(body.at(0).get<std::string>()),
                             .leaving = body.at(3).get<bool>()};
        for (const nlohmann::json &entry : body.at(1)) {
            message.outcomes.push_back(
                {.upstream = core::UpstreamId(entry.at(0).get<std::string>()),
                 .failed = entry.at(1).get<bool>()});
        }
        for (const nlohmann::json &entry : body.at(2)) {
            message.usage.push_back(
                {.account = core::ClientAccountId(entry.at(0).get<std::string>()),
                 .requests = wholeInt(entry.at(1)),
                 .inWindow = entry.size() > 2 ? wholeInt(entry.at(2)) : 0});
        }
        // Earlier versions send no limits.
        if (body.size() > 4)
            message.limits = decodeLimits(body.at(4));
        if (body.size() > 5)
            message.view =
                PoolView {.digest = static_cast<std::uint64_t>(wholeNumber(body.at(5).at(0))),
                          .asksHistory = body.at(5).at(1).get<bool>()};
        if (body.size() > 5)
            readZoneLoads(body.at(5), message);
        if (body.size() > 6)
            message.history = decodeHistory(body.at(6));
        return message;
    } catch (const nlohmann::json::exception &error) {
        core::logEvent(core::LogLevel::Warn, "peer_message_malformed", {{"detail", error.what()}});
        return std::nullopt;
    }
}

PeerMessenger::PeerMessenger(asio::io_context &context, const std::string &address,
                             std::uint16_t port, Receiver receiver)
    : socket_(context)
    , receiver_(std::move(receiver))
{
    ErrorCode error;
    const auto ipAddress = asio::ip::make_address_v4(address, error);
    if (!error)
        socket_.open(asio::ip::udp::v4(), error);
    if (!error)
        socket_.bind({ipAddress, port}, error);
    if (!error)
        socket_.non_blocking(true, error);
    if (error)
        throw http::ServerUnavailable(address + ":" + std::to_string(port)
                                      + "/udp: " + error.message());
    spawn(context, "receive_peer_messages", [this]() { return receiveAll(); });
}

void PeerMessenger::send(const std::string &peer, const PeerMessage &message)
{
    const http::Target target = parseTarget(peer);
    ErrorCode error;
    const auto ipAddress = asio::ip::make_address_v4(target.address, error);
    if (!error)
        socket_.send_to(asio::buffer(encodeMessage(message)), {ipAddress, target.port}, 0, error);
    if (error)
        core::logEvent(core::LogLevel::Debug, "peer_message_not_sent",
                       {{"peer", peer}, {"detail", error.message()}});
}

asio::awaitable<void> PeerMessenger::receiveAll()
{
    while (socket_.is_open()) {
        asio::ip::udp::endpoint sender;
        ErrorCode error;
        const std::size_t size =
            co_await socket_.async_receive_from(asio::buffer(buffer_), sender, captureError(error));
        // An error of one datagram, such as an unreachable peer, does not affect the next.
        if (error)
            continue;
        core::runGuarded("peer_message", [&] {
            if (const auto message = decodeMessage({buffer_.data(), size}))
                receiver_(*message);
        });
    }
}

} // namespace teaselreach::proxy
