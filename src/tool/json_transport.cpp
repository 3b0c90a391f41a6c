/** @file json_transport.cpp JSON-RPC 2.0 client over HTTP, for the tool. */
#include "tool/json_transport_base.h"

#include <nlohmann/json.hpp>

namespace teaselreach::tool {

using nlohmann::json;

static_assert(rpc::Transport<JsonTransport>);

json parseRpcResult(const std::string &what, const std::string &body)
{
    const json answer = json::parse(body, nullptr, false);
    if (!answer.is_object())
        throw rpc::RpcNoResponse(what + ": the answer is not a JSON object");
    const auto error = answer.find("error");
    if (error != answer.end() && error->is_object()) {
        const json code = error->value("code", json());
        throw rpc::RpcErrorResponse(code.is_string() ? code.get<std::string>() : code.dump(),
                                    what + ": "
                                        + error->value("message", json("no message")).dump());
    }
    const auto result = answer.find("result");
    if (result == answer.end())
        throw rpc::RpcNoResponse(what + ": the answer has neither result nor error");
    return *result;
}

json JsonTransport::call(const rpc::Endpoint &endpoint, const std::string &method,
                         const json &params, core::Millis timeout)
{
    const std::string what =
        endpoint.address + ":" + std::to_string(endpoint.controlPort) + " " + method;
    const json request {{"jsonrpc", "2.0"}, {"id", 1}, {"method", method}, {"params", params}};
    store::HttpCall call;
    call.method = "POST";
    call.url = "http://" + endpoint.address + ":" + std::to_string(endpoint.controlPort) + "/rpc";
    call.body = request.dump();
    call.connectTimeout = timeout;
    call.timeout = timeout;
    try {
        return parseRpcResult(what, pool_.perform(call).body);
    } catch (const store::HttpCallFailed &error) {
        throw rpc::RpcNoResponse(what + ": " + error.what());
    }
}

} // namespace teaselreach::tool
