/** @file work_queue.cpp A bounded task queue with its own worker threads. */
#include "core/task_guard_func.h"
#include "core/work_queue_base.h"

#include <utility>

namespace teaselreach::core {

WorkQueue::WorkQueue(WorkQueueOptions options)
    : options_(options)
{
    threads_.reserve(static_cast<std::size_t>(options_.threads));
    for (int i = 0; i < options_.threads; ++i)
        threads_.emplace_back([this](const std::stop_token &stop) { runTasks(stop); });
}

WorkQueue::~WorkQueue()
{
    for (std::jthread &thread : threads_)
        thread.request_stop();
}

bool WorkQueue::add(Task task)
{
    {
        const std::lock_guard lock(mutex_);
        if (tasks_.size() >= options_.maxQueued)
            return false;
        tasks_.push_back(std::move(task));
    }
    wake_.notify_one();
    return true;
}

/** Runs tasks until the queue is destroyed. */
void WorkQueue::runTasks(const std::stop_token &stop)
{
    while (true) {
        Task task;
        {
            std::unique_lock lock(mutex_);
            if (!wake_.wait(lock, stop, [this] { return !tasks_.empty(); }))
                return;
            if (stop.stop_requested())
                return;
            task = std::move(tasks_.front());
            tasks_.pop_front();
        }
        runGuarded("work_queue", task);
    }
}

} // namespace teaselreach::core
