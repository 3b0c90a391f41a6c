/** @file config_snapshot.cpp Builds and queries the indexes of a configuration revision. */
#include "config/config_snapshot_base.h"
#include "core/digest_func.h"

#include <algorithm>

namespace teaselreach::config {

namespace {

/** @return Whether a path equals the prefix or lies below it. */
bool prefixMatches(std::string_view prefix, std::string_view path)
{
    if (!path.starts_with(prefix))
        return false;
    return path.size() == prefix.size() || prefix.ends_with('/') || path[prefix.size()] == '/';
}

/** @return Whether a route allows a method; a route without methods allows all. */
bool methodMatches(const record::Route &route, std::string_view method)
{
    return route.methods.empty()
        || std::find(route.methods.begin(), route.methods.end(), method) != route.methods.end();
}

} // namespace

ConfigSnapshot::ConfigSnapshot(core::Revision revision, record::RecordSet records)
    : revision_(revision)
    , records_(std::move(records))
{
    for (const record::Key &key : records_.keys) {
        if (key.withdrawn)
            continue;
        keysByDigest_.emplace(key.digest, &key);
    }
    for (const record::ClientAccount &account : records_.accounts)
        accounts_.emplace(account.id, &account);
    for (const record::Limit &limit : records_.limits)
        limits_.emplace(limit.account, &limit);
    for (const record::Service &service : records_.services)
        services_.emplace(service.id, &service);
    for (const record::Route &route : records_.routes)
        routesByPrefixLength_.push_back(&route);
    std::stable_sort(routesByPrefixLength_.begin(), routesByPrefixLength_.end(),
                     [](const record::Route *a, const record::Route *b) {
                         return a->pathPrefix.size() > b->pathPrefix.size();
                     });
}

const record::Key *ConfigSnapshot::findKey(std::string_view presentedKey) const
{
    const std::string digest = core::sha256Hex(presentedKey);
    const auto found = keysByDigest_.find(digest);
    // The map's comparison may take a time that depends on the content, but it only sees digests of
    // keys. The final comparison takes the same time for every content.
    if (found == keysByDigest_.end() || !core::equalConstantTime(found->second->digest, digest))
        return nullptr;
    return found->second;
}

const record::ClientAccount *ConfigSnapshot::findAccount(const core::ClientAccountId &id) const
{
    const auto found = accounts_.find(id);
    return found == accounts_.end() ? nullptr : found->second;
}

const record::Limit *ConfigSnapshot::findLimit(const core::ClientAccountId &id) const
{
    const auto found = limits_.find(id);
    return found == limits_.end() ? nullptr : found->second;
}

const record::Service *ConfigSnapshot::findService(const core::ServiceId &id) const
{
    const auto found = services_.find(id);
    return found == services_.end() ? nullptr : found->second;
}

const record::Route *ConfigSnapshot::matchRoute(std::string_view method,
                                                std::string_view path) const
{
    for (const record::Route *route : routesByPrefixLength_) {
        if (!prefixMatches(route->pathPrefix, path))
            continue;
        if (methodMatches(*route, method))
            return route;
    }
    return nullptr;
}

bool accountMayUse(const record::ClientAccount &account, const core::RouteId &route)
{
    return std::find(account.routes.begin(), account.routes.end(), route) != account.routes.end();
}

} // namespace teaselreach::config
