/** @file event_loop_func.h Runs an event loop and its coroutines; failures are reported. */
#pragma once

#include "core/task_guard_func.h"
#include "proxy/asio_type.h"

#include <utility>

namespace teaselreach::proxy {

/** Runs the event loop until it is stopped or has no work left. An exception of a handler is
 * reported as the failure of the task "event_handler"; the other handlers go on. */
inline void runEventLoop(asio::io_context &context)
{
    while (!core::runGuarded("event_handler", [&] { context.run(); }))
        continue;
}

} // namespace teaselreach::proxy
