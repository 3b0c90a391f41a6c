/** @file log_sink_base.h Log lines on their way to standard output, without ever blocking. */
#pragma once

#include <cstdint>
#include <mutex>
#include <string>

namespace teaselreach::core {

/**
 * Holds log lines until they are written. A line that does not fit is dropped and counted: requests
 * go before their log. May be used by several threads.
 */
class LogSink
{
public:
    /** Most bytes that wait to be written. */
    static constexpr std::size_t maxPendingBytes = 262144;

    /** @param descriptor Where lines go; made non-blocking. */
    explicit LogSink(int descriptor);

    /** Takes in a line with its end; writes at once if everything before it was written. */
    void append(const std::string &line);
    /** Writes what waits, as far as the reader takes it. */
    void flush();
    /** @return Lines that were dropped. */
    std::uint64_t dropped() const;

private:
    void writePending();

    int descriptor_;
    mutable std::mutex mutex_;
    std::string pending_;
    std::uint64_t dropped_ = 0;
    std::uint64_t reportedDrops_ = 0; ///< Dropped lines that a line has told of.
};

} // namespace teaselreach::core
