/** @file header_names_type.h Names of the header fields shared by callers, proxy and upstreams. */
#pragma once

#include <string>

namespace teaselreach::proxy {

/** Header field names of one deployment. */
struct HeaderNames
{
    std::string attemptId;      ///< Unique for each attempt of a caller; upstreams echo it.
    std::string deadlineMs;     ///< Milliseconds for which the sender waits for the response.
    std::string seal;           ///< Proof by the upstream that the body is its own and complete.
    std::string account;        ///< Name of the client account; added for upstreams.
    std::string targetUpstream; ///< The only upstream that may run the request.
    std::string load;           ///< Running requests, waiting requests and slots, comma-separated.
    std::string notExecuted;    ///< Present if the upstream did not run the request.
    std::string upstreamId;     ///< The upstream that sent the response.
    std::string keyScheme;      ///< Authentication scheme in the Authorization field.
};

} // namespace teaselreach::proxy
