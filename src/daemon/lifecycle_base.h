/** @file lifecycle_base.h The state of the daemon that the servers act on. */
#pragma once

#include "core/phase_type.h"

#include <atomic>

namespace teaselreach::daemon {

/** The present phase; only moves forward. */
class Lifecycle
{
public:
    /** @return The present phase. */
    core::Phase phase() const { return phase_.load(); }
    /** Moves to a later phase. */
    void enter(core::Phase phase) { phase_.store(phase); }

private:
    std::atomic<core::Phase> phase_ {core::Phase::Serving};
};

} // namespace teaselreach::daemon
