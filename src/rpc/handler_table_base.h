/** @file handler_table_base.h The methods that a daemon offers to other daemons and to the tool. */
#pragma once

#include "rpc/message_func.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace teaselreach::rpc {

/**
 * A method: takes params, returns the result. It reports a refusal by throwing core::Error; an
 * exception of nlohmann-json counts as invalid params.
 */
using Handler = std::function<nlohmann::json(const nlohmann::json &params)>;

/** Methods by name. Filled before serving; afterwards handle() may run in several threads. */
class HandlerTable
{
public:
    /** Adds or replaces a method. */
    void add(const std::string &method, Handler handler);

    /**
     * Carries out one call. Never throws for anything that a peer sent.
     * @param document The request document.
     * @return The response document; null for a notification (a request without id).
     */
    nlohmann::json handle(const nlohmann::json &document) const;

    /**
     * Carries out one call given as a body.
     * @param body The encoded request document.
     * @param encoding Encoding of the body and of the answer.
     * @return The encoded response document; empty for a notification.
     */
    std::string handleBody(std::string_view body, Encoding encoding) const;

private:
    nlohmann::json dispatch(const std::string &method, const nlohmann::json &params,
                            const nlohmann::json &id) const;

    std::map<std::string, Handler> handlers_;
};

} // namespace teaselreach::rpc
