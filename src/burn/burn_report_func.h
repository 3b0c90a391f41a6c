/** @file burn_report_func.h The fleet's burn report: merging of samples, table, JSON and SVG. */
#pragma once

#include "burn/burn_type.h"
#include "core/error_type.h"

#include <nlohmann/json_fwd.hpp>

#include <array>
#include <string>
#include <vector>

namespace teaselreach::burn {

/** A daemon's samples could not be read. */
class BurnSampleMalformed : public core::Error
{
public:
    /** @param what The member that is missing or wrong. */
    explicit BurnSampleMalformed(const std::string &what)
        : Error("burn_sample_malformed", what)
    { }
};

/** A line of the report: one objective and client account over the whole fleet. */
struct BurnRow
{
    core::ObjectiveId objective;
    core::ServiceId service;
    core::ClientAccountId account;
    double target = 0;
    WindowCounts counts; ///< Sums over all daemons that answered.
};

/** The report, with the daemons that are missing from it. */
struct BurnReport
{
    std::vector<BurnRow> rows; ///< By objective, then client account.
    std::vector<core::VmId> answered;
    std::vector<core::VmId> unreachable;
};

/**
 * @param counts Good and all requests of a window.
 * @param target Fraction that must be good, below 1.
 * @return Share of bad requests divided by the share that the target allows; 1 uses up the budget
 *     exactly within its period, 0 without requests.
 */
double burnRate(const RequestCounts &counts, double target);

/**
 * @return Fraction of the error budget of the longest window that is left; negative if overspent.
 */
double budgetLeft(const BurnRow &row);

/** @return The sums of samples of several daemons, one row for each objective and account. */
std::vector<BurnRow> mergeSamples(const std::vector<BurnSample> &samples);

/** @return Samples as daemons answer `fleet.burn`. */
nlohmann::json samplesToJson(const std::vector<BurnSample> &samples);
/** @return Samples of a daemon's answer. @throws BurnSampleMalformed if a member is wrong. */
std::vector<BurnSample> samplesFromJson(const nlohmann::json &document);

/** @return The report as a table for people. */
std::string reportAsTable(const BurnReport &report);
/** @return The report as JSON for programs. */
nlohmann::json reportAsJson(const BurnReport &report);
/** @return The report as an SVG picture: a bar of burn rates for each row and window. */
std::string reportAsSvg(const BurnReport &report);

} // namespace teaselreach::burn
