/** @file zone_load_message.cpp Reports on the load of zones in the messages of VMs. */
#include "fleet/message_pack_func.h"
#include "fleet/zone_load_message_func.h"

#include <nlohmann/json.hpp>

#include <cmath>

namespace teaselreach::proxy {

namespace {

/** Size of a datagram that fits into one packet. */
constexpr std::size_t maxDatagramBytes = 1400;
/** Index of the view in a message, and of the reports in the view. */
constexpr std::size_t viewIndex = 5;
constexpr std::size_t reportsIndex = 2;

/** @return A number in tenths: a whole number takes less space than a floating-point one. */
std::int64_t tenths(double value)
{
    return std::llround(10 * value);
}

nlohmann::json encodeReport(const ZoneLoadReport &report)
{
    const ZoneLoad &load = report.load;
    return {report.service.str(),
            report.zone.str(),
            std::chrono::duration_cast<core::Millis>(report.age).count(),
            tenths(load.demandPerSecond),
            tenths(load.slots),
            tenths(load.freeSlots),
            tenths(load.refusedPerSecond)};
}

/** @throws nlohmann::json::exception if the entry is malformed */
ZoneLoadReport decodeReport(const nlohmann::json &entry, const core::VmId &sender)
{
    constexpr double perTenth = 0.1;
    // Out of this range the age in microseconds could overflow; the table drops negative ages.
    constexpr std::int64_t longestMillis = 3600000;
    const auto number = [&](std::size_t index) { return perTenth * entry.at(index).get<double>(); };
    return {.sender = sender,
            .service = core::ServiceId(entry.at(0).get<std::string>()),
            .zone = core::AvailabilityZoneId(entry.at(1).get<std::string>()),
            .age =
                core::Millis(std::clamp<std::int64_t>(wholeNumber(entry.at(2)), -1, longestMillis)),
            .load = {.demandPerSecond = number(3),
                     .slots = number(4),
                     .freeSlots = number(5),
                     .refusedPerSecond = number(6)}};
}

} // namespace

void appendZoneLoads(const std::vector<ZoneLoadReport> &reports, nlohmann::json &body)
{
    if (reports.empty())
        return;
    // Digest 0: the sender does not pool its share.
    const bool hasView = body.size() > viewIndex;
    if (!hasView)
        body.push_back({0, false});
    body[viewIndex].push_back(nlohmann::json::array());
    nlohmann::json &list = body[viewIndex][reportsIndex];
    std::size_t bytes = nlohmann::json::to_msgpack(body).size();
    for (const ZoneLoadReport &report : reports) {
        nlohmann::json entry = encodeReport(report);
        bytes += nlohmann::json::to_msgpack(entry).size();
        if (list.size() >= maxZoneLoadReports || bytes > maxDatagramBytes)
            break;
        list.push_back(std::move(entry));
    }
    if (!list.empty())
        return;
    if (hasView)
        body[viewIndex].erase(reportsIndex);
    else
        body.erase(viewIndex);
}

void readZoneLoads(const nlohmann::json &view, PeerMessage &message)
{
    if (view.size() <= reportsIndex)
        return;
    if (message.view && message.view->digest == 0 && !message.view->asksHistory)
        message.view.reset();
    const nlohmann::json &list = view.at(reportsIndex);
    if (!list.is_array()) {
        ++message.malformedZoneLoads;
        return;
    }
    for (const nlohmann::json &entry : list) {
        if (message.zoneLoads.size() + message.malformedZoneLoads >= maxZoneLoadReports)
            break;
        try {
            message.zoneLoads.push_back(decodeReport(entry, message.sender));
        } catch (const nlohmann::json::exception &) {
            ++message.malformedZoneLoads;
        }
    }
}

} // namespace teaselreach::proxy
