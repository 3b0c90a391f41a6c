/** @file handler_error_type.h Errors of the RPC methods. */
#pragma once

#include "core/error_type.h"

namespace teaselreach::daemon {

/** The method needs the feeds, which have not started yet. */
class NotStarted : public core::Error
{
public:
    NotStarted()
        : Error("not_started", "the daemon is still starting")
    { }
};

/** `fleet.explain` was called with an unknown subject. */
class UnknownSubject : public core::Error
{
public:
    /** @param subject The subject of the call. */
    explicit UnknownSubject(const std::string &subject)
        : Error("unknown_explanation",
                "'" + subject + "' cannot be explained; use upstream, account or request")
    { }
};

} // namespace teaselreach::daemon
