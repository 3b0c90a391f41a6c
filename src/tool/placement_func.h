/** @file placement_func.h Asks a daemon where a request would go now. */
#pragma once

#include "tool/tool_type.h"

#include <ostream>
#include <string>
#include <vector>

namespace teaselreach::tool {

/** The daemon has no route for the request. */
class UnknownRoute : public core::Error
{
public:
    /** @param what Host and path. */
    explicit UnknownRoute(const std::string &what)
        : Error("unknown_route", "no route matches " + what)
    { }
};

/** The daemon does not know the account. */
class UnknownAccount : public core::Error
{
public:
    /** @param id The account. */
    explicit UnknownAccount(const std::string &id)
        : Error("unknown_account", "the daemon knows no account '" + id + "'")
    { }
};

/** The daemon did not answer in time. */
class DaemonUnreachable : public core::Error
{
public:
    /** @param daemon Its address. @param detail What failed. */
    DaemonUnreachable(const std::string &daemon, const std::string &detail)
        : Error("daemon_unreachable", daemon + " did not answer: " + detail)
    { }
};

/** The daemon answered, but not with an explanation. */
class DaemonAnswerUnusable : public core::Error
{
public:
    /** @param daemon Its address. @param detail What it answered. */
    DaemonAnswerUnusable(const std::string &daemon, const std::string &detail)
        : Error("daemon_answer_unusable", daemon + ": " + detail)
    { }
};

/**
 * Prints where a daemon would send a request now, and why.
 * @param options Daemon, account and size of the body, format and timeout.
 * @param words Host, path and, optionally, the method.
 * @throws UsageError, UnknownRoute, UnknownAccount, DaemonUnreachable, DaemonAnswerUnusable
 */
void explainPlacement(std::ostream &out, const ToolOptions &options,
                      const std::vector<std::string> &words);

} // namespace teaselreach::tool
