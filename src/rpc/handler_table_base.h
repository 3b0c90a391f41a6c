/** @file handler_table_base.h Dispatches JSON-RPC calls of other daemons and of the tool. */
#pragma once

#include "rpc/message_func.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace teaselreach::rpc {

/**
 * Implements a method: takes params and returns the result. Throws core::Error to answer with an
 * error; an nlohmann::json exception is answered as invalid params.
 */
using Handler = std::function<nlohmann::json(const nlohmann::json &params)>;

/** Maps method names to handlers. Once all are added, handle() may run in several threads. */
class HandlerTable
{
public:
    /** Adds or replaces a method. */
    void add(const std::string &method, Handler handler);

    /**
     * Handles one call. Never throws, whatever the request contains.
     * @param document The request document.
     * @return The response document; null for a notification (a request without id).
     */
    nlohmann::json handle(const nlohmann::json &document) const;

    /**
     * Handles one call given as an encoded body.
     * @param body The encoded request document.
     * @param encoding Encoding of the body and of the response.
     * @return The encoded response document; empty for a notification.
     */
    std::string handleBody(std::string_view body, Encoding encoding) const;

private:
    nlohmann::json dispatch(const std::string &method, const nlohmann::json &params,
                            const nlohmann::json &id) const;

    std::map<std::string, Handler> handlers_;
};

} // namespace teaselreach::rpc
