/** @file work_queue_base.h A bounded task queue with its own worker threads. */
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <stop_token>
#include <thread>
#include <vector>

namespace teaselreach::core {

/** Threads and bounds of a WorkQueue. */
struct WorkQueueOptions
{
    int threads = 4;
    std::size_t maxQueued = 1000; ///< Tasks that wait for a thread.
};

/** Starts tasks in the order in which they were added, on its own worker threads. */
class WorkQueue
{
public:
    /** A task. An exception is reported and ends only this task. */
    using Task = std::function<void()>;

    /** @param options Threads and bounds. */
    explicit WorkQueue(WorkQueueOptions options);
    /** Finishes the running tasks and drops those that wait. */
    ~WorkQueue();
    WorkQueue(const WorkQueue &) = delete;
    WorkQueue &operator=(const WorkQueue &) = delete;

    /** @return Whether there was room for the task. */
    bool add(Task task);

private:
    void runTasks(const std::stop_token &stop);

    WorkQueueOptions options_;
    std::mutex mutex_;
    std::condition_variable_any wake_;
    std::deque<Task> tasks_;
    std::vector<std::jthread> threads_;
};

} // namespace teaselreach::core
