/** @file record_validate_func.h Rules that records must follow, alone and together. */
#pragma once

#include "record/record_error_type.h"

#include <string_view>
#include <vector>

namespace teaselreach::record {

/// Longest id, in characters.
inline constexpr std::size_t maxIdLength = 64;

/** @return Whether a text can be an id: 1 to 64 of [a-z0-9._-], the first a letter or digit. */
bool isValidId(std::string_view id);

/** @return All problems of one record on its own. */
std::vector<RecordProblem> validateRecord(const AnyRecord &record);

/** @return All problems of a set: of each record, and of references between records. */
std::vector<RecordProblem> validateRecordSet(const RecordSet &records);

/**
 * Chooses the number of home VMs for a new limit: a small burst cannot be divided without
 * refusals that one bucket would not make (design, section 4.3).
 * @param burst Requests.
 * @return 1 to 3.
 */
int homeCountForBurst(double burst);

} // namespace teaselreach::record
