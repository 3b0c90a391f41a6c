/** @file route_table_base.h Look-up of routes and client accounts, and traffic splitting. */
#pragma once

#include "placement/placement_type.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

namespace teaselreach::proxy {

/** Immutable look-up index over one configuration. */
class RouteTable
{
public:
    /** @param configuration The configuration to index. */
    explicit RouteTable(Configuration configuration);

    /**
     * Finds the route with the longest matching path prefix.
     * @param host Value of the Host header; case and port are ignored.
     * @param target Path, with or without a query.
     * @return The route, or nullptr if none matches.
     */
    const Route *findRoute(std::string_view host, std::string_view target) const;
    /** @return The home regions that all routes of a host have in common; any region if there are
     * none, or if the host has no routes. @param host As in findRoute(). */
    RegionSet commonRegionsOf(std::string_view host) const;
    /** @return The account with an API key, or nullptr if no account has it. */
    const Account *findAccount(std::string_view key) const;
    /** @return The indexed configuration. */
    const Configuration &configuration() const { return configuration_; }

private:
    Configuration configuration_;
    std::map<std::string, std::vector<const Route *>, std::less<>>
        routesByHost_; ///< By lower-case host; longest prefix first.
    std::map<std::string, RegionSet, std::less<>> regionsByHost_; ///< See commonRegionsOf().
    std::map<std::string, const Account *, std::less<>> accountsByKey_;
};

/** Splits each route's requests among its destinations by smooth weighted round robin. */
class SplitSelector
{
public:
    /**
     * @param seed Selects the starting point in the round robin cycle. It differs between VMs;
     * otherwise many VMs with few requests each would favour the first destination.
     */
    explicit SplitSelector(std::uint64_t seed);

    /** Selects the service for the next request of a route.
     * @param route A route with at least one destination. */
    const core::ServiceId &select(const Route &route);

private:
    /** Round robin state of one route. */
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
