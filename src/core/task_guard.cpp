/** @file task_guard.cpp Keeps an exception of one task from ending the process. */
#include "core/error_type.h"
#include "core/log_func.h"
#include "core/task_guard_func.h"

#include <atomic>

namespace teaselreach::core {

namespace {

std::atomic<std::uint64_t> failures {0};

void logFailure(std::string_view task, std::string_view code, std::string_view detail)
{
    logEvent(LogLevel::Error, "task_failed", {{"task", task}, {"code", code}, {"detail", detail}});
}

} // namespace

void reportTaskFailure(std::string_view task, const std::exception_ptr &failure)
{
    ++failures;
    try {
        std::rethrow_exception(failure);
    } catch (const Error &error) {
        logFailure(task, error.code(), error.what());
    } catch (const std::exception &error) {
        logFailure(task, "unexpected_exception", error.what());
    } catch (...) {
        logFailure(task, "unknown_exception", "");
    }
}

std::uint64_t taskFailures()
{
    return failures;
}

} // namespace teaselreach::core
