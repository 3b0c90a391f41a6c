/** @file shared_config_base.h The configuration in force, shared by all threads. */
#pragma once

#include "daemon/collaborator_type.h"
#include "settings/settings_type.h"

#include <memory>
#include <mutex>

namespace teaselreach::daemon {

/** Holds the snapshot in force and the times of the last contacts that confirmed it. */
class SharedConfig
{
public:
    /** @param keys Bounds on the age of keys. */
    explicit SharedConfig(settings::KeysSettings keys);

    /** @return The snapshot in force, or nullptr before the first. */
    std::shared_ptr<const config::ConfigSnapshot> current() const;
    /** @return Whether keys are recent enough to be trusted. */
    bool keysUsable(core::MonoTime now) const;

    /**
     * Puts a snapshot in force if its revision is higher than the present one.
     * @return Whether it is in force now.
     */
    bool apply(std::shared_ptr<const config::ConfigSnapshot> snapshot);
    /** Notes that a peer confirmed or improved the configuration. */
    void noteUpdate(core::MonoTime now);
    /** Notes that the store was reached, directly or as a peer reported. */
    void noteStoreContact(core::MonoTime now);

private:
    settings::KeysSettings keys_;
    mutable std::mutex mutex_;
    std::shared_ptr<const config::ConfigSnapshot> snapshot_;
    core::MonoTime lastUpdate_;
    core::MonoTime lastStoreContact_;
};

static_assert(ConfigSource<SharedConfig>);

} // namespace teaselreach::daemon
