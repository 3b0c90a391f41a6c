/** @file header_names_type.h Names of the header fields between callers, proxy and upstreams. */
#pragma once

#include <string>

namespace teaselreach::proxy {

/** Header names of one deployment. */
struct HeaderNames
{
    std::string attemptId;      ///< Unique for each attempt of a caller; echoed by upstreams.
    std::string deadlineMs;     ///< Milliseconds that the sender will wait.
    std::string seal;           ///< Upstreams' proof that a body is theirs and whole.
    std::string account;        ///< Name of the client account, for upstreams.
    std::string targetUpstream; ///< The upstream that may run the request.
    std::string load;           ///< Running, waiting and slots, separated by commas.
    std::string notExecuted;    ///< Present if the upstream did not run the request.
    std::string upstreamId;     ///< The upstream that answered.
    std::string keyScheme;      ///< Scheme of the Authorization field.
};

} // namespace teaselreach::proxy
