/** @file record_validate_func.h Validation of single records and of record sets. */
#pragma once

#include "record/record_error_type.h"

#include <string_view>
#include <vector>

namespace teaselreach::record {

/// Longest id, in characters.
inline constexpr std::size_t maxIdLength = 64;

/** @return Whether a string is a valid id: 1 to 64 of [a-z0-9._-], the first a letter or digit. */
bool isValidId(std::string_view id);

/** @return All problems of one record, without its references to other records. */
std::vector<RecordProblem> validateRecord(const AnyRecord &record);

/** @return All problems of a set: those of each record and of references between records. */
std::vector<RecordProblem> validateRecordSet(const RecordSet &records);

/**
 * Chooses the number of home VMs for a new limit. A small burst is divided among fewer VMs, since
 * small shares reject requests that a single bucket would admit (design, section 4.3).
 * @param burst Burst of the limit, in requests.
 * @return 1 to 3.
 */
int homeCountForBurst(double burst);

} // namespace teaselreach::record
