/** @file lifecycle_base.h The phase of the daemon's life, shared by all threads. */
#pragma once

#include "core/phase_type.h"

#include <atomic>

namespace teaselreach::daemon {

/** Holds the current phase; callers must only move it forward. */
class Lifecycle
{
public:
    /** @return The current phase. */
    core::Phase phase() const { return phase_.load(); }
    /** Moves to a later phase. */
    void enter(core::Phase phase) { phase_.store(phase); }

private:
    std::atomic<core::Phase> phase_ {core::Phase::Serving};
};

} // namespace teaselreach::daemon
