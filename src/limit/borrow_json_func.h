/** @file borrow_json_func.h Messages of `limit.borrow` as JSON. */
#pragma once

#include "limit/limit_type.h"

#include <nlohmann/json_fwd.hpp>

namespace teaselreach::limit {

/** @return The params of `limit.borrow`. */
nlohmann::json borrowRequestToJson(const BorrowRequest &request);
/** @return The request. @throws nlohmann::json::exception if a member is missing or wrong. */
BorrowRequest borrowRequestFromJson(const nlohmann::json &document);
/** @return The result of `limit.borrow`. */
nlohmann::json borrowAnswerToJson(const BorrowAnswer &answer);
/** @return The answer. @throws nlohmann::json::exception if a member is missing or wrong. */
BorrowAnswer borrowAnswerFromJson(const nlohmann::json &document);

} // namespace teaselreach::limit
