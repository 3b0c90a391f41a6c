/** @file output.cpp Output of the tool, as tables and as JSON. */
#include "record/record_json_func.h"
#include "table/record_field_table.h"
#include "table/tool_command_table.h"
#include "tool/output_func.h"

#include <nlohmann/json.hpp>

#include <iomanip>

namespace teaselreach::tool {

namespace {

using nlohmann::json;

constexpr int jsonIndent = 2;

/** @return A JSON value as text without quotes; arrays are joined by commas, "-" if empty. */
std::string plainText(const json &value)
{
    if (value.is_string())
        return value.get<std::string>();
    if (!value.is_array())
        return value.dump();
    std::string text;
    for (const json &item : value)
        text += (text.empty() ? "" : ",") + plainText(item);
    return text.empty() ? "-" : text;
}

std::string joinIds(const std::vector<core::VmId> &ids)
{
    std::string text;
    for (const core::VmId &id : ids)
        text += (text.empty() ? "" : ", ") + id.str();
    return text;
}

json idsToJson(const std::vector<core::VmId> &ids)
{
    json list = json::array();
    for (const core::VmId &id : ids)
        list.push_back(id.str());
    return list;
}

/** @return The column names of a table of records: "id" and the fields of the kind. */
std::vector<std::string> columnNames(record::RecordKind kind)
{
    std::vector<std::string> heading {"id"};
    for (const table::RecordFieldRow &row : table::recordFieldTable) {
        if (row.kind == kind)
            heading.emplace_back(row.name);
    }
    return heading;
}

/** @return The values of a record in the order of the heading; "-" for absent fields. */
std::vector<std::string> recordRow(const record::AnyRecord &record,
                                   const std::vector<std::string> &heading)
{
    const json stored = record::toJson(record);
    std::vector<std::string> row;
    row.reserve(heading.size());
    for (const std::string &field : heading)
        row.push_back(stored.contains(field) ? plainText(stored[field]) : "-");
    return row;
}

std::vector<std::string> statusRow(const VmStatus &vmStatus)
{
    if (!vmStatus.status)
        return {vmStatus.vm.id.str(), "unreachable", "-", "-", "-", vmStatus.failure};
    const config::FleetStatus &status = *vmStatus.status;
    return {vmStatus.vm.id.str(),
            status.state,
            std::to_string(status.activeHead.revision.count()),
            status.storeBehind ? "yes" : "no",
            std::to_string(status.rejected),
            ""};
}

/** Prints the fields of the record kind with this command name, if there is one. */
void printKindHelp(std::ostream &out, std::string_view command)
{
    for (const table::RecordFieldRow &row : table::recordFieldTable) {
        if (table::recordKindRow(row.kind).command == command)
            out << "    " << std::left << std::setw(30) << row.name << row.help << "\n";
    }
}

} // namespace

void printColumns(std::ostream &out, const std::vector<std::vector<std::string>> &rows)
{
    std::vector<std::size_t> widths;
    for (const auto &row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    for (const auto &row : rows) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i)
            line += row[i] + std::string(widths[i] - row[i].size() + 2, ' ');
        line.erase(line.find_last_not_of(' ') + 1);
        out << line << "\n";
    }
}

void printRecords(std::ostream &out, OutputFormat format,
                  const std::vector<record::AnyRecord> &records)
{
    if (format == OutputFormat::Json) {
        json list = json::array();
        for (const record::AnyRecord &record : records)
            list.push_back(record::toJson(record));
        out << json {{"records", list}}.dump(jsonIndent) << "\n";
        return;
    }
    if (records.empty()) {
        out << "no records\n";
        return;
    }
    const std::vector<std::string> heading = columnNames(record::kindOf(records.front()));
    std::vector<std::vector<std::string>> rows {heading};
    for (const record::AnyRecord &record : records)
        rows.push_back(recordRow(record, heading));
    printColumns(out, rows);
}

void printChange(std::ostream &out, OutputFormat format, const ChangeReport &report)
{
    if (format == OutputFormat::Json) {
        json document {{"change_id", report.id.str()},
                       {"revision", report.acceptance.revision.count()},
                       {"attempts", report.acceptance.attempts},
                       {"found_by_reading", report.acceptance.foundByReading}};
        if (!report.newKey.empty())
            document["key"] = report.newKey;
        if (report.waited)
            document["unconfirmed"] = idsToJson(report.unconfirmed);
        out << document.dump(jsonIndent) << "\n";
        return;
    }
    out << "accepted in revision " << report.acceptance.revision.count() << " (change "
        << report.id.str() << ")\n";
    if (!report.newKey.empty())
        out << "key, shown only now: " << report.newKey << "\n";
    if (!report.waited)
        return;
    if (report.unconfirmed.empty())
        out << "in force on every VM\n";
    else
        out << "not confirmed by: " << joinIds(report.unconfirmed) << "\n";
}

void printStatus(std::ostream &out, OutputFormat format, const config::HeadId &store,
                 const std::vector<VmStatus> &statuses)
{
    if (format == OutputFormat::Json) {
        json vms = json::array();
        for (const VmStatus &vmStatus : statuses) {
            json vm = vmStatus.status ? config::toJson(*vmStatus.status) : json::object();
            vm["vm"] = vmStatus.vm.id.str();
            if (!vmStatus.status)
                vm["failure"] = vmStatus.failure;
            vms.push_back(std::move(vm));
        }
        out << json {{"store_revision", store.revision.count()}, {"vms", vms}}.dump(jsonIndent)
            << "\n";
        return;
    }
    out << "store at revision " << store.revision.count() << ", fleet at revision "
        << highestHead(statuses).revision.count() << "\n";
    std::vector<std::vector<std::string>> rows {
        {"vm", "state", "revision", "store_behind", "rejected", "failure"}};
    for (const VmStatus &vmStatus : statuses)
        rows.push_back(statusRow(vmStatus));
    printColumns(out, rows);
}

void printAnswers(std::ostream &out, OutputFormat format, const std::vector<FleetAnswer> &answers)
{
    json document = json::array();
    for (const FleetAnswer &answer : answers) {
        json entry {{"vm", answer.vm.id.str()}};
        if (answer.result)
            entry["answer"] = *answer.result;
        else
            entry["failure"] = answer.failure;
        document.push_back(std::move(entry));
    }
    if (format == OutputFormat::Json) {
        out << document.dump(jsonIndent) << "\n";
        return;
    }
    std::vector<std::vector<std::string>> rows {{"vm", "answer"}};
    for (const json &entry : document)
        rows.push_back({entry["vm"].get<std::string>(),
                        entry.contains("answer") ? entry["answer"].dump()
                                                 : "unreachable: " + plainText(entry["failure"])});
    printColumns(out, rows);
}

void printHelp(std::ostream &out, const std::string &command)
{
    bool known = command.empty();
    for (const table::ToolCommandRow &row : table::toolCommandTable) {
        if (!command.empty() && row.name != command)
            continue;
        known = true;
        out << "teaselreach " << row.usage << "\n    " << row.help << "\n";
        if (!command.empty())
            printKindHelp(out, row.name);
    }
    if (!known)
        throw UsageError("command '" + command + "' does not exist; see 'teaselreach help'");
    out << "\nexit codes:\n";
    for (const table::ExitCodeRow &row : table::exitCodeTable)
        out << "    " << static_cast<int>(row.code) << "  " << row.meaning << "\n";
    if (command.empty())
        out << "\nflags: --store, --vm_list, --output, --wait, --wait_timeout_s, --change_id, "
               "--fleet_check; 'teaselreach --helpfull' describes them\n";
}

} // namespace teaselreach::tool
