/** @file fleet_state.cpp What this VM believes of configuration, upstreams and members. */
#include "core/log_func.h"
#include "proxy/fleet_state_base.h"

#include <algorithm>
#include <cmath>

namespace teaselreach::proxy {

FleetState::FleetState(Parts parts, core::VmId self)
    : parts_(parts)
    , self_(std::move(self))
{ }

void FleetState::applyConfiguration(Configuration configuration)
{
    const auto &present = parts_.flow.table();
    const ConfigVersion before = present ? present->configuration().version : ConfigVersion();
    if (present && configuration.version <= before)
        return;
    core::logEvent(core::LogLevel::Info, "config_applied",
                   {{"version", configuration.version.count()},
                    {"version_before", before.count()},
                    {"routes", static_cast<std::int64_t>(configuration.routes.size())},
                    {"accounts", static_cast<std::int64_t>(configuration.accounts.size())}});
    for (const Account &account : configuration.accounts) {
        const Account *old = nullptr;
        if (present) {
            const auto &accounts = present->configuration().accounts;
            const auto found =
                std::find_if(accounts.begin(), accounts.end(),
                             [&](const Account &candidate) { return candidate.id == account.id; });
            old = found == accounts.end() ? nullptr : &*found;
        }
        if (old != nullptr && old->ratePerSecond == account.ratePerSecond
            && old->burst == account.burst)
            continue;
        core::logEvent(core::LogLevel::Info, "limit_changed",
                       {{"account", account.id.str()},
                        {"version", configuration.version.count()},
                        {"rate_per_s", std::llround(account.ratePerSecond)},
                        {"burst", std::llround(account.burst)}});
    }
    parts_.flow.configure(std::make_shared<const RouteTable>(std::move(configuration)));
}

void FleetState::applyUpstream(core::MonoTime now, const UpstreamEntry &entry)
{
    removals_.present(entry.id);
    const UpstreamEntry *before = parts_.upstreams.find(entry.id);
    const bool isNew = before == nullptr || before->draining != entry.draining
        || before->startedAt != entry.startedAt || before->address != entry.address;
    if (isNew) {
        core::logEvent(core::LogLevel::Info, "upstream_listed",
                       {{"upstream", entry.id.str()},
                        {"service", entry.service.str()},
                        {"zone", entry.availabilityZone.str()},
                        {"address", entry.address + ":" + std::to_string(entry.port)},
                        {"draining", entry.draining ? 1 : 0}});
    }
    parts_.upstreams.update(now, entry);
}

void FleetState::removeUpstream(core::MonoTime now, const core::UpstreamId &id)
{
    if (parts_.upstreams.find(id) == nullptr || removals_.hold(now, id))
        return;
    drop(id, "entry_removed");
}

void FleetState::applyMember(const EntryMember &member)
{
    departures_.present(member.id);
    parts_.entries.joined(member);
}

void FleetState::removeMember(core::MonoTime now, const core::VmId &id)
{
    // After an outage all leases may have ended; callers must not be sent away from VMs that live.
    if (!departures_.hold(now, id))
        forgetMember(now, id);
}

void FleetState::forgetMember(core::MonoTime now, const core::VmId &id)
{
    core::logEvent(core::LogLevel::Info, "member_left", {{"vm", id.str()}});
    parts_.entries.left(now, id);
}

void FleetState::keepOnly(core::MonoTime now, const std::vector<core::UpstreamId> &present)
{
    for (const core::UpstreamId &id : parts_.upstreams.ids()) {
        if (std::find(present.begin(), present.end(), id) == present.end())
            removeUpstream(now, id);
    }
}

void FleetState::tick(core::MonoTime now)
{
    for (const core::UpstreamId &id : removals_.takeFinal(now))
        drop(id, "missing_after_store_outage");
    for (const core::VmId &id : departures_.takeFinal(now))
        forgetMember(now, id);
}

bool FleetState::ready() const
{
    return parts_.flow.table() != nullptr && parts_.flow.phase() == core::Phase::Serving;
}

void FleetState::drop(const core::UpstreamId &id, std::string_view cause)
{
    core::logEvent(core::LogLevel::Info, "upstream_dropped",
                   {{"upstream", id.str()}, {"cause", cause}});
    parts_.upstreams.remove(id);
}

} // namespace teaselreach::proxy
