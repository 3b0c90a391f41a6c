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

std::string_view placementFailureName(PlacementFailure reason)
{
    switch (reason) {
    case PlacementFailure::NoUpstream:
        return "no_upstream";
    case PlacementFailure::LimitReached:
        return "upstream_limit_reached";
    case PlacementFailure::AllBusy:
        return "all_upstreams_busy";
    case PlacementFailure::TooLate:
        return "deadline_too_close";
    case PlacementFailure::NoAllowedRegion:
        return "no_allowed_region";
    case PlacementFailure::Evicted:
        return "evicted";
    }
    return "no_upstream";
}

} // namespace teaselreach::proxy
