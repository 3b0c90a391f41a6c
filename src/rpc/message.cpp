/** @file message.cpp JSON-RPC 2.0 documents and their encodings. */
#include "http/headers_func.h"
#include "rpc/message_func.h"

#include <nlohmann/json.hpp>

namespace teaselreach::rpc {

namespace {

constexpr std::string_view messagePackType = "application/msgpack";
constexpr std::string_view jsonType = "application/json";

} // namespace

std::string_view contentType(Encoding encoding)
{
    return encoding == Encoding::MessagePack ? messagePackType : jsonType;
}

Encoding encodingFromContentType(std::string_view value)
{
    const std::string_view type = value.substr(0, value.find_first_of("; "));
    return http::equalIgnoringCase(type, messagePackType) ? Encoding::MessagePack : Encoding::Json;
}

std::string encode(const nlohmann::json &document, Encoding encoding)
{
    // Invalid UTF-8 in a string is replaced, so that encoding a response cannot fail.
    if (encoding == Encoding::Json)
        return document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    std::string bytes;
    nlohmann::json::to_msgpack(document, bytes);
    return bytes;
}

nlohmann::json decode(std::string_view body, Encoding encoding)
{
    try {
        if (encoding == Encoding::Json)
            return nlohmann::json::parse(body);
        return nlohmann::json::from_msgpack(body.begin(), body.end());
    } catch (const nlohmann::json::exception &error) {
        throw MalformedMessage(error.what());
    }
}

nlohmann::json makeRequest(const std::string &method, const nlohmann::json &params,
                           std::uint64_t id)
{
    nlohmann::json request = {{"jsonrpc", "2.0"}, {"method", method}, {"id", id}};
    // JSON-RPC allows params to be left out, but not to be null.
    if (!params.is_null())
        request["params"] = params;
    return request;
}

nlohmann::json makeResultResponse(const nlohmann::json &id, nlohmann::json result)
{
    return {{"jsonrpc", "2.0"}, {"result", std::move(result)}, {"id", id}};
}

nlohmann::json makeErrorResponse(const nlohmann::json &id, ErrorNumber number,
                                 const std::string &code, const std::string &message)
{
    const nlohmann::json error = {
        {"code", static_cast<int>(number)}, {"message", message}, {"data", {{"code", code}}}};
    return {{"jsonrpc", "2.0"}, {"error", error}, {"id", id}};
}

} // namespace teaselreach::rpc
