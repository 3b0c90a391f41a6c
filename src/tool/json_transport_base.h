/** @file json_transport_base.h JSON-RPC 2.0 over HTTP with JSON bodies, for the tool. */
#pragma once

#include "rpc/rpc_type.h"
#include "store/http_pool_base.h"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace teaselreach::tool {

/** Calls daemons; may be used by several threads. Models rpc::Transport. */
class JsonTransport
{
public:
    /**
     * @param endpoint The daemon.
     * @param method The method.
     * @param params Its parameters.
     * @param timeout Bound on the whole call.
     * @return The result.
     * @throws rpc::RpcNoResponse, rpc::RpcErrorResponse
     */
    nlohmann::json call(const rpc::Endpoint &endpoint, const std::string &method,
                        const nlohmann::json &params, core::Millis timeout);

private:
    store::HttpPool pool_ {16};
};

/**
 * @param what The call, for messages.
 * @param body The body of the answer.
 * @return The result in it.
 * @throws rpc::RpcNoResponse if it is not a JSON-RPC answer, rpc::RpcErrorResponse if it is an
 * error.
 */
nlohmann::json parseRpcResult(const std::string &what, const std::string &body);

} // namespace teaselreach::tool
