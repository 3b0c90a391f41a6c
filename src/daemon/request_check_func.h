/** @file request_check_func.h Checks of a caller's request that need no other request's state. */
#pragma once

#include "config/config_snapshot_base.h"
#include "core/clock_type.h"
#include "http/server_base.h"

#include <memory>
#include <optional>
#include <string>

namespace teaselreach::daemon {

/** Who may run a request, and as what, according to one revision of the configuration. */
struct Authorization
{
    std::shared_ptr<const config::ConfigSnapshot> snapshot; ///< Keeps the pointers valid.
    const record::Route *route = nullptr;
    const record::ClientAccount *account = nullptr; ///< nullptr on routes open to all.
};

/**
 * @param request The caller's request.
 * @throws RequestRefused with malformed_request if a header field has an invalid name or value,
 *     the framing is contradictory, or the path has dot segments, which an upstream could resolve
 *     to another route's path.
 */
void checkWellFormed(const http::ServerRequest &request);

/**
 * @param headers Fields of the caller's request.
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
 * @param snapshot The revision in force.
 * @param keysUsable Whether the revision's keys are recent enough.
 * @param request The caller's request.
 * @throws RequestRefused with unknown_route, no_key, keys_stale, unknown_key or route_not_allowed.
 */
Authorization authorize(std::shared_ptr<const config::ConfigSnapshot> snapshot, bool keysUsable,
                        const http::ServerRequest &request);

/**
 * @return The earlier of the route's timeout and the caller's X-Deadline-Ms.
 * @throws RequestRefused with malformed_request if X-Deadline-Ms is not a number of milliseconds.
 */
core::MonoTime requestDeadline(const http::ServerRequest &request, const record::Route &route);

} // namespace teaselreach::daemon
