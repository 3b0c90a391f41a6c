/** @file http_transport.cpp JSON-RPC calls to other daemons over HTTP. */
#include "http/headers_func.h"
#include "rpc/http_transport_base.h"

#include <nlohmann/json.hpp>

namespace teaselreach::rpc {

static_assert(Transport<HttpTransport>);

namespace {

constexpr int httpStatusOk = 200;

std::string describeCall(const Endpoint &endpoint, const std::string &method)
{
    return "call of " + method + " at " + endpoint.address + ":"
        + std::to_string(endpoint.controlPort);
}

/** @return The decoded response. @throws RpcNoResponse unless it is a decodable HTTP 200. */
nlohmann::json parseResponse(const http::Result &response, const std::string &callName)
{
    if (response.progress != http::Progress::Answered)
        throw RpcNoResponse(callName + ": " + response.detail);
    if (response.status != httpStatusOk)
        throw RpcNoResponse(callName + ": expected HTTP status 200, got "
                            + std::to_string(response.status));
    const std::string *type = http::findHeader(response.headers, "Content-Type");
    try {
        return decode(response.body, encodingFromContentType(type == nullptr ? "" : *type));
    } catch (const MalformedMessage &error) {
        throw RpcNoResponse(callName + ": " + error.what());
    }
}

/** @throws RpcErrorResponse with the code and message of an error object. */
[[noreturn]] void throwErrorResponse(const nlohmann::json &error, const std::string &callName)
{
    std::string code = "rpc_error";
    std::string message = "no message";
    if (error.is_object()) {
        message = error.value("message", nlohmann::json(message)).dump();
        const nlohmann::json data = error.value("data", nlohmann::json());
        if (data.is_object() && data.contains("code") && data["code"].is_string())
            code = data["code"].get<std::string>();
    }
    throw RpcErrorResponse(code, callName + ": " + message);
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
    const std::string callName = describeCall(endpoint, method);
    const nlohmann::json response = parseResponse(
        client_.send({endpoint.address, endpoint.controlPort}, request, timeout), callName);
    if (!response.is_object() || response.value("id", nlohmann::json()) != id)
        throw RpcNoResponse(callName + ": the response does not have the id of the request");
    if (response.contains("error"))
        throwErrorResponse(response["error"], callName);
    if (!response.contains("result"))
        throw RpcNoResponse(callName + ": the response has neither 'result' nor 'error'");
    return response["result"];
}

} // namespace teaselreach::rpc
