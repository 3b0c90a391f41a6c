/** @file attempt_func.h Builds upstream requests and interprets their results. */
#pragma once

#include "daemon/collaborator_type.h"
#include "http/server_base.h"
#include "proxy/asio_type.h"
#include "table/refusal_table.h"

namespace teaselreach::daemon {

/** Values of the header fields that the daemon adds to a forwarded request. */
struct AddedFields
{
    core::RequestId requestId;
    core::ClientAccountId account; ///< Empty on routes that need no key.
    core::Millis remaining {0};    ///< Time until the deadline.
};

/** @return The request to forward to an upstream, without the caller's key. */
http::Request makeUpstreamRequest(const http::ServerRequest &request, const AddedFields &added);

/** @return How the attempt with this result ended. */
proxy::AttemptEnd classifyAttempt(const http::Result &result);

/** @return Whether an upstream says in a response that it has not run the request. */
bool isRefusal(const proxy::HttpResponse &response);

/** Reads the load and drain fields of an upstream's response into `report`. */
void readLoadReport(const http::Headers &headers, AttemptReport &report);

/** @return The refusal that the caller gets if an attempt ended like this and is not retried. */
table::Refusal refusalOf(proxy::AttemptEnd end);

/** @return The response to the caller, made from the complete response of an upstream. */
http::ServerResponse makeCallerResponse(http::Result result, const core::RequestId &requestId);

} // namespace teaselreach::daemon
