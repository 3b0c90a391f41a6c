/** @file exchange.cpp Builds upstream requests and interprets upstream responses. */
#include "http/headers_func.h"
#include "proxy/exchange_func.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace teaselreach::proxy {

namespace {

/** Hop-by-hop fields, and fields for framing, which is written anew. */
constexpr std::array<std::string_view, 11> connectionFields {
    "Connection",     "Keep-Alive",          "Proxy-Connection",  "TE",
    "Trailer",        "Transfer-Encoding",   "Upgrade",           "Expect",
    "Content-Length", "Proxy-Authorization", "Proxy-Authenticate"};

bool isConnectionField(std::string_view name)
{
    return std::any_of(
        connectionFields.begin(), connectionFields.end(),
        [&](std::string_view field) { return http::equalIgnoringCase(field, name); });
}

/** @return Whether the value of a Connection field lists a field name. */
bool isNamedByConnection(std::string_view connection, std::string_view name)
{
    while (!connection.empty()) {
        const std::size_t comma = connection.find(',');
        std::string_view token = connection.substr(0, comma);
        token.remove_prefix(std::min(token.find_first_not_of(" \t"), token.size()));
        token = token.substr(0, token.find_last_not_of(" \t") + 1);
        if (!token.empty() && http::equalIgnoringCase(token, name))
            return true;
        if (comma == std::string_view::npos)
            break;
        connection.remove_prefix(comma + 1);
    }
    return false;
}

template <typename Message>
void copyEndToEndFields(const Message &from, Message &to,
                        const std::function<bool(std::string_view)> &dropped)
{
    const auto connection = from[beasthttp::field::connection];
    for (const auto &field : from) {
        const std::string_view name(field.name_string().data(), field.name_string().size());
        if (isConnectionField(name) || dropped(name)
            || isNamedByConnection({connection.data(), connection.size()}, name))
            continue;
        to.insert(field.name_string(), field.value());
    }
}

/** @return Whether an upstream states that it has not run the request. The field alone is not such
 * a statement: with a success or an error of the upstream's own work, it contradicts the status. */
bool statesNotExecuted(const HttpResponse &response, const HeaderNames &names)
{
    switch (response.result()) {
    case beasthttp::status::misdirected_request:
        return true;
    case beasthttp::status::bad_request:
    case beasthttp::status::request_timeout:
    case beasthttp::status::too_many_requests:
    case beasthttp::status::service_unavailable:
        return !fieldValue(response, names.notExecuted).empty();
    default:
        return false;
    }
}

} // namespace

HttpRequest makeForwardRequest(const HttpRequest &request, const HeaderNames &names,
                               const ForwardFields &fields)
{
    HttpRequest forwarded;
    forwarded.version(httpVersion11);
    forwarded.method_string(request.method_string());
    forwarded.target(request.target());
    copyEndToEndFields(request, forwarded, [&](std::string_view name) {
        return http::equalIgnoringCase(name, "Authorization")
            || http::equalIgnoringCase(name, names.deadlineMs)
            || http::equalIgnoringCase(name, names.account)
            || http::equalIgnoringCase(name, names.targetUpstream);
    });
    const auto timeLeft = std::chrono::duration_cast<core::Millis>(fields.timeLeft).count();
    forwarded.set(names.deadlineMs, std::to_string(timeLeft));
    forwarded.set(names.targetUpstream, fields.upstream.str());
    if (!fields.account.empty())
        forwarded.set(names.account, fields.account.str());
    return forwarded;
}

ResponseMatch matchAttempt(const HttpResponse &response, const HeaderNames &names,
                           const std::string &attemptId, bool reused)
{
    const std::string_view id = fieldValue(response, names.attemptId);
    if (!id.empty())
        return id == attemptId ? ResponseMatch::Own : ResponseMatch::Earlier;
    if (!statesNotExecuted(response, names))
        return ResponseMatch::Earlier;
    return reused ? ResponseMatch::Unclear : ResponseMatch::Own;
}

bool promisesNotExecuted(const HttpResponse &response)
{
    return response.result() == beasthttp::status::request_timeout
        || response.result() == beasthttp::status::misdirected_request
        || response.result() == beasthttp::status::too_many_requests
        || response.result() == beasthttp::status::service_unavailable;
}

AttemptEnd classifyResponse(const HttpResponse &response, const HeaderNames &names)
{
    const bool success = statusClassOf(response) == beasthttp::status_class::successful;
    if (response.result() == beasthttp::status::misdirected_request)
        return AttemptEnd::Misdirected;
    if (statesNotExecuted(response, names))
        return AttemptEnd::NotExecuted;
    if (success && !fieldValue(response, names.notExecuted).empty())
        return AttemptEnd::Broken;
    if (promisesNotExecuted(response))
        return AttemptEnd::UnprovenRefusal;
    if (success
        && (fieldValue(response, names.seal).empty()
            || response.count(beasthttp::field::content_encoding) > 0))
        return AttemptEnd::Broken;
    if (statusClassOf(response) == beasthttp::status_class::server_error)
        return AttemptEnd::ServerError;
    return AttemptEnd::Answered;
}

AttemptEnd classifyExchange(const ExchangeResult &result, const HeaderNames &names)
{
    switch (result.failure) {
    case ExchangeFailure::None:
        return classifyResponse(result.response, names);
    case ExchangeFailure::NotConnected:
        return AttemptEnd::NotSent;
    case ExchangeFailure::Broken:
        return AttemptEnd::Broken;
    case ExchangeFailure::TimedOut:
        return AttemptEnd::TimedOut;
    case ExchangeFailure::Cancelled:
        return AttemptEnd::CallerLeft;
    case ExchangeFailure::Superseded:
        return AttemptEnd::Superseded;
    }
    return AttemptEnd::Broken;
}

AttemptVerdict judgeExchange(const ExchangeResult &result, const HeaderNames &names)
{
    AttemptVerdict verdict {.end = classifyExchange(result, names), .reused = result.reused};
    if (result.failure != ExchangeFailure::None)
        return verdict;
    verdict.status = static_cast<int>(result.response.result_int());
    verdict.namesRequest = !fieldValue(result.response, names.attemptId).empty();
    return verdict;
}

HttpResponse toCallerResponse(HttpResponse response, const HeaderNames &names)
{
    HttpResponse forwarded;
    forwarded.version(httpVersion11);
    forwarded.result(response.result_int());
    copyEndToEndFields(response, forwarded, [&](std::string_view name) {
        return http::equalIgnoringCase(name, names.load)
            || http::equalIgnoringCase(name, names.upstreamId)
            || http::equalIgnoringCase(name, names.notExecuted);
    });
    forwarded.body() = std::move(response.body());
    forwarded.prepare_payload();
    return forwarded;
}

std::optional<std::string> apiKeyOf(const HttpRequest::header_type &request,
                                    const HeaderNames &names)
{
    const auto field = request[beasthttp::field::authorization];
    const std::string_view value(field.data(), field.size());
    if (value.size() <= names.keyScheme.size() + 1 || value[names.keyScheme.size()] != ' '
        || !http::equalIgnoringCase(value.substr(0, names.keyScheme.size()), names.keyScheme))
        return std::nullopt;
    return std::string(value.substr(names.keyScheme.size() + 1));
}

std::optional<core::Micros> callerTimeout(const HttpRequest &request, const HeaderNames &names)
{
    constexpr core::Millis longest = std::chrono::duration_cast<core::Millis>(core::Micros::max());
    const std::string_view value = fieldValue(request, names.deadlineMs);
    std::int64_t milliseconds = 0;
    const auto [end, error] =
        std::from_chars(value.data(), value.data() + value.size(), milliseconds);
    if (value.empty() || error != std::errc() || milliseconds < 0)
        return std::nullopt;
    return std::min(longest, core::Millis(milliseconds));
}

} // namespace teaselreach::proxy
