/** @file ticker.cpp A thread that runs a task periodically and on request. */
#include "core/task_guard_func.h"
#include "core/ticker_base.h"

#include <utility>

namespace teaselreach::core {

Ticker::Ticker(Micros interval, std::function<void()> task)
    : interval_(interval)
    , task_(std::move(task))
    , thread_([this](const std::stop_token &stop) { run(stop); })
{ }

Ticker::~Ticker()
{
    thread_.request_stop();
    // Joined here: the thread uses members that are destroyed before thread_ would join.
    thread_.join();
}

void Ticker::wake()
{
    {
        const std::lock_guard lock(mutex_);
        woken_ = true;
    }
    wake_.notify_one();
}

/** Runs the task until the ticker is destroyed. */
void Ticker::run(const std::stop_token &stop)
{
    while (!stop.stop_requested()) {
        runGuarded("ticker", task_);
        std::unique_lock lock(mutex_);
        wake_.wait_for(lock, stop, interval_, [this] { return woken_; });
        woken_ = false;
    }
}

} // namespace teaselreach::core
