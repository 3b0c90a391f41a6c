/** @file request_check_func.h Stateless checks of a caller's request. */
#pragma once

#include "config/config_snapshot_base.h"
#include "core/clock_type.h"
#include "http/server_base.h"

#include <memory>
#include <optional>
#include <string>

namespace teaselreach::daemon {

/** The route and the account of an authorized request, from one configuration revision. */
struct Authorization
{
    std::shared_ptr<const config::ConfigSnapshot> snapshot; ///< Owns route and account.
    const record::Route *route = nullptr;
    const record::ClientAccount *account = nullptr; ///< nullptr on routes that need no key.
};

/**
 * Checks the syntax of a request.
 * @param request The caller's request.
 * @throws RequestRefused with malformed_request if a header field has an invalid name or value,
 *     both Content-Length and Transfer-Encoding are present, or the path is not absolute or has dot
 *     segments, which an upstream could resolve to the path of another route.
 */
void checkWellFormed(const http::ServerRequest &request);

/**
 * @param headers Header fields of the caller's request.
 * @return The key of "Authorization: Bearer KEY", or nothing.
 */
std::optional<std::string> bearerKey(const http::Headers &headers);

/**
 * @return The account of a key.
 * @throws RequestRefused with no_key or unknown_key.
 */
const record::ClientAccount &findAccountOfKey(const config::ConfigSnapshot &snapshot,
                                              const std::optional<std::string> &key);

/**
 * Finds the route of a request and checks its key.
 * @param snapshot The active configuration, or nullptr.
 * @param keysUsable Whether the configuration's keys are recent enough to be trusted.
 * @param request The caller's request.
 * @throws RequestRefused with no_configuration, unknown_route, no_key, keys_stale, unknown_key or
 *     route_not_allowed.
 */
Authorization authorize(std::shared_ptr<const config::ConfigSnapshot> snapshot, bool keysUsable,
                        const http::ServerRequest &request);

/**
 * @return The earlier of the route's timeout and the caller's X-Deadline-Ms, as a point in time.
 * @throws RequestRefused with malformed_request if X-Deadline-Ms is not a number of milliseconds.
 */
core::MonoTime requestDeadline(const http::ServerRequest &request, const record::Route &route);

} // namespace teaselreach::daemon
