/** @file shared_config_base.h The active configuration, shared by all threads. */
#pragma once

#include "daemon/collaborator_type.h"
#include "settings/settings_type.h"

#include <memory>
#include <mutex>

namespace teaselreach::daemon {

/** Holds the active snapshot and the times of the last update and the last store contact. */
class SharedConfig
{
public:
    /** @param keys Limits on the age of keys. */
    explicit SharedConfig(settings::KeysSettings keys);

    /** @return The active snapshot, or nullptr before the first. */
    std::shared_ptr<const config::ConfigSnapshot> current() const;
    /** @return Whether keys are recent enough to be trusted. */
    bool keysUsable(core::MonoTime now) const;

    /**
     * Activates a snapshot if its revision is higher than the active one.
     * @return Whether it was activated.
     */
    bool apply(std::shared_ptr<const config::ConfigSnapshot> snapshot);
    /** Records a message from a peer, which confirms the configuration or leads to a newer one. */
    void noteUpdate(core::MonoTime now);
    /** @return Time since the last contact with the store, own or reported; -1 ms if never. */
    core::Millis storeSilence(core::MonoTime now) const;
    /** Records a contact with the store, by this VM or reported by a peer. */
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
