/** @file http_transport_base.h JSON-RPC calls to other daemons over HTTP. */
#pragma once

#include "http/client_base.h"
#include "rpc/message_func.h"
#include "rpc/rpc_type.h"

#include <nlohmann/json_fwd.hpp>

#include <atomic>
#include <cstdint>
#include <string>

namespace teaselreach::rpc {

/** Sends calls over persistent HTTP connections. Thread-safe. */
class HttpTransport
{
public:
    /**
     * @param options Options of the HTTP client.
     * @param encoding Encoding of the calls.
     */
    explicit HttpTransport(http::ClientOptions options, Encoding encoding = Encoding::MessagePack);

    /**
     * Sends one call, at most once.
     * @return The result.
     * @throws RpcNoResponse if no valid response arrived in time.
     * @throws RpcErrorResponse if the other daemon responded with an error object.
     */
    nlohmann::json call(const Endpoint &endpoint, const std::string &method,
                        const nlohmann::json &params, core::Millis timeout);

private:
    http::Client client_;
    Encoding encoding_;
    std::atomic<std::uint64_t> nextId_ {1};
};

} // namespace teaselreach::rpc
