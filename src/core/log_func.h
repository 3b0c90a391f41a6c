/** @file log_func.h Event logging: one line of key=value pairs for each event. */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace teaselreach::core {

enum class LogLevel { Debug, Info, Warn, Error };

/** One key=value pair of a log line. The value is quoted if it needs to be. */
struct LogField
{
    /** Text field. @param key Snake-case name. @param value The value. */
    LogField(std::string_view key, std::string_view value);
    /** Text field. */
    LogField(std::string_view key, const char *value);
    /** Integer field. */
    LogField(std::string_view key, std::int64_t value);

    std::string key;
    std::string value;
};

/**
 * Starts logging to standard error through log4cplus. Without it, logEvent() does nothing.
 * @param minimum Events below this level are dropped.
 */
void startLogging(LogLevel minimum);

/**
 * Starts non-blocking logging to standard output through log4cplus. Lines are buffered and dropped
 * when the buffer is full.
 * @param minimum Events below this level are dropped.
 */
void startNonBlockingLogging(LogLevel minimum);
/** Writes buffered lines; call it several times a second after startNonBlockingLogging(). */
void flushLog();
/** @return Number of lines that non-blocking logging has dropped. */
std::uint64_t droppedLogLines();

/**
 * Writes one event. Never pass a client account's key.
 * @param level Severity.
 * @param event Snake-case name of the event.
 * @param fields Further pairs, written in this order.
 */
void logEvent(LogLevel level, std::string_view event, const std::vector<LogField> &fields = {});

/**
 * The text of a log line without time and level.
 * @return event=NAME followed by the pairs, values quoted where they hold spaces, quotes or '='.
 */
std::string formatEvent(std::string_view event, const std::vector<LogField> &fields);

} // namespace teaselreach::core
