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

/**
 * Runs a coroutine by itself. An exception that leaves it is reported and ends only this coroutine.
 * @param executor Where it runs. @param task Name for the log; must outlive the coroutine.
 * @param coroutine Returns the coroutine as an awaitable without a value.
 * @param onFailure Called after an exception.
 */
template <typename Executor, typename Coroutine, typename FailureHandler>
void spawn(Executor &&executor, std::string_view task, Coroutine &&coroutine,
           FailureHandler &&onFailure)
{
    asio::co_spawn(std::forward<Executor>(executor), std::forward<Coroutine>(coroutine),
                   [task, onFailure = std::forward<FailureHandler>(onFailure)](
                       const std::exception_ptr &failure) mutable {
                       if (!failure)
                           return;
                       core::reportTaskFailure(task, failure);
                       onFailure();
                   });
}

/** The same for a coroutine whose end needs no further action. */
template <typename Executor, typename Coroutine>
void spawn(Executor &&executor, std::string_view task, Coroutine &&coroutine)
{
    spawn(std::forward<Executor>(executor), task, std::forward<Coroutine>(coroutine), [] {});
}

} // namespace teaselreach::proxy
