/** @file borrow_json_func.h JSON form of the `limit.borrow` messages. */
#pragma once

#include "limit/limit_type.h"

#include <nlohmann/json_fwd.hpp>

namespace teaselreach::limit {

/** @return The parameters of a `limit.borrow` call. */
nlohmann::json borrowRequestToJson(const BorrowRequest &request);
/** Parses a request. @throws nlohmann::json::exception if a member is missing or malformed. */
BorrowRequest borrowRequestFromJson(const nlohmann::json &document);
/** @return The result of a `limit.borrow` call. */
nlohmann::json borrowAnswerToJson(const BorrowAnswer &answer);
/** Parses an answer. @throws nlohmann::json::exception if a member is missing or malformed. */
BorrowAnswer borrowAnswerFromJson(const nlohmann::json &document);

} // namespace teaselreach::limit
