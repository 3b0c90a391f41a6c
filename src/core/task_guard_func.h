/** @file task_guard_func.h Keeps an exception of one task from ending the process. */
#pragma once

#include <cstdint>
#include <exception>
#include <string_view>
#include <utility>

namespace teaselreach::core {

/** Logs an exception as the event task_failed and counts it.
 * @param task Snake-case name of the task, for the log. @param failure The exception. */
void reportTaskFailure(std::string_view task, const std::exception_ptr &failure);

/** @return Number of failures reported since the start of the process. */
std::uint64_t taskFailures();

/** Runs a function and reports an exception instead of passing it on.
 * @param task As for reportTaskFailure(). @return Whether the function returned. */
template <typename Function>
bool runGuarded(std::string_view task, Function &&function)
{
    try {
        std::forward<Function>(function)();
        return true;
    } catch (...) {
        reportTaskFailure(task, std::current_exception());
        return false;
    }
}

} // namespace teaselreach::core
