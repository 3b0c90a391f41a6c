/** @file fleet_state.cpp Applies configuration, upstreams and members from the store. */
#include "core/log_func.h"
#include "fleet/fleet_state_base.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace teaselreach::proxy {

namespace {

/** Most pairs of a route and an account without a common region that are logged for a version. */
constexpr int maxDisjointWarnings = 1000;
/** Time for which removed upstreams are remembered: longer than a copy of the store is old. */
constexpr core::Seconds droppedLifetime {120};

} // namespace

FleetState::FleetState(Parts parts, core::VmId self)
    : parts_(parts)
    , self_(std::move(self))
{ }

void FleetState::applyConfiguration(core::MonoTime now, Configuration configuration)
{
    const auto &currentTable = parts_.flow.table();
    const ConfigVersion currentVersion =
        currentTable ? currentTable->configuration().version : ConfigVersion();
    if (currentTable && configuration.version <= currentVersion)
        return;
    core::logEvent(core::LogLevel::Info, "config_applied",
                   {{"version", configuration.version.count()},
                    {"version_before", currentVersion.count()},
                    {"routes", static_cast<std::int64_t>(configuration.routes.size())},
                    {"accounts", static_cast<std::int64_t>(configuration.accounts.size())}});
    for (const Account &account : configuration.accounts) {
        const Account *currentAccount = nullptr;
        if (currentTable) {
            const auto &accounts = currentTable->configuration().accounts;
            const auto found =
                std::find_if(accounts.begin(), accounts.end(),
                             [&](const Account &candidate) { return candidate.id == account.id; });
            currentAccount = found == accounts.end() ? nullptr : &*found;
        }
        if (currentAccount != nullptr && currentAccount->ratePerSecond == account.ratePerSecond
            && currentAccount->burst == account.burst)
            continue;
        core::logEvent(core::LogLevel::Info, "limit_changed",
                       {{"account", account.id.str()},
                        {"version", configuration.version.count()},
                        {"rate_per_s", std::llround(account.ratePerSecond)},
                        {"burst", std::llround(account.burst)}});
    }
    warnOfRegions(configuration);
    applyServices(now, configuration.services);
    parts_.flow.configure(std::make_shared<const RouteTable>(std::move(configuration)));
}

/** Logs the regions that no zone of the settings has, and the routes and accounts whose lists have
 * no region in common. */
void FleetState::warnOfRegions(const Configuration &configuration) const
{
    const std::int64_t version = configuration.version.count();
    std::set<core::RegionId> listed;
    for (const Route &route : configuration.routes)
        listed.insert(route.allowedRegions.regions().begin(), route.allowedRegions.regions().end());
    for (const Account &account : configuration.accounts)
        listed.insert(account.allowedRegions.regions().begin(),
                      account.allowedRegions.regions().end());
    for (const core::RegionId &region : listed) {
        if (!parts_.upstreams.hasRegion(region))
            core::logEvent(core::LogLevel::Warn, "region_unknown",
                           {{"region", region.str()}, {"version", version}});
    }
    int disjoint = 0;
    for (const Route &route : configuration.routes) {
        if (route.allowedRegions.isAny())
            continue;
        for (const Account &account : configuration.accounts) {
            if (!route.allowedRegions.intersect(account.allowedRegions).isNone())
                continue;
            if (++disjoint > maxDisjointWarnings)
                continue;
            core::logEvent(core::LogLevel::Warn, "regions_disjoint",
                           {{"route", route.id.str()},
                            {"account", account.id.str()},
                            {"route_regions", route.allowedRegions.text()},
                            {"account_regions", account.allowedRegions.text()},
                            {"version", version}});
        }
    }
    if (disjoint > maxDisjointWarnings)
        core::logEvent(
            core::LogLevel::Warn, "regions_disjoint_more",
            {{"pairs", disjoint}, {"logged", maxDisjointWarnings}, {"version", version}});
}

void FleetState::applyEarlierUse(const AccountUseRecord &record)
{
    for (const AccountUseLevel &use : record) {
        constexpr double percent = 100;
        core::logEvent(core::LogLevel::Info, "earlier_use_known",
                       {{"account", use.account.str()},
                        {"level_pct", std::llround(percent * use.levels.back())}});
    }
    parts_.flow.earlierUseKnown(record);
}

void FleetState::applyEvacuation(const core::AvailabilityZoneId &zone)
{
    evacuationEnds_.cancel(zone);
    const auto upstreams = static_cast<std::int64_t>(parts_.upstreams.countInZone(zone));
    const bool isNew = !zone.empty() && parts_.upstreams.beginEvacuation(zone);
    core::logEvent(core::LogLevel::Info, isNew ? "evacuation_started" : "evacuation_ignored",
                   {{"zone", zone.str()},
                    {"upstreams", upstreams},
                    {"evacuated_zones",
                     static_cast<std::int64_t>(parts_.upstreams.evacuations().zones().size())}});
}

void FleetState::endEvacuation(core::MonoTime now, const core::AvailabilityZoneId &zone)
{
    evacuationEnds_.cancel(zone);
    if (!parts_.upstreams.endEvacuation(now, zone))
        return;
    core::logEvent(core::LogLevel::Info, "evacuation_ended",
                   {{"zone", zone.str()},
                    {"upstreams", static_cast<std::int64_t>(parts_.upstreams.countInZone(zone))}});
}

void FleetState::endUnlistedEvacuations(core::MonoTime now,
                                        const std::vector<core::AvailabilityZoneId> &listed)
{
    const std::set<core::AvailabilityZoneId> evacuated = parts_.upstreams.evacuations().zones();
    for (const core::AvailabilityZoneId &zone : evacuated) {
        const bool isListed = std::find(listed.begin(), listed.end(), zone) != listed.end();
        if (!isListed && !evacuationEnds_.tryHold(now, zone))
            endEvacuation(now, zone);
    }
}

/** Logs the changes of cold-start limits and applies them. */
void FleetState::applyServices(core::MonoTime now, const std::vector<ServiceSettings> &services)
{
    for (const ServiceSettings &service : services) {
        double before = 0;
        if (const auto &table = parts_.flow.table()) {
            const auto &current = table->configuration().services;
            const auto found =
                std::find_if(current.begin(), current.end(),
                             [&](const ServiceSettings &other) { return other.id == service.id; });
            before = found == current.end() ? 0 : found->coldPerSecond;
        }
        if (before == service.coldPerSecond)
            continue;
        constexpr double milli = 1000;
        core::logEvent(
            core::LogLevel::Info, "cold_limit_changed",
            {{"service", service.id.str()},
             {"milli_per_s", std::llround(milli * service.coldPerSecond)},
             {"milli_per_s_before", std::llround(milli * before)},
             {"warmup_ms", std::chrono::duration_cast<core::Millis>(service.warmup).count()}});
    }
    parts_.upstreams.setServices(now, services);
}

void FleetState::applyUpstream(core::MonoTime now, const UpstreamEntry &entry)
{
    upstreamRemovals_.cancel(entry.id);
    if (isFromCopy(now, entry)) {
        core::logEvent(core::LogLevel::Info, "upstream_entry_outdated",
                       {{"upstream", entry.id.str()},
                        {"sequence", entry.sequence},
                        {"draining", entry.draining ? 1 : 0}});
        return;
    }
    dropped_.erase(entry.id);
    const UpstreamEntry *previous = parts_.upstreams.find(entry.id);
    const bool isChanged = previous == nullptr || previous->draining != entry.draining
        || previous->startedAt != entry.startedAt || previous->address != entry.address;
    if (isChanged) {
        core::logEvent(core::LogLevel::Info, "upstream_listed",
                       {{"upstream", entry.id.str()},
                        {"service", entry.service.str()},
                        {"zone", entry.availabilityZone.str()},
                        {"address", entry.address + ":" + std::to_string(entry.port)},
                        {"draining", entry.draining ? 1 : 0}});
    }
    parts_.upstreams.update(now, entry);
}

/** @return Whether an entry is older than what this VM knows of the upstream, as in a copy of the
 * store: the upstream has reported since that it is draining, or its entry was removed. */
bool FleetState::isFromCopy(core::MonoTime now, const UpstreamEntry &entry) const
{
    // Without its start, an entry may be that of a new process, which counts from the beginning.
    if (entry.startedAt == 0 || !evacuationEnds_.isHolding(now))
        return false;
    if (const UpstreamEntry *known = parts_.upstreams.find(entry.id))
        return known->startedAt == entry.startedAt && entry.sequence < known->sequence;
    const auto dropped = dropped_.find(entry.id);
    return dropped != dropped_.end() && dropped->second.startedAt == entry.startedAt
        && entry.sequence <= dropped->second.sequence;
}

void FleetState::removeUpstream(core::MonoTime now, const core::UpstreamId &id)
{
    if (parts_.upstreams.find(id) == nullptr || upstreamRemovals_.tryHold(now, id))
        return;
    dropUpstream(now, id, "entry_removed");
}

void FleetState::applyMember(const EntryMember &member)
{
    memberRemovals_.cancel(member.id);
    lapsed_.erase(member.id);
    parts_.entries.memberJoined(member);
}

void FleetState::removeMember(core::MonoTime now, const core::VmId &id)
{
    // All leases may have expired during an outage; callers must not be sent away from live VMs.
    if (!memberRemovals_.tryHold(now, id))
        endMembership(now, id);
}

/** Ends the membership of a VM whose registration has ended, at once unless the VM is alive. */
void FleetState::endMembership(core::MonoTime now, const core::VmId &id)
{
    if (!parts_.entries.contains(id) || !isAlive(now, id)) {
        dropMember(now, id);
        return;
    }
    if (!lapsed_.emplace(id, now).second)
        return;
    core::logEvent(core::LogLevel::Info, "member_lapsed", {{"vm", id.str()}});
    parts_.entries.memberLapsed(id);
}

void FleetState::dropMember(core::MonoTime now, const core::VmId &id)
{
    lapsed_.erase(id);
    core::logEvent(core::LogLevel::Info, "member_left", {{"vm", id.str()}});
    parts_.entries.memberLeft(now, id);
}

void FleetState::removeUnlistedUpstreams(core::MonoTime now,
                                         const std::vector<core::UpstreamId> &listed)
{
    for (const core::UpstreamId &id : parts_.upstreams.ids()) {
        if (std::find(listed.begin(), listed.end(), id) == listed.end())
            removeUpstream(now, id);
    }
}

void FleetState::removeUnlistedMembers(core::MonoTime now, const std::vector<core::VmId> &listed)
{
    for (const core::VmId &id : parts_.entries.ids()) {
        if (std::find(listed.begin(), listed.end(), id) == listed.end())
            removeMember(now, id);
    }
}

void FleetState::tick(core::MonoTime now)
{
    for (const core::UpstreamId &id : upstreamRemovals_.takeExpired(now))
        dropUpstream(now, id, "missing_after_store_outage");
    for (const core::AvailabilityZoneId &zone : evacuationEnds_.takeExpired(now))
        endEvacuation(now, zone);
    for (const core::VmId &id : memberRemovals_.takeExpired(now))
        endMembership(now, id);
    std::vector<core::VmId> ended;
    for (const auto &[id, since] : lapsed_) {
        if (!isAlive(now, id) || now - since > lapsedHoldTime)
            ended.push_back(id);
    }
    for (const core::VmId &id : ended)
        dropMember(now, id);
}

bool FleetState::ready() const
{
    return parts_.flow.table() != nullptr && parts_.flow.phase() == core::Phase::Serving;
}

void FleetState::dropUpstream(core::MonoTime now, const core::UpstreamId &id,
                              std::string_view cause)
{
    std::erase_if(dropped_,
                  [&](const auto &entry) { return now - entry.second.at > droppedLifetime; });
    if (const UpstreamEntry *entry = parts_.upstreams.find(id))
        dropped_[id] = {.startedAt = entry->startedAt, .sequence = entry->sequence, .at = now};
    core::logEvent(core::LogLevel::Info, "upstream_dropped",
                   {{"upstream", id.str()}, {"cause", cause}});
    parts_.upstreams.remove(id);
}

} // namespace teaselreach::proxy
