/** @file phase_type.h The phases of a daemon's life. */
#pragma once

#include <cstdint>

namespace teaselreach::core {

/** Phases of a daemon, in order. */
enum class Phase : std::uint8_t {
    Serving,
    Leaving,  ///< Still serves, tells callers and peers, and closes connections after answers.
    Refusing, ///< Finishes what is in flight and refuses new requests as not run.
};

} // namespace teaselreach::core
