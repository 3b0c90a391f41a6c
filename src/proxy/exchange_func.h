/** @file exchange_func.h Builds upstream requests and interprets upstream responses. */
#pragma once

#include "placement/placement_type.h"
#include "proxy/asio_type.h"
#include "proxy/execution_evidence_base.h"
#include "proxy/header_names_type.h"
#include "proxy/http_connection_base.h"

#include <optional>
#include <string>
#include <string_view>

namespace teaselreach::proxy {

/** Values of the header fields that the proxy adds to a request. */
struct ForwardFields
{
    core::ClientAccountId account; ///< Empty on public routes.
    core::UpstreamId upstream;
    core::Micros timeLeft {0};
};

/** @return The request for an upstream, without a body: the caller's end-to-end fields without its
 * credentials, and the fields that the proxy adds. */
HttpRequest makeForwardRequest(const HttpRequest &request, const HeaderNames &names,
                               const ForwardFields &fields);

/**
 * Finds which request a response belongs to. Its attempt id tells. A 421 or not-executed response
 * without an id proves that the request has not run only on a connection that had carried none
 * before; on others it may be left over from an earlier one.
 * @param reused Whether the connection had carried a request before.
 */
ResponseMatch matchAttempt(const HttpResponse &response, const HeaderNames &names,
                           const std::string &attemptId, bool reused);

/** @return Whether callers take a status as the promise that their request was not executed and
 * never will be. */
bool promisesNotExecuted(const HttpResponse &response);

/** @return The outcome that a response stands for; a successful response without a seal or with a
 * content encoding is Broken. */
AttemptEnd classifyResponse(const HttpResponse &response, const HeaderNames &names);

/** @return The outcome that the result of an exchange stands for. */
AttemptEnd classifyExchange(const ExchangeResult &result, const HeaderNames &names);

/** @return What the result of an exchange says about the execution of its request. */
AttemptVerdict judgeExchange(const ExchangeResult &result, const HeaderNames &names);

/** @return The response for the caller: the upstream's status, body and end-to-end fields, without
 * load report, upstream id and the statement that it was not executed: where that holds, the caller
 * gets a response of the proxy. */
HttpResponse toCallerResponse(HttpResponse response, const HeaderNames &names);

/** @return The API key in the Authorization field, or nothing. */
std::optional<std::string> apiKeyOf(const HttpRequest::header_type &request,
                                    const HeaderNames &names);

/** @return How long the caller waits for the response, or nothing if the field does not begin with
 * a non-negative number. */
std::optional<core::Micros> callerTimeout(const HttpRequest &request, const HeaderNames &names);

/** @return A view of a header field's value, empty if the field is missing. */
template <typename Fields>
std::string_view fieldValue(const Fields &fields, const std::string &name)
{
    const auto value = fields[name];
    return {value.data(), value.size()};
}

} // namespace teaselreach::proxy
