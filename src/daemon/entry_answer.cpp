/** @file entry_answer.cpp Answers GET /.teaselreach/entry with entry addresses. */
#include "daemon/entry_answer_func.h"
#include "daemon/refusal_func.h"
#include "daemon/request_check_func.h"
#include "entry/entry_address_func.h"

#include <nlohmann/json.hpp>

namespace teaselreach::daemon {

namespace {

/** @return The raw value of a query parameter, or empty. It is not decoded: zone ids need none. */
std::string queryParameter(const std::string &target, const std::string &name)
{
    std::size_t at = target.find('?');
    while (at != std::string::npos) {
        const std::size_t end = target.find('&', at + 1);
        const std::string field = target.substr(at + 1, end - at - 1);
        if (field.starts_with(name + "="))
            return field.substr(name.size() + 1);
        at = end;
    }
    return {};
}

nlohmann::json addressToJson(const core::EntryVm &vm)
{
    return {{"vm", vm.id.str()},
            {"address", vm.address},
            {"port", vm.callerPort},
            {"availability_zone", vm.location.availabilityZone.str()}};
}

} // namespace

http::ServerResponse answerEntry(const http::ServerRequest &request,
                                 const config::ConfigSnapshot *snapshot, bool keysUsable,
                                 const core::VmList &vms, const HomeLookup &homesOf)
{
    if (request.method != "GET")
        throw RequestRefused(table::Refusal::UnknownRoute);
    if (snapshot == nullptr)
        throw RequestRefused(table::Refusal::NoConfiguration);
    const std::optional<std::string> key = bearerKey(request.headers);
    if (key && !keysUsable)
        throw RequestRefused(table::Refusal::KeysStale);
    const record::ClientAccount &account = findAccountOfKey(*snapshot, key);
    entry::EntryQuery query {.account = account.id, .homes = homesOf(account.id), .load = {}};
    const std::string zone = queryParameter(request.target, "zone");
    if (!zone.empty())
        query.callerZone = core::AvailabilityZoneId(zone);
    nlohmann::json addresses = nlohmann::json::array();
    for (const core::EntryVm &vm : entry::chooseEntryAddresses(vms.entryVms, query))
        addresses.push_back(addressToJson(vm));
    const nlohmann::json body = {{"addresses", addresses}, {"valid_for_s", entryValidForSeconds}};
    return {.headers = {{"Content-Type", "application/json"}}, .body = body.dump()};
}

} // namespace teaselreach::daemon
