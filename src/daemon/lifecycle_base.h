/** @file lifecycle_base.h The state of the daemon that the servers act on. */
#pragma once

#include <atomic>
#include <cstdint>

namespace teaselreach::daemon {

/** Phases of a daemon, in order. */
enum class Phase : std::uint8_t {
    Serving,
    Leaving,  ///< Still serves; tells callers and peers that it is leaving.
    Refusing, ///< Finishes what is in flight and refuses new requests.
};

/** The present phase; only moves forward. */
class Lifecycle
{
public:
    /** @return The present phase. */
    Phase phase() const { return phase_.load(); }
    /** Moves to a later phase. */
    void enter(Phase phase) { phase_.store(phase); }

private:
    std::atomic<Phase> phase_ {Phase::Serving};
};

} // namespace teaselreach::daemon
