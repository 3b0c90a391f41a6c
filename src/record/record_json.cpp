/** @file record_json.cpp Conversion of records to and from JSON in their newest schema version. */
#include "record/field_reader_internal.h"
#include "record/record_json_func.h"

#include <algorithm>
#include <array>

namespace teaselreach::record {

namespace {

using detail::FieldReader;
using nlohmann::json;

/// Indexed by RouteClass.
constexpr std::array<std::string_view, 3> routeClassNames {"urgent", "normal", "deferrable"};

template <typename Id>
json idsToJson(const std::vector<Id> &ids)
{
    json list = json::array();
    for (const Id &id : ids)
        list.push_back(id.str());
    return list;
}

json fieldsToJson(const ClientAccount &r)
{
    return {{"display_name", r.displayName}, {"routes", idsToJson(r.routes)}, {"weight", r.weight}};
}

json fieldsToJson(const Key &r)
{
    return {{"account", r.account.str()}, {"digest", r.digest}, {"withdrawn", r.withdrawn}};
}

json fieldsToJson(const Route &r)
{
    return {{"path_prefix", r.pathPrefix},
            {"methods", r.methods},
            {"service", r.service.str()},
            {"open_to_all", r.openToAll},
            {"idempotent", r.idempotent},
            {"class", routeClassNames[static_cast<std::size_t>(r.routeClass)]},
            {"timeout_ms", r.timeout.count()}};
}

json fieldsToJson(const Limit &r)
{
    return {{"rate_per_second", r.ratePerSecond}, {"burst", r.burst}, {"homes", r.homes}};
}

json fieldsToJson(const Service &r)
{
    return {{"slots_per_upstream", r.slotsPerUpstream},
            {"max_connections_per_upstream", r.maxConnectionsPerUpstream},
            {"floor", r.floor}};
}

json fieldsToJson(const Objective &r)
{
    json fields {
        {"service", r.service.str()}, {"target", r.target}, {"latency_ms", r.latency.count()}};
    if (r.account)
        fields["account"] = r.account->str();
    return fields;
}

RouteClass readRouteClass(FieldReader &reader)
{
    const std::string name = reader.readString("class", "normal");
    const auto found = std::find(routeClassNames.begin(), routeClassNames.end(), name);
    if (found != routeClassNames.end())
        return static_cast<RouteClass>(found - routeClassNames.begin());
    reader.addProblem("class", "urgent, normal or deferrable");
    return RouteClass::Normal;
}

AnyRecord readClientAccount(FieldReader &reader, const std::string &id)
{
    ClientAccount r {.id = core::ClientAccountId(id)};
    r.displayName = reader.readString("display_name", id);
    for (std::string &route : reader.readStringList("routes"))
        r.routes.emplace_back(std::move(route));
    r.weight = reader.readInteger("weight", r.weight);
    return r;
}

AnyRecord readKey(FieldReader &reader, const std::string &id)
{
    Key r {.id = core::KeyId(id)};
    r.account = core::ClientAccountId(reader.readString("account"));
    r.digest = reader.readString("digest");
    r.withdrawn = reader.readBool("withdrawn", false);
    return r;
}

AnyRecord readRoute(FieldReader &reader, const std::string &id)
{
    Route r {.id = core::RouteId(id)};
    r.pathPrefix = reader.readString("path_prefix");
    r.methods = reader.readStringList("methods");
    r.service = core::ServiceId(reader.readString("service"));
    r.openToAll = reader.readBool("open_to_all", false);
    r.idempotent = reader.readBool("idempotent", false);
    r.routeClass = readRouteClass(reader);
    r.timeout = core::Millis(reader.readInteger("timeout_ms", static_cast<int>(r.timeout.count())));
    return r;
}

AnyRecord readLimit(FieldReader &reader, const std::string &id)
{
    Limit r {.account = core::ClientAccountId(id)};
    r.ratePerSecond = reader.readNumber("rate_per_second");
    r.burst = reader.readNumber("burst");
    r.homes = reader.readInteger("homes");
    return r;
}

AnyRecord readService(FieldReader &reader, const std::string &id)
{
    Service r {.id = core::ServiceId(id)};
    r.slotsPerUpstream = reader.readInteger("slots_per_upstream", r.slotsPerUpstream);
    r.maxConnectionsPerUpstream =
        reader.readInteger("max_connections_per_upstream", r.maxConnectionsPerUpstream);
    r.floor = reader.readNumber("floor", r.floor);
    return r;
}

AnyRecord readObjective(FieldReader &reader, const std::string &id)
{
    Objective r {.id = core::ObjectiveId(id)};
    r.service = core::ServiceId(reader.readString("service"));
    if (std::string account = reader.readString("account", ""); !account.empty())
        r.account = core::ClientAccountId(std::move(account));
    r.target = reader.readNumber("target", r.target);
    r.latency = core::Millis(reader.readInteger("latency_ms", static_cast<int>(r.latency.count())));
    return r;
}

using ReadFunction = AnyRecord (*)(FieldReader &, const std::string &);
/// Indexed by RecordKind.
constexpr std::array<ReadFunction, 6> readFunctions {readClientAccount, readKey,     readRoute,
                                                     readLimit,         readService, readObjective};

} // namespace

std::optional<RecordKind> kindFromName(std::string_view name)
{
    for (std::size_t i = 0; i < table::recordKindTable.size(); ++i) {
        const table::RecordKindRow &row = table::recordKindTable[i];
        if (row.name == name || row.command == name)
            return static_cast<RecordKind>(i);
    }
    return std::nullopt;
}

json toJson(const AnyRecord &record)
{
    json result = std::visit([](const auto &r) { return fieldsToJson(r); }, record);
    const RecordRef ref = refOf(record);
    const table::RecordKindRow &row = table::recordKindRow(ref.kind);
    result["kind"] = row.name;
    result["id"] = ref.id;
    result["schema_version"] = row.newestVersion;
    return result;
}

AnyRecord fromJson(const json &stored)
{
    const json newest = upgradeRecord(stored);
    const RecordRef ref = *refFromJson(newest);
    FieldReader reader(newest, ref);
    AnyRecord record = readFunctions[static_cast<std::size_t>(ref.kind)](reader, ref.id);
    reader.finish();
    return record;
}

} // namespace teaselreach::record
