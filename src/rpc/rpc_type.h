/** @file rpc_type.h Endpoints, errors and transports of calls between daemons. */
#pragma once

#include "core/clock_type.h"
#include "core/error_type.h"

#include <nlohmann/json_fwd.hpp>

#include <concepts>
#include <cstdint>
#include <string>

namespace teaselreach::rpc {

/** Address at which a daemon accepts calls of other daemons. */
struct Endpoint
{
    std::string address; ///< IP address.
    std::uint16_t controlPort = 0;

    auto operator<=>(const Endpoint &) const = default;
};

/** No valid response arrived in time; the call may have been executed. */
class RpcNoResponse : public core::Error
{
public:
    /** @param what The endpoint, the method and the cause. */
    explicit RpcNoResponse(const std::string &what)
        : Error("rpc_unanswered", what)
    { }
};

/** The other daemon responded with an error object. */
class RpcErrorResponse : public core::Error
{
public:
    /**
     * @param code The other daemon's error code.
     * @param what The endpoint, the method and the other daemon's message.
     */
    RpcErrorResponse(const std::string &code, const std::string &what)
        : Error(code, what)
    { }
};

/** Sends JSON-RPC 2.0 calls; call() throws RpcNoResponse and RpcErrorResponse. */
template <typename T>
concept Transport = requires(T &transport, const Endpoint &endpoint, const std::string &method,
                             const nlohmann::json &params, core::Millis timeout)
{
    {
        transport.call(endpoint, method, params, timeout)
        } -> std::same_as<nlohmann::json>;
};

} // namespace teaselreach::rpc
