/** @file any_record_type.h A record of any kind, and references to records. */
#pragma once

#include "record/record_type.h"
#include "table/record_kind_table.h"

#include <string>
#include <type_traits>
#include <variant>

namespace teaselreach::record {

using table::RecordKind;

/** A record of any kind; the alternatives are in the order of RecordKind. */
using AnyRecord = std::variant<ClientAccount, Key, Route, Limit, Service, Objective>;

/** Identifies a record by kind and id. A limit has the id of its client account. */
struct RecordRef
{
    RecordKind kind = RecordKind::ClientAccount;
    std::string id;

    // clang-tidy 14 takes the literal 0 of a rewritten comparison for a null pointer.
    auto operator<=>(const RecordRef &) const = default; // NOLINT(modernize-use-nullptr)
};

/** @return The id of a record as text. */
template <typename T>
const std::string &idOf(const T &record)
{
    if constexpr (std::is_same_v<T, Limit>)
        return record.account.str();
    else
        return record.id.str();
}

/** @return The kind of a record. */
inline RecordKind kindOf(const AnyRecord &record)
{
    return static_cast<RecordKind>(record.index());
}

/** @return The reference to a record. */
inline RecordRef refOf(const AnyRecord &record)
{
    return {kindOf(record), std::visit([](const auto &r) { return idOf(r); }, record)};
}

/**
 * @tparam T A record type.
 * @param records A RecordSet, const or not.
 * @return The set's vector of T.
 */
template <typename T, typename Set>
auto &recordsOf(Set &records)
{
    if constexpr (std::is_same_v<T, ClientAccount>)
        return records.accounts;
    else if constexpr (std::is_same_v<T, Key>)
        return records.keys;
    else if constexpr (std::is_same_v<T, Route>)
        return records.routes;
    else if constexpr (std::is_same_v<T, Limit>)
        return records.limits;
    else if constexpr (std::is_same_v<T, Service>)
        return records.services;
    else
        return records.objectives;
}

/**
 * Calls a function with every record of a set, kind by kind.
 * @param records A RecordSet, const or not.
 * @param function Callable with a reference to each record type.
 */
template <typename Set, typename Function>
void forEachRecord(Set &records, Function &&function)
{
    const auto each = [&function](auto &vector) {
        for (auto &record : vector)
            function(record);
    };
    each(records.accounts);
    each(records.keys);
    each(records.routes);
    each(records.limits);
    each(records.services);
    each(records.objectives);
}

} // namespace teaselreach::record
