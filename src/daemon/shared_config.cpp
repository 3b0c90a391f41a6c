/** @file shared_config.cpp The active configuration, shared by all threads. */
#include "daemon/shared_config_base.h"

#include <algorithm>

namespace teaselreach::daemon {

namespace {

bool isWithin(core::Seconds bound, core::MonoTime last, core::MonoTime now)
{
    return bound.count() == 0 || now - last <= bound;
}

} // namespace

SharedConfig::SharedConfig(settings::KeysSettings keys)
    : keys_(keys)
{ }

std::shared_ptr<const config::ConfigSnapshot> SharedConfig::current() const
{
    const std::lock_guard lock(mutex_);
    return snapshot_;
}

bool SharedConfig::keysUsable(core::MonoTime now) const
{
    const std::lock_guard lock(mutex_);
    return isWithin(keys_.maxStaleness, lastUpdate_, now)
        && isWithin(keys_.maxStoreSilence, lastStoreContact_, now);
}

bool SharedConfig::apply(std::shared_ptr<const config::ConfigSnapshot> snapshot)
{
    const std::lock_guard lock(mutex_);
    if (snapshot_ && snapshot->revision() <= snapshot_->revision())
        return false;
    snapshot_ = std::move(snapshot);
    return true;
}

void SharedConfig::noteUpdate(core::MonoTime now)
{
    const std::lock_guard lock(mutex_);
    lastUpdate_ = std::max(lastUpdate_, now);
}

core::Millis SharedConfig::storeSilence(core::MonoTime now) const
{
    const std::lock_guard lock(mutex_);
    if (lastStoreContact_ == core::MonoTime())
        return core::Millis(-1);
    return std::chrono::duration_cast<core::Millis>(now - lastStoreContact_);
}

void SharedConfig::noteStoreContact(core::MonoTime now)
{
    const std::lock_guard lock(mutex_);
    lastStoreContact_ = std::max(lastStoreContact_, now);
    lastUpdate_ = std::max(lastUpdate_, now);
}

} // namespace teaselreach::daemon
