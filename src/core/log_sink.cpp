/** @file log_sink.cpp Log lines on their way to standard output, without ever blocking. */
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
    if (waiting_.size() + line.size() > maxWaitingBytes)
        write();
    if (waiting_.size() + line.size() > maxWaitingBytes) {
        ++dropped_;
        return;
    }
    if (dropped_ != reported_) {
        waiting_ += "level=WARN event=log_lines_dropped total=" + std::to_string(dropped_) + "\n";
        reported_ = dropped_;
    }
    waiting_ += line;
}

void LogSink::flush()
{
    const std::lock_guard lock(mutex_);
    write();
}

std::uint64_t LogSink::dropped() const
{
    const std::lock_guard lock(mutex_);
    return dropped_;
}

void LogSink::write()
{
    while (!waiting_.empty()) {
        const ssize_t count = ::write(descriptor_, waiting_.data(), waiting_.size());
        if (count < 0 && errno == EINTR)
            continue;
        // The reader is slow or gone; the rest waits or is dropped when the space is used up.
        if (count <= 0)
            return;
        waiting_.erase(0, static_cast<std::size_t>(count));
    }
}

} // namespace teaselreach::core
