/** @file placement_query_func.h Questions of operators where a request would go now. */
#pragma once

#include "placement/account_limit_type.h"
#include "placement/dispatcher_type.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace teaselreach::proxy {

/** A request that is not sent. */
struct PlacementQuery
{
    std::string host;
    std::string path;   ///< Starts with a slash.
    std::string method; ///< Not used for the decision, which depends on the route alone.
    std::optional<core::ClientAccountId> account;
    std::size_t bodyBytes = 0;
};

/** Why a question was not understood. */
struct PlacementQueryError
{
    std::string parameter;
    std::string detail;
};

/** Why a request would be refused before a service is selected. */
enum class QueryRefusal : std::uint8_t {
    NoConfiguration,
    ShuttingDown,
    UnknownRoute,
    UnknownAccount,
    BodyTooLong,
    NoAllowedRegion, ///< Route and account have no region in common.
};

/** @return The name of a refusal in answers; these names do not change. */
std::string_view queryRefusalName(QueryRefusal refusal);

/** What would happen at one of the services that a route sends its requests to. */
struct ServiceAnswer
{
    core::ServiceId service;
    int weight = 1; ///< Relative to the route's other services.
    DispatchExplanation dispatch;
};

/** What would happen to the request. */
struct PlacementAnswer
{
    std::optional<QueryRefusal> refusal;
    std::int64_t configVersion = 0;
    std::optional<Route> route;
    RegionSet allowedRegions;        ///< Common to the route and the account.
    std::optional<AccountRoom> room; ///< Of the account, if one was named.
    std::vector<ServiceAnswer> services;
};

/** @param target Target of the request: a path and the parameters host, path, method, account and
 * bytes, percent-encoded. The first two are required.
 * @return The question, or why it is malformed. */
std::variant<PlacementQuery, PlacementQueryError> parsePlacementQuery(std::string_view target);
/** @return The target of the request that asks the question; see parsePlacementQuery(). */
std::string placementQueryTarget(std::string_view path, const PlacementQuery &query);
/** @return The answer as JSON. It names no API key. */
std::string placementAnswerJson(const PlacementAnswer &answer);
/** @return The error as JSON. */
std::string placementQueryErrorJson(const PlacementQueryError &error);

} // namespace teaselreach::proxy
