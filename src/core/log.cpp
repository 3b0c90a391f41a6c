/** @file log.cpp Event logging through log4cplus. */
#include "core/log_func.h"
#include "core/log_sink_base.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <atomic>
#include <memory>
#include <unistd.h>

namespace teaselreach::core {

namespace {

std::atomic<bool> started {false};

std::string quoteIfNeeded(std::string_view value)
{
    const bool plain =
        !value.empty() && value.find_first_of(" \t\r\n\"=\\") == std::string_view::npos;
    if (plain)
        return std::string(value);
    std::string text = "\"";
    for (const char c : value) {
        if (c == '"' || c == '\\')
            text.push_back('\\');
        // A control character would break the line that holds the event.
        text.push_back(static_cast<unsigned char>(c) < 0x20 ? ' ' : c);
    }
    text.push_back('"');
    return text;
}

/** Passes formatted lines to a LogSink. */
class SinkAppender : public log4cplus::Appender
{
public:
    explicit SinkAppender(LogSink &sink)
        : sink_(sink)
    { }
    ~SinkAppender() override { destructorImpl(); }
    SinkAppender(const SinkAppender &) = delete;
    SinkAppender &operator=(const SinkAppender &) = delete;

    void close() override { sink_.flush(); }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent &event) override
    {
        sink_.append(formatEvent(event));
    }

private:
    LogSink &sink_;
};

LogSink &stdoutSink()
{
    // Never destroyed: log4cplus closes its appenders after the statics of this file.
    static LogSink &sink = *new LogSink(STDOUT_FILENO);
    return sink;
}

log4cplus::LogLevel toLog4cplus(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::Info:
        return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::Warn:
        return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::Error:
        return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::INFO_LOG_LEVEL;
}

void installAppender(const log4cplus::SharedAppenderPtr &appender, LogLevel minimum)
{
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(
        LOG4CPLUS_TEXT("ts=%d{%Y-%m-%dT%H:%M:%S.%q}Z level=%p %m%n")));
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    root.addAppender(appender);
    root.setLogLevel(toLog4cplus(minimum));
    started = true;
}

} // namespace

void startNonBlockingLogging(LogLevel minimum)
{
    static log4cplus::Initializer initializer;
    const log4cplus::SharedAppenderPtr appender(new SinkAppender(stdoutSink()));
    installAppender(appender, minimum);
}

void flushLog()
{
    stdoutSink().flush();
}

std::uint64_t droppedLogLines()
{
    return stdoutSink().dropped();
}

LogField::LogField(std::string_view fieldKey, std::string_view fieldValue)
    : key(fieldKey)
    , value(fieldValue)
{ }

LogField::LogField(std::string_view fieldKey, const char *fieldValue)
    : key(fieldKey)
    , value(fieldValue)
{ }

LogField::LogField(std::string_view fieldKey, std::int64_t fieldValue)
    : key(fieldKey)
    , value(std::to_string(fieldValue))
{ }

void startLogging(LogLevel minimum)
{
    static log4cplus::Initializer initializer;
    const log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(true, true));
    installAppender(appender, minimum);
}

void logEvent(LogLevel level, std::string_view event, const std::vector<LogField> &fields)
{
    if (!started)
        return;
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    const log4cplus::LogLevel nativeLevel = toLog4cplus(level);
    if (!root.isEnabledFor(nativeLevel))
        return;
    root.log(nativeLevel, formatEvent(event, fields));
}

std::string formatEvent(std::string_view event, const std::vector<LogField> &fields)
{
    std::string line = "event=" + quoteIfNeeded(event);
    for (const LogField &field : fields)
        line += " " + field.key + "=" + quoteIfNeeded(field.value);
    return line;
}

} // namespace teaselreach::core
