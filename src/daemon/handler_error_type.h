/** @file handler_error_type.h Failures of the methods that peers and the tool call. */
#pragma once

#include "core/error_type.h"

namespace teaselreach::daemon {

/** The method needs a part of the daemon that has not started yet. */
class NotStarted : public core::Error
{
public:
    NotStarted()
        : Error("not_started", "the daemon is still starting")
    { }
};

/** `fleet.explain` was asked for something that it does not explain. */
class UnknownSubject : public core::Error
{
public:
    /** @param what The kind asked for. */
    explicit UnknownSubject(const std::string &subject)
        : Error("unknown_explanation",
                "'" + subject + "' cannot be explained; use upstream, account or request")
    { }
};

} // namespace teaselreach::daemon
