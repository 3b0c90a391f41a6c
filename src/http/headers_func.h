/** @file headers_func.h Selection of the header fields that the proxy forwards. */
#pragma once

#include "http/http_type.h"

#include <string>
#include <string_view>

namespace teaselreach::http {

/** @return Whether two header names or tokens are equal, ignoring case. */
bool equalIgnoringCase(std::string_view a, std::string_view b);

/** @return Whether a text is a token (RFC 9110 section 5.6.2), as the name of a field must be. */
bool isFieldName(std::string_view text);

/** @return Whether a text is free of control bytes other than tabs. */
bool isFieldValue(std::string_view text);

/**
 * @param headers The fields to search.
 * @param name Header name in any case.
 * @return The value of the first field with this name, or nullptr.
 */
const std::string *findHeader(const Headers &headers, std::string_view name);

/**
 * Selects the request fields that an upstream may see. Removes Authorization, Host, framing and
 * hop-by-hop fields, fields named by Connection, X-Deadline-Ms and every X-Teaselreach-* field.
 * @param headers Fields of the caller's request.
 * @return The fields to forward, in the same order.
 */
Headers forwardableHeaders(const Headers &headers);

/**
 * Selects the response fields that a caller may see: no framing or hop-by-hop fields, no load
 * reports (X-Load-*, X-Draining, X-Not-Run) and no X-Teaselreach-* field.
 * @param headers Fields of the upstream's response.
 * @return The fields to return, in the same order.
 */
Headers returnableHeaders(const Headers &headers);

} // namespace teaselreach::http
