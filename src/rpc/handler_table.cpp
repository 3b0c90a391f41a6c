/** @file handler_table.cpp Dispatches JSON-RPC calls of other daemons and of the tool. */
#include "rpc/handler_table_base.h"

#include <nlohmann/json.hpp>

namespace teaselreach::rpc {

namespace {

bool isValidRequest(const nlohmann::json &document)
{
    if (!document.is_object() || document.value("jsonrpc", nlohmann::json()) != "2.0")
        return false;
    const auto method = document.find("method");
    if (method == document.end() || !method->is_string())
        return false;
    const auto params = document.find("params");
    if (params != document.end() && !params->is_structured())
        return false;
    const auto id = document.find("id");
    return id == document.end() || id->is_primitive();
}

} // namespace

void HandlerTable::add(const std::string &method, Handler handler)
{
    handlers_[method] = std::move(handler);
}

nlohmann::json HandlerTable::handle(const nlohmann::json &document) const
{
    if (!isValidRequest(document))
        return makeErrorResponse(nullptr, ErrorNumber::InvalidRequest, "invalid_request",
                                 "the document is not a JSON-RPC 2.0 request");
    const bool isNotification = !document.contains("id");
    const nlohmann::json id = document.value("id", nlohmann::json());
    const nlohmann::json params = document.value("params", nlohmann::json::object());
    nlohmann::json response = dispatch(document.at("method").get<std::string>(), params, id);
    if (isNotification)
        return nullptr;
    return response;
}

std::string HandlerTable::handleBody(std::string_view body, Encoding encoding) const
{
    try {
        const nlohmann::json response = handle(decode(body, encoding));
        return response.is_null() ? std::string() : encode(response, encoding);
    } catch (const MalformedMessage &error) {
        return encode(
            makeErrorResponse(nullptr, ErrorNumber::ParseError, error.code(), error.what()),
            encoding);
    }
}

nlohmann::json HandlerTable::dispatch(const std::string &method, const nlohmann::json &params,
                                      const nlohmann::json &id) const
{
    const auto found = handlers_.find(method);
    if (found == handlers_.end())
        return makeErrorResponse(id, ErrorNumber::MethodNotFound, "method_not_found",
                                 "unknown method '" + method + "'");
    try {
        return makeResultResponse(id, found->second(params));
    } catch (const core::Error &error) {
        return makeErrorResponse(id, ErrorNumber::ApplicationError, error.code(), error.what());
    } catch (const nlohmann::json::exception &error) {
        return makeErrorResponse(id, ErrorNumber::InvalidParams, "invalid_params", error.what());
    } catch (const std::exception &error) {
        return makeErrorResponse(id, ErrorNumber::InternalError, "internal_error", error.what());
    }
}

} // namespace teaselreach::rpc
