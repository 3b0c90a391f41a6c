/** @file http_vm_list.cpp HTTP client of the platform's VM list. */
#include "core/log_func.h"
#include "vmlist/http_vm_list_base.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

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

void addEntry(const json &entry, core::VmList &list)
{
    const std::string role = requiredText(entry, "role");
    if (role == "entry")
        list.entryVms.push_back(entryVmOf(entry));
    else if (role == "upstream")
        list.upstreams.push_back(upstreamOf(entry));
    else
        throw VmListUnavailable("a VM in the list has the role '" + role
                                + "', expected 'entry' or 'upstream'");
}

/** @return Whether a list has a VM with an id. */
template <typename Vm>
bool contains(const std::vector<Vm> &vms, const std::string &id)
{
    return std::any_of(vms.begin(), vms.end(), [&](const Vm &vm) { return vm.id.str() == id; });
}

/** The entries of a document that name no VM to use. */
struct InvalidEntries
{
    int count = 0;
    std::set<std::string> ids; ///< An entry without an id adds an empty one.
    std::string firstReason;

    void add(const json &entry, const std::string &reason)
    {
        const bool hasId = entry.is_object() && entry.contains("id") && entry.at("id").is_string();
        const std::string id = hasId ? entry.at("id").get<std::string>() : "";
        ids.insert(id);
        if (++count == 1)
            firstReason = reason;
        core::logEvent(core::LogLevel::Warn, "vm_entry_invalid", {{"vm", id}, {"reason", reason}});
    }
    /** @return Whether an entry may stand for a VM other than the one that its id names. */
    bool hasUnknownId(const core::VmList &last) const
    {
        return std::any_of(ids.begin(), ids.end(), [&](const std::string &id) {
            return !contains(last.entryVms, id) && !contains(last.upstreams, id);
        });
    }
};

/** Adds the VMs as last listed for which an invalid entry may stand. */
template <typename Vm>
void keepMissing(const std::vector<Vm> &last, std::vector<Vm> &listed,
                 const InvalidEntries &invalid, bool keepsAll)
{
    for (const Vm &vm : last) {
        if ((keepsAll || invalid.ids.contains(vm.id.str())) && !contains(listed, vm.id.str()))
            listed.push_back(vm);
    }
}

} // namespace

core::VmList parseVmList(const std::string &text, const core::VmList &last)
{
    core::VmList list;
    InvalidEntries invalid;
    try {
        const json document = json::parse(text);
        for (const json &entry : document.at("vms")) {
            try {
                addEntry(entry, list);
            } catch (const json::exception &error) {
                invalid.add(entry, error.what());
            } catch (const VmListUnavailable &error) {
                invalid.add(entry, error.what());
            }
        }
    } catch (const json::exception &error) {
        throw VmListUnavailable(std::string("the VM list is malformed: ") + error.what());
    }
    if (list.entryVms.empty() && list.upstreams.empty() && invalid.count > 0)
        throw VmListUnavailable("no VM in the list is valid: " + invalid.firstReason);
    const bool keepsAll = invalid.hasUnknownId(last);
    keepMissing(last.entryVms, list.entryVms, invalid, keepsAll);
    keepMissing(last.upstreams, list.upstreams, invalid, keepsAll);
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
                const std::lock_guard lock(lastMutex_);
                list = last_ = parseVmList(answer.body, last_);
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
