/** @file route_table_base.h Which route and which client account a request belongs to. */
#pragma once

#include "proxy/proxy_type.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace teaselreach::proxy {

/** An immutable index over one configuration. */
class RouteTable
{
public:
    /** @param configuration The configuration to index. */
    explicit RouteTable(Configuration configuration);

    /**
     * Finds the route with the longest prefix that begins the path.
     * @param host Host header; case and port do not matter.
     * @param target Path with or without a query.
     * @return The route, or nullptr.
     */
    const Route *findRoute(std::string_view host, std::string_view target) const;
    /** @return The account that holds a key, or nullptr. */
    const Account *findAccount(std::string_view key) const;
    /** @return The indexed configuration. */
    const Configuration &configuration() const { return configuration_; }

private:
    Configuration configuration_;
    std::map<std::string, std::vector<const Route *>, std::less<>>
        routesByHost_; ///< Longest first.
    std::map<std::string, const Account *, std::less<>> accountsByKey_;
};

/** Spreads the requests of each route over its destinations by smooth weighted round robin. */
class SplitSelector
{
public:
    /**
     * @param seed Start of the credits; differs between VMs, so that a fleet of VMs that each see
     * few requests does not favour the first destination.
     */
    explicit SplitSelector(std::uint64_t seed);

    /** @return The service for the next request of a route with at least one destination. */
    const core::ServiceId &select(const Route &route);

private:
    /** Credit of each destination of one route. */
    struct DestinationCredits
    {
        std::vector<int> weights;
        std::vector<double> credit;
    };

    static std::size_t nextDestination(DestinationCredits &credits);

    std::uint64_t seed_;
    std::unordered_map<core::RouteId, DestinationCredits, core::StrongHash> credits_;
};

} // namespace teaselreach::proxy
