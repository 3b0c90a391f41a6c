/** @file burn_report_func.h The fleet's burn report: merges samples, formats table, JSON and SVG.
 */
#pragma once

#include "burn/burn_type.h"
#include "core/error_type.h"

#include <nlohmann/json_fwd.hpp>

#include <array>
#include <string>
#include <vector>

namespace teaselreach::burn {

/** Thrown if a daemon's samples cannot be parsed. */
class BurnSampleMalformed : public core::Error
{
public:
    /** @param what Why parsing failed. */
    explicit BurnSampleMalformed(const std::string &what)
        : Error("burn_sample_malformed", what)
    { }
};

/** A row of the report: one objective and client account, summed over the fleet. */
struct BurnRow
{
    core::ObjectiveId objective;
    core::ServiceId service;
    core::ClientAccountId account;
    double target = 0;
    WindowCounts counts; ///< Sums over all daemons that answered.
};

/** The burn report, with the daemons that it covers and those that are missing. */
struct BurnReport
{
    std::vector<BurnRow> rows; ///< Sorted by objective, then client account.
    std::vector<core::VmId> answered;
    std::vector<core::VmId> unreachable; ///< No answer, or one that could not be parsed.
};

/**
 * @param counts Good and all requests of a window.
 * @param target Fraction of requests that must be good, below 1.
 * @return The fraction of bad requests divided by the fraction that the target allows. At a rate of
 *     1, the error budget is used up exactly at the end of its period. 0 without requests.
 */
double burnRate(const RequestCounts &counts, double target);

/**
 * @return The fraction of the error budget that remains over the longest window; negative if it is
 *     overspent.
 */
double budgetLeft(const BurnRow &row);

/** @return The samples of several daemons, summed to one row per objective and account. */
std::vector<BurnRow> mergeSamples(const std::vector<BurnSample> &samples);

/** @return The samples as the JSON result of `fleet.burn`. */
nlohmann::json samplesToJson(const std::vector<BurnSample> &samples);
/**
 * @param document The JSON result of `fleet.burn`.
 * @throws BurnSampleMalformed if a member is missing or has the wrong type.
 */
std::vector<BurnSample> samplesFromJson(const nlohmann::json &document);

/** @return The report as a plain-text table. */
std::string reportAsTable(const BurnReport &report);
/** @return The report as JSON. */
nlohmann::json reportAsJson(const BurnReport &report);
/** @return The report as an SVG bar chart: one bar for each row and window. */
std::string reportAsSvg(const BurnReport &report);

} // namespace teaselreach::burn
