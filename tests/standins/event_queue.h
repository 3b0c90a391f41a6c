/** @file event_queue.h Virtual time: actions in the order of the times at which they are due. */
#pragma once

#include "core/clock_type.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <queue>
#include <tuple>

namespace teaselreach::standins {

using Action = std::function<void()>;

/** Runs actions in the order of virtual time; those of one time in the order of their coming. */
class EventQueue
{
public:
    /** @param start The time at which the clock stands before the first action. */
    explicit EventQueue(core::MonoTime start = core::MonoTime(core::Seconds(1000)))
        : now_(start)
    { }

    /** Runs an action at a time, or at once if that has passed. */
    void at(core::MonoTime time, Action action)
    {
        events_.push({std::max(time, now_), ++lastSequence_, std::move(action)});
    }
    /** Runs an action later. */
    void after(core::Micros delay, Action action) { at(now_ + delay, std::move(action)); }
    /** Runs all events up to a time. */
    void runUntil(core::MonoTime end)
    {
        while (!empty() && nextTime() <= end)
            runNext();
        now_ = end;
    }
    /** Runs the next event; there must be one. */
    void runNext()
    {
        const Event event = events_.top();
        events_.pop();
        now_ = event.time;
        event.action();
    }
    /** @return Whether nothing is due any more. */
    bool empty() const { return events_.empty(); }
    /** @return When the next event is due; there must be one. */
    core::MonoTime nextTime() const { return events_.top().time; }
    /** @return The virtual time. */
    core::MonoTime now() const { return now_; }

private:
    struct Event
    {
        core::MonoTime time;
        std::uint64_t sequence = 0;
        Action action;

        bool operator<(const Event &other) const
        {
            return std::tie(other.time, other.sequence) < std::tie(time, sequence);
        }
    };

    std::priority_queue<Event> events_;
    core::MonoTime now_;
    std::uint64_t lastSequence_ = 0;
};

} // namespace teaselreach::standins
