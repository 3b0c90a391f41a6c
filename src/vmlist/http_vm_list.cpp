/** @file http_vm_list.cpp HTTP client of the platform's VM list. */
#include "vmlist/http_vm_list_base.h"

#include <nlohmann/json.hpp>

namespace teaselreach::vmlist {

namespace {

using nlohmann::json;

constexpr long statusOk = 200;

std::string requiredText(const json &entry, const char *name)
{
    auto text = entry.at(name).get<std::string>();
    if (text.empty())
        throw VmListUnavailable("a VM in the list has an empty '" + std::string(name) + "'");
    return text;
}

std::uint16_t requiredPort(const json &entry, const char *name)
{
    const auto port = entry.at(name).get<std::int64_t>();
    if (port < 1 || port > UINT16_MAX)
        throw VmListUnavailable("'" + std::string(name) + "' of VM '" + requiredText(entry, "id")
                                + "' is " + std::to_string(port)
                                + ", expected a port from 1 to 65535");
    return static_cast<std::uint16_t>(port);
}

core::VmState stateOf(const json &entry)
{
    const std::string state = requiredText(entry, "state");
    if (state == "live")
        return core::VmState::Live;
    if (state == "leaving")
        return core::VmState::Leaving;
    throw VmListUnavailable("VM '" + requiredText(entry, "id") + "' has the state '" + state
                            + "', expected 'live' or 'leaving'");
}

core::Location locationOf(const json &entry)
{
    return {.availabilityZone = core::AvailabilityZoneId(requiredText(entry, "availability_zone")),
            .region = core::RegionId(requiredText(entry, "region"))};
}

core::EntryVm entryVmOf(const json &entry)
{
    return {.id = core::VmId(requiredText(entry, "id")),
            .address = requiredText(entry, "address"),
            .location = locationOf(entry),
            .state = stateOf(entry),
            .callerPort = requiredPort(entry, "caller_port"),
            .controlPort = requiredPort(entry, "control_port")};
}

core::UpstreamVm upstreamOf(const json &entry)
{
    return {.id = core::UpstreamId(requiredText(entry, "id")),
            .service = core::ServiceId(requiredText(entry, "service")),
            .address = requiredText(entry, "address"),
            .location = locationOf(entry),
            .state = stateOf(entry),
            .port = requiredPort(entry, "port")};
}

} // namespace

core::VmList parseVmList(const std::string &text)
{
    core::VmList list;
    try {
        const json document = json::parse(text);
        for (const json &entry : document.at("vms")) {
            const std::string role = requiredText(entry, "role");
            if (role == "entry")
                list.entryVms.push_back(entryVmOf(entry));
            else if (role == "upstream")
                list.upstreams.push_back(upstreamOf(entry));
            else
                throw VmListUnavailable("a VM in the list has the role '" + role
                                        + "', expected 'entry' or 'upstream'");
        }
    } catch (const json::exception &error) {
        throw VmListUnavailable(std::string("the VM list is malformed: ") + error.what());
    }
    return list;
}

HttpVmList::HttpVmList(HttpVmListOptions options)
    : options_(std::move(options))
    , endpoints_(options_.endpoints)
{ }

core::VmList HttpVmList::read()
{
    std::string failures;
    core::VmList list;
    const bool succeeded = endpoints_.tryUntilAnswered([&](const std::string &base) {
        try {
            const store::HttpAnswer answer =
                pool_.perform({.url = base + "/vms",
                               .connectTimeout = options_.connectTimeout,
                               .timeout = options_.requestTimeout});
            if (answer.status == statusOk) {
                list = parseVmList(answer.body);
                return true;
            }
            failures += base + ": status " + std::to_string(answer.status) + "; ";
        } catch (const core::Error &error) {
            failures += base + ": " + error.what() + "; ";
        }
        return false;
    });
    if (!succeeded)
        throw VmListUnavailable("no endpoint returned a valid VM list: " + failures);
    return list;
}

} // namespace teaselreach::vmlist
