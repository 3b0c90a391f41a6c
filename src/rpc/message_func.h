/** @file message_func.h JSON-RPC 2.0 documents and their encodings. */
#pragma once

#include "core/error_type.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace teaselreach::rpc {

/** How a document is encoded in an HTTP body. */
enum class Encoding : std::uint8_t { MessagePack, Json };

/** Numeric error codes of JSON-RPC 2.0, sent as error.code. */
enum class ErrorNumber : int {
    ParseError = -32700,
    InvalidRequest = -32600,
    MethodNotFound = -32601,
    InvalidParams = -32602,
    InternalError = -32603,
    ApplicationError = -32000, ///< Thrown by a handler; its stable code is in error.data.code.
};

/** A body that cannot be decoded in its stated encoding. */
class MalformedMessage : public core::Error
{
public:
    /** @param what Message of the decoder. */
    explicit MalformedMessage(const std::string &what)
        : Error("malformed_message", what)
    { }
};

/** @return The Content-Type of an encoding. */
std::string_view contentType(Encoding encoding);

/**
 * @param value Value of a Content-Type header, possibly with parameters.
 * @return MessagePack for application/msgpack, otherwise JSON.
 */
Encoding encodingFromContentType(std::string_view value);

/** @return The encoded document. */
std::string encode(const nlohmann::json &document, Encoding encoding);

/** @return The document. @throws MalformedMessage if the body cannot be decoded. */
nlohmann::json decode(std::string_view body, Encoding encoding);

/** @return A request document. */
nlohmann::json makeRequest(const std::string &method, const nlohmann::json &params,
                           std::uint64_t id);

/** @return A response document with a result. */
nlohmann::json makeResultResponse(const nlohmann::json &id, nlohmann::json result);

/**
 * @param id Id of the request, null if unknown.
 * @param number Numeric error code of JSON-RPC.
 * @param code Stable, machine-readable code.
 * @param message One human-readable sentence.
 * @return A response document with an error object.
 */
nlohmann::json makeErrorResponse(const nlohmann::json &id, ErrorNumber number,
                                 const std::string &code, const std::string &message);

} // namespace teaselreach::rpc
