/** @file spread_service.cpp Thread-safe access to the propagation policy of one daemon. */
#include "daemon/spread_service_base.h"

namespace teaselreach::daemon {

SpreadService::SpreadService(core::VmId self, core::Location location, std::uint64_t seed,
                             SharedConfig &shared)
    : shared_(shared)
    , policy_(std::move(self), std::move(location), {}, core::MonoClock::now())
    , random_(seed)
{ }

void SpreadService::onVmList(const core::VmList &list)
{
    const std::lock_guard lock(mutex_);
    policy_.setVmList(list.entryVms);
}

bool SpreadService::isWatcher() const
{
    const std::lock_guard lock(mutex_);
    return policy_.isWatcher();
}

std::vector<core::VmId> SpreadService::exchangeTargets()
{
    const std::lock_guard lock(mutex_);
    return policy_.exchangeTargets(random_);
}

std::vector<core::VmId> SpreadService::pushTargets()
{
    const std::lock_guard lock(mutex_);
    return policy_.pushTargets(random_);
}

core::Millis SpreadService::storeReadInterval() const
{
    const std::lock_guard lock(mutex_);
    return policy_.storeReadInterval();
}

bool SpreadService::tryStartPoll(core::MonoTime now)
{
    const std::lock_guard lock(mutex_);
    if (!policy_.pollDue(now))
        return false;
    policy_.notePoll(now, random_);
    return true;
}

void SpreadService::noteStoreContact(core::MonoTime at)
{
    {
        const std::lock_guard lock(mutex_);
        policy_.noteStoreContact(at);
    }
    shared_.noteStoreContact(at);
}

void SpreadService::notePeerContact(core::MonoTime at, core::Revision peer, core::Revision own)
{
    {
        const std::lock_guard lock(mutex_);
        policy_.notePeerContact(at, peer, own);
    }
    // A peer with a higher revision may have withdrawn keys that are still valid here.
    if (peer <= own)
        shared_.noteStoreContact(at);
}

std::optional<core::Micros> SpreadService::storeAge(core::MonoTime now) const
{
    const std::lock_guard lock(mutex_);
    return policy_.storeAge(now);
}

} // namespace teaselreach::daemon
