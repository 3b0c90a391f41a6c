/** @file proxy_type.cpp Names of attempt outcomes for logs and metrics. */
#include "placement/placement_type.h"

namespace teaselreach::proxy {

std::string_view attemptEndName(AttemptEnd end)
{
    switch (end) {
    case AttemptEnd::Answered:
        return "answered";
    case AttemptEnd::ServerError:
        return "server_error";
    case AttemptEnd::NotExecuted:
        return "not_executed";
    case AttemptEnd::UnprovenRefusal:
        return "unproven_refusal";
    case AttemptEnd::Misdirected:
        return "misdirected";
    case AttemptEnd::NotSent:
        return "not_sent";
    case AttemptEnd::Broken:
        return "broken";
    case AttemptEnd::TimedOut:
        return "timed_out";
    case AttemptEnd::CallerLeft:
        return "caller_left";
    case AttemptEnd::Superseded:
        return "superseded";
    }
    return "unknown";
}

} // namespace teaselreach::proxy
