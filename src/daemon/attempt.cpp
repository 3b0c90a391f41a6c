/** @file attempt.cpp Builds upstream requests and interprets their results. */
#include "daemon/attempt_func.h"
#include "daemon/refusal_func.h"
#include "http/headers_func.h"

#include <charconv>

namespace teaselreach::daemon {

namespace {

constexpr unsigned firstServerError = 500;
constexpr int serviceUnavailable = 503;

bool isSet(const proxy::HttpResponse &response, std::string_view name)
{
    const auto value = response[{name.data(), name.size()}];
    return std::string_view(value.data(), value.size()) == "1";
}

std::optional<int> readNumber(const proxy::HttpResponse &response, std::string_view name)
{
    const auto value = response[{name.data(), name.size()}];
    int number = 0;
    const char *end = value.data() + value.size();
    const auto [stop, error] = std::from_chars(value.data(), end, number);
    if (error != std::errc() || stop != end || number < 0)
        return std::nullopt;
    return number;
}

/** @return How the attempt with this result ended. */
proxy::AttemptEnd classifyAttempt(const proxy::ExchangeResult &result)
{
    switch (result.failure) {
    case proxy::ExchangeFailure::None:
        break;
    case proxy::ExchangeFailure::NotConnected:
        return proxy::AttemptEnd::NotSent;
    case proxy::ExchangeFailure::Broken:
        return proxy::AttemptEnd::Broken;
    case proxy::ExchangeFailure::TimedOut:
        return proxy::AttemptEnd::TimedOut;
    case proxy::ExchangeFailure::Cancelled:
        return proxy::AttemptEnd::CallerLeft;
    case proxy::ExchangeFailure::Superseded:
        return proxy::AttemptEnd::Superseded;
    }
    if (isRefusal(result.response))
        return proxy::AttemptEnd::NotExecuted;
    return result.response.result_int() >= firstServerError ? proxy::AttemptEnd::ServerError
                                                            : proxy::AttemptEnd::Answered;
}

} // namespace

http::Request makeUpstreamRequest(const http::ServerRequest &request, const AddedFields &added)
{
    http::Request forwarded {.method = request.method,
                             .target = request.target,
                             .headers = http::forwardableHeaders(request.headers),
                             .body = request.body};
    forwarded.headers.push_back({"X-Teaselreach-Request-Id", added.requestId.str()});
    if (!added.account.empty())
        forwarded.headers.push_back({"X-Teaselreach-Account", added.account.str()});
    forwarded.headers.push_back({"X-Deadline-Ms", std::to_string(added.remaining.count())});
    return forwarded;
}

proxy::AttemptVerdict judgeAttempt(const proxy::ExchangeResult &result)
{
    return {.end = classifyAttempt(result),
            .status = result.failure == proxy::ExchangeFailure::None
                ? static_cast<int>(result.response.result_int())
                : 0,
            .reused = result.reused};
}

bool isRefusal(const proxy::HttpResponse &response)
{
    return response.result_int() == serviceUnavailable && response["X-Not-Run"] == "1";
}

bool statesNotExecuted(const proxy::HttpResponse &response)
{
    const auto execution = response[executionField];
    return std::string_view(execution.data(), execution.size())
        == table::executionName(table::Execution::NotRun);
}

void readLoadReport(const proxy::HttpResponse &response, AttemptReport &report)
{
    report.loadBusy = readNumber(response, "X-Load-Busy");
    report.loadSlots = readNumber(response, "X-Load-Slots");
    report.draining = isSet(response, "X-Draining");
}

table::Refusal refusalOf(proxy::AttemptEnd end)
{
    switch (end) {
    case proxy::AttemptEnd::TimedOut:
        return table::Refusal::UpstreamTimeout;
    case proxy::AttemptEnd::NotExecuted:
    case proxy::AttemptEnd::Misdirected:
    case proxy::AttemptEnd::NotSent:
        return table::Refusal::UpstreamRefused;
    case proxy::AttemptEnd::Answered:
    case proxy::AttemptEnd::ServerError:
    case proxy::AttemptEnd::UnprovenRefusal:
    case proxy::AttemptEnd::Broken:
    case proxy::AttemptEnd::CallerLeft:
    case proxy::AttemptEnd::Superseded:
        break;
    }
    return table::Refusal::UpstreamCut;
}

http::ServerResponse makeCallerResponse(http::Result result, const core::RequestId &requestId)
{
    http::ServerResponse response {.status = result.status,
                                   .headers = http::returnableHeaders(result.headers),
                                   .body = std::move(result.body)};
    response.headers.push_back({"X-Teaselreach-Request-Id", requestId.str()});
    return response;
}

} // namespace teaselreach::daemon
