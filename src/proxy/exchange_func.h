/** @file exchange_func.h What is sent to an upstream, and what its answer means. */
#pragma once

#include "proxy/asio_type.h"
#include "proxy/header_names_type.h"
#include "proxy/http_link_base.h"
#include "proxy/proxy_type.h"

#include <optional>
#include <string>
#include <string_view>

namespace teaselreach::proxy {

/** What the proxy adds to a request. */
struct ForwardFields
{
    core::ClientAccountId account; ///< Empty on public routes.
    core::UpstreamId upstream;
    core::Micros timeLeft {0};
};

/** @return The request for an upstream: end-to-end fields of the caller's, and the added ones. */
HttpRequest makeForwardRequest(const HttpRequest &request, const HeaderNames &names,
                               const ForwardFields &fields);

/** An upstream's answer as the proxy understands it. */
struct AttemptOutcome
{
    AttemptEnd end = AttemptEnd::Answered;
    std::optional<LoadReport> load;
};

/**
 * @return Whether an answer belongs to an attempt. Refusals come without the id; no other answer is
 * believed without it.
 */
bool matchesAttempt(const HttpResponse &response, const HeaderNames &names,
                    const std::string &attemptId);

/** @return What an answer means; an answer without its proof of origin counts as broken. */
AttemptOutcome classifyResponse(const HttpResponse &response, const HeaderNames &names);

/** @return What the end of an exchange means. */
AttemptOutcome classifyExchange(const ExchangeResult &result, const HeaderNames &names);

/** @return The answer for the caller: status, body and end-to-end fields unchanged. */
HttpResponse toCallerResponse(HttpResponse response, const HeaderNames &names);

/** @return The key of a request, or nothing. */
std::optional<std::string> apiKeyOf(const HttpRequest &request, const HeaderNames &names);

/** @return The time that the caller will wait, or nothing if it does not say. */
std::optional<core::Micros> callerTimeout(const HttpRequest &request, const HeaderNames &names);

/** @return A header field's value as a view, empty if there is none. */
template <typename Fields>
std::string_view fieldValue(const Fields &fields, const std::string &name)
{
    const auto value = fields[name];
    return {value.data(), value.size()};
}

} // namespace teaselreach::proxy
