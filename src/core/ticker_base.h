/** @file ticker_base.h A thread that runs a task periodically and on request. */
#pragma once

#include "core/clock_type.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <stop_token>
#include <thread>

namespace teaselreach::core {

/** Runs a task at once, then at an interval measured from the end of the last run. */
class Ticker
{
public:
    /**
     * @param interval Time between two runs.
     * @param task An exception is reported, and the task runs again after the interval.
     */
    Ticker(Micros interval, std::function<void()> task);
    /** Waits for a running task and ends the thread. */
    ~Ticker();
    Ticker(const Ticker &) = delete;
    Ticker &operator=(const Ticker &) = delete;

    /** Runs the task now instead of at the end of the interval. */
    void wake();

private:
    void run(const std::stop_token &stop);

    Micros interval_;
    std::function<void()> task_;
    std::mutex mutex_;
    std::condition_variable_any wake_;
    bool woken_ = false;
    std::jthread thread_;
};

} // namespace teaselreach::core
