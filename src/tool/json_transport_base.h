/** @file json_transport_base.h JSON-RPC 2.0 client over HTTP, for the tool. */
#pragma once

#include "rpc/rpc_type.h"
#include "store/http_pool_base.h"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace teaselreach::tool {

/** Calls methods of daemons. Thread-safe. Models rpc::Transport. */
class JsonTransport
{
public:
    /**
     * Calls a method and waits for its result.
     * @param timeout Limit for the whole call.
     * @throws rpc::RpcNoResponse if there is no valid answer, rpc::RpcErrorResponse if it is an
     * error.
     */
    nlohmann::json call(const rpc::Endpoint &endpoint, const std::string &method,
                        const nlohmann::json &params, core::Millis timeout);

private:
    store::HttpPool pool_ {16};
};

/**
 * Extracts the result from a JSON-RPC answer.
 * @param what Describes the call in error messages.
 * @param body Body of the HTTP answer.
 * @throws rpc::RpcNoResponse if the body is not a JSON-RPC answer, rpc::RpcErrorResponse if it is
 * an error.
 */
nlohmann::json parseRpcResult(const std::string &what, const std::string &body);

} // namespace teaselreach::tool
