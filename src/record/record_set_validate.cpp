/** @file record_set_validate.cpp Validation of record sets and of references between records. */
#include "record/record_validate_func.h"

#include <unordered_map>
#include <unordered_set>

namespace teaselreach::record {

namespace {

using IdSet = std::unordered_set<std::string>;

template <typename T>
IdSet idsOf(const std::vector<T> &records)
{
    IdSet ids;
    for (const T &record : records)
        ids.insert(idOf(record));
    return ids;
}

/** Validates each record of a set and the references between records; collects all problems. */
class RecordSetValidator
{
public:
    explicit RecordSetValidator(const RecordSet &records)
        : records_(records)
        , accounts_(idsOf(records.accounts))
        , routes_(idsOf(records.routes))
        , services_(idsOf(records.services))
    { }

    std::vector<RecordProblem> validate()
    {
        checkRecords();
        checkReferences();
        checkKeyDigests();
        checkRoutePrefixes();
        return std::move(problems_);
    }

private:
    void addProblem(RecordKind kind, const std::string &id, const std::string &field,
                    const std::string &value, const std::string &expected)
    {
        problems_.push_back({{kind, id}, field, "'" + value + "'", expected});
    }

    void requireReference(const IdSet &ids, RecordRef ref, const std::string &field,
                          const std::string &value, const std::string &what)
    {
        if (!ids.contains(value))
            problems_.push_back(
                {std::move(ref), field, "'" + value + "'", "the id of " + what + " that exists"});
    }

    template <typename T>
    void checkRecordsOfKind(const std::vector<T> &records)
    {
        IdSet seen;
        for (const T &record : records) {
            const AnyRecord any = record;
            for (RecordProblem &problem : validateRecord(any))
                problems_.push_back(std::move(problem));
            if (!seen.insert(idOf(record)).second)
                addProblem(kindOf(any), idOf(record), "id", idOf(record),
                           "an id that is used once");
        }
    }

    void checkRecords()
    {
        checkRecordsOfKind(records_.accounts);
        checkRecordsOfKind(records_.keys);
        checkRecordsOfKind(records_.routes);
        checkRecordsOfKind(records_.limits);
        checkRecordsOfKind(records_.services);
        checkRecordsOfKind(records_.objectives);
    }

    void checkReferences()
    {
        for (const ClientAccount &r : records_.accounts) {
            for (const core::RouteId &route : r.routes)
                requireReference(routes_, {RecordKind::ClientAccount, r.id.str()}, "routes",
                                 route.str(), "a route");
        }
        for (const Key &r : records_.keys)
            requireReference(accounts_, {RecordKind::Key, r.id.str()}, "account", r.account.str(),
                             "an account");
        for (const Route &r : records_.routes)
            requireReference(services_, {RecordKind::Route, r.id.str()}, "service", r.service.str(),
                             "a service");
        for (const Limit &r : records_.limits)
            requireReference(accounts_, {RecordKind::Limit, r.account.str()}, "id", r.account.str(),
                             "an account");
        for (const Objective &r : records_.objectives) {
            const RecordRef ref {RecordKind::Objective, r.id.str()};
            requireReference(services_, ref, "service", r.service.str(), "a service");
            if (r.account)
                requireReference(accounts_, ref, "account", r.account->str(), "an account");
        }
    }

    void checkKeyDigests()
    {
        std::unordered_map<std::string, std::string> owners;
        for (const Key &r : records_.keys) {
            const auto [owner, added] = owners.emplace(r.digest, r.id.str());
            if (!added)
                addProblem(RecordKind::Key, r.id.str(), "digest", r.digest,
                           "a digest that key '" + owner->second + "' does not have");
        }
    }

    /** Rejects routes with the same prefix and a common method: which one is used would be
     * arbitrary. A route without methods is compared only with other routes without methods. */
    void checkRoutePrefixes()
    {
        std::unordered_map<std::string, std::string> owners;
        for (const Route &r : records_.routes) {
            const std::vector<std::string> anyMethod {"*"};
            for (const std::string &method : r.methods.empty() ? anyMethod : r.methods) {
                const auto [owner, added] = owners.emplace(method + r.pathPrefix, r.id.str());
                if (!added && owner->second != r.id.str())
                    addProblem(RecordKind::Route, r.id.str(), "path_prefix", r.pathPrefix,
                               "a prefix and methods that route '" + owner->second
                                   + "' does not have");
            }
        }
    }

    const RecordSet &records_;
    IdSet accounts_;
    IdSet routes_;
    IdSet services_;
    std::vector<RecordProblem> problems_;
};

} // namespace

std::vector<RecordProblem> validateRecordSet(const RecordSet &records)
{
    return RecordSetValidator(records).validate();
}

} // namespace teaselreach::record
