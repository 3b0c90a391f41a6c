/** @file burn_report.cpp The fleet's burn report: merges samples, formats table and JSON. */
#include "burn/burn_report_func.h"

#include <nlohmann/json.hpp>

#include <cstdio>
#include <map>
#include <sstream>
#include <utility>

namespace teaselreach::burn {

namespace {

/** @return The ids separated by commas, or "none". */
std::string joinIds(const std::vector<core::VmId> &vms)
{
    std::string text;
    for (const core::VmId &vm : vms) {
        if (!text.empty())
            text += ", ";
        text += vm.str();
    }
    return text.empty() ? "none" : text;
}

/** @return The ids as a JSON array. */
nlohmann::json idsToJson(const std::vector<core::VmId> &vms)
{
    nlohmann::json array = nlohmann::json::array();
    for (const core::VmId &vm : vms)
        array.push_back(vm.str());
    return array;
}

/**
 * Parses one sample.
 * @throws nlohmann::json::exception if a member is missing or has the wrong type.
 */
BurnSample sampleFromJson(const nlohmann::json &document)
{
    BurnSample sample {.objective = core::ObjectiveId(document.at("objective")),
                       .service = core::ServiceId(document.at("service")),
                       .account = core::ClientAccountId(document.at("account")),
                       .target = document.at("target"),
                       .counts = {}};
    for (std::size_t i = 0; i < reportWindows.size(); ++i) {
        const nlohmann::json &window =
            document.at("windows").at(std::string(reportWindows[i].name));
        sample.counts[i] = {.good = window.at("good"), .total = window.at("total")};
    }
    return sample;
}

/** @return One line of the table, aligned with the heading that reportAsTable() writes. */
std::string tableRow(const BurnRow &row)
{
    char line[256];
    std::snprintf(line, sizeof line, "%-20s %-20s %-20s %7.3f%%", row.objective.str().c_str(),
                  row.service.str().c_str(), row.account.str().c_str(), row.target * 100);
    std::string text = line;
    for (const RequestCounts &counts : row.counts) {
        std::snprintf(line, sizeof line, " %9.2f", burnRate(counts, row.target));
        text += line;
    }
    std::snprintf(line, sizeof line, " %10.1f%%\n", budgetLeft(row) * 100);
    return text + line;
}

} // namespace

double burnRate(const RequestCounts &counts, double target)
{
    if (counts.total == 0)
        return 0;
    const double bad = static_cast<double>(counts.total - counts.good);
    return bad / static_cast<double>(counts.total) / (1 - target);
}

double budgetLeft(const BurnRow &row)
{
    return 1 - burnRate(row.counts.back(), row.target);
}

std::vector<BurnRow> mergeSamples(const std::vector<BurnSample> &samples)
{
    std::map<std::pair<core::ObjectiveId, core::ClientAccountId>, BurnRow> rows;
    for (const BurnSample &sample : samples) {
        BurnRow &row = rows[{sample.objective, sample.account}];
        row.objective = sample.objective;
        row.service = sample.service;
        row.account = sample.account;
        row.target = sample.target;
        for (std::size_t i = 0; i < reportWindows.size(); ++i)
            row.counts[i] += sample.counts[i];
    }
    std::vector<BurnRow> merged;
    merged.reserve(rows.size());
    for (auto &[key, row] : rows)
        merged.push_back(std::move(row));
    return merged;
}

nlohmann::json samplesToJson(const std::vector<BurnSample> &samples)
{
    nlohmann::json array = nlohmann::json::array();
    for (const BurnSample &sample : samples) {
        nlohmann::json windows = nlohmann::json::object();
        for (std::size_t i = 0; i < reportWindows.size(); ++i) {
            windows[std::string(reportWindows[i].name)] = {{"good", sample.counts[i].good},
                                                           {"total", sample.counts[i].total}};
        }
        array.push_back({{"objective", sample.objective.str()},
                         {"service", sample.service.str()},
                         {"account", sample.account.str()},
                         {"target", sample.target},
                         {"windows", std::move(windows)}});
    }
    return array;
}

std::vector<BurnSample> samplesFromJson(const nlohmann::json &document)
{
    std::vector<BurnSample> samples;
    try {
        for (const nlohmann::json &element : document)
            samples.push_back(sampleFromJson(element));
    } catch (const nlohmann::json::exception &error) {
        throw BurnSampleMalformed(error.what());
    }
    return samples;
}

std::string reportAsTable(const BurnReport &report)
{
    char heading[256];
    std::snprintf(heading, sizeof heading, "%-20s %-20s %-20s %8s", "OBJECTIVE", "SERVICE",
                  "ACCOUNT", "TARGET");
    std::ostringstream out;
    out << heading;
    for (const ReportWindow &reportWindow : reportWindows) {
        std::snprintf(heading, sizeof heading, " %9s",
                      ("BURN " + std::string(reportWindow.name)).c_str());
        out << heading;
    }
    out << " BUDGET LEFT\n";
    for (const BurnRow &row : report.rows)
        out << tableRow(row);
    out << "VMs that answered: " << report.answered.size()
        << "; not reached: " << joinIds(report.unreachable) << '\n';
    return out.str();
}

nlohmann::json reportAsJson(const BurnReport &report)
{
    nlohmann::json rows = nlohmann::json::array();
    for (const BurnRow &row : report.rows) {
        nlohmann::json windows = nlohmann::json::object();
        for (std::size_t i = 0; i < reportWindows.size(); ++i) {
            const RequestCounts &counts = row.counts[i];
            windows[std::string(reportWindows[i].name)] = {{"good", counts.good},
                                                           {"total", counts.total},
                                                           {"burn", burnRate(counts, row.target)}};
        }
        rows.push_back({{"objective", row.objective.str()},
                        {"service", row.service.str()},
                        {"account", row.account.str()},
                        {"target", row.target},
                        {"windows", std::move(windows)},
                        {"budget_left", budgetLeft(row)}});
    }
    return {{"rows", std::move(rows)},
            {"answered", idsToJson(report.answered)},
            {"unreachable", idsToJson(report.unreachable)}};
}

} // namespace teaselreach::burn
