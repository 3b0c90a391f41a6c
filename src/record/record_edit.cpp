/** @file record_edit.cpp Edits to a record set, validated before they are applied. */
#include "record/record_edit_func.h"
#include "record/record_validate_func.h"

#include <algorithm>

namespace teaselreach::record {

namespace {

template <typename T>
auto findIn(std::vector<T> &records, const std::string &id)
{
    return std::find_if(records.begin(), records.end(),
                        [&id](const T &record) { return idOf(record) == id; });
}

void throwProblem(const RecordRef &ref, const std::string &field, const std::string &value,
                  const std::string &expected)
{
    throw InvalidRecords({{ref, field, "'" + value + "'", expected}});
}

/** Checks what may change when a record is replaced; most kinds have no such rule. */
template <typename T>
void checkTransition(const RecordRef &, const T &, const T &)
{ }

/** A withdrawn key cannot be reinstated, since daemons may already have told callers that it was
 * withdrawn. The account of a key is fixed. */
void checkTransition(const RecordRef &ref, const Key &before, const Key &after)
{
    if (before.withdrawn && !after.withdrawn)
        throwProblem(ref, "withdrawn", "false",
                     "true, since the key was withdrawn; create a new key");
    if (before.account != after.account)
        throwProblem(ref, "account", after.account.str(),
                     "'" + before.account.str() + "'; create a new key for another account");
}

/** Home VMs hold their shares without coordination, so their number is fixed at creation. */
void checkTransition(const RecordRef &ref, const Limit &before, const Limit &after)
{
    if (before.homes != after.homes)
        throwProblem(ref, "homes", std::to_string(after.homes),
                     std::to_string(before.homes) + ", which is fixed at creation");
}

template <typename T>
void withdrawRecord(std::vector<T> &records, typename std::vector<T>::iterator found)
{
    records.erase(found);
}

void withdrawRecord(std::vector<Key> &, std::vector<Key>::iterator found)
{
    found->withdrawn = true;
}

template <typename T>
void applyEdit(RecordSet &records, const RecordEdit &edit)
{
    auto &list = recordsOf<T>(records);
    const auto found = findIn(list, edit.ref.id);
    const bool exists = found != list.end();
    if (edit.operation == EditOperation::Create && exists)
        throwProblem(edit.ref, "id", edit.ref.id, "an id that is not in use");
    const bool mustExist =
        edit.operation == EditOperation::Change || edit.operation == EditOperation::Withdraw;
    if (mustExist && !exists)
        throwProblem(edit.ref, "id", edit.ref.id, "the id of a record that exists");
    if (edit.operation == EditOperation::Withdraw)
        return withdrawRecord(list, found);
    const T &record = std::get<T>(edit.record.value());
    if (!exists) {
        list.push_back(record);
        return;
    }
    checkTransition(edit.ref, *found, record);
    *found = record;
}

using ApplyFunction = void (*)(RecordSet &, const RecordEdit &);
/// Indexed by RecordKind.
constexpr std::array<ApplyFunction, 6> applyFunctions {
    applyEdit<ClientAccount>, applyEdit<Key>,     applyEdit<Route>,
    applyEdit<Limit>,         applyEdit<Service>, applyEdit<Objective>};

} // namespace

RecordEdit makeEdit(EditOperation operation, AnyRecord record)
{
    RecordRef ref = refOf(record);
    return {operation, std::move(ref), std::move(record)};
}

std::optional<AnyRecord> findRecord(const RecordSet &records, const RecordRef &ref)
{
    std::optional<AnyRecord> result;
    const auto search = [&](const auto &list) {
        for (const auto &record : list) {
            if (!result && idOf(record) == ref.id)
                result = AnyRecord(record);
        }
    };
    switch (ref.kind) {
    case RecordKind::ClientAccount:
        search(records.accounts);
        break;
    case RecordKind::Key:
        search(records.keys);
        break;
    case RecordKind::Route:
        search(records.routes);
        break;
    case RecordKind::Limit:
        search(records.limits);
        break;
    case RecordKind::Service:
        search(records.services);
        break;
    case RecordKind::Objective:
        search(records.objectives);
        break;
    }
    return result;
}

void editRecords(RecordSet &records, const std::vector<RecordEdit> &edits, CommandMode mode)
{
    RecordSet edited = records;
    std::vector<RecordProblem> problems;
    for (const RecordEdit &edit : edits) {
        try {
            applyFunctions[static_cast<std::size_t>(edit.ref.kind)](edited, edit);
        } catch (const InvalidRecords &error) {
            problems.insert(problems.end(), error.problems().begin(), error.problems().end());
        }
    }
    for (RecordProblem &problem : validateRecordSet(edited))
        problems.push_back(std::move(problem));
    if (!problems.empty())
        throw InvalidRecords(std::move(problems));
    if (mode == CommandMode::Execute)
        records = std::move(edited);
}

} // namespace teaselreach::record
