/** @file http_form.cpp Converts HTTP messages between the types of proxy and http. */
#include "daemon/http_form_func.h"

namespace teaselreach::daemon {

namespace {

std::string toString(auto view)
{
    return {view.data(), view.size()};
}

template <typename Fields>
http::Headers toHeaders(const Fields &fields)
{
    http::Headers headers;
    for (const auto &field : fields)
        headers.push_back({toString(field.name_string()), toString(field.value())});
    return headers;
}

template <typename Message>
void writeHeaders(const http::Headers &headers, Message &message)
{
    for (const http::Header &header : headers)
        message.insert(header.name, header.value);
}

} // namespace

http::ServerRequest takeRequest(proxy::CallerExchange &exchange)
{
    proxy::HttpRequest &request = exchange.request;
    const std::string target = toString(request.target());
    return {.method = toString(request.method_string()),
            .path = target.substr(0, target.find('?')),
            .target = target,
            .headers = toHeaders(request),
            .body = std::move(request.body()),
            .receivedAt = exchange.receivedAt};
}

void setResponse(http::ServerResponse response, proxy::CallerExchange &exchange)
{
    exchange.closeAfterResponse = response.closeConnection;
    exchange.response = toHttpResponse(std::move(response));
}

proxy::HttpResponse toHttpResponse(http::ServerResponse response)
{
    proxy::HttpResponse answer;
    answer.version(proxy::httpVersion11);
    answer.result(static_cast<unsigned>(response.status));
    writeHeaders(response.headers, answer);
    answer.body() = std::move(response.body);
    answer.prepare_payload();
    return answer;
}

proxy::HttpRequest toHttpRequest(http::Request request, const http::Target &target)
{
    proxy::HttpRequest message;
    message.version(proxy::httpVersion11);
    message.method_string(request.method);
    message.target(request.target);
    message.set(proxy::beasthttp::field::host, target.address + ":" + std::to_string(target.port));
    writeHeaders(request.headers, message);
    message.body() = std::move(request.body);
    message.prepare_payload();
    return message;
}

http::Result toHttpResult(proxy::ExchangeResult result)
{
    http::Result converted {.detail = std::move(result.detail)};
    switch (result.failure) {
    case proxy::ExchangeFailure::None:
        converted.progress = http::Progress::Answered;
        converted.status = static_cast<int>(result.response.result_int());
        converted.headers = toHeaders(result.response);
        converted.body = std::move(result.response.body());
        break;
    case proxy::ExchangeFailure::NotConnected:
        converted.progress = http::Progress::NotSent;
        converted.cause = http::Cause::Connect;
        break;
    case proxy::ExchangeFailure::TimedOut:
        converted.progress = http::Progress::SentOnly;
        converted.cause = http::Cause::Timeout;
        break;
    case proxy::ExchangeFailure::Broken:
    case proxy::ExchangeFailure::Cancelled:
    case proxy::ExchangeFailure::Superseded:
        converted.progress = http::Progress::SentOnly;
        converted.cause = http::Cause::Truncated;
        break;
    }
    return converted;
}

} // namespace teaselreach::daemon
