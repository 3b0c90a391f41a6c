/** @file config_snapshot_base.h An immutable revision of the configuration with its indexes. */
#pragma once

#include "core/id_type.h"
#include "record/record_type.h"

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace teaselreach::config {

/**
 * An immutable revision of the configuration, indexed for request processing. A daemon shares it
 * between threads as std::shared_ptr<const ConfigSnapshot>, so that a request uses one revision
 * from start to end.
 */
class ConfigSnapshot
{
public:
    /**
     * @param revision Revision of the records.
     * @param records All records, already validated.
     */
    ConfigSnapshot(core::Revision revision, record::RecordSet records);
    ConfigSnapshot(const ConfigSnapshot &) = delete;
    ConfigSnapshot &operator=(const ConfigSnapshot &) = delete;

    /** @return Revision of the records. */
    core::Revision revision() const { return revision_; }
    /** @return All records. */
    const record::RecordSet &records() const { return records_; }

    /**
     * Looks up a key by the digest of its secret.
     * @param presentedKey The key as the caller sent it.
     * @return The key record, or nullptr if the key is unknown or withdrawn.
     */
    const record::Key *findKey(std::string_view presentedKey) const;
    /** @return The account, or nullptr if there is none with this id. */
    const record::ClientAccount *findAccount(const core::ClientAccountId &id) const;
    /** @return The account's limit, or nullptr if it has none. */
    const record::Limit *findLimit(const core::ClientAccountId &id) const;
    /** @return The service, or nullptr if there is none with this id. */
    const record::Service *findService(const core::ServiceId &id) const;
    /**
     * Finds the route with the longest matching path prefix among those that allow the method. A
     * prefix matches whole path segments only.
     * @param method HTTP method, upper case.
     * @param path Path without the query.
     * @return The route, or nullptr if none matches.
     */
    const record::Route *matchRoute(std::string_view method, std::string_view path) const;

private:
    core::Revision revision_;
    record::RecordSet records_;
    std::unordered_map<std::string, const record::Key *> keysByDigest_;
    std::unordered_map<core::ClientAccountId, const record::ClientAccount *, core::StrongHash>
        accounts_;
    std::unordered_map<core::ClientAccountId, const record::Limit *, core::StrongHash> limits_;
    std::unordered_map<core::ServiceId, const record::Service *, core::StrongHash> services_;
    std::vector<const record::Route *> routesByPrefixLength_; ///< Longest prefix first.
};

/**
 * @param account The account of the caller.
 * @param route The route that a request matched.
 * @return Whether the account may use the route.
 */
bool accountMayUse(const record::ClientAccount &account, const core::RouteId &route);

} // namespace teaselreach::config
