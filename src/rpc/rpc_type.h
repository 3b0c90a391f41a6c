/** @file rpc_type.h Calls between daemons: where they go and how they fail. */
#pragma once

#include "core/clock_type.h"
#include "core/error_type.h"

#include <nlohmann/json_fwd.hpp>

#include <concepts>
#include <cstdint>
#include <string>

namespace teaselreach::rpc {

/** Where a daemon takes calls of other daemons. */
struct Endpoint
{
    std::string address; ///< IP number.
    std::uint16_t controlPort = 0;

    auto operator<=>(const Endpoint &) const = default;
};

/** No answer arrived in time; the call may have been carried out. */
class RpcNoResponse : public core::Error
{
public:
    /** @param what The endpoint, the method and the cause. */
    explicit RpcNoResponse(const std::string &what)
        : Error("rpc_unanswered", what)
    { }
};

/** The other daemon answered with an error object. */
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
