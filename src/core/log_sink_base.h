/** @file log_sink_base.h Buffered, non-blocking output of log lines. */
#pragma once

#include <cstdint>
#include <mutex>
#include <string>

namespace teaselreach::core {

/**
 * Buffers log lines until they are written. A line that does not fit is dropped and counted, so
 * that logging never delays requests. Thread-safe.
 */
class LogSink
{
public:
    /** Capacity of the buffer in bytes. */
    static constexpr std::size_t maxPendingBytes = 262144;

    /** @param descriptor Output file descriptor; set to non-blocking mode. */
    explicit LogSink(int descriptor);

    /** Buffers a line that ends in a line break; writes only if the buffer would overflow. */
    void append(const std::string &line);
    /** Writes the buffered lines as far as possible without blocking. */
    void flush();
    /** @return Lines that were dropped. */
    std::uint64_t dropped() const;

private:
    void writePending();

    int descriptor_;
    mutable std::mutex mutex_;
    std::string pending_;
    std::uint64_t dropped_ = 0;
    std::uint64_t reportedDrops_ = 0; ///< Value of dropped_ in the last log_lines_dropped event.
};

} // namespace teaselreach::core
