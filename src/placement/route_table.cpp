/** @file route_table.cpp Look-up of routes and client accounts, and traffic splitting. */
#include "core/digest_func.h"
#include "placement/route_table_base.h"

#include <algorithm>
#include <cctype>
#include <numeric>

namespace teaselreach::proxy {

namespace {

std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return lower;
}

/** @return The name in a Host header, in lower case and without the port. */
std::string hostName(std::string_view host)
{
    return lowerCase(host.substr(0, host.find(':')));
}

} // namespace

RouteTable::RouteTable(Configuration configuration)
    : configuration_(std::move(configuration))
{
    for (const Route &route : configuration_.routes)
        routesByHost_[lowerCase(route.host)].push_back(&route);
    for (auto &[host, routes] : routesByHost_) {
        std::stable_sort(routes.begin(), routes.end(), [](const Route *a, const Route *b) {
            return a->pathPrefix.size() > b->pathPrefix.size();
        });
        RegionSet common;
        for (const Route *route : routes)
            common = common.intersect(route->allowedRegions);
        if (!common.isAny() && !common.isNone())
            regionsByHost_.emplace(host, std::move(common));
    }
    for (const Account &account : configuration_.accounts) {
        for (const std::string &key : account.keys)
            accountsByKey_.emplace(key, &account);
    }
}

const Route *RouteTable::findRoute(std::string_view host, std::string_view target) const
{
    const auto found = routesByHost_.find(hostName(host));
    if (found == routesByHost_.end())
        return nullptr;
    const std::string_view path = target.substr(0, target.find_first_of("?#"));
    for (const Route *route : found->second) {
        if (path.starts_with(route->pathPrefix))
            return route;
    }
    return nullptr;
}

RegionSet RouteTable::commonRegionsOf(std::string_view host) const
{
    const auto found = regionsByHost_.find(hostName(host));
    return found == regionsByHost_.end() ? RegionSet() : found->second;
}

const Account *RouteTable::findAccount(std::string_view key) const
{
    const auto found = accountsByKey_.find(key);
    return found == accountsByKey_.end() ? nullptr : found->second;
}

SplitSelector::SplitSelector(std::uint64_t seed)
    : seed_(seed)
{ }

const core::ServiceId &SplitSelector::select(const Route &route)
{
    if (route.destinations.size() == 1)
        return route.destinations.front().service;
    std::vector<int> weights;
    for (const Destination &destination : route.destinations)
        weights.push_back(destination.weight);
    DestinationCredits &credits = credits_[route.id];
    if (credits.weights != weights) {
        credits = {.weights = weights, .credit = std::vector<double>(weights.size(), 0)};
        // The sequence repeats after as many requests as the sum of the weights; each VM starts at
        // its own point in that cycle.
        constexpr std::uint64_t longestCycle = 1000;
        const auto total =
            static_cast<std::uint64_t>(std::accumulate(weights.begin(), weights.end(), 0));
        const std::uint64_t cycle = std::min(total, longestCycle);
        const std::uint64_t skipped = (core::stableHash(route.id.str()) ^ seed_) % cycle;
        for (std::uint64_t i = 0; i < skipped; ++i)
            nextDestination(credits);
    }
    return route.destinations[nextDestination(credits)].service;
}

/** Advances the smooth weighted round robin by one request.
 * @return Index of the selected destination. */
std::size_t SplitSelector::nextDestination(DestinationCredits &credits)
{
    std::size_t best = 0;
    double total = 0;
    for (std::size_t i = 0; i < credits.weights.size(); ++i) {
        credits.credit[i] += credits.weights[i];
        total += credits.weights[i];
        if (credits.credit[i] > credits.credit[best])
            best = i;
    }
    credits.credit[best] -= total;
    return best;
}

} // namespace teaselreach::proxy
