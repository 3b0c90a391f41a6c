/** @file http_transport.cpp JSON-RPC calls to other daemons over HTTP. */
#include "http/headers_func.h"
#include "rpc/http_transport_base.h"

#include <nlohmann/json.hpp>

namespace teaselreach::rpc {

static_assert(Transport<HttpTransport>);

namespace {

constexpr int okStatus = 200;

std::string describe(const Endpoint &endpoint, const std::string &method)
{
    return "call of " + method + " at " + endpoint.address + ":"
        + std::to_string(endpoint.controlPort);
}

/** @return The answer as a document. @throws RpcUnanswered if it is not a JSON-RPC answer. */
nlohmann::json readAnswer(const http::Result &answer, const std::string &what)
{
    if (answer.progress != http::Progress::Answered)
        throw RpcUnanswered(what + ": " + answer.detail);
    if (answer.status != okStatus)
        throw RpcUnanswered(what + ": status " + std::to_string(answer.status));
    const std::string *type = http::findHeader(answer.headers, "Content-Type");
    try {
        return decode(answer.body, encodingOf(type == nullptr ? "" : *type));
    } catch (const MalformedMessage &error) {
        throw RpcUnanswered(what + ": " + error.what());
    }
}

/** @throws RpcRefused with the facts of an error object. */
[[noreturn]] void throwRefusal(const nlohmann::json &error, const std::string &what)
{
    std::string code = "rpc_error";
    std::string message = "no message";
    if (error.is_object()) {
        message = error.value("message", nlohmann::json(message)).dump();
        const nlohmann::json data = error.value("data", nlohmann::json());
        if (data.is_object() && data.contains("code") && data["code"].is_string())
            code = data["code"].get<std::string>();
    }
    throw RpcRefused(code, what + ": " + message);
}

} // namespace

HttpTransport::HttpTransport(http::ClientOptions options, Encoding encoding)
    : client_(options)
    , encoding_(encoding)
{ }

nlohmann::json HttpTransport::call(const Endpoint &endpoint, const std::string &method,
                                   const nlohmann::json &params, core::Millis timeout)
{
    const std::uint64_t id = nextId_++;
    const http::Request request {.method = "POST",
                                 .target = "/rpc",
                                 .headers = {{"Content-Type", std::string(contentType(encoding_))}},
                                 .body = encode(makeRequest(method, params, id), encoding_)};
    const std::string what = describe(endpoint, method);
    const nlohmann::json answer =
        readAnswer(client_.send({endpoint.address, endpoint.controlPort}, request, timeout), what);
    if (!answer.is_object() || answer.value("id", nlohmann::json()) != id)
        throw RpcUnanswered(what + ": the answer belongs to another call");
    if (answer.contains("error"))
        throwRefusal(answer["error"], what);
    if (!answer.contains("result"))
        throw RpcUnanswered(what + ": the answer has neither result nor error");
    return answer["result"];
}

} // namespace teaselreach::rpc
