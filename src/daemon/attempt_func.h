/** @file attempt_func.h One request to one upstream: what is sent and what its end means. */
#pragma once

#include "daemon/collaborator_type.h"
#include "http/server_base.h"
#include "table/refusal_table.h"

namespace teaselreach::daemon {

/** What the daemon adds to a request. */
struct AddedFields
{
    core::RequestId requestId;
    core::ClientAccountId account; ///< Empty on routes open to all.
    core::Millis remaining {0};    ///< Time until the deadline.
};

/** @return The request that an upstream receives; it never contains the caller's key. */
http::Request makeUpstreamRequest(const http::ServerRequest &request, const AddedFields &added);

/** @return How an attempt ended. */
proxy::AttemptEnd classifyAttempt(const http::Result &result);

/** Takes load and drain reports from an upstream's answer. */
void readLoadReport(const http::Headers &headers, AttemptReport &report);

/** @return The refusal that a failed attempt leads to if there is no retry. */
table::Refusal refusalOf(proxy::AttemptEnd end);

/** @return The caller's answer made from an upstream's whole answer. */
http::ServerResponse makeCallerResponse(http::Result result, const core::RequestId &requestId);

} // namespace teaselreach::daemon
