/** @file log_sink.cpp Buffered, non-blocking output of log lines. */
#include "core/log_sink_base.h"

#include <cerrno>
#include <fcntl.h>
#include <unistd.h>

namespace teaselreach::core {

LogSink::LogSink(int descriptor)
    : descriptor_(descriptor)
{
    const int flags = fcntl(descriptor_, F_GETFL);
    if (flags >= 0)
        fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
}

void LogSink::append(const std::string &line)
{
    const std::lock_guard lock(mutex_);
    if (pending_.size() + line.size() > maxPendingBytes)
        writePending();
    if (pending_.size() + line.size() > maxPendingBytes) {
        ++dropped_;
        return;
    }
    if (dropped_ != reportedDrops_) {
        pending_ += "level=WARN event=log_lines_dropped total=" + std::to_string(dropped_) + "\n";
        reportedDrops_ = dropped_;
    }
    pending_ += line;
}

void LogSink::flush()
{
    const std::lock_guard lock(mutex_);
    writePending();
}

std::uint64_t LogSink::dropped() const
{
    const std::lock_guard lock(mutex_);
    return dropped_;
}

void LogSink::writePending()
{
    while (!pending_.empty()) {
        const ssize_t count = ::write(descriptor_, pending_.data(), pending_.size());
        if (count < 0 && errno == EINTR)
            continue;
        // The reader is slow or gone; the rest stays buffered, and new lines are dropped when full.
        if (count <= 0)
            return;
        pending_.erase(0, static_cast<std::size_t>(count));
    }
}

} // namespace teaselreach::core
