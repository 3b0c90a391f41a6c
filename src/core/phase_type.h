/** @file phase_type.h The lifecycle phases of a daemon. */
#pragma once

#include <cstdint>

namespace teaselreach::core {

/** Phases of a daemon, in order. */
enum class Phase : std::uint8_t {
    Serving,
    Leaving,  ///< Still serves, notifies callers and peers, and closes connections after answers.
    Refusing, ///< Finishes requests in flight; rejects new ones as not run.
};

} // namespace teaselreach::core
